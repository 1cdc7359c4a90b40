"""Upstreams that are kept for waiting gangs, and when each gang fits there.

Room is kept only on upstreams that the gang may use, and only if it fits there once the
runs have ended that are expected to end.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from papayadyke_core.dispatch._job import StepRun
from papayadyke_core.dispatch._placement import count_live
from papayadyke_core.dispatch._run import Run
from papayadyke_core.dispatch._spec import StepId, StepSpec
from papayadyke_core.dispatch._upstream import Upstream

# Seconds within which a run that is being stopped, or is just overdue, may end.
MIN_REMAINING_S = 0.3


@dataclass(frozen=True, slots=True)
class Reservation:
    """Upstreams that are kept for a gang.

    Parameters
    ----------
    step_id : StepId
    members : int
        Tasks that must start together.
    upstream_ids : frozenset of str
    starts_s : float
        When the gang is expected to fit there, in seconds on the dispatcher's clock.
    since_s : float
        Since when room has been kept for it.
    """

    step_id: StepId
    members: int
    upstream_ids: frozenset[str]
    starts_s: float
    since_s: float


class Reservations:
    """Reservations of the last placement pass."""

    def __init__(self) -> None:
        self._held: dict[StepId, Reservation] = {}

    def find_since(self, step_id: StepId) -> float | None:
        """Return since when room is kept for a gang; None if there is none."""
        held = self._held.get(step_id)
        return None if held is None else held.since_s

    def replace(self, reservations: Iterable[Reservation]) -> None:
        """Keep the reservations of a placement pass in place of the former ones."""
        self._held = {held.step_id: held for held in reservations}

    def list_held(self) -> list[Reservation]:
        """Return the reservations, the oldest first."""
        return sorted(
            self._held.values(), key=lambda held: (held.since_s, held.step_id)
        )


def find_run_end_s(run: Run, now: float) -> float:
    """Return when a run is expected to end; infinite for one that lasts.

    A run that takes longer than expected is expected to take as long again as it is
    overdue.
    """
    if run.stop_requested_s is not None:
        return now + MIN_REMAINING_S
    if run.spec.is_long_running:
        return math.inf
    overdue_s = now - run.started_s - run.expected_s
    return now + max(-overdue_s, overdue_s, MIN_REMAINING_S)


def find_idle_s(upstream: Upstream, now: float) -> float:
    """Return when an upstream is expected to run only tasks that last."""
    ends_s = (find_run_end_s(run, now) for run in upstream.runs.values())
    return max((end_s for end_s in ends_s if not math.isinf(end_s)), default=now)


def list_slot_times(step: StepRun, upstream: Upstream, now: float) -> list[float]:
    """Return when each slot for tasks of a step is expected to be free at an upstream.

    Parameters
    ----------
    step : StepRun
    upstream : Upstream
    now : float
        Seconds, on the dispatcher's clock.

    Returns
    -------
    times_s : list of float
        In increasing order, on the dispatcher's clock; slots that are not expected to
        become free are left out.
    """
    spec = step.spec
    most = _count_idle_slots(spec, upstream)
    if not most:
        return []
    free = upstream.free_slots_for(spec)
    if spec.max_per_upstream:
        free = min(free, spec.max_per_upstream - count_live(step, upstream))
    times_s = [now] * max(0, min(free, most))
    if len(times_s) == most:
        return times_s
    cpu_millis = upstream.entry.cpu_millis - upstream.used_cpu_millis
    memory_mb = upstream.entry.memory_mb - upstream.used_memory_mb
    accelerators = upstream.entry.accelerators - upstream.used_accelerators
    ends = sorted(
        (find_run_end_s(run, now), number, run.spec)
        for number, run in enumerate(upstream.runs.values())
    )
    for end_s, _, ended in ends:
        if math.isinf(end_s):
            break
        if not ended.fills_spare:
            cpu_millis += ended.cpu_millis
        memory_mb += ended.memory_mb
        accelerators += ended.accelerators
        slots = min(most, _count_slots(spec, cpu_millis, memory_mb, accelerators))
        times_s += [end_s] * (slots - len(times_s))
        if len(times_s) == most:
            break
    return times_s


def find_reservation(
    step: StepRun,
    upstreams: Iterable[Upstream],
    *,
    now: float,
    by_speed: bool = False,
) -> tuple[frozenset[str], float] | None:
    """Return the upstreams to keep until a gang fits there, and when it does.

    Those with the most free slots are chosen first, since they become free the soonest.

    Parameters
    ----------
    step : StepRun
        A gang.
    upstreams : iterable of Upstream
        Upstreams that may run it.
    now : float
        Seconds, on the dispatcher's clock.
    by_speed : bool, default=False
        Whether the fastest comes first of those with as many free slots.

    Returns
    -------
    reservation : (frozenset of str, float) or None
        None if the gang would not fit even when all runs have ended that are expected
        to end.
    """
    spec = step.spec
    upstreams = list(upstreams)
    if sum(_count_idle_slots(spec, upstream) for upstream in upstreams) < spec.count:
        return None
    by_free_slots = sorted(
        upstreams,
        key=lambda candidate: (
            -candidate.free_slots_for(spec),
            -candidate.speed_class if by_speed else 0,
        ),
    )
    chosen: set[str] = set()
    times_s: list[float] = []
    for upstream in by_free_slots:
        slot_times_s = list_slot_times(step, upstream, now)
        if not slot_times_s:
            continue
        chosen.add(upstream.upstream_id)
        times_s += slot_times_s
        if len(times_s) >= spec.count:
            starts_s = heapq.nsmallest(spec.count, times_s)[-1]
            return frozenset(chosen), starts_s
    return None


def count_possible_slots(
    step: StepRun, upstreams: Iterable[Upstream], *, now: float
) -> int:
    """Return for how many members of a gang there is room, or will be.

    Parameters
    ----------
    step : StepRun
        A gang.
    upstreams : iterable of Upstream
        Upstreams that may run it.
    now : float
        Seconds, on the dispatcher's clock.
    """
    slots = 0
    for upstream in upstreams:
        slots += len(list_slot_times(step, upstream, now))
        if slots >= step.spec.count:
            return step.spec.count
    return slots


def find_blocking(
    idle_until_s: Mapping[str, float], *, run_s: float, now: float
) -> set[str]:
    """Return the kept upstreams on which a task would still run when they are needed.

    Parameters
    ----------
    idle_until_s : mapping of str to float
        When each kept upstream is expected to be idle but for the task.
    run_s : float
        Expected run time of the task, in seconds.
    now : float
        Seconds, on the dispatcher's clock.
    """
    return {name for name, until_s in idle_until_s.items() if now + run_s > until_s}


def _count_idle_slots(spec: StepSpec, upstream: Upstream) -> int:
    """Return how many tasks of a step may run on an upstream when it is idle."""
    if spec.label and spec.label not in upstream.entry.labels:
        return 0
    slots = upstream.total_slots_for(spec)
    return min(slots, spec.max_per_upstream) if spec.max_per_upstream else slots


def _count_slots(
    spec: StepSpec, cpu_millis: int, memory_mb: int, accelerators: int
) -> int:
    """Return how many tasks of a step fit in some resources, which may be negative."""
    slots = spec.count
    for available, needed in (
        (cpu_millis, 0 if spec.fills_spare else spec.cpu_millis),
        (memory_mb, spec.memory_mb),
        (accelerators, spec.accelerators),
    ):
        if available < 0:
            return 0
        if needed:
            slots = min(slots, available // needed)
    return slots


__all__ = [
    "Reservation",
    "Reservations",
    "count_possible_slots",
    "find_blocking",
    "find_idle_s",
    "find_reservation",
    "find_run_end_s",
    "list_slot_times",
]
