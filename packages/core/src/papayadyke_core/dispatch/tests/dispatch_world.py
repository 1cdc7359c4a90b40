"""In-memory simulation of upstreams and a store, for tests of the dispatcher.

The simulated upstreams follow the rules of the platform: fencing tokens, attempts that
only increase, leases, and ends that stay listed until they are acknowledged. They
start again under their ids, and carry out calls late, also in a later life and while
they are cut off. The invariants of the dispatcher are checked against the state of the
upstreams.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

from papayadyke_core.dispatch import (
    Advice,
    AdvicePolicy,
    Catalog,
    Dispatcher,
    DispatchSettings,
    JobProgress,
    QueuePolicy,
    RunEnd,
    StagedJobSpec,
    StartOutcome,
    StepId,
    StepSpec,
    TaskId,
    UpstreamEntry,
    decode_progress,
)
from papayadyke_core.dispatch.tests.fake_upstream import (
    FIRST_CLOCK_S,
    MAX_CLOCK_DRIFT,
    Contact,
    FakeUpstream,
    LateCall,
)
from papayadyke_core.resources import Resources
from papayadyke_core.teams import TeamPolicy

QUEUE, URGENT_QUEUE = "host/queue/", "host/urgent/"
LEASE_S = 6.0
CRASH_DELAY_S = 0.2  # seconds from the start of a deadly task to the crash
DOWN_S = (2.0, 4.0)  # seconds until a crashed upstream is back
MAX_LATE_S = 12.0  # seconds after which a call is no longer carried out
SLOW_START_S = 0.3  # seconds that a slow start takes, which is answered
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


class World:
    """Simulation of upstreams, a store and one dispatcher at a time."""

    def __init__(self, catalog=None, *entries, **settings):
        self.settings = DispatchSettings(lease_s=LEASE_S, **settings)
        self.now = 100.0
        self.catalog = catalog or make_catalog()
        self.upstreams = {
            entry.upstream_id: FakeUpstream(entry, self.now - FIRST_CLOCK_S)
            for entry in entries
        }
        self.jobs: dict[str, StagedJobSpec] = {}
        self.cancelled: dict[str, float] = {}
        self.progress: dict[str, bytes] = {}
        self.step_specs: dict[TaskId, StepSpec] = {}
        self.late_calls: list[LateCall] = []
        self.acknowledged: dict[str, tuple[int, int]] = {}
        self.contacts: dict[str, Contact] = {}
        # Tasks that are done, without those whose end was lost in a crash before it was
        # acknowledged; these stay in `ever_completed`. An end counts as acknowledged
        # once its upstream has forgotten it, whichever call made it do so.
        self.done: set[TaskId] = set()
        self.noted: set[TaskId] = set()
        self.ever_completed: set[TaskId] = set()
        self.failed: dict[TaskId, int] = {}
        self.run_first_seen_s: dict[tuple[str, TaskId, int], float] = {}
        self.starts = 0
        self.is_store_down = False
        # Fault of the next start, of the next stop, and of the next poll of an
        # upstream: "answer" loses the answer, "lost" the call, "late" delays the call
        # by `late_s` without an answer, and before "crash" the upstream starts again,
        # unless a task that it runs has been in a crash before.
        # A "slow" start takes a while, and is answered.
        self.next_start_fault: str | None = None
        self.next_stop_fault: str | None = None
        self.poll_faults: dict[str, str] = {}
        self.late_s = 3.0
        # Tasks that crash each upstream that starts them, `CRASH_DELAY_S` later.
        self.deadly: set[TaskId] = set()
        self.started_s: dict[tuple[TaskId, int], float] = {}
        self.crashes: Counter[TaskId] = Counter()
        # Crashes of lives in which a task had been started, whatever crashed them.
        self.crashed_lives: Counter[TaskId] = Counter()
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
        self.contacts = {}
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
        self.roster = {
            name: upstream.entry
            for name, upstream in self.dispatcher.upstreams.items()
            if upstream.is_recorded or upstream.may_have_runs
        }
        self.dispatcher = self.make_dispatcher()

    def use_slow_clock(self, name):
        """Have the clock of an upstream run as slowly as it may in all its lives."""
        self.upstreams[name].clock_rate = 1.0 - MAX_CLOCK_DRIFT

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
        self._deliver_late_calls()
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
        self._crash_at(name, self.now)

    def _crash_at(self, name, at_s):
        upstream = self.upstreams[name]
        self.crashed_lives.update(upstream.highest_attempts)
        gangs = {t[:3] for t in upstream.running if self.step_specs[t].is_gang}
        for run in upstream.ended:
            if run.end is RunEnd.DONE:
                self.done -= self.tasks_ending_with(run.task) - self.noted
            if run.end is RunEnd.FAILED:
                self.failed[run.task] -= 1
        upstream.crash(at_s)
        for other in self.upstreams.values():
            for task in [task for task in other.running if task[:3] in gangs]:
                other.end(task, RunEnd.BROKEN)

    def has_hit_task(self, name):
        """Return whether an unfinished task of a life has been in a crashed one."""
        return any(
            self.crashed_lives[task] and task not in self.done
            for task in self.upstreams[name].highest_attempts
        )

    def _crash_or_return(self, upstream):
        """Crash an upstream that runs a deadly task; reconnect one that is back."""
        if upstream.back_s is not None and upstream.back_s <= self.now:
            upstream.back_s, upstream.is_disconnected = None, False
            upstream.begin_clock(self.now)
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
        for name, upstream in list(self.upstreams.items()):
            contact = self.contacts.setdefault(name, Contact())
            if upstream.is_disconnected:
                if self.now >= upstream.crashed_s + self.detection_s:
                    contact.record_failure()
                    self.dispatcher.mark_unreachable(name, self.now)
                continue
            report = self._poll(name, contact)
            if report is not None:
                self.dispatcher.process_report(name, report, self.now)
                self.dispatcher.mark_upstream_recorded(name)

    def _poll(self, name, contact):
        """Poll an upstream, and return a report of a life that knows its token.

        The first answer of a life is followed by a poll with a token that was never
        sent to another one, so that calls meant for another life are fenced from then
        on. Only the answer to that poll is passed on.
        """
        is_known = False
        while not is_known:
            upstream = self.upstreams[name]
            report = self._call_poll(name, contact)
            if report is None:
                contact.record_failure()
                self.dispatcher.mark_unreachable(name, self.now)
                return None
            clock_s = upstream.read_clock(self.now)
            is_known = contact.record_answer(report.incarnation, clock_s, self.now)
        return report

    def _call_poll(self, name, contact):
        """Send a poll; return the report, or None if there is no answer."""
        acknowledged, deadline_clock_s = 0, None
        if contact.is_sound:
            incarnation, number = self.acknowledged.get(name, (0, 0))
            acknowledged = number if incarnation == contact.incarnation else 0
            if acknowledged == contact.confirmed_end:
                acknowledged = 0
            deadline_clock_s = contact.convert_to_clock(self.now + LEASE_S)
            self.dispatcher.record_lease(name, self.now)
        token = contact.get_token(self.term)
        requested_s = self.now - 0.001

        def carry_out(upstream, at_s):
            report = upstream.poll(
                token, acknowledged, deadline_clock_s, requested_s, at_s
            )
            for run in upstream.forgotten:
                if run.end is RunEnd.DONE:
                    self.noted |= self.tasks_ending_with(run.task)
            upstream.forgotten.clear()
            return report

        fault = self.poll_faults.pop(name, None)
        report = self._call(name, fault, carry_out)
        if report is not None and report.incarnation == contact.incarnation:
            contact.confirmed_end = max(contact.confirmed_end, acknowledged)
        return report

    def _call(self, name, fault, carry_out):
        """Carry out a call, at once or late; return its answer, if there is one."""
        if fault == "late":
            due_s = self.now + self.late_s
            self.late_calls.append(LateCall(due_s, self.now, name, carry_out))
        if fault in ("late", "lost"):
            return None
        if fault == "crash" and not self.has_hit_task(name):
            self._crash_at(name, self.now)
        answer = carry_out(self.upstreams[name], self.now)
        return None if fault == "answer" else answer

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
            self._stop(order)

    def _stop(self, order):
        upstream = self.upstreams.get(order.upstream_id)
        if upstream is None or upstream.is_disconnected:
            return
        contact = self.contacts.setdefault(order.upstream_id, Contact())
        token = contact.get_token(self.term)
        fault, self.next_stop_fault = self.next_stop_fault, None
        is_accepted = self._call(
            order.upstream_id, fault, lambda upstream, _: upstream.stop(order, token)
        )
        if is_accepted:
            self.dispatcher.process_stop_answer(order, self.now)
        else:
            contact.record_failure()

    def _start(self, order):
        name = order.upstream_id
        contact = self.contacts.setdefault(name, Contact())
        present = self.dispatcher.upstreams[name].incarnation
        if getattr(order, "incarnation", present) != contact.incarnation:
            self._answer_start(order, StartOutcome.EXPIRED)
            return
        fault, self.next_start_fault = self.next_start_fault, None
        self.dispatcher.record_lease(name, self.now)
        token = contact.get_token(self.term)
        deadline_clock_s = contact.convert_to_clock(self.now + LEASE_S)
        sent = replace(contact)

        def carry_out(upstream, at_s):
            outcome = self._start_on_upstream(
                upstream, order, token, deadline_clock_s, at_s
            )
            if not sent.fits(upstream.read_clock(at_s), at_s):
                outcome = StartOutcome.UNKNOWN
            if outcome is StartOutcome.FENCED and token < contact.get_token(term):
                outcome = StartOutcome.STALE
            return outcome

        term = self.term
        if self.upstreams[name].is_disconnected:
            self._answer_start(order, StartOutcome.UNKNOWN)
        elif fault == "slow":
            self.late_calls.append(
                LateCall(
                    self.now + SLOW_START_S,
                    self.now,
                    name,
                    lambda *where: self._answer_start(order, carry_out(*where), term),
                    lambda: self._answer_start(order, StartOutcome.UNKNOWN, term),
                )
            )
        else:
            outcome = self._call(name, fault, carry_out)
            self._answer_start(order, outcome or StartOutcome.UNKNOWN)

    def _answer_start(self, order, outcome, term=None):
        """Pass on the outcome of a start, unless its term has ended."""
        if term not in (None, self.term):
            return
        if outcome is StartOutcome.UNKNOWN:
            self.contacts[order.upstream_id].record_failure()
        self.dispatcher.process_start_outcome(order, outcome, self.now)

    def _start_on_upstream(self, upstream, order, token, deadline_clock_s, at_s):
        is_new = order.task not in upstream.running
        if self.step_specs[order.task].is_checkpointing:
            upstream.checkpoints[order.task] = self.make_checkpoint(order.task)
        outcome = upstream.start(order, token, deadline_clock_s, at_s)
        if outcome is StartOutcome.STARTED and is_new:
            self.starts += 1
            self.started_s[order.task, order.attempt] = at_s
            self._check_start(order.task)
            self._check_quota(order.task, since_s=order.ordered_s)
        return outcome

    def make_checkpoint(self, task):
        """Return the checkpoint of a task; that of any member serves its gang."""
        is_gang = self.step_specs[task].is_gang
        return f"checkpoint of {StepId(*task[:3]) if is_gang else task}"

    def list_team_runs(self, team):
        """Return the tasks of a team that run at any upstream."""
        return [t for _, t, _ in self.running() if self.jobs[t.job_id].team == team]

    def _check_quota(self, task, *, since_s):
        """Judge what a team runs after a start; a lowered limit stops nothing.

        The limits since the order count: it may have been sent long before.
        """
        begun_s = min(since_s, self.now - QUOTA_WINDOW_S)
        team = self.jobs[task.job_id].team
        limits_millis = []
        until_s = self.now
        for from_s, teams in reversed(self.limits):
            if until_s < begun_s:
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

    def _deliver_late_calls(self):
        """Carry out the calls that are due, each at its time and in any life.

        A cut does not prevent it: the call may have passed before. One that is due
        while no life is there waits for the next.
        """
        waiting, self.late_calls = self.late_calls, []
        for call in sorted(waiting, key=lambda call: call.due_s):
            if call.due_s > self.now:
                self.late_calls.append(call)
                continue
            for other in self.upstreams.values():
                other.expire(call.due_s)
            upstream = self.upstreams.get(call.upstream_id)
            if upstream is None or (call.on_failure and upstream.is_disconnected):
                if call.on_failure is not None:
                    call.on_failure()
            elif upstream.back_s is None:
                call.carry_out(upstream, call.due_s)
                self.check_invariants()
            elif upstream.back_s < call.sent_s + MAX_LATE_S:
                due_s = max(call.due_s, upstream.back_s)
                self.late_calls.append(replace(call, due_s=due_s))


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
