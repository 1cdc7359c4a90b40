"""Which of the upstreams that fit is taken: one function for each kind of work.

All of them are pure: they read the columns and return rows.
"""

from __future__ import annotations

import numpy as np

from papayadyke_core.placement._columns import (
    BoolColumn,
    Columns,
    FloatColumn,
    IntColumn,
)
from papayadyke_core.placement._settings import PlacementSettings
from papayadyke_core.resources import Resources


def choose_for_service(
    columns: Columns,
    rows: IntColumn,
    demand: Resources,
    rack_load: FloatColumn,
    *,
    settings: PlacementSettings,
) -> int:
    """Return the row that spreads a service and answers soonest.

    The load of an upstream is what runs on it against its slots times its speed,
    so that a slow one gets less in proportion; the load of its rack counts only
    this service.

    Parameters
    ----------
    columns : Columns
    rows : array of int
        The rows that fit; at least one.
    demand : Resources
    rack_load : array of float
        By rack id, what the service runs there against the rack's strength.
    settings : PlacementSettings
    """
    speed = columns.speed[rows]
    load = (columns.running[rows] + 1) / (columns.limit[rows] * speed)
    score = load + settings.rack_weight * rack_load[columns.rack[rows]]
    score -= settings.speed_weight * speed / speed.max()
    score += _accelerator_cost(columns, rows, demand, settings=settings)
    return int(rows[score.argmin()])


def choose_for_batch(
    columns: Columns,
    rows: IntColumn,
    demand: Resources,
    *,
    settings: PlacementSettings,
) -> int:
    """Return the row that is left with least: best fit, which keeps large holes.

    Parameters
    ----------
    columns : Columns
    rows : array of int
        The rows that fit; at least one.
    demand : Resources
    settings : PlacementSettings
    """
    score = _fraction_left(
        columns.cpu_free[rows], demand.cpu_millis, columns.cpu_capacity[rows]
    )
    score += _fraction_left(
        columns.memory_free[rows], demand.memory_mb, columns.memory_capacity[rows]
    )
    slots_left = columns.limit[rows] - columns.running[rows]
    score += _fraction_left(slots_left, 1, columns.slots[rows])
    speed = columns.speed[rows] / columns.speed[rows].max()
    score += settings.slow_weight * np.maximum(settings.slow_ratio - speed, 0.0)
    score += _accelerator_cost(columns, rows, demand, settings=settings)
    return int(rows[score.argmin()])


def choose_for_gang(
    columns: Columns, usable: BoolColumn, demand: Resources, tasks: int
) -> list[tuple[int, int]] | None:
    """Return how many tasks go to which rows, or None where not all of them fit.

    The racks are as few as they can be: the tightest rack that takes the whole
    gang, or else the roomiest racks first. In a rack the fast upstreams go
    first, because a gang is as slow as its slowest task.

    Parameters
    ----------
    columns : Columns
    usable : array of bool
        Rows that may be taken at all.
    demand : Resources
        What one task needs.
    tasks : int
    """
    room = np.where(usable, columns.task_room(demand), 0)
    if int(room.sum()) < tasks:
        return None
    rack_room = np.bincount(columns.rack, weights=room).astype(np.int64)
    spare = _accelerators_to_spare(columns, demand)
    chosen: list[tuple[int, int]] = []
    missing = tasks
    for rack in _racks_in_order(rack_room, tasks):
        rows = np.flatnonzero((columns.rack == rack) & (room > 0))
        order = np.lexsort((-room[rows], -columns.speed[rows], spare[rows]))
        for row in rows[order]:
            count = min(int(room[row]), missing)
            chosen.append((int(row), count))
            missing -= count
            if missing == 0:
                return chosen
    return None


def _racks_in_order(rack_room: IntColumn, tasks: int) -> list[int]:
    whole = np.flatnonzero(rack_room >= tasks)
    if len(whole) > 0:
        return [int(whole[rack_room[whole].argmin()])]
    return [int(rack) for rack in np.argsort(-rack_room, kind="stable")]


def _fraction_left(free: IntColumn, amount: int, capacity: IntColumn) -> FloatColumn:
    whole = np.maximum(capacity, 1).astype(np.float64)
    return np.asarray((free - amount) / whole, dtype=np.float64)


def _accelerators_to_spare(columns: Columns, demand: Resources) -> BoolColumn:
    if demand.accelerators > 0:
        return np.zeros(len(columns.speed), dtype=np.bool_)
    return columns.accelerators_free > 0


def _accelerator_cost(
    columns: Columns,
    rows: IntColumn,
    demand: Resources,
    *,
    settings: PlacementSettings,
) -> FloatColumn:
    free = columns.accelerators_free[rows]
    if demand.accelerators > 0:
        capacity = columns.accelerator_capacity[rows]
        return _fraction_left(free, demand.accelerators, capacity)
    spared = (free > 0).astype(np.float64)
    return np.multiply(spared, settings.accelerator_weight, dtype=np.float64)
