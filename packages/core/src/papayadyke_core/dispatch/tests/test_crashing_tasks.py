"""Tasks that crash each upstream that starts them, and the tasks beside them.

BUDGET: a task may not crash one upstream after the other without end. Neighbours of
such a task, and tasks on upstreams that lose power, must be done all the same.
"""

import random

import dispatch_world
import pytest
from dispatch_world import (
    World,
    make_catalog,
    make_entry,
    make_job,
    make_step,
    read_stored_progress,
)

from papayadyke_core.dispatch import (
    Dispatcher,
    DispatchSettings,
    JobState,
    StartOutcome,
    TaskId,
    UpstreamReport,
)

NAMES = tuple(f"u{number}" for number in range(6))
DEADLY = TaskId("deadly", 0, 0, 0)


@pytest.fixture(params=[False, True], ids=["same_id", "new_id"])
def make_world(request):
    """Return a function that makes a world; crashed upstreams are back in two ways."""

    def make(*, names=NAMES):
        world = World(make_catalog(), *(make_entry(name) for name in names))
        world.renames_crashed = request.param
        return world

    return make


def submit_deadly_job(world, *, count=1, deadly=(0,), **changes):
    """Submit a job some of whose tasks crash their upstreams."""
    world.deadly |= {DEADLY._replace(number=number) for number in deadly}
    world.submit(make_job("deadly", make_step(count, **changes)))


# One request crashed upstream after upstream, and its job never ended.
def test_task_that_crashes_its_upstreams_is_given_up(make_world):
    world = make_world()
    submit_deadly_job(world)
    world.run(60.0)
    assert world.get_state("deadly") is JobState.FAILED
    assert world.crashes[DEADLY] <= 3


# Each takeover forgot the crashes that earlier deciders had seen.
@pytest.mark.parametrize("period_s", [1.0, 3.0, 7.0])
def test_crashes_count_across_takeovers(make_world, period_s):
    world = make_world()
    submit_deadly_job(world)
    for _ in range(int(60.0 / period_s)):
        world.run(period_s)
        world.take_over()
    world.run(30.0)
    assert world.get_state("deadly") is JobState.FAILED


# A decider that ended before it noticed a crash left its successor without any trace of
# the run: a task crashed five upstreams and more.
@pytest.mark.parametrize("seed", range(8))
def test_crashes_that_no_decider_sees_count(make_world, seed):
    world = make_world()
    world.detection_s = 1.6
    world.rng = random.Random(seed)
    submit_deadly_job(world)
    names = submit_neighbours(world, 3)
    for _ in range(30):
        world.run(world.rng.uniform(2.0, 6.0))
        world.take_over()
    world.run(30.0)
    assert world.get_state("deadly") is JobState.FAILED
    assert world.crashes[DEADLY] <= 4
    assert_all_complete(world, names)


def test_run_that_a_successor_finds_is_not_in_doubt(make_world):
    """Failure: a healthy upstream counts as one that may have crashed."""
    world = make_world()
    submit_neighbours(world, 1)
    world.take_over()
    world.run(10.0, after_s=100.0)
    assert len(world.running()) == 1
    stored = read_stored_progress(world, "n0").steps["0.0"]
    assert [run.upstream_id for run in stored.runs.values()] == [world.running()[0][0]]
    world.take_over()
    world.run(0.2, after_s=100.0)
    step = world.dispatcher.jobs["n0"].steps[0, 0]
    assert not step.suspects
    # A run that lasts clears its task, also in the store.
    world.run(31.0, after_s=100.0)
    assert "0.0" not in read_stored_progress(world, "n0").steps


# Neighbours


def submit_neighbours(world, jobs, **changes):
    names = [f"n{number}" for number in range(jobs)]
    for name in names:
        world.submit(make_job(name, make_step(1, **changes)))
    return names


def assert_all_complete(world, names):
    states = {name: world.get_state(name) for name in names}
    assert set(states.values()) == {JobState.COMPLETE}, states


# A deadly task took the jobs beside it down with it.
@pytest.mark.parametrize("neighbours", [3, 12, 40])
def test_neighbours_of_a_crashing_task_complete(make_world, neighbours):
    world = make_world()
    submit_deadly_job(world)
    names = submit_neighbours(world, neighbours)
    world.run(60.0)
    assert_all_complete(world, names)
    assert world.get_state("deadly") is JobState.FAILED


# Deadly jobs in numbers crashed the whole fleet, and nothing else was done.
@pytest.mark.parametrize("period_s", [0.0, 5.0])
def test_flood_of_crashing_jobs_ends_and_spares_the_others(make_world, period_s):
    world = make_world()
    names = []
    for number in range(8):
        name = f"d{number}"
        world.deadly |= {TaskId(name, 0, 0, index) for index in range(3)}
        world.submit(make_job(name, make_step(3)))
        world.submit(make_job(f"n{number}"))
        names.append(f"n{number}")
        world.run(0.5)
    for _ in range(24):
        world.run(5.0)
        if period_s:
            world.take_over()
    world.run(30.0)
    states = {world.get_state(f"d{number}") for number in range(8)}
    assert states == {JobState.FAILED}
    assert_all_complete(world, names)


# The gang beside a deadly task, and the other members of its own, were blamed for it.
def test_members_of_a_gang_are_not_blamed_for_a_neighbour(make_world):
    world = make_world()
    submit_deadly_job(world)
    world.submit(make_job("gang", make_step(6, is_gang=True)))
    world.run(60.0)
    assert_all_complete(world, ["gang"])
    assert world.get_state("deadly") is JobState.FAILED


def test_gang_with_a_crashing_member_is_given_up(make_world):
    world = make_world()
    submit_deadly_job(world, count=6, is_gang=True)
    world.run(60.0)
    assert world.get_state("deadly") is JobState.FAILED


# Crashes without a deadly task


# Power that fails twice took the jobs of the rack for deadly ones.
@pytest.mark.parametrize("share", [2, 3, 6])
def test_power_losses_fail_no_job(make_world, share):
    world = make_world()
    names = submit_neighbours(world, 18)
    for begin in (0, 6 - share):
        world.run(0.5)
        for name in list(world.upstreams)[begin : begin + share]:
            world.crash_for(name, 2.0)
        world.run(2.2)
    world.run(40.0)
    assert_all_complete(world, names)


# A machine that was only silent had its work given up.
def test_silent_upstreams_fail_no_job(make_world):
    world = make_world(names=NAMES[:2])
    names = submit_neighbours(world, 4)
    for _ in range(6):
        for upstream in world.upstreams.values():
            upstream.is_disconnected = True
        world.run(8.0, after_s=100.0)
        for upstream in world.upstreams.values():
            upstream.is_disconnected = False
        world.run(1.0, after_s=100.0)
    world.run(30.0)
    assert_all_complete(world, names)


def test_lasting_task_is_not_given_up_for_crashes_long_after_its_starts(make_world):
    world = make_world()
    task = TaskId("lasting", 0, 0, 0)
    world.submit(make_job("lasting", make_step(1, is_long_running=True)))
    for _ in range(6):
        world.run(40.0)
        ((name, _, _),) = world.running()
        world.crash_for(name, 2.0)
    world.run(12.0)
    assert [row[1] for row in world.running()] == [task]


def test_lasting_task_that_crashes_its_upstreams_is_given_up(make_world):
    world = make_world()
    submit_deadly_job(world, is_long_running=True)
    world.run(60.0)
    assert world.get_state("deadly") is JobState.FAILED


# What is seen of a crash


# A crash that was seen only after the lease had lapsed counted against nobody.
def test_crash_that_is_seen_late_counts(make_world, monkeypatch):
    monkeypatch.setattr(dispatch_world, "DOWN_S", (8.0, 12.0))
    world = make_world()
    submit_deadly_job(world)
    world.run(120.0)
    assert world.get_state("deadly") is JobState.FAILED


# Starts that the crash left without an answer counted against nobody.
@pytest.mark.parametrize("takes_over", [False, True])
def test_unanswered_starts_count(make_world, takes_over):
    world = make_world()
    submit_deadly_job(world)
    for _ in range(400):
        world.next_start_fault = "answer"
        world.step(0.1)
        if takes_over and all(
            upstream.has_reported for upstream in world.dispatcher.upstreams.values()
        ):
            takes_over = world.crashes[DEADLY] < 2
            world.take_over()
    assert world.get_state("deadly") is JobState.FAILED


# A successor did not know which runs an upstream had when contact was lost.
def test_successor_counts_the_crash_of_a_doubted_run(make_world):
    world = make_world()
    submit_deadly_job(world)
    world.run(0.5)
    world.take_over()
    world.run(6.0)
    progress = read_stored_progress(world, "deadly")
    step = progress.steps["0.0"]
    assert len(step.crashes.get(0, ())) + len(step.doubts.get(0, ())) >= 1
    world.run(30.0)
    assert world.get_state("deadly") is JobState.FAILED
    assert world.crashes[DEADLY] <= 4


def test_second_start_after_crashes_waits_until_they_are_stored(make_world):
    world = make_world()
    submit_deadly_job(world)
    while world.crashes[DEADLY] < 2:
        world.run(0.1)
    world.is_store_down = True
    world.dispatcher._schedule.commits.is_store_failing = False
    world.run(0.2)
    assert world.crashes[DEADLY] == 2


# The answer to a start that came after contact was lost left its run out of the count.
def test_start_that_is_answered_after_the_crash_counts():
    dispatcher = Dispatcher(DispatchSettings(lease_s=5.0))
    dispatcher.set_catalog(make_catalog())
    dispatcher.add_or_update_upstream(make_entry("a"))
    dispatcher.process_report("a", UpstreamReport(1, 0.0, 0.0), 0.0)
    dispatcher.submit(make_job("deadly"), now=0.0)
    (order,) = dispatcher.tick(0.1, 0.1).starts
    dispatcher.mark_unreachable("a", 0.2)
    dispatcher.process_start_outcome(order, StartOutcome.STARTED, 0.2)
    dispatcher.tick(9.0, 9.0)
    dispatcher.process_report("a", UpstreamReport(2, 10.0, 10.0), 10.0)
    (crash,) = dispatcher.take_task_crashes()
    assert (crash.task, crash.crashes) == (DEADLY, 1)


# A task with two crashes waited for good where no upstream is ever idle.
@pytest.mark.parametrize("beside", ["lasting", "stream"])
def test_task_with_two_crashes_starts_although_no_upstream_is_idle(make_world, beside):
    world = make_world()
    if beside == "lasting":
        lasting = make_step(6, is_long_running=True, max_per_upstream=1)
        world.submit(make_job("lasting", lasting))
        world.run(0.5)
    world.submit(make_job("n"))
    for _ in range(2):
        while not any(task.job_id == "n" for _, task, _ in world.running()):
            world.run(0.1, after_s=2.0)
        (name,) = {row[0] for row in world.running() if row[1].job_id == "n"}
        # Another upstream is lost at the same time, so the task is not to blame.
        other = next(other for other in world.upstreams if other != name)
        for lost in (name, other):
            world.crash_for(lost, 2.0)
    for number in range(400):
        if beside == "stream":
            world.submit(make_job(f"s{number}", make_step(1, estimate_s=5.0)))
        world.run(0.1, after_s=2.0)
    assert world.get_state("n") is JobState.COMPLETE


# Tasks of one job that crash several upstreams at once were excused by each other's
# crashes, and crashed as many again.
@pytest.mark.parametrize("is_gang", [True, False])
def test_job_that_crashes_several_upstreams_at_once_is_given_up_at_the_second(
    make_world, is_gang
):
    world = make_world()
    tasks = range(3)
    step = {"count": 3, "deadly": tasks, "is_gang": is_gang, "cpu_millis": 4000}
    submit_deadly_job(world, **step)
    world.run(60.0)
    assert world.get_state("deadly") is JobState.FAILED
    assert max(world.crashes.values()) == 2
