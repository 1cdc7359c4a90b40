"""In-memory simulation of upstreams and a store, for tests of the dispatcher.

The simulated upstreams follow the rules of the platform: fencing tokens, attempts that
only increase, leases, and ends that stay listed until they are acknowledged. The
invariants of the dispatcher are checked against the state of the upstreams.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field, replace

from papayadyke_core.dispatch import (
    Advice,
    AdvicePolicy,
    Catalog,
    Dispatcher,
    DispatchSettings,
    EndedRun,
    JobProgress,
    QueuePolicy,
    RunEnd,
    RunningRun,
    StagedJobSpec,
    StartOrder,
    StartOutcome,
    StepId,
    StepSpec,
    StopOrder,
    TaskId,
    UpstreamEntry,
    UpstreamReport,
    decode_progress,
)
from papayadyke_core.resources import Resources
from papayadyke_core.teams import TeamPolicy

QUEUE, URGENT_QUEUE = "host/queue/", "host/urgent/"
LEASE_S = 6.0
CRASH_DELAY_S = 0.2  # seconds from the start of a deadly task to the crash
DOWN_S = (2.0, 4.0)  # seconds until a crashed upstream is back
# BUDGET: starts of a task after that many upstreams have crashed under it.
MAX_CRASHES, MAX_LATER_STARTS = 3, 2
# QUOTA: by which the runs of a team may exceed the highest limit of the last seconds,
# in addition to one task.
QUOTA_OVERRUN, QUOTA_WINDOW_S = 0.1, 3.0


def make_catalog(*, limits=None, **changes):
    """Return a configuration with two queues, and the limits of teams in cores.

    The second queue differs from the first one only in its priority, which is 0.
    """
    policy = {"max_attempts": 2, "stretch": 2.0, "allowance_s": 1.0, **changes}
    queue = QueuePolicy("queue", "host", "/queue/", "service", **policy)
    urgent = QueuePolicy(
        "urgent", "host", "/urgent/", "service", **{**policy, "priority": 0}
    )
    queues = {QUEUE: queue, URGENT_QUEUE: urgent}
    return Catalog(1, queues, teams=make_teams(limits))


def make_teams(limits):
    """Return teams of equal weight with their limits in cores; 0 is none."""
    if limits is None:
        return None
    return {
        name: TeamPolicy(name, 1.0, Resources(cores * 1000))
        for name, cores in limits.items()
    }


def make_job(job_id, *steps, queue=QUEUE, repeat=None, team=""):
    """Return a job; without steps it has one task that needs a core."""
    steps = steps or (make_step(),)
    return StagedJobSpec(job_id, queue, "payload", tuple(steps), 0.0, repeat, team)


def make_step(count=1, **changes):
    """Return a step whose tasks each need one core for one second."""
    values = {"cpu_millis": 1000, "memory_mb": 100, "estimate_s": 1.0, **changes}
    return StepSpec(count, **values)


def make_entry(name, *, cores=4, **changes):
    """Return a registry entry of an upstream."""
    return UpstreamEntry(
        name, "service", f"{name}:1", "zone", cores * 1000, 100_000, 0, **changes
    )


@dataclass
class FakeUpstream:
    """An upstream that follows the rules of the platform."""

    entry: UpstreamEntry
    incarnation: int = 1
    token: int = 0
    lease_until_s: float = 0.0
    running: dict[TaskId, int] = field(default_factory=dict)
    highest_attempts: dict[TaskId, int] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    # Ends that are listed at a time, oldest first.
    max_listed_ends: int = 500
    end_count: int = 0
    is_disconnected: bool = False
    back_s: float | None = None  # when it is back from a crash
    crashed_s: float = 0.0
    # Checkpoint that a task saves when it is stopped, for those that save one.
    checkpoints: dict[TaskId, str] = field(default_factory=dict)

    def start(self, order: StartOrder, token: int, deadline_s: float, now: float):
        if token < self.token:
            return StartOutcome.FENCED
        self.token = token
        if now > deadline_s:
            return StartOutcome.STALE
        self.lease_until_s = max(self.lease_until_s, deadline_s)
        if order.attempt <= self.highest_attempts.get(order.task, 0):
            is_running = self.running.get(order.task) == order.attempt
            return StartOutcome.STARTED if is_running else StartOutcome.STALE
        self.highest_attempts[order.task] = order.attempt
        self.running[order.task] = order.attempt
        if order.checkpoint:
            assert order.checkpoint == self.checkpoints[order.task], "of another task"
        return StartOutcome.STARTED

    def stop(self, order: StopOrder, token: int) -> bool:
        if token < self.token:
            return False
        self.token = token
        highest = self.highest_attempts.get(order.task, 0)
        self.highest_attempts[order.task] = max(highest, order.attempt)
        if self.running.get(order.task) == order.attempt:
            self.end(order.task, RunEnd.STOPPED)
        return True

    def poll(self, token, acknowledged_end_number, lease_until_s, requested_s, now):
        """Return a report, or None if the token is outdated."""
        if token < self.token:
            return None
        self.token = token
        self.ended = [run for run in self.ended if run.number > acknowledged_end_number]
        if lease_until_s is not None:
            self.lease_until_s = max(self.lease_until_s, lease_until_s)
        running = [RunningRun(task, attempt) for task, attempt in self.running.items()]
        return UpstreamReport(
            self.incarnation,
            requested_s,
            now,
            running,
            self.ended[: self.max_listed_ends],
            is_complete=len(self.ended) < self.max_listed_ends,
        )

    def end(self, task: TaskId, run_end: RunEnd) -> None:
        attempt = self.running.pop(task)
        self.end_count += 1
        is_stopped = run_end is RunEnd.STOPPED
        checkpoint = self.checkpoints.get(task, "") if is_stopped else ""
        self.ended.append(EndedRun(self.end_count, task, attempt, run_end, checkpoint))

    def expire(self, now: float) -> None:
        if now > self.lease_until_s:
            for task in list(self.running):
                self.end(task, RunEnd.LAPSED)

    def crash(self) -> None:
        self.incarnation += 1
        self.token = self.end_count = 0
        self.running, self.highest_attempts, self.ended = {}, {}, []


class World:
    """Simulation of upstreams, a store and one dispatcher at a time."""

    def __init__(self, catalog=None, *entries, **settings):
        self.settings = DispatchSettings(lease_s=LEASE_S, **settings)
        self.now = 100.0
        self.catalog = catalog or make_catalog()
        self.upstreams = {
            upstream.upstream_id: FakeUpstream(upstream) for upstream in entries
        }
        self.jobs: dict[str, StagedJobSpec] = {}
        self.cancelled: dict[str, float] = {}
        self.progress: dict[str, bytes] = {}
        self.step_specs: dict[TaskId, StepSpec] = {}
        self.delayed_starts: list[
            tuple[float, FakeUpstream, int, StartOrder, int, float]
        ] = []
        self.acknowledged: dict[str, tuple[int, int]] = {}
        # Tasks that are done, without those whose end was lost in a crash; these stay
        # in `ever_completed`.
        self.done: set[TaskId] = set()
        self.ever_completed: set[TaskId] = set()
        self.failed: dict[TaskId, int] = {}
        self.run_first_seen_s: dict[tuple[str, TaskId, int], float] = {}
        self.starts = 0
        self.is_store_down = False
        # Fault of the next start: "answer" loses the answer, "lost" the order, and
        # "late" delays the order without an answer.
        self.next_start_fault: str | None = None
        # Tasks that crash each upstream that starts them, `CRASH_DELAY_S` later.
        self.deadly: set[TaskId] = set()
        self.started_s: dict[tuple[TaskId, int], float] = {}
        self.crashes: Counter[TaskId] = Counter()
        self.later_starts: Counter[TaskId] = Counter()
        # Whether a crashed upstream is back under a new id, at its old address.
        self.renames_crashed = False
        # Seconds until a poll of a crashed upstream times out.
        self.detection_s = 0.0
        self.renamed = 0
        self.rng = random.Random(0)
        self.roster: dict[str, UpstreamEntry] = {}
        # Limits of the teams, and from when on they are in force.
        self.limits = [(self.now, self.catalog.teams)]
        self.next_cleanup_s = self.now
        self.term = 0
        self.dispatcher = self.make_dispatcher()

    def make_dispatcher(self):
        """Begin a term and return its dispatcher, as a new decider does."""
        self.term += 1
        self.acknowledged = {}
        settings = self.settings
        dispatcher = Dispatcher(settings, term=self.term - 1, now=self.now)
        dispatcher.set_catalog(self.catalog)
        for name, entry in self.roster.items():
            dispatcher.add_or_update_upstream(entry)
            dispatcher.mark_upstream_unlisted(name)
        for upstream in self.upstreams.values():
            dispatcher.add_or_update_upstream(upstream.entry)
        for name, spec in self.jobs.items():
            encoded = self.progress.get(name)
            stored = None if encoded is None else decode_progress(encoded)
            dispatcher.restore_job(
                spec,
                stored,
                is_cancelled=name in self.cancelled,
                age_s=0.0,
                now=self.now,
            )
        return dispatcher

    def take_over(self):
        """Replace the dispatcher by one that reads only the store and the upstreams."""
        self.roster = {n: u.entry for n, u in self.dispatcher.upstreams.items()}
        self.dispatcher = self.make_dispatcher()

    def set_limits(self, limits):
        """Put other limits of the teams into force, in cores."""
        self.catalog = replace(
            self.catalog, version=self.catalog.version + 1, teams=make_teams(limits)
        )
        self.limits.append((self.now, self.catalog.teams))
        self.dispatcher.set_catalog(self.catalog)

    def submit(self, spec, *, may_have_started=False):
        self.jobs[spec.job_id] = spec
        for occurrence in range(spec.repeat.count if spec.repeat else 1):
            for number, step in enumerate(spec.steps):
                for index in range(step.count):
                    self.step_specs[TaskId(spec.job_id, occurrence, number, index)] = (
                        step
                    )
        self.dispatcher.submit(spec, now=self.now, may_have_started=may_have_started)

    def cancel(self, job_id):
        self.cancelled[job_id] = self.now
        self.dispatcher.cancel(job_id, self.now)

    def step(self, seconds=0.05):
        """Advance time, poll all upstreams, tick, and execute the orders."""
        self.now += seconds
        self._deliver_delayed_starts()
        for upstream in list(self.upstreams.values()):
            upstream.expire(self.now)
            self._crash_or_return(upstream)
        self.poll()
        if self.now >= self.next_cleanup_s:
            self.next_cleanup_s = self.now + 5.0
            self.dispatcher.remove_unused_upstreams(self.now)
        self._commit()
        self._execute_orders(self.dispatcher.tick(self.now, self.now))
        self.check_invariants()

    def run(self, seconds, *, end=RunEnd.DONE, after_s=1.0):
        """Advance time; each run ends as `end` after `after_s` seconds."""
        end_s = self.now + seconds
        while self.now < end_s:
            self.step()
            for upstream in self.upstreams.values():
                for task, attempt in list(upstream.running.items()):
                    if self.step_specs[task].is_long_running:
                        continue
                    key = (upstream.entry.upstream_id, task, attempt)
                    first_seen_s = self.run_first_seen_s.setdefault(key, self.now)
                    if self.now - first_seen_s >= after_s:
                        self.end(upstream, task, end)

    def end(self, upstream, task, run_end):
        """End a run; a gang is done when one of its members is.

        As on the platform, a member that the others have not joined is not done: it
        has waited for them in vain.
        """
        if run_end is RunEnd.DONE and not self._works(upstream, task):
            run_end = RunEnd.ALONE
        if run_end is RunEnd.FAILED:
            self.failed[task] = self.failed.get(task, 0) + 1
        if run_end is RunEnd.DONE:
            self.done |= self.tasks_ending_with(task)
            self.ever_completed |= self.tasks_ending_with(task)
        upstream.end(task, run_end)

    def _works(self, upstream, task):
        """Return whether a run works, which members of a gang only do together."""
        attempt = upstream.running[task]
        running = {t for _, t, number in self.running() if number == attempt}
        return self.tasks_ending_with(task) <= running

    def tasks_ending_with(self, task):
        """Return the tasks that are done together with a task: itself or its gang."""
        step = self.step_specs[task]
        if not step.is_gang:
            return {task}
        return {task._replace(number=number) for number in range(step.count)}

    def crash(self, name):
        """Restart an upstream as a new incarnation.

        Its unacknowledged ends are lost, so the dispatcher may not count on them.
        """
        upstream = self.upstreams[name]
        gangs = {t[:3] for t in upstream.running if self.step_specs[t].is_gang}
        for run in upstream.ended:
            if run.end is RunEnd.DONE:
                self.done -= self.tasks_ending_with(run.task)
            if run.end is RunEnd.FAILED:
                self.failed[run.task] -= 1
        upstream.crash()
        for other in self.upstreams.values():
            for task in [task for task in other.running if task[:3] in gangs]:
                other.end(task, RunEnd.BROKEN)

    def _crash_or_return(self, upstream):
        """Crash an upstream that runs a deadly task; reconnect one that is back."""
        if upstream.back_s is not None and upstream.back_s <= self.now:
            upstream.back_s, upstream.is_disconnected = None, False
            if self.renames_crashed:
                self._rename(upstream)
                return
        deadly = [
            task
            for task, attempt in upstream.running.items()
            if task in self.deadly
            and self.now - self.started_s[task, attempt] >= CRASH_DELAY_S
        ]
        if not deadly:
            return
        for task in deadly:
            self.crashes[task] += 1
        self.crash_for(upstream.entry.upstream_id, self.rng.uniform(*DOWN_S))

    def crash_for(self, name, seconds):
        """Crash an upstream that is silent for some seconds."""
        self.crash(name)
        upstream = self.upstreams[name]
        upstream.is_disconnected, upstream.back_s = True, self.now + seconds
        upstream.crashed_s = self.now

    def _rename(self, upstream):
        """Give an upstream that is back a new id, at the address that it had."""
        old = upstream.entry.upstream_id
        self.renamed += 1
        name = f"{old.partition('-')[0]}-{self.renamed}"
        upstream.entry = replace(upstream.entry, upstream_id=name)
        self.upstreams = {u.entry.upstream_id: u for u in self.upstreams.values()}
        self.dispatcher.add_or_update_upstream(upstream.entry, self.now)
        self.dispatcher.mark_upstream_unlisted(old)
        self.dispatcher.mark_unreachable(old, self.now)

    def get_state(self, job_id):
        return self.dispatcher.get_state(job_id)

    def running(self):
        """Return every run as (upstream, task, attempt)."""
        return [
            (upstream.entry.upstream_id, task, attempt)
            for upstream in self.upstreams.values()
            for task, attempt in upstream.running.items()
        ]

    def check_invariants(self):
        """Assert the invariants that hold at all times."""
        running_tasks: set[TaskId] = set()
        for upstream in self.upstreams.values():
            used = sum(self.step_specs[task].cpu_millis for task in upstream.running)
            assert used <= upstream.entry.cpu_millis, "exceeds its capacity"
            for task in upstream.running:
                if not self.step_specs[task].is_speculative:
                    assert task not in running_tasks, f"{task} runs twice"
                running_tasks.add(task)

    def poll(self):
        """Poll every connected upstream on behalf of the dispatcher."""
        for name, upstream in self.upstreams.items():
            if upstream.is_disconnected:
                if self.now >= upstream.crashed_s + self.detection_s:
                    self.dispatcher.mark_unreachable(name, self.now)
                continue
            incarnation, number = self.acknowledged.get(name, (0, 0))
            acknowledged = number if incarnation == upstream.incarnation else 0
            lease = None
            state = self.dispatcher.upstreams[name]
            if state.is_reachable:
                lease = self.now + LEASE_S
                self.dispatcher.record_lease(name, self.now)
            report = upstream.poll(
                self.term, acknowledged, lease, self.now - 0.001, self.now
            )
            if report is not None:
                self.dispatcher.process_report(name, report, self.now)

    def _commit(self):
        commit = self.dispatcher.begin_commit()
        if commit is None:
            return
        is_stored = not self.is_store_down or not commit.progress
        if is_stored:
            self.progress.update(commit.progress)
            self.acknowledged.update(commit.acknowledged_ends)
        self.dispatcher.finish_commit(commit, is_stored=is_stored)

    def _execute_orders(self, orders):
        for request in orders.advice:
            tickets = dict.fromkeys(request.upstream_ids, "ticket")
            self.dispatcher.process_advice(
                Advice(request.step, request.upstream_ids, tickets, 2.0, self.now)
            )
        for order in orders.starts:
            self._start(order)
        for order in orders.stops:
            upstream = self.upstreams.get(order.upstream_id)
            if upstream is None or upstream.is_disconnected:
                continue
            if upstream.stop(order, self.term):
                self.dispatcher.process_stop_answer(order, self.now)

    def _start(self, order):
        upstream = self.upstreams[order.upstream_id]
        deadline_s = self.now + LEASE_S
        self.dispatcher.record_lease(order.upstream_id, self.now)
        fault, self.next_start_fault = self.next_start_fault, None
        if fault == "late":
            self.delayed_starts.append(
                (
                    self.now + 3.0,
                    upstream,
                    upstream.incarnation,
                    order,
                    self.term,
                    deadline_s,
                )
            )
        if upstream.is_disconnected or fault in ("late", "lost"):
            outcome = StartOutcome.UNKNOWN
        else:
            outcome = self._start_on_upstream(upstream, order, self.term, deadline_s)
            if fault == "answer":
                outcome = StartOutcome.UNKNOWN
        self.dispatcher.process_start_outcome(order, outcome, self.now)

    def _start_on_upstream(self, upstream, order, token, deadline_s):
        is_new = order.task not in upstream.running
        if self.step_specs[order.task].is_checkpointing:
            upstream.checkpoints[order.task] = self.make_checkpoint(order.task)
        outcome = upstream.start(order, token, deadline_s, self.now)
        if outcome is StartOutcome.STARTED and is_new:
            self.starts += 1
            self.started_s[order.task, order.attempt] = self.now
            self._check_start(order.task)
            self._check_quota(order.task)
        return outcome

    def make_checkpoint(self, task):
        """Return the checkpoint of a task; that of any member serves its gang."""
        is_gang = self.step_specs[task].is_gang
        return f"checkpoint of {StepId(*task[:3]) if is_gang else task}"

    def list_team_runs(self, team):
        """Return the tasks of a team that run at any upstream."""
        return [t for _, t, _ in self.running() if self.jobs[t.job_id].team == team]

    def _check_quota(self, task):
        """Judge what a team runs after a start; a lowered limit stops nothing."""
        team = self.jobs[task.job_id].team
        limits_millis = []
        until_s = self.now
        for from_s, teams in reversed(self.limits):
            if until_s < self.now - QUOTA_WINDOW_S:
                break
            policy = None if teams is None else teams.get(team)
            if policy is None or not policy.limit.cpu_millis:
                return
            limits_millis.append(policy.limit.cpu_millis)
            until_s = from_s
        needs = [self.step_specs[t].cpu_millis for t in self.list_team_runs(team)]
        most = max(limits_millis) * (1 + QUOTA_OVERRUN) + max(needs)
        assert sum(needs) <= most, f"team {team} runs {sum(needs)}, at most {most}"

    def _check_start(self, task):
        assert task not in self.done, f"{task} started after it was done"
        # Where the number of attempts is not known, only first attempts may start.
        max_attempts = self.catalog.queues[QUEUE].max_attempts or 1
        if not self.step_specs[task].is_long_running:
            assert self.failed.get(task, 0) < max_attempts, f"{task} started too often"
        if self.crashes[task] >= MAX_CRASHES:
            self.later_starts[task] += 1
            assert self.later_starts[task] <= MAX_LATER_STARTS, (
                f"{task} started again after {self.crashes[task]} crashes"
            )
        for number in self.jobs[task.job_id].steps[task.step].after:
            for index in range(self.jobs[task.job_id].steps[number].count):
                earlier = TaskId(task.job_id, task.occurrence, number, index)
                # A step may start once the end was reported, acknowledged or not.
                assert earlier in self.ever_completed, (
                    f"{task} started before {earlier}"
                )

    def _deliver_delayed_starts(self):
        due = [start for start in self.delayed_starts if start[0] <= self.now]
        self.delayed_starts = [
            start for start in self.delayed_starts if start[0] > self.now
        ]
        for _, upstream, incarnation, order, token, deadline_s in due:
            if upstream.incarnation == incarnation:
                self._start_on_upstream(upstream, order, token, deadline_s)


def read_stored_progress(world, job_id):
    """Return the stored progress of a job."""
    encoded = world.progress.get(job_id)
    return None if encoded is None else decode_progress(encoded)


__all__ = [
    "QUEUE",
    "URGENT_QUEUE",
    "AdvicePolicy",
    "JobProgress",
    "World",
    "make_catalog",
    "make_entry",
    "make_job",
    "make_step",
    "read_stored_progress",
]
