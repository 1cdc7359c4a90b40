"""State of repeated jobs: it grows with what is due, not with all occurrences."""

import gc
import tracemalloc

import pytest

from papayadyke_core.dispatch import (
    JobProgress,
    JobState,
    Repeat,
    RunEnd,
    RunningRun,
    SpecError,
    StepProgress,
    TaskId,
    UpstreamReport,
    check_job_spec,
    decode_progress,
    encode_progress,
)
from papayadyke_core.dispatch._memory import JOB_BYTES
from papayadyke_core.dispatch._occurrences import MAX_OPEN_STEPS
from papayadyke_core.dispatch._spec import MAX_OPEN_STEPS_PER_JOB
from papayadyke_core.dispatch.tests.dispatch_world import (
    World,
    make_catalog,
    make_entry,
    make_job,
    make_step,
    read_stored_progress,
)

A_YEAR = 52_560  # occurrences, one each ten minutes
TEN_MINUTES_S = 600.0
VALUE_BYTES = 1_048_576  # most that the store takes of a record
MEMORY_PER_JOB = 50_000  # bytes


def make_yearly_job(name, first_due_s, *, steps=1, occurrences=A_YEAR):
    chain = [make_step(1, after=(n - 1,) if n else ()) for n in range(steps)]
    repeat = Repeat(occurrences, first_due_s, TEN_MINUTES_S)
    return make_job(name, *chain, repeat=repeat)


def measure_bytes(run):
    """Return the memory that is held after a call, and its result."""
    gc.collect()
    tracemalloc.start()
    try:
        result = run()
        gc.collect()
        return tracemalloc.get_traced_memory()[0], result
    finally:
        tracemalloc.stop()


def make_world(**changes):
    return World(make_catalog(), make_entry("a", cores=64), **changes)


@pytest.mark.parametrize(("steps", "occurrences"), [(1, A_YEAR), (3, 17_520)])
def test_jobs_due_in_the_future_take_no_memory_by_occurrence(steps, occurrences):
    """Five jobs for a year took 95 MB each on the VM that decides, and killed it."""
    dispatcher = make_world().dispatcher
    jobs = [
        make_yearly_job(f"j{n}", 4000.0, steps=steps, occurrences=occurrences)
        for n in range(5)
    ]

    def submit():
        for job in jobs:
            dispatcher.submit(job, now=100.0)
        return dispatcher.tick(100.1, 100.1)

    used, orders = measure_bytes(submit)
    assert not orders.starts
    assert used < 5 * MEMORY_PER_JOB


def test_cancelled_jobs_that_were_due_in_the_future_are_forgotten():
    """A year-long timetable kept the jobs that were cancelled long before."""
    world = make_world(status_kept_s=1.0)
    dispatcher = world.dispatcher

    def submit_and_cancel():
        for number in range(200):
            dispatcher.submit(make_yearly_job(f"j{number}", 1e6), now=100.0)
            dispatcher.cancel(f"j{number}", 100.0)
        for _ in range(20):
            commit = dispatcher.begin_commit()
            if commit is not None:
                dispatcher.finish_commit(commit, is_stored=True)
        dispatcher.tick(100.1, 100.1)
        dispatcher.remove_expired_jobs(1e9)

    submit_and_cancel()
    used, _ = measure_bytes(submit_and_cancel)
    assert used < 20 * MEMORY_PER_JOB


@pytest.mark.parametrize("steps", [1, 2])
def test_successor_holds_only_what_is_due(steps):
    """A take-over of a job with many occurrences done loads their ranges only.

    Records of earlier versions list each step of each occurrence that is done.
    """
    occurrences = A_YEAR // 2
    done = 20_000
    record = JobProgress(
        JobState.ACTIVE,
        0.0,
        {f"{k}.{n}": StepProgress([0]) for k in range(done) for n in range(steps)},
    )
    world = make_world()
    wall_s = 1e6
    first_due_s = wall_s - (done - 0.5) * TEN_MINUTES_S
    job = make_yearly_job("j", first_due_s, steps=steps, occurrences=occurrences)

    def restore():
        world.dispatcher.restore_job(
            job, record, is_cancelled=False, age_s=0.0, now=100.0
        )
        return world.dispatcher.tick(100.0, wall_s)

    used, orders = measure_bytes(restore)
    assert not orders.starts
    assert used < MEMORY_PER_JOB
    # The next occurrence starts when it is due.
    world.dispatcher.process_report("a", UpstreamReport(1, 100.0, 100.0), 100.0)
    (start,) = world.dispatcher.tick(400.0, wall_s + 301.0).starts
    assert start.task == TaskId("j", done, 0, 0)


def test_stored_record_does_not_grow_with_occurrences_that_are_done():
    """The record of a job with an occurrence each second outgrew what is stored."""
    world = make_world()
    world.submit(
        make_job("j", make_step(1), repeat=Repeat(A_YEAR, world.now + 0.2, 0.1))
    )
    world.run(30.0, after_s=0.05)
    progress = read_stored_progress(world, "j")
    done = sum(
        1 if isinstance(row, int) else row[1] - row[0] + 1
        for row in progress.done_occurrences
    )
    assert done > 200
    assert len(world.progress["j"]) < 500
    assert len(world.dispatcher.jobs["j"].steps) < 20


def test_record_of_a_wide_step_has_ranges_of_tasks_that_are_done():
    """Each commit of a step with 100,000 tasks took 0.6 MB and 10 ms to encode."""
    world = make_world()
    world.submit(make_job("j", make_step(100_000, is_checkpointing=True)))
    for number in range(2_000):
        step = world.dispatcher.jobs["j"].steps[0, 0]
        step.checkpoints[number] = "c" * 64
        step.mark_done(number)
    encoded = encode_progress(world.dispatcher.jobs["j"].snapshot_progress())
    assert len(encoded) < 500
    assert decode_progress(encoded).steps["0.0"].done == [(0, 1999)]


def test_many_overdue_occurrences_run_once_each_over_takeovers():
    """Occurrences beyond those that are held at a time start as others are done."""
    occurrences = 3 * MAX_OPEN_STEPS_PER_JOB // 2
    world = World(make_catalog(), *(make_entry(f"u{n}", cores=64) for n in range(4)))
    repeat = Repeat(occurrences, world.now - 1e6, 1.0)
    world.submit(make_job("j", make_step(1), repeat=repeat))
    for second in range(10):
        world.run(1.0, after_s=0.2)
        assert len(world.dispatcher.jobs["j"].steps) <= MAX_OPEN_STEPS_PER_JOB + 300
        if second in (1, 3):
            world.take_over()
    assert world.get_state("j") is JobState.COMPLETE
    assert len(world.done) == occurrences


def test_open_steps_are_shared_by_many_jobs():
    """Many jobs with overdue occurrences hold no more steps than a few of them."""
    world = make_world()
    jobs = MAX_OPEN_STEPS // MAX_OPEN_STEPS_PER_JOB * 4
    for number in range(jobs):
        repeat = Repeat(A_YEAR, 0.0, 0.001)
        # No upstream has the label, so that none of them is ever done.
        step = make_step(1, label="none")
        world.dispatcher.submit(make_job(f"j{number}", step, repeat=repeat), now=100.0)
    world.dispatcher.tick(world.now, 1e6)
    opened = [len(job.steps) for job in world.dispatcher.jobs.values()]
    assert sum(opened) <= MAX_OPEN_STEPS
    assert min(opened) > 0
    # A further job with a single occurrence still runs.
    world.submit(make_job("late", make_step(1), repeat=Repeat(1, world.now, 1.0)))
    world.run(3.0)
    assert world.get_state("late") is JobState.COMPLETE


def test_occurrence_that_is_not_due_here_runs_on_where_it_was_started():
    """The successor's clock may be behind that of the VM that started a task."""
    world = make_world()
    job = make_job("j", make_step(2), repeat=Repeat(3, 100.5, 1000.0))
    world.jobs["j"] = job
    world.take_over()
    running = TaskId("j", 0, 0, 1)
    report = UpstreamReport(1, 100.0, 100.0, [RunningRun(running, 1)])
    world.dispatcher.process_report("a", report, 100.0)
    orders = world.dispatcher.tick(100.1, 100.1)
    assert not orders.starts
    assert not orders.stops
    (start,) = world.dispatcher.tick(100.6, 100.6).starts
    assert start.task == TaskId("j", 0, 0, 0)


def test_late_end_of_an_occurrence_that_is_done_changes_nothing():
    """Tasks of done occurrences are not started again for an end that comes late."""
    world = make_world()
    world.submit(make_job("j", make_step(1), repeat=Repeat(2, world.now, 1000.0)))
    world.run(3.0)
    assert world.dispatcher.jobs["j"].steps == {}
    running = RunningRun(TaskId("j", 0, 0, 0), 7)
    report = UpstreamReport(1, world.now, world.now, [running])
    world.dispatcher.process_report("a", report, world.now)
    orders = world.dispatcher.tick(world.now + 0.1, world.now + 0.1)
    assert [stop.task for stop in orders.stops] == [running.task]
    assert not orders.starts


def test_failed_occurrence_ends_a_repeated_job():
    world = make_world()
    world.submit(make_job("j", make_step(1), repeat=Repeat(50, world.now, 0.5)))
    world.run(6.0, end=RunEnd.FAILED, after_s=0.3)
    assert world.get_state("j") is JobState.FAILED
    assert not world.dispatcher.jobs["j"].steps


@pytest.mark.parametrize(
    ("repeat", "step", "message"),
    [
        (Repeat(2, 0.0, -1.0), make_step(1), "interval"),
        (
            Repeat(MAX_OPEN_STEPS_PER_JOB + 1, 0.0, 1.0),
            make_step(1, is_long_running=True),
            "at most 1000 occurrences",
        ),
    ],
)
def test_repeated_job_that_cannot_be_held_is_refused(repeat, step, message):
    """What a VM could not hold must be refused before it is accepted."""
    with pytest.raises(SpecError, match=message):
        check_job_spec(make_job("j", step, repeat=repeat))


def test_memory_of_jobs_that_have_ended_is_free_again():
    """Jobs would be refused for good if the memory of earlier ones still counted."""
    world = make_world(status_kept_s=1.0)
    dispatcher = world.dispatcher
    world.submit(make_job("done", make_step(2), make_step(1, after=(0,))))
    world.submit(make_job("cancelled", repeat=Repeat(9, world.now, 1.0)))
    world.submit(make_job("failed", make_step(1)))
    assert dispatcher.held_bytes > 3 * JOB_BYTES
    world.run(0.2)
    world.cancel("cancelled")
    name, task, _ = next(run for run in world.running() if run[1].job_id == "failed")
    world.end(world.upstreams[name], task, RunEnd.FAILED)
    world.run(5.0)
    assert dispatcher.held_bytes < 3 * JOB_BYTES
    dispatcher.remove_expired_jobs(1e9)
    assert dispatcher.held_bytes == 0


@pytest.mark.parametrize("steps", [1, 100])
def test_estimated_memory_of_a_job_is_not_too_low(steps):
    """The bound of what is accepted relies on it."""
    dispatcher = make_world().dispatcher

    def submit():
        for number in range(200):
            spec = make_job(f"j{number}", *(make_step(1) for _ in range(steps)))
            dispatcher.submit(spec, now=100.0)

    used, _ = measure_bytes(submit)
    assert used < dispatcher.held_bytes < 2 * used
