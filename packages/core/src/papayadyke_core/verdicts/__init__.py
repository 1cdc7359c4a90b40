"""Refusals that callers receive, with their verdicts and reasons."""

from papayadyke_core.verdicts._refusal import Refusal
from papayadyke_core.verdicts._verdict import HTTP_STATUS, Reason, Verdict

__all__ = ["HTTP_STATUS", "Reason", "Refusal", "Verdict"]
