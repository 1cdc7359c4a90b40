"""Estimate of the arrival rate of a workload."""

from __future__ import annotations

import math

# Decayed task count below which the rate is reported as zero.
_MIN_DECAYED_TASKS = 0.01


class ArrivalRate:
    """Arriving tasks per second, from an exponentially decaying count.

    Parameters
    ----------
    window_s : float
        Time constant of the decay in seconds.
    """

    def __init__(self, *, window_s: float) -> None:
        self.window_s = window_s
        self._tasks = 0.0
        self._decayed_at_s = 0.0

    def record(self, tasks: int, now: float) -> None:
        """Count arriving tasks."""
        self._decay(now)
        self._tasks += tasks

    def rate(self, now: float) -> float:
        """Return the tasks per second; zero after a long time without arrivals."""
        self._decay(now)
        if self._tasks < _MIN_DECAYED_TASKS:
            return 0.0
        return self._tasks / self.window_s

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._decayed_at_s
        if elapsed_s > 0.0:
            self._tasks *= math.exp(-elapsed_s / self.window_s)
            self._decayed_at_s = now
