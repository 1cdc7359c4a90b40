"""Capacity hold during one scheduling pass."""

from __future__ import annotations

from dataclasses import replace

from papayadyke_core.admission import QueuedRequest
from papayadyke_core.resources import Resources
from papayadyke_core.scheduling._capacity_hold import (
    CapacityHold,
    UpstreamAvailability,
    plan_hold,
)
from papayadyke_core.scheduling._cluster_state import ClusterState
from papayadyke_core.scheduling._workload_state import WorkloadState
from papayadyke_core.sharing import RankPhase

_OVERRUN_FRACTION = 0.1  # expected remaining / elapsed time of a late task
_PLAN_INTERVAL_S = 0.1
_MIN_UPSTREAMS_EXAMINED = 64


class HoldManager:
    """Grants, enforces and releases the capacity hold during one scheduling pass.

    Parameters
    ----------
    cluster : ClusterState
    now : float
    """

    def __init__(self, cluster: ClusterState, now: float) -> None:
        self._cluster = cluster
        self._now = now
        self._free_by_upstream: dict[str, tuple[Resources, int]] = {}
        cluster.release_stale_hold()

    @property
    def hold(self) -> CapacityHold | None:
        """Current capacity hold, or None."""
        return self._cluster.hold

    def is_held_for(self, request: QueuedRequest) -> bool:
        """Return whether capacity is held for a request."""
        hold = self.hold
        return hold is not None and hold.request is request

    def may_use_reserves(self, request: QueuedRequest) -> bool:
        """Return whether a request may use the reserves.

        It may if capacity is held for it because its workload is below its floor or
        overdue.
        """
        hold = self.hold
        is_entitled = hold is not None and hold.phase is not RankPhase.SHARE
        return is_entitled and self.is_held_for(request)

    def release(self) -> None:
        """Release the capacity hold."""
        self._cluster.hold = None
        self._cluster.record_capacity_change()

    def hold_if_entitled(
        self, state: WorkloadState, request: QueuedRequest, tasks: int, phase: RankPhase
    ) -> None:
        """Hold capacity for a request that could not be placed, if it is entitled.

        Gangs of a workload below its floor and overdue gangs are entitled at once,
        other gangs after waiting for `gang_hold_after_s`, and single tasks only when
        they are overdue. An existing hold is replaced only for a request in a more
        urgent phase; the hold of the request itself is upgraded to its phase.
        """
        hold = self.hold
        if hold is not None:
            if hold.request is request and phase < hold.phase:
                self._cluster.hold = replace(hold, phase=phase)
            if hold.request is request or phase >= hold.phase:
                return
        min_wait_s = self._cluster.settings.sharing.gang_hold_after_s
        waited_s = self._now - request.queued_at_s
        is_entitled = phase is not RankPhase.SHARE or waited_s >= min_wait_s
        if not is_entitled or (tasks == 1 and phase is not RankPhase.OVERDUE):
            return
        if self._now >= self._cluster.next_hold_plan_s:
            self._plan_hold(state, request, tasks, phase)

    def excluded_upstreams(
        self, state: WorkloadState, request: QueuedRequest, phase: RankPhase
    ) -> tuple[str, ...]:
        """Return the upstreams on which a request may not start now.

        On these upstreams the tasks would use held capacity and might not end
        before it is needed. A hold obtained in the share phase, that is, neither
        for a floor nor as overdue, does not exclude work that ranks higher.
        """
        hold = self.hold
        if hold is None or hold.request is request:
            return ()
        if self._now + state.run_times.upper_estimate_s <= hold.ready_at_s:
            return ()
        if hold.phase is RankPhase.SHARE and self._ranks_higher(state, phase, hold):
            return ()
        demand = state.account.demand
        held_demand = self._demand_of(hold)
        return tuple(
            name
            for name, tasks in hold.upstreams.items()
            if not self._has_capacity_beyond_hold(
                name, held_demand * tasks, tasks, demand
            )
        )

    def record_starts(self, upstreams: tuple[str, ...], demand: Resources) -> None:
        """Deduct tasks started in this pass from the cached free capacity."""
        for name in upstreams:
            cached = self._free_by_upstream.get(name)
            if cached is not None:
                self._free_by_upstream[name] = (cached[0] - demand, cached[1] - 1)

    def _ranks_higher(
        self, state: WorkloadState, phase: RankPhase, hold: CapacityHold
    ) -> bool:
        if phase is not RankPhase.SHARE:
            return True
        holder = self._cluster.workload_states[hold.request.workload]
        return state.account.urgency > holder.account.urgency

    def _demand_of(self, hold: CapacityHold) -> Resources:
        return self._cluster.workload_states[hold.request.workload].account.demand

    def _has_capacity_beyond_hold(
        self, name: str, held: Resources, held_tasks: int, demand: Resources
    ) -> bool:
        cached = self._free_by_upstream.get(name)
        if cached is None:
            cached = self._free_by_upstream[name] = self._cluster.free_on(name)
        free, slots = cached
        return slots > held_tasks and (held + demand).fits_in(free)

    def _plan_hold(
        self, state: WorkloadState, request: QueuedRequest, tasks: int, phase: RankPhase
    ) -> None:
        cluster = self._cluster
        demand = state.account.demand
        names = self._least_loaded_first(demand)
        planned = None
        examined = max(_MIN_UPSTREAMS_EXAMINED, tasks)
        while planned is None and names:
            availabilities = [self._availability(name) for name in names[:examined]]
            planned = plan_hold(
                availabilities, request, demand, tasks, phase, self._now
            )
            if examined >= len(names):
                break
            examined *= 4
        if planned is not None:
            cluster.hold = planned
        cluster.next_hold_plan_s = self._now + _PLAN_INTERVAL_S

    def _least_loaded_first(self, demand: Resources) -> list[str]:
        """Return upstreams that can hold a task when idle, least loaded first."""
        cluster = self._cluster
        names = [
            name
            for name, spec in cluster.upstream_specs.items()
            if name not in cluster.unusable
            and cluster.limit_of(name) > 0
            and demand.fits_in(spec.capacity)
        ]
        names.sort(
            key=lambda name: cluster.running.count_on(name) / cluster.limit_of(name)
        )
        return names

    def _availability(self, name: str) -> UpstreamAvailability:
        free, slots = self._cluster.free_on(name)
        return UpstreamAvailability(name, free, slots, self._expected_ends(name))

    def _expected_ends(self, upstream: str) -> tuple[tuple[float, Resources], ...]:
        return tuple(
            (self._expected_end_s(task.workload, task.started_at_s), task.demand)
            for task in self._cluster.running.on_upstream(upstream)
        )

    def _expected_end_s(self, workload: str, started_at_s: float) -> float:
        upper_s = self._cluster.workload_states[workload].run_times.upper_estimate_s
        overrun_end_s = self._now + _OVERRUN_FRACTION * (self._now - started_at_s)
        return max(started_at_s + upper_s, overrun_end_s)
