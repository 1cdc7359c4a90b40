"""The upstreams as columns: one row each, compared all at once."""

from __future__ import annotations

import numpy as np
from numpy.typing import NDArray

from papayadyke_core.placement._spec import UpstreamSpec
from papayadyke_core.resources import Resources

IntColumn = NDArray[np.int64]
FloatColumn = NDArray[np.float64]
BoolColumn = NDArray[np.bool_]

_FIRST_ROWS = 32
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


class Columns:
    """Rows of upstreams; a removed row has no capacity and is used again.

    Free amounts may be negative: adopted tasks and shrunk upstreams hold what
    they hold, and nothing new fits until the sum is back under the capacity.
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
        self.speed: FloatColumn = np.ones(_FIRST_ROWS)
        self.draining: BoolColumn = np.zeros(_FIRST_ROWS, dtype=np.bool_)
        for name in _INT_COLUMNS:
            setattr(self, name, np.zeros(_FIRST_ROWS, dtype=np.int64))
        self._unused: list[int] = []

    def __len__(self) -> int:
        return len(self.row_of)

    def put(self, spec: UpstreamSpec) -> int:
        """Add an upstream or update it; what runs on it stays counted."""
        row = self.row_of.get(spec.name)
        is_new = row is None
        if row is None:
            row = self._take_row(spec.name)
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

    def drop(self, name: str) -> None:
        """Remove an upstream on which nothing is counted any more."""
        row = self.row_of.pop(name)
        self.names[row] = None
        for column in _INT_COLUMNS:
            getattr(self, column)[row] = 0
        self.speed[row] = 1.0
        self.draining[row] = False
        self._unused.append(row)

    def hold(self, row: int, demand: Resources, tasks: int) -> None:
        """Count `tasks` more tasks of `demand` on a row; less where negative."""
        self.cpu_free[row] -= demand.cpu_millis * tasks
        self.memory_free[row] -= demand.memory_mb * tasks
        self.accelerators_free[row] -= demand.accelerators * tasks
        self.running[row] += tasks

    def fits(self, demand: Resources) -> BoolColumn:
        """Tell for each row whether one more task may be started on it."""
        fits = self.running < self.limit
        fits &= self.cpu_free >= demand.cpu_millis
        fits &= self.memory_free >= demand.memory_mb
        fits &= self.accelerators_free >= demand.accelerators
        fits &= ~self.draining
        return fits

    def ever_fits(self, demand: Resources) -> BoolColumn:
        """Tell for each row whether an idle upstream of its size holds a task."""
        fits = self.slots > 0
        fits &= self.cpu_capacity >= demand.cpu_millis
        fits &= self.memory_capacity >= demand.memory_mb
        fits &= self.accelerator_capacity >= demand.accelerators
        return fits

    def task_room(self, demand: Resources) -> IntColumn:
        """Return for each row how many more tasks of `demand` it takes."""
        room = np.where(self.draining, 0, self.limit - self.running)
        columns = (self.cpu_free, self.memory_free, self.accelerators_free)
        return _room(room, demand, columns)

    def task_room_when_idle(self, demand: Resources) -> IntColumn:
        """Return for each row how many tasks of `demand` it takes when idle."""
        columns = (
            self.cpu_capacity,
            self.memory_capacity,
            self.accelerator_capacity,
        )
        return _room(self.slots.copy(), demand, columns)

    def _take_row(self, name: str) -> int:
        if self._unused:
            row = self._unused.pop()
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
        for name in _INT_COLUMNS:
            column = getattr(self, name)
            setattr(self, name, np.concatenate((column, np.zeros_like(column))))
        self.speed = np.concatenate((self.speed, np.ones(rows)))
        self.draining = np.concatenate((self.draining, np.zeros(rows, dtype=np.bool_)))

    def _rack_id(self, spec: UpstreamSpec) -> int:
        key = (spec.availability_zone, spec.rack)
        return self.rack_ids.setdefault(key, len(self.rack_ids))


def _room(
    room: IntColumn, demand: Resources, columns: tuple[IntColumn, ...]
) -> IntColumn:
    amounts = (demand.cpu_millis, demand.memory_mb, demand.accelerators)
    for amount, column in zip(amounts, columns, strict=True):
        if amount > 0:
            room = np.minimum(room, column // amount)
        else:
            room = np.where(column < 0, 0, room)
    return np.maximum(room, 0)
