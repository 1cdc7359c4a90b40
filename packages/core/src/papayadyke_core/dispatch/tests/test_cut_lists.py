"""Lists of ends that are cut short: a run in none of the lists may have ended."""

import pytest

from papayadyke_core.dispatch import JobState, RunEnd
from papayadyke_core.dispatch.tests.dispatch_world import (
    World,
    make_catalog,
    make_entry,
    make_job,
    make_step,
)

LISTED = 5  # ends that an upstream lists at a time
TASKS = 23


def make_world(upstreams=1, **settings):
    entries = [make_entry(f"u{n}", cores=64) for n in range(upstreams)]
    world = World(make_catalog(max_attempts=3), *entries, **settings)
    for upstream in world.upstreams.values():
        upstream.max_listed_ends = LISTED
    return world


def end_all(world, run_end=RunEnd.DONE):
    for name, task, _ in world.running():
        world.end(world.upstreams[name], task, run_end)


def test_ends_behind_a_full_list_are_not_taken_for_lost_runs():
    """Tasks ran twice if more ends than are listed waited for the store."""
    world = make_world()
    world.submit(make_job("j", make_step(TASKS)))
    world.run(0.2)
    world.is_store_down = True
    end_all(world)
    world.run(5.0)
    assert world.starts == TASKS
    assert not world.dispatcher.take_lost_runs()
    world.is_store_down = False
    world.run(3.0)
    assert world.get_state("j") is JobState.COMPLETE
    assert world.starts == TASKS


@pytest.mark.parametrize("outage_s", [0.0, 20.0])
@pytest.mark.parametrize("step", [make_step(TASKS), make_step(TASKS, is_gang=True)])
def test_successor_waits_for_all_ends_before_it_starts_a_task(step, outage_s):
    """A successor started the tasks whose ends were behind the first ones listed.

    That holds as long as the upstream is in contact, however long the store is away.
    """
    world = make_world(upstreams=2)
    world.submit(make_job("other", make_step(TASKS)))
    world.submit(make_job("j", step, make_step(3, after=(0,))))
    world.run(0.2)
    # No end has reached the store when the next decider begins.
    world.is_store_down = True
    end_all(world)
    world.run(1.0)
    started = world.starts
    world.take_over()
    world.run(outage_s)
    assert world.starts == started
    world.is_store_down = False
    world.run(10.0)
    assert world.get_state("j") is JobState.COMPLETE
    assert world.get_state("other") is JobState.COMPLETE
    assert world.starts == 2 * TASKS + 3


def test_new_jobs_start_while_a_successor_waits_for_ends():
    """Only jobs that an earlier decider may have started have to wait."""
    world = make_world(upstreams=2)
    world.submit(make_job("j", make_step(TASKS)))
    world.run(0.2)
    world.is_store_down = True
    for name, task, _ in world.running():
        world.end(world.upstreams[name], task, RunEnd.DONE)
    world.upstreams["u1"].ended.clear()
    world.take_over()
    world.run(0.2)
    started = world.starts
    world.submit(make_job("new", make_step(2)))
    world.run(1.0)
    assert world.starts == started + 2


def test_successor_goes_on_if_an_upstream_with_unlisted_ends_is_lost():
    """Waiting for the ends of an upstream that is gone must not hold jobs for good."""
    world = make_world(upstreams=2)
    world.submit(make_job("j", make_step(2 * TASKS)))
    world.run(0.2)
    name = max(world.upstreams, key=lambda n: len(world.upstreams[n].running))
    lost = world.upstreams[name]
    world.is_store_down = True
    for task in list(lost.running)[: 2 * LISTED]:
        world.end(lost, task, RunEnd.STOPPED)
    world.take_over()
    world.run(0.2)
    world.is_store_down = False
    lost.is_disconnected = True
    # All of its runs lapse, so that they may start elsewhere.
    world.run(10.0, after_s=100.0)
    world.run(10.0)
    assert world.get_state("j") is JobState.COMPLETE


def test_start_without_an_answer_is_not_lost_behind_a_full_list():
    """The run may have begun and ended, and its end be listed later."""
    world = make_world()
    world.submit(make_job("j", make_step(LISTED + 2)))
    world.run(0.2)
    world.is_store_down = True
    end_all(world)
    world.next_start_fault = "answer"
    world.submit(make_job("k", make_step(1)))
    world.step()
    (run,) = [r for r in world.running() if r[1].job_id == "k"]
    world.end(world.upstreams[run[0]], run[1], RunEnd.DONE)
    world.run(4.0)
    assert world.starts == LISTED + 3
    world.is_store_down = False
    world.run(3.0)
    assert world.get_state("k") is JobState.COMPLETE
    assert world.starts == LISTED + 3


def test_room_of_a_run_behind_a_full_list_is_not_given_away():
    """Capacity is free only once the end that frees it is listed."""
    world = make_world()
    world.submit(make_job("j", make_step(64)))
    world.run(0.2)
    world.is_store_down = True
    for name, task, _ in world.running()[: 2 * LISTED]:
        world.end(world.upstreams[name], task, RunEnd.DONE)
    world.step()
    world.submit(make_job("k", make_step(64)))
    world.run(1.0, after_s=100.0)
    # Five ends are listed, and those behind them are not.
    assert world.starts == 64 + LISTED


def test_cancelled_job_is_stopped_behind_a_full_list():
    world = make_world()
    world.submit(make_job("j", make_step(TASKS)))
    world.run(0.2)
    world.is_store_down = True
    for name, task, _ in world.running()[: 2 * LISTED]:
        world.end(world.upstreams[name], task, RunEnd.STOPPED)
    world.cancel("j")
    world.run(2.0, after_s=100.0)
    assert not world.running()
