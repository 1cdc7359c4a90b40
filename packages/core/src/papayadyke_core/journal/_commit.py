"""Group commit: batches log entries into segments and schedules the appends.

This module performs no I/O: the caller makes the store call that a `Flush`
describes and reports its result, which alone decides the result of every ticket.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from papayadyke_core.journal._entries import Entry, entry_size
from papayadyke_core.journal._write_rate import WriteRateLimiter

# Below the largest value that the store accepts.
MAX_SEGMENT_BYTES = 900_000
MAX_ENTRIES_BYTES = 700_000
MAX_PENDING_BYTES = 8_000_000


class AppendResult(StrEnum):
    """Result of an append, as far as it is known.

    `DURABLE`: the entries are in the log. `DROPPED`: they are not in the log and
    never will be. `FENCED`: as `DROPPED`, and the partition has another owner.
    `UNKNOWN`: they may be in the log now or later; a later update of the same
    ticket may give the result.
    """

    DURABLE = "durable"
    DROPPED = "dropped"
    FENCED = "fenced"
    UNKNOWN = "unknown"


class AppendCallResult(StrEnum):
    """Result of the store call for a flush.

    `WRITTEN`: the segment is in the log. `NOT_WRITTEN`: this call changed
    nothing. `AMBIGUOUS`: this call may have taken effect. `NUMBER_IN_USE`: a segment
    of another writer has this number.
    """

    WRITTEN = "written"
    NOT_WRITTEN = "not_written"
    AMBIGUOUS = "ambiguous"
    NUMBER_IN_USE = "taken"


@dataclass(frozen=True, slots=True)
class TicketUpdate:
    """Result of a ticket; a final result is the last one for its ticket."""

    ticket: int
    result: AppendResult
    is_final: bool = True


@dataclass(frozen=True, slots=True)
class Flush:
    """Append to be made: the entries and the number of their segment.

    A retry uses the segment id of the first attempt again.
    """

    partition: int
    number: int
    entries: tuple[Entry, ...]
    is_retry: bool


@dataclass(slots=True)
class _PendingAppend:
    ticket: int
    entries: tuple[Entry, ...]
    size: int
    expires_at_s: float | None
    queued_at_s: float
    unknown_reported: bool = False


@dataclass(slots=True)
class _Partition:
    next_number: int
    pending: deque[_PendingAppend] = field(default_factory=deque)
    in_flight: list[_PendingAppend] = field(default_factory=list)
    call_in_progress: bool = False
    may_be_written: bool = False
    pending_bytes: int = 0


class GroupCommit:
    """Queue of the appends of one VM to all partitions that it owns.

    Parameters
    ----------
    rate_limiter : WriteRateLimiter
        Rate limit of the store calls.
    """

    def __init__(self, rate_limiter: WriteRateLimiter) -> None:
        self.rate_limiter = rate_limiter
        self._partitions: dict[int, _Partition] = {}
        self._next_ticket = 0

    @property
    def partitions(self) -> tuple[int, ...]:
        """Numbers of the owned partitions in ascending order."""
        return tuple(sorted(self._partitions))

    def add_partition(self, partition: int, next_number: int) -> None:
        """Add an owned partition, given the number of its next segment."""
        _check(partition not in self._partitions, "partition added twice")
        self._partitions[partition] = _Partition(next_number)

    def remove_partition(
        self, partition: int, *, result: AppendResult = AppendResult.DROPPED
    ) -> list[TicketUpdate]:
        """Remove a partition and return the result of each of its open tickets.

        Parameters
        ----------
        partition : int
        result : AppendResult, default=AppendResult.DROPPED
            Result of the entries that are certainly not in the log.
        """
        state = self._partitions.pop(partition, None)
        if state is None:
            return []
        in_flight_result = AppendResult.UNKNOWN if state.may_be_written else result
        settled = [
            TicketUpdate(pending.ticket, in_flight_result)
            for pending in state.in_flight
        ]
        settled += [TicketUpdate(pending.ticket, result) for pending in state.pending]
        return settled

    def add(
        self,
        partition: int,
        entries: tuple[Entry, ...],
        now: float,
        *,
        expires_at_s: float | None = None,
    ) -> int | None:
        """Queue entries that are appended together, in one segment.

        Parameters
        ----------
        partition : int
        entries : tuple of Entry
        now : float
            Monotonic time in seconds.
        expires_at_s : float or None
            Monotonic time in seconds after which the entries are dropped unless
            they may have been written. None keeps them queued while the partition
            is owned.

        Returns
        -------
        ticket : int or None
            None if the partition is not owned, the queue is full, or the entries
            do not fit into a segment.
        """
        state = self._partitions.get(partition)
        size = sum(entry_size(entry) for entry in entries)
        if state is None or size > MAX_ENTRIES_BYTES:
            return None
        if expires_at_s is not None and state.pending_bytes + size > MAX_PENDING_BYTES:
            return None
        self._next_ticket += 1
        pending = _PendingAppend(self._next_ticket, entries, size, expires_at_s, now)
        state.pending.append(pending)
        state.pending_bytes += size
        return pending.ticket

    def next_flush(self, now: float) -> Flush | None:
        """Return the append to make now, if any; the caller reports its result."""
        if not self.rate_limiter.may_call(now):
            return None
        partition = self._longest_waiting_partition()
        if partition is None:
            return None
        state = self._partitions[partition]
        is_retry = bool(state.in_flight)
        if not is_retry:
            self._fill_batch(state)
        state.call_in_progress = True
        self.rate_limiter.record_call(now)
        entries = tuple(e for pending in state.in_flight for e in pending.entries)
        return Flush(partition, state.next_number, entries, is_retry)

    def _longest_waiting_partition(self) -> int | None:
        candidates = [
            ((state.in_flight or state.pending)[0].queued_at_s, partition)
            for partition, state in self._partitions.items()
            if (state.in_flight or state.pending) and not state.call_in_progress
        ]
        return min(candidates)[1] if candidates else None

    def _fill_batch(self, state: _Partition) -> None:
        size = 0
        while state.pending and size + state.pending[0].size <= MAX_SEGMENT_BYTES:
            pending = state.pending.popleft()
            size += pending.size
            state.in_flight.append(pending)

    def report_result(
        self,
        partition: int,
        result: AppendCallResult,
        now: float,
        *,
        call_s: float = 0.0,
    ) -> list[TicketUpdate]:
        """Process the result of a flush and return the tickets that it settles.

        Parameters
        ----------
        partition : int
        result : AppendCallResult
        now : float
            Monotonic time in seconds.
        call_s : float, default=0.0
            Duration of the call in seconds.

        Returns
        -------
        settled : list of TicketUpdate
        """
        store_answered = result in (
            AppendCallResult.WRITTEN,
            AppendCallResult.NUMBER_IN_USE,
        )
        self.rate_limiter.record_result(now, ok=store_answered, call_s=call_s)
        state = self._partitions.get(partition)
        if state is None:
            return []
        _check(state.call_in_progress, "result reported without a call in progress")
        state.call_in_progress = False
        if result is AppendCallResult.WRITTEN:
            return self._finish_batch(state)
        if result is AppendCallResult.NUMBER_IN_USE:
            state.may_be_written = False
            return self.remove_partition(partition, result=AppendResult.FENCED)
        if result is AppendCallResult.AMBIGUOUS:
            state.may_be_written = True
        if not state.may_be_written:
            state.pending.extendleft(reversed(state.in_flight))
            state.in_flight = []
        return self.expire(now)

    def _finish_batch(self, state: _Partition) -> list[TicketUpdate]:
        settled = [
            TicketUpdate(pending.ticket, AppendResult.DURABLE)
            for pending in state.in_flight
        ]
        state.pending_bytes -= sum(pending.size for pending in state.in_flight)
        state.in_flight = []
        state.may_be_written = False
        state.next_number += 1
        return settled

    def expire(self, now: float) -> list[TicketUpdate]:
        """Drop expired entries; report `UNKNOWN` for those that may be written."""
        settled: list[TicketUpdate] = []
        for state in self._partitions.values():
            settled += self._expire_pending(state, now)
            for pending in state.in_flight:
                if _is_expired(pending, now) and not pending.unknown_reported:
                    pending.unknown_reported = True
                    settled.append(
                        TicketUpdate(pending.ticket, AppendResult.UNKNOWN, False)
                    )
        return settled

    def _expire_pending(self, state: _Partition, now: float) -> list[TicketUpdate]:
        expired = [pending for pending in state.pending if _is_expired(pending, now)]
        if not expired:
            return []
        state.pending = deque(i for i in state.pending if not _is_expired(i, now))
        state.pending_bytes -= sum(pending.size for pending in expired)
        return [
            TicketUpdate(pending.ticket, AppendResult.DROPPED) for pending in expired
        ]

    def has_pending(self, partition: int) -> bool:
        """Return whether a partition has entries that are not yet in the log."""
        state = self._partitions.get(partition)
        return state is not None and bool(state.in_flight or state.pending)

    def next_due_s(self, now: float) -> float | None:
        """Return when to call `next_flush` or `expire` next, in monotonic seconds.

        None if no entries are queued or in flight.
        """
        if not any(s.in_flight or s.pending for s in self._partitions.values()):
            return None
        times = [self.rate_limiter.next_call_s(now)]
        for state in self._partitions.values():
            times += [
                i.expires_at_s for i in state.pending if i.expires_at_s is not None
            ]
        return min(times)


def _is_expired(pending: _PendingAppend, now: float) -> bool:
    return pending.expires_at_s is not None and now > pending.expires_at_s


def _check(condition: bool, message: str) -> None:
    if not condition:
        raise AssertionError(f"journal: {message}")
