"""What delayed a job is recorded by cause, so that a late end can be explained."""

import pytest
from dispatch_world import World, make_catalog, make_entry, make_job, make_step

from papayadyke_core.dispatch import (
    AdvicePolicy,
    DelayCause,
    JobDelays,
    JobState,
    RunEnd,
)

_X = 1.2


def get_delays(world, job_id):
    return world.dispatcher.jobs[job_id].delays


def test_delays_are_listed_with_the_largest_first_and_negative_ones_ignored():
    delays = JobDelays()
    delays.add(DelayCause.ROOM, 0.5)
    delays.add(DelayCause.STORE, 2.0)
    delays.add(DelayCause.LONG_RUN, -1.0)
    delays.add(DelayCause.TICKET, 0.0001)
    assert list(delays.list_seconds()) == [DelayCause.STORE, DelayCause.ROOM]


def test_job_on_a_full_fleet_waits_for_room():
    world = World(make_catalog(), make_entry("a", cores=1))
    world.submit(make_job("first", make_step(estimate_s=2.0)))
    world.run(0.2)
    world.submit(make_job("second"))
    world.run(8.0, after_s=2.0)
    assert world.get_state("second") is JobState.COMPLETE
    room_s = get_delays(world, "second").get(DelayCause.ROOM)
    assert room_s == pytest.approx(1.9, abs=0.3)
    assert not get_delays(world, "first").get(DelayCause.ROOM)


def test_job_whose_queue_asks_for_advice_waits_for_a_ticket():
    world = World(make_catalog(advice=AdvicePolicy(0.1, 0.0, 2.0)), make_entry("a"))
    world.step()
    world.submit(make_job("j"))
    world.dispatcher.advice_slots = 0
    world.run(1.0)
    world.dispatcher.advice_slots = 1
    world.run(3.0)
    assert get_delays(world, "j").get(DelayCause.TICKET) == pytest.approx(1.0, abs=0.2)


def test_failed_run_counts_as_lost_time():
    world = World(make_catalog(), make_entry("a"), make_entry("b"))
    world.submit(make_job("j"))
    world.run(0.9, end=RunEnd.FAILED, after_s=0.5)
    world.run(3.0)
    assert world.get_state("j") is JobState.COMPLETE
    lost_s = get_delays(world, "j").get(DelayCause.LOST_RUN)
    assert lost_s == pytest.approx(0.55, abs=0.2)


def test_wait_for_the_leases_of_a_silent_upstream_counts_as_a_takeover():
    """An upstream that is silent keeps the decider from knowing all earlier runs."""
    world = World(make_catalog(), make_entry("a"), make_entry("b"))
    world.step()
    world.upstreams["b"].is_disconnected = True
    world.take_over()
    world.submit(make_job("j"), may_have_started=True)
    settings = world.dispatcher.settings
    barrier_s = settings.handover_s + settings.longest_late_hold_s
    world.run(barrier_s + 2.0)
    waited_s = get_delays(world, "j").get(DelayCause.TAKEOVER)
    assert waited_s == pytest.approx(barrier_s, abs=0.2)


def test_objective_is_known_when_a_job_ends():
    world = World(make_catalog(), make_entry("a"))
    world.submit(make_job("j"))
    world.run(3.0)
    job = world.dispatcher.jobs["j"]
    assert job.finished_at_s is not None
    assert job.objective_s == pytest.approx(2.0 * 1.0 + 1.0, rel=0.3)
