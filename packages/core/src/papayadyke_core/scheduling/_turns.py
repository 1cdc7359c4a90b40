"""The order in which workloads get their turns in one pass."""

from __future__ import annotations

import heapq

from papayadyke_core.scheduling._book import Book
from papayadyke_core.scheduling._running import SchedulingError
from papayadyke_core.scheduling._state import WorkloadState
from papayadyke_core.sharing import Limit, Phase, Rank


class TurnOrder:
    """Workloads with waiting work, the one that is next before the others.

    A start makes ranks larger and none smaller, so a rank that was stored may be
    too small only, and is put right when it reaches the top.

    Parameters
    ----------
    book : Book
    now : float
    """

    def __init__(self, book: Book, now: float) -> None:
        self._book = book
        self._now = now
        self._added = 0
        self._heap: list[tuple[Rank, float, int, WorkloadState]] = []
        self._blocked: dict[str, WorkloadState] = {}
        for state in book.backlog.values():
            self._push(state)

    def next(self) -> tuple[WorkloadState, Phase] | None:
        """Return the workload whose turn it is and what the turn is owed to."""
        while self._heap:
            stored, _, _, state = self._heap[0]
            rank = self._rank(state)
            if rank == stored:
                return state, rank.phase
            heapq.heappop(self._heap)
            self._push(state)
        return None

    def end_turn(self) -> None:
        """Put the workload whose turn it was back into the order, if it waits."""
        state = heapq.heappop(self._heap)[-1]
        if len(state.queue) > 0:
            self._push(state)

    def block(self, limit: Limit) -> None:
        """Take the workload whose turn it was out of the order."""
        state = heapq.heappop(self._heap)[-1]
        state.blocked_by = limit
        self._blocked[state.name] = state

    def unblock(self, limit: Limit) -> None:
        """Put the workloads that a limit kept back into the order."""
        kept = [item for item in self._blocked.values() if item.blocked_by is limit]
        for state in kept:
            del self._blocked[state.name]
            self._push(state)

    def check_floors(self) -> None:
        """Check that no workload under its floor is passed over by one above it.

        Raises
        ------
        SchedulingError
        """
        for state in self._book.backlog.values():
            if state.account.below_floor and state.name not in self._blocked:
                raise SchedulingError(f"scheduling: {state.name} is passed over")

    def note_floors(self) -> None:
        """Note since when workloads wait under their floor for room."""
        for state in self._blocked.values():
            waits = state.account.below_floor and state.blocked_by is not Limit.CEILING
            if not waits:
                state.below_floor_since_s = None
            elif state.below_floor_since_s is None:
                state.below_floor_since_s = self._now

    def _push(self, state: WorkloadState) -> None:
        self._added += 1
        entry = (self._rank(state), state.last_start_s, self._added, state)
        heapq.heappush(self._heap, entry)

    def _rank(self, state: WorkloadState) -> Rank:
        head = state.queue.head()
        overdue_s = self._book.settings.sharing.overdue_s
        overdue = head is not None and state.is_overdue(head, self._now, overdue_s)
        return self._book.shares.rank(state.account, overdue=overdue)
