"""How fast a workload's queue is served."""

from __future__ import annotations

import math


class ServiceRate:
    """Starts per second of a workload while it has a queue.

    What was learned in an earlier queue is dropped when a new one forms, because
    the share that the workload gets may be another one by then.

    Parameters
    ----------
    window_s : float
    evidence_s : float
        Age of the queue below which no rate is given.
    """

    def __init__(self, *, window_s: float, evidence_s: float) -> None:
        self.window_s = window_s
        self.evidence_s = evidence_s
        self._queue_since_s: float | None = None
        self._counted_at_s = 0.0
        self._starts = 0.0
        self._span_s = 0.0

    def begin_queue(self, now: float) -> None:
        """Note that the queue is no longer empty."""
        self._queue_since_s = now
        self._counted_at_s = now
        self._starts = 0.0
        self._span_s = 0.0

    def end_queue(self) -> None:
        """Note that the queue is empty."""
        self._queue_since_s = None

    def record_start(self, now: float) -> None:
        """Count a start."""
        if self._queue_since_s is not None:
            self._decay(now)
            self._starts += 1.0

    def rate(self, now: float) -> float | None:
        """Return the starts per second, or None without enough evidence.

        One start more than was seen is assumed, so that a short gap between
        starts is not taken for a stop.
        """
        since_s = self._queue_since_s
        if since_s is None or now - since_s < self.evidence_s:
            return None
        self._decay(now)
        return (self._starts + 1.0) / self._span_s

    def wait_s(self, tasks_ahead: int, now: float) -> float | None:
        """Return the expected waiting time behind other tasks, if it is known."""
        rate = self.rate(now)
        return None if rate is None else tasks_ahead / rate

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._counted_at_s
        if elapsed_s > 0.0:
            kept = math.exp(-elapsed_s / self.window_s)
            self._starts *= kept
            self._span_s = self._span_s * kept + self.window_s * (1.0 - kept)
            self._counted_at_s = now
