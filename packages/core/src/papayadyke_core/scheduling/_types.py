"""Messages into and out of a scheduler.

A scheduler reads no clock and does no I/O. Every `now` is in seconds on the
monotonic clock of the process, and times in messages are on that clock too.
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
    """Work that a caller asks for: one task, or several.

    Parameters
    ----------
    id : str
        Unique in the cell.
    workload : str
        Name of the workload, which gives demand, urgency and kind.
    deadline_s : float
        Time by which the first task has to have started; past it the request is
        refused as expired.
    tasks : int, default=1
        For a gang, all of them start at once or none does.
    attempt : int, default=1
        Grows by one when a task of the request is submitted again.
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
    """How a started task ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_STARTED = "not_started"
    STOPPED = "stopped"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A task that runs on an upstream, as its owner knows it."""

    task_id: str
    request_id: str
    workload: str
    upstream: str
    demand: Resources


@dataclass(frozen=True, slots=True)
class Start:
    """Start this task on this upstream; its resources are reserved already."""

    task_id: str
    request_id: str
    index: int
    upstream: str
    demand: Resources


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse a queued request; no part of it has been started."""

    request_id: str
    refusal: Refusal


class StopWay(StrEnum):
    """How a running task gives way, mildest first."""

    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class Stop:
    """Make a running task give way to other work.

    Its resources stay reserved until `finish` tells that it has ended.
    """

    task_id: str
    upstream: str
    way: StopWay
    detail: str


Decision = Start | Refuse | Stop


@dataclass(frozen=True, slots=True)
class CancelResult:
    """What a cancellation found.

    Parameters
    ----------
    found : bool
    was_queued : bool
        True where the request was dropped from the queue and so never ran.
    running : tuple of RunningTask
        Tasks that have to be stopped at their upstreams.
    """

    found: bool
    was_queued: bool = False
    running: tuple[RunningTask, ...] = ()


@dataclass(frozen=True, slots=True)
class WorkloadLoad:
    """Load of one workload at one VM."""

    workload: str
    queued: int
    running: int
    held: Resources
    started_total: int = 0
    refused_total: int = 0


@dataclass(frozen=True, slots=True)
class LoadSummary:
    """Load of one VM: what it tells its peers and the operators."""

    capacity: Resources
    free: Resources
    free_slots: int
    slots: int
    upstreams: int
    workloads: tuple[WorkloadLoad, ...] = ()


class SchedulerProtocol(Protocol):
    """What the daemon and the benchmarks ask of a scheduler."""

    def apply_config(self, config: Config, now: float) -> None:
        """Take a configuration into force; an older revision changes nothing."""

    def add_upstream(self, spec: UpstreamSpec, now: float) -> None:
        """Take an upstream into use; again with the same name updates it."""

    def drain_upstream(self, name: str, now: float) -> None:
        """Start nothing more on an upstream."""

    def remove_upstream(self, name: str, now: float) -> tuple[RunningTask, ...]:
        """Forget an upstream and return the tasks that were on it."""

    def adopt(self, task: RunningTask, now: float) -> None:
        """Count a task that runs already, as found at a takeover."""

    def submit(self, req: Request, now: float) -> Refusal | None:
        """Queue a request, or say at once why not."""

    def cancel(self, request_id: str, now: float) -> CancelResult:
        """Drop a queued request, or name what of it runs."""

    def decide(self, now: float) -> list[Decision]:
        """Return what to start, refuse and stop now."""

    def finish(
        self, task_id: str, outcome: Outcome, now: float, *, run_s: float = 0.0
    ) -> None:
        """Release what a started task held; unknown ids change nothing."""

    def next_decision_s(self, now: float) -> float | None:
        """Return the time at which `decide` has something to do, if known."""

    def summary(self, now: float) -> LoadSummary:
        """Return the load."""
