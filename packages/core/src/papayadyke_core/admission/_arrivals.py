"""How much work of a workload arrives."""

from __future__ import annotations

import math

_FORGOTTEN_TASKS = 0.01


class ArrivalRate:
    """Tasks per second that arrive, over a sliding window.

    Parameters
    ----------
    window_s : float
    """

    def __init__(self, *, window_s: float) -> None:
        self.window_s = window_s
        self._tasks = 0.0
        self._counted_at_s = 0.0

    def record(self, tasks: int, now: float) -> None:
        """Count tasks that arrive now."""
        self._decay(now)
        self._tasks += tasks

    def rate(self, now: float) -> float:
        """Return the tasks per second; zero after a long quiet time."""
        self._decay(now)
        if self._tasks < _FORGOTTEN_TASKS:
            return 0.0
        return self._tasks / self.window_s

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._counted_at_s
        if elapsed_s > 0.0:
            self._tasks *= math.exp(-elapsed_s / self.window_s)
            self._counted_at_s = now
