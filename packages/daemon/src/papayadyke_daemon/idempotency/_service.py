"""Service that owns the key tables of the partitions of this VM."""

from __future__ import annotations

import queue
import time
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from papayadyke_core.idempotency import (
    ClaimKind,
    ClaimResult,
    KeyTable,
    UnresolvedKey,
    body_digest,
    storable_answer,
)
from papayadyke_core.jobs import TaskDone, TaskResult
from papayadyke_core.journal import (
    Answer,
    AppendResult,
    Entry,
    KeyClaimed,
    KeyPlaced,
    partition_of,
)
from papayadyke_core.verdicts import Reason, Refusal, Verdict
from papayadyke_daemon.journal import JournalWriter, Replay
from papayadyke_daemon.mailbox import Mailbox

RETRY_AFTER_S = 1.0
PURGE_INTERVAL_S = 60.0
REPLY_MARGIN_S = 60.0

ClaimOrRefusal = Result[ClaimResult, Refusal]
Resolve = Callable[[UnresolvedKey, Callable[[TaskDone], None]], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyServiceSettings:
    """Settings of the key service.

    Parameters
    ----------
    append_wait_s : float, default=2.0
        Seconds for which a claim waits for the store at most.
    resolve_interval_s : float, default=5.0
        Seconds between two requests to resolve the same unresolved request.
    holder_check_interval_s : float, default=5.0
        Seconds between two checks for holders that were lost.
    """

    append_wait_s: float = 2.0
    resolve_interval_s: float = 5.0
    holder_check_interval_s: float = 5.0


@dataclass(slots=True)
class _PendingResolution:
    partition: int
    key: UnresolvedKey
    due_s: float


class KeyService:
    """Claim keys for requests and record the outcomes of the requests.

    Parameters
    ----------
    journal : JournalWriter
    settings : KeyServiceSettings
    resolve : callable
        Asks the upstreams for the outcome of a request whose VM was lost, and
        calls back with a `TaskDone`; after `LOST` and `RUNNING` the request is
        repeated later. `NOT_STARTED` must mean that a late start is refused as
        well.
    is_holder_lost : callable
        Returns whether the holder of a claim is no longer running.
    clock : callable, default=time.monotonic
        Returns monotonic seconds.
    """

    def __init__(
        self,
        journal: JournalWriter,
        settings: KeyServiceSettings,
        resolve: Resolve,
        *,
        is_holder_lost: Callable[[str], bool] = lambda holder: False,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings = settings
        self._journal = journal
        self._resolve = resolve
        self._is_holder_lost = is_holder_lost
        self._clock = clock
        self._tables: dict[int, KeyTable] = {}
        self._log_times_s: dict[int, float] = {}
        self._resolutions: dict[str, _PendingResolution] = {}
        self._next_purge_s = 0.0
        self._next_holder_check_s = 0.0
        self._mailbox = Mailbox("idempotency", self._tick, clock=clock)
        journal.add_fenced_listener(self.drop)

    def start(self) -> None:
        """Start the thread."""
        self._mailbox.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._mailbox.stop()

    def adopt(self, replay: Replay) -> None:
        """Add the keys of a partition that this VM took over."""
        table = KeyTable()
        for timed in replay.entries:
            table.apply(timed.entry, timed.at_s)
        unresolved = table.mark_recovered()
        self._mailbox.post(lambda: self._adopt(replay, table, unresolved))

    def drop(self, partition: int) -> None:
        """Remove the keys of a partition that this VM no longer owns."""
        self._mailbox.post(lambda: self._drop(partition))

    def claim(
        self, key: str, workload: str, body: bytes, request_id: str, *, holder: str
    ) -> ClaimOrRefusal:
        """Claim a key for a request, and wait until the claim is durable.

        Parameters
        ----------
        key, workload : str
        body : bytes
        request_id : str
        holder : str
            Identifies the VM that would run the request, and its incarnation.

        Returns
        -------
        claim : Result of ClaimResult or Refusal
            After `Ok` with `FIRST` the request may run, and the caller has to pass
            its outcome to `record`. A refusal is always `not_run`: the request is
            not started, and a claim that is found in the log later is released.
        """
        replies: queue.SimpleQueue[ClaimOrRefusal] = queue.SimpleQueue()
        entry = KeyClaimed(
            key, workload, body_digest(workload, body), request_id, holder
        )
        self._mailbox.post(lambda: self._claim(entry, replies.put))
        try:
            return replies.get(timeout=self.settings.append_wait_s + REPLY_MARGIN_S)
        except queue.Empty:
            self.record(key, request_id, refusal=_store_unavailable())
            return Err(_store_unavailable())

    def record_placement(self, key: str, request_id: str, upstream: str) -> None:
        """Record the upstream of a request, which is needed to resolve it."""
        entry = KeyPlaced(key, request_id, upstream)
        self._mailbox.post(lambda: self._append_for(key, request_id, entry))

    def record(
        self,
        key: str,
        request_id: str,
        *,
        answer: Answer | None = None,
        refusal: Refusal | None = None,
    ) -> None:
        """Record the outcome of the request that claimed a key.

        A refusal with `not_run` releases the key, so that a retry may run.
        """
        self._mailbox.post(lambda: self._record(key, request_id, answer, refusal))

    def _adopt(
        self, replay: Replay, table: KeyTable, unresolved: tuple[UnresolvedKey, ...]
    ) -> None:
        self._tables[replay.partition] = table
        self._log_times_s[replay.partition] = replay.at_s
        now = self._clock()
        for unresolved_key in unresolved:
            self._resolutions[unresolved_key.key] = _PendingResolution(
                replay.partition, unresolved_key, now
            )

    def _drop(self, partition: int) -> None:
        self._tables.pop(partition, None)
        self._resolutions = {
            key: resolution
            for key, resolution in self._resolutions.items()
            if resolution.partition != partition
        }

    def _claim(
        self, entry: KeyClaimed, reply: Callable[[ClaimOrRefusal], None]
    ) -> None:
        partition = partition_of(entry.key)
        table = self._tables.get(partition)
        if table is None:
            reply(Err(_owner_unreachable()))
            return
        claim = table.claim(entry.key, entry.workload, entry.digest, entry.request_id)
        if claim.kind is not ClaimKind.FIRST:
            reply(Ok(claim))
            return
        pending = _PendingClaim(entry, claim, table, reply)
        self._journal.append(
            partition,
            (entry,),
            lambda result, at_s: self._mailbox.post(
                lambda: self._claim_settled(partition, pending, result, at_s)
            ),
            expires_at_s=self._clock() + self.settings.append_wait_s,
        )

    def _claim_settled(
        self,
        partition: int,
        pending: _PendingClaim,
        result: AppendResult,
        at_s: float,
    ) -> None:
        entry = pending.entry
        if result is AppendResult.DURABLE:
            pending.table.apply(entry, at_s)
            self._log_times_s[partition] = at_s
            if pending.has_replied:
                self._record(entry.key, entry.request_id, None, _store_unavailable())
            else:
                self._reply_first(partition, pending)
            return
        if result is not AppendResult.UNKNOWN:
            pending.table.withdraw(entry.key, entry.request_id)
        pending.reply_once(Err(_store_unavailable()))

    def _reply_first(self, partition: int, pending: _PendingClaim) -> None:
        if self._tables.get(partition) is pending.table:
            pending.reply_once(Ok(pending.claim))
        else:
            pending.reply_once(Err(_owner_unreachable()))

    def _record(
        self,
        key: str,
        request_id: str,
        answer: Answer | None,
        refusal: Refusal | None,
    ) -> None:
        table = self._tables.get(partition_of(key))
        if table is None:
            return
        self._resolutions.pop(key, None)
        entry: Entry | None
        if refusal is not None and refusal.verdict is Verdict.NOT_RUN:
            entry = table.make_release_entry(key, request_id)
        else:
            stored = None if answer is None else storable_answer(answer)
            entry = table.make_outcome_entry(
                key, request_id, answer=stored, refusal=refusal
            )
        if entry is not None:
            self._append_for(key, request_id, entry)

    def _append_for(self, key: str, request_id: str, entry: Entry) -> None:
        partition = partition_of(key)
        table = self._tables.get(partition)
        if table is None:
            return
        self._journal.append(
            partition,
            (entry,),
            lambda result, at_s: self._mailbox.post(
                lambda: self._entry_settled(partition, table, entry, result, at_s)
            ),
        )

    def _entry_settled(
        self,
        partition: int,
        table: KeyTable,
        entry: Entry,
        result: AppendResult,
        at_s: float,
    ) -> None:
        if result is AppendResult.DURABLE:
            table.apply(entry, at_s)
            self._log_times_s[partition] = at_s

    def _tick(self, now: float) -> float | None:
        if now >= self._next_purge_s:
            self._next_purge_s = now + PURGE_INTERVAL_S
            for partition, table in self._tables.items():
                table.remove_expired(self._log_times_s[partition])
        if now >= self._next_holder_check_s:
            self._next_holder_check_s = now + self.settings.holder_check_interval_s
            self._resolve_keys_of_lost_holders(now)
        due = [
            pending for pending in self._resolutions.values() if now >= pending.due_s
        ]
        for resolution in due:
            resolution.due_s = now + self.settings.resolve_interval_s
            self._request_resolution(resolution.key)
        return min((r.due_s for r in self._resolutions.values()), default=None)

    def _resolve_keys_of_lost_holders(self, now: float) -> None:
        """Start to resolve the keys in progress whose holder was lost."""
        for partition, table in self._tables.items():
            for unresolved_key in table.mark_lost(self._is_holder_lost):
                self._resolutions[unresolved_key.key] = _PendingResolution(
                    partition, unresolved_key, now
                )

    def _request_resolution(self, key: UnresolvedKey) -> None:
        self._resolve(
            key, lambda done: self._mailbox.post(lambda: self._resolved(key, done))
        )

    def _resolved(self, key: UnresolvedKey, done: TaskDone) -> None:
        if key.key not in self._resolutions:
            return
        if done.result is TaskResult.ANSWERED or done.answer is not None:
            self._record(key.key, key.request_id, done.answer, None)
        elif done.result is TaskResult.NOT_STARTED:
            self._record(key.key, key.request_id, None, _never_started())
        elif done.result not in (TaskResult.LOST, TaskResult.RUNNING):
            self._record(key.key, key.request_id, None, _answer_lost())


@dataclass(slots=True)
class _PendingClaim:
    entry: KeyClaimed
    claim: ClaimResult
    table: KeyTable
    reply: Callable[[ClaimOrRefusal], None]
    has_replied: bool = False

    def reply_once(self, result: ClaimOrRefusal) -> None:
        """Send the reply, unless one was sent already."""
        if not self.has_replied:
            self.has_replied = True
            self.reply(result)


def _owner_unreachable() -> Refusal:
    return Refusal(
        Verdict.NOT_RUN,
        Reason.KEY_HOME_UNREACHABLE,
        "no VM that can be reached owns the idempotency key now: its partition is "
        "being taken over, or the key-value service is away",
        RETRY_AFTER_S,
    )


def _store_unavailable() -> Refusal:
    return Refusal(
        Verdict.NOT_RUN,
        Reason.STORE_UNAVAILABLE,
        "the idempotency key could not be claimed, so the request was not started",
        RETRY_AFTER_S,
    )


def _never_started() -> Refusal:
    return Refusal(
        Verdict.NOT_RUN, Reason.UPSTREAM_LOST, "no upstream started the request"
    )


def _answer_lost() -> Refusal:
    return Refusal(
        Verdict.MAY_HAVE_RUN,
        Reason.UPSTREAM_LOST,
        "the VM that ran the request was lost, and its answer with it",
    )
