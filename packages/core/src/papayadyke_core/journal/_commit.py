"""Group commit: what is appended next, to which partition, and when.

Pure decisions: the caller makes the store call that a `Flush` names and reports
its result; every ticket is settled from that alone.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from papayadyke_core.journal._entries import Entry, entry_size
from papayadyke_core.journal._pace import Pace

MAX_SEGMENT_BYTES = 900_000
MAX_ENTRIES_BYTES = 700_000
MAX_PENDING_BYTES = 8_000_000


class AppendResult(StrEnum):
    """What is known of entries handed over for an append.

    `DURABLE`: they are in the log. `DROPPED`: they are not and never will be.
    `FENCED`: the same, and the partition has another owner. `UNKNOWN`: they may
    be or come to be in the log; a later message of the same ticket may tell.
    """

    DURABLE = "durable"
    DROPPED = "dropped"
    FENCED = "fenced"
    UNKNOWN = "unknown"


class CallResult(StrEnum):
    """What a store call for a flush showed.

    `WRITTEN`: the segment is in the log. `NOT_WRITTEN`: this call changed
    nothing. `AMBIGUOUS`: this call may have taken effect. `TAKEN`: another
    writer's segment has the number.
    """

    WRITTEN = "written"
    NOT_WRITTEN = "not_written"
    AMBIGUOUS = "ambiguous"
    TAKEN = "taken"


@dataclass(frozen=True, slots=True)
class Settled:
    """News of a ticket; after a final one it is forgotten."""

    ticket: int
    result: AppendResult
    is_final: bool = True


@dataclass(frozen=True, slots=True)
class Flush:
    """Append these entries as this segment; again with the same id on a retry."""

    partition: int
    number: int
    entries: tuple[Entry, ...]
    is_retry: bool


@dataclass(slots=True)
class _Pending:
    ticket: int
    entries: tuple[Entry, ...]
    size: int
    give_up_s: float | None
    since_s: float
    told_unknown: bool = False


@dataclass(slots=True)
class _Partition:
    next_number: int
    pending: deque[_Pending] = field(default_factory=deque)
    in_flight: list[_Pending] = field(default_factory=list)
    calling: bool = False
    may_be_written: bool = False
    pending_bytes: int = 0


class GroupCommit:
    """The appends of one VM, over all partitions it owns.

    Parameters
    ----------
    pace : Pace
        How often the store may be called.
    """

    def __init__(self, pace: Pace) -> None:
        self.pace = pace
        self._partitions: dict[int, _Partition] = {}
        self._next_ticket = 0

    @property
    def partitions(self) -> tuple[int, ...]:
        """The partitions that are owned."""
        return tuple(sorted(self._partitions))

    def add_partition(self, partition: int, next_number: int) -> None:
        """Own a partition whose next segment has this number."""
        _check(partition not in self._partitions, "a partition is owned twice")
        self._partitions[partition] = _Partition(next_number)

    def remove_partition(
        self, partition: int, *, result: AppendResult = AppendResult.DROPPED
    ) -> list[Settled]:
        """Give a partition up; say of each ticket what is known of it.

        Parameters
        ----------
        partition : int
        result : AppendResult, default=AppendResult.DROPPED
            For entries that are certainly not in the log.
        """
        state = self._partitions.pop(partition, None)
        if state is None:
            return []
        flown = AppendResult.UNKNOWN if state.may_be_written else result
        settled = [Settled(item.ticket, flown) for item in state.in_flight]
        settled += [Settled(item.ticket, result) for item in state.pending]
        return settled

    def add(
        self,
        partition: int,
        entries: tuple[Entry, ...],
        now: float,
        *,
        give_up_s: float | None = None,
    ) -> int | None:
        """Queue entries for one append, all or none.

        Parameters
        ----------
        partition : int
        entries : tuple of Entry
        now : float
            Monotonic time in seconds.
        give_up_s : float or None
            Time past which they are dropped where nothing was written; None
            keeps them for as long as the partition is owned.

        Returns
        -------
        ticket : int or None
            None where the partition is not owned, too much waits already, or
            the entries fit in no segment.
        """
        state = self._partitions.get(partition)
        size = sum(entry_size(entry) for entry in entries)
        if state is None or size > MAX_ENTRIES_BYTES:
            return None
        if give_up_s is not None and state.pending_bytes + size > MAX_PENDING_BYTES:
            return None
        self._next_ticket += 1
        item = _Pending(self._next_ticket, entries, size, give_up_s, now)
        state.pending.append(item)
        state.pending_bytes += size
        return item.ticket

    def next_flush(self, now: float) -> Flush | None:
        """Return the append to make now; its result must be reported."""
        if not self.pace.may_call(now):
            return None
        partition = self._oldest()
        if partition is None:
            return None
        state = self._partitions[partition]
        is_retry = bool(state.in_flight)
        if not is_retry:
            self._take_batch(state)
        state.calling = True
        self.pace.called(now)
        entries = tuple(e for item in state.in_flight for e in item.entries)
        return Flush(partition, state.next_number, entries, is_retry)

    def _oldest(self) -> int | None:
        waiting = [
            ((state.in_flight or state.pending)[0].since_s, partition)
            for partition, state in self._partitions.items()
            if (state.in_flight or state.pending) and not state.calling
        ]
        return min(waiting)[1] if waiting else None

    def _take_batch(self, state: _Partition) -> None:
        size = 0
        while state.pending and size + state.pending[0].size <= MAX_SEGMENT_BYTES:
            item = state.pending.popleft()
            size += item.size
            state.in_flight.append(item)

    def report(
        self, partition: int, result: CallResult, now: float, *, call_s: float = 0.0
    ) -> list[Settled]:
        """Take in what a flush showed.

        Parameters
        ----------
        partition : int
        result : CallResult
        now : float
        call_s : float, default=0.0
            Seconds that the call took.

        Returns
        -------
        settled : list of Settled
        """
        answered = result in (CallResult.WRITTEN, CallResult.TAKEN)
        self.pace.answered(now, ok=answered, call_s=call_s)
        state = self._partitions.get(partition)
        if state is None:
            return []
        _check(state.calling, "a result without a call")
        state.calling = False
        if result is CallResult.WRITTEN:
            return self._commit(state)
        if result is CallResult.TAKEN:
            state.may_be_written = False
            return self.remove_partition(partition, result=AppendResult.FENCED)
        if result is CallResult.AMBIGUOUS:
            state.may_be_written = True
        if not state.may_be_written:
            state.pending.extendleft(reversed(state.in_flight))
            state.in_flight = []
        return self.expire(now)

    def _commit(self, state: _Partition) -> list[Settled]:
        settled = [
            Settled(item.ticket, AppendResult.DURABLE) for item in state.in_flight
        ]
        state.pending_bytes -= sum(item.size for item in state.in_flight)
        state.in_flight = []
        state.may_be_written = False
        state.next_number += 1
        return settled

    def expire(self, now: float) -> list[Settled]:
        """Drop what has waited too long; say so of what may be written."""
        settled: list[Settled] = []
        for state in self._partitions.values():
            settled += self._expire_pending(state, now)
            for item in state.in_flight:
                if _is_late(item, now) and not item.told_unknown:
                    item.told_unknown = True
                    settled.append(Settled(item.ticket, AppendResult.UNKNOWN, False))
        return settled

    def _expire_pending(self, state: _Partition, now: float) -> list[Settled]:
        late = [item for item in state.pending if _is_late(item, now)]
        if not late:
            return []
        state.pending = deque(i for i in state.pending if not _is_late(i, now))
        state.pending_bytes -= sum(item.size for item in late)
        return [Settled(item.ticket, AppendResult.DROPPED) for item in late]

    def has_pending(self, partition: int) -> bool:
        """Tell whether anything of a partition waits to be appended."""
        state = self._partitions.get(partition)
        return state is not None and bool(state.in_flight or state.pending)

    def next_due_s(self, now: float) -> float | None:
        """Return the time at which `next_flush` or `expire` has something to do."""
        if not any(s.in_flight or s.pending for s in self._partitions.values()):
            return None
        times = [self.pace.next_call_s(now)]
        for state in self._partitions.values():
            times += [i.give_up_s for i in state.pending if i.give_up_s is not None]
        return min(times)


def _is_late(item: _Pending, now: float) -> bool:
    return item.give_up_s is not None and now > item.give_up_s


def _check(condition: bool, what: str) -> None:
    if not condition:
        raise AssertionError(f"journal: {what}")
