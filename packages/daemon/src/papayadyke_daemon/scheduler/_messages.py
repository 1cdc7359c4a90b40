"""Messages to and from the scheduler's thread."""

from __future__ import annotations

import queue
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.scheduling import (
    CancelResult,
    Outcome,
    Refuse,
    Request,
    RunningTask,
    SchedulerProtocol,
    Start,
)
from papayadyke_core.verdicts import Refusal
from papayadyke_core.workloads import Config


@dataclass(frozen=True, slots=True)
class Placed:
    """Decision to start a task, valid only under the session with this token.

    The reservation was made while the session with this fencing token was held;
    under a later session the upstream may run other tasks.
    """

    start: Start
    token: int


Reply = Callable[[Placed | Refuse], None]


@dataclass(frozen=True, slots=True)
class Submit:
    """Queue a request; `reply` is called with each decision and must not block."""

    req: Request
    reply: Reply


@dataclass(frozen=True, slots=True)
class Finish:
    """Report the end of a task; `run_s` is its run time in seconds."""

    task_id: str
    outcome: Outcome
    run_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel a request and put the result on `replies`."""

    request_id: str
    replies: queue.SimpleQueue[CancelResult]


@dataclass(frozen=True, slots=True)
class HandOver:
    """Refuse every queued request, so that its sender can retry it elsewhere."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class AddUpstream:
    """Add an upstream, under the session with this fencing token."""

    spec: UpstreamSpec
    token: int


@dataclass(frozen=True, slots=True)
class DrainUpstream:
    """Place no more tasks on an upstream."""

    name: str


@dataclass(frozen=True, slots=True)
class RemoveUpstream:
    """Remove an upstream."""

    name: str


@dataclass(frozen=True, slots=True)
class Adopt:
    """Reserve resources for a task that already runs."""

    task: RunningTask


@dataclass(frozen=True, slots=True)
class ApplyConfig:
    """Apply a configuration."""

    config: Config


@dataclass(frozen=True, slots=True)
class Query:
    """Call a function with the scheduler and put its result on `replies`."""

    query: Callable[[SchedulerProtocol, float], Any]
    replies: queue.SimpleQueue[Any]


Message = (
    Submit
    | Finish
    | Cancel
    | HandOver
    | AddUpstream
    | DrainUpstream
    | RemoveUpstream
    | Adopt
    | ApplyConfig
    | Query
)
