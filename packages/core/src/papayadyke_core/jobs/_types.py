"""Messages into and out of a job."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from papayadyke_core.journal import Answer, TaskIntended
from papayadyke_core.verdicts import Refusal


class TaskResult(StrEnum):
    """How one attempt of a task ended, as far as is known.

    `ANSWERED`: with its whole answer. `FAILED`: it ran and failed.
    `NOT_STARTED`: it certainly never ran and never will. `STOPPED`: it ran, was
    stopped and no longer runs. `LOST`: it may be running. `RUNNING`: it was
    seen running, and is asked for again until it ends. `LAPSED`: nothing was heard
    of it, and its lease has run out with margin, so it no longer runs.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_STARTED = "not_started"
    STOPPED = "stopped"
    LOST = "lost"
    RUNNING = "running"
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True)
class TaskDone:
    """The end of one attempt.

    Parameters
    ----------
    task_id : str
    result : TaskResult
    answer : Answer or None
        For `ANSWERED`; for `FAILED` where the upstream gave one.
    refusal : Refusal or None
        For `NOT_STARTED`, why.
    upstream : str or None
    """

    task_id: str
    result: TaskResult
    answer: Answer | None = None
    refusal: Refusal | None = None
    upstream: str | None = None


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """One attempt of one task; its id is unique and used at the upstream."""

    task_id: str
    index: int
    attempt: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class TaskOrder:
    """Attempts to be scheduled: one, or all those of a gang at once.

    Parameters
    ----------
    request_id : str
        Unique for each order.
    job_id : str
    workload : str
    tasks : tuple of TaskSpec
    deadline_s : float
        Monotonic time by which they have to have started.
    avoid : tuple of str
        Upstreams on which an earlier attempt failed.
    """

    request_id: str
    job_id: str
    workload: str
    tasks: tuple[TaskSpec, ...]
    deadline_s: float
    avoid: tuple[str, ...] = ()


class Permission(StrEnum):
    """Whether a placed attempt may be sent to its upstream."""

    NOW = "now"
    WHEN_DURABLE = "when_durable"
    NEVER = "never"


@dataclass(frozen=True, slots=True)
class Authorization:
    """The reply to a placed attempt, and the entry to append."""

    permission: Permission
    entry: TaskIntended | None = None


@dataclass(frozen=True, slots=True)
class UnresolvedTask:
    """An attempt that may be running, and where, if that is known."""

    task_id: str
    index: int
    attempt: int
    upstream: str | None
    since_s: float


def task_id_of(job_id: str, index: int, attempt: int) -> str:
    """Return the id of one attempt of a task."""
    return f"{job_id}.{index}.{attempt}"


def parse_task_id(task_id: str) -> tuple[str, int, int] | None:
    """Return job id, index and attempt, or None for another id."""
    parts = task_id.rsplit(".", 2)
    if len(parts) != 3 or not (parts[1].isdigit() and parts[2].isdigit()):
        return None
    return parts[0], int(parts[1]), int(parts[2])
