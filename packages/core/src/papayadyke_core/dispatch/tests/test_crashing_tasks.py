"""Tasks that crash each upstream that starts them, and the tasks beside them.

BUDGET: a task may not crash one upstream after the other without end. Neighbours of
such a task, and tasks on upstreams that lose power, must be done all the same.
"""

import pytest
from dispatch_world import World, make_catalog, make_entry, make_job, make_step

from papayadyke_core.dispatch import JobState, TaskId

NAMES = tuple(f"u{number}" for number in range(6))
DEADLY = TaskId("deadly", 0, 0, 0)


def make_world(*, names=NAMES):
    return World(make_catalog(), *(make_entry(name) for name in names))


def submit_deadly_job(world, *, count=1, deadly=(0,), **changes):
    """Submit a job some of whose tasks crash their upstreams."""
    world.deadly |= {DEADLY._replace(number=number) for number in deadly}
    world.submit(make_job("deadly", make_step(count, **changes)))


# One request crashed upstream after upstream, and its job never ended.
def test_task_that_crashes_its_upstreams_is_given_up():
    world = make_world()
    submit_deadly_job(world)
    world.run(60.0)
    assert world.get_state("deadly") is JobState.FAILED
    assert world.crashes[DEADLY] <= 3


# Each takeover forgot the crashes that earlier deciders had seen.
@pytest.mark.parametrize("period_s", [1.0, 3.0, 7.0])
def test_crashes_count_across_takeovers(period_s):
    world = make_world()
    submit_deadly_job(world)
    for _ in range(int(60.0 / period_s)):
        world.run(period_s)
        world.take_over()
    world.run(30.0)
    assert world.get_state("deadly") is JobState.FAILED
