"""Drives a scheduler through a load in virtual time, and measures it."""

from __future__ import annotations

import heapq
import itertools
import random
import time
from collections import Counter
from dataclasses import dataclass, field, replace

from policy_loads import (
    DURATION_S,
    FAILING_UPSTREAM,
    FLOOD,
    LOST_RACK,
    WARM_UP_S,
    Arrival,
    Deployment,
    Scenario,
    draw_arrivals,
)
from policy_measures import Measures, SharePoint, most_useful_mix

from papayadyke_core.resources import ZERO_RESOURCES, Resources
from papayadyke_core.scheduling import (
    Outcome,
    Refuse,
    Request,
    SchedulerProtocol,
    Start,
    Stop,
    StopMode,
)
from papayadyke_core.verdicts import Reason

PATH_S = 0.002  # caller to entry VM and entry VM to upstream, 1 ms each
LOOP_S = 0.0005  # what has come in meanwhile is decided together
STOP_S = 0.1
FAIL_FAST_S = 0.01
SAMPLE_S = 0.1
RACK_BACK_S = 35.0


class BenchmarkError(AssertionError):
    """A scheduler did what it never may."""


@dataclass(slots=True)
class _Job:
    arrival: Arrival
    left_s: list[float]
    attempt: int = 1
    avoid: tuple[str, ...] = ()
    started: set[int] = field(default_factory=set)
    answered: set[int] = field(default_factory=set)
    runs_s: list[tuple[float, float]] = field(default_factory=list)
    ended: int = 0
    broken: str = ""
    is_over: bool = False


@dataclass(slots=True)
class _Task:
    job: _Job
    index: int
    attempt: int
    upstream: str
    demand: Resources
    started_s: float
    speed: float
    outcome: Outcome


class Drive:
    """One run of one scheduler; `run` returns the measures."""

    def __init__(
        self,
        scheduler: SchedulerProtocol,
        deployment: Deployment,
        scenario: Scenario,
        seed: int,
    ) -> None:
        self.scheduler = scheduler
        self.scenario = scenario
        self.seed = seed
        self.workloads = deployment.config.workloads
        self.deadlines = {d.workload.name: d.deadline_s for d in deployment.demands}
        self.least = deployment.demands[-1].workload.name
        self.specs = {spec.name: spec for spec in deployment.upstreams}
        self.measures = Measures(deployment)
        self._rng = random.Random(f"{seed}/drive")
        self._free = {name: spec.capacity for name, spec in self.specs.items()}
        self._slots = {name: spec.slots for name, spec in self.specs.items()}
        self._jobs: dict[str, _Job] = {}
        self._tasks: dict[str, _Task] = {}
        self._started_ids: set[str] = set()
        self._events: list[tuple[float, int, str, object]] = []
        self._order = itertools.count()
        self._next_decide_s: float | None = None
        scheduler.apply_config(deployment.config, 0.0)
        for spec in deployment.upstreams:
            declared = replace(spec, speed=1.0) if scenario.hides_speeds else spec
            scheduler.add_upstream(declared, 0.0)
        self._plan(deployment)

    def run(self) -> Measures:
        """Work off all events up to the end of the run."""
        while self._events:
            now, _, kind, payload = heapq.heappop(self._events)
            if now > DURATION_S:
                break
            getattr(self, f"_on_{kind}")(payload, now)
        return self.measures

    def _plan(self, deployment: Deployment) -> None:
        for arrival in draw_arrivals(deployment, self.scenario, self.seed):
            self._push(arrival.at_s, "arrive", arrival)
        for step in range(int(DURATION_S / SAMPLE_S)):
            self._push(step * SAMPLE_S, "sample", None)
        for at_s in self.scenario.cancels_at_s:
            self._push(at_s, "cancel", None)
        if self.scenario.loses_rack:
            self._push(FLOOD[0], "lose", None)
            self._push(RACK_BACK_S, "bring_back", None)

    def _push(self, at_s: float, kind: str, payload: object) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), kind, payload))

    def _ask(self, at_s: float) -> None:
        if self._next_decide_s is None or at_s < self._next_decide_s - 1e-9:
            self._next_decide_s = at_s
            self._push(at_s, "decide", at_s)

    def _on_arrive(self, arrival: Arrival, now: float) -> None:
        job = _Job(arrival, list(arrival.base_runs_s))
        self._jobs[arrival.request_id] = job
        self.measures.arrived(arrival)
        self._submit(job, arrival.deadline_s, now)

    def _submit(self, job: _Job, deadline_s: float, now: float) -> None:
        missing = len(job.left_s) - len(job.answered)
        req = Request(
            job.arrival.request_id,
            job.arrival.workload,
            deadline_s,
            tasks=missing,
            attempt=job.attempt,
            avoid=job.avoid,
        )
        began = time.perf_counter()
        refusal = self.scheduler.submit(req, now)
        self.measures.submit_wall_s += time.perf_counter() - began
        if refusal is not None:
            self._refuse(job, refusal.reason)
            return
        self.measures.queued[job.arrival.workload] += missing
        self._ask(now + LOOP_S)

    def _refuse(self, job: _Job, reason: Reason) -> None:
        self.measures.refused(job.arrival, reason, attempt=job.attempt)
        self._close(job)

    def _on_decide(self, at_s: float, now: float) -> None:
        if self._next_decide_s != at_s:
            return
        self._next_decide_s = None
        began = time.perf_counter()
        decisions = self.scheduler.decide(now)
        self.measures.decide_walls_s.append(time.perf_counter() - began)
        gangs: Counter[str] = Counter()
        for decision in decisions:
            if isinstance(decision, Start):
                gangs[decision.request_id] += 1
                self._start(decision, now)
            elif isinstance(decision, Refuse):
                job = self._jobs[decision.request_id]
                if job.attempt == 1 and job.started:
                    raise BenchmarkError(f"{decision.request_id} is refused but ran")
                missing = len(job.left_s) - len(job.answered)
                self.measures.queued[job.arrival.workload] -= missing
                self._refuse(job, decision.refusal.reason)
            elif isinstance(decision, Stop):
                self._stop(decision, now)
        for request_id, count in gangs.items():
            job = self._jobs[request_id]
            if count != len(job.left_s) - len(job.answered):
                raise BenchmarkError(f"{request_id} is started in parts")
        next_s = self.scheduler.next_decision_s(now)
        if next_s is not None:
            self._ask(max(next_s, now + LOOP_S))

    def _start(self, start: Start, now: float) -> None:
        if start.task_id in self._started_ids:
            raise BenchmarkError(f"{start.task_id} is started twice")
        self._started_ids.add(start.task_id)
        job = self._jobs[start.request_id]
        self._hold(start.upstream, start.demand)
        missing = [i for i in range(len(job.left_s)) if i not in job.answered]
        index = next(i for i in missing if i not in job.started)
        job.started.add(index)
        speed = self.specs[start.upstream].speed
        task = _Task(
            job,
            index,
            job.attempt,
            start.upstream,
            start.demand,
            now,
            speed,
            Outcome.ANSWERED,
        )
        run_s = job.left_s[index] / speed
        failing = self.scenario.fails and FLOOD[0] <= now < FLOOD[1]
        if failing and start.upstream == FAILING_UPSTREAM:
            task.outcome, run_s = Outcome.FAILED, FAIL_FAST_S
        elif job.arrival.is_poison:
            task.outcome, run_s = Outcome.FAILED, run_s * 0.3
        self._tasks[start.task_id] = task
        self.measures.started(job.arrival, now + PATH_S, attempt=job.attempt)
        self._push(now + run_s, "end", (start.task_id, task.outcome))

    def _stop(self, stop: Stop, now: float) -> None:
        task = self._tasks.get(stop.task_id)
        if task is None or stop.mode is StopMode.THROTTLE:
            return
        kept = stop.mode is StopMode.CHECKPOINT
        payload = (stop.task_id, Outcome.STOPPED)
        self._push(now + STOP_S, "keep_end" if kept else "end", payload)

    def _on_keep_end(self, payload: tuple[str, Outcome], now: float) -> None:
        task = self._tasks.get(payload[0])
        if task is not None:
            done_s = (now - task.started_s) * task.speed
            task.job.left_s[task.index] = max(
                task.job.left_s[task.index] - done_s, 0.01
            )
            self._end(payload[0], Outcome.STOPPED, now, is_kept=True)

    def _on_end(self, payload: tuple[str, Outcome], now: float) -> None:
        if payload[0] in self._tasks:
            self._end(payload[0], payload[1], now)

    def _end(
        self, task_id: str, outcome: Outcome, now: float, *, is_kept: bool = False
    ) -> None:
        task = self._tasks.pop(task_id)
        run_s = now - task.started_s
        if task.upstream in self._free:
            self._free[task.upstream] += task.demand
            self._slots[task.upstream] += 1
        self.scheduler.finish(task_id, outcome, now, run_s=run_s)
        self.measures.ended(
            task.job.arrival.workload, run_s, outcome, is_wasted=not is_kept
        )
        self._count_end(task, outcome, now)
        self._ask(now + LOOP_S)

    def _count_end(self, task: _Task, outcome: Outcome, now: float) -> None:
        job = task.job
        job.ended += 1
        if outcome is Outcome.ANSWERED:
            job.answered.add(task.index)
            job.runs_s.append((task.started_s, now))
        else:
            job.broken = outcome.value
            job.avoid = (*job.avoid, task.upstream)
        if job.ended < len(job.started):
            return
        if len(job.answered) == len(job.left_s):
            self.measures.answered(job.arrival, job.runs_s)
            self._close(job)
        elif not job.is_over:
            self._retry(job, now)

    def _retry(self, job: _Job, now: float) -> None:
        workload = self.workloads[job.arrival.workload]
        if not workload.idempotent or job.attempt >= workload.max_attempts:
            self.measures.failed[job.broken] += 1
            self._close(job)
            return
        job.attempt += 1
        job.started = set(job.answered)
        job.ended = len(job.answered)
        self._submit(job, now + self.deadlines[workload.name], now)

    def _close(self, job: _Job) -> None:
        job.is_over = True

    def _hold(self, upstream: str, demand: Resources) -> None:
        self._free[upstream] -= demand
        self._slots[upstream] -= 1
        if not self._free[upstream].is_non_negative() or self._slots[upstream] < 0:
            raise BenchmarkError(f"{upstream} is given more than it holds")

    def _on_cancel(self, payload: None, now: float) -> None:
        for request_id, job in self._jobs.items():
            is_least = job.arrival.workload == self.least and not job.is_over
            if not is_least or self._rng.random() >= 0.8:
                continue
            result = self.scheduler.cancel(request_id, now)
            self._close(job)
            if result.never_ran:
                self.measures.queued[self.least] -= len(job.left_s) - len(job.answered)
            for task in result.running:
                self._push(now + STOP_S, "end", (task.task_id, Outcome.STOPPED))
        self._ask(now + LOOP_S)

    def _on_lose(self, payload: None, now: float) -> None:
        for name, spec in self.specs.items():
            if spec.rack == LOST_RACK:
                del self._free[name], self._slots[name]
                for lost in self.scheduler.remove_upstream(name, now):
                    self._end(lost.task_id, Outcome.LOST, now)

    def _on_bring_back(self, payload: None, now: float) -> None:
        for name, spec in self.specs.items():
            if spec.rack == LOST_RACK:
                self._free[name] = spec.capacity
                self._slots[name] = spec.slots
                self.scheduler.add_upstream(spec, now)
        self._ask(now + LOOP_S)

    def _on_sample(self, payload: None, now: float) -> None:
        if now < WARM_UP_S:
            return
        running = Counter(task.job.arrival.workload for task in self._tasks.values())
        queued = self.measures.queued
        capacity = sum(
            (self.specs[name].capacity for name in self._free), ZERO_RESOURCES
        )
        slots = sum(self.specs[name].slots for name in self._free)
        present = {name: running[name] + queued[name] for name in self.workloads}
        best = most_useful_mix(self.workloads, present, capacity, slots)
        self.measures.sample(SharePoint(now, dict(running), dict(queued), best))
