"""Each promise is seen to be broken where it is."""

from dataclasses import replace

import msgspec
import pytest

from papayadyke_adapter_standins import RunSeen
from papayadyke_core.dispatch import (
    EndedRun,
    JobState,
    RunEnd,
    StagedJobSpec,
    StepSpec,
    TaskId,
)
from papayadyke_soak import JobRecord, Ledger, Promises
from papayadyke_soak._promises import Needs

JOB = "5c0e7a21d94b36f8"
PAYLOAD = msgspec.json.encode(Needs(1.0, 9000)).decode()


class Seen:
    """Promises over a fleet that is a list."""

    def __init__(self, *steps):
        steps = steps or (StepSpec(2, cpu_millis=9000),)
        self.running: list[RunSeen] = []
        self.ledger = Ledger()
        self.record = JobRecord(StagedJobSpec(JOB, "q", PAYLOAD, steps), True, tries=1)
        self.ledger.add(self.record)
        self.promises = Promises(
            self.ledger,
            read_capacity=lambda upstream_id: 16_000,
            max_attempts=2,
            list_running=lambda: self.running,
        )

    def start(self, task=0, upstream="a", step=0, job=JOB, payload=PAYLOAD, attempt=1):
        name = TaskId(job, 0, step, task)
        run = RunSeen(upstream, name, attempt, payload, 1, 0.0)
        self.running.append(run)
        self.promises.started(run)
        return run

    def end(self, run, how):
        self.running.remove(run)
        self.promises.ended(run, how)

    def note(self, run, end):
        self.promises.noted("a", EndedRun(1, run.task, run.attempt, end))

    def broken(self):
        return {item.promise for item in self.promises.violations}


def test_calm_run_breaks_nothing():
    seen = Seen()
    for task in (0, 1):
        run = seen.start(task)
        seen.end(run, RunEnd.DONE)
        seen.note(run, RunEnd.DONE)
    seen.promises.told(seen.record, JobState.COMPLETE)
    seen.promises.check_quiet()
    seen.promises.check_refusals()
    assert seen.broken() == set()


def test_second_run_of_a_task_is_seen():
    seen = Seen()
    seen.start(upstream="a")
    seen.start(upstream="b")
    assert seen.broken() == {"a task runs once at a time"}


def test_start_over_the_capacity_is_seen():
    seen = Seen()
    seen.start(0)
    seen.start(1)
    assert seen.broken() == {"no upstream over its capacity"}


@pytest.mark.parametrize("is_noted_first", [True, False])
def test_start_after_the_end_is_seen_once_the_end_is_noted(is_noted_first):
    seen = Seen()
    run = seen.start()
    seen.end(run, RunEnd.DONE)
    if is_noted_first:
        seen.note(run, RunEnd.DONE)
    seen.start(upstream="b")
    if not is_noted_first:
        assert seen.broken() == set()
        seen.note(run, RunEnd.DONE)
    assert seen.broken() == {"nothing starts again once it is done"}


def test_start_after_an_end_that_is_never_noted_is_allowed():
    """Its lease had lapsed; the end of the later run is noted."""
    seen = Seen()
    seen.end(seen.start(upstream="a"), RunEnd.DONE)
    later = seen.start(upstream="b", attempt=2)
    seen.end(later, RunEnd.DONE)
    seen.note(later, RunEnd.DONE)
    assert seen.broken() == set()
    seen.start(upstream="a", attempt=3)
    assert seen.broken() == {"nothing starts again once it is done"}


def test_end_that_was_lost_with_its_upstream_may_be_repeated():
    seen = Seen()
    run = seen.start()
    seen.end(run, RunEnd.DONE)
    seen.promises.crashed([], [EndedRun(1, run.task, 1, RunEnd.DONE)])
    seen.start(upstream="b")
    assert seen.broken() == set()


def test_step_before_its_time_is_seen():
    seen = Seen(StepSpec(1), StepSpec(1, after=(0,)))
    seen.start(step=1)
    assert seen.broken() == {"steps in order"}


def test_too_many_attempts_are_seen():
    seen = Seen()
    for _ in range(2):
        run = seen.start()
        seen.end(run, RunEnd.FAILED)
        seen.note(run, RunEnd.FAILED)
    assert seen.broken() == set()
    seen.start()
    assert seen.broken() == {"no more attempts than allowed"}


def test_start_of_an_unknown_job_or_another_payload_is_seen():
    seen = Seen()
    seen.start(job="0" * 16)
    assert seen.broken() == {"no start that nobody asked for"}
    seen.start(payload=msgspec.json.encode(Needs(2.0, 10)).decode())
    assert "a task gets what its caller handed in" in seen.broken()


def test_untrue_answers_are_seen():
    seen = Seen()
    seen.promises.told(seen.record, JobState.COMPLETE)
    seen.promises.told(seen.record, JobState.FAILED)
    seen.promises.told(seen.record, JobState.CANCELLED)
    assert seen.broken() == {
        "complete only when all is done",
        "failed only after its attempts",
        "cancelled only when asked",
    }


def test_untrue_refusal_is_seen():
    seen = Seen()
    seen.record.refusals = 1
    seen.end(seen.start(), RunEnd.DONE)
    seen.promises.check_refusals()
    assert seen.broken() == {"a refusal is true"}


def test_lost_job_is_seen():
    seen = Seen()
    seen.record.accepted_s = 0.0
    seen.promises.told_unknown(seen.record)
    seen.promises.check_finished()
    assert seen.broken() == {"an accepted job is known", "nothing accepted is lost"}


def test_run_that_outlives_its_job_is_seen():
    seen = Seen()
    seen.start()
    seen.record.state = JobState.FAILED
    seen.promises.check_quiet()
    assert seen.broken() == {"an ended job leaves nothing running"}


def test_task_that_crashes_upstream_after_upstream_is_seen():
    payload = msgspec.json.encode(Needs(1.0, 9000, crash_after_s=0.1)).decode()
    seen = Seen()
    seen.record.spec = replace(seen.record.spec, payload=payload)
    for _ in range(5):
        run = seen.start(payload=payload)
        seen.running.clear()
        seen.promises.crashed([run], [])
    assert seen.broken() == set()
    seen.start(payload=payload)
    assert seen.broken() == {"no task crashes upstream after upstream"}


def test_job_under_which_two_upstreams_crashed_may_fail():
    seen = Seen()
    for _ in range(2):
        run = seen.start()
        seen.running.clear()
        seen.promises.crashed([run], [])
    seen.promises.told(seen.record, JobState.FAILED)
    assert seen.broken() == set()


def test_start_with_a_forged_key_is_seen():
    seen = Seen()
    seen.record.is_forged = True
    seen.start()
    assert seen.broken() == {"no start with a key that never was"}


@pytest.mark.parametrize("status", [200, 409, 410, 504])
def test_answer_that_admits_a_withdrawn_or_forged_key_is_seen(status):
    seen = Seen()
    for refused in (0, 401, 503):
        seen.promises.answered_withdrawn_key("vm", refused)
        seen.promises.answered_forged_key("vm", refused)
    assert seen.broken() == set()
    seen.promises.answered_withdrawn_key("vm", status)
    seen.promises.answered_forged_key("vm", status)
    assert seen.broken() == {
        "a withdrawn key is refused",
        "a key that never was is refused",
    }
