"""Order in which waiting jobs are placed."""

from __future__ import annotations

from papayadyke_core.dispatch._job import StagedJob
from papayadyke_core.dispatch._spec import QueuePolicy

# Multiple of its objective after which the result of a job is worthless to its caller.
MAX_LATE_FACTOR = 3.0
WORTHLESS_CLASS = 2  # lateness class of jobs beyond that


def rank_job(
    job: StagedJob, queue: QueuePolicy, *, factor: float, now: float
) -> tuple[int, int, float]:
    """Return the sort key of a job; the lowest key is placed first.

    Jobs that can still meet their objective come first, then late jobs, then jobs
    so late that their caller no longer waits. Within each class the priority of the
    queue decides, then the remaining work: under overload, running small jobs first
    serves more callers.

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
    objective_s = queue.stretch * job.total_estimate_s * factor + queue.allowance_s
    finish_s = now - job.accepted_at_s + critical_path_s
    if finish_s <= objective_s:
        lateness_class = 0
    elif finish_s <= MAX_LATE_FACTOR * objective_s:
        lateness_class = 1
    else:
        lateness_class = WORTHLESS_CLASS
    return lateness_class, queue.priority, job.remaining_work_core_s()
