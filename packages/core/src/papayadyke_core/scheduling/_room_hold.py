"""Room that is held for work that needs more at once than ever falls free."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from papayadyke_core.admission import QueuedRequest
from papayadyke_core.resources import Resources
from papayadyke_core.sharing import Phase


@dataclass(frozen=True, slots=True)
class RoomHold:
    """Room on upstreams that is kept from all that may end too late.

    There is one hold at a time, so that two gangs can't wait for each other.

    Parameters
    ----------
    request : QueuedRequest
    upstreams : mapping of str to int
        Tasks of the request that each of them will hold.
    ready_at_s : float
        Time at which the room is expected to be free.
    phase : Phase
        What the turn of the request is owed to.
    """

    request: QueuedRequest
    upstreams: Mapping[str, int]
    ready_at_s: float
    phase: Phase


@dataclass(frozen=True, slots=True)
class UpstreamRoom:
    """What is free on an upstream now, and when more will be.

    Parameters
    ----------
    upstream : str
    free : Resources
    free_slots : int
    ends : tuple of (float, Resources)
        Expected end of each task that runs there, and what it holds.
    """

    upstream: str
    free: Resources
    free_slots: int
    ends: tuple[tuple[float, Resources], ...]


def plan_hold(
    rooms: Iterable[UpstreamRoom],
    request: QueuedRequest,
    demand: Resources,
    tasks: int,
    phase: Phase,
    now: float,
) -> RoomHold | None:
    """Choose the upstreams that will be free for all tasks the soonest.

    Parameters
    ----------
    rooms : iterable of UpstreamRoom
        The upstreams that may be used.
    request : QueuedRequest
    demand : Resources
        What one task needs.
    tasks : int
    phase : Phase
        What the turn of the request is owed to.
    now : float

    Returns
    -------
    hold : RoomHold or None
        None where the upstreams would not hold all tasks even if idle.
    """
    free: dict[str, Resources] = {}
    slots: dict[str, int] = {}
    fits: dict[str, int] = {}
    events: list[tuple[float, int, str, Resources]] = []
    for room in rooms:
        free[room.upstream] = room.free
        slots[room.upstream] = room.free_slots
        fits[room.upstream] = _fit(room.free, room.free_slots, demand)
        for end_s, held in room.ends:
            events.append((end_s, len(events), room.upstream, held))
    found = sum(fits.values())
    ready_at_s = now
    heapq.heapify(events)
    while found < tasks and events:
        ready_at_s, _, name, held = heapq.heappop(events)
        free[name] = free[name] + held
        slots[name] += 1
        fit = _fit(free[name], slots[name], demand)
        found += fit - fits[name]
        fits[name] = fit
    if found < tasks:
        return None
    chosen = _fewest(fits, tasks)
    return RoomHold(request, chosen, max(ready_at_s, now), phase)


def _fewest(fits: Mapping[str, int], tasks: int) -> dict[str, int]:
    chosen: dict[str, int] = {}
    missing = tasks
    for name, fit in sorted(fits.items(), key=lambda item: -item[1]):
        if missing <= 0:
            break
        chosen[name] = min(fit, missing)
        missing -= fit
    return chosen


def _fit(free: Resources, slots: int, demand: Resources) -> int:
    fit = slots
    if demand.cpu_millis > 0:
        fit = min(fit, free.cpu_millis // demand.cpu_millis)
    if demand.memory_mb > 0:
        fit = min(fit, free.memory_mb // demand.memory_mb)
    if demand.accelerators > 0:
        fit = min(fit, free.accelerators // demand.accelerators)
    return max(fit, 0)
