"""Preemption: make room for a gang by stopping less urgent runs that can resume."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import NamedTuple

from papayadyke_core.dispatch._job import StagedJob, StepRun
from papayadyke_core.dispatch._run import Run, RunPhase
from papayadyke_core.dispatch._spec import QueuePolicy, StepId, StepSpec
from papayadyke_core.dispatch._speed_needs import find_min_speed
from papayadyke_core.dispatch._upstream import Upstream

# Seconds from a stop order until the end of the run is read, beside the time that the
# upstream takes to stop it.
STOP_REPORT_S = 0.3
# Seconds of a run below which its work is not worth a stop and a restart.
MIN_RUN_S = 0.3

# Seconds that a preempted run is expected to lose: the stop, the wait for other room
# and the restore of its checkpoint.
PREEMPTION_DELAY_S = 2.0
# Speed at which the rest of a job must still end in time after a preemption, so that it
# can do with most upstreams.
MAX_NEEDED_SPEED = 0.75
# Multiple of a gang's tasks for which there is to be room when tickets are requested.
ROOM_MARGIN = 1.25


class Claim(NamedTuple):
    """Upstreams on which a gang starts next, and until when they are kept for it."""

    upstream_ids: frozenset[str]
    until_s: float


class Claims:
    """Upstreams whose runs were stopped for gangs that are about to start there.

    Without a claim, tasks of a higher rank would take the room before the gang.
    """

    def __init__(self) -> None:
        self._claims: dict[StepId, Claim] = {}

    def add(self, step: StepId, upstream_ids: Iterable[str], *, until_s: float) -> None:
        """Keep upstreams for a step until a time, in seconds."""
        self._claims[step] = Claim(frozenset(upstream_ids), until_s)

    def remove(self, step: StepId) -> None:
        """Remove the claim of a step that has started."""
        self._claims.pop(step, None)

    def expire(self, now: float) -> None:
        """Remove the claims whose time is over."""
        for step in [s for s, claim in self._claims.items() if now >= claim.until_s]:
            del self._claims[step]

    def has_claim(self, step: StepId) -> bool:
        """Return whether upstreams are kept for a step."""
        return step in self._claims

    def list_claimed(self, *, except_for: StepId) -> set[str]:
        """Return the ids of the upstreams that are kept for other steps."""
        claimed: set[str] = set()
        for step, claim in self._claims.items():
            if step != except_for:
                claimed |= claim.upstream_ids
        return claimed


class _Room(NamedTuple):
    """One more slot on an upstream, and the runs to stop for it; the cheapest first.

    `number` tells the upstreams apart, each of which offers one slot at a time.
    """

    cost_cpu_millis: int
    number: int
    upstream: Upstream
    victims: list[Run]


def choose_victims(
    step: StepRun,
    upstreams: Iterable[Upstream],
    *,
    may_stop: Callable[[Run], bool],
    now: float,
    members: int | None = None,
) -> tuple[list[Run], set[str]] | None:
    """Return runs to stop so that a gang fits, and the upstreams on which it then does.

    The slots that need the least CPU of other runs are taken first. Runs that are
    being stopped already count as gone.

    Parameters
    ----------
    step : StepRun
        A gang.
    upstreams : iterable of Upstream
        Upstreams that may run it.
    may_stop : callable
        Returns whether the job of a run can do without it for some time.
    now : float
        Seconds, on the dispatcher's clock.
    members : int or None
        Tasks for which there is to be room; None for those of the gang.

    Returns
    -------
    result : (list of Run, set of str) or None
        None if the gang does not fit even without all of these runs.
    """
    label = step.spec.label
    rows = [
        _iterate_rooms(step.spec, upstream, number, may_stop=may_stop, now=now)
        for number, upstream in enumerate(
            u for u in upstreams if not label or label in u.entry.labels
        )
    ]
    rooms = [room for row in rows if (room := next(row, None)) is not None]
    heapq.heapify(rooms)
    victims: list[Run] = []
    chosen: set[str] = set()
    missing = step.spec.count if members is None else members
    while rooms and missing:
        room = heapq.heappop(rooms)
        missing -= 1
        victims += room.victims
        chosen.add(room.upstream.upstream_id)
        following = next(rows[room.number], None)
        if following is not None:
            heapq.heappush(rooms, following)
    return None if missing else (victims, chosen)


def find_room(
    step: StepRun,
    upstreams: Sequence[Upstream],
    *,
    may_stop: Callable[[Run], bool],
    now: float,
) -> set[str]:
    """Return upstreams on which a gang fits now, or once runs are stopped there.

    They have more room than the gang needs, if there is more: other steps may take some
    of it before the gang starts. The set is empty if it does not fit.

    Parameters
    ----------
    step : StepRun
        A gang.
    upstreams : sequence of Upstream
        Upstreams that may run it.
    may_stop : callable
        Returns whether the job of a run can do without it for some time.
    now : float
        Seconds, on the dispatcher's clock.
    """
    count = step.spec.count
    for members in (math.ceil(ROOM_MARGIN * count), count):
        chosen = choose_victims(
            step, upstreams, may_stop=may_stop, now=now, members=members
        )
        if chosen is not None:
            return chosen[1]
    return set()


def has_slack(job: StagedJob, queue: QueuePolicy, *, factor: float, now: float) -> bool:
    """Return whether a job still ends in time if one of its runs is preempted.

    Parameters
    ----------
    job : StagedJob
    queue : QueuePolicy
    factor : float
        Learned ratio of run time to estimate.
    now : float
        Seconds, on the dispatcher's clock.
    """
    later_s = now + PREEMPTION_DELAY_S
    return find_min_speed(job, queue, factor=factor, now=later_s) <= MAX_NEEDED_SPEED


def is_preemptible(run: Run, now: float) -> bool:
    """Return whether a run may be stopped and resumed elsewhere at little cost."""
    spec = run.spec
    return (
        spec.is_checkpointing
        and not spec.is_gang
        and not spec.is_long_running
        and not spec.fills_spare
        and not run.is_urgent
        and not run.is_unwanted
        and not run.earlier_losses
        and run.phase is RunPhase.RUNNING
        and run.stop_requested_s is None
        and now - run.started_s >= MIN_RUN_S
    )


def _iterate_rooms(
    spec: StepSpec,
    upstream: Upstream,
    number: int,
    *,
    may_stop: Callable[[Run], bool],
    now: float,
) -> Iterator[_Room]:
    """Yield one slot after the other, those that are free first."""
    entry = upstream.entry
    cpu_millis = entry.cpu_millis - upstream.used_cpu_millis
    memory_mb = entry.memory_mb - upstream.used_memory_mb
    accelerators = entry.accelerators - upstream.used_accelerators
    candidates: list[Run] = []
    for run in upstream.runs.values():
        if run.stop_requested_s is not None:
            cpu_millis += run.spec.cpu_millis
            memory_mb += run.spec.memory_mb
            accelerators += run.spec.accelerators
        elif is_preemptible(run, now) and may_stop(run):
            candidates.append(run)
    # The largest first, so that few runs are stopped.
    candidates.sort(key=lambda run: (run.spec.cpu_millis, run.started_s))
    most = upstream.total_slots_for(spec)
    if spec.max_per_upstream:
        most = min(most, spec.max_per_upstream)
    victims: list[Run] = []
    for _ in range(most):
        while (
            cpu_millis < spec.cpu_millis
            or memory_mb < spec.memory_mb
            or accelerators < spec.accelerators
        ):
            if not candidates:
                return
            victim = candidates.pop()
            victims.append(victim)
            cpu_millis += victim.spec.cpu_millis
            memory_mb += victim.spec.memory_mb
            accelerators += victim.spec.accelerators
        cost_cpu_millis = sum(run.spec.cpu_millis for run in victims)
        yield _Room(cost_cpu_millis, number, upstream, victims)
        victims = []
        cpu_millis -= spec.cpu_millis
        memory_mb -= spec.memory_mb
        accelerators -= spec.accelerators
