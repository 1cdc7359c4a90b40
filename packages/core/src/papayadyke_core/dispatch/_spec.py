"""What a staged job consists of, as its caller declared it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple


class TaskId(NamedTuple):
    """One task of a staged job; `number` counts within its step."""

    job_id: str
    occurrence: int
    step: int
    number: int


class StepId(NamedTuple):
    """One step of one occurrence of a staged job."""

    job_id: str
    occurrence: int
    step: int


@dataclass(frozen=True, slots=True)
class StepSpec:
    """A step: tasks that are alike and may run side by side.

    Parameters
    ----------
    count : int
        Tasks of the step.
    cpu_millis, memory_mb, accelerators : int
        What one task needs.
    estimate_s : float
        Rough run time of one task, in seconds.
    after : tuple of int
        Earlier steps whose tasks must all be done first.
    is_checkpointing, is_gang, is_speculative, is_long_running : bool
    in_one_rack : bool
        The tasks run slower when they are spread over racks.
    label : str
        Label that the upstream must have; empty for any.
    data_rack : str
        Rack that holds the data; empty for none.
    max_per_upstream : int
        Tasks of the step on one upstream at a time; 0 for no limit.
    image : str
        Tasks of one image behave alike.
    latency_target_s : float
        Tail of the response time that a serving task must keep; 0 for none.
    fills_spare : bool
        The processors of the step are taken from what others leave unused.
    max_unavailable : int
        Tasks that may be away at a time because of the scheduler; 0 for no limit.
    """

    count: int
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    is_checkpointing: bool = False
    is_gang: bool = False
    is_speculative: bool = False
    is_long_running: bool = False
    in_one_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_upstream: int = 0
    image: str = ""
    latency_target_s: float = 0.0
    fills_spare: bool = False
    max_unavailable: int = 0

    @property
    def work_core_s(self) -> float:
        """Work of the whole step, in core-seconds."""
        return self.count * self.cpu_millis / 1000.0 * self.estimate_s


@dataclass(frozen=True, slots=True)
class Repeat:
    """When the occurrences of a repeated job are due.

    Parameters
    ----------
    count : int
    first_due_s, interval_s : float
        Wall-clock time of the first occurrence, and the time between two.
    """

    count: int
    first_due_s: float
    interval_s: float


@dataclass(frozen=True, slots=True)
class StagedJobSpec:
    """An accepted job; this is what is stored.

    Parameters
    ----------
    job_id, queue : str
        The queue is named by its host and prefix.
    payload : str
        Handed to each task as it is.
    steps : tuple of StepSpec
    accepted_s : float
        Wall-clock time of acceptance.
    repeat : Repeat or None
    """

    job_id: str
    queue: str
    payload: str
    steps: tuple[StepSpec, ...]
    accepted_s: float = 0.0
    repeat: Repeat | None = None


class SpecError(ValueError):
    """The job can not be accepted as it is declared."""


def find_critical_path_s(
    steps: Sequence[StepSpec], durations_s: Sequence[float]
) -> float:
    """Return how long the longest chain of steps takes, in seconds.

    Parameters
    ----------
    steps : sequence of StepSpec
        Each waits for earlier ones only.
    durations_s : sequence of float
        What each step takes by itself, in the same order.
    """
    finish_s: list[float] = []
    for step, duration_s in zip(steps, durations_s, strict=True):
        start_s = max((finish_s[number] for number in step.after), default=0.0)
        finish_s.append(start_s + duration_s)
    return max(finish_s, default=0.0)


def check_job_spec(spec: StagedJobSpec) -> None:
    """Check what one step says against the others.

    Raises
    ------
    SpecError
        If there is no step, a step has no task or a negative amount, or a step
        names a step that is not before it.
    """
    if not spec.steps:
        raise SpecError("a job needs at least one step")
    for number, step in enumerate(spec.steps):
        if step.count < 1:
            raise SpecError(f"step {number} has no tasks")
        if min(step.cpu_millis, step.memory_mb, step.accelerators) < 0:
            raise SpecError(f"step {number} needs a negative amount")
        if any(not 0 <= earlier < number for earlier in step.after):
            raise SpecError(f"step {number} names a step that is not before it")
    if spec.repeat is not None and spec.repeat.count < 1:
        raise SpecError("a repeated job needs at least one occurrence")


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """How long the advisory service takes, and how long its tickets last."""

    decide_s: float
    per_upstream_s: float
    valid_s: float


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """A queue of the configuration in force.

    Parameters
    ----------
    name, host, prefix : str
        Callers name the queue by its host and the prefix of their paths.
    service : str
        Upstreams that run its tasks.
    priority : int
        0 goes first.
    max_attempts : int
        Failed runs of a task after which its job has failed.
    stretch, allowance_s : float
        A job is in time within `stretch` times its longest chain of work, and
        `allowance_s` more.
    advice : AdvicePolicy or None
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    allowance_s: float = 0.0
    advice: AdvicePolicy | None = None

    @property
    def key(self) -> str:
        """Name under which jobs refer to the queue over all versions."""
        return f"{self.host}{self.prefix}"


@dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the configuration: queues, services and limits.

    Parameters
    ----------
    version : int
    queues : dict of str to QueuePolicy
        By `QueuePolicy.key`.
    max_body_bytes : int
        A longer submission is refused.
    """

    version: int = 0
    queues: dict[str, QueuePolicy] = field(default_factory=dict)
    max_body_bytes: int = 262_144

    def find_queue(self, host: str, path: str) -> QueuePolicy | None:
        """Return the queue with the longest prefix that a path begins with."""
        matching = [
            queue
            for queue in self.queues.values()
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matching, key=lambda queue: len(queue.prefix), default=None)
