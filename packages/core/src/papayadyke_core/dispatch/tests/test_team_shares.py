"""Order of the teams' work under load: shares, lending, and a flood from one team."""

import random

import pytest
from dispatch_world import World, make_catalog, make_entry, make_job, make_step

from papayadyke_core.dispatch import FINAL_STATES, Catalog, QueuePolicy, RunEnd
from papayadyke_core.resources import Resources
from papayadyke_core.teams import TeamPolicy

URGENT, BATCH = "h/urgent/", "h/batch/"
STEP_S = 0.02
UPSTREAMS, CORES = 8, 16
TEAMS = [f"team{number}" for number in range(8)]
FLOOD = 7  # times its usual load
USUAL_UTILISATION = 0.75
CHECK_S, BATCH_S, BATCH_TASKS = 0.5, 2.0, 6
CHECK_SHARE = 0.2  # of the work of each team
URGENT_SHARE = 0.25  # of the CPU, kept free for checks at most


def make_world(weights, *, upstreams, cores, **settings):
    queues = {
        URGENT: QueuePolicy("u", "h", "/urgent/", "service", 0, 2, 1.5, 0.25),
        BATCH: QueuePolicy("b", "h", "/batch/", "service", 1, 2, 4.0, 3.0),
    }
    teams = {name: TeamPolicy(name, w, Resources()) for name, w in weights.items()}
    queues |= make_catalog().queues
    entries = [make_entry(f"u{number}", cores=cores) for number in range(upstreams)]
    return World(Catalog(1, queues, teams=teams), *entries, **settings)


def fill(world, team, count, *, estimate_s=1.0, queue=BATCH):
    step = make_step(count, estimate_s=estimate_s)
    name = f"{team}{len(world.jobs)}"
    world.submit(make_job(name, step, queue=queue, team=team))
    return name


def count_runs(world):
    return {team: len(world.list_team_runs(team)) for team in world.catalog.teams}


def test_idle_capacity_is_lent_and_comes_back_with_the_next_ends():
    world = make_world({"a": 1.0, "b": 1.0}, upstreams=2, cores=4)
    fill(world, "a", 40)
    world.run(0.2)
    assert count_runs(world) == {"a": 8, "b": 0}
    fill(world, "b", 40)
    world.run(1.3)
    assert count_runs(world) == {"a": 4, "b": 4}


def test_shares_follow_the_weights():
    world = make_world({"a": 1.0, "b": 3.0}, upstreams=2, cores=4)
    fill(world, "a", 40)
    fill(world, "b", 40)
    world.run(0.2)
    assert count_runs(world) == {"a": 2, "b": 6}


# What a team holds grows within one placement, with each of its jobs.
def test_shares_hold_for_many_small_jobs():
    world = make_world({"a": 1.0, "b": 1.0}, upstreams=2, cores=4)
    for team in ("a", "b"):
        for _ in range(20):
            fill(world, team, 1)
    world.step()
    assert count_runs(world) == {"a": 4, "b": 4}


def test_share_that_a_team_does_not_need_goes_to_the_others():
    world = make_world({"a": 1.0, "b": 1.0, "c": 1.0}, upstreams=2, cores=6)
    for team, count in (("a", 40), ("b", 2), ("c", 40)):
        fill(world, team, count)
    world.run(0.2)
    assert count_runs(world) == {"a": 5, "b": 2, "c": 5}


def test_worthless_work_goes_after_useful_work_of_teams_above_their_share():
    world = make_world({"a": 1.0, "b": 1.0, "c": 1.0}, upstreams=1, cores=8)
    fill(world, "b", 6)
    world.run(0.2)
    # The demand of "c", which no upstream can serve, puts "b" above its share.
    step = make_step(8, label="absent")
    world.submit(make_job("c", step, queue=BATCH, team="c"))
    late = fill(world, "a", 3)
    world.dispatcher.jobs[late].accepted_at_s -= 60.0
    fill(world, "b", 3)
    world.step()
    assert count_runs(world) == {"a": 0, "b": 8, "c": 0}


def test_work_without_a_team_has_a_share_as_well():
    world = make_world({"a": 1.0, "": 1.0}, upstreams=1, cores=8)
    fill(world, "a", 40)
    fill(world, "", 40)
    world.run(0.2)
    assert count_runs(world) == {"a": 4, "": 4}


def list_arrivals(rng, *, load, until_s):
    """Return the jobs of a team as (time, queue), at random times."""
    cores_per_team = load * USUAL_UTILISATION * UPSTREAMS * CORES / len(TEAMS)
    checks_per_s = cores_per_team * CHECK_SHARE / CHECK_S
    batches_per_s = cores_per_team * (1 - CHECK_SHARE) / (BATCH_S * BATCH_TASKS)
    arrivals = []
    for queue, per_s in ((URGENT, checks_per_s), (BATCH, batches_per_s)):
        at_s = rng.expovariate(per_s)
        while at_s < until_s:
            arrivals.append((at_s, queue))
            at_s += rng.expovariate(per_s)
    return arrivals


def play(*, flood, until_s=24.0):
    """Return done core-seconds and waits of checks, of all teams but the first."""
    world = make_world(
        dict.fromkeys(TEAMS, 1.0),
        upstreams=UPSTREAMS,
        cores=CORES,
        urgent_share=URGENT_SHARE,
    )
    arrivals = []
    for number, team in enumerate(TEAMS):
        load = flood if number == 0 else 1.0
        rows = list_arrivals(random.Random(number), load=load, until_s=until_s)
        arrivals += [(at_s, team, queue) for at_s, queue in rows]
    arrivals.sort(reverse=True)
    begun_s = world.now
    submitted_s: dict[str, float] = {}
    done_core_s = 0.0
    while world.now < begun_s + until_s:
        while arrivals and begun_s + arrivals[-1][0] <= world.now:
            _, team, queue = arrivals.pop()
            name = f"{team}.{len(submitted_s)}"
            is_check = queue == URGENT
            step = make_step(
                1 if is_check else BATCH_TASKS,
                estimate_s=CHECK_S if is_check else BATCH_S,
            )
            submitted_s[name] = world.now
            world.submit(make_job(name, step, queue=queue, team=team))
        world.step(STEP_S)
        for upstream in world.upstreams.values():
            for task, attempt in list(upstream.running.items()):
                spec = world.step_specs[task]
                taken_s = world.now - world.started_s[task, attempt]
                if taken_s >= spec.estimate_s - 1e-9:
                    world.end(upstream, task, RunEnd.DONE)
                    if world.jobs[task.job_id].team != TEAMS[0]:
                        done_core_s += spec.estimate_s
    waits = []
    for (task, _), at_s in world.started_s.items():
        job = world.jobs[task.job_id]
        if job.queue == URGENT and job.team != TEAMS[0]:
            waits.append(at_s - submitted_s[task.job_id])
    unstarted = [
        world.now - submitted_s[name]
        for name, job in world.jobs.items()
        if job.queue == URGENT
        and job.team != TEAMS[0]
        and world.get_state(name) not in FINAL_STATES
        and not any(task.job_id == name for task, _ in world.started_s)
    ]
    return done_core_s, sorted(waits + unstarted)


@pytest.fixture(scope="module")
def flood_and_usual():
    return play(flood=FLOOD), play(flood=1.0)


def test_flood_of_one_team_leaves_the_others_their_throughput(flood_and_usual):
    (flooded_core_s, _), (usual_core_s, _) = flood_and_usual
    assert flooded_core_s >= 0.95 * usual_core_s


def test_flood_of_one_team_does_not_delay_urgent_work_of_others(flood_and_usual):
    (_, flooded), (_, usual) = flood_and_usual
    index = int(0.99 * len(usual))
    assert flooded[index] <= 1.2 * usual[index]
