"""Preemption of running tasks for workloads below their floor."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from papayadyke_core.resources import Resources
from papayadyke_core.scheduling._running import TrackedTask
from papayadyke_core.scheduling._types import Stop, StopMode
from papayadyke_core.scheduling._workload_state import WorkloadState
from papayadyke_core.sharing import BlockReason

if TYPE_CHECKING:
    from papayadyke_core.scheduling._cluster_state import ClusterState

_MAX_TASKS_EXAMINED = 512


@dataclass(frozen=True, slots=True)
class PendingPreemption:
    """Tasks asked to stop in order to free capacity for one task of a workload.

    Parameters
    ----------
    workload : str
        Workload below its floor that the capacity is for.
    task_ids : tuple of str
        Tasks that were asked to stop.
    requested_at_s : float
        Time at which they were asked to stop.
    """

    workload: str
    task_ids: tuple[str, ...]
    requested_at_s: float


def preempt_for_floors(cluster: ClusterState, now: float) -> list[Stop]:
    """Return the tasks to preempt for workloads that have waited below their floor.

    Parameters
    ----------
    cluster : ClusterState
    now : float

    Returns
    -------
    stops : list of Stop
        Enough tasks to bring the workloads up to their floors, but at most
        `max_stop_requests`.
    """
    settings = cluster.settings.sharing
    _drop_settled_preemptions(cluster, now)
    stops: list[Stop] = []
    for state in _preempting_workloads(cluster, now):
        shortfall = _shortfall_tasks(cluster, state)
        for victims in _victim_groups(cluster, state):
            if shortfall <= 0 or len(stops) + len(victims) > settings.max_stop_requests:
                break
            stops.extend(_request_stops(cluster, state, victims, now))
            shortfall -= 1
    return stops


def _preempting_workloads(cluster: ClusterState, now: float) -> list[WorkloadState]:
    after_s = cluster.settings.sharing.preempt_after_s
    return [
        state
        for state in cluster.backlog.values()
        if state.below_floor_since_s is not None
        and now - state.below_floor_since_s >= after_s
    ]


def _shortfall_tasks(cluster: ClusterState, state: WorkloadState) -> int:
    account = state.account
    entitled = (
        account.count_tasks_for_share(account.floor, cluster.shares.size)
        - account.tasks
    )
    pending = sum(
        1
        for preemption in cluster.pending_preemptions
        if preemption.workload == state.name
    )
    return min(entitled, state.queue.tasks) - pending


def _drop_settled_preemptions(cluster: ClusterState, now: float) -> None:
    stop_timeout_s = cluster.settings.sharing.stop_timeout_s
    cluster.pending_preemptions = [
        preemption
        for preemption in cluster.pending_preemptions
        if now - preemption.requested_at_s < stop_timeout_s
        and any(task_id in cluster.running for task_id in preemption.task_ids)
    ]


def _victim_groups(
    cluster: ClusterState, beneficiary: WorkloadState
) -> Iterator[list[TrackedTask]]:
    """Yield groups of tasks that each free capacity for one task of `beneficiary`."""
    demand = beneficiary.account.demand
    free: dict[str, Resources] = {}
    chosen: dict[str, list[TrackedTask]] = {}
    for task in _victim_candidates(cluster, beneficiary):
        name = task.upstream
        if name in cluster.unusable:
            continue
        if name not in free:
            free[name] = cluster.free_on(name)[0]
            chosen[name] = []
        free[name] = free[name] + task.demand
        chosen[name].append(task)
        if demand.fits_in(free[name]):
            yield chosen[name]
            free[name] = free[name] - demand
            chosen[name] = []


def _victim_candidates(
    cluster: ClusterState, beneficiary: WorkloadState
) -> Iterator[TrackedTask]:
    """Yield tasks that may be preempted.

    Workloads with the largest weighted surplus over their floor come first, and
    of each workload the most recently started tasks.
    """
    size = cluster.shares.size
    donors = [
        state
        for state in cluster.workload_states.values()
        if state is not beneficiary
        and state.workload.preemptible
        and _frees_usable_capacity(state, beneficiary)
        and state.account.dominant_share > state.account.floor
    ]
    donors.sort(key=lambda state: _weighted_surplus(state), reverse=True)
    examined = 0
    for state in donors:
        account = state.account
        stopping = sum(
            1 for task in state.running.values() if task.stop_requested_at_s is not None
        )
        stoppable = (
            account.tasks
            - account.count_tasks_for_share(account.floor, size)
            - stopping
        )
        for task in reversed(state.running.values()):
            if stoppable <= 0 or examined >= _MAX_TASKS_EXAMINED:
                break
            examined += 1
            if task.stop_requested_at_s is None and not task.gang:
                stoppable -= 1
                yield task


def _frees_usable_capacity(state: WorkloadState, beneficiary: WorkloadState) -> bool:
    """Return whether capacity freed by `state` can be used by `beneficiary`.

    A beneficiary blocked by the quota of its team can only use capacity of the
    same team.
    """
    if beneficiary.blocked_by is not BlockReason.QUOTA:
        return True
    return state.account.team is beneficiary.account.team


def _weighted_surplus(state: WorkloadState) -> float:
    account = state.account
    return (account.dominant_share - account.floor) / account.weight


def _request_stops(
    cluster: ClusterState,
    beneficiary: WorkloadState,
    victims: list[TrackedTask],
    now: float,
) -> list[Stop]:
    detail = f"gives back what the floor of {beneficiary.name} guarantees"
    task_ids = tuple(task.task_id for task in victims)
    cluster.pending_preemptions.append(
        PendingPreemption(beneficiary.name, task_ids, now)
    )
    stops = []
    for task in victims:
        task.stop_requested_at_s = now
        mode = _choose_mode(cluster, task, now)
        stops.append(Stop(task.task_id, task.upstream, mode, detail))
    return stops


def _choose_mode(cluster: ClusterState, task: TrackedTask, now: float) -> StopMode:
    workload = cluster.workload_states[task.workload].workload
    is_young = now - task.started_at_s < cluster.settings.sharing.checkpoint_after_s
    return StopMode.STOP if workload.idempotent and is_young else StopMode.CHECKPOINT
