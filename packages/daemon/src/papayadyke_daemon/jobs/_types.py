"""Settings of the job service, and what it asks of the rest of the daemon."""

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
        Longest time for which a submission waits for the store.
    lease_run_out_s : float, default=600.0
        Seconds after which a lost attempt no longer runs: the longest lease that
        an upstream holds without a renewal, with margin.
    unlogged_start_s : float, default=600.0
        Seconds after the last proof of ownership during which the first attempt
        of an idempotent task starts before its intent is in the log. It is how
        long such starts go on in an outage of the store, and how much longer a
        successor waits for an attempt that it can't resolve. The same everywhere.
    resolve_interval_s : float, default=5.0
        Seconds between two questions about the same lost attempt.
    max_ordered : int, default=64
        Tasks of one job that are with the scheduler at once; a gang counts whole.
    max_wait_s : float, default=60.0
        Longest time for which `get` waits.
    max_jobs : int, default=20_000
        Unfinished jobs that this VM takes.
    """

    append_wait_s: float = 2.0
    lease_run_out_s: float = 600.0
    unlogged_start_s: float = 600.0
    resolve_interval_s: float = 5.0
    max_ordered: int = 64
    max_wait_s: float = 60.0
    max_jobs: int = 20_000


@dataclass(frozen=True, slots=True, kw_only=True)
class JobHooks:
    """What the rest of the daemon does for jobs; none of them may block.

    Parameters
    ----------
    find_workload : callable
        Returns the workload of a name under the configuration in force, or None.
    submit_task : callable
        Has an order scheduled. Before an attempt is sent to an upstream the
        daemon calls `JobService.authorize_start`, and sends it only on True, with
        a time limit for the start that counts from before that call: a VM that
        was paused in between must not start it late.
        `on_done` is called for each attempt when it ends; `NOT_STARTED` where it
        was refused, cancelled in the queue or not authorized; `LOST` where it may
        be running and nobody waits for it.
    stop_task : callable
        Cancels an attempt in the queue or stops it at its upstream.
    resolve_task : callable
        Asks the upstream, or all of them where it is None, about a lost attempt,
        and calls back. `NOT_STARTED` has to mean that a late start is refused as
        well; `RUNNING` that its lease is being renewed, and `LOST` that nothing
        is known yet: in both cases it is asked again.
    """

    find_workload: Callable[[str], Workload | None]
    submit_task: Callable[[TaskOrder, OnDone], None]
    stop_task: Callable[[str], None]
    resolve_task: Callable[[str, str | None, OnDone], None]


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """A job as `GET /v1/jobs/{id}` shows it.

    Parameters
    ----------
    job_id : str
    view : dict
        What JSON can hold.
    is_new : bool, default=False
        Whether this submission made the job.
    """

    job_id: str
    view: dict[str, Any]
    is_new: bool = False
