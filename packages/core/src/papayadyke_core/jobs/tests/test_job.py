import pytest

from papayadyke_core.jobs import (
    Job,
    Permission,
    TaskDone,
    TaskResult,
    job_view,
    parse_task_id,
)
from papayadyke_core.journal import Answer, JobAccepted, TaskIntended, TaskState
from papayadyke_core.verdicts import Reason, Refusal, Verdict

ANSWER = Answer(200, "application/json", b"1")


def _job(*, tasks=1, gang=False, idempotent=True, epoch=0):
    accepted = JobAccepted("j", "w", (b"1",) * tasks, gang, 100.0, idempotent, 2)
    return Job(accepted, 0.0, epoch=epoch)


def _start(job, now=0.0):
    """Order, authorize and start all ready tasks; return their attempts."""
    specs = [spec for order in job.make_orders(now, now, 100) for spec in order.tasks]
    for spec in specs:
        authorization = job.authorize(
            spec.index, spec.attempt, "u1", now, is_owner=True
        )
        job.apply(authorization.entry, now)
        if authorization.permission is Permission.WHEN_DURABLE:
            assert job.confirm_intent(spec.index, spec.attempt, now)
    return specs


def _finish(job, spec, result, now=1.0, **fields):
    done = TaskDone(spec.task_id, result, **fields)
    return job.end_attempt(spec.index, spec.attempt, done, now)


def _apply(job, entries):
    for entry in entries:
        job.apply(entry, 2.0)


def test_answer_is_final_only_once_it_is_in_the_log():
    job = _job()
    (spec,) = _start(job)
    ended = _finish(job, spec, TaskResult.ANSWERED, answer=ANSWER)
    assert job_view(job)["tasks"][0]["state"] == "running"
    _apply(job, ended)
    view = job_view(job)
    assert (view["state"], view["tasks"][0]["answer"]["json"]) == ("finished", 1)
    assert job.make_orders(50.0, 50.0, 10) == []


def test_non_idempotent_task_starts_only_after_its_intent_is_durable():
    job = _job(idempotent=False)
    (order,) = job.make_orders(0.0, 0.0, 10)
    (spec,) = order.tasks
    authorization = job.authorize(0, spec.attempt, "u1", 0.0, is_owner=True)
    assert authorization.permission is Permission.WHEN_DURABLE
    assert job_view(job)["tasks"][0]["state"] == "starting"
    assert job.confirm_intent(0, spec.attempt, 0.0)
    assert not job.confirm_intent(0, spec.attempt, 0.0)


def test_retry_of_idempotent_task_starts_only_after_its_intent_is_durable():
    job = _job()
    (spec,) = _start(job)
    _finish(job, spec, TaskResult.FAILED, upstream="u1")
    (order,) = job.make_orders(10.0, 10.0, 10)
    assert order.avoid == ("u1",)
    authorization = job.authorize(0, order.tasks[0].attempt, "u2", 10.0, is_owner=True)
    assert authorization.permission is Permission.WHEN_DURABLE


@pytest.mark.parametrize(
    "idempotent, result, state",
    [
        (True, TaskResult.FAILED, TaskState.FAILED),
        (True, TaskResult.LAPSED, TaskState.FAILED),
        (False, TaskResult.FAILED, TaskState.FAILED),
        (False, TaskResult.STOPPED, TaskState.MAY_HAVE_RUN),
        (False, TaskResult.LAPSED, TaskState.MAY_HAVE_RUN),
    ],
)
def test_unsuccessful_result_of_the_last_attempt_is_final(idempotent, result, state):
    job = _job(idempotent=idempotent)
    for attempt in range(2 if idempotent else 1):
        assert not job.is_finished
        (spec,) = _start(job, now=10.0 * attempt)
        ended = _finish(job, spec, result, now=10.0 * attempt + 1)
    assert [entry.state for entry in ended] == [state]
    assert ended[0].refusal.verdict is Verdict.MAY_HAVE_RUN
    assert ended[0].had_run


def test_lost_attempt_is_not_retried_before_its_lease_expires():
    job = _job()
    (spec,) = _start(job)
    assert _finish(job, spec, TaskResult.LOST, upstream="u1") == []
    assert job.make_orders(50.0, 50.0, 10) == []
    (unresolved,) = job.unresolved()
    assert (unresolved.task_id, unresolved.upstream) == (spec.task_id, "u1")
    assert job.expire_leases(90.0, 100.0, 50.0) == []
    job.expire_leases(102.0, 100.0, 50.0)
    assert job.unresolved() == []


def test_lost_attempt_reported_running_stays_unresolved_until_it_ends():
    job = _job()
    (spec,) = _start(job)
    _finish(job, spec, TaskResult.LOST)
    _finish(job, spec, TaskResult.RUNNING, now=90.0)
    assert job.expire_leases(150.0, 100.0, 50.0) == []
    assert [lost.task_id for lost in job.unresolved()] == [spec.task_id]
    _finish(job, spec, TaskResult.LOST, now=151.0)
    job.expire_leases(191.0, 100.0, 50.0)
    assert job.unresolved() == [], (
        "its lease has expired since it was last reported running"
    )


def test_lost_attempt_may_still_answer():
    job = _job()
    (spec,) = _start(job)
    _finish(job, spec, TaskResult.RUNNING)
    (entry,) = _finish(job, spec, TaskResult.ANSWERED, answer=ANSWER, now=50.0)
    assert entry.state is TaskState.ANSWERED


def test_temporary_refusal_is_retried_and_permanent_refusal_is_final():
    job = _job(idempotent=False)
    queue_full = Refusal(Verdict.NOT_RUN, Reason.QUEUE_FULL, "full", retry_after_s=5.0)
    (order,) = job.make_orders(0.0, 0.0, 10)
    _finish(job, order.tasks[0], TaskResult.NOT_STARTED, refusal=queue_full, now=0.0)
    assert job.make_orders(4.0, 4.0, 10) == []
    (order,) = job.make_orders(6.0, 6.0, 10)
    never = Refusal(Verdict.NOT_RUN, Reason.CAN_NEVER_RUN, "too big")
    (entry,) = _finish(job, order.tasks[0], TaskResult.NOT_STARTED, refusal=never)
    assert (entry.state, entry.refusal, entry.had_run) == (
        TaskState.REFUSED,
        never,
        False,
    )


def test_task_is_retried_while_its_workload_is_missing():
    """A version without the workload for some seconds ended its jobs for good."""
    job = _job(idempotent=False)
    missing = Refusal(Verdict.NOT_RUN, Reason.UNKNOWN_WORKLOAD, "no such workload")
    (order,) = job.make_orders(0.0, 0.0, 10)
    _finish(job, order.tasks[0], TaskResult.NOT_STARTED, refusal=missing, now=0.0)
    (order,) = job.make_orders(40.0, 40.0, 10)
    assert order.tasks[0].index == 0


def test_cancelled_tasks_report_whether_they_had_run():
    job = _job(tasks=3, idempotent=False)
    specs = [order.tasks[0] for order in job.make_orders(0.0, 0.0, 2)]
    authorization = job.authorize(0, specs[0].attempt, "u1", 0.0, is_owner=True)
    job.apply(authorization.entry, 0.0)
    job.confirm_intent(0, specs[0].attempt, 0.0)
    job.apply(job.cancel(), 1.0)
    assert job.cancel() is None
    ended = job.decide_outcomes(1.0)
    assert job.tasks_to_stop(1.0) == [spec.task_id for spec in specs]
    refused = job.authorize(1, specs[1].attempt, "u1", 1.0, is_owner=True)
    assert refused.permission is Permission.NEVER
    ended += _finish(job, specs[0], TaskResult.STOPPED)
    ended += _finish(job, specs[1], TaskResult.NOT_STARTED)
    _apply(job, ended)
    tasks = job_view(job)["tasks"]
    assert [task["state"] for task in tasks] == ["cancelled"] * 3
    assert [task["had_run"] for task in tasks] == [True, False, False]
    assert [task["refusal"]["verdict"] for task in tasks] == [
        "may_have_run",
        "not_run",
        "not_run",
    ]


def test_deadline_refuses_tasks_that_have_not_started():
    job = _job(tasks=2)
    (order,) = job.make_orders(0.0, 0.0, 1)
    (entry,) = job.decide_outcomes(101.0)
    assert (entry.index, entry.state) == (1, TaskState.REFUSED)
    assert entry.refusal.reason is Reason.EXPIRED
    assert job.tasks_to_stop(101.0) == [order.tasks[0].task_id]


def test_gang_is_ordered_and_retried_as_a_whole():
    job = _job(tasks=2, gang=True)
    (order,) = job.make_orders(0.0, 0.0, 1)
    assert len(order.tasks) == 2
    for spec in order.tasks:
        job.authorize(spec.index, spec.attempt, "u1", 0.0, is_owner=True)
    assert _finish(job, order.tasks[0], TaskResult.ANSWERED, answer=ANSWER) == []
    assert job.make_orders(50.0, 50.0, 10) == []
    assert _finish(job, order.tasks[1], TaskResult.FAILED) == []
    (retry,) = job.make_orders(60.0, 60.0, 10)
    assert [spec.index for spec in retry.tasks] == [0, 1]


def test_non_idempotent_gang_ends_when_one_task_fails():
    job = _job(tasks=3, gang=True, idempotent=False)
    specs = _start(job)
    _finish(job, specs[0], TaskResult.ANSWERED, answer=ANSWER)
    _finish(job, specs[1], TaskResult.FAILED)
    assert job.tasks_to_stop(1.0) == [specs[2].task_id]
    ended = _finish(job, specs[2], TaskResult.STOPPED)
    assert [entry.state for entry in ended] == [
        TaskState.ANSWERED,
        TaskState.FAILED,
        TaskState.MAY_HAVE_RUN,
    ]


def test_recovery_marks_only_attempts_with_an_intent_as_unresolved():
    job = _job(idempotent=False, tasks=2)
    (spec, _) = _start(job)
    successor = _job(idempotent=False, tasks=3, epoch=7)
    successor.apply(_intent(spec), 1.0)
    successor.mark_recovered(1.0)
    (unresolved,) = successor.unresolved()
    assert (unresolved.index, unresolved.upstream) == (0, "u1")
    orders = successor.make_orders(1.0, 1.0, 10)
    assert [order.tasks[0].index for order in orders] == [1, 2]
    task_id = orders[0].tasks[0].task_id
    parsed = parse_task_id(task_id)
    assert parsed is not None
    _, _, attempt = parsed
    assert attempt > spec.attempt, "attempt numbers of different owners never overlap"


def test_successor_knows_the_boot_of_the_upstream_that_got_a_start():
    """Without it, the successor believed a restarted upstream that nothing had run."""
    job = _job(idempotent=False)
    (order,) = job.make_orders(0.0, 0.0, 10)
    authorization = job.authorize(
        0, order.tasks[0].attempt, "u1", 0.0, is_owner=True, boot_id="b1"
    )
    successor = _job(idempotent=False, epoch=1)
    successor.apply(authorization.entry, 0.0)
    successor.mark_recovered(1.0)
    (unresolved,) = successor.unresolved()
    assert (unresolved.upstream, unresolved.boot_id) == ("u1", "b1")
    found = TaskDone(unresolved.task_id, TaskResult.RUNNING, upstream="u2")
    successor.end_attempt(0, unresolved.attempt, found, 2.0)
    (unresolved,) = successor.unresolved()
    assert (unresolved.upstream, unresolved.boot_id) == ("u2", "")


def _recover_unknown_attempt():
    """Return a job with an attempt that no upstream knows; one may have restarted."""
    accepted = JobAccepted("j", "w", (b"1",), False, 100.0, True, 1)
    job = Job(accepted, 0.0, epoch=3)
    job.mark_recovered(1.0)
    (unresolved,) = job.unresolved()
    lapsed = TaskDone(unresolved.task_id, TaskResult.LAPSED)
    assert job.end_attempt(0, unresolved.attempt, lapsed, 2.0) == []
    return job


def test_attempt_that_may_not_have_been_sent_does_not_count_as_failed():
    job = _recover_unknown_attempt()
    (order,) = job.make_orders(10.0, 10.0, 10)
    assert order.tasks[0].index == 0


def test_cancelled_task_with_an_attempt_that_no_upstream_knows_may_have_run():
    job = _recover_unknown_attempt()
    job.apply(job.cancel(), 3.0)
    (entry,) = job.decide_outcomes(3.0)
    assert entry.had_run
    assert entry.refusal.verdict is Verdict.MAY_HAVE_RUN


def _intent(spec):
    return TaskIntended("j", spec.index, spec.attempt, "u1")


def test_recovered_idempotent_task_may_run_on_an_unknown_upstream():
    successor = _job(epoch=3)
    successor.mark_recovered(1.0)
    (unresolved,) = successor.unresolved()
    assert unresolved.upstream is None
    successor.expire_leases(150.0, 100.0, 50.0)
    assert successor.unresolved(), "an earlier owner may still start it"
    successor.expire_leases(152.0, 100.0, 50.0)
    assert successor.unresolved() == []


def test_start_without_proof_of_ownership_waits_for_its_intent():
    job = _job()
    (order,) = job.make_orders(0.0, 0.0, 10)
    authorization = job.authorize(0, order.tasks[0].attempt, "u1", 0.0, is_owner=False)
    assert authorization.permission is Permission.WHEN_DURABLE


def test_invariant_violations_raise():
    job = _job(idempotent=False)
    (order,) = job.make_orders(0.0, 0.0, 10)
    with pytest.raises(AssertionError):
        _finish(job, order.tasks[0], TaskResult.ANSWERED, answer=ANSWER)
    with pytest.raises(AssertionError):
        job.tasks[0].begin_attempt(0)
    job = _job()
    (spec,) = _start(job)
    (entry,) = _finish(job, spec, TaskResult.ANSWERED, answer=ANSWER)
    job.apply(entry, 1.0)
    other = _job()
    (spec,) = _start(other)
    (failed,) = _finish(other, spec, TaskResult.ANSWERED, answer=Answer(201))
    with pytest.raises(AssertionError):
        job.apply(failed, 2.0)
