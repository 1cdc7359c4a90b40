"""The order in which workloads get their turns in one pass."""

from __future__ import annotations

import heapq
from typing import NamedTuple

from papayadyke_core.scheduling._book import Book
from papayadyke_core.scheduling._running import SchedulingError
from papayadyke_core.scheduling._state import WorkloadState
from papayadyke_core.sharing import Limit, Phase, Rank


class _Turn(NamedTuple):
    """A workload in the order; `seen` is the number of starts at its ranking."""

    rank: Rank
    last_start_s: float
    order: int
    state: WorkloadState
    seen: int


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
        self._starts = 0
        self._heap: list[_Turn] = []
        self._blocked: dict[str, WorkloadState] = {}
        self._heap.extend(self._turn(state) for state in book.backlog.values())
        heapq.heapify(self._heap)

    def next(self) -> tuple[WorkloadState, Phase] | None:
        """Return the workload whose turn it is and what the turn is owed to."""
        heap = self._heap
        while heap:
            rank, _, _, state, seen = heap[0]
            if seen == self._starts or self._rank(state) == rank:
                return state, rank.phase
            heapq.heapreplace(heap, self._turn(state))
        return None

    def end_turn(self) -> None:
        """Put the workload whose turn it was back into the order, if it waits."""
        self._starts += 1
        state = self._heap[0].state
        if len(state.queue) > 0:
            heapq.heapreplace(self._heap, self._turn(state))
        else:
            heapq.heappop(self._heap)

    def block(self, limit: Limit) -> None:
        """Take the workload whose turn it was out of the order."""
        state = heapq.heappop(self._heap).state
        state.blocked_by = limit
        self._blocked[state.name] = state

    def block_rest(self, limit: Limit) -> list[tuple[WorkloadState, Phase]]:
        """Take all workloads out of the order and return them with their turns."""
        rest = [(turn.state, turn.rank.phase) for turn in sorted(self._heap)]
        self._heap.clear()
        for state, _ in rest:
            state.blocked_by = limit
            self._blocked[state.name] = state
        return rest

    def unblock(self, limit: Limit) -> None:
        """Put the workloads that a limit kept back into the order."""
        kept = [item for item in self._blocked.values() if item.blocked_by is limit]
        for state in kept:
            del self._blocked[state.name]
            heapq.heappush(self._heap, self._turn(state))

    def check_order(self) -> None:
        """Check that work that is owed a turn is not passed over by other work.

        It is owed one by the floor of its workload, or by having waited so long.

        Raises
        ------
        SchedulingError
        """
        for state in self._book.backlog.values():
            owed = state.account.below_floor or self._is_overdue(state)
            if owed and state.name not in self._blocked:
                raise SchedulingError(f"scheduling: {state.name} is passed over")

    def note_floors(self) -> None:
        """Note since when workloads wait under their floor for room."""
        for state in self._blocked.values():
            waits = state.account.below_floor and state.blocked_by is not Limit.CEILING
            if not waits:
                state.below_floor_since_s = None
            elif state.below_floor_since_s is None:
                state.below_floor_since_s = self._now

    def _turn(self, state: WorkloadState) -> _Turn:
        rank = self._rank(state)
        return _Turn(rank, state.last_start_s, state.order, state, self._starts)

    def _rank(self, state: WorkloadState) -> Rank:
        overdue = self._is_overdue(state)
        return self._book.shares.rank(state.account, overdue=overdue)

    def _is_overdue(self, state: WorkloadState) -> bool:
        head = state.queue.head()
        overdue_s = self._book.settings.sharing.overdue_s
        return head is not None and state.is_overdue(head, self._now, overdue_s)
