"""Estimate of the rate at which the queue of a workload is served."""

from __future__ import annotations

import math


class ServiceRate:
    """Starts per second of a workload while its queue is not empty.

    The estimate is reset whenever a new queue forms, because the share of the
    workload can have changed since the last one.

    Parameters
    ----------
    window_s : float
        Time constant of the exponential decay in seconds.
    min_queue_age_s : float
        Minimum age of the queue in seconds for a rate to be returned.
    """

    def __init__(self, *, window_s: float, min_queue_age_s: float) -> None:
        self.window_s = window_s
        self.min_queue_age_s = min_queue_age_s
        self._queue_since_s: float | None = None
        self._decayed_at_s = 0.0
        self._starts = 0.0
        self._observed_s = 0.0

    def begin_queue(self, now: float) -> None:
        """Reset the estimate because a queue has formed."""
        self._queue_since_s = now
        self._decayed_at_s = now
        self._starts = 0.0
        self._observed_s = 0.0

    def end_queue(self) -> None:
        """Stop the estimate because the queue is empty."""
        self._queue_since_s = None

    def record_start(self, now: float) -> None:
        """Count a started task if there is a queue."""
        if self._queue_since_s is not None:
            self._decay(now)
            self._starts += 1.0

    def rate(self, now: float) -> float | None:
        """Return the starts per second, or None if the queue is too young.

        One additional start is assumed, so that a short gap between starts is not
        mistaken for a standstill.
        """
        queue_since_s = self._queue_since_s
        if queue_since_s is None or now - queue_since_s < self.min_queue_age_s:
            return None
        self._decay(now)
        return (self._starts + 1.0) / self._observed_s

    def wait_s(self, tasks_ahead: int, now: float) -> float | None:
        """Return the expected wait in seconds behind other tasks, or None."""
        rate = self.rate(now)
        return None if rate is None else tasks_ahead / rate

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._decayed_at_s
        if elapsed_s > 0.0:
            decay = math.exp(-elapsed_s / self.window_s)
            self._starts *= decay
            self._observed_s = self._observed_s * decay + self.window_s * (1.0 - decay)
            self._decayed_at_s = now
