"""Messages and headers of the upstream protocol.

The protocol is described in docs/design/upstream-protocol.md.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.resources import Resources


class TaskEnd(StrEnum):
    """Value of the header `Task-Outcome`."""

    ANSWERED = "answered"
    FAILED = "failed"
    STOPPED = "stopped"
    RUNNING = "running"
    NOT_STARTED = "not_started"


START_HEADER = "Task-Start"
OUTCOME_HEADER = "Task-Outcome"


class StartMessage(msgspec.Struct, frozen=True, omit_defaults=True):
    """What goes with a start, as JSON in the header `Task-Start`.

    Parameters
    ----------
    token : int
        Fencing token of the session.
    start_before_s : float
        Time on the upstream's clock past which it must not start.
    lease_s : float
    workload, request_id : str
    cpu_millis, memory_mb, accelerators : int
    is_async : bool, default=False
        Whether to answer at the start, not at the end.
    """

    token: int
    start_before_s: float
    lease_s: float
    workload: str
    request_id: str
    cpu_millis: int
    memory_mb: int
    accelerators: int
    is_async: bool = False


class SpecMessage(msgspec.Struct, frozen=True):
    """What the upstream declares of itself."""

    name: str
    availability_zone: str
    rack: str
    cpu_millis: int
    memory_mb: int
    accelerators: int
    slots: int
    connections: int
    speed: float

    @classmethod
    def of(cls, spec: UpstreamSpec) -> SpecMessage:
        """Return the message of a declaration."""
        return cls(
            name=spec.name,
            availability_zone=spec.availability_zone,
            rack=spec.rack,
            cpu_millis=spec.capacity.cpu_millis,
            memory_mb=spec.capacity.memory_mb,
            accelerators=spec.capacity.accelerators,
            slots=spec.slots,
            connections=spec.connections,
            speed=spec.speed,
        )

    def to_spec(self) -> UpstreamSpec:
        """Return the declaration."""
        capacity = Resources(self.cpu_millis, self.memory_mb, self.accelerators)
        return UpstreamSpec(
            name=self.name,
            availability_zone=self.availability_zone,
            rack=self.rack,
            capacity=capacity,
            slots=self.slots,
            connections=self.connections,
            speed=self.speed,
        )


class RunningTaskMessage(msgspec.Struct, frozen=True):
    """A task that runs on the upstream."""

    task_id: str
    request_id: str
    workload: str
    cpu_millis: int
    memory_mb: int
    accelerators: int


def read_demand(task: RunningTaskMessage) -> Resources:
    """Return what a running task holds."""
    return Resources(task.cpu_millis, task.memory_mb, task.accelerators)


class OpenMessage(msgspec.Struct, frozen=True):
    """Ask for the session of an upstream."""

    vm: str
    incarnation: int
    epoch: int
    ttl_s: float


class SessionReport(msgspec.Struct, frozen=True):
    """What the upstream tells the holder of its session.

    Parameters
    ----------
    token : int
        Fencing token: grows with each session that is granted.
    epoch : int
        Epoch under which it was granted last.
    ttl_s : float
        The session lapses when it has not been renewed for so long.
    boot_id : str
        Changes when the upstream restarts and its tasks are gone.
    clock_s : float
        The upstream's own monotonic clock, in seconds.
    spec : SpecMessage
    running : tuple of RunningTaskMessage
    used : tuple of int
        Measured use with a lag: thousandths of cores, mebibytes, accelerators.
    leaving : bool, default=False
        Whether the upstream takes nothing new because it is leaving.
    """

    token: int
    epoch: int
    ttl_s: float
    boot_id: str
    clock_s: float
    spec: SpecMessage
    running: tuple[RunningTaskMessage, ...] = ()
    used: tuple[int, int, int] = (0, 0, 0)
    leaving: bool = False


class SessionRefused(msgspec.Struct, frozen=True):
    """Why a session was refused, who holds it and for how long."""

    reason: str
    epoch: int = 0
    holder: str | None = None
    remaining_s: float = 0.0


class EndsReport(msgspec.Struct, frozen=True):
    """Tasks that have ended, oldest first.

    Parameters
    ----------
    sequence : int
        Number of the last end; goes with the next question.
    ended : tuple of str
        Task ids; where some were dropped, the running tasks that a renewal
        lists tell as well.
    """

    sequence: int
    ended: tuple[str, ...] = ()
