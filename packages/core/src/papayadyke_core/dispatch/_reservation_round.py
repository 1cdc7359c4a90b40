"""Reservations of one placement pass, and who may start in the room they keep."""

from __future__ import annotations

import math
from collections.abc import Iterable

from papayadyke_core.dispatch._job import StepRun
from papayadyke_core.dispatch._pool import Pool
from papayadyke_core.dispatch._reservations import (
    Reservation,
    Reservations,
    find_blocking,
    find_reservation,
)
from papayadyke_core.dispatch._settings import DispatchSettings
from papayadyke_core.dispatch._upstream import Upstream

# Seconds for which room that is kept for others may keep a job from running anything,
# while there is room for it `KEPT_OUT_ROOM` times over.
MAX_KEPT_OUT_S = 1.5
KEPT_OUT_ROOM = 2
# Seconds until upstreams are looked for again that a gang may fit on: a look takes 20 us
# for an upstream with eight runs, and many gangs may wait that never fit.
RETRY_S = 0.5
# Seconds after which a step that was not kept out again counts as not kept out.
KEPT_OUT_GAP_S = 0.5


class ReservationRound:
    """Reserve upstreams for gangs, and tell which of them another step may use.

    Parameters
    ----------
    settings : DispatchSettings
    former : Reservations
        Reservations of the last placement pass.
    now : float
        Seconds, on the dispatcher's clock.

    Attributes
    ----------
    reservations : list of Reservation
    kept_until_s : dict of str to float
        When the gang is expected to fit for which an upstream is kept, by upstream.
    """

    def __init__(
        self, settings: DispatchSettings, former: Reservations, *, now: float
    ) -> None:
        self.reservations: list[Reservation] = []
        self.kept_until_s: dict[str, float] = {}
        self._settings = settings
        self._former = former
        self._now = now

    def may_reserve(self, pool: Pool) -> bool:
        """Return whether another gang may reserve members of a pool."""
        if len(self.reservations) < self._settings.reserving_gangs:
            return True
        max_kept = self._settings.reserved_share * len(pool.members)
        return len(self.kept_until_s) < max_kept

    def reserve(self, step: StepRun, upstreams: Iterable[Upstream]) -> None:
        """Keep upstreams for a gang that is expected to fit there.

        Parameters
        ----------
        step : StepRun
        upstreams : iterable of Upstream
            Upstreams that the gang may use and that are not kept for others.
        """
        if self._now < step.next_reservation_s:
            return
        found = find_reservation(
            step,
            upstreams,
            now=self._now,
            by_speed=self._settings.learns_run_times,
        )
        if found is None:
            step.next_reservation_s = self._now + RETRY_S
            return
        upstream_ids, starts_s = found
        since_s = self._former.find_since(step.step_id)
        self.reservations.append(
            Reservation(
                step.step_id,
                step.spec.count,
                upstream_ids,
                starts_s,
                self._now if since_s is None else since_s,
            )
        )
        self.kept_until_s |= dict.fromkeys(upstream_ids, starts_s)

    def find_blocked(self, step: StepRun, factor: float) -> set[str]:
        """Return the kept upstreams that a step may not use.

        It may use those on which its tasks are expected to end before the gang fits.

        Parameters
        ----------
        step : StepRun
        factor : float
            Learned ratio of run time to estimate.
        """
        run_s = step.spec.estimate_s * factor
        if step.spec.is_long_running:
            run_s = math.inf
        elif run_s <= self._settings.short_task_s:
            return set()
        return find_blocking(self.kept_until_s, run_s=run_s, now=self._now)

    def may_use_kept_room(self, step: StepRun, slots: int) -> bool:
        """Return whether a step has been kept out for so long that it may start.

        That holds if nothing of its job runs, or if its tasks last, and there has been
        room for it several times over.

        Parameters
        ----------
        step : StepRun
            A step that finds no room that is not kept.
        slots : int
            Tasks for which there is room with that which is kept.
        """
        needed = KEPT_OUT_ROOM * (step.spec.count if step.spec.is_gang else 1)
        if slots < needed:
            return False
        if not step.spec.is_long_running and step.job.has_runs():
            return False
        if self._now - step.kept_out_seen_s > KEPT_OUT_GAP_S:
            step.kept_out_since_s = self._now
        step.kept_out_seen_s = self._now
        return self._now - step.kept_out_since_s >= MAX_KEPT_OUT_S


__all__ = ["ReservationRound"]
