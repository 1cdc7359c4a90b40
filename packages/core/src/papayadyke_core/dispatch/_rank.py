"""In which order waiting work is placed."""

from __future__ import annotations

from papayadyke_core.dispatch._job import StagedJob
from papayadyke_core.dispatch._spec import QueuePolicy

MAX_LATE_FACTOR = 3.0  # a job earns its caller nothing past three times its objective


def rank_job(
    job: StagedJob, queue: QueuePolicy, *, factor: float, now: float
) -> tuple[int, int, float]:
    """Return the place of a job in the order of service, the least first.

    A job that can still be in time goes before one that is late already, and
    that before one that nobody waits for any more. Within these the priority of
    the queue decides, then the work that is left: in an overload the small jobs
    leave more callers served.

    Parameters
    ----------
    job : StagedJob
    queue : QueuePolicy
    factor : float
        Learned ratio of run time to estimate.
    now : float
    """
    critical_path_s = job.remaining_critical_path_s() * factor
    objective_s = queue.stretch * job.total_estimate_s * factor + queue.allowance_s
    finish_s = now - job.since_s + critical_path_s
    if finish_s <= objective_s:
        lateness_class = 0
    elif finish_s <= MAX_LATE_FACTOR * objective_s:
        lateness_class = 1
    else:
        lateness_class = 2
    return lateness_class, queue.priority, job.remaining_work_core_s()
