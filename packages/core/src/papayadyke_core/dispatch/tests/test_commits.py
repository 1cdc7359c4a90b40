"""Commits of progress while many tasks end at once."""

from dispatch_world import QUEUE, World, make_catalog, make_entry, make_job, make_step

from papayadyke_core.dispatch import (
    Dispatcher,
    DispatchSettings,
    EndedRun,
    JobState,
    RunEnd,
    RunningRun,
    TaskId,
    UpstreamReport,
)


def make_running(jobs, *, tasks=2, upstreams=1):
    """Return a dispatcher that runs all tasks of some jobs."""
    dispatcher = Dispatcher(DispatchSettings(lease_s=5.0))
    dispatcher.set_catalog(make_catalog())
    for number in range(upstreams):
        entry = make_entry(f"u{number}", cores=jobs * tasks)
        dispatcher.add_or_update_upstream(entry)
        dispatcher.process_report(f"u{number}", UpstreamReport(1, 0.0, 0.0), 0.0)
    for number in range(jobs):
        dispatcher.submit(make_job(f"j{number:03d}", make_step(tasks)), now=0.0)
    orders = dispatcher.tick(0.1, 0.1)
    assert len(orders.starts) == jobs * tasks
    return dispatcher, {order.task: order for order in orders.starts}


def end(dispatcher, started, tasks):
    """Report the ends of tasks at the upstream that runs them."""
    ended = [
        EndedRun(number, task, started[task].attempt, RunEnd.DONE)
        for number, task in enumerate(tasks, start=1)
    ]
    ended_tasks = set(tasks)
    running = [
        RunningRun(task, order.attempt)
        for task, order in started.items()
        if task not in ended_tasks
    ]
    dispatcher.process_report("u0", UpstreamReport(1, 1.0, 1.0, running, ended), 1.0)


def test_ends_of_jobs_are_stored_before_the_progress_of_open_jobs():
    """Pattern: a burst of task ends; the job that is complete must not wait for it.

    With commits in the order of changes a caller saw its job as complete seconds
    after its last task had ended.
    """
    dispatcher, started = make_running(100)
    open_ends = [TaskId(f"j{number:03d}", 0, 0, 0) for number in range(99)]
    last = [TaskId("j099", 0, 0, 0), TaskId("j099", 0, 0, 1)]
    end(dispatcher, started, open_ends + last)
    commit = dispatcher.begin_commit()
    assert commit.ended_job_ids == ("j099",)
    assert dispatcher.finish_commit(commit, is_stored=True) == ["j099"]
    assert dispatcher.get_state("j099") is JobState.COMPLETE


def test_several_commits_in_progress_store_different_jobs():
    """A job in two commits at a time would be written at an outdated revision."""
    dispatcher, started = make_running(40)
    end(dispatcher, started, list(started))
    commits = [dispatcher.begin_commit() for _ in range(3)]
    stored = [job_id for commit in commits for job_id in commit.progress]
    assert len(stored) == len(set(stored))
    assert len(stored) == 21
    for commit in reversed(commits):
        dispatcher.finish_commit(commit, is_stored=True)
    assert all(dispatcher.get_state(job_id) is JobState.COMPLETE for job_id in stored)


def test_ends_are_acknowledged_as_far_as_their_jobs_are_stored():
    """An end must stay listed until its job is stored, but not until all jobs are.

    While ends of other jobs waited for a commit, nothing was acknowledged, and each
    poll of a busy upstream listed all ends again.
    """
    dispatcher, started = make_running(40, tasks=1)
    end(dispatcher, started, list(started))
    first, second = dispatcher.begin_commit(), dispatcher.begin_commit()
    assert first.acknowledged_ends == {"u0": (1, 7)}
    assert second.acknowledged_ends == {}
    dispatcher.finish_commit(first, is_stored=True)
    third = dispatcher.begin_commit()
    assert third.acknowledged_ends == {}
    dispatcher.finish_commit(second, is_stored=True)
    dispatcher.finish_commit(third, is_stored=True)
    assert dispatcher.begin_commit().acknowledged_ends == {"u0": (1, 28)}


def test_ends_of_a_failed_commit_are_acknowledged_with_the_next():
    """An end whose commit failed must neither be lost nor be acknowledged early."""
    dispatcher, started = make_running(3, tasks=1)
    end(dispatcher, started, list(started))
    failed = dispatcher.begin_commit()
    assert failed.acknowledged_ends == {"u0": (1, 3)}
    dispatcher.finish_commit(failed, is_stored=False)
    assert dispatcher.upstreams["u0"].acknowledged_end_number == 0
    again = dispatcher.begin_commit()
    assert again.progress.keys() == failed.progress.keys()
    assert again.acknowledged_ends == failed.acknowledged_ends


def test_restart_forgets_the_ends_of_the_earlier_incarnation():
    """Earlier numbers must not acknowledge ends of the present incarnation."""
    world = World(make_catalog(), make_entry("a"))
    world.submit(make_job("j", make_step(1), queue=QUEUE))
    world.is_store_down = True
    world.run(2.0)
    world.crash("a")
    world.run(0.2)
    world.is_store_down = False
    world.run(2.0)
    assert world.get_state("j") is JobState.COMPLETE
    assert world.acknowledged.get("a", (1, 0))[1] <= world.upstreams["a"].end_count


def test_failed_commit_does_not_bring_back_ends_of_the_earlier_incarnation():
    """Guards against ends of the next incarnation that are acknowledged unstored."""
    dispatcher, started = make_running(31, tasks=20)
    end(dispatcher, started, [TaskId("j000", 0, 0, number) for number in range(20)])
    failing = dispatcher.begin_commit()
    assert failing.acknowledged_ends == {"u0": (1, 20)}
    dispatcher.process_report("u0", UpstreamReport(2, 50.0, 50.0), 50.0)
    orders = {order.task: order for order in dispatcher.tick(50.1, 50.1).starts}
    dispatcher.finish_commit(failing, is_stored=False)
    # Ends of jobs come first in a commit and fill it.
    for number in range(21, 31):
        dispatcher.cancel(f"j{number:03d}", 50.2)
    jobs = [f"j{number:03d}" for number in range(1, 21)]
    ended = []
    for number, job_id in enumerate(jobs, start=1):
        task = TaskId(job_id, 0, 0, 0)
        ended.append(EndedRun(number, task, orders[task].attempt, RunEnd.DONE))
    dispatcher.process_report("u0", UpstreamReport(2, 51.0, 51.0, [], ended), 51.0)
    commit = dispatcher.begin_commit()
    assert jobs[0] not in commit.progress
    assert not commit.acknowledged_ends
