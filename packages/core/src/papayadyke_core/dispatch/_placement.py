"""Which upstreams get the waiting tasks of a step."""

from __future__ import annotations

from collections.abc import Iterable

from papayadyke_core.dispatch._job import StepRun
from papayadyke_core.dispatch._upstream import Upstream

SPEED_DIGITS = 1  # speeds that differ by less count as equal


def list_candidates(
    step: StepRun, upstreams: Iterable[Upstream], *, reserved: set[str]
) -> list[tuple[Upstream, int]]:
    """Return upstreams with room for the step and their free slots, best first.

    Parameters
    ----------
    step : StepRun
    upstreams : iterable of Upstream
        Those that may get work of the step now.
    blocked : set of str
        Upstreams that are reserved for other work.
    """
    spec = step.spec
    candidates = []
    for upstream in upstreams:
        if upstream.upstream_id in reserved:
            continue
        if spec.label and spec.label not in upstream.entry.labels:
            continue
        slots = upstream.free_slots_for(spec)
        if slots > 0 and spec.max_per_upstream:
            slots = min(slots, spec.max_per_upstream - count_live(step, upstream))
        if slots > 0:
            candidates.append((upstream, slots))
    candidates.sort(key=lambda candidate: _placement_key(step, candidate[0]))
    return candidates


def count_live(step: StepRun, upstream: Upstream) -> int:
    """Return the tasks of a step and occurrence that take room at an upstream."""
    step_id = step.step_id
    return sum(1 for run in upstream.runs.values() if run.task[:3] == step_id)


def _placement_key(step: StepRun, upstream: Upstream) -> tuple[bool, float, int]:
    rack = step.spec.data_rack
    is_remote = bool(rack) and upstream.entry.rack != rack
    # The fullest first among equals, which keeps whole upstreams free for gangs.
    return is_remote, -round(upstream.speed, SPEED_DIGITS), -upstream.used_cpu_millis


def place_independent_tasks(
    step: StepRun, candidates: list[tuple[Upstream, int]]
) -> list[tuple[int, Upstream]]:
    """Give each waiting task of a step an upstream, as far as there is room."""
    slots = {upstream.upstream_id: count for upstream, count in candidates}
    placed: list[tuple[int, Upstream]] = []
    for index in sorted(step.waiting):
        avoided = step.avoid.get(index, set())
        choice = _choose_upstream(candidates, slots, avoided)
        if choice is None:
            break
        slots[choice.upstream_id] -= 1
        placed.append((index, choice))
    return placed


def _choose_upstream(
    candidates: list[tuple[Upstream, int]], slots: dict[str, int], avoided: set[str]
) -> Upstream | None:
    fallback = None
    for upstream, _ in candidates:
        if slots[upstream.upstream_id] <= 0:
            continue
        if upstream.upstream_id not in avoided:
            return upstream
        fallback = fallback or upstream
    return fallback


def place_gang(
    step: StepRun, candidates: list[tuple[Upstream, int]]
) -> list[tuple[int, Upstream]] | None:
    """Give every task of a gang an upstream, or return None."""
    if step.spec.in_one_rack:
        candidates = _select_rack(step.spec.count, candidates)
    placed: list[tuple[int, Upstream]] = []
    for upstream, slots in candidates:
        for _ in range(slots):
            placed.append((len(placed), upstream))
            if len(placed) == step.spec.count:
                return placed
    return None


def _select_rack(
    count: int, candidates: list[tuple[Upstream, int]]
) -> list[tuple[Upstream, int]]:
    """Return the candidates of a rack that holds the gang, else all of them."""
    racks: dict[str, list[tuple[Upstream, int]]] = {}
    for candidate in candidates:
        racks.setdefault(candidate[0].entry.rack, []).append(candidate)
    for members in racks.values():
        if sum(slots for _, slots in members) >= count:
            return members
    return candidates


def reserve_for_gang(step: StepRun, upstreams: list[Upstream]) -> set[str]:
    """Return the upstreams to keep free until a gang fits on them.

    Those with the most room now come first, since they are free the soonest.
    """
    spec = step.spec
    by_free_slots = sorted(
        upstreams, key=lambda candidate: -candidate.free_slots_for(spec)
    )
    reserved: set[str] = set()
    slots = 0
    for upstream in by_free_slots:
        if slots >= spec.count:
            return reserved
        slots += upstream.total_slots_for(spec)
        reserved.add(upstream.upstream_id)
    return reserved if slots >= spec.count else set()
