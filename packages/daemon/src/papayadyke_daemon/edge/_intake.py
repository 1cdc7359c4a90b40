"""Jobs are accepted, cancelled and asked for here, at every VM."""

from __future__ import annotations

import logging
import queue
import threading
import time
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum

from result import Err, Ok

from papayadyke_core.dispatch import (
    Catalog,
    JobState,
    StagedJobSpec,
    decode_progress,
)
from papayadyke_daemon.edge._clock import read_clock
from papayadyke_daemon.edge._decider import Decider
from papayadyke_daemon.edge._keys import (
    CANCEL_PREFIX,
    JOB_PREFIX,
    PROGRESS_PREFIX,
    decode_job,
    encode_record,
)
from papayadyke_daemon.edge._leadership import KnownDecider
from papayadyke_daemon.edge._logs import log_event
from papayadyke_daemon.edge._messages import (
    AskPending,
    AskState,
    Cancelled,
    PendingReply,
    StateReply,
    StoreCancel,
    StoreJob,
    StoreReply,
    Submitted,
)
from papayadyke_daemon.edge._metrics import METRICS
from papayadyke_daemon.edge._peers import PeerClients
from papayadyke_daemon.edge._ports import (
    EdgePorts,
    StoreError,
    StoreErrorKind,
    Write,
)

LOG = logging.getLogger(__name__)

STORE_TRIES = 2  # tries of one write; each lost answer is followed by another
STORE_TIMEOUT_S = 0.7  # seconds for one write; callers wait a few seconds in all
LOST_STORE_S = 0.5  # seconds without a try after all tries of a write have failed
STORE_PAUSE_S = 0.1  # seconds between two tries
RELAY_TIMEOUT_S = 1.5  # seconds for another VM to store a job
KNOWN_FINAL = 10_000  # ended jobs whose state is told without asking; about 2 MB
NOTICE_JOBS = 50  # jobs told in one message


# A stored job with its revision, or the id of a cancelled one.
Notice = tuple[StagedJobSpec, int] | str


class IntakeOutcome(StrEnum):
    """What became of a job or of a cancellation.

    `REFUSED` is certain not to be stored. After `UNKNOWN` it may be.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    NO_SUCH_JOB = "no_such_job"


@dataclass(frozen=True, slots=True)
class StoredJob:
    """What became of a write, and its revision, 0 where that is not known."""

    outcome: IntakeOutcome
    revision: int = 0


@dataclass(frozen=True, slots=True)
class IntakeParts:
    """What intake works with.

    Parameters
    ----------
    own_decider : callable
        The decider of this VM, or None.
    known_decider : callable
        The decider as far as this VM knows.
    reaches_store : callable
        Tells whether the store answered this VM lately.
    """

    own_decider: Callable[[], Decider | None]
    known_decider: Callable[[], KnownDecider]
    reaches_store: Callable[[], bool]


class Intake:
    """Stores what callers send, and tells the decider.

    Parameters
    ----------
    ports : EdgePorts
    clients : PeerClients
    parts : IntakeParts
    """

    def __init__(
        self, ports: EdgePorts, clients: PeerClients, parts: IntakeParts
    ) -> None:
        self.catalog: Catalog | None = None
        self._ports = ports
        self._clients = clients
        self._parts = parts
        self._notices: queue.SimpleQueue[Notice] = queue.SimpleQueue()
        self._final: OrderedDict[str, JobState] = OrderedDict()
        self._lost_until_s = 0.0
        threading.Thread(target=self._notify_on, name="notices", daemon=True).start()

    def accept(self, spec: StagedJobSpec, *, may_relay: bool = True) -> IntakeOutcome:
        """Store a job; it is accepted once that is certain."""
        data = encode_record(spec)
        key = JOB_PREFIX + spec.job_id
        stored = self._store_job(key, data, may_relay=may_relay)
        outcome = stored.outcome
        log_event(
            LOG,
            "intake: job",
            request=spec.job_id,
            queue=spec.queue,
            outcome=outcome,
            version=self.catalog.version if self.catalog else 0,
        )
        METRICS.count("papayadyke_intake", outcome=outcome)
        if outcome is IntakeOutcome.ACCEPTED:
            self._notices.put((spec, stored.revision))
        return outcome

    def accept_bytes(self, data: bytes) -> IntakeOutcome:
        """Store a job for another VM."""
        return self.accept(decode_job(data), may_relay=False)

    def cancel(self, job_id: str, *, may_relay: bool = True) -> IntakeOutcome:
        """Store a cancellation of a job that exists."""
        outcome = self._store_cancel(job_id)
        if outcome in (IntakeOutcome.REFUSED, IntakeOutcome.UNKNOWN) and may_relay:
            relayed = self._relay(StoreCancel(job_id))
            if relayed is not IntakeOutcome.REFUSED:
                outcome = relayed
        log_event(LOG, "intake: cancellation", request=job_id, outcome=outcome)
        if outcome is IntakeOutcome.ACCEPTED:
            self._notices.put(job_id)
        return outcome

    def state_of(self, job_id: str) -> JobState | StoreError | None:
        """Return the state of a job; None where no such job is stored."""
        if job_id in self._final:
            return self._final[job_id]
        state = self._ask_decider(job_id)
        if state is None:
            found = self._read_state(job_id)
            if not isinstance(found, JobState):
                return found
            state = found
        if state in (JobState.COMPLETE, JobState.FAILED):
            self._final[job_id] = state
            while len(self._final) > KNOWN_FINAL:
                self._final.popitem(last=False)
        return state

    def count_pending(self, queue_key: str) -> int | None:
        """Return the jobs of a queue that have not begun; None if not known."""
        own = self._parts.own_decider()
        if own is not None:
            return own.count_pending(queue_key)
        known = self._parts.known_decider()
        if not known.token:
            return None
        reply = self._clients.call(known.address, AskPending(queue_key))
        if isinstance(reply, Ok) and isinstance(reply.ok_value, PendingReply):
            return reply.ok_value.count if reply.ok_value.is_decider else None
        return None

    def take_notice(self, jobs: list[tuple[bytes, int]]) -> bool:
        """Take in jobs that another VM accepted; return whether this VM decides."""
        own = self._parts.own_decider()
        if own is None:
            return False
        for data, revision in jobs:
            own.submit(decode_job(data), revision)
        return True

    # Parts

    def _store_job(self, key: str, data: bytes, *, may_relay: bool) -> StoredJob:
        """Store by this VM, or by the decider's where this one can not."""
        if self._is_store_lost():
            # Waiting for a silent store would take most of the caller's time.
            if may_relay:
                return StoredJob(self._relay(StoreJob(data)))
            return StoredJob(IntakeOutcome.REFUSED)
        # Of a job that has ended only the progress is kept.
        progress_key = PROGRESS_PREFIX + key.removeprefix(JOB_PREFIX)
        stored = self._store(key, data, expected=[(key, 0), (progress_key, 0)])
        if stored.outcome is IntakeOutcome.ACCEPTED or not may_relay:
            return stored
        relayed = self._relay(StoreJob(data))
        if relayed is IntakeOutcome.ACCEPTED:
            return StoredJob(relayed)
        if IntakeOutcome.UNKNOWN in (relayed, stored.outcome):
            return StoredJob(IntakeOutcome.UNKNOWN)
        return stored

    def _store(
        self, key: str, data: bytes, *, expected: Sequence[tuple[str, int]]
    ) -> StoredJob:
        outcome = IntakeOutcome.REFUSED
        for number in range(STORE_TRIES):
            if number:
                time.sleep(STORE_PAUSE_S)
            stored = self._ports.store.write(
                [Write(key, data)], expected=expected, timeout_s=STORE_TIMEOUT_S
            )
            if isinstance(stored, Ok):
                return StoredJob(IntakeOutcome.ACCEPTED, stored.ok_value)
            error = stored.err_value
            if error.kind is StoreErrorKind.CONFLICT:
                # Stored by an earlier try, of this VM or of another, or ended.
                return StoredJob(IntakeOutcome.ACCEPTED)
            if error.kind is StoreErrorKind.UNKNOWN:
                outcome = IntakeOutcome.UNKNOWN
        self._lost_until_s = read_clock() + LOST_STORE_S
        return StoredJob(outcome)

    def _is_store_lost(self) -> bool:
        return not self._parts.reaches_store() or read_clock() < self._lost_until_s

    def _store_cancel(self, job_id: str) -> IntakeOutcome:
        if self._is_store_lost():
            return IntakeOutcome.REFUSED
        found = self._ports.store.read(JOB_PREFIX + job_id)
        if isinstance(found, Err):
            return IntakeOutcome.REFUSED
        if found.ok_value is None:
            ended = self._ports.store.read(PROGRESS_PREFIX + job_id)
            if isinstance(ended, Err):
                return IntakeOutcome.REFUSED
            if ended.ok_value is None:
                return IntakeOutcome.NO_SUCH_JOB
            return IntakeOutcome.ACCEPTED
        key = CANCEL_PREFIX + job_id
        # A job that ends first leaves no cancellation behind.
        expected = [(key, 0), (JOB_PREFIX + job_id, found.ok_value.revision)]
        return self._store(key, b"{}", expected=expected).outcome

    def _relay(self, message: StoreJob | StoreCancel) -> IntakeOutcome:
        """Have the decider's VM store what this one can not."""
        known = self._parts.known_decider()
        if not known.token or self._parts.own_decider() is not None:
            return IntakeOutcome.REFUSED
        reply = self._clients.call(known.address, message, timeout_s=RELAY_TIMEOUT_S)
        if isinstance(reply, Err) or not isinstance(reply.ok_value, StoreReply):
            return IntakeOutcome.UNKNOWN
        return IntakeOutcome(reply.ok_value.outcome)

    def _ask_decider(self, job_id: str) -> JobState | None:
        own = self._parts.own_decider()
        if own is not None:
            return own.state_of(job_id)
        known = self._parts.known_decider()
        if not known.token:
            return None
        reply = self._clients.call(known.address, AskState(job_id))
        if isinstance(reply, Ok) and isinstance(reply.ok_value, StateReply):
            return JobState(reply.ok_value.state) if reply.ok_value.state else None
        return None

    def _read_state(self, job_id: str) -> JobState | StoreError | None:
        state = self._read_progress(job_id)
        if state is not None:
            return state
        found = self._ports.store.read(JOB_PREFIX + job_id)
        if isinstance(found, Err):
            return found.err_value
        if found.ok_value is not None:
            return JobState.QUEUED
        # It may have ended between the two reads.
        return self._read_progress(job_id)

    def _read_progress(self, job_id: str) -> JobState | StoreError | None:
        found = self._ports.store.read(PROGRESS_PREFIX + job_id)
        if isinstance(found, Err):
            return found.err_value
        if found.ok_value is None or found.ok_value.value is None:
            return None
        return decode_progress(found.ok_value.value).state

    def _notify_on(self) -> None:
        while True:
            waiting: list[Notice] = [self._notices.get()]
            while not self._notices.empty() and len(waiting) < NOTICE_JOBS:
                waiting.append(self._notices.get())
            self._notify(waiting)

    def _notify(self, waiting: list[Notice]) -> None:
        """Tell the decider; it also reads the store, so a lost notice only delays."""
        jobs = [item for item in waiting if not isinstance(item, str)]
        cancelled = [item for item in waiting if isinstance(item, str)]
        own = self._parts.own_decider()
        if own is not None:
            for spec, revision in jobs:
                own.submit(spec, revision)
            for job_id in cancelled:
                own.cancel(job_id)
            return
        known = self._parts.known_decider()
        if not known.token:
            return
        if jobs:
            data = [(encode_record(spec), revision) for spec, revision in jobs]
            self._clients.call(known.address, Submitted(data))
        if cancelled:
            self._clients.call(known.address, Cancelled(cancelled))
