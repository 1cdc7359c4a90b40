"""Test who may see, cancel and resubmit a job, also through other VMs."""

from dataclasses import replace
from typing import cast

import msgspec
import pytest
from result import Err, Ok

from papayadyke_core.dispatch import (
    Catalog,
    JobProgress,
    JobState,
    StagedJobSpec,
    StepSpec,
    encode_progress,
)
from papayadyke_core.teams import TeamPolicy
from papayadyke_core.verdicts import Verdict
from papayadyke_daemon.edge import Intake, IntakeOutcome, StoreErrorKind, Write
from papayadyke_daemon.edge._clock import read_clock
from papayadyke_daemon.edge._contact import StoreContact
from papayadyke_daemon.edge._intake import IntakeDependencies
from papayadyke_daemon.edge._keys import (
    CANCEL_PREFIX,
    JOB_PREFIX,
    PROGRESS_PREFIX,
    encode_record,
)
from papayadyke_daemon.edge._leadership import KnownDecider
from papayadyke_daemon.edge._messages import (
    AskState,
    StateReply,
    StoreReply,
    decode_message,
    encode_message,
)
from papayadyke_daemon.edge._peers import PeerClients
from papayadyke_daemon.edge._relays import RelayGate
from papayadyke_daemon.edge.tests.deciders import make_decider
from papayadyke_daemon.edge.tests.fake_store import FakeStore, make_ports
from papayadyke_daemon.edge.tests.test_edge_daemon import make_daemon
from papayadyke_daemon.peers import CallError

SPEC = StagedJobSpec("5c0e7a21d94b36f8", "h/q/", "", (StepSpec(1),), team="red")
JOB_ID = SPEC.job_id
CATALOG = Catalog(1, teams={name: TeamPolicy(name) for name in ("red", "blue")})


class Clients:
    """Link to the decider's VM, which the given function answers."""

    def __init__(self, answer):
        self.answer = answer
        self.sent = []

    def call(self, address, message, *, timeout_s=0.0):
        received = decode_message(encode_message(message))
        self.sent.append(received)
        reply = self.answer(received)
        if reply is None:
            return Err(CallError(Verdict.MAY_HAVE_RUN, "no answer"))
        return Ok(reply)


def make_intake(
    store, answer=lambda message: None, *, decider=None, reaches_store=True
):
    contact = StoreContact(store, on_change=lambda: contact.check())
    if reaches_store:
        contact.check()
    gate = RelayGate(lambda: contact.doubted_s)
    gate.record_reply(read_clock(), reaches_store=True)
    known_decider = KnownDecider(1, "vm", "a:1")
    dependencies = IntakeDependencies(
        lambda: decider, lambda: known_decider, contact, gate
    )
    clients = cast(PeerClients, Clients(answer))
    intake = Intake(make_ports(contact.store), clients, dependencies)
    intake.catalog = CATALOG
    return intake


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def decider_vm(store):
    """The decider's VM, which reaches the store."""
    daemon = make_daemon()
    daemon.intake = make_intake(store)
    daemon._decider = make_decider(store)
    return daemon


@pytest.mark.parametrize("is_own", [True, False])
def test_decider_tells_the_owner_also_while_the_store_is_away(
    store, decider_vm, is_own
):
    """Every VM asks the decider first; its answer must not open the job to others."""
    decider = decider_vm._decider
    decider.load(CATALOG)
    decider._submit(SPEC, 1)
    store.fault = StoreErrorKind.UNKNOWN
    own_decider = decider if is_own else None
    intake = make_intake(store, decider_vm._answer_peer, decider=own_decider)
    assert [intake.get_state(JOB_ID, team) for team in ("blue", "")] == [None, None]
    assert intake.get_state(JOB_ID, "red") is JobState.QUEUED


def test_owner_is_read_from_the_store_if_a_decider_of_the_build_before_omits_it(store):
    """During a rolling change other teams would see the job through new VMs."""
    intake = make_intake(store)
    intake.accept(SPEC)
    progress = encode_progress(JobProgress(JobState.ACTIVE))
    store.write([Write(PROGRESS_PREFIX + JOB_ID, progress)])
    old_reply = msgspec.msgpack.encode(["StateReply", True, "active"])
    intake = make_intake(store, lambda message: decode_message(old_reply))
    assert intake.get_state(JOB_ID, "red") is JobState.ACTIVE
    assert intake.get_state(JOB_ID, "blue") is None


def test_without_teams_jobs_stay_visible_and_nobody_cancels_those_of_a_team(store):
    """A configuration that drops its teams must not orphan jobs that have one.

    It must not let every caller cancel them either, since a cancellation is final and
    the teams may be missing for some seconds only.
    """
    intake = make_intake(store, lambda message: StateReply(True))
    intake.catalog = Catalog(2)
    assert intake.accept(SPEC) is IntakeOutcome.ACCEPTED
    assert intake.accept(replace(SPEC, team="")) is IntakeOutcome.ACCEPTED
    assert intake.get_state(JOB_ID) is JobState.QUEUED
    assert intake.cancel(JOB_ID) is IntakeOutcome.OWNER_UNKNOWN
    assert CANCEL_PREFIX + JOB_ID not in store.records
    intake.catalog = CATALOG
    assert intake.cancel(JOB_ID, team="red") is IntakeOutcome.ACCEPTED


def test_relayed_job_keeps_its_team_and_is_refused_as_another_teams(store, decider_vm):
    """A VM without the store would else hand a job to whoever relays its id."""
    intake = make_intake(store, decider_vm._answer_peer, reaches_store=False)
    assert intake.accept(SPEC) is IntakeOutcome.ACCEPTED
    stored = store.records[JOB_PREFIX + JOB_ID].value
    assert msgspec.json.decode(stored)["team"] == "red"
    assert intake.accept(replace(SPEC, team="blue")) is IntakeOutcome.OTHER_TEAM
    assert intake.accept(replace(SPEC, team="")) is IntakeOutcome.OTHER_TEAM
    assert intake.accept(SPEC) is IntakeOutcome.ACCEPTED
    assert intake.cancel(JOB_ID, team="blue") is IntakeOutcome.NO_SUCH_JOB
    assert intake.cancel(JOB_ID, team="red") is IntakeOutcome.ACCEPTED


def test_relays_of_the_build_before_are_carried_out(store, decider_vm):
    """They name no team; refusing them would break retries in a rolling change."""
    make_intake(store).accept(SPEC)
    old_job = encode_record(replace(SPEC, team=""))
    for old in (["StoreJob", old_job], ["StoreCancel", JOB_ID]):
        message = decode_message(msgspec.msgpack.encode(old))
        assert decider_vm._answer_peer(message).outcome == "accepted"
    assert decider_vm._answer_peer(AskState(JOB_ID)).team == ""


def test_id_whose_owner_cannot_be_read_is_not_reported_as_accepted(store):
    """The store refused the write, and the caller may not own what is stored."""
    intake = make_intake(store)
    intake.accept(SPEC)
    write = store.write

    def refuse(*args, **kwargs):
        reply = write(*args, **kwargs)
        if isinstance(reply, Err):
            # The platform's answer to a conflict was cut short.
            object.__setattr__(reply.err_value, "current_records", ())
            store.fault = StoreErrorKind.NOT_DONE
        return reply

    store.write = refuse
    assert intake.accept(replace(SPEC, team="blue")) is IntakeOutcome.UNKNOWN


def test_known_end_answers_no_cancellation_of_another_team(store):
    """A final state, cached or from the decider, would tell that the job exists."""

    def answer(message):
        if isinstance(message, AskState):
            return StateReply(True, "complete", "red")
        return StoreReply(IntakeOutcome.REFUSED)

    intake = make_intake(store, answer, reaches_store=False)
    assert intake.cancel(JOB_ID, team="blue") is not IntakeOutcome.ACCEPTED
    assert intake.get_state(JOB_ID, "red") is JobState.COMPLETE
    assert intake.cancel(JOB_ID, team="blue") is not IntakeOutcome.ACCEPTED
