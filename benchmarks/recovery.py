"""Measure how fast shares come back, gangs start and waves are worked off.

Run: ``.venv/bin/python benchmarks/recovery.py --seed 1``

Times of shares and gangs are in virtual time, those of waves in real time. The
fleet has 24 upstreams of 8 slots; a stopped task ends 0.1 s after it was asked.
"""

from __future__ import annotations

import heapq
import itertools
import random
import time
from collections.abc import Callable

import typer

from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.resources import Resources
from papayadyke_core.scheduling import Outcome, Request, Scheduler, Start, Stop
from papayadyke_core.workloads import Config, Kind, Urgency, Workload

UPSTREAMS = 24
ZONE_UPSTREAMS = 1125
DEMAND = Resources(1000, 1000)
STEP_S = 0.01
STOP_S = 0.1
FAR_S = 1e9
ARRIVES_S = 10.0
WAVE = 100_000


class Run:
    """A scheduler under a load, in virtual time."""

    def __init__(
        self, seed: int, *workloads: Workload, upstreams: int = UPSTREAMS
    ) -> None:
        self.scheduler = Scheduler()
        self.rng = random.Random(seed)
        self.now = 0.0
        config = Config(revision=1, workloads={w.name: w for w in workloads})
        self.scheduler.apply_config(config, 0.0)
        for number in range(upstreams):
            rack = f"r{number // 8}"
            spec = UpstreamSpec(f"u{number}", "z", rack, Resources(64_000, 256_000))
            self.scheduler.add_upstream(spec, 0.0)
        self.run_s: dict[str, Callable[[], float]] = {}
        self._ids = itertools.count()
        self._ends: list[tuple[float, str, Outcome]] = []
        self._workload_of: dict[str, str] = {}

    def submit(self, workload: str, count: int, *, tasks: int = 1) -> None:
        """Submit requests with a far deadline."""
        for _ in range(count):
            request_id = f"{workload}-{next(self._ids)}"
            self._workload_of[request_id] = workload
            self.scheduler.submit(Request(request_id, workload, FAR_S, tasks), self.now)

    def step(self) -> None:
        """Let time pass, end what is due, and decide."""
        self.now += STEP_S
        while self._ends and self._ends[0][0] <= self.now:
            _, task_id, outcome = heapq.heappop(self._ends)
            self.scheduler.finish(task_id, outcome, self.now)
        for decision in self.scheduler.decide(self.now):
            if isinstance(decision, Start):
                run_s = self.run_s[self._workload_of[decision.request_id]]()
                end_s = self.now + run_s
                heapq.heappush(self._ends, (end_s, decision.task_id, Outcome.ANSWERED))
            elif isinstance(decision, Stop):
                end_s = self.now + STOP_S
                heapq.heappush(self._ends, (end_s, decision.task_id, Outcome.STOPPED))

    def running(self, workload: str) -> int:
        """Return how many tasks of a workload run."""
        loads = self.scheduler.summary(self.now).workloads
        return next(load.running for load in loads if load.workload == workload)


def time_until_floor(seed: int, run_s: float, preemptible: bool) -> float:
    """Return how long a workload waits for its floor, which others had borrowed."""
    owner = Workload("owner", Kind.SERVICE, DEMAND, floor=0.5, queue_limit=10_000)
    borrower = Workload(
        "borrower",
        Kind.BATCH,
        DEMAND,
        preemptible=preemptible,
        idempotent=True,
        timeout_s=600.0,
        queue_limit=10_000,
    )
    run = Run(seed, owner, borrower)
    run.run_s["owner"] = lambda: 0.5
    run.run_s["borrower"] = lambda: run.rng.lognormvariate(0.0, 0.4) * run_s
    while run.now < ARRIVES_S:
        run.submit("borrower", 400 - _queued(run, "borrower"))
        run.step()
    begun_s = run.now
    while run.running("owner") < 0.95 * 0.5 * UPSTREAMS * 8:
        run.submit("owner", 400 - _queued(run, "owner"))
        run.step()
    return run.now - begun_s


def time_until_gang(seed: int, run_s: float) -> float:
    """Return how long a gang of the whole fleet waits in a flood of singles."""
    gang = Workload("gang", Kind.GANG, DEMAND, timeout_s=600.0)
    flood = Workload("flood", Kind.SERVICE, DEMAND, queue_limit=10_000, timeout_s=60.0)
    run = Run(seed, gang, flood)
    run.run_s["flood"] = lambda: run.rng.lognormvariate(0.0, 0.4) * run_s
    run.run_s["gang"] = lambda: 1.0
    while run.now < ARRIVES_S:
        run.submit("flood", 400 - _queued(run, "flood"))
        run.step()
    run.submit("gang", 1, tasks=UPSTREAMS * 8)
    begun_s = run.now
    while run.running("gang") == 0:
        run.submit("flood", 400 - _queued(run, "flood"))
        run.step()
    return run.now - begun_s


def time_of_hold(seed: int) -> float:
    """Return milliseconds for a decision that holds room for a gang in a zone."""
    gang = Workload("gang", Kind.GANG, DEMAND, timeout_s=600.0)
    flood = Workload("flood", Kind.SERVICE, DEMAND, queue_limit=20_000, timeout_s=60.0)
    run = Run(seed, gang, flood, upstreams=ZONE_UPSTREAMS)
    run.run_s["flood"] = lambda: run.rng.uniform(50.0, 60.0)
    run.submit("flood", 12_000)
    while run.running("flood") < ZONE_UPSTREAMS * 8:
        run.step()
    run.submit("gang", 1, tasks=64)
    run.now += 2.0
    begun = time.perf_counter()
    run.scheduler.decide(run.now)
    return (time.perf_counter() - begun) * 1e3


def _queued(run: Run, workload: str) -> int:
    loads = run.scheduler.summary(run.now).workloads
    return next(load.queued for load in loads if load.workload == workload)


def wave_of_cancellations(seed: int) -> tuple[float, float]:
    """Return microseconds for each of many cancellations, and of the next decision."""
    batch = Workload("batch", Kind.BATCH, DEMAND, queue_limit=WAVE)
    run = Run(seed, batch)
    run.submit("batch", WAVE)
    ids = [f"batch-{number}" for number in range(WAVE)]
    run.rng.shuffle(ids)
    begun = time.perf_counter()
    for request_id in ids:
        run.scheduler.cancel(request_id, 1.0)
    each = (time.perf_counter() - begun) / WAVE
    begun = time.perf_counter()
    run.scheduler.decide(1.0)
    return each * 1e6, (time.perf_counter() - begun) * 1e6


def wave_of_refusals(seed: int) -> float:
    """Return microseconds for each refusal of a flood at a full queue."""
    checks = Workload(
        "checks", Kind.SERVICE, DEMAND, queue_limit=100, urgency=Urgency.URGENT
    )
    run = Run(seed, checks)
    run.submit("checks", 1000)
    requests = [Request(f"x{number}", "checks", FAR_S) for number in range(WAVE)]
    begun = time.perf_counter()
    for number, req in enumerate(requests):
        run.scheduler.submit(req, 1.0 + number * 1e-4)
    return (time.perf_counter() - begun) / WAVE * 1e6


def main(seed: int = 1) -> None:
    """Print all measures."""
    print(f"seed {seed}")
    for run_s in (0.5, 2.0, 20.0):
        for preemptible in (True, False):
            waited_s = time_until_floor(seed, run_s, preemptible)
            kind = "preemptible" if preemptible else "not preemptible"
            print(f"floor back from tasks of {run_s} s, {kind}: {waited_s:.2f} s")
    for run_s in (0.5, 5.0):
        waited_s = time_until_gang(seed, run_s)
        print(f"gang of the whole fleet among tasks of {run_s} s: {waited_s:.2f} s")
    print(f"decision that holds room in a zone: {time_of_hold(seed):.1f} ms")
    each, decision = wave_of_cancellations(seed)
    print(f"{WAVE} cancellations: {each:.1f} us each, next decision {decision:.0f} us")
    print(f"{WAVE} refusals at a full queue: {wave_of_refusals(seed):.1f} us each")


if __name__ == "__main__":
    typer.run(main)
