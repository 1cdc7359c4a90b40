"""Sums over the upstreams that may be given work, kept as they change."""

from __future__ import annotations

from papayadyke_core.placement._columns import Columns
from papayadyke_core.resources import NOTHING, Resources

_Part = tuple[Resources, Resources, int, int]
_NO_PART: _Part = (NOTHING, NOTHING, 0, 0)


class Totals:
    """Capacity, free amounts, slots and free slots of all usable upstreams.

    What an overfull upstream lacks is not taken from the others' free amounts.
    """

    def __init__(self) -> None:
        self.capacity = NOTHING
        self.free = NOTHING
        self.slots = 0
        self.free_slots = 0
        self._parts: dict[int, _Part] = {}

    def refresh(self, columns: Columns, row: int) -> None:
        """Count a row anew after it has changed."""
        old = self._parts.get(row, _NO_PART)
        new = _part(columns, row)
        self._parts[row] = new
        if new[0] != old[0]:
            self.capacity = self.capacity - old[0] + new[0]
        self.free = self.free - old[1] + new[1]
        self.slots += new[2] - old[2]
        self.free_slots += new[3] - old[3]

    def check(self, columns: Columns) -> None:
        """Compare the sums with ones counted anew.

        Raises
        ------
        AssertionError
            If they differ.
        """
        fresh = Totals()
        for row in range(len(columns.names)):
            fresh.refresh(columns, row)
        kept = (self.capacity, self.free, self.slots, self.free_slots)
        if kept != (fresh.capacity, fresh.free, fresh.slots, fresh.free_slots):
            raise AssertionError("placement: totals differ")


def _part(columns: Columns, row: int) -> _Part:
    limit = int(columns.limit[row])
    if columns.draining[row] or limit == 0:
        return _NO_PART
    capacity = Resources(
        int(columns.cpu_capacity[row]),
        int(columns.memory_capacity[row]),
        int(columns.accelerator_capacity[row]),
    )
    free = Resources(
        max(int(columns.cpu_free[row]), 0),
        max(int(columns.memory_free[row]), 0),
        max(int(columns.accelerators_free[row]), 0),
    )
    free_slots = max(limit - int(columns.running[row]), 0)
    return capacity, free, limit, free_slots
