"""Capacity reserved for urgent workloads and for the floors of all workloads."""

from __future__ import annotations

import math
from collections.abc import Iterable

from papayadyke_core.resources import Resources
from papayadyke_core.scheduling._workload_state import WorkloadState
from papayadyke_core.sharing import (
    FleetSize,
    RankPhase,
    Reserve,
    SharingSettings,
    WorkloadAccount,
    estimate_concurrent_tasks,
)

_REFRESH_INTERVAL_S = 0.1


class Reserves:
    """Reserves for urgent workloads and for floors, sized by recent arrivals.

    The capacity reserved for an urgent workload may be used only by its own tasks
    and by those of workloads that have waited below their floor. The capacity
    reserved for floors may also be used by tasks whose capacity can be reclaimed
    soon, because they are short or preemptible.

    Parameters
    ----------
    settings : SharingSettings
    """

    def __init__(self, *, settings: SharingSettings) -> None:
        self.settings = settings
        self._urgent_reserve = Reserve(limit=settings.max_urgent_reserve_share)
        self._floor_reserve = Reserve(limit=1.0)
        self._refreshed_at_s = -math.inf
        self._size: FleetSize | None = None

    def refresh(
        self, states: Iterable[WorkloadState], size: FleetSize, now: float
    ) -> None:
        """Recompute both reserves, at most once per refresh interval.

        A change of the fleet size causes an immediate recomputation.
        """
        is_recent = now - self._refreshed_at_s < _REFRESH_INTERVAL_S
        if is_recent and self._size is size:
            return
        self._refreshed_at_s = now
        self._size = size
        self._urgent_reserve.reset(size)
        self._floor_reserve.reset(size)
        for state in states:
            self._add_workload(state, size, now)

    def invalidate(self) -> None:
        """Force a recomputation at the next `refresh`, after a configuration change."""
        self._size = None

    def update_running_tasks(self, account: WorkloadAccount) -> None:
        """Update the reserves with the number of running tasks of a workload."""
        self._urgent_reserve.update_running_tasks(account.name, account.tasks)
        self._floor_reserve.update_running_tasks(account.name, account.tasks)

    def permits_start(
        self,
        state: WorkloadState,
        tasks: int,
        phase: RankPhase,
        free: Resources,
        free_slots: int,
    ) -> bool:
        """Return whether tasks can start without using capacity reserved for others."""
        demand = state.account.demand
        must_leave_floors = phase is RankPhase.SHARE and not self._is_reclaimable_soon(
            state
        )
        reserve = self._floor_reserve if must_leave_floors else self._urgent_reserve
        return reserve.can_start_outside_reserve(
            state.name, demand, tasks, free=free, free_slots=free_slots
        )

    def check_invariants(self) -> None:
        """Recompute the totals of both reserves and compare them.

        Raises
        ------
        AssertionError
            If a total differs.
        """
        self._urgent_reserve.check_invariants()
        self._floor_reserve.check_invariants()

    def _add_workload(self, state: WorkloadState, size: FleetSize, now: float) -> None:
        settings = self.settings
        account = state.account
        share = account.floor
        deviations = settings.floor_deviations
        if account.is_urgent:
            share = min(share + settings.urgent_reserve_share, account.ceiling)
            deviations = settings.reserve_deviations
        if share <= 0.0 or state.is_gang or not state.admits_requests:
            return
        if account.find_block_reason(1, size) is not None:
            return
        needed = estimate_concurrent_tasks(
            state.arrivals.rate(now),
            state.run_times.mean_estimate_s,
            deviations=deviations,
        )
        if needed == 0:
            return
        target = min(needed, account.count_tasks_for_share(share, size))
        self._floor_reserve.add(account.name, account.demand, target, account.tasks)
        if account.is_urgent:
            self._urgent_reserve.add(
                account.name, account.demand, target, account.tasks
            )

    def _is_reclaimable_soon(self, state: WorkloadState) -> bool:
        if state.workload.preemptible:
            return True
        return state.run_times.upper_estimate_s <= self.settings.reclaim_within_s
