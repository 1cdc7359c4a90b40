"""When to look at which job again."""

from __future__ import annotations

import heapq
from collections.abc import Iterable


class Agenda:
    """One due time for each id; setting it again replaces it."""

    def __init__(self) -> None:
        self._due_s: dict[str, float] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._count = 0

    def set(self, name: str, due_s: float) -> None:
        """Note the due time of an id."""
        if self._due_s.get(name) == due_s:
            return
        self._due_s[name] = due_s
        self._push(due_s, name)
        if len(self._heap) > 64 + 4 * len(self._due_s):
            self._heap = []
            for item, due in self._due_s.items():
                self._push(due, item)

    def _push(self, due_s: float, name: str) -> None:
        # The count keeps ids that are due together in the order of their setting.
        self._count += 1
        heapq.heappush(self._heap, (due_s, self._count, name))

    def discard(self, names: Iterable[str]) -> None:
        """Forget ids."""
        for name in names:
            self._due_s.pop(name, None)

    def next_s(self) -> float | None:
        """Return the earliest due time."""
        while self._heap and self._due_s.get(self._heap[0][2]) != self._heap[0][0]:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> list[str]:
        """Return and forget the ids whose time has come."""
        due: list[str] = []
        while True:
            next_s = self.next_s()
            if next_s is None or next_s > now:
                return due
            name = heapq.heappop(self._heap)[2]
            del self._due_s[name]
            due.append(name)
