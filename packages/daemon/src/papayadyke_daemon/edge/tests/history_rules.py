"""The rules that hold in every history, judged by what upstreams and callers see.

The names in capitals are those of the platform's rules.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from papayadyke_core.dispatch import (
    FINAL_STATES,
    JobState,
    RunEnd,
    StagedJobSpec,
    TaskId,
    decode_progress,
)
from papayadyke_daemon.edge import IntakeOutcome
from papayadyke_daemon.edge._early_cancels import MAX_JOB_AGE_S
from papayadyke_daemon.edge._keys import PROGRESS_PREFIX

# BUDGET: a task may be given up after `MIN_CRASHES` crashes of upstreams under it; one
# that crashes them may start `MAX_LATER_STARTS` times after `MAX_CRASHES`.
MIN_CRASHES, MAX_CRASHES, MAX_LATER_STARTS = 2, 3, 2
# QUOTA: by which the runs of a team may exceed the highest limit of the last seconds,
# in addition to one task.
QUOTA_OVERRUN, QUOTA_WINDOW_S = 0.1, 3.0
REFUSALS = (IntakeOutcome.REFUSED, IntakeOutcome.NO_ROOM, IntakeOutcome.CANCELLED)


def expand_rows(rows):
    """Return each index of stored rows, which may be ranges."""
    for row in rows:
        first, last = (row, row) if isinstance(row, int) else row
        yield from range(first, last + 1)


@dataclass
class SentJob:
    """A job that was handed in, and what its callers were told."""

    spec: StagedJobSpec
    outcomes: list[IntakeOutcome] = field(default_factory=list)
    is_open: bool = False
    has_started: bool = False
    cancel_sent: bool = False
    shown_state: JobState | None = None


@dataclass
class SeenEnd:
    """The end of a run of a task, or of the gang that it belongs to."""

    at_s: float
    attempt: int
    upstream_id: str
    incarnation: int
    number: int
    is_acknowledged: bool = False


class HistoryRules:
    """Judge starts, ends, acknowledgements, commits and answers.

    Parameters
    ----------
    world : HistoryWorld
    max_attempts : int
        Failed runs of a task after which its job fails.
    """

    def __init__(self, world, *, max_attempts):
        self.jobs: dict[str, SentJob] = {}
        self.starts = 0
        self._world = world
        self._max_attempts = max_attempts
        self._starts: dict[tuple, list[float]] = defaultdict(list)
        self._done: dict[tuple, list[SeenEnd]] = defaultdict(list)
        self._failed: dict[tuple, list[SeenEnd]] = defaultdict(list)
        self._ever_done: set[tuple] = set()
        self.crashes: Counter[TaskId] = Counter()
        self._later_starts: Counter[TaskId] = Counter()
        self._ever_failed: dict[str, int] = defaultdict(int)
        self._progress: dict[str, tuple[JobState, set]] = {}
        # When jobs were cancelled that were not stored, and by which team.
        self._unknown: dict[str, tuple[float, str]] = {}

    # Callers

    def sent(self, spec):
        """Record that a job is being handed in."""
        job = self.jobs.setdefault(spec.job_id, SentJob(spec))
        job.is_open = True

    def answered(self, job_id, outcome):
        job = self.jobs[job_id]
        job.is_open = False
        job.outcomes.append(outcome)
        if outcome is IntakeOutcome.ACCEPTED and self._is_cancelled(job):
            # A later job may have the id once the cancellation is forgotten.
            age_s = self._world.now - self._unknown.pop(job_id)[0]
            assert age_s > MAX_JOB_AGE_S, f"UNASKED: {job_id} was cancelled"

    def _is_cancelled(self, job):
        """Return whether a job was cancelled by its team before it was stored."""
        _, team = self._unknown.get(job.spec.job_id, (0.0, None))
        return team is not None and job.spec.team in ("", team)

    def cancelling(self, job_id):
        if job_id in self.jobs:
            self.jobs[job_id].cancel_sent = True

    def cancelled(self, job_id, outcome, team):
        job = self.jobs.get(job_id)
        if outcome is IntakeOutcome.NO_SUCH_JOB:
            accepted = job is not None and IntakeOutcome.ACCEPTED in job.outcomes
            assert not accepted, f"LOST: {job_id} was accepted and is not known"
            self._unknown[job_id] = self._world.now, team

    def check_state(self, job_id, state):
        """Judge a state that a VM shows."""
        job = self.jobs.get(job_id)
        if job is None:
            is_shown = isinstance(state, JobState)
            assert not is_shown, f"MIXED: nobody handed in {job_id}"
            return
        if state is None:
            accepted = IntakeOutcome.ACCEPTED in job.outcomes
            assert not accepted, f"LOST: {job_id} was accepted and is not known"
        if not isinstance(state, JobState):
            return
        if state is JobState.COMPLETE:
            missing = set(self._list_keys(job)) - self._ever_done
            assert not missing, f"MIXED: {job_id} is complete without {missing}"
        if state is JobState.FAILED:
            failures = self._ever_failed[job_id]
            assert failures >= self._max_attempts or self._is_given_up(job_id), (
                f"LOST: {job_id} failed too early"
            )
        if state is JobState.CANCELLED:
            assert job.cancel_sent, f"LOST: nobody cancelled {job_id}"
        if job.shown_state in (JobState.COMPLETE, JobState.FAILED):
            assert state is job.shown_state, f"MIXED: {job_id} was {job.shown_state}"
        job.shown_state = state

    # Upstreams

    def started(self, upstream, order):
        """Judge a start that an upstream has carried out."""
        self.starts += 1
        task = order.task
        job = self.jobs.get(task.job_id)
        assert job is not None, f"UNASKED: nobody handed in {task.job_id}"
        assert not self._is_cancelled(job), f"UNASKED: {task.job_id} was cancelled"
        assert order.payload == job.spec.payload, f"UNASKED: payload of {task}"
        job.has_started = True
        for other in self._world.upstreams.values():
            if other is not upstream and not other.is_gone:
                assert task not in other.running, f"TWICE: {task} runs twice"
        used = sum(
            self.jobs[running.job_id].spec.steps[running.step].cpu_millis
            for running in upstream.running
        )
        capacity = upstream.read_capacity(self._world.now)
        assert used <= capacity, f"LIMIT: {upstream.upstream_id} is full"
        self._check_quota(job.spec.team)
        step = job.spec.steps[task.step]
        for number in step.after:
            keys = self._list_step_keys(job, number)
            missing = set(keys) - self._ever_done
            assert not missing, f"ORDER: {task} before {missing}"
        key = self._key(task)
        for ended in self._done[key]:
            assert not ended.is_acknowledged, f"TWICE: {task} was done"
        self._starts[key].append(self._world.now)
        if task.job_id in self._world.deadly_jobs and self.crashes[task] >= MAX_CRASHES:
            self._later_starts[task] += 1
            assert self._later_starts[task] <= MAX_LATER_STARTS, (
                f"BUDGET: {task} started after {self.crashes[task]} crashes"
            )
        self._check_budget(key)

    def ended(self, upstream, ended):
        """Record an end that an upstream lists."""
        seen = SeenEnd(
            self._world.now,
            ended.attempt,
            upstream.upstream_id,
            upstream.incarnation,
            ended.number,
        )
        key = self._key(ended.task)
        if ended.end is RunEnd.DONE:
            self._done[key].append(seen)
            self._ever_done.add(key)
        elif ended.end is RunEnd.FAILED:
            self._failed[key].append(seen)
            self._ever_failed[ended.task.job_id] += 1

    def acknowledged(self, upstream, ended):
        """Judge an end that the decider has taken note of."""
        key = self._key(ended.task)
        ends = {RunEnd.DONE: self._done, RunEnd.FAILED: self._failed}.get(ended.end)
        for seen in [] if ends is None else ends[key]:
            if (seen.upstream_id, seen.incarnation, seen.number) != (
                upstream.upstream_id,
                upstream.incarnation,
                ended.number,
            ):
                continue
            # An end that is taken note of after the lease lapsed does not count.
            if upstream.lapsed_s > seen.at_s:
                continue
            seen.is_acknowledged = True
            if ended.end is RunEnd.DONE:
                late = [at_s for at_s in self._starts[key] if at_s > seen.at_s]
                assert not late, f"TWICE: {ended.task} started after it was done"
            else:
                self._check_budget(key)

    def crashed(self, upstream):
        """Forget the ends that nobody can take note of, and count for each task."""
        self.crashes.update(upstream.running)
        for ends in (*self._done.values(), *self._failed.values()):
            ends[:] = [
                seen
                for seen in ends
                if seen.is_acknowledged
                or seen.upstream_id != upstream.upstream_id
                or seen.incarnation != upstream.incarnation
            ]

    # Store

    def check_commit(self, writes, removed):
        """Judge the progress that a decider stores: it never goes back."""
        for write in writes:
            if not write.key.startswith(PROGRESS_PREFIX):
                continue
            progress = decode_progress(write.value)
            done = {
                (name, index)
                for name, step in progress.steps.items()
                for index in expand_rows(step.done)
            }
            state, earlier = self._progress.get(write.key, (None, set()))
            assert state not in FINAL_STATES or state is progress.state, (
                f"{write.key} reverts from {state} to {progress.state}"
            )
            assert progress.state in FINAL_STATES or done >= earlier, (
                f"{write.key} forgets {earlier - done}"
            )
            self._progress[write.key] = (progress.state, done)

    # The end of a history

    def all_ended(self, states):
        return all(
            states[job_id] in FINAL_STATES
            for job_id, job in self.jobs.items()
            if IntakeOutcome.ACCEPTED in job.outcomes
        )

    def check_settled(self, states):
        """Judge the state without any fault."""
        for job_id, job in self.jobs.items():
            self.check_state(job_id, states[job_id])
            if IntakeOutcome.ACCEPTED in job.outcomes:
                assert states[job_id] in FINAL_STATES, f"LOST: {job_id} waits for good"
            if job.has_started:
                refused = [o in REFUSALS for o in job.outcomes]
                assert not refused or not all(refused), f"REFUSED: {job_id} ran"
        for upstream in self._world.upstreams.values():
            assert not upstream.running, f"UNASKED: {upstream.running} goes on"
            if not upstream.is_gone:
                assert not upstream.ended, f"{upstream.ended} is not taken note of"

    # Helpers

    def list_gang(self, task) -> set[TaskId]:
        """Return the tasks that work together with a task: itself or its gang."""
        step = self.jobs[task.job_id].spec.steps[task.step]
        if not step.is_gang:
            return {task}
        return {task._replace(number=number) for number in range(step.count)}

    def _check_quota(self, team):
        """Judge what a team runs after a start; a lowered limit stops nothing."""
        limits_millis = []
        until_s = self._world.now
        for from_s, catalog in reversed(self._world.catalogs):
            if until_s < self._world.now - QUOTA_WINDOW_S:
                break
            policy = catalog.teams.get(team)
            if policy is None or not policy.limit.cpu_millis:
                return
            limits_millis.append(policy.limit.cpu_millis)
            until_s = from_s
        needs = [
            self.jobs[task.job_id].spec.steps[task.step].cpu_millis
            for upstream in self._world.upstreams.values()
            for task in upstream.running
            if self.jobs[task.job_id].spec.team == team
        ]
        most = max(limits_millis) * (1 + QUOTA_OVERRUN) + max(needs)
        assert sum(needs) <= most, f"QUOTA: {team} runs {sum(needs)}, at most {most}"

    def _is_given_up(self, job_id):
        """Return whether two upstreams have crashed under a task of a job."""
        return any(
            task.job_id == job_id and crashes >= MIN_CRASHES
            for task, crashes in self.crashes.items()
        )

    def _key(self, task) -> tuple:
        """Return the task, or its step if one end stands for the whole gang."""
        step = self.jobs[task.job_id].spec.steps[task.step]
        return tuple(task[:3]) if step.is_gang else tuple(task)

    def _list_step_keys(self, job, number):
        step = job.spec.steps[number]
        tasks = [TaskId(job.spec.job_id, 0, number, i) for i in range(step.count)]
        return [self._key(task) for task in tasks]

    def _list_keys(self, job):
        numbers = range(len(job.spec.steps))
        return [key for number in numbers for key in self._list_step_keys(job, number)]

    def _check_budget(self, key):
        """Judge starts after the last permitted failure was listed."""
        failures: dict[int, float] = {}
        for seen in self._failed[key]:
            if seen.is_acknowledged:
                failures.setdefault(seen.attempt, seen.at_s)
        if len(failures) < self._max_attempts:
            return
        last_s = sorted(failures.values())[self._max_attempts - 1]
        late = [at_s for at_s in self._starts[key] if at_s > last_s]
        assert not late, f"BUDGET: {key} started after {len(failures)} failures"
