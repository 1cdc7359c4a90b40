"""Types that a job exchanges with the scheduler and the upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from papayadyke_core.journal import Answer, TaskIntended
from papayadyke_core.verdicts import Refusal


class TaskResult(StrEnum):
    """Result of one attempt of a task, as far as it is known.

    `ANSWERED`: it ended with a complete answer. `FAILED`: it ran and failed.
    `NOT_STARTED`: it certainly never ran and never will. `STOPPED`: it ran, was
    stopped and no longer runs. `LOST`: it may be running. `RUNNING`: the upstream
    reported it as running; it is polled until it ends. `LAPSED`: nothing is known
    of it, and it no longer runs: its lease has expired, with margin, or its upstream
    has restarted, as far as is known.
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
    """Result of one attempt, with its answer or refusal.

    Parameters
    ----------
    task_id : str
    result : TaskResult
    answer : Answer or None
        Set for `ANSWERED`, and for `FAILED` if the upstream gave an answer.
    refusal : Refusal or None
        For `NOT_STARTED`, the reason.
    upstream : str or None
        Upstream of the attempt, if it is known.
    """

    task_id: str
    result: TaskResult
    answer: Answer | None = None
    refusal: Refusal | None = None
    upstream: str | None = None


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """One attempt of a task; its id is unique and is also used by the upstream."""

    task_id: str
    index: int
    attempt: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class TaskOrder:
    """Attempts to be scheduled together: a single one, or all of a gang.

    Parameters
    ----------
    request_id : str
        Unique per order.
    job_id : str
    workload : str
    tasks : tuple of TaskSpec
    deadline_s : float
        Monotonic time in seconds by which the attempts must have started.
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
    """Whether a placed attempt may be sent to its upstream.

    `NOW`: at once. `WHEN_DURABLE`: once its intent is in the log. `NEVER`: not.
    """

    NOW = "now"
    WHEN_DURABLE = "when_durable"
    NEVER = "never"


@dataclass(frozen=True, slots=True)
class Authorization:
    """Permission for a placed attempt, and the entry to append to the log."""

    permission: Permission
    entry: TaskIntended | None = None


@dataclass(frozen=True, slots=True)
class UnresolvedTask:
    """An attempt that may be running, and its upstream, if that is known.

    Parameters
    ----------
    task_id : str
    index : int
    attempt : int
    upstream : str or None
    unresolved_since_s : float
        Log time in seconds.
    boot_id : str, default=""
        Boot id of the upstream in the session of the start; empty if it is unknown.
    """

    task_id: str
    index: int
    attempt: int
    upstream: str | None
    unresolved_since_s: float
    boot_id: str = ""


def make_task_id(job_id: str, index: int, attempt: int) -> str:
    """Return the id of one attempt of a task."""
    return f"{job_id}.{index}.{attempt}"


def parse_task_id(task_id: str) -> tuple[str, int, int] | None:
    """Return job id, task index and attempt number, or None for any other id."""
    components = task_id.rsplit(".", 2)
    if len(components) != 3 or not (
        components[1].isdigit() and components[2].isdigit()
    ):
        return None
    return components[0], int(components[1]), int(components[2])
