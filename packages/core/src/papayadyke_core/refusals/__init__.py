"""What was refused, of whom, and why."""

from papayadyke_core.refusals._ledger import (
    RefusalCount,
    RefusalLedger,
    RefusalSettings,
)

__all__ = ["RefusalCount", "RefusalLedger", "RefusalSettings"]
