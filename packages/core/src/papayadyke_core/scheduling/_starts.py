"""Scheduling pass that starts queued tasks on upstreams."""

from __future__ import annotations

from dataclasses import dataclass, field

from papayadyke_core.admission import QueuedRequest
from papayadyke_core.scheduling._cluster_state import ClusterState
from papayadyke_core.scheduling._hold_manager import HoldManager
from papayadyke_core.scheduling._running import SchedulingError
from papayadyke_core.scheduling._turns import TurnOrder
from papayadyke_core.scheduling._types import Start
from papayadyke_core.scheduling._workload_state import WorkloadState
from papayadyke_core.sharing import BlockReason, RankPhase

_AVOID_UPSTREAMS_S = 0.25  # time that a request waits before it accepts any upstream


@dataclass(slots=True)
class _PassState:
    """Progress of one scheduling pass."""

    now: float
    holds: HoldManager
    starts: list[Start] = field(default_factory=list)


def start_queued_tasks(cluster: ClusterState, now: float) -> tuple[list[Start], bool]:
    """Start as many queued tasks as limits and capacity allow.

    Parameters
    ----------
    cluster : ClusterState
    now : float

    Returns
    -------
    starts : list of Start
    start_limit_reached : bool
        Whether the pass ended early because it had started `max_starts` tasks.
    """
    cluster.resize()
    if not cluster.backlog:
        return [], False
    cluster.reserves.refresh(cluster.workload_states.values(), cluster.shares.size, now)
    pass_state = _PassState(now, HoldManager(cluster, now))
    turns = TurnOrder(cluster, now)
    order_checked = False
    while (turn := turns.next()) is not None:
        if len(pass_state.starts) >= cluster.settings.max_starts:
            return pass_state.starts, True
        if cluster.fleet.free_slots == 0:
            _block_rest(cluster, pass_state, turns)
            break
        state, phase = turn
        if phase is RankPhase.SHARE and not order_checked:
            # One check suffices, as no start makes a workload overdue or puts it
            # below its floor.
            turns.check_order()
            order_checked = True
        previous_hold = pass_state.holds.hold
        reason = _start_head(cluster, pass_state, state, phase)
        if reason is None:
            turns.end_turn()
        else:
            turns.block(reason)
        if previous_hold is not None and pass_state.holds.hold is None:
            turns.unblock(BlockReason.GANG)
    turns.update_floor_waits()
    return pass_state.starts, False


def _block_rest(
    cluster: ClusterState, pass_state: _PassState, turns: TurnOrder
) -> None:
    """Block all remaining workloads, because no slot is free.

    Overdue requests and gangs may still obtain a capacity hold.
    """
    for state, phase in turns.block_rest(BlockReason.NO_ROOM):
        request = state.queue.head()
        if request is not None and (state.is_gang or phase is RankPhase.OVERDUE):
            tasks = request.tasks if state.is_gang else 1
            if state.account.find_block_reason(tasks, cluster.shares.size) is None:
                pass_state.holds.hold_if_entitled(state, request, tasks, phase)


def _start_head(
    cluster: ClusterState,
    pass_state: _PassState,
    state: WorkloadState,
    phase: RankPhase,
) -> BlockReason | None:
    """Start the next task, or the next gang, of a workload.

    Returns
    -------
    reason : BlockReason or None
        What prevents the start, or None if the task or gang was started.
    """
    request = state.queue.head()
    if request is None:
        raise SchedulingError(f"scheduling: backlogged {state.name} has an empty queue")
    tasks = request.tasks if state.is_gang else 1
    holds_capacity = pass_state.holds.is_held_for(request)
    reason = state.account.find_block_reason(tasks, cluster.shares.size)
    if reason is not None:
        if holds_capacity:
            pass_state.holds.release()
        return reason
    if not pass_state.holds.may_use_reserves(request) and _must_leave_reserves(
        cluster, pass_state, state, phase
    ):
        fleet = cluster.fleet
        if not cluster.reserves.permits_start(
            state, tasks, phase, fleet.free, fleet.free_slots
        ):
            return BlockReason.RESERVE
    placed = _place(cluster, pass_state, state, request, tasks, phase)
    if isinstance(placed, BlockReason):
        pass_state.holds.hold_if_entitled(state, request, tasks, phase)
        return placed
    pass_state.starts.extend(cluster.start(request, placed, pass_state.now))
    if holds_capacity:
        pass_state.holds.release()
    return None


def _must_leave_reserves(
    cluster: ClusterState,
    pass_state: _PassState,
    state: WorkloadState,
    phase: RankPhase,
) -> bool:
    """Return whether a workload must not use the capacity reserved for others.

    A workload below its floor may use it after waiting for `preempt_after_s`,
    because its floor entitles it to capacity as much as the reserves entitle others.
    """
    if phase is not RankPhase.FLOOR:
        return phase is RankPhase.SHARE
    since_s = state.below_floor_since_s
    after_s = cluster.settings.sharing.preempt_after_s
    return since_s is None or pass_state.now - since_s < after_s


def _place(
    cluster: ClusterState,
    pass_state: _PassState,
    state: WorkloadState,
    request: QueuedRequest,
    tasks: int,
    phase: RankPhase,
) -> tuple[tuple[str, str], ...] | BlockReason:
    """Reserve upstreams for tasks of a request.

    Returns
    -------
    placed : tuple of (str, str) or BlockReason
        Task id and upstream of each task, or the reason that prevents placement.
    """
    fleet = cluster.fleet
    account = state.account
    if not request.avoid and state.is_known_unplaceable(
        tasks, cluster.capacity_version
    ):
        return BlockReason.NO_ROOM
    if fleet.free_slots < tasks or not account.demand.fits_in(fleet.free):
        return BlockReason.NO_ROOM
    excluded = pass_state.holds.excluded_upstreams(state, request, phase)
    waited_s = pass_state.now - request.queued_at_s
    avoid = request.avoid if waited_s < _AVOID_UPSTREAMS_S else ()
    first = request.started_tasks
    task_ids = tuple(_task_id(request, first + offset) for offset in range(tasks))
    upstreams = _reserve(cluster, state, task_ids, (*avoid, *excluded))
    if upstreams is None:
        if not excluded and not avoid:
            state.record_placement_failure(tasks, cluster.capacity_version)
        return BlockReason.GANG if excluded else BlockReason.NO_ROOM
    if excluded and any(name in excluded for name in upstreams):
        for task_id in task_ids:
            fleet.release(task_id)
        return BlockReason.GANG
    pass_state.holds.record_starts(upstreams, account.demand)
    return tuple(zip(task_ids, upstreams, strict=True))


def _reserve(
    cluster: ClusterState,
    state: WorkloadState,
    task_ids: tuple[str, ...],
    avoid: tuple[str, ...],
) -> tuple[str, ...] | None:
    account = state.account
    if state.is_gang:
        return cluster.fleet.reserve_gang(
            task_ids, workload=state.name, demand=account.demand, avoid=avoid
        )
    upstream = cluster.fleet.reserve(
        task_ids[0],
        workload=state.name,
        kind=account.kind,
        demand=account.demand,
        avoid=avoid,
    )
    return None if upstream is None else (upstream,)


def _task_id(request: QueuedRequest, index: int) -> str:
    return f"{request.id}.{index}.{request.attempt}"
