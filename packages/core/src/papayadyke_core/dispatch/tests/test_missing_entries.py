"""A configuration that lacks a queue, a team or a limit decides nothing final."""

from dataclasses import replace

import pytest

from papayadyke_core.dispatch import JobState, Repeat, RunEnd
from papayadyke_core.dispatch.tests.dispatch_world import (
    QUEUE,
    World,
    make_catalog,
    make_entry,
    make_job,
    make_step,
)

ATTEMPTS = 3


def make_world(**policy):
    catalog = make_catalog(max_attempts=ATTEMPTS, **policy)
    return World(catalog, *(make_entry(f"u{n}") for n in range(4)))


def configure(world, **changes):
    """Put the next version of the configuration in force."""
    changes = {"version": world.catalog.version + 1, **changes}
    world.catalog = replace(world.catalog, **changes)
    world.dispatcher.set_catalog(world.catalog)


def remove_queue(world):
    """Remove the queue; return what puts it back."""
    queues = world.catalog.queues
    configure(world, queues={})
    return lambda: configure(world, queues=queues)


def forget_attempts(world):
    """Remove the number of attempts from the queue; return what puts it back."""
    queues = world.catalog.queues
    unknown = {name: replace(q, max_attempts=0) for name, q in queues.items()}
    configure(world, queues=unknown)
    return lambda: configure(world, queues=queues)


def fail_all(world):
    for name, task, _ in world.running():
        world.end(world.upstreams[name], task, RunEnd.FAILED)


@pytest.mark.parametrize("remove", [remove_queue, forget_attempts])
@pytest.mark.parametrize("takes_over", [False, True])
@pytest.mark.parametrize("is_gang", [False, True])
def test_job_that_fails_while_its_queue_is_missing_is_tried_again(
    remove, takes_over, is_gang
):
    """A job was given up after one of three attempts when its route was away."""
    world = make_world()
    world.submit(make_job("j", make_step(2, is_gang=is_gang)))
    world.run(0.3)
    put_back = remove(world)
    fail_all(world)
    # Nothing starts, as the attempts that are left are not known.
    world.run(1.0)
    assert world.get_state("j") is JobState.ACTIVE
    assert not world.running()
    if takes_over:
        world.take_over()
        world.run(1.0)
    put_back()
    world.run(8.0)
    assert world.get_state("j") is JobState.COMPLETE


@pytest.mark.parametrize("takes_over", [False, True])
def test_attempts_that_failed_while_the_queue_was_missing_count(takes_over):
    """Otherwise a task would start after all of its attempts have failed."""
    world = make_world()
    world.submit(make_job("j", make_step(1)))
    for _ in range(ATTEMPTS - 1):
        world.run(0.3)
        fail_all(world)
    world.run(0.3)
    assert world.starts == ATTEMPTS
    put_back = remove_queue(world)
    fail_all(world)
    world.run(0.5)
    assert world.get_state("j") is JobState.ACTIVE
    if takes_over:
        world.take_over()
        world.run(0.5)
    put_back()
    world.run(8.0)
    assert world.get_state("j") is JobState.FAILED
    assert world.starts == ATTEMPTS


def test_lower_number_of_attempts_holds_for_earlier_failures():
    """A task must not start after as many failures as the configuration allows."""
    world = make_world()
    world.submit(make_job("j", make_step(1)))
    world.run(0.3)
    fail_all(world)
    queue = replace(world.catalog.queues[QUEUE], max_attempts=1)
    configure(world, queues={QUEUE: queue})
    world.run(1.0)
    assert world.get_state("j") is JobState.FAILED
    assert world.starts == 1


def test_tasks_without_failures_start_if_the_number_of_attempts_is_missing():
    world = make_world()
    forget_attempts(world)
    world.submit(make_job("j", make_step(2)))
    world.run(3.0)
    assert world.get_state("j") is JobState.COMPLETE


def test_repeated_job_outlasts_a_version_without_its_queue():
    world = make_world()
    world.submit(make_job("j", make_step(1), repeat=Repeat(4, world.now, 1.0)))
    world.run(0.3)
    put_back = remove_queue(world)
    fail_all(world)
    world.run(2.0)
    world.take_over()
    put_back()
    world.run(15.0)
    assert world.get_state("j") is JobState.COMPLETE


@pytest.mark.parametrize("teams", [None, {}])
@pytest.mark.parametrize("takes_over", [False, True])
def test_jobs_of_a_team_that_is_missing_wait_for_its_limit(teams, takes_over):
    """A team that a version did not name could run without any limit."""
    world = make_world(limits={"red": 2})
    world.submit(make_job("j", make_step(8), team="red"))
    world.run(0.3)
    started = world.starts
    known = world.catalog.teams
    configure(world, teams=teams)
    if takes_over:
        world.take_over()
    world.run(2.0, after_s=100.0)
    assert world.starts == started
    configure(world, teams=known)
    world.run(12.0)
    assert world.get_state("j") is JobState.COMPLETE


def test_jobs_without_a_team_start_if_no_team_is_configured():
    world = make_world()
    configure(world, teams=None)
    world.submit(make_job("j", make_step(2)))
    world.run(3.0)
    assert world.get_state("j") is JobState.COMPLETE
