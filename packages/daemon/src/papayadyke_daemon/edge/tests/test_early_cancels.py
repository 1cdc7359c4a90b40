"""Test cancelling jobs whose write to the store is still under way.

A caller that got no answer for its job may cancel it at any VM. What has been answered
then must hold, however late the write is carried out.
"""

from dataclasses import replace

import pytest
from result import Err, Ok

from papayadyke_core.dispatch import Catalog, JobState, QueuePolicy
from papayadyke_core.teams import TeamPolicy
from papayadyke_daemon.edge import (
    IntakeOutcome,
    StoreError,
    StoreErrorKind,
    Write,
    _decider,
    _early_cancels,
    _job_store,
    read_clock,
)
from papayadyke_daemon.edge._early_cancels import (
    EARLY_CANCEL_BYTES,
    EARLY_CANCEL_RETENTION_S,
    MAX_JOB_AGE_S,
)
from papayadyke_daemon.edge._keys import (
    CANCEL_PREFIX,
    DECIDER_KEY,
    JOB_PREFIX,
    encode_record,
)
from papayadyke_daemon.edge.tests.deciders import make_decider
from papayadyke_daemon.edge.tests.fake_store import FakeStore
from papayadyke_daemon.edge.tests.test_intake import SPEC, make_intake, make_memory

WALL_S = 1_700_000_000.0
QUEUE = QueuePolicy("queue", "h", "/q/", "service")
KEY, CANCEL_KEY = JOB_PREFIX + SPEC.job_id, CANCEL_PREFIX + SPEC.job_id
ACCEPTED, CANCELLED = IntakeOutcome.ACCEPTED, IntakeOutcome.CANCELLED
NO_SUCH_JOB, REFUSED = IntakeOutcome.NO_SUCH_JOB, IntakeOutcome.REFUSED
UNKNOWN = IntakeOutcome.UNKNOWN


class LateStore(FakeStore):
    """Store that carries out the next writes of one key late, without an answer."""

    def __init__(self):
        super().__init__()
        self.delayed_key = ""
        self.late_calls = []

    def write(self, writes, *, expected=(), removed=(), timeout_s=None):
        if any(write.key == self.delayed_key for write in writes):
            self.late_calls.append(
                lambda: super(LateStore, self).write(
                    writes, expected=expected, removed=removed
                )
            )
            return Err(StoreError(StoreErrorKind.UNKNOWN))
        return super().write(writes, expected=expected, removed=removed)

    def carry_out(self):
        """Carry out the delayed calls; return which of them took effect."""
        calls, self.late_calls = self.late_calls, []
        return [isinstance(call(), Ok) for call in calls]


class Clock:
    """Wall clock that is set by the test."""

    def __init__(self):
        self.now = WALL_S

    def time(self):
        return self.now


@pytest.fixture
def store():
    return LateStore()


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    for module in (_job_store, _decider):
        monkeypatch.setattr(module, "time", clock)
    return clock


def make_catalog(**changes):
    return Catalog(1, {QUEUE.key: QUEUE}, **changes)


def make_loaded_decider(store):
    store.write([Write(DECIDER_KEY, b"{}")])
    decider = make_decider(store)
    assert decider.load(make_catalog())
    return decider


def read_news(decider):
    """Let a decider apply the changes of the store."""
    for watch in decider._watches:
        watch.call_once()
    decider._mailbox.pump()


def collect_garbage(decider, monkeypatch):
    decider._collect_garbage(decider._next_garbage_s)
    while decider._housekeeper.is_busy:
        pass


def test_job_is_not_stored_by_a_late_write_after_its_cancellation(store):
    """A job ran 4 s after its caller was told that no such job exists."""
    intake, other = make_intake(store), make_intake(store)
    store.delayed_key = KEY
    assert intake.accept(SPEC) is UNKNOWN
    store.delayed_key = ""
    assert other.cancel(SPEC.job_id) is NO_SUCH_JOB
    assert not any(store.carry_out())
    assert KEY not in store.records
    assert other.get_state(SPEC.job_id) is None


def test_job_is_not_stored_by_a_vm_that_was_paused_during_its_cancellation(store):
    """A VM was paused before it sent the write; it must not tell success either."""
    intake, other = make_intake(store), make_intake(store)
    outcomes = []
    store.before_write = lambda: outcomes.append(other.cancel(SPEC.job_id))
    assert intake.accept(SPEC) is CANCELLED
    assert outcomes == [NO_SUCH_JOB]
    assert KEY not in store.records


def test_repeated_request_for_a_cancelled_job_is_refused(store):
    """The refusal is certain, also where an earlier attempt was not answered."""
    intake = make_intake(store)
    store.delayed_key = KEY
    assert intake.accept(SPEC) is UNKNOWN
    store.delayed_key = ""
    assert make_intake(store).cancel(SPEC.job_id) is NO_SUCH_JOB
    intake._contact.check()
    assert intake.accept(SPEC) in (CANCELLED, UNKNOWN)
    other = make_intake(store)
    assert other.accept(SPEC) is CANCELLED
    assert other.cancel(SPEC.job_id) is NO_SUCH_JOB
    assert not any(store.carry_out())


def test_job_that_is_stored_during_its_cancellation_is_cancelled(store):
    """The caller was told that the job does not exist, and it was to run."""
    intake, other = make_intake(store), make_intake(store)
    store.before_write = lambda: other.accept(SPEC)
    assert intake.cancel(SPEC.job_id) is ACCEPTED
    decider = make_loaded_decider(store)
    assert decider.get_status(SPEC.job_id).state is JobState.CANCELLED


def test_late_cancellation_does_not_end_a_job_that_was_accepted_meanwhile(store):
    """A cancellation that was not answered as done must not end a later job."""
    intake = make_intake(store)
    store.delayed_key = CANCEL_KEY
    assert intake.cancel(SPEC.job_id) is UNKNOWN
    store.delayed_key = ""
    assert intake.accept(SPEC) is ACCEPTED
    assert not any(store.carry_out())
    assert CANCEL_KEY not in store.records


@pytest.mark.parametrize("is_paused", [False, True])
def test_outdated_job_is_not_stored(store, clock, is_paused):
    """A VM was paused for longer than a cancellation is kept, then stored the job."""
    spec = replace(SPEC, accepted_s=clock.now)
    intake = make_intake(store)
    age_s = MAX_JOB_AGE_S + 1.0 if is_paused else MAX_JOB_AGE_S - 1.0
    clock.now += age_s
    outcome = intake.accept_encoded(encode_record(spec))
    assert outcome is (REFUSED if is_paused else ACCEPTED)
    assert (KEY in store.records) is not is_paused


# Teams

TEAMS = {name: TeamPolicy(name) for name in ("red", "blue")}


def make_team_intake(store):
    intake = make_intake(store)
    intake.use_catalog(make_catalog(teams=TEAMS))
    return intake


def test_cancellation_by_one_team_does_not_stop_a_job_of_another(store, clock):
    """One team must not keep another from using an id."""
    intake = make_team_intake(store)
    assert intake.cancel(SPEC.job_id, team="blue") is NO_SUCH_JOB
    decider = make_loaded_decider(store)
    spec = replace(SPEC, team="red", accepted_s=clock.now)
    assert intake.accept(spec) is ACCEPTED
    read_news(decider)
    assert decider.get_status(SPEC.job_id).state is JobState.QUEUED
    assert CANCEL_KEY not in store.records
    # A successor decides the same.
    status = make_loaded_decider(store).get_status(SPEC.job_id)
    assert status.state is JobState.QUEUED


def test_each_team_that_cancels_an_unknown_job_is_covered(store):
    """The cancellation of the second team must not rest on that of the first."""
    intake = make_team_intake(store)
    store.delayed_key = KEY
    assert intake.accept(replace(SPEC, team="red")) is UNKNOWN
    store.delayed_key = ""
    intake = make_team_intake(store)
    assert intake.cancel(SPEC.job_id, team="blue") is NO_SUCH_JOB
    assert intake.cancel(SPEC.job_id, team="red") is NO_SUCH_JOB
    assert not any(store.carry_out())
    for team in TEAMS:
        assert intake.accept(replace(SPEC, team=team)) is CANCELLED


# Bounds


def test_cancellation_is_refused_without_memory_for_it(store):
    """What is kept of unknown jobs must not exhaust the deciding VM."""
    intake = make_intake(store, memory=make_memory(EARLY_CANCEL_BYTES))
    assert intake.cancel(SPEC.job_id) is NO_SUCH_JOB
    assert intake.cancel("b") is REFUSED
    assert CANCEL_PREFIX + "b" not in store.records
    # The first one is stored and needs no more memory.
    assert intake.cancel(SPEC.job_id) is NO_SUCH_JOB


def test_cancellations_of_unknown_jobs_of_one_vm_are_bounded(store, monkeypatch):
    """Callers that cancel unknown jobs all the time must not fill the store."""
    monkeypatch.setattr(_early_cancels, "MAX_EARLY_CANCELS", 2)
    intake = make_intake(store)
    outcomes = [intake.cancel(job_id) for job_id in "abc"]
    assert outcomes == [NO_SUCH_JOB, NO_SUCH_JOB, REFUSED]
    later_s = read_clock() + EARLY_CANCEL_RETENTION_S + 1.0
    monkeypatch.setattr(_job_store, "read_clock", lambda: later_s)
    assert intake.cancel("c") is NO_SUCH_JOB


@pytest.mark.parametrize("is_known", [False, True])
def test_old_cancellation_is_removed(store, clock, monkeypatch, is_known):
    """Cancellations of unknown jobs must not remain in the store for good."""
    intake = make_intake(store)
    if not is_known:
        assert intake.cancel(SPEC.job_id) is NO_SUCH_JOB
    decider = make_loaded_decider(store)
    if is_known:
        assert intake.cancel(SPEC.job_id) is NO_SUCH_JOB
        read_news(decider)
    room = decider._early_cancels.stored_bytes
    assert room == EARLY_CANCEL_BYTES
    clock.now += EARLY_CANCEL_RETENTION_S - 1.0
    collect_garbage(decider, monkeypatch)
    assert CANCEL_KEY in store.records
    clock.now += 2.0
    collect_garbage(decider, monkeypatch)
    assert CANCEL_KEY not in store.records
    # The job may be handed in anew, and the news of the removal may come later.
    assert intake.accept(replace(SPEC, accepted_s=clock.now)) is ACCEPTED
    read_news(decider)
    assert decider.get_status(SPEC.job_id).state is JobState.QUEUED


def test_removal_that_failed_is_repeated(store, clock, monkeypatch):
    """A cancellation stayed in the store where its removal was not carried out."""
    assert make_intake(store).cancel(SPEC.job_id) is NO_SUCH_JOB
    decider = make_loaded_decider(store)
    clock.now += EARLY_CANCEL_RETENTION_S + 1.0
    store.fault = StoreErrorKind.NOT_DONE
    collect_garbage(decider, monkeypatch)
    store.fault = None
    assert CANCEL_KEY in store.records
    collect_garbage(decider, monkeypatch)
    assert CANCEL_KEY not in store.records


def test_job_stored_by_an_earlier_build_is_cancelled(store, clock):
    """An earlier build stores a job without looking at its cancellation."""
    assert make_intake(store).cancel(SPEC.job_id) is NO_SUCH_JOB
    decider = make_loaded_decider(store)
    spec = replace(SPEC, accepted_s=clock.now)
    store.write([Write(KEY, encode_record(spec))], expected=[(KEY, 0)])
    read_news(decider)
    assert decider.get_status(SPEC.job_id).state is JobState.CANCELLED
    successor = make_loaded_decider(store)
    assert successor.get_status(SPEC.job_id).state is JobState.CANCELLED
