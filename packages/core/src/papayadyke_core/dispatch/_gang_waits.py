"""Room and tickets of the gangs that wait, which tell what holds them up."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from papayadyke_core.dispatch._advice import AdviceCache
from papayadyke_core.dispatch._job import StepRun
from papayadyke_core.dispatch._reservations import Reservation, count_possible_slots
from papayadyke_core.dispatch._spec import StepId
from papayadyke_core.dispatch._upstream import Upstream


@dataclass(frozen=True, slots=True)
class GangWait:
    """A gang that waits, and the upstreams that it may use.

    Parameters
    ----------
    step_id : StepId
    members : int
        Tasks that must start together.
    age_s : float
        Seconds since its job was accepted.
    queried, allowed, ticketed : int
        Upstreams that the advisory service has answered for, those that may run the
        gang, and those of them with a valid ticket.
    allowed_slots, ticketed_slots : int
        Members for which these upstreams have room now.
    possible_slots : int
        Members for which upstreams have room once the runs have ended there that are
        expected to end; only those that may run the gang, if some are known. A gang
        with fewer than `members` cannot start.
    reservation : Reservation or None
        Upstreams that are kept for it.
    """

    step_id: StepId
    members: int
    age_s: float
    queried: int
    allowed: int
    ticketed: int
    allowed_slots: int
    ticketed_slots: int
    possible_slots: int
    reservation: Reservation | None


def list_gang_waits(
    steps: Iterable[StepRun],
    cache: AdviceCache,
    upstreams: Mapping[str, Upstream],
    reservations: Iterable[Reservation],
    *,
    now: float,
    min_age_s: float,
    most: int,
) -> list[GangWait]:
    """Return the gangs that have waited the longest, the oldest first.

    Parameters
    ----------
    steps : iterable of StepRun
        Steps with waiting tasks.
    cache : AdviceCache
    upstreams : mapping of str to Upstream
    reservations : iterable of Reservation
    now : float
        Seconds, on the dispatcher's clock.
    min_age_s : float
        Seconds since acceptance below which a gang is left out.
    most : int
        Maximum number of gangs.
    """
    gangs = [
        step
        for step in steps
        if step.spec.is_gang
        and not step.live
        and now - step.job.accepted_at_s >= min_age_s
    ]
    gangs.sort(key=lambda step: (step.job.accepted_at_s, step.step_id))
    held = {reservation.step_id: reservation for reservation in reservations}
    return [
        _describe(step, cache, upstreams, held.get(step.step_id), now)
        for step in gangs[:most]
    ]


def _describe(
    step: StepRun,
    cache: AdviceCache,
    upstreams: Mapping[str, Upstream],
    reservation: Reservation | None,
    now: float,
) -> GangWait:
    advice = cache.get_or_create(step.step_id)
    usable = {
        name: upstreams[name].free_slots_for(step.spec)
        for name in advice.allowed
        if name in upstreams and upstreams[name].may_start(now)
    }
    possible = (
        upstream
        for name, upstream in upstreams.items()
        if upstream.may_start(now) and (not advice.queried or name in advice.allowed)
    )
    ticketed = usable.keys() & set(cache.list_ticketed_upstreams(step.step_id, now))
    return GangWait(
        step.step_id,
        step.spec.count,
        now - step.job.accepted_at_s,
        len(advice.queried),
        len(usable),
        len(ticketed),
        sum(usable.values()),
        sum(usable[name] for name in ticketed),
        count_possible_slots(step, possible, now=now),
        reservation,
    )


__all__ = ["GangWait", "list_gang_waits"]
