"""Time of one decision against the size of the fleet, in steady state.

    python benchmarks/decision_time.py --plot docs/img/decision-time.png

Every step ends one running task and submits another request, so that each
decision has one task to place on a fleet that is about 90% full.
"""

from __future__ import annotations

import argparse
import random
import time

import numpy as np

from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.resources import Resources
from papayadyke_core.scheduling import Outcome, Request, Scheduler, Start
from papayadyke_core.workloads import Config, Kind, Team, Urgency, Workload

SIZES = (  # upstreams, workloads, teams
    (24, 4, 2),
    (24, 122, 61),
    (75, 122, 61),
    (225, 122, 61),
    (562, 122, 61),
    (1125, 122, 61),
    (2250, 122, 61),
)
TASKS_OF_1125 = 10_000
STEPS = 2000


def make_config(workload_count: int, team_count: int) -> Config:
    kinds = (Kind.SERVICE, Kind.BATCH)
    workloads = {
        f"w{number}": Workload(
            f"w{number}",
            kinds[number % 2],
            Resources(1000 + 500 * (number % 8), 1024 * (1 + number % 6)),
            team=f"team{number % team_count}",
            urgency=Urgency(number % 3),
            floor=0.5 / workload_count,
        )
        for number in range(workload_count)
    }
    teams = {f"team{number}": Team(f"team{number}") for number in range(team_count)}
    return Config(revision=1, workloads=workloads, teams=teams)


def make_scheduler(upstreams: int, config: Config) -> Scheduler:
    scheduler = Scheduler()
    scheduler.apply_config(config, 0.0)
    for number in range(upstreams):
        spec = UpstreamSpec(
            f"u{number}",
            "zone",
            f"rack{number // 8}",
            Resources(64_000, 256 * 1024, 2),
            slots=10,
            speed=(1.0, 0.7, 1.3)[number % 3],
        )
        scheduler.add_upstream(spec, 0.0)
    return scheduler


def measure(
    upstreams: int, config: Config, seed: int
) -> tuple[int, np.ndarray, np.ndarray]:
    """Return the running tasks and the times of submissions and decisions, in us."""
    rng = random.Random(seed)
    scheduler = make_scheduler(upstreams, config)
    tasks = upstreams * TASKS_OF_1125 // 1125
    names = list(config.workloads)
    running: list[str] = []
    submit_us, decide_us = [], []
    for step in range(tasks + STEPS):
        now = step * 0.001
        if step >= tasks:
            place = rng.randrange(len(running))
            running[place], running[-1] = running[-1], running[place]
            scheduler.finish(running.pop(), Outcome.ANSWERED, now, run_s=1.0)
        req = Request(f"r{step}", rng.choice(names), now + 60.0)
        began = time.perf_counter()
        scheduler.submit(req, now)
        submitted = time.perf_counter()
        decisions = scheduler.decide(now)
        decided = time.perf_counter()
        running += [item.task_id for item in decisions if isinstance(item, Start)]
        if step >= tasks:
            submit_us.append((submitted - began) * 1e6)
            decide_us.append((decided - submitted) * 1e6)
    return len(running), np.array(submit_us), np.array(decide_us)


def write_plot(rows: list[tuple[int, float, float]], path: str) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    figure, axis = plt.subplots(figsize=(6, 3.6))
    sizes = [row[0] for row in rows]
    axis.plot(sizes, [row[1] for row in rows], "o-", label="p50")
    axis.plot(sizes, [row[2] for row in rows], "s--", label="p99")
    axis.axvline(1125, color="0.7", linewidth=0.8)
    axis.set_xscale("log")
    axis.set_ylim(bottom=0.0)
    axis.set_xlabel("upstreams of one owner (grey line: a whole zone, 10,000 tasks)")
    axis.set_ylabel("time of one decision, us")
    axis.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)


def main() -> None:
    """Measure all sizes and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--plot", help="where to write a PNG")
    args = parser.parse_args()
    print(
        "| upstreams | workloads | running tasks "
        "| submit p50/p99 us | decide p50/p99 us |"
    )
    print("|---|---|---|---|---|")
    rows = []
    for upstreams, workloads, teams in SIZES:
        config = make_config(workloads, teams)
        running, submit_us, decide_us = measure(upstreams, config, args.seed)
        s50, s99 = np.percentile(submit_us, [50, 99])
        d50, d99 = np.percentile(decide_us, [50, 99])
        print(
            f"| {upstreams} | {running} | {s50:.0f}/{s99:.0f} | {d50:.0f}/{d99:.0f} |"
        )
        rows.append((upstreams, float(d50), float(d99)))
    if args.plot:
        write_plot(rows, args.plot)


if __name__ == "__main__":
    main()
