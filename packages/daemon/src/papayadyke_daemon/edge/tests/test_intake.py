"""Test accepting and cancelling jobs, also when the store fails."""

from dataclasses import replace

import pytest
from result import Err

from papayadyke_core.dispatch import (
    JobProgress,
    JobState,
    StagedJobSpec,
    StepSpec,
    encode_progress,
    estimate_job_bytes,
)
from papayadyke_core.verdicts import Verdict
from papayadyke_daemon.edge import (
    Intake,
    IntakeOutcome,
    StoreErrorKind,
    Write,
    read_clock,
)
from papayadyke_daemon.edge._contact import StoreContact
from papayadyke_daemon.edge._intake import IntakeDependencies
from papayadyke_daemon.edge._job_memory import JobMemory
from papayadyke_daemon.edge._keys import CANCEL_PREFIX, JOB_PREFIX, PROGRESS_PREFIX
from papayadyke_daemon.edge._leadership import KnownDecider
from papayadyke_daemon.edge._peers import PeerClients
from papayadyke_daemon.edge._relays import RelayGate
from papayadyke_daemon.edge.tests.fake_store import FakeStore, make_ports
from papayadyke_daemon.peers._messages import CallError

SPEC = StagedJobSpec("5c0e7a21d94b36f8", "h/q/", "text", (StepSpec(1),))
KEY = JOB_PREFIX + SPEC.job_id


@pytest.fixture
def store():
    return FakeStore()


def make_intake(store, *, reaches_store=True, memory=None):
    # A probe follows each doubt at once.
    contact = StoreContact(store, on_change=lambda: contact.check())
    if reaches_store:
        contact.check()
    gate = RelayGate(lambda: contact.doubted_s)
    dependencies = IntakeDependencies(
        lambda: None, KnownDecider, contact, gate, job_memory=memory
    )
    return Intake(make_ports(contact.store), PeerClients(), dependencies)


def test_accepted_job_is_stored(store):
    assert make_intake(store).accept(SPEC) is IntakeOutcome.ACCEPTED
    assert KEY in store.records


def test_resubmitted_job_is_accepted_and_stored_once(store):
    intake = make_intake(store)
    intake.accept(SPEC)
    revision = store.records[KEY].revision
    assert intake.accept(SPEC) is IntakeOutcome.ACCEPTED
    assert store.records[KEY].revision == revision


def test_refused_job_is_not_stored(store):
    store.fault = StoreErrorKind.NOT_DONE
    assert make_intake(store).accept(SPEC) is IntakeOutcome.REFUSED
    assert KEY not in store.records


def make_memory(free_bytes):
    memory = JobMemory(lambda: None)
    memory.record_reply(free_bytes, free_bytes)
    return memory


def test_job_without_memory_on_the_deciding_vm_is_refused_and_not_stored(store):
    """Jobs were accepted until the VM that decides was killed for its memory."""
    room = estimate_job_bytes(SPEC)
    intake = make_intake(store, memory=make_memory(room))
    assert intake.accept(SPEC) is IntakeOutcome.ACCEPTED
    other = replace(SPEC, job_id="b")
    assert intake.accept(other) is IntakeOutcome.NO_ROOM
    assert JOB_PREFIX + "b" not in store.records
    # The heartbeat of a decider with more room is answered.
    intake = make_intake(store, memory=make_memory(room))
    assert intake.accept(other) is IntakeOutcome.ACCEPTED


def test_job_that_is_stored_is_not_refused_for_want_of_memory(store):
    """A caller that repeats an accepted job must not be told that it never runs."""
    make_intake(store).accept(SPEC)
    intake = make_intake(store, memory=make_memory(0))
    assert intake.accept(SPEC) is IntakeOutcome.ACCEPTED


def test_job_that_may_be_stored_is_not_refused_for_want_of_memory(store):
    """An attempt without an answer may still take effect."""
    memory = make_memory(None)
    intake = make_intake(store, memory=memory)
    store.fault = StoreErrorKind.UNKNOWN
    assert intake.accept(SPEC) is IntakeOutcome.UNKNOWN
    store.fault = None
    memory.record_reply(0, 0)
    assert intake.accept(SPEC) is IntakeOutcome.UNKNOWN


def test_job_is_refused_without_a_reason_if_the_store_does_not_answer(store):
    intake = make_intake(store, memory=make_memory(0))
    store.fault = StoreErrorKind.NOT_DONE
    assert intake.accept(SPEC) is IntakeOutcome.REFUSED


def test_write_with_a_lost_answer_is_repeated_once_the_store_answers(store):
    intake = make_intake(store)
    store.lose_next_answer = True
    # The second attempt conflicts with the job that the first has stored.
    assert intake.accept(SPEC) is IntakeOutcome.ACCEPTED
    assert KEY in store.records


def test_lost_answer_is_not_reported_as_a_refusal(store):
    intake = make_intake(store)
    for takes_effect in (True, False):
        store.fault = StoreErrorKind.UNKNOWN
        store.takes_effect = takes_effect
        assert intake.accept(SPEC) is IntakeOutcome.UNKNOWN
        # Later jobs are not sent until a probe is answered; the same one may be stored.
        assert intake.accept(replace(SPEC, job_id="b")) is IntakeOutcome.REFUSED
        assert intake.accept(SPEC) is IntakeOutcome.UNKNOWN
        store.fault = None
        intake = make_intake(store)
        store.records.clear()


def test_conflict_is_an_answer_and_not_a_doubt(store):
    intake = make_intake(store)
    intake.accept(SPEC)
    calls = store.calls
    assert intake.accept(SPEC) is IntakeOutcome.ACCEPTED
    assert store.calls == calls + 1


def test_vm_without_store_refuses_without_a_store_call(store):
    intake = make_intake(store, reaches_store=False)
    assert intake.accept(SPEC) is IntakeOutcome.REFUSED
    assert store.calls == 0


@pytest.mark.parametrize(
    ("verdict", "outcome"),
    [
        (Verdict.NOT_RUN, IntakeOutcome.REFUSED),
        (Verdict.MAY_HAVE_RUN, IntakeOutcome.UNKNOWN),
    ],
)
def test_relay_that_was_not_sent_is_refused(store, verdict, outcome):
    """Failure: callers of a cut zone get 504 for jobs that were not sent anywhere."""
    intake = make_intake(store, reaches_store=False)
    clients = FailingClients(verdict)
    intake._clients = clients
    intake._dependencies.relay_gate.record_reply(read_clock(), reaches_store=True)
    known = KnownDecider(5, "vm", "vm:1")
    object.__setattr__(intake._dependencies, "known_decider", lambda: known)
    assert intake.accept(SPEC) is outcome
    # The next relay waits for the reply to another heartbeat.
    assert intake.accept(replace(SPEC, job_id="b")) is IntakeOutcome.REFUSED
    assert clients.calls == 1


class FailingClients:
    """Calls to other VMs that all fail with one verdict."""

    def __init__(self, verdict):
        self.verdict = verdict
        self.calls = 0

    def call(self, address, message, *, timeout_s=0.4):
        self.calls += 1
        return Err(CallError(self.verdict, "no answer"))


def test_cancellation_of_a_job_known_to_have_ended_needs_no_store(store):
    intake = make_intake(store)
    intake.accept(SPEC)
    end_job(store)
    assert intake.get_state(SPEC.job_id) is JobState.COMPLETE
    store.fault = StoreErrorKind.NOT_DONE
    assert intake.cancel(SPEC.job_id) is IntakeOutcome.ACCEPTED
    assert intake.get_state(SPEC.job_id) is JobState.COMPLETE


def test_only_an_existing_job_is_cancelled(store):
    intake = make_intake(store)
    assert intake.cancel("unknown") is IntakeOutcome.NO_SUCH_JOB
    intake.accept(SPEC)
    assert intake.cancel(SPEC.job_id) is IntakeOutcome.ACCEPTED
    assert CANCEL_PREFIX + SPEC.job_id in store.records
    assert intake.cancel("unknown") is IntakeOutcome.NO_SUCH_JOB
    assert intake.get_state("unknown") is None


def test_state_is_read_from_the_store_without_a_decider(store):
    intake = make_intake(store)
    assert intake.get_state(SPEC.job_id) is None
    intake.accept(SPEC)
    assert intake.get_state(SPEC.job_id) is JobState.QUEUED


def end_job(store, state=JobState.COMPLETE):
    """Change the records of the job as the commit of its end does."""
    progress = encode_progress(JobProgress(state, 1.0))
    removed = [KEY, CANCEL_PREFIX + SPEC.job_id]
    store.write([Write(PROGRESS_PREFIX + SPEC.job_id, progress)], removed=removed)


def test_job_resubmitted_after_its_end_is_not_stored_again(store):
    intake = make_intake(store)
    intake.accept(SPEC)
    end_job(store)
    assert intake.accept(SPEC) is IntakeOutcome.ACCEPTED
    assert KEY not in store.records


def test_ended_job_is_known_and_needs_no_cancellation(store):
    intake = make_intake(store)
    intake.accept(SPEC)
    end_job(store)
    assert intake.cancel(SPEC.job_id) is IntakeOutcome.ACCEPTED
    assert CANCEL_PREFIX + SPEC.job_id not in store.records
    assert intake.get_state(SPEC.job_id) is JobState.COMPLETE


def test_cancellation_after_the_end_leaves_no_record(store):
    intake = make_intake(store)
    intake.accept(SPEC)
    store.before_write = lambda: end_job(store)
    assert intake.cancel(SPEC.job_id) is IntakeOutcome.ACCEPTED
    assert CANCEL_PREFIX + SPEC.job_id not in store.records


def test_job_that_ends_between_two_reads_is_found(store):
    intake = make_intake(store)
    intake.accept(SPEC)
    store.after_read = lambda: end_job(store)
    assert intake.get_state(SPEC.job_id) is JobState.COMPLETE
