"""Monotonic clock that also advances while the machine is suspended."""

from __future__ import annotations

import time


def read_clock() -> float:
    """Return the seconds since boot, including time in suspension.

    A VM that was suspended must notice that its leases have lapsed meanwhile;
    `time.monotonic` does not count the suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
