"""Order in which waiting jobs are placed."""

from __future__ import annotations

from typing import NamedTuple

from papayadyke_core.dispatch._job import StagedJob
from papayadyke_core.dispatch._spec import QueuePolicy

# Multiple of its objective after which the result of a job is worthless to its caller.
MAX_LATE_FACTOR = 3.0
LATE_PRIORITIES = 1000  # more than any configuration has


class JobRank(NamedTuple):
    """Sort key of a job; the lowest is placed first.

    Parameters
    ----------
    is_worthless : bool
        Whether the job is so late that its caller no longer waits.
    priority : int
        Priority of its queue.
    is_late : bool
        Whether it cannot meet its objective any more.
    work_core_s : float
        Its remaining work, in core-seconds.
    """

    is_worthless: bool
    priority: int
    is_late: bool
    work_core_s: float


def find_objective_s(job: StagedJob, queue: QueuePolicy, *, factor: float) -> float:
    """Return the time from acceptance within which a job is in time, in seconds.

    Parameters
    ----------
    job : StagedJob
    queue : QueuePolicy
    factor : float
        Learned ratio of run time to estimate.
    """
    return queue.stretch * job.total_estimate_s * factor + queue.allowance_s


def rank_job(
    job: StagedJob, queue: QueuePolicy, *, factor: float, now: float
) -> JobRank:
    """Return the rank of a job.

    Jobs whose caller no longer waits come last. Among the others the priority of the
    queue decides, then whether the objective can still be met, then the remaining work:
    under overload, running small jobs first serves more callers. Priority comes before
    lateness, since urgent jobs have the shortest objectives: they are late after a
    moment, and would then wait for long jobs that have seconds of slack left.

    Parameters
    ----------
    job : StagedJob
    queue : QueuePolicy
    factor : float
        Learned ratio of run time to estimate.
    now : float
        Seconds, on the dispatcher's clock.
    """
    critical_path_s = job.remaining_critical_path_s() * factor
    objective_s = find_objective_s(job, queue, factor=factor)
    finish_s = now - job.accepted_at_s + critical_path_s
    return JobRank(
        is_worthless=finish_s > MAX_LATE_FACTOR * objective_s,
        priority=queue.priority,
        is_late=finish_s > objective_s,
        work_core_s=job.remaining_work_core_s(),
    )


def rank_by_lateness(
    job: StagedJob, queue: QueuePolicy, *, factor: float, now: float
) -> JobRank:
    """Return a rank by which late jobs of any priority come after those in time."""
    rank = rank_job(job, queue, factor=factor, now=now)
    return rank._replace(priority=queue.priority + LATE_PRIORITIES * rank.is_late)


def rank_by_arrival(
    job: StagedJob, queue: QueuePolicy, *, factor: float, now: float
) -> JobRank:
    """Return a rank by which jobs of a priority come in the order of acceptance."""
    rank = rank_job(job, queue, factor=factor, now=now)
    return rank._replace(is_late=False, work_core_s=job.accepted_at_s)
