"""What the dispatcher is told, and what it orders."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from papayadyke_core.dispatch._spec import StepId, TaskId


class RunEnd(StrEnum):
    """How a run ended.

    `ALONE` is a member of a gang whose other members never came, `BROKEN` one
    whose other member ended, `LAPSED` one whose lease expired. `LOST` is told by
    no upstream: the run is known to be gone, without a record of its end.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """An upstream as the registry lists it.

    Parameters
    ----------
    upstream_id, service, address, availability_zone : str
    cpu_millis, memory_mb, accelerators : int
    labels : frozenset of str
    rack : str
    is_draining : bool
    remaining_s : float or None
        Least time that a draining upstream has left.
    """

    upstream_id: str
    service: str
    address: str
    availability_zone: str = ""
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    labels: frozenset[str] = frozenset()
    rack: str = ""
    is_draining: bool = False
    remaining_s: float | None = None


@dataclass(frozen=True, slots=True)
class RunningRow:
    """One run that an upstream lists as running."""

    task: TaskId
    attempt: int
    checkpoint: str = ""
    percent: float = 0.0


@dataclass(frozen=True, slots=True)
class EndedRow:
    """One end that an upstream lists until it is told that it was noted."""

    number: int
    task: TaskId
    attempt: int
    end: RunEnd
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """Everything that runs and has ended at an upstream.

    Parameters
    ----------
    life : int
        Tells one start of the upstream from the next.
    asked_s, answered_s : float
        When the call began and ended, on the dispatcher's clock.
    running : list of RunningRow
    ended : list of EndedRow
    """

    life: int
    requested_s: float
    answered_s: float
    running: list[RunningRow] = field(default_factory=list)
    ended: list[EndedRow] = field(default_factory=list)


class StartOutcome(StrEnum):
    """What became of a start.

    `UNKNOWN` may have started, or may start later. The others have not, but for
    `STARTED`. `EXPIRED` waited too long to be sent; `NOT_SENT` found no connection.
    """

    STARTED = "started"
    EXPIRED = "expired"
    NOT_SENT = "not_sent"
    NO_ROOM = "no_room"
    BAD_TICKET = "bad_ticket"
    STALE = "stale"
    FENCED = "fenced"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Start a run at an upstream."""

    upstream_id: str
    task: TaskId
    attempt: int
    payload: str
    checkpoint: str = ""
    ticket: str = ""
    ordered_s: float = 0.0


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Stop a run, and keep it from starting if it has not yet."""

    upstream_id: str
    task: TaskId
    attempt: int
    reason: str = ""


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """Ask the advisory service which upstreams may run a step."""

    step: StepId
    upstream_ids: tuple[str, ...]
    expected_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Advice:
    """Answer of the advisory service.

    Parameters
    ----------
    step : StepId
    upstream_ids : tuple of str
        Upstreams that were asked about.
    tickets : dict of str to str
        Ticket of each upstream that may run the step.
    valid_s : float
    answered_s : float
        When the answer came, on the dispatcher's clock.
    """

    step: StepId
    upstream_ids: tuple[str, ...]
    tickets: dict[str, str]
    valid_s: float
    answered_s: float


@dataclass(slots=True)
class Orders:
    """What is to be done now."""

    starts: list[StartOrder] = field(default_factory=list)
    stops: list[StopOrder] = field(default_factory=list)
    advice: list[AdviceRequest] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Commit:
    """Progress to be stored at once, and the ends that it covers.

    Parameters
    ----------
    progress : dict of str to bytes
        By job.
    noted : dict of str to (int, int)
        For each upstream its life and the last end that may be forgotten there
        once the progress is stored.
    ended : tuple of str
        Jobs that the progress ends: all else that is stored of them may go.
    """

    progress: dict[str, bytes]
    noted: dict[str, tuple[int, int]]
    ended: tuple[str, ...] = ()
