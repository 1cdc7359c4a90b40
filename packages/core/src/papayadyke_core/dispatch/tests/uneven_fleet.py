"""Simulation of a small fleet of uneven speeds, for comparisons of the dispatcher.

Run times are off from the estimates by a log-normal factor for each job, and 3% of the
tasks take 7 times as long. A gang ends with its slowest member.
"""

import heapq
import math
import random
from collections import Counter

from dispatch_world import make_entry, make_step

from papayadyke_core.dispatch import (
    Catalog,
    Dispatcher,
    DispatchSettings,
    EndedRun,
    QueuePolicy,
    RunEnd,
    RunningRun,
    StagedJobSpec,
    StartOutcome,
    UpstreamReport,
)

SPEEDS = (0.55, 0.55, 0.8, 1.0, 1.2, 1.3)
CORES = 16
TICK_S = 0.02
CHECK = QueuePolicy("check", "h", "/check/", "service", 0, 2, 1.5, 0.25)
BOARD = QueuePolicy("board", "h", "/board/", "service", 1, 2, 2.2, 1.0)
GANG = QueuePolicy("gang", "h", "/gang/", "service", 1, 2, 2.0, 1.5)
BATCH = QueuePolicy("batch", "h", "/batch/", "service", 2, 2, 4.0, 4.0)
QUEUES = (CHECK, BOARD, GANG, BATCH)
STEPS = {
    CHECK: (make_step(2, estimate_s=0.3),),
    BOARD: (make_step(6, estimate_s=1.2), make_step(3, estimate_s=0.8, after=(0,))),
    GANG: (make_step(12, estimate_s=2.0, is_gang=True),),
    BATCH: (make_step(10, estimate_s=4.0),),
}
SHARES = {CHECK: 0.55, BOARD: 0.25, GANG: 0.08, BATCH: 0.12}


class UnevenFleet:
    """Jobs that arrive at random, and the dispatcher that places them.

    Parameters
    ----------
    seed : int
    learns_run_times : bool
    load : float
        Work that arrives, as a share of what the upstreams can do.
    spread : float
        Standard deviation of the logarithm of run time to estimate between jobs.
    """

    def __init__(self, *, seed, learns_run_times, load, spread=0.6):
        self.rng = random.Random(seed)
        self.spread = spread
        self.now = 100.0
        self.dispatcher = Dispatcher(
            DispatchSettings(lease_s=5.0, learns_run_times=learns_run_times),
            now=self.now,
        )
        self.dispatcher.set_catalog(Catalog(1, {q.key: q for q in QUEUES}))
        self.speeds = {f"u{number}": speed for number, speed in enumerate(SPEEDS)}
        for name in self.speeds:
            self.dispatcher.add_or_update_upstream(make_entry(name, cores=CORES))
            self.dispatcher.process_report(name, UpstreamReport(1, 0.0, 0.0), self.now)
        self.running: dict[str, dict] = {name: {} for name in self.speeds}
        self.end_counts: Counter[str] = Counter()
        self.ends: list = []
        self.members: dict = {}
        self.durations_s: dict[tuple, float] = {}
        self.objectives: dict[str, tuple[str, float]] = {}
        work_core_s = sum(
            share * sum(step.work_core_s for step in STEPS[queue])
            for queue, share in SHARES.items()
        )
        work_core_s *= math.exp(spread**2 / 2) * 1.18
        self.jobs_per_s = load * CORES * sum(SPEEDS) / work_core_s
        self.next_job_s = self.now

    def submit_due(self):
        """Submit the jobs that have arrived; run times depend on the seed only."""
        while self.next_job_s <= self.now:
            self.next_job_s += self.rng.expovariate(self.jobs_per_s)
            queue = self.rng.choices(list(SHARES), list(SHARES.values()))[0]
            job_id = f"{len(self.objectives):06d}"
            factor = math.exp(self.rng.gauss(0.0, self.spread))
            for number, step in enumerate(STEPS[queue]):
                for index in range(step.count):
                    taken_s = step.estimate_s * factor
                    taken_s *= math.exp(self.rng.gauss(0.0, 0.1))
                    taken_s *= 7.0 if self.rng.random() < 0.03 else 1.0
                    self.durations_s[job_id, 0, number, index] = taken_s
            path_s = factor * sum(step.estimate_s for step in STEPS[queue])
            due_s = self.now + queue.stretch * path_s + queue.allowance_s
            self.objectives[job_id] = queue.name, due_s
            spec = StagedJobSpec(job_id, queue.key, "p", STEPS[queue])
            self.dispatcher.submit(spec, now=self.now)

    def play(self, seconds, *, drain_s=60.0):
        """Let jobs arrive for some seconds; return in time and all, by queue."""
        arrivals_end_s = self.now + seconds
        in_time: Counter[str] = Counter()
        total: Counter[str] = Counter()
        open_jobs: dict[str, tuple[str, float]] = {}
        while self.now < arrivals_end_s + drain_s:
            self.now += TICK_S
            if self.now < arrivals_end_s:
                known = len(self.objectives)
                self.submit_due()
                for job_id in list(self.objectives)[known:]:
                    open_jobs[job_id] = self.objectives[job_id]
                    total[open_jobs[job_id][0]] += 1
            elif not open_jobs:
                break
            self._report_ends()
            self._start(self.dispatcher.tick(self.now, self.now).starts)
            for job_id, (queue, due_s) in list(open_jobs.items()):
                if self.dispatcher.jobs[job_id].is_final:
                    in_time[queue] += self.now <= due_s
                    del open_jobs[job_id]
        return in_time, total

    def _start(self, starts):
        for order in starts:
            task, name = order.task, order.upstream_id
            self.running[name][task] = order.attempt
            end_s = self.now + self.durations_s[task] / self.speeds[name]
            queue = self.objectives[task.job_id][0]
            if queue == GANG.name:
                members = self.members.setdefault(task[:3], [])
                members.append((end_s, name, task, order.attempt))
                if len(members) == STEPS[GANG][0].count:
                    last_s = max(member[0] for member in members)
                    for _, member_name, member, attempt in members:
                        heapq.heappush(
                            self.ends, (last_s, member_name, member, attempt)
                        )
            else:
                heapq.heappush(self.ends, (end_s, name, task, order.attempt))
            self.dispatcher.process_start_outcome(order, StartOutcome.STARTED, self.now)

    def _report_ends(self):
        ended: dict[str, list[EndedRun]] = {}
        while self.ends and self.ends[0][0] <= self.now:
            _, name, task, attempt = heapq.heappop(self.ends)
            if self.running[name].pop(task, None) is None:
                continue
            self.end_counts[name] += 1
            run = EndedRun(self.end_counts[name], task, attempt, RunEnd.DONE)
            ended.setdefault(name, []).append(run)
        for name, runs in ended.items():
            running = [RunningRun(*run) for run in self.running[name].items()]
            report = UpstreamReport(1, self.now, self.now, running, runs)
            self.dispatcher.process_report(name, report, self.now)
        commit = self.dispatcher.begin_commit()
        if commit is not None:
            self.dispatcher.finish_commit(commit, is_stored=True)
