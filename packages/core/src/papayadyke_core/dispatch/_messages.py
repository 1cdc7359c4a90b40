"""Inputs of the dispatcher and the orders that it issues."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from papayadyke_core.dispatch._spec import StepId, TaskId


class RunEnd(StrEnum):
    """How a run ended.

    `LAPSED` is a run whose lease expired. `ALONE` is a member of a gang whose other
    members did not start, `BROKEN` one of a gang in which another member ended.
    Upstreams never report `LOST`: the dispatcher assigns it to a run that no longer
    exists and whose end is not listed.
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
        Least time until a draining upstream shuts down, in seconds.
    incarnation : int or None
        Incarnation of the upstream that wrote the entry; None if the entry does not
        tell.
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
    incarnation: int | None = None


@dataclass(frozen=True, slots=True)
class RunningRun:
    """A run that an upstream lists as running."""

    task: TaskId
    attempt: int
    checkpoint: str = ""
    percent: float = 0.0


@dataclass(frozen=True, slots=True)
class EndedRun:
    """An ended run, which its upstream lists until the end is acknowledged.

    `number` counts the ends of one incarnation of the upstream.
    """

    number: int
    task: TaskId
    attempt: int
    end: RunEnd
    checkpoint: str = ""


class LossCause(StrEnum):
    """Why a run is gone although its upstream lists no end of it.

    After `RESTARTED` the upstream lists it no longer and has begun a new incarnation
    since the order. After `SILENT` the upstream did not answer until the lease of the
    run had expired. Else the upstream was there all the time: `NOT_LISTED`.
    """

    RESTARTED = "restarted"
    SILENT = "silent"
    NOT_LISTED = "not_listed"


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run that ended without a listed end.

    Parameters
    ----------
    upstream_id : str
    task : TaskId
    attempt : int
    cause : LossCause
    age_s : float
        Seconds since the run was ordered, or first reported if an earlier decider
        ordered it.
    incarnation : int or None, default=None
        Incarnation of the upstream that the run was ordered for or last listed by.
    is_answered : bool, default=True
        Whether the start was answered, or a report has listed the run.
    """

    upstream_id: str
    task: TaskId
    attempt: int
    cause: LossCause
    age_s: float
    incarnation: int | None = None
    is_answered: bool = True


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """Runs in progress and unacknowledged ends of an upstream.

    An incarnation that reports refuses all calls that were meant for the former one.

    Parameters
    ----------
    incarnation : int
        Incarnation of the upstream; changes when it restarts.
    requested_s, answered_s : float
        When the poll was sent and answered, in seconds on the dispatcher's clock.
    running : list of RunningRun
    ended : list of EndedRun
    is_complete : bool
        Whether all ends that were not acknowledged are listed. Otherwise a run in
        neither list may have ended.
    """

    incarnation: int
    requested_s: float
    answered_s: float
    running: list[RunningRun] = field(default_factory=list)
    ended: list[EndedRun] = field(default_factory=list)
    is_complete: bool = True


class StartOutcome(StrEnum):
    """Outcome of a start order.

    After `UNKNOWN` the run may have started or may start later. After every other
    outcome except `STARTED` it has not started. `EXPIRED` orders waited too long to
    be sent, or the upstream restarted meanwhile; for `NOT_SENT` there was no
    connection.
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
    """Order to start a run at an upstream.

    `ordered_s` is the time of the decision, in seconds on the dispatcher's clock, and
    `incarnation` that of the upstream at the time: others must not receive the order.
    """

    upstream_id: str
    task: TaskId
    attempt: int
    payload: str
    checkpoint: str = ""
    ticket: str = ""
    ordered_s: float = 0.0
    incarnation: int | None = None


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Order to stop a run, or to prevent its start if it has not started yet."""

    upstream_id: str
    task: TaskId
    attempt: int
    reason: str = ""


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """Request to the advisory service: which upstreams may run a step.

    `expected_s` is the expected duration of the call, in seconds.
    """

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
        Upstreams that the request named.
    tickets : dict of str to str
        Ticket of each upstream that may run the step.
    valid_s : float
        Validity of the tickets from `answered_s`, in seconds.
    answered_s : float
        When the answer arrived, in seconds on the dispatcher's clock.
    """

    step: StepId
    upstream_ids: tuple[str, ...]
    tickets: dict[str, str]
    valid_s: float
    answered_s: float


@dataclass(slots=True)
class Orders:
    """Orders of one tick of the dispatcher."""

    starts: list[StartOrder] = field(default_factory=list)
    stops: list[StopOrder] = field(default_factory=list)
    advice: list[AdviceRequest] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Commit:
    """Progress to store in one transaction, and the ends that it covers.

    Parameters
    ----------
    progress : dict of str to bytes
        Encoded progress by job id.
    acknowledged_ends : dict of str to (int, int)
        By upstream, its incarnation and the number of the last end that may be
        acknowledged there once the progress is stored.
    ended_job_ids : tuple of str
        Jobs that the progress ends; their other stored records may be removed.
    number : int
        Number of the commit in its term.
    left_out : dict of str to int
        Number of checkpoints that are left out for their size, by job; only of jobs of
        which none was left out before.
    """

    progress: dict[str, bytes]
    acknowledged_ends: dict[str, tuple[int, int]]
    ended_job_ids: tuple[str, ...] = ()
    number: int = 0
    left_out: dict[str, int] = field(default_factory=dict)
