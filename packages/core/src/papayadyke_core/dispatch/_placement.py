"""Choice of the upstreams that run the waiting tasks of a step."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence, Set

from papayadyke_core.dispatch._job import StepRun
from papayadyke_core.dispatch._speed_needs import (
    ANY_SPEED,
    UpstreamKey,
    is_remote,
    prefer_fastest,
)
from papayadyke_core.dispatch._upstream import Upstream

NOT_BOUND: Mapping[int, str | None] = {}


def list_candidates(
    step: StepRun,
    upstreams: Iterable[Upstream],
    *,
    reserved: set[str],
    is_idle: bool = False,
    key: Callable[[Upstream], UpstreamKey] | None = None,
) -> list[tuple[Upstream, int]]:
    """Return upstreams with free slots for a step and their number, best first.

    Parameters
    ----------
    step : StepRun
    upstreams : iterable of Upstream
        Upstreams that may run tasks of the step now.
    reserved : set of str
        Ids of upstreams to exclude, since they are reserved for other steps.
    is_idle : bool, default=False
        Whether slots that other runs use count as free.
    key : callable or None
        Sort key of an upstream; None puts the fastest first.
    """
    spec = step.spec
    key = key or prefer_fastest(step, ANY_SPEED)
    candidates = []
    for upstream in upstreams:
        if upstream.upstream_id in reserved:
            continue
        if spec.label and spec.label not in upstream.entry.labels:
            continue
        slots = (
            upstream.total_slots_for(spec) if is_idle else upstream.free_slots_for(spec)
        )
        if slots > 0 and spec.max_per_upstream:
            slots = min(slots, spec.max_per_upstream - count_live(step, upstream))
        if slots > 0:
            candidates.append((upstream, slots))
    candidates.sort(key=lambda candidate: key(candidate[0]))
    return candidates


def count_room(step: StepRun, upstreams: Iterable[Upstream], *, most: int) -> int:
    """Return for how many tasks there is room now, also beyond those of the step.

    Parameters
    ----------
    step : StepRun
    upstreams : iterable of Upstream
        Upstreams that may run tasks of the step now.
    most : int
        Number up to which they are counted.
    """
    spec = step.spec
    slots = 0
    for upstream in upstreams:
        if spec.label and spec.label not in upstream.entry.labels:
            continue
        free = upstream.free_slots_for(spec, most=most)
        if spec.max_per_upstream:
            free = min(free, spec.max_per_upstream - count_live(step, upstream))
        slots += max(0, free)
        if slots >= most:
            return most
    return slots


def count_live(step: StepRun, upstream: Upstream) -> int:
    """Return the number of runs of a step that hold resources at an upstream."""
    step_id = step.step_id
    return sum(1 for run in upstream.runs.values() if run.task[:3] == step_id)


def place_independent_tasks(
    step: StepRun,
    candidates: list[tuple[Upstream, int]],
    *,
    held: Set[int] = frozenset(),
    bound: Mapping[int, str | None] = NOT_BOUND,
    max_tasks: int | None = None,
) -> list[tuple[int, Upstream]]:
    """Assign waiting tasks of a step to upstreams until no slot is left.

    Tasks under which upstreams have crashed are placed first and apart, each where the
    fewest other runs are, which shows which of them is to blame and spares the others.

    Parameters
    ----------
    step : StepRun
    candidates : list of (Upstream, int)
        Upstreams with their free slots for the step, best first.
    held : set of int
        Waiting tasks that may not start yet.
    bound : mapping of int to (str or None)
        Upstream of each task that may start at one only; None if it may at none.
    max_tasks : int or None
        Most tasks to place.
    """
    slots = {upstream.upstream_id: count for upstream, count in candidates}
    placed: list[tuple[int, Upstream]] = []
    by_id = {upstream.upstream_id: upstream for upstream, _ in candidates}
    for index, name in bound.items():
        if index not in step.waiting or index in held or name is None:
            continue
        if slots.get(name, 0) > 0 and len(placed) != max_tasks:
            slots[name] -= 1
            placed.append((index, by_id[name]))
    held = held | bound.keys()
    suspects = {index for index in step.suspects if index in step.waiting} - held
    for index in sorted(suspects):
        if len(placed) == max_tasks:
            break
        free = [(upstream, slots[upstream.upstream_id]) for upstream, _ in candidates]
        apart = choose_upstream_apart(step, index, free, placed=placed)
        if apart is None:
            break
        slots[apart.upstream_id] -= 1
        placed.append((index, apart))
    for index in step.waiting:
        if index in suspects or index in held:
            continue
        if len(placed) == max_tasks:
            break
        avoided_upstreams = step.avoided_upstreams.get(index, set())
        chosen = _choose_upstream(candidates, slots, avoided_upstreams)
        if chosen is None:
            break
        slots[chosen.upstream_id] -= 1
        placed.append((index, chosen))
    return placed


def choose_upstream_apart(
    step: StepRun,
    index: int,
    candidates: list[tuple[Upstream, int]],
    *,
    placed: Sequence[tuple[int, Upstream]] = (),
) -> Upstream | None:
    """Return the upstream kept free, or the one with the fewest suspects and runs."""
    avoided_upstreams = step.avoided_upstreams.get(index, set())
    placed_here = Counter(upstream.upstream_id for _, upstream in placed)

    kept_free = step.kept_free.get(index)

    def rank(upstream: Upstream) -> tuple[bool, bool, int, bool, int]:
        name = upstream.upstream_id
        return (
            name != kept_free,
            name in avoided_upstreams,
            upstream.suspect_runs + placed_here[name],
            is_remote(step, upstream),
            len(upstream.runs),
        )

    free = [upstream for upstream, slots in candidates if slots > 0]
    return min(free, key=rank, default=None)


def _choose_upstream(
    candidates: list[tuple[Upstream, int]],
    slots: dict[str, int],
    avoided_upstreams: set[str],
) -> Upstream | None:
    fallback = None
    for upstream, _ in candidates:
        if slots[upstream.upstream_id] <= 0:
            continue
        if upstream.upstream_id not in avoided_upstreams:
            return upstream
        fallback = fallback or upstream
    return fallback


def place_gang(
    step: StepRun,
    candidates: list[tuple[Upstream, int]],
    *,
    bound: Mapping[int, str | None] = NOT_BOUND,
    evens_speed: bool = False,
) -> list[tuple[int, Upstream]] | None:
    """Assign all tasks of a gang to upstreams, or return None if they do not fit.

    Parameters
    ----------
    step : StepRun
    candidates : list of (Upstream, int)
        Upstreams with their free slots for the step, best first.
    bound : mapping of int to (str or None)
        Upstream of each task that may start at one only; None if it may at none.
    evens_speed : bool, default=False
        Whether members that cannot speed up the gang leave faster upstreams free: it
        ends with its slowest member.
    """
    count = step.spec.count
    if step.spec.in_one_rack:
        candidates = _select_rack(count, candidates, by_speed=evens_speed)
    placed = _fill(count, candidates)
    if placed is not None and bound:
        return _place_bound(placed, candidates, bound)
    if placed is None or not evens_speed:
        return placed
    slowest = min(upstream.speed_class for _, upstream in placed)
    even = [row for row in candidates if row[0].speed_class >= slowest]
    even.sort(
        key=lambda row: (
            is_remote(step, row[0]),
            row[0].suspect_runs > 0,
            row[0].speed_class,
            -row[0].used_cpu_millis,
        )
    )
    return _fill(count, even)


def _place_bound(
    placed: list[tuple[int, Upstream]],
    candidates: list[tuple[Upstream, int]],
    bound: Mapping[int, str | None],
) -> list[tuple[int, Upstream]] | None:
    """Give tasks that may start at one upstream only their places there.

    Parameters
    ----------
    placed : list of (int, Upstream)
        Places of all tasks of a gang, in any order.
    candidates : list of (Upstream, int)
        Upstreams with their free slots.
    bound : mapping of int to (str or None)

    Returns
    -------
    placed : list of (int, Upstream) or None
        None if a task finds no slot.
    """
    slots = {upstream.upstream_id: (upstream, count) for upstream, count in candidates}
    needed = Counter(bound.values())
    chosen: dict[int, Upstream] = {}
    for index, name in bound.items():
        if name is None or name not in slots or needed[name] > slots[name][1]:
            return None
        chosen[index] = slots[name][0]
    # Each bound task takes a place at its upstream, or that of the last other task.
    others = [upstream for _, upstream in placed]
    for upstream in chosen.values():
        if upstream in others:
            others.remove(upstream)
        else:
            others.pop()
    for index, _ in placed:
        if index not in chosen:
            chosen[index] = others.pop(0)
    return sorted(chosen.items())


def _fill(
    count: int, candidates: list[tuple[Upstream, int]]
) -> list[tuple[int, Upstream]] | None:
    """Assign tasks to the first candidates, or return None if they do not fit."""
    placed: list[tuple[int, Upstream]] = []
    for upstream, slots in candidates:
        for _ in range(slots):
            placed.append((len(placed), upstream))
            if len(placed) == count:
                return placed
    return None


def _select_rack(
    count: int, candidates: list[tuple[Upstream, int]], *, by_speed: bool
) -> list[tuple[Upstream, int]]:
    """Return the candidates of one rack if the gang fits in it, else all of them.

    Of several such racks it is the first one or, by speed, the one whose slowest member
    of the gang would be the fastest.
    """
    racks: dict[str, list[tuple[Upstream, int]]] = {}
    for candidate in candidates:
        racks.setdefault(candidate[0].entry.rack, []).append(candidate)
    fitting = [
        (min(upstream.speed_class for _, upstream in placed), members)
        for members in racks.values()
        if (placed := _fill(count, members)) is not None
    ]
    if not fitting:
        return candidates
    if not by_speed:
        return fitting[0][1]
    return max(fitting, key=lambda row: row[0])[1]
