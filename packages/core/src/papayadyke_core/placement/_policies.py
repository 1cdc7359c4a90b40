"""Placement policies: one function for services, batch tasks and gangs each.

The functions are pure: they read the upstream table and return rows.
"""

from __future__ import annotations

import numpy as np

from papayadyke_core.placement._settings import PlacementSettings
from papayadyke_core.placement._upstream_table import (
    BoolColumn,
    FloatColumn,
    IntColumn,
    UpstreamTable,
)
from papayadyke_core.resources import Resources


def choose_for_service(
    table: UpstreamTable,
    rows: IntColumn,
    demand: Resources,
    rack_load: FloatColumn,
    *,
    settings: PlacementSettings,
) -> int:
    """Return the row with the best score by load, rack spread and speed.

    The load of an upstream is its number of tasks, including the new one, divided
    by its task limit times its speed, so that a slow upstream receives
    proportionally fewer tasks. The load of a rack counts only the tasks of this
    service.

    Parameters
    ----------
    table : UpstreamTable
    rows : array of int
        Rows on which the task fits; must not be empty.
    demand : Resources
    rack_load : array of float
        Running tasks of the service in each rack, divided by the rack's
        throughput (the sum of task limit times speed). Indexed by rack id.
    settings : PlacementSettings
    """
    speed = table.speed[rows]
    load = (table.running[rows] + 1) / (table.limit[rows] * speed)
    score = load + settings.rack_weight * rack_load[table.rack[rows]]
    score -= settings.speed_weight * speed / speed.max()
    score += _accelerator_penalty(table, rows, demand, settings=settings)
    return int(rows[score.argmin()])


def choose_for_batch(
    table: UpstreamTable,
    rows: IntColumn,
    demand: Resources,
    *,
    settings: PlacementSettings,
) -> int:
    """Return the row with the least capacity left after placement (best fit).

    Best fit leaves large free blocks for large tasks.

    Parameters
    ----------
    table : UpstreamTable
    rows : array of int
        Rows on which the task fits; must not be empty.
    demand : Resources
    settings : PlacementSettings
    """
    score = _fraction_left(
        table.cpu_free[rows], demand.cpu_millis, table.cpu_capacity[rows]
    )
    score += _fraction_left(
        table.memory_free[rows], demand.memory_mb, table.memory_capacity[rows]
    )
    slots_left = table.limit[rows] - table.running[rows]
    score += _fraction_left(slots_left, 1, table.slots[rows])
    speed = table.speed[rows] / table.speed[rows].max()
    score += settings.slow_weight * np.maximum(settings.slow_ratio - speed, 0.0)
    score += _accelerator_penalty(table, rows, demand, settings=settings)
    return int(rows[score.argmin()])


def choose_for_gang(
    table: UpstreamTable, usable: BoolColumn, demand: Resources, tasks: int
) -> list[tuple[int, int]] | None:
    """Return pairs of a row and its number of tasks, or None if not all tasks fit.

    The number of racks is kept low: the rack with the least headroom that fits the
    whole gang is used, or else racks are filled in order of decreasing headroom.
    Within a rack, fast upstreams are filled first, because a gang is as slow as
    its slowest task.

    Parameters
    ----------
    table : UpstreamTable
    usable : array of bool
        Rows that are allowed.
    demand : Resources
        Resources of one task.
    tasks : int
    """
    headroom = np.where(usable, table.task_headroom(demand), 0)
    if int(headroom.sum()) < tasks:
        return None
    rack_headroom = np.bincount(table.rack, weights=headroom).astype(np.int64)
    has_unneeded = _has_unneeded_accelerators(table, demand)
    assignment: list[tuple[int, int]] = []
    remaining = tasks
    for rack in _order_racks(rack_headroom, tasks):
        rows = np.flatnonzero((table.rack == rack) & (headroom > 0))
        order = np.lexsort((-headroom[rows], -table.speed[rows], has_unneeded[rows]))
        for row in rows[order]:
            task_count = min(int(headroom[row]), remaining)
            assignment.append((int(row), task_count))
            remaining -= task_count
            if remaining == 0:
                return assignment
    return None


def _order_racks(rack_headroom: IntColumn, tasks: int) -> list[int]:
    sufficient = np.flatnonzero(rack_headroom >= tasks)
    if len(sufficient) > 0:
        return [int(sufficient[rack_headroom[sufficient].argmin()])]
    return [int(rack) for rack in np.argsort(-rack_headroom, kind="stable")]


def _fraction_left(free: IntColumn, amount: int, capacity: IntColumn) -> FloatColumn:
    total = np.maximum(capacity, 1).astype(np.float64)
    return np.asarray((free - amount) / total, dtype=np.float64)


def _has_unneeded_accelerators(table: UpstreamTable, demand: Resources) -> BoolColumn:
    if demand.accelerators > 0:
        return np.zeros(len(table.speed), dtype=np.bool_)
    return table.accelerators_free > 0


def _accelerator_penalty(
    table: UpstreamTable,
    rows: IntColumn,
    demand: Resources,
    *,
    settings: PlacementSettings,
) -> FloatColumn:
    free = table.accelerators_free[rows]
    if demand.accelerators > 0:
        capacity = table.accelerator_capacity[rows]
        return _fraction_left(free, demand.accelerators, capacity)
    is_unneeded = (free > 0).astype(np.float64)
    return np.multiply(is_unneeded, settings.accelerator_weight, dtype=np.float64)
