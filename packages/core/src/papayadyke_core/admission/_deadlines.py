"""Deadlines of all waiting requests, the earliest first."""

from __future__ import annotations

import heapq

from papayadyke_core.admission._queue import QueuedRequest

_MIN_STALE = 64


class DeadlineQueue:
    """Finds the requests whose deadline has passed without scanning queues."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, QueuedRequest]] = []
        self._added = 0
        self._stale = 0

    def add(self, request: QueuedRequest) -> None:
        """Watch the deadline of a request until it leaves its queue."""
        self._added += 1
        heapq.heappush(self._heap, (request.deadline_s, self._added, request))

    def note_left(self) -> None:
        """Count a watched request that has left its queue or has been started."""
        self._stale += 1
        if self._stale > max(_MIN_STALE, len(self._heap) // 2):
            self._heap = [item for item in self._heap if _is_watched(item[2])]
            heapq.heapify(self._heap)
            self._stale = 0

    def pop_expired(self, now: float) -> list[QueuedRequest]:
        """Return the requests that wait with no task started at the deadline."""
        expired = []
        heap = self._heap
        while heap and heap[0][0] <= now:
            request = heapq.heappop(heap)[2]
            if _is_watched(request):
                expired.append(request)
            else:
                self._stale = max(0, self._stale - 1)
        return expired

    def next_s(self) -> float | None:
        """Return the earliest deadline, or None."""
        heap = self._heap
        while heap and not _is_watched(heap[0][2]):
            heapq.heappop(heap)
            self._stale = max(0, self._stale - 1)
        return heap[0][0] if heap else None


def _is_watched(request: QueuedRequest) -> bool:
    return request.live and request.started == 0
