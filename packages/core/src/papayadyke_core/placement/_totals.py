"""Sums over the upstreams that may be given work, kept as they change."""

from __future__ import annotations

from dataclasses import dataclass

from papayadyke_core.placement._columns import Columns
from papayadyke_core.resources import NOTHING, Resources


@dataclass(frozen=True, slots=True)
class _Part:
    """What one upstream adds; `exact` where no free amount was raised to zero."""

    capacity: Resources = NOTHING
    free: Resources = NOTHING
    slots: int = 0
    free_slots: int = 0
    exact: bool = False


_NO_PART = _Part()


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
        self.capacity = self.capacity - old.capacity + new.capacity
        self.free = self.free - old.free + new.free
        self.slots += new.slots - old.slots
        self.free_slots += new.free_slots - old.free_slots

    def hold(self, columns: Columns, row: int, demand: Resources, tasks: int) -> None:
        """Count a task that was added to a row (1) or taken from it (-1).

        Reading columns one by one is slow, so it is left out where the row's part
        follows from the one before.
        """
        old = self._parts[row]
        free = old.free - demand if tasks > 0 else old.free + demand
        free_slots = old.free_slots - tasks
        if not old.exact or free_slots < 0 or not free.is_valid():
            self.refresh(columns, row)
            return
        self._parts[row] = _Part(old.capacity, free, old.slots, free_slots, True)
        self.free = self.free - demand if tasks > 0 else self.free + demand
        self.free_slots -= tasks

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
        int(columns.cpu_free[row]),
        int(columns.memory_free[row]),
        int(columns.accelerators_free[row]),
    )
    free_slots = limit - int(columns.running[row])
    if free.is_valid() and free_slots >= 0:
        return _Part(capacity, free, limit, free_slots, True)
    raised = Resources(
        max(free.cpu_millis, 0), max(free.memory_mb, 0), max(free.accelerators, 0)
    )
    return _Part(capacity, raised, limit, max(free_slots, 0))
