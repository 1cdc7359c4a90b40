"""The log writer, which appends to the owned partitions by group commit.

`LogWriter` holds the state and makes at most one store call per step;
`JournalWriter` runs it on its own thread.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from result import Err, Ok, Result

from papayadyke_clients.store import ErrorKind, Store, StoreError
from papayadyke_core.journal import (
    AppendCallResult,
    AppendResult,
    Entry,
    Flush,
    GroupCommit,
    Segment,
    TicketUpdate,
    WriteRateLimiter,
    encode_segment,
    segment_key,
)
from papayadyke_daemon.journal._compaction import (
    OwnershipLostError,
    compact,
    is_compaction_due,
)
from papayadyke_daemon.journal._takeover import (
    OwnedLog,
    confirm_owner,
    new_id,
    take_over,
)
from papayadyke_daemon.journal._types import JournalSettings, Replay
from papayadyke_daemon.journal._verified_writes import try_append

OWNERSHIP_PROOF_MAX_AGE_S = 3600.0
COMPACTION_RETRY_S = 30.0

OnSettled = Callable[[AppendResult, float], None]

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _InFlightSegment:
    segment: Segment
    data: bytes
    created_s: float


@dataclass(slots=True)
class _Compaction:
    partition: int
    steps: Iterator[None]


class LogWriter:
    """Append to the logs of the partitions that one VM owns.

    Parameters
    ----------
    store : Store
    settings : JournalSettings
    on_fenced : callable
        Called with the number of a partition that another VM took over; this VM
        must not answer for that partition any more.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        store: Store,
        settings: JournalSettings,
        on_fenced: Callable[[int], None],
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._settings = settings
        self._on_fenced = on_fenced
        self._clock = clock
        self._commit = GroupCommit(WriteRateLimiter(vm_count=settings.vm_count))
        self._logs: dict[int, OwnedLog] = {}
        self._owner_proved_s: dict[int, float] = {}
        self._in_flight: dict[int, _InFlightSegment] = {}
        self._on_settled: dict[int, OnSettled] = {}
        self._compaction: _Compaction | None = None
        self._compact_after_s = 0.0
        self._is_compaction_next = False

    @property
    def partitions(self) -> tuple[int, ...]:
        """Partitions that this VM owns."""
        return self._commit.partitions

    def set_vm_count(self, vm_count: int) -> None:
        """Set the number of VMs that share the store, which paces its calls."""
        self._commit.rate_limiter.set_vm_count(vm_count)

    def log_time_s(self, partition: int) -> float | None:
        """Return the log time of a partition in seconds, or None if not owned."""
        log = self._logs.get(partition)
        return None if log is None else log.log_time_s(self._clock())

    def take_over(self, partition: int) -> Result[Replay, StoreError]:
        """Take ownership of a partition and fence its earlier writer."""
        if partition in self._logs:
            return Err(StoreError(ErrorKind.INVALID, "the partition is already owned"))
        result = take_over(self._store, partition, self._settings, self._clock)
        if isinstance(result, Err):
            return result
        log, replay = result.ok_value
        self._logs[partition] = log
        self._owner_proved_s[partition] = log.monotonic_s
        self._commit.add_partition(partition, log.next_number)
        logger.info(
            "journal: partition %d taken over, %d entries replayed",
            partition,
            len(replay.entries),
        )
        return Ok(replay)

    def drop(self, partition: int) -> None:
        """Give up a partition without waiting for its queued entries."""
        self._report_settled(self._commit.remove_partition(partition), 0.0)
        self._discard(partition)

    def append(
        self,
        partition: int,
        entries: tuple[Entry, ...],
        on_settled: OnSettled,
        *,
        expires_at_s: float | None = None,
    ) -> None:
        """Queue entries to be appended to a partition, all or none.

        Parameters
        ----------
        partition : int
        entries : tuple of Entry
        on_settled : callable
            Called with the result and the log time in seconds; may be called
            with `UNKNOWN` first and with the final result later.
        expires_at_s : float or None
            Monotonic time in seconds after which the entries are dropped if they
            were not written; None keeps them while the partition is owned.
        """
        ticket = self._commit.add(
            partition, entries, self._clock(), expires_at_s=expires_at_s
        )
        if ticket is None:
            on_settled(AppendResult.DROPPED, 0.0)
            return
        self._on_settled[ticket] = on_settled

    def has_pending(self, partition: int) -> bool:
        """Return whether entries of a partition are waiting to be appended."""
        return self._commit.has_pending(partition)

    def step(self) -> float | None:
        """Make at most one due store call; return the monotonic time of the next."""
        now = self._clock()
        self._report_settled(self._commit.expire(now), 0.0)
        self._start_due_compaction(now)
        if not self._commit.rate_limiter.may_call(now):
            return self._next_due_s()
        if self._is_compaction_next and self._compaction is not None:
            self._compact_step(now)
            return self._next_due_s()
        flush = self._commit.next_flush(now)
        if flush is not None:
            self._is_compaction_next = True
            self._flush(flush)
        elif self._compaction is not None:
            self._compact_step(now)
        return self._next_due_s()

    def _next_due_s(self) -> float | None:
        now = self._clock()
        due = self._commit.next_due_s(now)
        if self._compaction is None:
            return due
        next_s = self._commit.rate_limiter.next_call_s(now)
        return next_s if due is None else min(due, next_s)

    def _flush(self, flush: Flush) -> None:
        partition = flush.partition
        log = self._logs[partition]
        started_s = self._clock()
        if not self._renew_proof_if_expired(partition, log, started_s):
            return
        in_flight = self._in_flight.get(partition)
        if in_flight is None or not flush.is_retry:
            in_flight = self._make_segment(log, flush.entries, started_s)
            self._in_flight[partition] = in_flight
        appended = try_append(
            self._store,
            segment_key(partition, flush.number),
            in_flight.data,
            in_flight.segment.id,
        )
        result = appended.result
        now = self._clock()
        if result is AppendCallResult.WRITTEN and self._is_proof_expired(
            partition, now
        ):
            result = AppendCallResult.AMBIGUOUS
        if result is AppendCallResult.WRITTEN:
            del self._in_flight[partition]
            self._owner_proved_s[partition] = now
            _record_segment(log, in_flight, appended.revision)
        settled = self._commit.report_result(
            partition, result, now, call_s=now - started_s
        )
        if result is AppendCallResult.NUMBER_IN_USE:
            # Drop the partition before the callbacks report that it was fenced.
            self._drop_fenced(partition)
        self._report_settled(settled, in_flight.segment.at_s)

    def _make_segment(
        self, log: OwnedLog, entries: tuple[Entry, ...], now: float
    ) -> _InFlightSegment:
        segment = Segment(
            new_id(),
            self._settings.vm,
            self._settings.incarnation,
            log.log_time_s(now),
            entries,
        )
        return _InFlightSegment(segment, encode_segment(segment), now)

    def _is_proof_expired(self, partition: int, now: float) -> bool:
        return now - self._owner_proved_s[partition] > OWNERSHIP_PROOF_MAX_AGE_S

    def _renew_proof_if_expired(
        self, partition: int, log: OwnedLog, now: float
    ) -> bool:
        """Prove ownership again if the last proof is too old; return whether owned.

        Takeover segments are retained for much longer than
        `OWNERSHIP_PROOF_MAX_AGE_S`, so an append within that time always conflicts
        with the segment of a takeover.
        """
        if not self._is_proof_expired(partition, now):
            return True
        confirmed = confirm_owner(self._store, log)
        if isinstance(confirmed, Ok):
            self._owner_proved_s[partition] = now
            return True
        is_fenced = confirmed.err_value.kind is ErrorKind.CONFLICT
        settled = self._commit.report_result(
            partition, AppendCallResult.NOT_WRITTEN, now
        )
        if is_fenced:
            settled += self._commit.remove_partition(
                partition, result=AppendResult.FENCED
            )
            self._drop_fenced(partition)
        self._report_settled(settled, 0.0)
        return False

    def _start_due_compaction(self, now: float) -> None:
        if self._compaction is not None or now < self._compact_after_s:
            return
        for partition, log in self._logs.items():
            if is_compaction_due(log, self._settings):
                self._compact_after_s = now + COMPACTION_RETRY_S
                steps = compact(self._store, log, log.log_time_s(now))
                self._compaction = _Compaction(partition, steps)
                return

    def _compact_step(self, now: float) -> None:
        """Make the next store call of the running compaction."""
        compaction = self._compaction
        assert compaction is not None
        self._is_compaction_next = False
        self._commit.rate_limiter.record_call(now)
        try:
            next(compaction.steps)
        except StopIteration:
            self._compaction = None
        except OwnershipLostError:
            partition = compaction.partition
            settled = self._commit.remove_partition(
                partition, result=AppendResult.FENCED
            )
            self._drop_fenced(partition)
            self._report_settled(settled, 0.0)

    def _report_settled(self, settled: list[TicketUpdate], at_s: float) -> None:
        for outcome in settled:
            on_settled = self._on_settled[outcome.ticket]
            if outcome.is_final:
                del self._on_settled[outcome.ticket]
            on_settled(outcome.result, at_s)

    def _drop_fenced(self, partition: int) -> None:
        logger.warning("journal: partition %d was taken over by another VM", partition)
        self._discard(partition)
        self._on_fenced(partition)

    def _discard(self, partition: int) -> None:
        self._logs.pop(partition, None)
        self._owner_proved_s.pop(partition, None)
        self._in_flight.pop(partition, None)
        if self._compaction is not None and self._compaction.partition == partition:
            self._compaction = None


def _record_segment(log: OwnedLog, in_flight: _InFlightSegment, revision: int) -> None:
    log.segments[log.next_number] = revision
    log.next_number += 1
    log.bytes_since += len(in_flight.data)
    log.at_s = in_flight.segment.at_s
    log.monotonic_s = in_flight.created_s
    for entry in in_flight.segment.entries:
        log.retained.apply(entry, in_flight.segment.at_s)
