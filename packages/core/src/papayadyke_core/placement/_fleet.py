"""The fleet of one owner: its upstreams, reservations and free resources."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from types import MappingProxyType

import numpy as np

from papayadyke_core.placement._policies import (
    choose_for_batch,
    choose_for_gang,
    choose_for_service,
)
from papayadyke_core.placement._settings import DEFAULT_SETTINGS, PlacementSettings
from papayadyke_core.placement._spec import UpstreamSpec
from papayadyke_core.placement._totals import Totals
from papayadyke_core.placement._upstream_table import (
    BoolColumn,
    FloatColumn,
    UpstreamTable,
)
from papayadyke_core.resources import ZERO_RESOURCES, Resources
from papayadyke_core.workloads import Kind

# Maximum entries in the cache of `Fleet.can_ever_fit`, which is cleared when full.
_MAX_CACHED_FITS = 1024


class PlacementError(AssertionError):
    """Violation of a placement invariant; no task may be started after it."""


@dataclass(frozen=True, slots=True)
class _Reservation:
    row: int
    rack: int
    workload: str
    group: str
    demand: Resources


class Fleet:
    """Upstreams of one owner and the reservations on them.

    No reservation exceeds the capacity of an upstream in any dimension or its task
    limit, and no task is reserved twice.

    Parameters
    ----------
    settings : PlacementSettings, default=PlacementSettings()
        Weights of the placement scores.

    Examples
    --------
    >>> fleet = Fleet()
    >>> fleet.add_upstream(UpstreamSpec("u1", "hobart", "r1", Resources(1000, 512)))
    >>> demand = Resources(600, 128)
    >>> fleet.reserve("t1", workload="tally", kind=Kind.BATCH, demand=demand)
    'u1'
    >>> fleet.reserve("t2", workload="tally", kind=Kind.BATCH, demand=demand)
    """

    def __init__(self, *, settings: PlacementSettings = DEFAULT_SETTINGS) -> None:
        self.settings = settings
        self._table = UpstreamTable()
        self._totals = Totals()
        self._reservations: dict[str, _Reservation] = {}
        self._tasks_by_row: dict[int, dict[str, None]] = {}
        self._used_by_workload: dict[str, Resources] = {}
        self._tasks_by_rack: dict[tuple[str, str], dict[int, int]] = {}
        self._rack_throughput: FloatColumn | None = None
        self._fit_cache: dict[tuple[Resources, int], bool] = {}

    @property
    def capacity(self) -> Resources:
        """Total capacity of the usable upstreams."""
        return self._totals.capacity

    @property
    def free(self) -> Resources:
        """Part of `capacity` that is not reserved."""
        return self._totals.free

    @property
    def slots(self) -> int:
        """Number of tasks that the current limits allow to run at once."""
        return self._totals.slots

    @property
    def free_slots(self) -> int:
        """Number of additional tasks that the current limits allow."""
        return self._totals.free_slots

    @property
    def used_by_workload(self) -> Mapping[str, Resources]:
        """Reserved resources by workload; workloads without any are omitted."""
        return MappingProxyType(self._used_by_workload)

    def __len__(self) -> int:
        return len(self._table)

    def add_upstream(self, spec: UpstreamSpec) -> None:
        """Add an upstream, or update the one with the same name.

        An update keeps the reservations, the learned speed and the task limit. A
        limit that was equal to the slots follows them; it never exceeds them.
        """
        row = self._table.upsert(spec)
        self._tasks_by_row.setdefault(row, {})
        self._refresh(row)

    def set_draining(self, name: str, draining: bool) -> None:
        """Exclude an upstream from new reservations, or include it again."""
        row = self._table.row_of.get(name)
        if row is not None:
            self._table.draining[row] = draining
            self._refresh(row)

    def set_limit(self, name: str, limit: int) -> None:
        """Set the task limit of an upstream; 0 sets it aside (no new tasks)."""
        row = self._table.row_of.get(name)
        if row is not None:
            slots = int(self._table.slots[row])
            self._table.limit[row] = max(0, min(limit, slots))
            self._refresh(row)

    def set_speed(self, name: str, speed: float) -> None:
        """Set the learned speed of an upstream as a multiple of an ordinary one's."""
        if not speed > 0.0:
            raise ValueError(f"speed must be positive, got {speed}")
        row = self._table.row_of.get(name)
        if row is not None:
            self._table.speed[row] = speed
            self._rack_throughput = None

    def remove_upstream(self, name: str) -> tuple[str, ...]:
        """Remove an upstream and release the reservations on it.

        Returns
        -------
        task_ids : tuple of str
            Tasks that had a reservation on it.
        """
        row = self._table.row_of.get(name)
        if row is None:
            return ()
        task_ids = tuple(self._tasks_by_row[row])
        for task_id in task_ids:
            self.release(task_id)
        self._table.remove(name)
        self._refresh(row)
        return task_ids

    def reserve(
        self,
        task_id: str,
        *,
        workload: str,
        kind: Kind,
        demand: Resources,
        avoid: tuple[str, ...] = (),
        group: str = "",
    ) -> str | None:
        """Reserve resources for one task.

        Parameters
        ----------
        task_id : str
        workload : str
        kind : Kind
            Services are spread over racks; batch tasks are packed.
        demand : Resources
        avoid : tuple of str, default=()
            Upstreams to avoid, unless no other upstream could ever fit the task.
        group : str, default=""
            Tasks with the same workload and group are spread over racks.

        Returns
        -------
        upstream : str or None
            Name of the chosen upstream; None if the task fits on none now.

        Raises
        ------
        PlacementError
            If the task already has a reservation.
        """
        self._check_not_reserved(task_id)
        table = self._table
        mask = table.fits_now(demand)
        if avoid:
            mask &= self._allowed_rows(avoid, demand)
        rows = np.flatnonzero(mask)
        if len(rows) == 0:
            return None
        if kind is Kind.SERVICE:
            rack_load = self._rack_load((workload, group))
            row = choose_for_service(
                table, rows, demand, rack_load, settings=self.settings
            )
        else:
            row = choose_for_batch(table, rows, demand, settings=self.settings)
        self._allocate(task_id, row, workload, demand, group)
        self._check_within_capacity(row)
        return table.names[row]

    def reserve_gang(
        self,
        task_ids: Sequence[str],
        *,
        workload: str,
        demand: Resources,
        avoid: tuple[str, ...] = (),
    ) -> tuple[str, ...] | None:
        """Reserve resources for all tasks of a gang, or for none.

        Parameters
        ----------
        task_ids : sequence of str
        workload : str
        demand : Resources
            Resources of one task.
        avoid : tuple of str, default=()
            Upstreams to avoid, unless no other upstream could ever fit a task.

        Returns
        -------
        upstreams : tuple of str or None
            One upstream per task, in the order of `task_ids`; None if not all tasks
            fit now.

        Raises
        ------
        PlacementError
            If a task already has a reservation or is named twice.
        """
        if len(set(task_ids)) != len(task_ids):
            raise PlacementError("task ids of a gang are not unique")
        if not task_ids:
            return ()
        for task_id in task_ids:
            self._check_not_reserved(task_id)
        usable = self._allowed_rows(avoid, demand)
        assignment = choose_for_gang(self._table, usable, demand, len(task_ids))
        if assignment is None:
            return None
        rows = [row for row, count in assignment for _ in range(count)]
        for task_id, row in zip(task_ids, rows, strict=True):
            self._allocate(task_id, row, workload, demand)
        for row, _ in assignment:
            self._check_within_capacity(row)
        return tuple(self._upstream_name(row) for row in rows)

    def adopt(
        self, task_id: str, *, workload: str, demand: Resources, upstream: str
    ) -> None:
        """Add the reservation of a task that already runs.

        The task may exceed the capacity or limit of its upstream. No new task is
        then started there until the usage is within both again. The call has no
        effect if the task already has a reservation or the upstream is unknown.
        """
        row = self._table.row_of.get(upstream)
        if row is None or task_id in self._reservations:
            return
        self._allocate(task_id, row, workload, demand)

    def release(self, task_id: str) -> None:
        """Release the reservation of a task; unknown ids have no effect."""
        reservation = self._reservations.pop(task_id, None)
        if reservation is None:
            return
        del self._tasks_by_row[reservation.row][task_id]
        self._update_usage(reservation, -1)

    def can_ever_fit(self, demand: Resources, *, tasks: int = 1) -> bool:
        """Return whether the tasks would fit at the same time on an idle fleet.

        Upstreams that are draining or set aside count, because they may return.
        """
        key = (demand, tasks)
        fits = self._fit_cache.get(key)
        if fits is None:
            if len(self._fit_cache) >= _MAX_CACHED_FITS:
                self._fit_cache.clear()
            task_counts = self._table.task_capacity_when_idle(demand)
            fits = int(task_counts.sum()) >= tasks
            self._fit_cache[key] = fits
        return fits

    def upstream_of(self, task_id: str) -> str | None:
        """Return the upstream on which a task is reserved, or None."""
        reservation = self._reservations.get(task_id)
        return None if reservation is None else self._upstream_name(reservation.row)

    def check_invariants(self) -> None:
        """Recompute all totals and compare them with the stored ones.

        Raises
        ------
        PlacementError
            If a total differs, or a task is reserved on an upstream that was
            removed.
        """
        table = self._table
        cpu = table.cpu_capacity.copy()
        memory = table.memory_capacity.copy()
        accelerators = table.accelerator_capacity.copy()
        running = np.zeros_like(table.running)
        by_workload: dict[str, Resources] = {}
        for task_id, reservation in self._reservations.items():
            _check(
                table.names[reservation.row] is not None,
                f"{task_id} is reserved on a removed upstream",
            )
            _check(
                task_id in self._tasks_by_row[reservation.row],
                f"{task_id} is not indexed by its upstream",
            )
            cpu[reservation.row] -= reservation.demand.cpu_millis
            memory[reservation.row] -= reservation.demand.memory_mb
            accelerators[reservation.row] -= reservation.demand.accelerators
            running[reservation.row] += 1
            used = by_workload.get(reservation.workload, ZERO_RESOURCES)
            if used + reservation.demand != ZERO_RESOURCES:
                by_workload[reservation.workload] = used + reservation.demand
        _check(
            bool((cpu == table.cpu_free).all()),
            "free processors differ from the recomputed amounts",
        )
        _check(
            bool((memory == table.memory_free).all()),
            "free memory differs from the recomputed amounts",
        )
        _check(
            bool((accelerators == table.accelerators_free).all()),
            "free accelerators differ from the recomputed amounts",
        )
        _check(
            bool((running == table.running).all()),
            "running task counts differ from the recomputed ones",
        )
        _check(
            bool((table.limit <= table.slots).all()), "a task limit exceeds the slots"
        )
        _check(
            by_workload == self._used_by_workload,
            "used resources by workload differ from the recomputed ones",
        )
        self._totals.check_invariants(table)

    def _allocate(
        self, task_id: str, row: int, workload: str, demand: Resources, group: str = ""
    ) -> None:
        rack = int(self._table.rack[row])
        reservation = _Reservation(row, rack, workload, group, demand)
        self._reservations[task_id] = reservation
        self._tasks_by_row[row][task_id] = None
        self._update_usage(reservation, 1)

    def _update_usage(self, reservation: _Reservation, task_delta: int) -> None:
        row = reservation.row
        demand = reservation.demand
        self._table.add_tasks(row, demand, task_delta)
        self._totals.add_tasks(self._table, row, demand, task_delta)
        used = self._used_by_workload.get(reservation.workload, ZERO_RESOURCES)
        used = used + demand if task_delta > 0 else used - demand
        self._used_by_workload[reservation.workload] = used
        if used == ZERO_RESOURCES:
            del self._used_by_workload[reservation.workload]
        self._update_rack_count(reservation, task_delta)

    def _update_rack_count(self, reservation: _Reservation, task_delta: int) -> None:
        key = (reservation.workload, reservation.group)
        task_counts = self._tasks_by_rack.setdefault(key, {})
        rack = reservation.rack
        task_counts[rack] = task_counts.get(rack, 0) + task_delta
        if task_counts[rack] == 0:
            del task_counts[rack]
        if not task_counts:
            del self._tasks_by_rack[key]

    def _rack_load(self, key: tuple[str, str]) -> FloatColumn:
        if self._rack_throughput is None:
            table = self._table
            throughput = np.where(table.draining, 0, table.limit) * table.speed
            rack_throughput = np.bincount(
                table.rack, weights=throughput, minlength=len(table.rack_ids)
            )
            self._rack_throughput = np.maximum(rack_throughput, 1.0)
        load = np.zeros(len(self._rack_throughput))
        for rack, count in self._tasks_by_rack.get(key, {}).items():
            load[rack] = count / self._rack_throughput[rack]
        return load

    def _allowed_rows(self, avoid: tuple[str, ...], demand: Resources) -> BoolColumn:
        table = self._table
        allowed = np.ones(len(table.speed), dtype=np.bool_)
        for name in avoid:
            row = table.row_of.get(name)
            if row is not None:
                allowed[row] = False
        if avoid and not (table.fits_when_idle(demand) & allowed).any():
            allowed[:] = True
        return allowed

    def _refresh(self, row: int) -> None:
        self._totals.refresh(self._table, row)
        self._rack_throughput = None
        self._fit_cache.clear()

    def _upstream_name(self, row: int) -> str:
        name = self._table.names[row]
        if name is None:
            raise PlacementError(f"row {row} has no upstream")
        return name

    def _check_not_reserved(self, task_id: str) -> None:
        _check(task_id not in self._reservations, f"{task_id} is already reserved")

    def _check_within_capacity(self, row: int) -> None:
        table = self._table
        is_within = (
            table.cpu_free[row] >= 0
            and table.memory_free[row] >= 0
            and table.accelerators_free[row] >= 0
            and table.running[row] <= table.limit[row]
        )
        _check(bool(is_within), f"{table.names[row]} is over its capacity or limit")


def _check(condition: bool, message: str) -> None:
    if not condition:
        raise PlacementError(f"placement: {message}")
