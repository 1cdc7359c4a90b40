"""Deadlines of all waiting requests, earliest first."""

from __future__ import annotations

import heapq

from papayadyke_core.admission._queue import QueuedRequest

# Minimum number of stale entries before the heap is rebuilt.
_MIN_STALE_ENTRIES = 64


class DeadlineQueue:
    """Heap of deadlines that finds expired requests without scanning the queues.

    Entries of requests that have left their queue or have a started task are stale.
    They are removed when they reach the top, or all at once when they are more than
    half of the heap.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, QueuedRequest]] = []
        self._sequence = 0
        self._stale_entries = 0

    def add(self, request: QueuedRequest) -> None:
        """Add the deadline of a waiting request."""
        self._sequence += 1
        heapq.heappush(self._heap, (request.deadline_s, self._sequence, request))

    def record_stale_entry(self) -> None:
        """Count a stale entry: its request has left the queue or was started."""
        self._stale_entries += 1
        if self._stale_entries > max(_MIN_STALE_ENTRIES, len(self._heap) // 2):
            self._heap = [entry for entry in self._heap if _is_pending(entry[2])]
            heapq.heapify(self._heap)
            self._stale_entries = 0

    def pop_expired(self, now: float) -> list[QueuedRequest]:
        """Remove and return the expired requests of which no task was started."""
        expired = []
        heap = self._heap
        while heap and heap[0][0] <= now:
            request = heapq.heappop(heap)[2]
            if _is_pending(request):
                expired.append(request)
            else:
                self._stale_entries = max(0, self._stale_entries - 1)
        return expired

    def next_deadline_s(self) -> float | None:
        """Return the earliest deadline in seconds, or None if no request waits."""
        heap = self._heap
        while heap and not _is_pending(heap[0][2]):
            heapq.heappop(heap)
            self._stale_entries = max(0, self._stale_entries - 1)
        return heap[0][0] if heap else None


def _is_pending(request: QueuedRequest) -> bool:
    return request.is_queued and request.started_tasks == 0
