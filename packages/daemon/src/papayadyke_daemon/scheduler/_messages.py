"""Messages to the scheduler's thread."""

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
from papayadyke_core.workloads import Config


@dataclass(frozen=True, slots=True)
class Placed:
    """Start a task, under this session and no other.

    The reservation was made while the session with this fencing token was held;
    under a later session the upstream may hold other tasks.
    """

    start: Start
    token: int


Reply = Callable[[Placed | Refuse], None]


@dataclass(frozen=True, slots=True)
class Submit:
    """Queue a request; `reply` takes each decision on it and must not block."""

    req: Request
    reply: Reply


@dataclass(frozen=True, slots=True)
class Finish:
    """A started task has ended."""

    task_id: str
    outcome: Outcome
    run_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Cancel:
    """Drop a request; what was found is put on `replies`."""

    request_id: str
    replies: queue.SimpleQueue[CancelResult]


@dataclass(frozen=True, slots=True)
class AddUpstream:
    """Use an upstream, under the session with this fencing token."""

    spec: UpstreamSpec
    token: int


@dataclass(frozen=True, slots=True)
class DrainUpstream:
    """Start nothing more on an upstream."""

    name: str


@dataclass(frozen=True, slots=True)
class RemoveUpstream:
    """Forget an upstream."""

    name: str


@dataclass(frozen=True, slots=True)
class Adopt:
    """Count a task that runs already."""

    task: RunningTask


@dataclass(frozen=True, slots=True)
class ApplyConfig:
    """Take a configuration into force."""

    config: Config


@dataclass(frozen=True, slots=True)
class Ask:
    """Call a function on the scheduler and put its result on `replies`."""

    question: Callable[[SchedulerProtocol, float], Any]
    replies: queue.SimpleQueue[Any]


Message = (
    Submit
    | Finish
    | Cancel
    | AddUpstream
    | DrainUpstream
    | RemoveUpstream
    | Adopt
    | ApplyConfig
    | Ask
)
