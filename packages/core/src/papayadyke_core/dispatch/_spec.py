"""Declared staged jobs, and the queue policies under which they run."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from papayadyke_core.teams import TeamKeys, TeamPolicy

# Bounds of a job. A larger one would exhaust the memory of each decider that reads it.
MAX_TASKS = 100_000  # tasks of all occurrences
# Steps of occurrences of a job whose state is held at a time.
MAX_OPEN_STEPS_PER_JOB = 1_000
MAX_AMOUNT = 10**12  # of any resource that a task needs
MAX_ESTIMATE_S = 1e9  # seconds


class TaskId(NamedTuple):
    """Id of a task of a staged job; `number` is its index within the step."""

    job_id: str
    occurrence: int
    step: int
    number: int


class StepId(NamedTuple):
    """Id of one step of one occurrence of a staged job."""

    job_id: str
    occurrence: int
    step: int


@dataclass(frozen=True, slots=True)
class StepSpec:
    """A step: tasks with the same needs that may run in parallel.

    Parameters
    ----------
    count : int
        Number of tasks of the step.
    cpu_millis, memory_mb, accelerators : int
        Resources that one task needs.
    estimate_s : float
        Rough run time of one task, in seconds.
    after : tuple of int
        Earlier steps that must be done before the step starts.
    is_checkpointing, is_gang, is_speculative, is_long_running : bool
    in_one_rack : bool
        Whether the tasks run slower when spread over several racks.
    label : str
        Label that the upstream must have; empty for any.
    data_rack : str
        Rack that holds the data; empty for none.
    max_per_upstream : int
        Maximum number of tasks on one upstream at a time; 0 for no limit.
    image : str
        Image of the tasks; tasks of the same image behave alike.
    latency_target_s : float
        Tail latency that a serving task must not exceed, in seconds; 0 for none.
    fills_spare : bool
        Whether the step runs on CPU that other tasks leave unused.
    max_unavailable : int
        Maximum number of tasks that the scheduler may make unavailable at a time;
        0 for no limit.
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
        """Estimated work of all tasks of the step, in core-seconds."""
        return self.count * self.cpu_millis / 1000.0 * self.estimate_s


@dataclass(frozen=True, slots=True)
class Repeat:
    """Due times of the occurrences of a repeated job.

    Parameters
    ----------
    count : int
    first_due_s, interval_s : float
        Wall-clock time of the first occurrence, and the interval between
        occurrences, in seconds.
    """

    count: int
    first_due_s: float
    interval_s: float


@dataclass(frozen=True, slots=True)
class StagedJobSpec:
    """An accepted job, as it is stored.

    Parameters
    ----------
    job_id, queue : str
        The queue is referred to by its host and prefix.
    payload : str
        Passed to each task unchanged.
    steps : tuple of StepSpec
    accepted_s : float
        Wall-clock time of acceptance, in seconds.
    repeat : Repeat or None
    team : str
        Team of the caller that submitted the job; empty for none.
    """

    job_id: str
    queue: str
    payload: str
    steps: tuple[StepSpec, ...]
    accepted_s: float = 0.0
    repeat: Repeat | None = None
    team: str = ""

    @property
    def task_count(self) -> int:
        """Number of tasks of one occurrence."""
        return sum(step.count for step in self.steps)

    @property
    def work_core_s(self) -> float:
        """Declared work of one occurrence, in core-seconds."""
        return sum(step.work_core_s for step in self.steps)


class SpecError(ValueError):
    """The declaration of a job is invalid."""


def find_critical_path_s(
    steps: Sequence[StepSpec], durations_s: Sequence[float]
) -> float:
    """Return the length of the critical path of a job, in seconds.

    Parameters
    ----------
    steps : sequence of StepSpec
        Steps that depend on earlier ones only.
    durations_s : sequence of float
        Duration of each step by itself, in the same order.
    """
    finish_s: list[float] = []
    for step, duration_s in zip(steps, durations_s, strict=True):
        start_s = max((finish_s[number] for number in step.after), default=0.0)
        finish_s.append(start_s + duration_s)
    return max(finish_s, default=0.0)


def check_job_spec(spec: StagedJobSpec) -> None:
    """Check that the steps of a job are consistent.

    Raises
    ------
    SpecError
        If there is no step, a step has no tasks, a negative or excessive need or
        estimate, or depends on a step that is not before it, or if the job has no
        occurrence, too many tasks, a negative interval, or more occurrences of tasks
        that last than may be open at a time.
    """
    if not spec.steps:
        raise SpecError("a job needs at least one step")
    for number, step in enumerate(spec.steps):
        if step.count < 1:
            raise SpecError(f"step {number} has no tasks")
        amounts = (step.cpu_millis, step.memory_mb, step.accelerators)
        if min(amounts) < 0:
            raise SpecError(f"step {number} needs a negative amount")
        if max(amounts) > MAX_AMOUNT:
            raise SpecError(f"step {number} needs more than {MAX_AMOUNT} of a resource")
        if not 0 <= step.estimate_s <= MAX_ESTIMATE_S:
            raise SpecError(
                f"the estimate of step {number} is not between 0 and "
                f"{MAX_ESTIMATE_S:.0f} s"
            )
        if any(not 0 <= earlier < number for earlier in step.after):
            raise SpecError(f"step {number} names a step that is not before it")
    if spec.repeat is not None and spec.repeat.count < 1:
        raise SpecError("a repeated job needs at least one occurrence")
    if spec.repeat is not None and spec.repeat.interval_s < 0:
        raise SpecError("the interval of a repeated job must not be negative")
    occurrences = 1 if spec.repeat is None else spec.repeat.count
    lasts = any(step.is_long_running for step in spec.steps)
    if lasts and occurrences > 1:
        most = max(1, MAX_OPEN_STEPS_PER_JOB // len(spec.steps))
        if occurrences > most:
            # An occurrence of tasks that last is never done, so all stay in memory.
            raise SpecError(
                f"a job of {len(spec.steps)} steps whose tasks last has at most "
                f"{most} occurrences"
            )
    if spec.task_count * occurrences > MAX_TASKS:
        raise SpecError(f"a job has at most {MAX_TASKS} tasks")


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """Timing of the advisory service, in seconds.

    A call takes `decide_s` and `per_upstream_s` more for each upstream that it names;
    its tickets are valid for `valid_s`.
    """

    decide_s: float
    per_upstream_s: float
    valid_s: float


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """Configuration of a queue.

    Parameters
    ----------
    name, host, prefix : str
        Callers address the queue by its host and the prefix of their paths.
    service : str
        Service whose upstreams run the tasks of the queue.
    priority : int
        Queues with a lower number go first; 0 is the highest priority.
    max_attempts : int
        Number of failed runs of a task after which its job fails; 0 if the
        configuration does not tell.
    stretch, allowance_s : float
        The objective of a job is `stretch` times its critical path plus
        `allowance_s`.
    advice : AdvicePolicy or None
        None if starts need no ticket of the advisory service.
    is_public : bool
        Whether callers need no key of a team.
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
    is_public: bool = False

    @property
    def is_urgent(self) -> bool:
        """Whether the queue has the highest priority."""
        return self.priority == 0

    @property
    def key(self) -> str:
        """Key by which jobs refer to the queue in all configuration versions."""
        return f"{self.host}{self.prefix}"


@dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the configuration: queues, teams and limits.

    Parameters
    ----------
    version : int
    queues : dict of str to QueuePolicy
        Queues by `QueuePolicy.key`.
    max_body_bytes : int
        Longer submissions are refused.
    teams : dict of str to TeamPolicy or None
        Teams by name; None if callers need no keys.
    team_keys : TeamKeys
        Keys of the teams.
    services : frozenset of str or None
        Services whose upstreams may be used; None if the configuration does not tell.
    """

    version: int = 0
    queues: dict[str, QueuePolicy] = field(default_factory=dict)
    max_body_bytes: int = 262_144
    teams: dict[str, TeamPolicy] | None = None
    team_keys: TeamKeys = field(default_factory=TeamKeys)
    services: frozenset[str] | None = None

    def find_queue(self, host: str, path: str) -> QueuePolicy | None:
        """Return the queue of a host whose prefix is the longest match for a path."""
        matching = [
            queue
            for queue in self.queues.values()
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matching, key=lambda queue: len(queue.prefix), default=None)
