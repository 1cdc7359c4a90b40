"""The writer: owns partitions of the log and appends to them by group commit.

`LogWriter` holds the state and makes the store calls, one step at a time;
`JournalWriter` runs it on a thread of its own.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from result import Err, Ok, Result

from papayadyke_clients.store import ErrorKind, Store, StoreError
from papayadyke_core.journal import (
    AppendResult,
    CallResult,
    Entry,
    Flush,
    GroupCommit,
    Pace,
    Segment,
    Settled,
    encode_segment,
    segment_key,
)
from papayadyke_daemon.journal._certain import append_once
from papayadyke_daemon.journal._compaction import LostOwnership, compact, is_due
from papayadyke_daemon.journal._takeover import (
    OwnedLog,
    confirm_owner,
    new_id,
    take_over,
)
from papayadyke_daemon.journal._types import JournalSettings, Replay

FENCE_HORIZON_S = 3600.0
COMPACTION_RETRY_S = 30.0

OnSettled = Callable[[AppendResult, float], None]

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class _InFlight:
    segment: Segment
    data: bytes
    made_s: float


@dataclass(slots=True)
class _Compaction:
    partition: int
    steps: Iterator[None]


class LogWriter:
    """The logs that one VM owns.

    Parameters
    ----------
    store : Store
    settings : JournalSettings
    on_fenced : callable
        Called with the number of a partition that another VM took over; nothing
        more may be said on its behalf.
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
        self._commit = GroupCommit(Pace(vms=settings.vms))
        self._logs: dict[int, OwnedLog] = {}
        self._confirmed_s: dict[int, float] = {}
        self._in_flight: dict[int, _InFlight] = {}
        self._on_settled: dict[int, OnSettled] = {}
        self._compaction: _Compaction | None = None
        self._compact_after_s = 0.0
        self._compacts_next = False

    @property
    def partitions(self) -> tuple[int, ...]:
        """The partitions that are owned."""
        return self._commit.partitions

    def set_vms(self, vms: int) -> None:
        """Take in the number of VMs that share the store."""
        self._commit.pace.set_vms(vms)

    def log_time_s(self, partition: int) -> float | None:
        """Return the log time of an owned partition."""
        log = self._logs.get(partition)
        return None if log is None else log.log_time_s(self._clock())

    def take_over(self, partition: int) -> Result[Replay, StoreError]:
        """Own a partition; its earlier writer is fenced."""
        if partition in self._logs:
            return Err(StoreError(ErrorKind.INVALID, "the partition is owned already"))
        taken = take_over(self._store, partition, self._settings, self._clock)
        if isinstance(taken, Err):
            return taken
        log, replay = taken.ok_value
        self._logs[partition] = log
        self._confirmed_s[partition] = log.since_s
        self._commit.add_partition(partition, log.next_number)
        logger.info(
            "journal: partition %d taken over, %d entries replayed",
            partition,
            len(replay.entries),
        )
        return Ok(replay)

    def drop(self, partition: int) -> None:
        """Give a partition up without waiting for what is queued."""
        self._settle(self._commit.remove_partition(partition), 0.0)
        self._forget(partition)

    def append(
        self,
        partition: int,
        entries: tuple[Entry, ...],
        on_settled: OnSettled,
        *,
        give_up_s: float | None = None,
    ) -> None:
        """Queue entries; `on_settled` is told the result and the log time.

        Parameters
        ----------
        partition : int
        entries : tuple of Entry
        on_settled : callable
            May be called with `UNKNOWN` first and with a certain result later.
        give_up_s : float or None
            Monotonic time past which the entries are dropped.
        """
        ticket = self._commit.add(
            partition, entries, self._clock(), give_up_s=give_up_s
        )
        if ticket is None:
            on_settled(AppendResult.DROPPED, 0.0)
            return
        self._on_settled[ticket] = on_settled

    def has_pending(self, partition: int) -> bool:
        """Tell whether anything waits to be appended."""
        return self._commit.has_pending(partition)

    def step(self) -> float | None:
        """Make at most one store call that is due; return when to call again."""
        now = self._clock()
        self._settle(self._commit.expire(now), 0.0)
        self._begin_compaction(now)
        if not self._commit.pace.may_call(now):
            return self._next_due_s()
        if self._compacts_next and self._compaction is not None:
            self._compact_step(now)
            return self._next_due_s()
        flush = self._commit.next_flush(now)
        if flush is not None:
            self._compacts_next = True
            self._flush(flush)
        elif self._compaction is not None:
            self._compact_step(now)
        return self._next_due_s()

    def _next_due_s(self) -> float | None:
        now = self._clock()
        due = self._commit.next_due_s(now)
        if self._compaction is None:
            return due
        next_s = self._commit.pace.next_call_s(now)
        return next_s if due is None else min(due, next_s)

    def _flush(self, flush: Flush) -> None:
        partition = flush.partition
        log = self._logs[partition]
        started = self._clock()
        if not self._confirm_if_old(partition, log, started):
            return
        flown = self._in_flight.get(partition)
        if flown is None or not flush.is_retry:
            flown = self._make_segment(log, flush.entries, started)
            self._in_flight[partition] = flown
        appended = append_once(
            self._store,
            segment_key(partition, flush.number),
            flown.data,
            flown.segment.id,
        )
        result = appended.result
        now = self._clock()
        if result is CallResult.WRITTEN and self._is_old(partition, now):
            result = CallResult.AMBIGUOUS
        if result is CallResult.WRITTEN:
            del self._in_flight[partition]
            self._confirmed_s[partition] = now
            _count(log, flown, appended.revision)
        settled = self._commit.report(partition, result, now, call_s=now - started)
        if result is CallResult.TAKEN:
            # Whoever is told that it was fenced finds the partition given up.
            self._lose(partition)
        self._settle(settled, flown.segment.at_s)

    def _make_segment(
        self, log: OwnedLog, entries: tuple[Entry, ...], now: float
    ) -> _InFlight:
        segment = Segment(
            new_id(),
            self._settings.vm,
            self._settings.incarnation,
            log.log_time_s(now),
            entries,
        )
        return _InFlight(segment, encode_segment(segment), now)

    def _is_old(self, partition: int, now: float) -> bool:
        return now - self._confirmed_s[partition] > FENCE_HORIZON_S

    def _confirm_if_old(self, partition: int, log: OwnedLog, now: float) -> bool:
        """Prove ownership anew after a pause that was longer than the horizon.

        Segments of a takeover are kept for much longer than the horizon, so an
        append within it can't slip past one.
        """
        if not self._is_old(partition, now):
            return True
        confirmed = confirm_owner(self._store, log)
        if isinstance(confirmed, Ok):
            self._confirmed_s[partition] = now
            return True
        lost = confirmed.err_value.kind is ErrorKind.CONFLICT
        settled = self._commit.report(partition, CallResult.NOT_WRITTEN, now)
        if lost:
            settled += self._commit.remove_partition(
                partition, result=AppendResult.FENCED
            )
            self._lose(partition)
        self._settle(settled, 0.0)
        return False

    def _begin_compaction(self, now: float) -> None:
        if self._compaction is not None or now < self._compact_after_s:
            return
        for partition, log in self._logs.items():
            if is_due(log, self._settings):
                self._compact_after_s = now + COMPACTION_RETRY_S
                steps = compact(self._store, log, log.log_time_s(now))
                self._compaction = _Compaction(partition, steps)
                return

    def _compact_step(self, now: float) -> None:
        """Make one call of the compaction under way."""
        compaction = self._compaction
        assert compaction is not None
        self._compacts_next = False
        self._commit.pace.called(now)
        try:
            next(compaction.steps)
        except StopIteration:
            self._compaction = None
        except LostOwnership:
            partition = compaction.partition
            settled = self._commit.remove_partition(
                partition, result=AppendResult.FENCED
            )
            self._lose(partition)
            self._settle(settled, 0.0)

    def _settle(self, settled: list[Settled], at_s: float) -> None:
        for item in settled:
            on_settled = self._on_settled[item.ticket]
            if item.is_final:
                del self._on_settled[item.ticket]
            on_settled(item.result, at_s)

    def _lose(self, partition: int) -> None:
        logger.warning("journal: partition %d was taken over by another VM", partition)
        self._forget(partition)
        self._on_fenced(partition)

    def _forget(self, partition: int) -> None:
        self._logs.pop(partition, None)
        self._confirmed_s.pop(partition, None)
        self._in_flight.pop(partition, None)
        if self._compaction is not None and self._compaction.partition == partition:
            self._compaction = None


def _count(log: OwnedLog, flown: _InFlight, revision: int) -> None:
    log.segments[log.next_number] = revision
    log.next_number += 1
    log.bytes_since += len(flown.data)
    log.at_s = flown.segment.at_s
    log.since_s = flown.made_s
    for entry in flown.segment.entries:
        log.live.apply(entry, flown.segment.at_s)
