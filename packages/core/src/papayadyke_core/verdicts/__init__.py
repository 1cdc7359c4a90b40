"""What a caller is told of a request that has no answer."""

from papayadyke_core.verdicts._refusal import Refusal
from papayadyke_core.verdicts._verdict import HTTP_STATUS, Reason, Verdict

__all__ = ["HTTP_STATUS", "Reason", "Refusal", "Verdict"]
