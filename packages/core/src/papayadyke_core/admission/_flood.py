"""Tells a flood of a workload from a burst."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from papayadyke_core.admission._settings import AdmissionSettings

_BURST_DEVIATIONS = 3.0


@dataclass(slots=True)
class _Interval:
    arrivals: int = 0
    starts: int = 0

    def is_over(self, ratio: float) -> bool:
        return self.arrivals > 0 and self.arrivals >= ratio * self.starts


class FloodDetector:
    """Whether much more of a workload arrives than can be started, and goes on to.

    In a flood a queue makes every request wait and lets no more of them run, so
    what can't be started at once is better refused at once. A burst is another
    matter: a short queue takes it up.

    Arrivals and starts are compared in short intervals. A flood begins when all
    of the last ones have too many arrivals and the queue is longer than chance
    makes it, and ends when none of the last ones has.

    Parameters
    ----------
    settings : AdmissionSettings
    """

    def __init__(self, *, settings: AdmissionSettings) -> None:
        self.settings = settings
        self._past: deque[_Interval] = deque(maxlen=settings.flood_intervals)
        self._present = _Interval()
        self._index = 0
        self._since_s: float | None = None

    def record_arrival(self, now: float) -> None:
        """Count a request, whether it is taken in or not."""
        self._advance(now)
        self._present.arrivals += 1

    def record_start(self, now: float) -> None:
        """Count a start."""
        self._advance(now)
        self._present.starts += 1

    @property
    def arrival_rate(self) -> float:
        """The requests per second that have arrived lately."""
        return self._per_second(sum(item.arrivals for item in self._past))

    @property
    def start_rate(self) -> float:
        """The starts per second of late."""
        return self._per_second(sum(item.starts for item in self._past))

    def is_flooded(self, *, queued: int, running: int, now: float) -> bool:
        """Tell whether a flood has begun, or has not ended yet.

        Parameters
        ----------
        queued : int
            Tasks that wait though all that could be started has been.
        running : int
            Tasks that run.
        now : float
        """
        self._advance(now)
        settings = self.settings
        if self._since_s is not None:
            ratio = settings.flood_end_ratio
            if not any(item.is_over(ratio) for item in self._past):
                self._since_s = None
            return self._since_s is not None
        burst = _BURST_DEVIATIONS * (1.0 + math.sqrt(running))
        if queued > burst and self._all_over(settings.flood_ratio):
            self._since_s = now
        return self._since_s is not None

    def age_s(self, now: float) -> float:
        """Return for how long the flood has lasted."""
        return 0.0 if self._since_s is None else now - self._since_s

    def _all_over(self, ratio: float) -> bool:
        """Tell whether all intervals are; without any start it is an outage."""
        full = len(self._past) == self.settings.flood_intervals
        served = any(item.starts > 0 for item in self._past)
        return full and served and all(item.is_over(ratio) for item in self._past)

    def _per_second(self, count: int) -> float:
        return count / (self.settings.flood_intervals * self.settings.flood_interval_s)

    def _advance(self, now: float) -> None:
        index = int(now / self.settings.flood_interval_s)
        if index == self._index:
            return
        self._past.append(self._present)
        empty = min(index - self._index - 1, self.settings.flood_intervals)
        self._past.extend(_Interval() for _ in range(empty))
        self._present = _Interval()
        self._index = index
