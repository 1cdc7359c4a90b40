"""Accept, cancel and look up jobs, on every VM."""

from __future__ import annotations

import logging
import threading
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok

from papayadyke_core.dispatch import (
    FINAL_STATES,
    Catalog,
    JobState,
    StagedJobSpec,
    decode_progress,
    estimate_record_bytes,
)
from papayadyke_core.verdicts import Verdict
from papayadyke_daemon.edge._contact import StoreContact
from papayadyke_daemon.edge._decider import Decider
from papayadyke_daemon.edge._job_memory import JobMemory
from papayadyke_daemon.edge._job_owner import (
    JobStatus,
    checks_owners,
    is_owner_unknown,
    may_access,
    read_owner,
)
from papayadyke_daemon.edge._job_store import JobStore
from papayadyke_daemon.edge._keys import (
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
    PendingReply,
    StateReply,
    StoreCancel,
    StoreJob,
    StoreReply,
)
from papayadyke_daemon.edge._metrics import METRICS
from papayadyke_daemon.edge._notifier import DeciderNotifier
from papayadyke_daemon.edge._outcomes import (
    FINAL_RELAY_OUTCOMES,
    IntakeOutcome,
    StoreResult,
)
from papayadyke_daemon.edge._peers import PeerClients
from papayadyke_daemon.edge._ports import EdgePorts, Record, StoreError, StoreErrorKind
from papayadyke_daemon.edge._relays import RelayGate

LOG = logging.getLogger(__name__)

RELAY_TIMEOUT_S = 0.55  # seconds for the decider's VM to store a job in one attempt
# Concurrent relays of one VM, so that a few VMs leave threads of the decider's VM to
# the others; a relay takes a few milliseconds.
MAX_RELAYS = 2
RELAY_WAIT_S = 0.2  # seconds that a relay waits for earlier ones
# Ended jobs whose state is answered without a call; about 2 MB.
MAX_CACHED_FINAL_STATES = 10_000
MAX_UNCERTAIN_JOBS = 10_000  # ids; about 1 MB


@dataclass(frozen=True, slots=True)
class IntakeDependencies:
    """Callbacks through which intake reads the state of its VM.

    Parameters
    ----------
    own_decider : callable
        Returns the decider of this VM, or None if another VM is the decider.
    known_decider : callable
        Returns the decider that this VM knows of.
    contact : StoreContact
        Tells whether the store answers this VM.
    relay_gate : RelayGate
        Tells whether the decider's VM answers, and reaches the store.
    is_catalog_confirmed : callable
        Returns whether the keys of the configuration may be relied on.
    job_memory : JobMemory or None
        Tells whether there is memory for another job; None for no limit.
    """

    own_decider: Callable[[], Decider | None]
    known_decider: Callable[[], KnownDecider]
    contact: StoreContact
    relay_gate: RelayGate
    is_catalog_confirmed: Callable[[], bool] = lambda: True
    job_memory: JobMemory | None = None


class Intake:
    """Store the jobs and cancellations of callers, and notify the decider.

    Parameters
    ----------
    ports : EdgePorts
    clients : PeerClients
    dependencies : IntakeDependencies
    quota_overrun : float
        Fraction by which a gang that runs alone may exceed the limit of its team.
    max_value_bytes : int
        Most bytes of a value in the store.
    """

    def __init__(
        self,
        ports: EdgePorts,
        clients: PeerClients,
        dependencies: IntakeDependencies,
        *,
        quota_overrun: float = 0.1,
        max_value_bytes: int = 786_432,
    ) -> None:
        self.catalog: Catalog | None = None
        # Whether a configuration that was in force has named teams.
        self.has_known_teams = False
        self.quota_overrun = quota_overrun
        self._max_value_bytes = max_value_bytes
        self._clients = clients
        self._dependencies = dependencies
        self.notifier = DeciderNotifier(
            clients, dependencies.own_decider, dependencies.known_decider
        )
        self._final_states: OrderedDict[str, JobStatus] = OrderedDict()
        # Jobs of which an attempt to store them was not answered.
        self._uncertain_jobs: OrderedDict[str, None] = OrderedDict()
        self._contact = dependencies.contact
        self._jobs = JobStore(
            ports.store, dependencies.contact, dependencies.job_memory
        )
        self._relay_slots = threading.BoundedSemaphore(MAX_RELAYS)

    def start(self) -> None:
        """Start the thread that notifies the decider."""
        self.notifier.start()

    def use_catalog(self, catalog: Catalog) -> None:
        """Answer callers by a configuration from now on."""
        self.catalog = catalog
        self.has_known_teams |= catalog.teams is not None

    def is_catalog_confirmed(self) -> bool:
        """Return whether the keys of the configuration may be relied on."""
        return self._dependencies.is_catalog_confirmed()

    def accept(
        self,
        spec: StagedJobSpec,
        *,
        may_relay: bool = True,
        checks_owner: bool = True,
    ) -> IntakeOutcome:
        """Store a job; it is accepted once it is certainly stored.

        Parameters
        ----------
        spec : StagedJobSpec
        may_relay : bool
            Whether the decider's VM may store it if this VM cannot.
        checks_owner : bool
            Whether the id of another team's job is refused.
        """
        stored = self._check_room(spec) or self._store_job(spec, may_relay=may_relay)
        if stored.existing_records is not None and checks_owner:
            stored = self._check_existing(spec, stored)
        outcome = self._qualify(spec.job_id, stored.outcome)
        log_event(
            LOG,
            "intake: job",
            request=spec.job_id,
            queue=spec.queue,
            team=spec.team,
            outcome=outcome,
            version=self.catalog.version if self.catalog else 0,
        )
        METRICS.count("papayadyke_intake", outcome=outcome)
        if outcome is IntakeOutcome.ACCEPTED:
            self.notifier.put((spec, stored.revision))
            memory = self._dependencies.job_memory
            if memory is not None:
                memory.record_accepted(spec)
        return outcome

    def _check_room(self, spec: StagedJobSpec) -> StoreResult | None:
        """Return the refusal of a job for which there is no room, else None."""
        memory = self._dependencies.job_memory
        outcome = IntakeOutcome.NO_ROOM
        sizes = len(encode_record(spec)), estimate_record_bytes(spec)
        if max(sizes) > self._max_value_bytes:
            outcome = IntakeOutcome.TOO_LARGE
        elif memory is None or memory.has_room(spec):
            return None
        # A job that is stored already was accepted, and must not be refused.
        status = self._find_status(spec.job_id)
        if isinstance(status, JobStatus):
            return None
        if status is not None:
            return StoreResult(IntakeOutcome.REFUSED)
        return StoreResult(outcome)

    def _qualify(self, job_id: str, outcome: IntakeOutcome) -> IntakeOutcome:
        """Return the outcome of an attempt, given the earlier ones of this VM.

        A later attempt that is refused does not tell that the job is not stored, if an
        earlier one may have been.
        """
        if outcome is IntakeOutcome.CANCELLED:
            # No earlier attempt can take effect either.
            self._uncertain_jobs.pop(job_id, None)
        refusals = (
            IntakeOutcome.REFUSED,
            IntakeOutcome.NO_ROOM,
            IntakeOutcome.TOO_LARGE,
        )
        if outcome in refusals and job_id in self._uncertain_jobs:
            return IntakeOutcome.UNKNOWN
        if outcome is IntakeOutcome.UNKNOWN:
            self._uncertain_jobs[job_id] = None
            while len(self._uncertain_jobs) > MAX_UNCERTAIN_JOBS:
                self._uncertain_jobs.popitem(last=False)
        return outcome

    def accept_encoded(
        self, data: bytes, *, checks_owner: bool = True
    ) -> IntakeOutcome:
        """Store an encoded job for another VM."""
        spec = decode_job(data)
        return self.accept(spec, may_relay=False, checks_owner=checks_owner)

    def cancel(
        self, job_id: str, *, team: str | None = "", may_relay: bool = True
    ) -> IntakeOutcome:
        """Store the cancellation of an existing job.

        Parameters
        ----------
        job_id : str
        team : str or None
            Team of the caller, empty for none; None does not check the owner.
        may_relay : bool
            Whether the decider's VM may store it if this VM cannot.
        """
        if job_id in self._final_states:
            return self._answer_ended(job_id, self._final_states[job_id], team)
        outcome = self._store_cancel(job_id, team, may_relay=may_relay)
        if outcome in (IntakeOutcome.REFUSED, IntakeOutcome.UNKNOWN) and may_relay:
            relayed = self._relay(StoreCancel(job_id, team))
            if relayed is not IntakeOutcome.REFUSED:
                outcome = relayed
            else:
                # A job that has ended needs no cancellation.
                status = self._query_decider(job_id)
                if status is not None and status.state in FINAL_STATES:
                    return self._answer_ended(job_id, status, team)
        log_event(
            LOG, "intake: cancellation", request=job_id, team=team, outcome=outcome
        )
        if outcome is IntakeOutcome.ACCEPTED:
            self.notifier.put(job_id)
        return outcome

    def _answer_ended(
        self, job_id: str, status: JobStatus, team: str | None
    ) -> IntakeOutcome:
        """Return the outcome of cancelling a job that has ended."""
        if team is not None and is_owner_unknown(self.catalog, status.team):
            return IntakeOutcome.OWNER_UNKNOWN
        if team is not None and not self._may_access(job_id, status.team, team):
            return IntakeOutcome.NO_SUCH_JOB
        return IntakeOutcome.ACCEPTED

    def get_state(self, job_id: str, team: str = "") -> JobState | StoreError | None:
        """Return the state of a job, or None if no such job of the team is stored.

        If the store does not answer either, the error of the store is returned.
        """
        status = self._find_status(job_id)
        if not isinstance(status, JobStatus):
            return status
        if not self._may_access(job_id, status.team, team):
            return None
        return status.state

    def count_pending(self, queue_key: str) -> int | None:
        """Return how many jobs of a queue have not started, or None if unknown."""
        decider = self._dependencies.own_decider()
        if decider is not None:
            return decider.count_pending(queue_key)
        known_decider = self._dependencies.known_decider()
        if not known_decider.token:
            return None
        reply = self._clients.call(known_decider.address, AskPending(queue_key))
        if isinstance(reply, Ok) and isinstance(reply.ok_value, PendingReply):
            return reply.ok_value.count if reply.ok_value.is_decider else None
        return None

    def submit_stored_jobs(self, jobs: list[tuple[bytes, int]]) -> bool:
        """Pass jobs that another VM stored to the decider.

        Returns
        -------
        bool
            Whether this VM is the decider; otherwise the jobs are ignored.
        """
        decider = self._dependencies.own_decider()
        if decider is None:
            return False
        for data, revision in jobs:
            decider.submit(decode_job(data), revision)
        return True

    # Implementation

    @property
    def _checks_owners(self) -> bool:
        return checks_owners(self.catalog)

    def _may_access(self, job_id: str, owner: str, team: str) -> bool:
        if may_access(self.catalog, owner=owner, team=team):
            return True
        METRICS.count("papayadyke_unauthorised", reason="other_team")
        log_event(LOG, "intake: job of another team", request=job_id, team=team)
        return False

    def _check_existing(self, spec: StagedJobSpec, stored: StoreResult) -> StoreResult:
        """Return the outcome of storing a job whose id is in use already."""
        if not self._checks_owners:
            return stored
        records = stored.existing_records or self._jobs.read_job_records(spec.job_id)
        if not records:
            # The owner cannot be read, and an earlier attempt may have been stored.
            return StoreResult(IntakeOutcome.UNKNOWN)
        if self._may_access(spec.job_id, read_owner(records), spec.team):
            return stored
        return StoreResult(IntakeOutcome.OTHER_TEAM)

    def _store_job(self, spec: StagedJobSpec, *, may_relay: bool) -> StoreResult:
        """Store a job from this VM, or through the decider's VM if that fails."""
        data = encode_record(spec)
        relayed_job = StoreJob(data, checks_owner=True)
        if not self._jobs.may_write(for_caller=may_relay):
            # Nothing was sent, so a refusal is certain.
            if may_relay:
                return StoreResult(self._relay(relayed_job))
            return StoreResult(IntakeOutcome.REFUSED)
        stored = self._jobs.store_job(spec, data, for_caller=may_relay)
        is_final = stored.outcome in (IntakeOutcome.ACCEPTED, IntakeOutcome.CANCELLED)
        if is_final or not may_relay:
            return stored
        relayed = self._relay(relayed_job)
        if relayed in FINAL_RELAY_OUTCOMES:
            return StoreResult(relayed)
        if relayed is stored.outcome or (
            relayed is IntakeOutcome.NO_ROOM and stored.outcome is IntakeOutcome.REFUSED
        ):
            return StoreResult(relayed)
        if IntakeOutcome.UNKNOWN in (relayed, stored.outcome):
            return StoreResult(IntakeOutcome.UNKNOWN)
        return stored

    def _store_cancel(
        self, job_id: str, team: str | None, *, may_relay: bool
    ) -> IntakeOutcome:
        if not self._jobs.may_write(for_caller=may_relay):
            return IntakeOutcome.REFUSED
        return self._jobs.cancel(
            job_id,
            team,
            check_owner=lambda record: self._check_cancel(job_id, record, team),
            for_caller=may_relay,
        )

    def _check_cancel(
        self, job_id: str, record: Record, team: str | None
    ) -> IntakeOutcome | None:
        """Return why a team may not cancel a job; None if it may."""
        if team is None:
            return None
        owner = read_owner([record])
        if is_owner_unknown(self.catalog, owner):
            return IntakeOutcome.OWNER_UNKNOWN
        may_access = self._may_access(job_id, owner, team)
        return None if may_access else IntakeOutcome.NO_SUCH_JOB

    def _relay(self, message: StoreJob | StoreCancel) -> IntakeOutcome:
        """Have the decider's VM store what this VM cannot."""
        if not self._relay_slots.acquire(timeout=RELAY_WAIT_S):
            return IntakeOutcome.REFUSED
        try:
            known_decider = self._dependencies.known_decider()
            gate = self._dependencies.relay_gate
            if (
                not known_decider.token
                or self._dependencies.own_decider() is not None
                or not gate.is_open()
            ):
                return IntakeOutcome.REFUSED
            with gate.track():
                reply = self._clients.call(
                    known_decider.address, message, timeout_s=RELAY_TIMEOUT_S
                )
        finally:
            self._relay_slots.release()
        if isinstance(reply, Ok) and isinstance(reply.ok_value, StoreReply):
            return IntakeOutcome(reply.ok_value.outcome)
        gate.record_silence()
        if isinstance(reply, Err) and reply.err_value.verdict is Verdict.NOT_RUN:
            return IntakeOutcome.REFUSED
        return IntakeOutcome.UNKNOWN

    def _find_status(self, job_id: str) -> JobStatus | StoreError | None:
        if job_id in self._final_states:
            return self._final_states[job_id]
        status = self._query_decider(job_id)
        if status is None:
            stored = self._read_status(job_id)
            if not isinstance(stored, JobStatus):
                return stored
            status = stored
        if status.state in (JobState.COMPLETE, JobState.FAILED):
            self._final_states[job_id] = status
            while len(self._final_states) > MAX_CACHED_FINAL_STATES:
                self._final_states.popitem(last=False)
        return status

    def _query_decider(self, job_id: str) -> JobStatus | None:
        decider = self._dependencies.own_decider()
        if decider is not None:
            return decider.get_status(job_id)
        known_decider = self._dependencies.known_decider()
        if not known_decider.token:
            return None
        if not (
            self._contact.is_reached or self._dependencies.relay_gate.hears_decider()
        ):
            # In a zone that is cut off neither the store nor the decider answers.
            return None
        reply = self._clients.call(known_decider.address, AskState(job_id))
        if isinstance(reply, Ok) and isinstance(reply.ok_value, StateReply):
            state, team = reply.ok_value.state, reply.ok_value.team
            if team is None and self._checks_owners:
                # A decider of the build before; the store knows the owner.
                return None
            return JobStatus(JobState(state), team or "") if state else None
        return None

    def _read_status(self, job_id: str) -> JobStatus | StoreError | None:
        if not self._contact.is_reached:
            return StoreError(StoreErrorKind.NOT_DONE, "the store is in doubt")
        status = self._read_progress(job_id)
        if isinstance(status, StoreError):
            return status
        is_final = status is not None and status.state in FINAL_STATES
        if status is not None and (is_final or status.team or not self._checks_owners):
            return status
        job = self._jobs.read(JOB_PREFIX + job_id)
        if isinstance(job, Err):
            return job.err_value
        if job.ok_value is not None:
            state = JobState.QUEUED if status is None else status.state
            return JobStatus(state, read_owner([job.ok_value]))
        # The job may have ended between the two reads.
        return self._read_progress(job_id)

    def _read_progress(self, job_id: str) -> JobStatus | StoreError | None:
        progress = self._jobs.read(PROGRESS_PREFIX + job_id)
        if isinstance(progress, Err):
            return progress.err_value
        if progress.ok_value is None or progress.ok_value.value is None:
            return None
        decoded = decode_progress(progress.ok_value.value)
        return JobStatus(decoded.state, decoded.team)
