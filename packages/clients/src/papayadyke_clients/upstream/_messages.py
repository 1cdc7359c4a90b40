"""Messages and headers of the upstream protocol.

The protocol is described in docs/design/upstream-protocol.md.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.resources import Resources


class TaskEnd(StrEnum):
    """State of a task, as in the header `Task-Outcome`."""

    ANSWERED = "answered"
    FAILED = "failed"
    STOPPED = "stopped"
    RUNNING = "running"
    NOT_STARTED = "not_started"


START_HEADER = "Task-Start"
OUTCOME_HEADER = "Task-Outcome"
# Boot id of the upstream that resolved a task.
BOOT_HEADER = "Boot-Id"


class StartMessage(msgspec.Struct, frozen=True, omit_defaults=True):
    """Parameters of a task start, as JSON in the header `Task-Start`.

    Parameters
    ----------
    token : int
        Fencing token of the session.
    start_before_s : float
        Time on the upstream's clock, in seconds, after which it must not start.
    lease_s : float
        Time in seconds without a renewal after which the task is stopped.
    workload, request_id : str
    cpu_millis, memory_mb, accelerators : int
    is_async : bool, default=False
        Whether the upstream answers when the task starts instead of when it ends.
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
    """Identity and capacity that an upstream declares."""

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
        """Return the message that describes an upstream."""
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
        """Return the described upstream."""
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
    """Running task of an upstream and the resources that it holds."""

    task_id: str
    request_id: str
    workload: str
    cpu_millis: int
    memory_mb: int
    accelerators: int


def read_demand(task: RunningTaskMessage) -> Resources:
    """Return the resources that a running task holds."""
    return Resources(task.cpu_millis, task.memory_mb, task.accelerators)


class OpenMessage(msgspec.Struct, frozen=True):
    """Request for the session of an upstream."""

    vm: str
    incarnation: int
    epoch: int
    ttl_s: float


class SessionReport(msgspec.Struct, frozen=True):
    """State of an upstream, as reported to the holder of its session.

    Parameters
    ----------
    token : int
        Fencing token, which grows with each session granted.
    epoch : int
        Epoch under which the session was last granted.
    ttl_s : float
        Time in seconds without a renewal after which the session expires.
    boot_id : str
        Changes when the upstream restarts, which loses its tasks.
    clock_s : float
        Time of the upstream's monotonic clock, in seconds.
    spec : SpecMessage
    running : tuple of RunningTaskMessage
    used : tuple of int
        Measured usage, which lags: CPU in thousandths of a core, memory in MiB,
        accelerators.
    leaving : bool, default=False
        Whether the upstream is leaving and therefore refuses new tasks.
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
    """Refusal of a session: its cause, the holder and the remaining time."""

    reason: str
    epoch: int = 0
    holder: str | None = None
    remaining_s: float = 0.0


class EndsReport(msgspec.Struct, frozen=True):
    """Tasks that have ended, oldest first.

    Parameters
    ----------
    sequence : int
        Sequence number of the last end, to be sent with the next query.
    ended : tuple of str
        Task ids. Some may have been dropped; the running tasks listed by a session
        renewal also show which tasks have ended.
    """

    sequence: int
    ended: tuple[str, ...] = ()
