"""Incrementally maintained totals over the usable upstreams."""

from __future__ import annotations

from dataclasses import dataclass

from papayadyke_core.placement._upstream_table import UpstreamTable
from papayadyke_core.resources import ZERO_RESOURCES, Resources


@dataclass(frozen=True, slots=True)
class _Contribution:
    """Contribution of one upstream; exact if no free amount was clamped to zero."""

    capacity: Resources = ZERO_RESOURCES
    free: Resources = ZERO_RESOURCES
    slots: int = 0
    free_slots: int = 0
    is_exact: bool = False


_NO_CONTRIBUTION = _Contribution()


class Totals:
    """Capacity, free resources, slots and free slots of all usable upstreams.

    An upstream is usable if it is not draining and its task limit is above zero.
    Negative free amounts of an overcommitted upstream count as zero, so that they
    do not reduce the free amounts of the others.
    """

    def __init__(self) -> None:
        self.capacity = ZERO_RESOURCES
        self.free = ZERO_RESOURCES
        self.slots = 0
        self.free_slots = 0
        self._contributions: dict[int, _Contribution] = {}

    def refresh(self, table: UpstreamTable, row: int) -> None:
        """Recompute the contribution of a row after it has changed."""
        old = self._contributions.get(row, _NO_CONTRIBUTION)
        new = _compute_contribution(table, row)
        self._contributions[row] = new
        self.capacity = self.capacity - old.capacity + new.capacity
        self.free = self.free - old.free + new.free
        self.slots += new.slots - old.slots
        self.free_slots += new.free_slots - old.free_slots

    def add_tasks(
        self, table: UpstreamTable, row: int, demand: Resources, task_delta: int
    ) -> None:
        """Account for a task that was added to a row (1) or removed from it (-1).

        Reading single array elements is slow, so the new contribution is derived
        from the previous one if that is exact and stays non-negative.
        """
        old = self._contributions[row]
        free = old.free - demand if task_delta > 0 else old.free + demand
        free_slots = old.free_slots - task_delta
        if not old.is_exact or free_slots < 0 or not free.is_non_negative():
            self.refresh(table, row)
            return
        self._contributions[row] = _Contribution(
            old.capacity, free, old.slots, free_slots, True
        )
        self.free = self.free - demand if task_delta > 0 else self.free + demand
        self.free_slots -= task_delta

    def check_invariants(self, table: UpstreamTable) -> None:
        """Compare the stored totals with recomputed ones.

        Raises
        ------
        AssertionError
            If they differ.
        """
        recomputed = Totals()
        for row in range(len(table.names)):
            recomputed.refresh(table, row)
        stored = (self.capacity, self.free, self.slots, self.free_slots)
        if stored != (
            recomputed.capacity,
            recomputed.free,
            recomputed.slots,
            recomputed.free_slots,
        ):
            raise AssertionError(
                "placement: stored totals differ from recomputed totals"
            )


def _compute_contribution(table: UpstreamTable, row: int) -> _Contribution:
    limit = int(table.limit[row])
    if table.draining[row] or limit == 0:
        return _NO_CONTRIBUTION
    capacity = Resources(
        int(table.cpu_capacity[row]),
        int(table.memory_capacity[row]),
        int(table.accelerator_capacity[row]),
    )
    free = Resources(
        int(table.cpu_free[row]),
        int(table.memory_free[row]),
        int(table.accelerators_free[row]),
    )
    free_slots = limit - int(table.running[row])
    if free.is_non_negative() and free_slots >= 0:
        return _Contribution(capacity, free, limit, free_slots, True)
    clamped = Resources(
        max(free.cpu_millis, 0), max(free.memory_mb, 0), max(free.accelerators, 0)
    )
    return _Contribution(capacity, clamped, limit, max(free_slots, 0))
