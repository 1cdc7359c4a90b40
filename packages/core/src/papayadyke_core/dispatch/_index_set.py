"""Sets of small integers, stored as ranges."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator

IndexRows = list[int | tuple[int, int]]


class IndexSet:
    """Set of integers whose size in memory is that of its ranges.

    Parameters
    ----------
    first, stop : int
        The set begins with the integers from `first` to before `stop`.
    """

    __slots__ = ("_count", "_firsts", "_stops")

    def __init__(self, first: int = 0, stop: int = 0) -> None:
        self._firsts = [first] if first < stop else []
        self._stops = [stop] if first < stop else []
        self._count = max(0, stop - first)

    @classmethod
    def from_rows(cls, rows: Iterable[int | tuple[int, int]], stop: int) -> IndexSet:
        """Return the set that `list_rows` described, without integers from `stop`."""
        indexes = cls()
        for row in rows:
            first, last = row if isinstance(row, tuple) else (row, row)
            indexes.add_range(max(first, 0), min(last + 1, stop))
        return indexes

    def list_rows(self) -> IndexRows:
        """Return each integer that is alone, and of each range the first and last."""
        return [
            first if stop == first + 1 else (first, stop - 1)
            for first, stop in zip(self._firsts, self._stops, strict=True)
        ]

    def add(self, index: int) -> None:
        """Add an integer."""
        self.add_range(index, index + 1)

    def add_range(self, first: int, stop: int) -> None:
        """Add the integers from `first` to before `stop`."""
        if first >= stop:
            return
        # The ranges that overlap the new one or are next to it become one range.
        low = bisect_right(self._firsts, first)
        if low and self._stops[low - 1] >= first:
            low -= 1
        high = low
        while high < len(self._firsts) and self._firsts[high] <= stop:
            first = min(first, self._firsts[high])
            stop = max(stop, self._stops[high])
            self._count -= self._stops[high] - self._firsts[high]
            high += 1
        self._firsts[low:high] = [first]
        self._stops[low:high] = [stop]
        self._count += stop - first

    def discard(self, index: int) -> None:
        """Remove an integer if the set contains it."""
        position = bisect_right(self._firsts, index) - 1
        if position < 0 or index >= self._stops[position]:
            return
        first, stop = self._firsts[position], self._stops[position]
        kept = [row for row in ((first, index), (index + 1, stop)) if row[0] < row[1]]
        self._firsts[position : position + 1] = [row[0] for row in kept]
        self._stops[position : position + 1] = [row[1] for row in kept]
        self._count -= 1

    def find_missing(self, first: int) -> int:
        """Return the lowest integer from `first` that the set does not contain."""
        position = bisect_right(self._firsts, first) - 1
        return max(first, self._stops[position]) if position >= 0 else first

    def count_below(self, stop: int) -> int:
        """Return how many integers below `stop` the set contains."""
        rows = zip(self._firsts, self._stops, strict=True)
        return sum(min(end, stop) - first for first, end in rows if first < stop)

    def __contains__(self, index: int) -> bool:
        position = bisect_right(self._firsts, index) - 1
        return position >= 0 and index < self._stops[position]

    def __iter__(self) -> Iterator[int]:
        for first, stop in zip(list(self._firsts), list(self._stops), strict=True):
            yield from range(first, stop)

    def __len__(self) -> int:
        return self._count

    def __repr__(self) -> str:
        return f"IndexSet({self.list_rows()})"
