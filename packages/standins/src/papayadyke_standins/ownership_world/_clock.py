"""Clocks that run at unlike rates."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class DriftingClock:
    """A monotonic clock that runs at its own rate, and may stand still.

    Parameters
    ----------
    rate : float
        Seconds of this clock in a second of the world.
    offset_s : float
    """

    rate: float
    offset_s: float

    def read(self, world_s: float) -> float:
        """Return the time of this clock."""
        return self.offset_s + self.rate * world_s

    def stand_still(self, world_s: float) -> None:
        """Leave out a time, as the clock of a suspended VM does."""
        self.offset_s -= self.rate * world_s
