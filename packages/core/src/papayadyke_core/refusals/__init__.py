"""Records of refused requests and their reasons."""

from papayadyke_core.refusals._ledger import (
    RefusalCount,
    RefusalLedger,
    RefusalSettings,
)

__all__ = ["RefusalCount", "RefusalLedger", "RefusalSettings"]
