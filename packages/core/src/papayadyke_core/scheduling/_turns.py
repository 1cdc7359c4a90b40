"""Order in which workloads take turns in one scheduling pass."""

from __future__ import annotations

import heapq
from typing import NamedTuple

from papayadyke_core.scheduling._cluster_state import ClusterState
from papayadyke_core.scheduling._running import SchedulingError
from papayadyke_core.scheduling._workload_state import WorkloadState
from papayadyke_core.sharing import BlockReason, Rank, RankPhase


class _HeapEntry(NamedTuple):
    """Heap entry of a workload, with the number of starts when it was ranked."""

    rank: Rank
    last_start_s: float
    tie_breaker: int
    state: WorkloadState
    starts_when_ranked: int


class TurnOrder:
    """Priority queue of the workloads with queued requests.

    A start never makes a rank smaller. A stored rank can therefore only be too
    small, and it is recomputed when its entry reaches the top of the heap.

    Parameters
    ----------
    cluster : ClusterState
    now : float
    """

    def __init__(self, cluster: ClusterState, now: float) -> None:
        self._cluster = cluster
        self._now = now
        self._starts = 0
        self._heap: list[_HeapEntry] = []
        self._blocked: dict[str, WorkloadState] = {}
        self._heap.extend(self._heap_entry(state) for state in cluster.backlog.values())
        heapq.heapify(self._heap)

    def next(self) -> tuple[WorkloadState, RankPhase] | None:
        """Return the workload whose turn it is and its scheduling phase."""
        heap = self._heap
        while heap:
            rank, _, _, state, starts_when_ranked = heap[0]
            if starts_when_ranked == self._starts or self._rank(state) == rank:
                return state, rank.phase
            heapq.heapreplace(heap, self._heap_entry(state))
        return None

    def end_turn(self) -> None:
        """Record a start by the current workload and requeue it if it has a queue."""
        self._starts += 1
        state = self._heap[0].state
        if len(state.queue) > 0:
            heapq.heapreplace(self._heap, self._heap_entry(state))
        else:
            heapq.heappop(self._heap)

    def block(self, reason: BlockReason) -> None:
        """Remove the current workload from the order, recording the reason."""
        state = heapq.heappop(self._heap).state
        state.blocked_by = reason
        self._blocked[state.name] = state

    def block_rest(self, reason: BlockReason) -> list[tuple[WorkloadState, RankPhase]]:
        """Remove all workloads from the order and return them with their phases."""
        rest = [(entry.state, entry.rank.phase) for entry in sorted(self._heap)]
        self._heap.clear()
        for state, _ in rest:
            state.blocked_by = reason
            self._blocked[state.name] = state
        return rest

    def unblock(self, reason: BlockReason) -> None:
        """Put the workloads blocked for a reason back into the order."""
        unblocked = [
            blocked
            for blocked in self._blocked.values()
            if blocked.blocked_by is reason
        ]
        for state in unblocked:
            del self._blocked[state.name]
            heapq.heappush(self._heap, self._heap_entry(state))

    def check_order(self) -> None:
        """Check that no workload entitled to go first is passed over.

        A backlogged workload that is below its floor or overdue must have been
        blocked by a limit before any workload has its turn in the share phase.

        Raises
        ------
        SchedulingError
            If such a workload is not blocked.
        """
        for state in self._cluster.backlog.values():
            is_entitled = state.account.is_below_floor or self._is_overdue(state)
            if is_entitled and state.name not in self._blocked:
                raise SchedulingError(
                    f"scheduling: {state.name} is passed over by lower ranks"
                )

    def update_floor_waits(self) -> None:
        """Record since when blocked workloads have been waiting below their floor.

        Workloads blocked by their own ceiling do not count as waiting.
        """
        for state in self._blocked.values():
            waits_for_capacity = (
                state.account.is_below_floor
                and state.blocked_by is not BlockReason.CEILING
            )
            if not waits_for_capacity:
                state.below_floor_since_s = None
            elif state.below_floor_since_s is None:
                state.below_floor_since_s = self._now

    def _heap_entry(self, state: WorkloadState) -> _HeapEntry:
        rank = self._rank(state)
        return _HeapEntry(
            rank, state.last_start_s, state.tie_breaker, state, self._starts
        )

    def _rank(self, state: WorkloadState) -> Rank:
        overdue = self._is_overdue(state)
        return self._cluster.shares.rank(state.account, overdue=overdue)

    def _is_overdue(self, state: WorkloadState) -> bool:
        head = state.queue.head()
        overdue_after_s = self._cluster.settings.sharing.overdue_after_s
        return head is not None and state.is_overdue(head, self._now, overdue_after_s)
