"""Checks of the promises, from the view of upstreams and callers."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from papayadyke_adapter_standins import RunSeen, TaskBehavior
from papayadyke_core.dispatch import (
    EndedRun,
    JobState,
    RunEnd,
    StagedJobSpec,
    TaskId,
)
from papayadyke_daemon.edge import read_clock
from papayadyke_soak._ledger import JobRecord, Ledger

VISIBLE_S = 3.0  # seconds after which every VM knows an accepted job
# Crashes of upstreams under a task after which its job may be given up.
MIN_CRASHES = 2
# Starts of a task that crashes its upstreams, after that many of them have crashed.
MAX_CRASHES, MAX_LATER_STARTS = 3, 2


class Needs(msgspec.Struct):
    """Payload of a soak's job: what each of its tasks needs."""

    duration_s: float
    cpu_millis: int
    gang: int = 0
    succeeds: bool = True
    crash_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken promise."""

    promise: str
    detail: str
    at_s: float


class Promises:
    """Observe every start, end and answer to a caller.

    Parameters
    ----------
    ledger : Ledger
    read_capacity : callable
        Returns the most that an upstream may be given, in thousandths of a core.
    max_attempts : int
    list_running : callable
        Returns what runs on all upstreams that are up.
    """

    def __init__(
        self,
        ledger: Ledger,
        *,
        read_capacity: Callable[[str], int],
        max_attempts: int,
        list_running: Callable[[], list[RunSeen]],
    ) -> None:
        self.violations: list[Violation] = []
        self.counts: Counter[str] = Counter()
        self._ledger = ledger
        self._read_capacity = read_capacity
        self._max_attempts = max_attempts
        self._list_running = list_running
        self._lock = threading.RLock()
        self._ever_done: set[TaskId] = set()
        self._noted_done: set[TaskId] = set()
        # Runs that ended done and are not noted, and what has started since.
        self._starts_since: dict[tuple[TaskId, int], list[RunSeen]] = {}
        self._crashes: Counter[TaskId] = Counter()
        self._later_starts: Counter[TaskId] = Counter()
        self._failed: Counter[TaskId] = Counter()
        self._noted_failed: Counter[TaskId] = Counter()
        self._begun = read_clock()

    def behavior_of(self, payload: str) -> TaskBehavior:
        """Return what a task with this payload does."""
        needs = _read_needs(payload)
        return TaskBehavior(
            needs.duration_s, needs.gang, needs.succeeds, needs.crash_after_s
        )

    def started(self, run: RunSeen) -> None:
        """Check a start; the run is already in the list of running ones."""
        with self._lock:
            self.counts["started"] += 1
            record = self._ledger.find(run.task.job_id)
            if record is None:
                self._break("no start that nobody asked for", run.task)
                return
            if record.is_forged:
                self._break("no start with a key that never was", run.task)
            if record.spec.payload != run.payload:
                self._break("a task gets what its caller handed in", run.task)
            self._check_alone(run)
            self._check_room(run)
            self._check_order(run, record.spec)
            self._check_crashes(run)
            if run.task in self._noted_done:
                self._break("nothing starts again once it is done", _describe(run))
            for (task, _), started in self._starts_since.items():
                if run.task in self._group(task):
                    started.append(run)
            if self._noted_failed[run.task] >= self._max_attempts:
                self._break("no more attempts than allowed", run.task)

    def ended(self, run: RunSeen, end: RunEnd) -> None:
        """Record the end of a run."""
        with self._lock:
            self.counts[end] += 1
            if end is RunEnd.DONE:
                self._starts_since[run.task, run.attempt] = []
                self._ever_done |= self._group(run.task)
            elif end is RunEnd.FAILED:
                self._failed[run.task] += 1

    def noted(self, upstream_id: str, run: EndedRun) -> None:
        """Record that the decider has acknowledged an end."""
        with self._lock:
            if run.end is RunEnd.FAILED:
                self._noted_failed[run.task] += 1
            if run.end is not RunEnd.DONE:
                return
            self._noted_done |= self._group(run.task)
            for later in self._starts_since.pop((run.task, run.attempt), []):
                detail = f"{_describe(later)}, attempt {run.attempt} was done"
                self._break("nothing starts again once it is done", detail)

    def crashed(self, running: list[RunSeen], unnoted: list[EndedRun]) -> None:
        """Count a crash, and discard ends that were lost in it unacknowledged."""
        with self._lock:
            self.counts["crashed"] += 1
            self._crashes.update(run.task for run in running)
            for run in unnoted:
                self._starts_since.pop((run.task, run.attempt), None)

    def told(self, record: JobRecord, state: JobState) -> None:
        """Check a state that a caller received."""
        with self._lock:
            record.state = state
            if state is JobState.COMPLETE:
                missing = _list_tasks(record.spec) - self._ever_done
                if missing:
                    self._break("complete only when all is done", record.spec.job_id)
            elif state is JobState.FAILED and record.can_succeed:
                tasks = _list_tasks(record.spec)
                failed = max((self._failed[task] for task in tasks), default=0)
                crashes = max((self._crashes[task] for task in tasks), default=0)
                self.counts["given_up"] += crashes >= MIN_CRASHES
                if crashes >= MIN_CRASHES:
                    return
                if failed < self._max_attempts and not record.spec.steps[0].is_gang:
                    self._break("failed only after its attempts", record.spec.job_id)
            elif state is JobState.CANCELLED and record.cancel_sent_s is None:
                self._break("cancelled only when asked", record.spec.job_id)

    def told_unknown(self, record: JobRecord) -> None:
        """Check an answer that a job does not exist."""
        accepted_s = record.accepted_s
        if accepted_s is not None and read_clock() - accepted_s > VISIBLE_S:
            self._break("an accepted job is known", record.spec.job_id)

    def answered_withdrawn_key(self, vm: str, status: int) -> None:
        """Check the answer to a key that the VM must know to be withdrawn."""
        # A request without an answer, and 503, have not been admitted either.
        if status not in (0, 401, 503):
            self._break("a withdrawn key is refused", f"{vm}: {status}")

    def answered_forged_key(self, vm: str, status: int) -> None:
        """Check the answer to a key that no configuration has held."""
        if status not in (0, 401, 503):
            self._break("a key that never was is refused", f"{vm}: {status}")

    def cut_by_stop(self, vm: str, detail: str) -> None:
        """Record a request that a planned stop left unanswered."""
        self._break("a planned stop cuts no request", f"{vm}: {detail}")

    def check_refusals(self) -> None:
        """Check that nothing of a refused job has started or is known."""
        for record in self._ledger.snapshot():
            job_id = record.spec.job_id
            tasks = _list_tasks(record.spec)
            if record.is_refused and tasks & (self._ever_done | self._failed.keys()):
                self._break("a refusal is true", job_id)

    def check_finished(self) -> None:
        """Check that every accepted job has ended."""
        for record in self._ledger.snapshot():
            ends = (JobState.COMPLETE, JobState.FAILED)
            if record.is_owed and record.state not in ends:
                self._break("nothing accepted is lost", record.spec.job_id)

    def check_quiet(self) -> None:
        """Check that no task of an ended or cancelled job is running."""
        for run in self._list_running():
            record = self._ledger.find(run.task.job_id)
            if record is not None and record.is_ended:
                self._break("an ended job leaves nothing running", run.task)

    def _check_alone(self, run: RunSeen) -> None:
        for other in self._list_running():
            if other is not run and other.task == run.task:
                detail = f"{_describe(run)} beside {_describe(other)}"
                self._break("a task runs once at a time", detail)

    def _check_room(self, run: RunSeen) -> None:
        used = sum(
            _read_needs(other.payload).cpu_millis
            for other in self._list_running()
            if other.upstream_id == run.upstream_id
        )
        if used > self._read_capacity(run.upstream_id) and not run.is_late:
            self._break("no upstream over its capacity", run.upstream_id)

    def _check_crashes(self, run: RunSeen) -> None:
        is_deadly = _read_needs(run.payload).crash_after_s is not None
        if not is_deadly or self._crashes[run.task] < MAX_CRASHES:
            return
        self._later_starts[run.task] += 1
        if self._later_starts[run.task] > MAX_LATER_STARTS:
            self._break("no task crashes upstream after upstream", run.task)

    def _check_order(self, run: RunSeen, spec: StagedJobSpec) -> None:
        for number in spec.steps[run.task.step].after:
            earlier = _list_step(spec, number)
            # An end may be stored although its upstream crashed before it was noted.
            if earlier - self._ever_done:
                self._break("steps in order", run.task)

    def _group(self, task: TaskId) -> set[TaskId]:
        """Return the task, or all members of its gang."""
        record = self._ledger.find(task.job_id)
        if record is None or not record.spec.steps[task.step].is_gang:
            return {task}
        return _list_step(record.spec, task.step)

    def _break(self, promise: str, detail: object) -> None:
        with self._lock:
            at_s = round(read_clock() - self._begun, 3)
            self.violations.append(Violation(promise, str(detail), at_s))


def _list_step(spec: StagedJobSpec, number: int) -> set[TaskId]:
    count = spec.steps[number].count
    return {TaskId(spec.job_id, 0, number, index) for index in range(count)}


def _list_tasks(spec: StagedJobSpec) -> set[TaskId]:
    return set().union(*(_list_step(spec, n) for n in range(len(spec.steps))))


def _describe(run: RunSeen) -> str:
    late = ", late" if run.is_late else ""
    return (
        f"{run.task} attempt {run.attempt} of term {run.token} on {run.upstream_id} "
        f"ordered at {run.ordered_s:.2f} s{late}"
    )


def _read_needs(payload: str) -> Needs:
    return msgspec.json.decode(payload, type=Needs)
