"""Columnar table of upstreams, for vectorized comparison."""

from __future__ import annotations

import numpy as np
from numpy.typing import NDArray

from papayadyke_core.placement._spec import UpstreamSpec
from papayadyke_core.resources import Resources

IntColumn = NDArray[np.int64]
FloatColumn = NDArray[np.float64]
BoolColumn = NDArray[np.bool_]

_INITIAL_ROWS = 32
_INT_COLUMNS = (
    "cpu_capacity",
    "memory_capacity",
    "accelerator_capacity",
    "cpu_free",
    "memory_free",
    "accelerators_free",
    "slots",
    "limit",
    "running",
    "rack",
)


class UpstreamTable:
    """Table with one row per upstream and one array per column.

    A removed row has zero capacity and is reused for the next new upstream.

    Free amounts can be negative, because adopted tasks and upstreams whose
    capacity was reduced keep their existing usage. No further task fits until the
    usage is within the capacity again.
    """

    cpu_capacity: IntColumn
    memory_capacity: IntColumn
    accelerator_capacity: IntColumn
    cpu_free: IntColumn
    memory_free: IntColumn
    accelerators_free: IntColumn
    slots: IntColumn
    limit: IntColumn
    running: IntColumn
    rack: IntColumn

    def __init__(self) -> None:
        self.names: list[str | None] = []
        self.row_of: dict[str, int] = {}
        self.rack_ids: dict[tuple[str, str], int] = {}
        self.speed: FloatColumn = np.ones(_INITIAL_ROWS)
        self.draining: BoolColumn = np.zeros(_INITIAL_ROWS, dtype=np.bool_)
        for column_name in _INT_COLUMNS:
            setattr(self, column_name, np.zeros(_INITIAL_ROWS, dtype=np.int64))
        self._free_rows: list[int] = []

    def __len__(self) -> int:
        return len(self.row_of)

    def upsert(self, spec: UpstreamSpec) -> int:
        """Add or update an upstream, keep its usage and return its row."""
        row = self.row_of.get(spec.name)
        is_new = row is None
        if row is None:
            row = self._allocate_row(spec.name)
        capacity = spec.capacity
        self.cpu_free[row] += capacity.cpu_millis - self.cpu_capacity[row]
        self.memory_free[row] += capacity.memory_mb - self.memory_capacity[row]
        self.accelerators_free[row] += (
            capacity.accelerators - self.accelerator_capacity[row]
        )
        self.cpu_capacity[row] = capacity.cpu_millis
        self.memory_capacity[row] = capacity.memory_mb
        self.accelerator_capacity[row] = capacity.accelerators
        if is_new or self.limit[row] == self.slots[row]:
            self.limit[row] = spec.slots
        self.limit[row] = min(self.limit[row], spec.slots)
        self.slots[row] = spec.slots
        if is_new:
            self.speed[row] = spec.speed
        self.rack[row] = self._rack_id(spec)
        return row

    def remove(self, name: str) -> None:
        """Remove an upstream that has no usage left."""
        row = self.row_of.pop(name)
        self.names[row] = None
        for column_name in _INT_COLUMNS:
            getattr(self, column_name)[row] = 0
        self.speed[row] = 1.0
        self.draining[row] = False
        self._free_rows.append(row)

    def add_tasks(self, row: int, demand: Resources, task_delta: int) -> None:
        """Add `task_delta` tasks to the usage of a row; a negative number removes."""
        self.cpu_free[row] -= demand.cpu_millis * task_delta
        self.memory_free[row] -= demand.memory_mb * task_delta
        self.accelerators_free[row] -= demand.accelerators * task_delta
        self.running[row] += task_delta

    def fits_now(self, demand: Resources) -> BoolColumn:
        """Return the mask of rows on which one more task can start now."""
        mask = self.running < self.limit
        mask &= self.cpu_free >= demand.cpu_millis
        mask &= self.memory_free >= demand.memory_mb
        mask &= self.accelerators_free >= demand.accelerators
        mask &= ~self.draining
        return mask

    def fits_when_idle(self, demand: Resources) -> BoolColumn:
        """Return the mask of rows whose total capacity fits one task."""
        mask = self.slots > 0
        mask &= self.cpu_capacity >= demand.cpu_millis
        mask &= self.memory_capacity >= demand.memory_mb
        mask &= self.accelerator_capacity >= demand.accelerators
        return mask

    def task_headroom(self, demand: Resources) -> IntColumn:
        """Return the number of additional tasks that fit on each row now."""
        task_count = np.where(self.draining, 0, self.limit - self.running)
        columns = (self.cpu_free, self.memory_free, self.accelerators_free)
        return _count_fitting_tasks(task_count, demand, columns)

    def task_capacity_when_idle(self, demand: Resources) -> IntColumn:
        """Return the number of tasks that fit on each row when it is idle."""
        columns = (
            self.cpu_capacity,
            self.memory_capacity,
            self.accelerator_capacity,
        )
        return _count_fitting_tasks(self.slots.copy(), demand, columns)

    def _allocate_row(self, name: str) -> int:
        if self._free_rows:
            row = self._free_rows.pop()
            self.names[row] = name
        else:
            row = len(self.names)
            self.names.append(name)
            if row >= len(self.speed):
                self._grow()
        self.row_of[name] = row
        return row

    def _grow(self) -> None:
        rows = len(self.speed)
        for column_name in _INT_COLUMNS:
            column = getattr(self, column_name)
            setattr(self, column_name, np.concatenate((column, np.zeros_like(column))))
        self.speed = np.concatenate((self.speed, np.ones(rows)))
        self.draining = np.concatenate((self.draining, np.zeros(rows, dtype=np.bool_)))

    def _rack_id(self, spec: UpstreamSpec) -> int:
        key = (spec.availability_zone, spec.rack)
        return self.rack_ids.setdefault(key, len(self.rack_ids))


def _count_fitting_tasks(
    task_count: IntColumn, demand: Resources, columns: tuple[IntColumn, ...]
) -> IntColumn:
    """Reduce task counts to what the columns of available amounts allow."""
    amounts = (demand.cpu_millis, demand.memory_mb, demand.accelerators)
    for amount, column in zip(amounts, columns, strict=True):
        if amount > 0:
            task_count = np.minimum(task_count, column // amount)
        else:
            task_count = np.where(column < 0, 0, task_count)
    return np.maximum(task_count, 0)
