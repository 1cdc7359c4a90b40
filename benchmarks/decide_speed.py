"""Measure how long the scheduler takes for a start, at several sizes.

Run: ``.venv/bin/python benchmarks/decide_speed.py``

Each start costs a submission, a decision and an end. The fleet is kept nearly
full and every queue has work, as in a flood; each decision starts about `batch`
tasks, as when that many ends came in together.
"""

from __future__ import annotations

import random
import time
from collections import deque
from dataclasses import dataclass

import numpy as np
import typer

from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.resources import Resources
from papayadyke_core.scheduling import Outcome, Request, Scheduler, Start
from papayadyke_core.workloads import Config, Kind, Team, Urgency, Workload

SIZES = ((3, 10, 1), (24, 10, 1), (24, 10, 8), (1125, 122, 1), (1125, 122, 32))
CPU_MILLIS = 64_000
MEMORY_MB = 256_000
SLOTS = 9
QUEUED_PER_WORKLOAD = 50


@dataclass(frozen=True, slots=True)
class Measured:
    """Times of the three steps of a start, in microseconds."""

    decide: np.ndarray
    submit: np.ndarray
    finish: np.ndarray
    starts: int


def make_config(workloads: int, rng: random.Random) -> Config:
    teams = {f"team{n}": Team(f"team{n}") for n in range(max(1, workloads // 2))}
    names = list(teams)
    made = {}
    for number in range(workloads):
        name = f"w{number}"
        made[name] = Workload(
            name=name,
            kind=Kind.SERVICE if number % 2 else Kind.BATCH,
            demand=Resources(rng.choice([500, 2000, 4000]), rng.choice([256, 4096])),
            team=names[number % len(names)],
            urgency=Urgency(number % 3),
            floor=0.5 / workloads,
            queue_limit=10_000,
        )
    return Config(revision=1, workloads=made, teams=teams)


def make_scheduler(upstreams: int, config: Config) -> Scheduler:
    scheduler = Scheduler()
    scheduler.apply_config(config, 0.0)
    for number in range(upstreams):
        capacity = Resources(CPU_MILLIS, MEMORY_MB)
        rack = f"r{number // 8}"
        spec = UpstreamSpec(f"u{number}", "hobart", rack, capacity, slots=SLOTS)
        scheduler.add_upstream(spec, 0.0)
    return scheduler


def measure(
    upstreams: int, workloads: int, batch: int, starts: int, seed: int
) -> Measured:
    rng = random.Random(seed)
    config = make_config(workloads, rng)
    scheduler = make_scheduler(upstreams, config)
    names = list(config.workloads)
    running: deque[Start] = deque()
    now = 0.0
    number = 0
    for name in names * QUEUED_PER_WORKLOAD * (1 + upstreams * SLOTS // 2000):
        number += 1
        scheduler.submit(Request(f"q{number}", name, 1e9), now)
    while len(running) < upstreams * SLOTS * 0.99:
        starts_now = [d for d in scheduler.decide(now) if isinstance(d, Start)]
        running.extend(starts_now)
        if not starts_now:
            break
    decide, submit, finish = [], [], []
    done = 0
    while done < starts:
        now += 0.001
        for _ in range(min(batch, len(running))):
            task = running.popleft()
            begun = time.perf_counter()
            scheduler.finish(task.task_id, Outcome.ANSWERED, now, run_s=0.5)
            finish.append(time.perf_counter() - begun)
            number += 1
            req = Request(f"q{number}", rng.choice(names), 1e9)
            begun = time.perf_counter()
            scheduler.submit(req, now)
            submit.append(time.perf_counter() - begun)
        begun = time.perf_counter()
        decisions = scheduler.decide(now)
        elapsed = time.perf_counter() - begun
        found = [item for item in decisions if isinstance(item, Start)]
        running.extend(found)
        done += len(found)
        if found:
            decide.extend([elapsed / len(found)] * len(found))
    return Measured(
        np.array(decide) * 1e6, np.array(submit) * 1e6, np.array(finish) * 1e6, done
    )


def main(starts: int = 5000, seed: int = 1) -> None:
    """Print the times of a start at each size."""
    print(f"seed {seed}, {starts} starts each; microseconds")
    print("upstreams  workloads  batch  decide p50  p99  submit p50  finish p50  per_s")
    for upstreams, workloads, batch in SIZES:
        found = measure(upstreams, workloads, batch, starts, seed)
        total_s = (found.decide.sum() + found.submit.sum() + found.finish.sum()) / 1e6
        print(
            f"{upstreams:9d}  {workloads:9d}  {batch:5d}"
            f"  {np.percentile(found.decide, 50):10.0f}"
            f"  {np.percentile(found.decide, 99):3.0f}"
            f"  {np.percentile(found.submit, 50):10.1f}"
            f"  {np.percentile(found.finish, 50):10.1f}"
            f"  {found.starts / total_s:5.0f}"
        )


if __name__ == "__main__":
    typer.run(main)
