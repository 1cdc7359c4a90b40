"""Which upstreams are fast enough for a step, and which are left to urgent work."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Set
from dataclasses import dataclass

from papayadyke_core.dispatch._job import StagedJob, StepRun
from papayadyke_core.dispatch._rank import find_objective_s
from papayadyke_core.dispatch._spec import QueuePolicy
from papayadyke_core.dispatch._upstream import Upstream

# Seconds from the decision to start the last task to the end that the caller sees,
# beside the run itself: the start order, the report of the end, and its commit.
OVERHEAD_S = 0.1

# Sort key of an upstream for the tasks of a step; the lowest comes first.
UpstreamKey = tuple[bool, bool, bool, int, int]


@dataclass(frozen=True, slots=True)
class SpeedNeeds:
    """What a step needs of the speed of its upstreams.

    Parameters
    ----------
    min_speed : float
        Speed at which the rest of the job ends just in time; infinite if it is late
        at any speed, 0 if that is not known.
    left_to_urgent : set of str
        Fast upstreams that urgent work is about to need, by id.
    """

    min_speed: float = 0.0
    left_to_urgent: Set[str] = frozenset()

    def is_fast_enough(self, upstream: Upstream) -> bool:
        """Return whether the job is in time if its next step runs there."""
        return upstream.speed >= self.min_speed


ANY_SPEED = SpeedNeeds()


def find_min_speed(
    job: StagedJob, queue: QueuePolicy, *, factor: float, now: float
) -> float:
    """Return the speed at which the rest of a job ends just within its objective.

    Parameters
    ----------
    job : StagedJob
    queue : QueuePolicy
    factor : float
        Learned ratio of run time to estimate.
    now : float
        Seconds, on the dispatcher's clock.
    """
    objective_s = find_objective_s(job, queue, factor=factor)
    left_s = objective_s - (now - job.accepted_at_s) - OVERHEAD_S
    if left_s <= 0:
        return math.inf
    return job.remaining_critical_path_s() * factor / left_s


def find_left_to_urgent(
    upstreams: Iterable[Upstream], cpu_millis: float
) -> frozenset[str]:
    """Return the fastest upstreams with room for the urgent work that is expected.

    Parameters
    ----------
    upstreams : iterable of Upstream
    cpu_millis : float
        CPU that urgent work is expected to need, in thousandths of a core. What its
        present runs use counts as room.
    """
    if cpu_millis <= 0:
        return frozenset()
    left: set[str] = set()
    for upstream in sorted(upstreams, key=lambda u: -u.speed_class):
        if cpu_millis <= 0:
            break
        left.add(upstream.upstream_id)
        cpu_millis -= upstream.free_cpu_millis + upstream.urgent_cpu_millis
    return frozenset(left)


def keep_fast_enough(
    candidates: list[tuple[Upstream, int]],
    usable: Iterable[Upstream],
    needs: SpeedNeeds,
) -> list[tuple[Upstream, int]]:
    """Return the candidates that are fast enough, or all if none of any ever is.

    Parameters
    ----------
    candidates : list of (Upstream, int)
        Upstreams with room, and their free slots.
    usable : iterable of Upstream
        Those and others that have no room now.
    needs : SpeedNeeds
    """
    fast = [row for row in candidates if needs.is_fast_enough(row[0])]
    if len(fast) == len(candidates) or fast:
        return fast
    if any(needs.is_fast_enough(upstream) for upstream in usable):
        return []
    return candidates


def prefer_fastest(
    step: StepRun, needs: SpeedNeeds
) -> Callable[[Upstream], UpstreamKey]:
    """Return a sort key that puts the fastest upstreams first.

    Among equals, the upstream with the most used CPU comes first: this keeps whole
    upstreams free for gangs.
    """

    def key(upstream: Upstream) -> UpstreamKey:
        return (
            is_remote(step, upstream),
            upstream.suspect_runs > 0,
            False,
            -upstream.speed_class,
            -upstream.used_cpu_millis,
        )

    return key


def spare_for_urgent(
    step: StepRun, needs: SpeedNeeds
) -> Callable[[Upstream], UpstreamKey]:
    """Return a sort key that leaves the fastest upstreams to urgent work.

    What needs such an upstream to be in time prefers it all the same.
    """

    def key(upstream: Upstream) -> UpstreamKey:
        return (
            is_remote(step, upstream),
            upstream.suspect_runs > 0,
            upstream.upstream_id in needs.left_to_urgent
            or not needs.is_fast_enough(upstream),
            -upstream.speed_class,
            -upstream.used_cpu_millis,
        )

    return key


def prefer_slowest_in_time(
    step: StepRun, needs: SpeedNeeds
) -> Callable[[Upstream], UpstreamKey]:
    """Return a sort key that puts the slowest upstreams first that are fast enough."""

    def key(upstream: Upstream) -> UpstreamKey:
        is_slow = not needs.is_fast_enough(upstream)
        return (
            is_remote(step, upstream),
            upstream.suspect_runs > 0,
            is_slow,
            -upstream.speed_class if is_slow else upstream.speed_class,
            -upstream.used_cpu_millis,
        )

    return key


def is_remote(step: StepRun, upstream: Upstream) -> bool:
    """Return whether the data of a step is in another rack than an upstream."""
    rack = step.spec.data_rack
    return bool(rack) and upstream.entry.rack != rack
