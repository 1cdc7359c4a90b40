"""Which upstreams are fast enough for the tasks of a job."""

from __future__ import annotations

import math
from collections.abc import Collection

from papayadyke_core.dispatch._job import StepRun
from papayadyke_core.dispatch._spec import QueuePolicy
from papayadyke_core.dispatch._upstream import Upstream

# Share of the slack of a job that a slow upstream may use up; the rest is for waiting
# and for failed runs.
SLACK_SHARE = 0.5
# Factors of the expected run time with which a job must still be in time: run times
# spread by up to a factor of 2.5 (0.9 in the logarithm) between jobs.
MARGINS = (1.0, 2.0)
# Share of the CPU in use from which the fast upstreams are left to work with little
# slack. Below it there are fast ones for all work.
BUSY_SHARE = 0.5


def find_least_speed(
    step: StepRun, queue: QueuePolicy, *, factor: float, now: float
) -> float:
    """Return the lowest speed at which a step leaves its job in time.

    It is infinite if the job has no slack, so that no upstream is too fast for it, and
    for tasks that hold an upstream as long as others do not need it.

    Parameters
    ----------
    step : StepRun
    queue : QueuePolicy
    factor : float
        Learned ratio of run time to estimate.
    now : float
        Seconds, on the dispatcher's clock.
    """
    job = step.job
    if step.spec.is_gang or step.spec.is_long_running or job.has_due_times:
        return math.inf
    path_s = job.remaining_critical_path_s() * factor
    objective_s = queue.stretch * job.total_estimate_s * factor
    spent_s = now - job.accepted_at_s - queue.allowance_s
    least_speed = 0.0
    for margin in MARGINS:
        slack_s = margin * (objective_s - path_s) - spent_s
        if slack_s <= 0:
            return math.inf
        slowed_s = margin * path_s + SLACK_SHARE * slack_s
        least_speed = max(least_speed, margin * path_s / slowed_s)
    return least_speed


def is_busy(upstreams: Collection[Upstream]) -> bool:
    """Return whether work with slack leaves the fast upstreams to other work."""
    used = sum(upstream.used_cpu_millis for upstream in upstreams)
    total = sum(upstream.entry.cpu_millis for upstream in upstreams)
    return used >= BUSY_SHARE * total


def rank_speed(upstream: Upstream, least_speed: float) -> tuple[bool, int]:
    """Return the sort key of an upstream; the lowest is used first.

    Of the upstreams that are fast enough the slowest comes first, then the others, the
    fastest first: none is excluded, so that no room idles while work waits.
    """
    is_too_slow = upstream.speed < least_speed
    speed_class = upstream.speed_class
    return is_too_slow, -speed_class if is_too_slow else speed_class
