"""Who gets room held, and which upstreams are kept from whom, in one pass."""

from __future__ import annotations

from dataclasses import replace

from papayadyke_core.admission import QueuedRequest
from papayadyke_core.resources import Resources
from papayadyke_core.scheduling._book import Book
from papayadyke_core.scheduling._room_hold import RoomHold, UpstreamRoom, plan_hold
from papayadyke_core.scheduling._state import WorkloadState
from papayadyke_core.sharing import Phase

_LATE_GROWTH = 0.1
_PLAN_EVERY_S = 0.1
_MIN_LOOKED_AT = 64


class RoomKeeper:
    """The room that is held, as one pass over the waiting work sees it.

    Parameters
    ----------
    book : Book
    now : float
    """

    def __init__(self, book: Book, now: float) -> None:
        self._book = book
        self._now = now
        self._free: dict[str, tuple[Resources, int]] = {}
        book.drop_stale_hold()

    @property
    def hold(self) -> RoomHold | None:
        """The room that is held, if any."""
        return self._book.hold

    def is_held_for(self, request: QueuedRequest) -> bool:
        """Tell whether room is held for a request."""
        hold = self.hold
        return hold is not None and hold.request is request

    def goes_first(self, request: QueuedRequest) -> bool:
        """Tell whether a request may use the reserves, being owed its room."""
        hold = self.hold
        owed = hold is not None and hold.phase is not Phase.SHARE
        return owed and self.is_held_for(request)

    def release(self) -> None:
        """Hold no room any more."""
        self._book.hold = None
        self._book.note_room()

    def consider(
        self, state: WorkloadState, request: QueuedRequest, tasks: int, phase: Phase
    ) -> None:
        """Hold room for work that found none, if it is its turn to have it.

        Gangs of a workload under its floor have it at once, others when they have
        waited for a while, and single tasks when they are overdue. Room that is
        held already goes over only to work that is owed its turn more.
        """
        hold = self.hold
        if hold is not None:
            if hold.request is request and phase < hold.phase:
                self._book.hold = replace(hold, phase=phase)
            if hold.request is request or phase >= hold.phase:
                return
        patience_s = self._book.settings.sharing.gang_patience_s
        waited_s = self._now - request.queued_at_s
        owed = phase is not Phase.SHARE or waited_s >= patience_s
        if not owed or (tasks == 1 and phase is not Phase.OVERDUE):
            return
        if self._now >= self._book.next_hold_s:
            self._plan(state, request, tasks, phase)

    def kept_from(
        self, state: WorkloadState, request: QueuedRequest, phase: Phase
    ) -> tuple[str, ...]:
        """Return the upstreams on which a request may not start now.

        They have no room beyond what is held, and the work might not end before
        it is needed. Room that is not owed to anyone by floor or waiting time is
        kept only from work that ranks no higher.
        """
        hold = self.hold
        if hold is None or hold.request is request:
            return ()
        if self._now + state.run_times.upper_s <= hold.ready_at_s:
            return ()
        if hold.phase is Phase.SHARE and self._ranks_higher(state, phase, hold):
            return ()
        demand = state.account.demand
        held_demand = self._demand_of(hold)
        return tuple(
            name
            for name, tasks in hold.upstreams.items()
            if not self._has_surplus(name, held_demand * tasks, tasks, demand)
        )

    def note_started(self, upstreams: tuple[str, ...], demand: Resources) -> None:
        """Count tasks that have been started in this pass."""
        for name in upstreams:
            known = self._free.get(name)
            if known is not None:
                self._free[name] = (known[0] - demand, known[1] - 1)

    def _ranks_higher(self, state: WorkloadState, phase: Phase, hold: RoomHold) -> bool:
        if phase is not Phase.SHARE:
            return True
        holder = self._book.states[hold.request.workload]
        return state.account.urgency > holder.account.urgency

    def _demand_of(self, hold: RoomHold) -> Resources:
        return self._book.states[hold.request.workload].account.demand

    def _has_surplus(
        self, name: str, held: Resources, held_tasks: int, demand: Resources
    ) -> bool:
        known = self._free.get(name)
        if known is None:
            known = self._free[name] = self._book.free_on(name)
        free, slots = known
        return slots > held_tasks and (held + demand).fits_in(free)

    def _plan(
        self, state: WorkloadState, request: QueuedRequest, tasks: int, phase: Phase
    ) -> None:
        book = self._book
        demand = state.account.demand
        names = self._emptiest_first(demand)
        planned = None
        looked_at = max(_MIN_LOOKED_AT, tasks)
        while planned is None and names:
            rooms = [self._room(name) for name in names[:looked_at]]
            planned = plan_hold(rooms, request, demand, tasks, phase, self._now)
            if looked_at >= len(names):
                break
            looked_at *= 4
        if planned is not None:
            book.hold = planned
        book.next_hold_s = self._now + _PLAN_EVERY_S

    def _emptiest_first(self, demand: Resources) -> list[str]:
        """Return the upstreams that hold a task when idle, by slots in use."""
        book = self._book
        names = [
            name
            for name, spec in book.specs.items()
            if name not in book.unusable
            and book.limit_of(name) > 0
            and demand.fits_in(spec.capacity)
        ]
        names.sort(key=lambda name: book.running.count_on(name) / book.limit_of(name))
        return names

    def _room(self, name: str) -> UpstreamRoom:
        free, slots = self._book.free_on(name)
        return UpstreamRoom(name, free, slots, self._ends(name))

    def _ends(self, upstream: str) -> tuple[tuple[float, Resources], ...]:
        return tuple(
            (self._expected_end_s(task.workload, task.started_at_s), task.demand)
            for task in self._book.running.on_upstream(upstream)
        )

    def _expected_end_s(self, workload: str, started_at_s: float) -> float:
        upper_s = self._book.states[workload].run_times.upper_s
        late_s = self._now + _LATE_GROWTH * (self._now - started_at_s)
        return max(started_at_s + upper_s, late_s)
