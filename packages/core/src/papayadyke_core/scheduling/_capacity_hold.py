"""Capacity held for requests that need more at once than usually becomes free."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from papayadyke_core.admission import QueuedRequest
from papayadyke_core.resources import Resources
from papayadyke_core.sharing import RankPhase


@dataclass(frozen=True, slots=True)
class CapacityHold:
    """Capacity on upstreams that is held until all tasks of a request fit.

    Other tasks may use it only if they are expected to end before `ready_at_s`.
    There is at most one hold at a time, so that two gangs cannot block each other
    by each holding a part of the capacity that both need.

    Parameters
    ----------
    request : QueuedRequest
    upstreams : mapping of str to int
        Number of tasks of the request to be placed on each upstream.
    ready_at_s : float
        Time at which the capacity is expected to be free.
    phase : RankPhase
        Most urgent scheduling phase in which the request was entitled to the hold.
    """

    request: QueuedRequest
    upstreams: Mapping[str, int]
    ready_at_s: float
    phase: RankPhase


@dataclass(frozen=True, slots=True)
class UpstreamAvailability:
    """Free capacity of an upstream and the expected release of the rest.

    Parameters
    ----------
    upstream : str
    free : Resources
    free_slots : int
    expected_ends : tuple of (float, Resources)
        Expected end of each task running on the upstream, and its demand.
    """

    upstream: str
    free: Resources
    free_slots: int
    expected_ends: tuple[tuple[float, Resources], ...]


def plan_hold(
    availabilities: Iterable[UpstreamAvailability],
    request: QueuedRequest,
    demand: Resources,
    tasks: int,
    phase: RankPhase,
    now: float,
) -> CapacityHold | None:
    """Choose the upstreams on which all tasks can be expected to start soonest.

    Parameters
    ----------
    availabilities : iterable of UpstreamAvailability
        Upstreams that may be used.
    request : QueuedRequest
    demand : Resources
        Demand of one task.
    tasks : int
        Number of tasks that must start at once.
    phase : RankPhase
        Scheduling phase in which the request obtains the hold.
    now : float

    Returns
    -------
    hold : CapacityHold or None
        None if the tasks would not fit even if all upstreams were idle.
    """
    free: dict[str, Resources] = {}
    slots: dict[str, int] = {}
    fits: dict[str, int] = {}
    events: list[tuple[float, int, str, Resources]] = []
    for availability in availabilities:
        free[availability.upstream] = availability.free
        slots[availability.upstream] = availability.free_slots
        fits[availability.upstream] = _tasks_that_fit(
            availability.free, availability.free_slots, demand
        )
        for end_s, held in availability.expected_ends:
            events.append((end_s, len(events), availability.upstream, held))
    placeable = sum(fits.values())
    ready_at_s = now
    heapq.heapify(events)
    while placeable < tasks and events:
        ready_at_s, _, name, held = heapq.heappop(events)
        free[name] = free[name] + held
        slots[name] += 1
        fit = _tasks_that_fit(free[name], slots[name], demand)
        placeable += fit - fits[name]
        fits[name] = fit
    if placeable < tasks:
        return None
    chosen = _choose_fewest(fits, tasks)
    return CapacityHold(request, chosen, max(ready_at_s, now), phase)


def _choose_fewest(fits: Mapping[str, int], tasks: int) -> dict[str, int]:
    chosen: dict[str, int] = {}
    remaining = tasks
    for name, fit in sorted(fits.items(), key=lambda entry: -entry[1]):
        if remaining <= 0:
            break
        chosen[name] = min(fit, remaining)
        remaining -= fit
    return chosen


def _tasks_that_fit(free: Resources, slots: int, demand: Resources) -> int:
    fit = slots
    if demand.cpu_millis > 0:
        fit = min(fit, free.cpu_millis // demand.cpu_millis)
    if demand.memory_mb > 0:
        fit = min(fit, free.memory_mb // demand.memory_mb)
    if demand.accelerators > 0:
        fit = min(fit, free.accelerators // demand.accelerators)
    return max(fit, 0)
