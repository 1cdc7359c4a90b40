"""Queue of ids by due time."""

from __future__ import annotations

import heapq
from collections.abc import Iterable


class DueQueue:
    """Keep one due time for each id; setting it again replaces it."""

    def __init__(self) -> None:
        self._due_s: dict[str, float] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._sequence = 0

    def set(self, item_id: str, due_s: float) -> None:
        """Set the due time of an id, in monotonic seconds."""
        if self._due_s.get(item_id) == due_s:
            return
        self._due_s[item_id] = due_s
        self._push(due_s, item_id)
        if len(self._heap) > 64 + 4 * len(self._due_s):
            self._heap = []
            for other_id, other_due_s in self._due_s.items():
                self._push(other_due_s, other_id)

    def _push(self, due_s: float, item_id: str) -> None:
        # The sequence number keeps ids with the same due time in insertion order.
        self._sequence += 1
        heapq.heappush(self._heap, (due_s, self._sequence, item_id))

    def discard(self, item_ids: Iterable[str]) -> None:
        """Remove ids."""
        for item_id in item_ids:
            self._due_s.pop(item_id, None)

    def next_due_s(self) -> float | None:
        """Return the earliest due time, or None if there is none."""
        while self._heap and self._due_s.get(self._heap[0][2]) != self._heap[0][0]:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> list[str]:
        """Remove and return the ids that are due, the earliest first."""
        due: list[str] = []
        while True:
            next_due_s = self.next_due_s()
            if next_due_s is None or next_due_s > now:
                return due
            item_id = heapq.heappop(self._heap)[2]
            del self._due_s[item_id]
            due.append(item_id)
