"""Input and output types of the scheduler.

The scheduler reads no clock and does no I/O. Every `now` is a time in seconds on
the monotonic clock of the process; times in these types are on the same clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.resources import Resources
from papayadyke_core.verdicts import Refusal
from papayadyke_core.workloads import Config


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's request to run one or more tasks.

    Parameters
    ----------
    id : str
        Unique within the cell.
    workload : str
        Name of the workload, which defines demand, urgency and kind.
    deadline_s : float
        Time by which the first task must have started; after it the request is
        refused as expired.
    tasks : int, default=1
        Number of tasks. For a gang, either all start at once or none starts.
    attempt : int, default=1
        Incremented when a task of the request is submitted again.
    avoid : tuple of str, default=()
        Upstreams on which an earlier attempt failed.
    """

    id: str
    workload: str
    deadline_s: float
    tasks: int = 1
    attempt: int = 1
    avoid: tuple[str, ...] = ()


class Outcome(StrEnum):
    """Outcome of a started task."""

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_STARTED = "not_started"
    STOPPED = "stopped"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task running on an upstream, as passed to and from the scheduler."""

    task_id: str
    request_id: str
    workload: str
    upstream: str
    demand: Resources


@dataclass(frozen=True, slots=True)
class Start:
    """Decision to start a task on an upstream, with its resources already reserved."""

    task_id: str
    request_id: str
    index: int
    upstream: str
    demand: Resources


@dataclass(frozen=True, slots=True)
class Refuse:
    """Decision to refuse a queued request of which no task has been started."""

    request_id: str
    refusal: Refusal


class StopMode(StrEnum):
    """Ways to preempt a running task, from the mildest to the most severe."""

    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class Stop:
    """Decision to preempt a running task.

    Its resources stay reserved until `finish` reports that the task has ended.
    """

    task_id: str
    upstream: str
    mode: StopMode
    detail: str


Decision = Start | Refuse | Stop


@dataclass(frozen=True, slots=True)
class CancelResult:
    """Result of a cancellation.

    Parameters
    ----------
    found : bool
        Whether the request was queued or had running tasks.
    never_ran : bool
        True if the request was removed from the queue before any task started,
        so that it never ran.
    running : tuple of RunningTask
        Tasks that must still be stopped on their upstreams.
    """

    found: bool
    never_ran: bool = False
    running: tuple[RunningTask, ...] = ()


@dataclass(frozen=True, slots=True)
class WorkloadLoad:
    """Load of one workload on one VM."""

    workload: str
    queued: int
    running: int
    held: Resources
    started_total: int = 0
    refused_total: int = 0


@dataclass(frozen=True, slots=True)
class LoadSummary:
    """Load of one VM, as reported to its peers and to operators."""

    capacity: Resources
    free: Resources
    free_slots: int
    slots: int
    upstreams: int
    workloads: tuple[WorkloadLoad, ...] = ()


class SchedulerProtocol(Protocol):
    """Interface through which the daemon and the benchmarks use a scheduler."""

    def apply_config(self, config: Config, now: float) -> None:
        """Apply a configuration, ignoring one with an older revision."""

    def add_upstream(self, spec: UpstreamSpec, now: float) -> None:
        """Add an upstream, or update the one of the same name."""

    def drain_upstream(self, name: str, now: float) -> None:
        """Stop starting tasks on an upstream."""

    def remove_upstream(self, name: str, now: float) -> tuple[RunningTask, ...]:
        """Remove an upstream and return the tasks that were running on it."""

    def adopt(self, task: RunningTask, now: float) -> None:
        """Register a task that is already running, as found at a takeover."""

    def submit(self, req: Request, now: float) -> Refusal | None:
        """Queue a request, or return the reason for refusing it."""

    def cancel(self, request_id: str, now: float) -> CancelResult:
        """Remove a request from the queue and return its running tasks."""

    def decide(self, now: float) -> list[Decision]:
        """Return the tasks to start, requests to refuse and tasks to stop now."""

    def finish(
        self, task_id: str, outcome: Outcome, now: float, *, run_s: float = 0.0
    ) -> None:
        """Release the resources of an ended task, ignoring an unknown id."""

    def next_decision_s(self, now: float) -> float | None:
        """Return when `decide` must be called next, or None if it need not be."""

    def summary(self, now: float) -> LoadSummary:
        """Return the current load."""
