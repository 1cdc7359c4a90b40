"""Gangs of an urgent queue take the room of work that can wait and resumes."""

import pytest
from dispatch_world import (
    URGENT_QUEUE,
    World,
    make_catalog,
    make_entry,
    make_job,
    make_step,
)

from papayadyke_core.dispatch import (
    Advice,
    AdvicePolicy,
    JobState,
    RunEnd,
)

# Seconds; the filler has four times its run time and a second more.
STRETCH, FILLER_S = 4.0, 5.0
GANG_STARTS_S = 0.8  # seconds in which the runs are stopped and their ends read


def make_world(*, filler=None, stretch=STRETCH, **settings):
    """Return two upstreams of four cores that a job of less urgent work fills."""
    world = World(
        make_catalog(priority=1, stretch=stretch),
        make_entry("a"),
        make_entry("b"),
        **settings,
    )
    world.run(0.2)
    world.submit(make_job("filler", filler or make_filler()))
    world.run(1.0, after_s=FILLER_S)
    assert len(world.running()) == 8
    return world


def make_filler(**changes):
    values = {"estimate_s": FILLER_S, "is_checkpointing": True, **changes}
    return make_step(8, **values)


def submit_gang(world, *, count=4, queue=URGENT_QUEUE, **changes):
    gang = make_step(count, is_gang=True, estimate_s=1.0, **changes)
    world.submit(make_job("gang", gang, queue=queue))


def list_running(world, job_id):
    return [task for _, task, _ in world.running() if task.job_id == job_id]


def test_urgent_gang_does_not_wait_for_a_fleet_full_of_patient_work():
    """Pattern: a fleet full of patient work that saves checkpoints, and one gang.

    The gang waited until as many long runs as it needs had ended on the few upstreams
    that it may use (rejas-rionegro-grown trouble-2, 10 to 30 s for an objective of 12).
    """
    world = make_world()
    submit_gang(world)
    world.run(GANG_STARTS_S, after_s=FILLER_S)
    assert len(list_running(world, "gang")) == 4
    assert len(list_running(world, "filler")) == 4
    world.run(3 * FILLER_S, after_s=FILLER_S)
    assert world.get_state("filler") is JobState.COMPLETE


def test_without_the_setting_the_gang_waits():
    world = make_world(preempts=False)
    submit_gang(world)
    world.run(GANG_STARTS_S, after_s=FILLER_S)
    assert not list_running(world, "gang")


@pytest.mark.parametrize(
    "filler",
    [make_filler(is_checkpointing=False), make_filler(is_long_running=True)],
    ids=["without checkpoints", "lasting"],
)
def test_work_that_cannot_resume_goes_on(filler):
    world = make_world(filler=filler)
    submit_gang(world)
    world.run(GANG_STARTS_S, after_s=FILLER_S)
    assert len(list_running(world, "filler")) == 8


def test_work_of_the_same_priority_goes_on():
    world = make_world()
    world.submit(make_job("gang", make_step(4, is_gang=True)))
    world.run(GANG_STARTS_S, after_s=FILLER_S)
    assert len(list_running(world, "filler")) == 8


def test_work_without_slack_goes_on():
    """A job that would be late after the stop is not delayed for another one."""
    world = make_world(stretch=1.2)
    submit_gang(world)
    world.run(GANG_STARTS_S, after_s=FILLER_S)
    assert len(list_running(world, "filler")) == 8


def test_gang_that_is_too_large_stops_nothing():
    """Stopping a part of what it needs would cost work and start nothing."""
    world = make_world(filler=make_filler(is_checkpointing=False))
    world.submit(make_job("other", make_step(2, is_checkpointing=True)))
    submit_gang(world, count=9)
    world.run(GANG_STARTS_S, after_s=FILLER_S)
    assert len(list_running(world, "filler")) == 8


def test_only_as_much_is_stopped_as_the_gang_needs():
    world = make_world(filler=make_filler(cpu_millis=1000))
    submit_gang(world, count=2)
    world.run(GANG_STARTS_S, after_s=FILLER_S)
    assert len(list_running(world, "gang")) == 2
    assert len(list_running(world, "filler")) == 6


def test_room_that_is_being_made_is_kept_for_the_gang():
    """Pattern: checks arrive all the time; each took room that a gang waited for."""
    world = make_world()
    submit_gang(world)
    # The stops are ordered, and their ends are not read yet.
    world.step()
    for number in range(4):
        world.submit(make_job(f"check{number}", make_step(), queue=URGENT_QUEUE))
    world.run(GANG_STARTS_S, after_s=FILLER_S)
    assert len(list_running(world, "gang")) == 4
    assert not list_running(world, "check0")


def test_room_beside_a_gang_that_has_started_is_free():
    world = make_world()
    submit_gang(world, count=2, cpu_millis=1750)
    while not list_running(world, "gang"):
        world.step()
    check = make_step(cpu_millis=500)
    world.submit(make_job("check", check, queue=URGENT_QUEUE))
    world.step()
    assert list_running(world, "check")


def test_room_is_free_for_others_if_the_gang_is_cancelled():
    world = make_world()
    submit_gang(world)
    world.step()
    world.cancel("gang")
    world.run(2 * GANG_STARTS_S, after_s=FILLER_S)
    assert len(list_running(world, "filler")) == 8


def test_stopped_work_resumes_from_its_checkpoint():
    world = make_world()
    submit_gang(world)
    starts = []
    execute = world._execute_orders

    def record(orders):
        starts.extend(orders.starts)
        execute(orders)

    world._execute_orders = record
    world.run(3.0)
    resumed = [s.checkpoint for s in starts if s.task.job_id == "filler"]
    assert resumed
    assert all(resumed)


def test_nothing_is_stopped_for_tickets_that_expire_before_the_gang_starts():
    """A ticket that has expired when the room is there would make the stop useless."""
    advice = AdvicePolicy(0.05, 0.0, 1.0)
    world = World(
        make_catalog(priority=1, stretch=STRETCH, advice=advice), make_entry("a")
    )
    world.run(0.2)
    world.submit(make_job("filler", make_step(4, is_checkpointing=True)))
    world.run(1.0, after_s=FILLER_S)
    dispatcher = world.dispatcher
    submit_gang(world, count=2)
    orders = dispatcher.tick(world.now, world.now)
    (request,) = orders.advice
    tickets = dict.fromkeys(request.upstream_ids, "ticket")
    valid_s = 0.5
    dispatcher.process_advice(
        Advice(request.step, request.upstream_ids, tickets, valid_s, world.now)
    )
    assert not dispatcher.tick(world.now + 0.01, world.now).stops


def test_time_until_the_stop_is_no_lost_run():
    """The delays of a job name what cost it time; a saved run did not."""
    world = make_world()
    submit_gang(world)
    world.run(GANG_STARTS_S, after_s=FILLER_S)
    delays = world.dispatcher.jobs["filler"].delays.list_seconds()
    assert "lost_run" not in delays


def test_run_that_ends_while_it_is_stopped_counts():
    """A task that is done when its stop arrives is not started again."""
    world = make_world()
    submit_gang(world)
    orders = world.dispatcher.tick(world.now + 0.05, world.now)
    stopped = orders.stops[0]
    world.end(world.upstreams[stopped.upstream_id], stopped.task, RunEnd.DONE)
    world._execute_orders(orders)
    world.run(3 * FILLER_S)
    assert world.get_state("filler") is JobState.COMPLETE
