"""A steady clock that goes on while the machine is suspended."""

from __future__ import annotations

import time


def read_clock() -> float:
    """Return seconds since the boot, with the time of suspensions.

    A VM that was frozen must notice that its leases have lapsed meanwhile, which
    the monotonic clock would hide.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
