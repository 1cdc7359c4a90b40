"""Detection of sustained overload (a flood) of a workload."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from papayadyke_core.admission._settings import AdmissionSettings

# Queue lengths up to this many standard deviations are explained by chance.
_BURST_DEVIATIONS = 3.0


@dataclass(slots=True)
class _Interval:
    arrivals: int = 0
    starts: int = 0

    def exceeds(self, ratio: float) -> bool:
        return self.arrivals > 0 and self.arrivals >= ratio * self.starts


class FloodDetector:
    """Detector of floods, that is, of sustained arrivals far above the starts.

    During a flood, queueing delays every request without letting more of them run,
    so requests that cannot start immediately should be refused immediately. A
    burst, in contrast, is absorbed by a short queue.

    Arrivals and starts are compared in short intervals. A flood begins when all
    recent intervals have too many arrivals and the queue is longer than random
    variation explains. It ends when none of the recent intervals has too many.

    Parameters
    ----------
    settings : AdmissionSettings
        Length and number of the intervals, and the ratios of arrivals to starts.
    """

    def __init__(self, *, settings: AdmissionSettings) -> None:
        self.settings = settings
        self._completed: deque[_Interval] = deque(maxlen=settings.flood_intervals)
        self._current = _Interval()
        self._current_index = 0
        self._flood_since_s: float | None = None

    def record_arrival(self, now: float) -> None:
        """Count an arriving request, whether it is admitted or not."""
        self._advance(now)
        self._current.arrivals += 1

    def record_start(self, now: float) -> None:
        """Count a started task."""
        self._advance(now)
        self._current.starts += 1

    @property
    def arrival_rate(self) -> float:
        """Arriving requests per second over the recent intervals."""
        return self._per_second(sum(interval.arrivals for interval in self._completed))

    @property
    def start_rate(self) -> float:
        """Starts per second over the recent intervals."""
        return self._per_second(sum(interval.starts for interval in self._completed))

    def is_flooded(self, *, queued: int, running: int, now: float) -> bool:
        """Return whether a flood is in progress.

        Parameters
        ----------
        queued : int
            Tasks that still wait after all possible starts.
        running : int
            Running tasks.
        now : float
            Current time in seconds.
        """
        self._advance(now)
        settings = self.settings
        if self._flood_since_s is not None:
            ratio = settings.flood_end_ratio
            if not any(interval.exceeds(ratio) for interval in self._completed):
                self._flood_since_s = None
            return self._flood_since_s is not None
        burst_limit = _BURST_DEVIATIONS * (1.0 + math.sqrt(running))
        if queued > burst_limit and self._all_exceed(settings.flood_ratio):
            self._flood_since_s = now
        return self._flood_since_s is not None

    def age_s(self, now: float) -> float:
        """Return the duration of the flood in seconds; zero without one."""
        return 0.0 if self._flood_since_s is None else now - self._flood_since_s

    def _all_exceed(self, ratio: float) -> bool:
        """Return whether all recent intervals exceed the ratio.

        Intervals without any start indicate an outage, not a flood.
        """
        has_all_intervals = len(self._completed) == self.settings.flood_intervals
        has_starts = any(interval.starts > 0 for interval in self._completed)
        return (
            has_all_intervals
            and has_starts
            and all(interval.exceeds(ratio) for interval in self._completed)
        )

    def _per_second(self, count: int) -> float:
        return count / (self.settings.flood_intervals * self.settings.flood_interval_s)

    def _advance(self, now: float) -> None:
        index = int(now / self.settings.flood_interval_s)
        if index == self._current_index:
            return
        self._completed.append(self._current)
        empty_count = min(
            index - self._current_index - 1, self.settings.flood_intervals
        )
        self._completed.extend(_Interval() for _ in range(empty_count))
        self._current = _Interval()
        self._current_index = index
