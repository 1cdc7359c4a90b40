"""Tasks of a stand-in upstream and the record of its completed runs."""

from __future__ import annotations

import re
import threading
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import StrEnum

from papayadyke_clients.upstream import EndsReport
from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.resources import ZERO_RESOURCES, Resources

MAX_FINISHED_TASKS = 20_000
MAX_TOMBSTONES = 20_000
MAX_RECENT_ENDS = 1000

# A task id ends in the number of the attempt.
_ATTEMPT_SUFFIX = re.compile(r"[./]\d+$")


class TaskState(StrEnum):
    """State of a task on an upstream."""

    RUNNING = "running"
    ANSWERED = "answered"
    FAILED = "failed"
    STOPPED = "stopped"
    NEVER_STARTED = "never_started"


@dataclass(slots=True)
class Task:
    """Task that is running or has run on this upstream."""

    id: str
    request_id: str
    workload: str
    demand: Resources
    lease_s: float
    started_s: float
    lease_until_s: float
    state: TaskState = TaskState.RUNNING
    ended_s: float = 0.0
    status: int = 200
    content_type: str = "application/json"
    answer: bytes = b""
    stop: threading.Event = field(default_factory=threading.Event)
    ended: threading.Event = field(default_factory=threading.Event)
    throttle: float = 1.0
    is_checkpointed: bool = False


@dataclass(frozen=True, slots=True)
class RunRecord:
    """Record of one run, which tests compare with the answers to callers."""

    task_id: str
    request_id: str
    started_s: float
    ended_s: float
    state: TaskState


class CapacityBreach(AssertionError):
    """Error for a start that would exceed the capacity of an upstream."""


class TaskRegistry:
    """Tasks of one upstream; refuses and records starts that breach its limits.

    Parameters
    ----------
    spec : UpstreamSpec
    """

    def __init__(self, spec: UpstreamSpec) -> None:
        self.spec = spec
        self.breaches: list[str] = []
        self._running: dict[str, Task] = {}
        self._finished: OrderedDict[str, Task] = OrderedDict()
        self._tombstones: OrderedDict[str, float] = OrderedDict()
        self._records: list[RunRecord] = []
        self._recent_ends: deque[str] = deque(maxlen=MAX_RECENT_ENDS)
        self._ends_total = 0
        self._changed = threading.Condition()
        self._lock = threading.Lock()

    def start(self, task: Task) -> str | None:
        """Start a task, or return the reason for refusing it."""
        with self._lock:
            if task.id in self._tombstones:
                return "resolved_before"
            if task.id in self._running or task.id in self._finished:
                return "started_before"
            breach = self._find_breach(task)
            if breach is not None:
                self.breaches.append(f"{task.id}: {breach}")
                return breach
            self._running[task.id] = task
            return None

    def end(self, task: Task, state: TaskState, now: float) -> None:
        """Record the end of a task and release its resources."""
        with self._lock:
            if self._running.pop(task.id, None) is None:
                return
            task.state = state
            task.ended_s = now
            self._finished[task.id] = task
            if len(self._finished) > MAX_FINISHED_TASKS:
                self._finished.popitem(last=False)
            self._records.append(
                RunRecord(task.id, task.request_id, task.started_s, now, state)
            )
        task.ended.set()
        with self._changed:
            self._recent_ends.append(task.id)
            self._ends_total += 1
            self._changed.notify_all()

    def wait_for_ends(self, after: int, wait_s: float) -> EndsReport:
        """Wait until more than `after` tasks have ended, and return the recent ends."""
        with self._changed:
            self._changed.wait_for(lambda: self._ends_total > after, wait_s)
            count = min(max(self._ends_total - after, 0), len(self._recent_ends))
            ended = list(self._recent_ends)[len(self._recent_ends) - count :]
            return EndsReport(self._ends_total, tuple(ended))

    def resolve(self, task_id: str, now: float) -> Task | None:
        """Return the task, or None if it never started; it then cannot start later."""
        with self._lock:
            task = self._running.get(task_id) or self._finished.get(task_id)
            if task is None:
                self._tombstones[task_id] = now
                if len(self._tombstones) > MAX_TOMBSTONES:
                    self._tombstones.popitem(last=False)
            return task

    def find(self, task_id: str) -> Task | None:
        """Return the task if it is running or has run."""
        with self._lock:
            return self._running.get(task_id) or self._finished.get(task_id)

    def renew_leases(self, now: float) -> None:
        """Renew the lease of every running task."""
        with self._lock:
            for task in self._running.values():
                task.lease_until_s = now + task.lease_s

    def expire(self, now: float) -> None:
        """Stop the tasks whose lease has expired."""
        with self._lock:
            expired = [t for t in self._running.values() if t.lease_until_s <= now]
        for task in expired:
            task.stop.set()

    def list_running(self) -> list[Task]:
        """Return the running tasks."""
        with self._lock:
            return list(self._running.values())

    def list_records(self) -> list[RunRecord]:
        """Return the records of all ended runs, oldest first."""
        with self._lock:
            return list(self._records)

    def used(self) -> Resources:
        """Return the total demand of the running tasks."""
        with self._lock:
            return self._sum_demand()

    def _sum_demand(self) -> Resources:
        return sum((task.demand for task in self._running.values()), ZERO_RESOURCES)

    def _find_breach(self, task: Task) -> str | None:
        if len(self._running) >= self.spec.slots:
            return "over_slots"
        if not (self._sum_demand() + task.demand).fits_in(self.spec.capacity):
            return "over_capacity"
        name = base_task_id(task.id)
        if any(base_task_id(other) == name for other in self._running):
            return "runs_already"
        return None


def base_task_id(task_id: str) -> str:
    """Return the task id without the attempt number."""
    return _ATTEMPT_SUFFIX.sub("", task_id)
