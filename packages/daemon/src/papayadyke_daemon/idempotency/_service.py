"""The service that owns the key tables of this VM's partitions."""

from __future__ import annotations

import queue
import time
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from papayadyke_core.idempotency import (
    Claim,
    ClaimKind,
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

ClaimResult = Result[Claim, Refusal]
Resolve = Callable[[UnresolvedKey, Callable[[TaskDone], None]], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyServiceSettings:
    """Settings of the key service.

    Parameters
    ----------
    append_wait_s : float, default=2.0
        Longest time for which a claim waits for the store.
    resolve_interval_s : float, default=5.0
        Seconds between two questions about the same unresolved request.
    holder_interval_s : float, default=5.0
        Seconds between two looks for holders that are gone.
    """

    append_wait_s: float = 2.0
    resolve_interval_s: float = 5.0
    holder_interval_s: float = 5.0


@dataclass(slots=True)
class _Question:
    partition: int
    key: UnresolvedKey
    due_s: float


class KeyService:
    """Claims keys for requests and records how they ended.

    Parameters
    ----------
    journal : JournalWriter
    settings : KeyServiceSettings
    resolve : callable
        Asks the upstreams about a request whose VM was lost, and calls back with
        a `TaskDone`; `LOST` and `RUNNING` are asked again later. `NOT_STARTED`
        has to mean that a late start is refused as well.
    is_gone : callable
        Tells of the holder of a claim whether it runs no longer.
    clock : callable, default=time.monotonic
    """

    def __init__(
        self,
        journal: JournalWriter,
        settings: KeyServiceSettings,
        resolve: Resolve,
        *,
        is_gone: Callable[[str], bool] = lambda holder: False,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings = settings
        self._journal = journal
        self._resolve = resolve
        self._is_gone = is_gone
        self._clock = clock
        self._tables: dict[int, KeyTable] = {}
        self._at_s: dict[int, float] = {}
        self._questions: dict[str, _Question] = {}
        self._purge_s = 0.0
        self._holders_s = 0.0
        self._mailbox = Mailbox("idempotency", self._tick, clock=clock)
        journal.add_fenced_listener(self.drop)

    def start(self) -> None:
        """Start the thread."""
        self._mailbox.start()

    def stop(self) -> None:
        """End the thread."""
        self._mailbox.stop()

    def adopt(self, replay: Replay) -> None:
        """Own the keys of a partition that was taken over."""
        table = KeyTable()
        for timed in replay.entries:
            table.apply(timed.entry, timed.at_s)
        unresolved = table.mark_recovered()
        self._mailbox.post(lambda: self._adopt(replay, table, unresolved))

    def drop(self, partition: int) -> None:
        """Own the keys of a partition no longer."""
        self._mailbox.post(lambda: self._drop(partition))

    def claim(
        self, key: str, workload: str, body: bytes, request_id: str, *, holder: str
    ) -> ClaimResult:
        """Claim a key for a request, and wait until the claim is durable.

        Parameters
        ----------
        key, workload : str
        body : bytes
        request_id : str
        holder : str
            The VM that would run the request.

        Returns
        -------
        claim : Result of Claim or Refusal
            After `Ok` with `FIRST` the request may run, and its end is handed to
            `record`. A refusal is always `not_run`: the request is not started,
            and a claim that turns out to be in the log is released.
        """
        replies: queue.SimpleQueue[ClaimResult] = queue.SimpleQueue()
        entry = KeyClaimed(
            key, workload, body_digest(workload, body), request_id, holder
        )
        self._mailbox.post(lambda: self._claim(entry, replies.put))
        try:
            return replies.get(timeout=self.settings.append_wait_s + REPLY_MARGIN_S)
        except queue.Empty:
            self.record(key, request_id, refusal=_store_away())
            return Err(_store_away())

    def place(self, key: str, request_id: str, upstream: str) -> None:
        """Note the upstream of a request, for whoever has to resolve it."""
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
        """Record how the first request of a key ended.

        A refusal with `not_run` frees the key, so that a retry may run.
        """
        self._mailbox.post(lambda: self._record(key, request_id, answer, refusal))

    def _adopt(
        self, replay: Replay, table: KeyTable, unresolved: tuple[UnresolvedKey, ...]
    ) -> None:
        self._tables[replay.partition] = table
        self._at_s[replay.partition] = replay.at_s
        now = self._clock()
        for item in unresolved:
            self._questions[item.key] = _Question(replay.partition, item, now)

    def _drop(self, partition: int) -> None:
        self._tables.pop(partition, None)
        self._questions = {
            key: question
            for key, question in self._questions.items()
            if question.partition != partition
        }

    def _claim(self, entry: KeyClaimed, reply: Callable[[ClaimResult], None]) -> None:
        partition = partition_of(entry.key)
        table = self._tables.get(partition)
        if table is None:
            reply(Err(_not_home()))
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
            give_up_s=self._clock() + self.settings.append_wait_s,
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
            self._at_s[partition] = at_s
            if pending.is_told:
                self._record(entry.key, entry.request_id, None, _store_away())
            else:
                self._tell_first(partition, pending)
            return
        if result is not AppendResult.UNKNOWN:
            pending.table.withdraw(entry.key, entry.request_id)
        pending.tell(Err(_store_away()))

    def _tell_first(self, partition: int, pending: _PendingClaim) -> None:
        if self._tables.get(partition) is pending.table:
            pending.tell(Ok(pending.claim))
        else:
            pending.tell(Err(_not_home()))

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
        self._questions.pop(key, None)
        entry: Entry | None
        if refusal is not None and refusal.verdict is Verdict.NOT_RUN:
            entry = table.release(key, request_id)
        else:
            kept = None if answer is None else storable_answer(answer)
            entry = table.outcome(key, request_id, answer=kept, refusal=refusal)
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
            self._at_s[partition] = at_s

    def _tick(self, now: float) -> float | None:
        if now >= self._purge_s:
            self._purge_s = now + PURGE_INTERVAL_S
            for partition, table in self._tables.items():
                table.purge(self._at_s[partition])
        if now >= self._holders_s:
            self._holders_s = now + self.settings.holder_interval_s
            self._find_lost(now)
        due = [item for item in self._questions.values() if now >= item.due_s]
        for question in due:
            question.due_s = now + self.settings.resolve_interval_s
            self._ask(question.key)
        return min((q.due_s for q in self._questions.values()), default=None)

    def _find_lost(self, now: float) -> None:
        """Ask about the keys in progress whose holder is gone."""
        for partition, table in self._tables.items():
            for item in table.mark_lost(self._is_gone):
                self._questions[item.key] = _Question(partition, item, now)

    def _ask(self, key: UnresolvedKey) -> None:
        self._resolve(
            key, lambda done: self._mailbox.post(lambda: self._resolved(key, done))
        )

    def _resolved(self, key: UnresolvedKey, done: TaskDone) -> None:
        if key.key not in self._questions:
            return
        if done.result is TaskResult.ANSWERED or done.answer is not None:
            self._record(key.key, key.request_id, done.answer, None)
        elif done.result is TaskResult.NOT_STARTED:
            self._record(key.key, key.request_id, None, _never_started())
        elif done.result not in (TaskResult.LOST, TaskResult.RUNNING):
            self._record(key.key, key.request_id, None, _lost())


@dataclass(slots=True)
class _PendingClaim:
    entry: KeyClaimed
    claim: Claim
    table: KeyTable
    reply: Callable[[ClaimResult], None]
    is_told: bool = False

    def tell(self, result: ClaimResult) -> None:
        """Reply once."""
        if not self.is_told:
            self.is_told = True
            self.reply(result)


def _not_home() -> Refusal:
    return Refusal(
        Verdict.NOT_RUN,
        Reason.KEY_HOME_UNREACHABLE,
        "no VM that can be reached owns the idempotency key now: its partition is "
        "being taken over, or the key-value service is away",
        RETRY_AFTER_S,
    )


def _store_away() -> Refusal:
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


def _lost() -> Refusal:
    return Refusal(
        Verdict.MAY_HAVE_RUN,
        Reason.UPSTREAM_LOST,
        "the VM that ran the request was lost, and its answer with it",
    )
