"""Limits of teams while they change, for large gangs and across takeovers."""

from dataclasses import replace

import pytest
from dispatch_world import World, make_catalog, make_entry, make_job, make_step

from papayadyke_core.dispatch import JobState
from papayadyke_core.dispatch._progress import LostContact

LIMITS = {"a": 4, "b": 0}


def make_world(*, upstreams=2, cores=4, limits=LIMITS):
    names = [f"u{number}" for number in range(upstreams)]
    entries = [make_entry(name, cores=cores) for name in names]
    return World(make_catalog(limits=limits), *entries)


def submit(world, name, *steps, team="a"):
    world.submit(make_job(name, *steps, team=team))


def test_team_at_its_limit_leaves_the_rest_to_others():
    world = make_world()
    submit(world, "j", make_step(20))
    submit(world, "k", make_step(20), team="b")
    world.run(0.3)
    assert len(world.list_team_runs("a")) == len(world.list_team_runs("b")) == 4


# A limit that was compared with the tasks of one placement would be exceeded here.
def test_limit_lowered_while_full_applies_from_the_next_start():
    world = make_world(limits={"a": 8})
    submit(world, "j", make_step(30))
    world.run(0.5)
    assert len(world.list_team_runs("a")) == 8
    world.set_limits({"a": 3})
    world.run(0.3)
    assert len(world.list_team_runs("a")) == 8
    for _ in range(60):
        world.run(0.05)
        started = [s for s in world.started_s.values() if s > 100.8]
        assert not started or len(world.list_team_runs("a")) <= 3
    world.set_limits({"a": 6})
    world.run(0.2)
    assert len(world.list_team_runs("a")) == 6


def test_gang_above_the_limit_runs_alone_and_delays_nobody_else():
    world = make_world(upstreams=3, limits={"a": 10, "b": 0})
    submit(world, "first", make_step(2))
    world.run(0.2)
    submit(world, "gang", make_step(11, is_gang=True))
    submit(world, "too-large", make_step(12, is_gang=True))
    submit(world, "other", make_step(10, estimate_s=3.0), team="b")
    world.run(0.2)
    # The gangs wait, and reserve no upstream in the meantime.
    assert len(world.list_team_runs("b")) == 10
    world.run(5.0)
    assert world.get_state("gang") is JobState.COMPLETE
    assert world.get_state("too-large") is JobState.QUEUED


# A prime suspect starts before all others, by other code.
def test_prime_suspects_count_against_the_limit():
    world = make_world(upstreams=4, limits={"a": 1})
    submit(world, "j", make_step(1, is_long_running=True))
    world.step()
    submit(world, "suspect")
    step = world.dispatcher.jobs["suspect"].steps[0, 0]
    step.crashes[0] = [LostContact("x", 1), LostContact("y", 1)]
    world.run(2.0)
    assert [task.job_id for task in world.list_team_runs("a")] == ["j"]
    world.set_limits({"a": 2})
    world.run(0.2)
    assert len(world.list_team_runs("a")) == 2


# The run on the cut upstream is unknown to the successor until its lease expires; other
# jobs of the team would exceed the limit.
@pytest.mark.parametrize("is_listed", [True, False])
def test_successor_counts_what_silent_upstreams_may_run(is_listed):
    world = make_world(upstreams=3)
    submit(world, "j", make_step(4))
    world.step()
    (name,) = {name for name, _, _ in world.running()}
    world.upstreams[name].is_disconnected = True
    world.take_over()
    if not is_listed:
        entry = replace(world.upstreams[name].entry, cpu_millis=0, memory_mb=0)
        world.dispatcher.add_or_update_upstream(entry)
        world.dispatcher.mark_upstream_unlisted(name)
    submit(world, "later", make_step(4))
    submit(world, "other", make_step(4), team="b")
    for _ in range(100):
        world.step()
        assert len(world.list_team_runs("a")) <= 4
    assert len(world.list_team_runs("b")) == 4
    world.run(world.dispatcher.settings.longest_late_hold_s)
    assert world.get_state("later") is JobState.COMPLETE


# The runs of a cancelled job may go on where the stop did not arrive.
def test_successor_counts_runs_of_a_cancelled_job():
    world = make_world(upstreams=2)
    submit(world, "j", make_step(4))
    world.step()
    (name,) = {name for name, _, _ in world.running()}
    world.upstreams[name].is_disconnected = True
    world.cancel("j")
    world.step()
    spec = world.jobs.pop("j")
    world.take_over()
    world.jobs["j"] = spec
    world.dispatcher.record_ended_job("j", team="a", may_run=True)
    submit(world, "later", make_step(4))
    for _ in range(60):
        world.step()
        assert len(world.list_team_runs("a")) <= 4
    world.upstreams[name].is_disconnected = False
    world.run(5.0)
    assert world.get_state("later") is JobState.COMPLETE


# The run of an unread job was not counted for any team, since its team is unknown.
def test_runs_of_unread_jobs_count_for_every_team():
    world = make_world(upstreams=3)
    submit(world, "j", make_step(4))
    world.step()
    spec = world.jobs.pop("j")
    world.take_over()
    world.jobs["j"] = spec
    submit(world, "later", make_step(4))
    for _ in range(30):
        world.step()
        assert len(world.list_team_runs("a")) <= 4
    world.dispatcher.submit(spec, now=world.now, may_have_started=True)
    world.run(6.0)
    assert world.get_state("later") is JobState.COMPLETE


def test_waiting_for_the_limit_is_told_with_the_step():
    world = make_world()
    submit(world, "j", make_step(6))
    world.step()
    wait = world.dispatcher.take_team_waits()["a"]
    assert wait.step.step_id.job_id == "j"
    assert wait.policy.limit.cpu_millis == 4000
    world.step(0.2)
    assert world.dispatcher.take_team_waits()["a"].use.cpu_millis == 4000
