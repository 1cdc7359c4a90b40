"""Simulated clocks that run at different rates."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class DriftingClock:
    """Monotonic clock that runs at its own rate and can be suspended.

    Parameters
    ----------
    rate : float
        Seconds of this clock per second of simulated time.
    offset_s : float
        Time of this clock at simulated time 0.
    """

    rate: float
    offset_s: float

    def read(self, world_s: float) -> float:
        """Return the time of this clock at a simulated time."""
        return self.offset_s + self.rate * world_s

    def stand_still(self, world_s: float) -> None:
        """Skip a period, as the clock of a suspended VM does."""
        self.offset_s -= self.rate * world_s
