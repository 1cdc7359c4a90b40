"""Room kept free for urgent workloads, and for the floors of all of them."""

from __future__ import annotations

import math
from collections.abc import Iterable

from papayadyke_core.resources import Resources
from papayadyke_core.scheduling._state import WorkloadState
from papayadyke_core.sharing import (
    FleetSize,
    Phase,
    Reserve,
    SharingSettings,
    WorkloadAccount,
    needed_tasks,
)

_REFRESH_S = 0.1


class Reserves:
    """The two reserves, refreshed from the arrivals of the last seconds.

    Nothing but a workload's own tasks, and those of workloads that have waited
    under their floor, may use the room kept for urgent ones. The room kept for
    floors may be used by tasks that come back soon.

    Parameters
    ----------
    settings : SharingSettings
    """

    def __init__(self, *, settings: SharingSettings) -> None:
        self.settings = settings
        self._for_urgent = Reserve(limit=settings.reserve_limit)
        self._for_floors = Reserve(limit=1.0)
        self._refreshed_at_s = -math.inf
        self._size: FleetSize | None = None

    def refresh(
        self, states: Iterable[WorkloadState], size: FleetSize, now: float
    ) -> None:
        """Learn from recent arrivals, if that was not done just now."""
        recent = now - self._refreshed_at_s < _REFRESH_S
        if recent and self._size is size:
            return
        self._refreshed_at_s = now
        self._size = size
        self._for_urgent.clear(size)
        self._for_floors.clear(size)
        for state in states:
            self._add(state, size, now)

    def forget(self) -> None:
        """Refresh with the next decision, because declarations have changed."""
        self._size = None

    def note_held(self, account: WorkloadAccount) -> None:
        """Note that a workload holds more or less than before."""
        self._for_urgent.note_held(account.name, account.tasks)
        self._for_floors.note_held(account.name, account.tasks)

    def leave_room(
        self,
        state: WorkloadState,
        tasks: int,
        phase: Phase,
        free: Resources,
        free_slots: int,
    ) -> bool:
        """Tell whether tasks can start without the room that is kept."""
        demand = state.account.demand
        spares_floors = phase is Phase.SHARE and not self._returns_soon(state)
        reserve = self._for_floors if spares_floors else self._for_urgent
        return reserve.leaves_room(
            state.name, demand, tasks, free=free, free_slots=free_slots
        )

    def check_invariants(self) -> None:
        """Compare the sums with ones counted anew."""
        self._for_urgent.check_invariants()
        self._for_floors.check_invariants()

    def _add(self, state: WorkloadState, size: FleetSize, now: float) -> None:
        settings = self.settings
        account = state.account
        part = account.floor
        deviations = settings.floor_deviations
        if account.is_urgent:
            part = min(part + settings.urgent_share, account.ceiling)
            deviations = settings.reserve_deviations
        if part <= 0.0 or state.is_gang or not state.takes_work:
            return
        if account.blocked_by(1, size) is not None:
            return
        needed = needed_tasks(
            state.arrivals.rate(now),
            state.run_times.typical_s,
            deviations=deviations,
        )
        if needed == 0:
            return
        target = min(needed, account.tasks_in(part, size))
        self._for_floors.add(account.name, account.demand, target, account.tasks)
        if account.is_urgent:
            self._for_urgent.add(account.name, account.demand, target, account.tasks)

    def _returns_soon(self, state: WorkloadState) -> bool:
        if state.workload.preemptible:
            return True
        return state.run_times.upper_s <= self.settings.return_s
