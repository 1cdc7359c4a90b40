"""The fleet of one owner: what is reserved where, and what is left."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from types import MappingProxyType

import numpy as np

from papayadyke_core.placement._columns import BoolColumn, Columns, FloatColumn
from papayadyke_core.placement._policies import (
    choose_for_batch,
    choose_for_gang,
    choose_for_service,
)
from papayadyke_core.placement._settings import DEFAULT_SETTINGS, PlacementSettings
from papayadyke_core.placement._spec import UpstreamSpec
from papayadyke_core.placement._totals import Totals
from papayadyke_core.resources import NOTHING, Resources
from papayadyke_core.workloads import Kind

_MAX_REMEMBERED_DEMANDS = 1024


class PlacementError(AssertionError):
    """An invariant of placement does not hold; nothing may be started."""


@dataclass(frozen=True, slots=True)
class _Reservation:
    row: int
    rack: int
    workload: str
    group: str
    demand: Resources


class Fleet:
    """Upstreams of one owner and the reservations on them.

    No reservation is made that would take an upstream over its capacity in any
    dimension or over its limit of tasks, and no task is reserved twice.

    Parameters
    ----------
    settings : PlacementSettings, default=PlacementSettings()

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
        self._columns = Columns()
        self._totals = Totals()
        self._reservations: dict[str, _Reservation] = {}
        self._tasks_by_row: dict[int, dict[str, None]] = {}
        self._used_by_workload: dict[str, Resources] = {}
        self._tasks_by_rack: dict[tuple[str, str], dict[int, int]] = {}
        self._rack_strength: FloatColumn | None = None
        self._remembered_fits: dict[tuple[Resources, int], bool] = {}

    @property
    def capacity(self) -> Resources:
        """What the upstreams that may be given work hold together."""
        return self._totals.capacity

    @property
    def free(self) -> Resources:
        """What of `capacity` is not reserved."""
        return self._totals.free

    @property
    def slots(self) -> int:
        """How many tasks may run at once, by the limits in force."""
        return self._totals.slots

    @property
    def free_slots(self) -> int:
        """How many more tasks the limits in force allow."""
        return self._totals.free_slots

    @property
    def used_by_workload(self) -> Mapping[str, Resources]:
        """What each workload has reserved; workloads without are left out."""
        return MappingProxyType(self._used_by_workload)

    def __len__(self) -> int:
        return len(self._columns)

    def add_upstream(self, spec: UpstreamSpec) -> None:
        """Take an upstream into use, or update the one with this name.

        An update keeps what runs there, the learned speed and the limit.
        """
        row = self._columns.put(spec)
        self._tasks_by_row.setdefault(row, {})
        self._refresh(row)

    def set_draining(self, name: str, draining: bool) -> None:
        """Start nothing more on an upstream, or allow it again."""
        row = self._columns.row_of.get(name)
        if row is not None:
            self._columns.draining[row] = draining
            self._refresh(row)

    def set_limit(self, name: str, limit: int) -> None:
        """Set how many tasks may run on an upstream; 0 sets it aside."""
        row = self._columns.row_of.get(name)
        if row is not None:
            slots = int(self._columns.slots[row])
            self._columns.limit[row] = max(0, min(limit, slots))
            self._refresh(row)

    def set_speed(self, name: str, speed: float) -> None:
        """Set the learned speed of an upstream, relative to an ordinary one."""
        if not speed > 0.0:
            raise ValueError(f"speed is not positive: {speed}")
        row = self._columns.row_of.get(name)
        if row is not None:
            self._columns.speed[row] = speed
            self._rack_strength = None

    def remove_upstream(self, name: str) -> tuple[str, ...]:
        """Forget an upstream and release what was on it.

        Returns
        -------
        task_ids : tuple of str
            The tasks that were on it.
        """
        row = self._columns.row_of.get(name)
        if row is None:
            return ()
        task_ids = tuple(self._tasks_by_row[row])
        for task_id in task_ids:
            self.release(task_id)
        self._columns.drop(name)
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
        """Reserve room for one task.

        Parameters
        ----------
        task_id : str
        workload : str
        kind : Kind
            Services are spread over racks; batch work is packed.
        demand : Resources
        avoid : tuple of str, default=()
            Upstreams not to be taken, unless no other could ever hold the task.
        group : str, default=""
            Tasks of one workload and group are spread apart from one another.

        Returns
        -------
        upstream : str or None
            None where no upstream has room now.

        Raises
        ------
        PlacementError
            If the task is reserved already.
        """
        self._check_new(task_id)
        columns = self._columns
        fits = columns.fits(demand)
        if avoid:
            fits &= self._not_avoided(avoid, demand)
        rows = np.flatnonzero(fits)
        if len(rows) == 0:
            return None
        if kind is Kind.SERVICE:
            rack_load = self._rack_load((workload, group))
            row = choose_for_service(
                columns, rows, demand, rack_load, settings=self.settings
            )
        else:
            row = choose_for_batch(columns, rows, demand, settings=self.settings)
        self._hold(task_id, row, workload, demand, group)
        self._check_within_capacity(row)
        return columns.names[row]

    def reserve_gang(
        self,
        task_ids: Sequence[str],
        *,
        workload: str,
        demand: Resources,
        avoid: tuple[str, ...] = (),
    ) -> tuple[str, ...] | None:
        """Reserve room for all tasks of a gang, or for none.

        Parameters
        ----------
        task_ids : sequence of str
        workload : str
        demand : Resources
            What one task needs.
        avoid : tuple of str, default=()
            Upstreams not to be taken, unless no other could ever hold a task.

        Returns
        -------
        upstreams : tuple of str or None
            One for each task, in order; None where not all of them fit now.

        Raises
        ------
        PlacementError
            If a task is reserved already or named twice.
        """
        if len(set(task_ids)) != len(task_ids):
            raise PlacementError("a gang names a task twice")
        if not task_ids:
            return ()
        for task_id in task_ids:
            self._check_new(task_id)
        usable = self._not_avoided(avoid, demand)
        chosen = choose_for_gang(self._columns, usable, demand, len(task_ids))
        if chosen is None:
            return None
        rows = [row for row, count in chosen for _ in range(count)]
        for task_id, row in zip(task_ids, rows, strict=True):
            self._hold(task_id, row, workload, demand)
        for row, _ in chosen:
            self._check_within_capacity(row)
        return tuple(self._name(row) for row in rows)

    def adopt(
        self, task_id: str, *, workload: str, demand: Resources, upstream: str
    ) -> None:
        """Count a task that runs already.

        It may take the upstream over its capacity or limit; then nothing new is
        started there until the sum fits again. A task counted already, or on an
        unknown upstream, changes nothing.
        """
        row = self._columns.row_of.get(upstream)
        if row is None or task_id in self._reservations:
            return
        self._hold(task_id, row, workload, demand)

    def release(self, task_id: str) -> None:
        """Give back what a task had reserved; unknown ids change nothing."""
        reservation = self._reservations.pop(task_id, None)
        if reservation is None:
            return
        del self._tasks_by_row[reservation.row][task_id]
        self._count(reservation, -1)

    def can_ever_fit(self, demand: Resources, *, tasks: int = 1) -> bool:
        """Tell whether the upstreams would hold the tasks at once if idle.

        Upstreams that drain or are set aside count, because they may come back.
        """
        key = (demand, tasks)
        known = self._remembered_fits.get(key)
        if known is None:
            if len(self._remembered_fits) >= _MAX_REMEMBERED_DEMANDS:
                self._remembered_fits.clear()
            room = self._columns.task_room_when_idle(demand)
            known = int(room.sum()) >= tasks
            self._remembered_fits[key] = known
        return known

    def upstream_of(self, task_id: str) -> str | None:
        """Return where a task is reserved."""
        reservation = self._reservations.get(task_id)
        return None if reservation is None else self._name(reservation.row)

    def check_invariants(self) -> None:
        """Count everything anew and compare it with what is kept.

        Raises
        ------
        PlacementError
            If a sum differs, or a task is on an upstream that is not there.
        """
        columns = self._columns
        cpu = columns.cpu_capacity.copy()
        memory = columns.memory_capacity.copy()
        accelerators = columns.accelerator_capacity.copy()
        running = np.zeros_like(columns.running)
        by_workload: dict[str, Resources] = {}
        for task_id, held in self._reservations.items():
            _check(columns.names[held.row] is not None, f"{task_id} is nowhere")
            _check(task_id in self._tasks_by_row[held.row], f"{task_id} is lost")
            cpu[held.row] -= held.demand.cpu_millis
            memory[held.row] -= held.demand.memory_mb
            accelerators[held.row] -= held.demand.accelerators
            running[held.row] += 1
            used = by_workload.get(held.workload, NOTHING)
            if used + held.demand != NOTHING:
                by_workload[held.workload] = used + held.demand
        _check(bool((cpu == columns.cpu_free).all()), "processors differ")
        _check(bool((memory == columns.memory_free).all()), "memory differs")
        _check(
            bool((accelerators == columns.accelerators_free).all()),
            "accelerators differ",
        )
        _check(bool((running == columns.running).all()), "numbers of tasks differ")
        _check(bool((columns.limit <= columns.slots).all()), "a limit is over slots")
        _check(by_workload == self._used_by_workload, "uses of workloads differ")
        self._totals.check(columns)

    def _hold(
        self, task_id: str, row: int, workload: str, demand: Resources, group: str = ""
    ) -> None:
        rack = int(self._columns.rack[row])
        reservation = _Reservation(row, rack, workload, group, demand)
        self._reservations[task_id] = reservation
        self._tasks_by_row[row][task_id] = None
        self._count(reservation, 1)

    def _count(self, reservation: _Reservation, tasks: int) -> None:
        row = reservation.row
        demand = reservation.demand
        self._columns.hold(row, demand, tasks)
        self._totals.hold(self._columns, row, demand, tasks)
        used = self._used_by_workload.get(reservation.workload, NOTHING)
        used = used + demand if tasks > 0 else used - demand
        self._used_by_workload[reservation.workload] = used
        if used == NOTHING:
            del self._used_by_workload[reservation.workload]
        self._count_in_rack(reservation, tasks)

    def _count_in_rack(self, reservation: _Reservation, tasks: int) -> None:
        key = (reservation.workload, reservation.group)
        racks = self._tasks_by_rack.setdefault(key, {})
        rack = reservation.rack
        racks[rack] = racks.get(rack, 0) + tasks
        if racks[rack] == 0:
            del racks[rack]
        if not racks:
            del self._tasks_by_rack[key]

    def _rack_load(self, key: tuple[str, str]) -> FloatColumn:
        if self._rack_strength is None:
            columns = self._columns
            strength = np.where(columns.draining, 0, columns.limit) * columns.speed
            racks = np.bincount(
                columns.rack, weights=strength, minlength=len(columns.rack_ids)
            )
            self._rack_strength = np.maximum(racks, 1.0)
        load = np.zeros(len(self._rack_strength))
        for rack, count in self._tasks_by_rack.get(key, {}).items():
            load[rack] = count / self._rack_strength[rack]
        return load

    def _not_avoided(self, avoid: tuple[str, ...], demand: Resources) -> BoolColumn:
        columns = self._columns
        allowed = np.ones(len(columns.speed), dtype=np.bool_)
        for name in avoid:
            row = columns.row_of.get(name)
            if row is not None:
                allowed[row] = False
        if avoid and not (columns.ever_fits(demand) & allowed).any():
            allowed[:] = True
        return allowed

    def _refresh(self, row: int) -> None:
        self._totals.refresh(self._columns, row)
        self._rack_strength = None
        self._remembered_fits.clear()

    def _name(self, row: int) -> str:
        name = self._columns.names[row]
        if name is None:
            raise PlacementError(f"row {row} has no upstream")
        return name

    def _check_new(self, task_id: str) -> None:
        _check(task_id not in self._reservations, f"{task_id} is reserved already")

    def _check_within_capacity(self, row: int) -> None:
        columns = self._columns
        within = (
            columns.cpu_free[row] >= 0
            and columns.memory_free[row] >= 0
            and columns.accelerators_free[row] >= 0
            and columns.running[row] <= columns.limit[row]
        )
        _check(bool(within), f"{columns.names[row]} is given more than it holds")


def _check(holds: bool, message: str) -> None:
    if not holds:
        raise PlacementError(f"placement: {message}")
