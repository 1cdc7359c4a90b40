"""Which running tasks give way to workloads that are kept under their floor."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from papayadyke_core.resources import Resources
from papayadyke_core.scheduling._running import Running
from papayadyke_core.scheduling._state import WorkloadState
from papayadyke_core.scheduling._types import Stop, StopWay
from papayadyke_core.sharing import Limit

if TYPE_CHECKING:
    from papayadyke_core.scheduling._book import Book

_MAX_CANDIDATES = 512


@dataclass(frozen=True, slots=True)
class PendingReturn:
    """Room for one task of a workload, which others have been asked to give back.

    Parameters
    ----------
    workload : str
        The workload that is under its floor.
    task_ids : tuple of str
        The tasks that were asked to give way.
    asked_at_s : float
    """

    workload: str
    task_ids: tuple[str, ...]
    asked_at_s: float


def ask_to_give_way(book: Book, now: float) -> list[Stop]:
    """Return the tasks to stop for workloads that have waited under their floor.

    Parameters
    ----------
    book : Book
    now : float

    Returns
    -------
    stops : list of Stop
        As many as give back what is missing, and `max_stops` at most.
    """
    settings = book.settings.sharing
    _forget_returns(book, now)
    stops: list[Stop] = []
    for state in _under_floor(book, now):
        missing = _missing_tasks(book, state)
        for victims in _victim_groups(book, state):
            if missing <= 0 or len(stops) + len(victims) > settings.max_stops:
                break
            stops.extend(_ask(book, state, victims, now))
            missing -= 1
    return stops


def _under_floor(book: Book, now: float) -> list[WorkloadState]:
    after_s = book.settings.sharing.preempt_after_s
    return [
        state
        for state in book.backlog.values()
        if state.below_floor_since_s is not None
        and now - state.below_floor_since_s >= after_s
    ]


def _missing_tasks(book: Book, state: WorkloadState) -> int:
    account = state.account
    owed = account.tasks_in(account.floor, book.shares.size) - account.tasks
    returning = sum(1 for item in book.returns if item.workload == state.name)
    return min(owed, state.queue.tasks) - returning


def _forget_returns(book: Book, now: float) -> None:
    patience_s = book.settings.sharing.stop_patience_s
    book.returns = [
        item
        for item in book.returns
        if now - item.asked_at_s < patience_s
        and any(task_id in book.running for task_id in item.task_ids)
    ]


def _victim_groups(book: Book, needy: WorkloadState) -> Iterator[list[Running]]:
    """Yield sets of tasks, each of which makes room for one task of `needy`."""
    demand = needy.account.demand
    free: dict[str, Resources] = {}
    chosen: dict[str, list[Running]] = {}
    for task in _candidates(book, needy):
        name = task.upstream
        if name in book.unusable:
            continue
        if name not in free:
            free[name] = book.free_on(name)[0]
            chosen[name] = []
        free[name] = free[name] + task.demand
        chosen[name].append(task)
        if demand.fits_in(free[name]):
            yield chosen[name]
            free[name] = free[name] - demand
            chosen[name] = []


def _candidates(book: Book, needy: WorkloadState) -> Iterator[Running]:
    """Yield tasks that may be stopped: most over their share, newest first."""
    size = book.shares.size
    givers = [
        state
        for state in book.states.values()
        if state is not needy
        and state.workload.preemptible
        and _may_give(state, needy)
        and state.account.share_ > state.account.floor
    ]
    givers.sort(key=lambda state: _surplus(state), reverse=True)
    seen = 0
    for state in givers:
        account = state.account
        stopping = sum(
            1 for task in state.running.values() if task.stop_asked_at_s is not None
        )
        spare = account.tasks - account.tasks_in(account.floor, size) - stopping
        for task in reversed(state.running.values()):
            if spare <= 0 or seen >= _MAX_CANDIDATES:
                break
            seen += 1
            if task.stop_asked_at_s is None and not task.gang:
                spare -= 1
                yield task


def _may_give(state: WorkloadState, needy: WorkloadState) -> bool:
    """Tell whether what a workload gives back is of use to another."""
    if needy.blocked_by is not Limit.QUOTA:
        return True
    return state.account.team is needy.account.team


def _surplus(state: WorkloadState) -> float:
    account = state.account
    return (account.share_ - account.floor) / account.weight


def _ask(
    book: Book, needy: WorkloadState, victims: list[Running], now: float
) -> list[Stop]:
    detail = f"gives back what the floor of {needy.name} guarantees"
    ids = tuple(task.task_id for task in victims)
    book.returns.append(PendingReturn(needy.name, ids, now))
    stops = []
    for task in victims:
        task.stop_asked_at_s = now
        way = _way(book, task, now)
        stops.append(Stop(task.task_id, task.upstream, way, detail))
    return stops


def _way(book: Book, task: Running, now: float) -> StopWay:
    workload = book.states[task.workload].workload
    young = now - task.started_at_s < book.settings.sharing.checkpoint_after_s
    return StopWay.STOP if workload.idempotent and young else StopWay.CHECKPOINT
