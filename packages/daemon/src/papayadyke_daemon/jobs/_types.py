"""Settings of the job service and the hooks that the daemon provides to it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from papayadyke_core.jobs import TaskDone, TaskOrder
from papayadyke_core.workloads import Workload

OnDone = Callable[[TaskDone], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class JobSettings:
    """Settings of the job service.

    Parameters
    ----------
    append_wait_s : float, default=2.0
        Seconds for which a submission waits for the store at most.
    lease_expiry_s : float, default=600.0
        Seconds after which a lost attempt is no longer running: the longest lease
        that an upstream holds without a renewal, plus a margin.
    unlogged_start_s : float, default=600.0
        Seconds after the last proof of ownership during which the first attempt
        of an idempotent task may start before its intent is in the log. During a
        store outage such starts continue for this long, and a successor waits
        this much longer for an attempt that it cannot resolve. Every VM must use
        the same value.
    resolve_interval_s : float, default=5.0
        Seconds between two requests to resolve the same lost attempt.
    max_ordered : int, default=64
        Maximum number of tasks of one job that are with the scheduler at once; a
        gang counts with all its tasks.
    max_wait_s : float, default=60.0
        Seconds for which `get` and `cancel` wait at most.
    max_jobs : int, default=20_000
        Maximum number of unfinished jobs on this VM.
    """

    append_wait_s: float = 2.0
    lease_expiry_s: float = 600.0
    unlogged_start_s: float = 600.0
    resolve_interval_s: float = 5.0
    max_ordered: int = 64
    max_wait_s: float = 60.0
    max_jobs: int = 20_000


@dataclass(frozen=True, slots=True, kw_only=True)
class JobHooks:
    """Callbacks into the rest of the daemon; none of them may block.

    Parameters
    ----------
    find_workload : callable
        Returns the workload with a name in the configuration in force, or None.
    submit_task : callable
        Schedules an order. Before an attempt is sent to an upstream the daemon
        calls `JobService.authorize_start`, and sends it only on True, with a time
        limit for the start that counts from before that call: a VM that was
        paused in between must not start it late.
        `on_done` is called for each attempt when it ends: with `NOT_STARTED` if
        it was refused, cancelled in the queue or not authorized; with `LOST` if
        it may be running and nobody waits for it.
    stop_task : callable
        Cancels an attempt in the queue or stops it at its upstream.
    resolve_task : callable
        Asks the upstream, or all upstreams if it is None, for the outcome of a
        lost attempt, and calls back; also given the boot id of the upstream in the
        session of the start, empty if it is unknown. `NOT_STARTED` must mean that a
        late start is refused as well; `RUNNING` that its lease is being renewed, and
        `LOST` that the outcome is not known yet: in both cases the request is
        repeated later.
    """

    find_workload: Callable[[str], Workload | None]
    submit_task: Callable[[TaskOrder, OnDone], None]
    stop_task: Callable[[str], None]
    resolve_task: Callable[[str, str | None, str, OnDone], None]


@dataclass(frozen=True, slots=True)
class JobStatus:
    """A job as `GET /v1/jobs/{id}` returns it.

    Parameters
    ----------
    job_id : str
    view : dict
        JSON-compatible view of the job.
    is_new : bool, default=False
        Whether this submission created the job.
    """

    job_id: str
    view: dict[str, Any]
    is_new: bool = False
