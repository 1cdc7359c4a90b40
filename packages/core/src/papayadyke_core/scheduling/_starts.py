"""One pass over the waiting work: what is started, in which order, and where."""

from __future__ import annotations

from dataclasses import dataclass, field

from papayadyke_core.admission import QueuedRequest
from papayadyke_core.scheduling._book import Book
from papayadyke_core.scheduling._room_keeper import RoomKeeper
from papayadyke_core.scheduling._running import SchedulingError
from papayadyke_core.scheduling._state import WorkloadState
from papayadyke_core.scheduling._turns import TurnOrder
from papayadyke_core.scheduling._types import Start
from papayadyke_core.sharing import Limit, Phase

_AVOID_S = 0.25


@dataclass(slots=True)
class _Pass:
    """What one pass over the waiting work has done so far."""

    now: float
    room: RoomKeeper
    starts: list[Start] = field(default_factory=list)


def start_waiting(book: Book, now: float) -> tuple[list[Start], bool]:
    """Start what can be started.

    Parameters
    ----------
    book : Book
    now : float

    Returns
    -------
    starts : list of Start
    more : bool
        Whether work was left only because one decision starts no more.
    """
    book.resize()
    if not book.backlog:
        return [], False
    book.reserves.refresh(book.states.values(), book.shares.size, now)
    run = _Pass(now, RoomKeeper(book, now))
    turns = TurnOrder(book, now)
    order_checked = False
    while (turn := turns.next()) is not None:
        if len(run.starts) >= book.settings.max_starts:
            return run.starts, True
        if book.fleet.free_slots == 0:
            _block_rest(book, run, turns)
            break
        state, phase = turn
        if phase is Phase.SHARE and not order_checked:
            # Once is enough: a start makes no workload owed a turn.
            turns.check_order()
            order_checked = True
        held = run.room.hold
        limit = _start_head(book, run, state, phase)
        if limit is None:
            turns.end_turn()
        else:
            turns.block(limit)
        if held is not None and run.room.hold is None:
            turns.unblock(Limit.GANG)
    turns.note_floors()
    return run.starts, False


def _block_rest(book: Book, run: _Pass, turns: TurnOrder) -> None:
    """End the turns of all workloads, because no slot is free."""
    for state, phase in turns.block_rest(Limit.ROOM):
        request = state.queue.head()
        if request is not None and (state.is_gang or phase is Phase.OVERDUE):
            tasks = request.tasks if state.is_gang else 1
            if state.account.blocked_by(tasks, book.shares.size) is None:
                run.room.consider(state, request, tasks, phase)


def _start_head(
    book: Book, run: _Pass, state: WorkloadState, phase: Phase
) -> Limit | None:
    """Start the next task, or the next gang, of a workload.

    Returns
    -------
    limit : Limit or None
        What forbids it, or None where it has been started.
    """
    request = state.queue.head()
    if request is None:
        raise SchedulingError(f"scheduling: the queue of {state.name} is empty")
    tasks = request.tasks if state.is_gang else 1
    holds_room = run.room.is_held_for(request)
    limit = state.account.blocked_by(tasks, book.shares.size)
    if limit is not None:
        if holds_room:
            run.room.release()
        return limit
    if not run.room.goes_first(request) and _spares_reserves(book, run, state, phase):
        fleet = book.fleet
        if not book.reserves.leave_room(
            state, tasks, phase, fleet.free, fleet.free_slots
        ):
            return Limit.RESERVE
    placed = _place(book, run, state, request, tasks, phase)
    if isinstance(placed, Limit):
        run.room.consider(state, request, tasks, phase)
        return placed
    run.starts.extend(book.start(request, placed, run.now))
    if holds_room:
        run.room.release()
    return None


def _spares_reserves(
    book: Book, run: _Pass, state: WorkloadState, phase: Phase
) -> bool:
    """Tell whether a workload leaves the room that is kept for others.

    One under its floor does so for a moment only, because it has as good a claim.
    """
    if phase is not Phase.FLOOR:
        return phase is Phase.SHARE
    since_s = state.below_floor_since_s
    after_s = book.settings.sharing.preempt_after_s
    return since_s is None or run.now - since_s < after_s


def _place(
    book: Book,
    run: _Pass,
    state: WorkloadState,
    request: QueuedRequest,
    tasks: int,
    phase: Phase,
) -> tuple[tuple[str, str], ...] | Limit:
    """Reserve room for tasks of a request and return them with their upstreams."""
    fleet = book.fleet
    account = state.account
    if not request.avoid and state.has_no_room(tasks, book.room_version):
        return Limit.ROOM
    if fleet.free_slots < tasks or not account.demand.fits_in(fleet.free):
        return Limit.ROOM
    held = run.room.kept_from(state, request, phase)
    waited_s = run.now - request.queued_at_s
    avoid = request.avoid if waited_s < _AVOID_S else ()
    first = request.started
    ids = tuple(_task_id(request, first + offset) for offset in range(tasks))
    upstreams = _reserve(book, state, ids, (*avoid, *held))
    if upstreams is None:
        if not held and not avoid:
            state.note_no_room(tasks, book.room_version)
        return Limit.GANG if held else Limit.ROOM
    if held and any(name in held for name in upstreams):
        for task_id in ids:
            fleet.release(task_id)
        return Limit.GANG
    run.room.note_started(upstreams, account.demand)
    return tuple(zip(ids, upstreams, strict=True))


def _reserve(
    book: Book, state: WorkloadState, ids: tuple[str, ...], avoid: tuple[str, ...]
) -> tuple[str, ...] | None:
    account = state.account
    if state.is_gang:
        return book.fleet.reserve_gang(
            ids, workload=state.name, demand=account.demand, avoid=avoid
        )
    upstream = book.fleet.reserve(
        ids[0],
        workload=state.name,
        kind=account.kind,
        demand=account.demand,
        avoid=avoid,
    )
    return None if upstream is None else (upstream,)


def _task_id(request: QueuedRequest, index: int) -> str:
    return f"{request.id}.{index}.{request.attempt}"
