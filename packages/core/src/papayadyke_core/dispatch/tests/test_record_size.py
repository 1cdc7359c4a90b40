"""Stored progress stays within one value of the store, whatever a job holds.

A record that the store refuses for its size is never stored: its job has no end, and
the ends of all jobs that share its commits are not acknowledged.
"""

from dataclasses import replace
from itertools import pairwise

import pytest
from dispatch_world import make_catalog, make_entry, make_job, make_step

from papayadyke_core.dispatch import (
    Dispatcher,
    DispatchSettings,
    EndedRun,
    JobState,
    RunEnd,
    RunningRun,
    TaskId,
    UpstreamReport,
    decode_progress,
)

MAX_BYTES = 100_000
LONG_TEXT = "s3://checkpoints/" + "x" * 230
SETTINGS = DispatchSettings(lease_s=5.0, max_record_bytes=MAX_BYTES)


def make_dispatcher(*, upstreams=1, settings=SETTINGS):
    dispatcher = Dispatcher(settings)
    dispatcher.set_catalog(make_catalog())
    for number in range(upstreams):
        entry = replace(make_entry(f"u{number}", cores=100_000), memory_mb=10**9)
        dispatcher.add_or_update_upstream(entry)
        dispatcher.process_report(f"u{number}", UpstreamReport(1, 0.0, 0.0), 0.0)
    return dispatcher


def start(dispatcher, job_id, tasks, **step):
    """Start all tasks of a job; return their orders by task."""
    dispatcher.submit(make_job(job_id, make_step(tasks, **step)), now=0.0)
    orders = {order.task: order for order in dispatcher.tick(0.1, 0.1).starts}
    assert len(orders) == tasks
    return orders


def report(dispatcher, orders, *, ended=(), checkpoint=""):
    """Report ended tasks, as pairs of a task and its end, and that the others run."""
    ends = [
        EndedRun(number, task, orders[task].attempt, end)
        for number, (task, end) in enumerate(ended, start=1)
    ]
    gone = {task for task, _ in ended}
    running = [
        RunningRun(task, order.attempt, checkpoint)
        for task, order in orders.items()
        if task not in gone
    ]
    dispatcher.process_report("u0", UpstreamReport(1, 1.0, 1.0, running, ends), 1.0)


def begin_commits(dispatcher):
    """Return the commits that are due, of which none is finished."""
    commits = []
    while (commit := dispatcher.begin_commit()) is not None:
        commits.append(commit)
    return commits


def restore(data, spec):
    """Return the job as a later decider restores it."""
    successor = make_dispatcher()
    successor.restore_job(
        spec, decode_progress(data), is_cancelled=False, age_s=0.0, now=0.0
    )
    return successor.jobs[spec.job_id]


def test_checkpoints_do_not_enlarge_a_record_beyond_its_bound():
    """The end of no job was stored beside 5,400 tasks with checkpoints."""
    dispatcher = make_dispatcher()
    orders = start(dispatcher, "large", 1_000)
    done = [(TaskId("large", 0, 0, n), RunEnd.DONE) for n in range(0, 1_000, 100)]
    report(dispatcher, orders, ended=done, checkpoint=LONG_TEXT)
    (commit,) = begin_commits(dispatcher)
    data = commit.progress["large"]
    assert len(data) <= MAX_BYTES
    assert commit.left_out == {"large": 990 - len(list_checkpoints(data))}
    job = restore(data, make_job("large", make_step(1_000)))
    assert sorted(job.steps[0, 0].done) == list(range(0, 1_000, 100))


def list_checkpoints(data):
    (step,) = decode_progress(data).steps.values()
    return sorted(step.checkpoints)


def test_checkpoints_of_waiting_tasks_are_stored_first():
    """Those of running tasks are listed by their upstreams as well."""
    dispatcher = make_dispatcher()
    orders = start(dispatcher, "large", 1_000)
    report(dispatcher, orders, checkpoint=LONG_TEXT)
    # No upstream can run them again.
    dispatcher.mark_upstream_unlisted("u0")
    stopped = [(TaskId("large", 0, 0, n), RunEnd.STOPPED) for n in range(990, 1_000)]
    report(dispatcher, orders, ended=stopped, checkpoint=LONG_TEXT)
    dispatcher._schedule.commits.mark_dirty("large")
    (commit,) = begin_commits(dispatcher)
    stored = list_checkpoints(commit.progress["large"])
    assert set(range(990, 1_000)) <= set(stored)
    assert 0 in stored


def test_no_checkpoint_is_left_out_of_a_small_record():
    dispatcher = make_dispatcher()
    orders = start(dispatcher, "small", 10)
    done = [(TaskId("small", 0, 0, 0), RunEnd.DONE)]
    report(dispatcher, orders, ended=done, checkpoint=LONG_TEXT)
    (commit,) = begin_commits(dispatcher)
    assert list_checkpoints(commit.progress["small"]) == list(range(1, 10))
    assert not commit.left_out


@pytest.mark.parametrize("end", [RunEnd.FAILED, RunEnd.DONE])
def test_ends_of_many_tasks_in_no_order_fit(end):
    """Failed attempts must be stored, as they are counted after a takeover."""
    tasks = 24_000
    dispatcher = make_dispatcher()
    orders = start(dispatcher, "wide", tasks)
    ended = [(TaskId("wide", 0, 0, n), end) for n in range(0, tasks, 2)]
    report(dispatcher, orders, ended=ended)
    (commit,) = begin_commits(dispatcher)
    data = commit.progress["wide"]
    assert len(data) <= MAX_BYTES
    step = restore(data, make_job("wide", make_step(tasks))).steps[0, 0]
    numbers = set(range(0, tasks, 2))
    if end is RunEnd.DONE:
        assert set(step.done) == numbers
    else:
        assert step.failed == {n: [1] for n in numbers}


def test_doubts_about_many_runs_fit():
    """An upstream that was lost under many tasks must not enlarge their record."""
    dispatcher = make_dispatcher()
    orders = start(dispatcher, "wide", 8_000)
    done = [(TaskId("wide", 0, 0, 7), RunEnd.DONE)]
    report(dispatcher, orders, ended=done)
    dispatcher.mark_unreachable("u0", 1.5)
    (commit,) = begin_commits(dispatcher)
    assert len(commit.progress["wide"]) <= MAX_BYTES
    step = restore(commit.progress["wide"], make_job("wide", make_step(8_000)))
    assert list(step.steps[0, 0].done) == [7]


def test_failed_runs_of_a_task_that_lasts_do_not_accumulate():
    """The record of a service that fails now and then grew with each failure."""
    dispatcher = make_dispatcher()
    orders = start(dispatcher, "service", 1, is_long_running=True)
    task = TaskId("service", 0, 0, 0)
    sizes = []
    for number in range(1, 100):
        ((_, order),) = orders.items()
        ended = [EndedRun(number, task, order.attempt, RunEnd.FAILED)]
        at_s = float(number)
        dispatcher.process_report("u0", UpstreamReport(1, at_s, at_s, [], ended), at_s)
        dispatcher.upstreams["u0"].set_aside_until_s = 0.0
        for commit in begin_commits(dispatcher):
            sizes.append(len(commit.progress["service"]))
            dispatcher.finish_commit(commit, is_stored=True)
        starts = dispatcher.tick(at_s + 0.2, at_s + 0.2).starts
        orders = {order.task: order for order in starts}
    assert max(sizes) - min(sizes) < 10


# Commits


def test_large_record_has_a_commit_of_its_own():
    """One that the store does not take in time must not hold up the ends of others."""
    dispatcher = make_dispatcher()
    large = start(dispatcher, "large", 1_000)
    small = start(dispatcher, "small", 1)
    ended = [
        (TaskId("large", 0, 0, 0), RunEnd.DONE),
        (TaskId("small", 0, 0, 0), RunEnd.DONE),
    ]
    report(dispatcher, large | small, ended=ended, checkpoint="y" * 100)
    commits = begin_commits(dispatcher)
    assert [set(commit.progress) for commit in commits] == [{"small"}, {"large"}]


def test_refused_commit_holds_up_no_other_job():
    """Jobs in one commit with a refused record were refused with it each time."""
    dispatcher = make_dispatcher()
    orders = start(dispatcher, "bad", 2)
    for job_id in ("one", "two"):
        orders |= start(dispatcher, job_id, 1)
    ended = [
        (TaskId("one", 0, 0, 0), RunEnd.DONE),
        (TaskId("two", 0, 0, 0), RunEnd.DONE),
        (TaskId("bad", 0, 0, 0), RunEnd.DONE),
    ]
    report(dispatcher, orders, ended=ended)
    stored: set[str] = set()
    for number in range(30):
        now = 0.1 * number
        while (commit := dispatcher.begin_commit(now)) is not None:
            is_stored = "bad" not in commit.progress
            if not is_stored:
                dispatcher.isolate_commit(commit, now)
            stored |= commit.progress.keys() if is_stored else set()
            dispatcher.finish_commit(commit, is_stored=is_stored)
            if not is_stored:
                break
    assert stored == {"one", "two"}
    assert dispatcher.get_state("one") is JobState.COMPLETE
    # Ends before that of the refused record are acknowledged, and it is tried again.
    assert dispatcher.upstreams["u0"].acknowledged_end_number == 2
    assert set(dispatcher.begin_commit(60.0).progress) == {"bad"}


def test_refused_commit_does_not_count_as_a_failing_store():
    """Suspects wait for their doubts to be stored, unless the store fails."""
    dispatcher = make_dispatcher()
    orders = start(dispatcher, "bad", 2)
    report(dispatcher, orders, ended=[(TaskId("bad", 0, 0, 0), RunEnd.DONE)])
    commit = dispatcher.begin_commit()
    dispatcher.isolate_commit(commit, 1.0)
    dispatcher.finish_commit(commit, is_stored=False)
    assert not dispatcher._schedule.commits.is_store_failing
    # It is repeated at longer and longer intervals.
    assert dispatcher.begin_commit(1.1) is None
    times = [1.0]
    while len(times) < 6:
        now = times[-1]
        while (commit := dispatcher.begin_commit(now)) is None:
            now += 0.1
        times.append(now)
        dispatcher.isolate_commit(commit, now)
        dispatcher.finish_commit(commit, is_stored=False)
    pauses = [later - earlier for earlier, later in pairwise(times)]
    assert pauses == sorted(pauses)
    assert pauses[-1] > 4 * pauses[0]


def test_large_record_is_stored_beside_ever_new_changes_of_other_jobs():
    """Jobs that change all the time must not keep a large record from being stored."""
    dispatcher = make_dispatcher()
    large = start(dispatcher, "large", 1_000)
    small = start(dispatcher, "small", 50)
    report(dispatcher, large | small, checkpoint="y" * 100)
    dispatcher._schedule.commits.mark_dirty("large")
    stored: set[str] = set()
    for _ in range(4):
        dispatcher._schedule.commits.mark_dirty("small")
        commit = dispatcher.begin_commit()
        stored |= commit.progress.keys()
        dispatcher.finish_commit(commit, is_stored=True)
    assert "large" in stored


def test_large_record_is_encoded_at_intervals_by_its_size():
    """The record of a job of 100,000 tasks took a quarter of a core to encode."""
    settings = replace(SETTINGS, max_record_bytes=800_000)
    dispatcher = make_dispatcher(settings=settings)
    orders = start(dispatcher, "large", 1_000)
    small = start(dispatcher, "small", 50)
    size = 0
    commits = {"large": 0, "small": 0}
    for tick in range(40):
        now = 1.0 + 0.05 * tick
        report(dispatcher, orders | small, checkpoint=LONG_TEXT)
        for job_id in commits:
            dispatcher._schedule.commits.mark_dirty(job_id)
        while (commit := dispatcher.begin_commit(now)) is not None:
            size = max(size, *(len(data) for data in commit.progress.values()))
            for job_id in commit.progress:
                commits[job_id] += 1
            dispatcher.finish_commit(commit, is_stored=True)
    assert commits["small"] == 40
    assert 2 <= commits["large"] <= 1 + 2.0 * 500_000 / size
    # The end of the job does not wait.
    dispatcher.cancel("large", 3.0)
    assert "large" in dispatcher.begin_commit(3.0).progress


def test_large_record_is_stored_beside_ever_new_ends_of_other_jobs():
    """A commit held the ends of small jobs each time, so a large open job had none."""
    dispatcher = make_dispatcher()
    large = start(dispatcher, "large", 1_000)
    report(dispatcher, large, checkpoint="y" * 100)
    stored: list[str] = []
    for number in range(12):
        dispatcher._schedule.commits.mark_dirty("large")
        job_id = f"small{number}"
        start(dispatcher, job_id, 1)
        dispatcher.cancel(job_id, 1.0)
        commit = dispatcher.begin_commit(1.0 + 0.05 * number)
        stored += commit.progress
        dispatcher.finish_commit(commit, is_stored=True)
    assert "large" in stored
    # The ends of jobs have most of the commits.
    assert len(set(stored)) >= 10


@pytest.mark.parametrize("refused", ["open", "ended"])
def test_refused_record_is_sent_again_beside_ever_new_ends(refused):
    """A record that the store refused once must not wait until no job ends."""
    dispatcher = make_dispatcher()
    orders = start(dispatcher, "bad", 2)
    report(dispatcher, orders, ended=[(TaskId("bad", 0, 0, 0), RunEnd.DONE)])
    if refused == "ended":
        dispatcher.cancel("bad", 1.0)
    commit = dispatcher.begin_commit(1.0)
    dispatcher.isolate_commit(commit, 1.0)
    dispatcher.finish_commit(commit, is_stored=False)
    stored: list[str] = []
    for number in range(30):
        job_id = f"small{number}"
        start(dispatcher, job_id, 1)
        dispatcher.cancel(job_id, 1.0)
        commit = dispatcher.begin_commit(1.0 + 0.05 * number)
        stored += commit.progress
        dispatcher.finish_commit(commit, is_stored=True)
    assert "bad" in stored
