"""The tasks of a stand-in upstream and the record of what ran."""

from __future__ import annotations

import re
import threading
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import StrEnum

from papayadyke_clients.upstream import EndsReport
from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.resources import ZERO_RESOURCES, Resources

FINISHED_KEPT = 20_000
TOMBSTONES_KEPT = 20_000
ENDS_KEPT = 1000

# A task id ends in the number of the attempt.
_ATTEMPT = re.compile(r"[./]\d+$")


class TaskState(StrEnum):
    """What an upstream knows of a task."""

    RUNNING = "running"
    ANSWERED = "answered"
    FAILED = "failed"
    STOPPED = "stopped"
    NEVER_STARTED = "never_started"


@dataclass(slots=True)
class Task:
    """A task that runs or has run here."""

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
    """One start, for tests to compare with what callers were told."""

    task_id: str
    request_id: str
    started_s: float
    ended_s: float
    state: TaskState


class CapacityBreach(AssertionError):
    """A start would have put more on this upstream than it holds."""


class TaskBook:
    """The tasks of one upstream; refuses and records any breach.

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
        self._ends: deque[str] = deque(maxlen=ENDS_KEPT)
        self._ends_total = 0
        self._changed = threading.Condition()
        self._lock = threading.Lock()

    def start(self, task: Task) -> str | None:
        """Take a task in, or return why it was refused."""
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
        """Record how a task ended and free what it held."""
        with self._lock:
            if self._running.pop(task.id, None) is None:
                return
            task.state = state
            task.ended_s = now
            self._finished[task.id] = task
            if len(self._finished) > FINISHED_KEPT:
                self._finished.popitem(last=False)
            self._records.append(
                RunRecord(task.id, task.request_id, task.started_s, now, state)
            )
        task.ended.set()
        with self._changed:
            self._ends.append(task.id)
            self._ends_total += 1
            self._changed.notify_all()

    def wait_for_ends(self, after: int, wait_s: float) -> EndsReport:
        """Wait for an end past the number `after`, and return those kept."""
        with self._changed:
            self._changed.wait_for(lambda: self._ends_total > after, wait_s)
            count = min(max(self._ends_total - after, 0), len(self._ends))
            ended = list(self._ends)[len(self._ends) - count :]
            return EndsReport(self._ends_total, tuple(ended))

    def resolve(self, task_id: str, now: float) -> Task | None:
        """Return the task, or None and refuse its start for good."""
        with self._lock:
            task = self._running.get(task_id) or self._finished.get(task_id)
            if task is None:
                self._tombstones[task_id] = now
                if len(self._tombstones) > TOMBSTONES_KEPT:
                    self._tombstones.popitem(last=False)
            return task

    def find(self, task_id: str) -> Task | None:
        """Return the task if it runs or has run."""
        with self._lock:
            return self._running.get(task_id) or self._finished.get(task_id)

    def renew_leases(self, now: float) -> None:
        """Give each running task its lease anew."""
        with self._lock:
            for task in self._running.values():
                task.lease_until_s = now + task.lease_s

    def expire(self, now: float) -> None:
        """Stop the tasks whose lease has lapsed."""
        with self._lock:
            lapsed = [t for t in self._running.values() if t.lease_until_s <= now]
        for task in lapsed:
            task.stop.set()

    def list_running(self) -> list[Task]:
        """Return the running tasks."""
        with self._lock:
            return list(self._running.values())

    def list_records(self) -> list[RunRecord]:
        """Return every run that has ended, oldest first."""
        with self._lock:
            return list(self._records)

    def used(self) -> Resources:
        """Return what the running tasks hold."""
        with self._lock:
            return self._used()

    def _used(self) -> Resources:
        return sum((task.demand for task in self._running.values()), ZERO_RESOURCES)

    def _find_breach(self, task: Task) -> str | None:
        if len(self._running) >= self.spec.slots:
            return "over_slots"
        if not (self._used() + task.demand).fits_in(self.spec.capacity):
            return "over_capacity"
        name = name_of(task.id)
        if any(name_of(other) == name for other in self._running):
            return "runs_already"
        return None


def name_of(task_id: str) -> str:
    """Return what all attempts of one task have in common."""
    return _ATTEMPT.sub("", task_id)
