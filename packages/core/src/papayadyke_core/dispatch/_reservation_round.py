"""Reservations of one placement pass, and who may start in the room they keep."""

from __future__ import annotations

import math
from collections.abc import Iterable, Set

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
# Seconds until upstreams are looked for again on which a gang may fit: many gangs may
# wait that never fit, and a look at an upstream with eight runs takes 20 us.
RETRY_S = 0.5
# Seconds after which a step that was not kept out again counts as not kept out.
KEPT_OUT_GAP_S = 0.5
KEPT_OUT_LOOK_S = 0.05  # seconds between two looks for how long a step is kept out


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
    kept : set of str
        Upstreams that are kept for gangs.
    idle_until_s : dict of str to float
        When an upstream is expected to be idle that is kept for a suspect, by upstream.
    """

    def __init__(
        self, settings: DispatchSettings, former: Reservations, *, now: float
    ) -> None:
        self.reservations: list[Reservation] = []
        self.kept: set[str] = set()
        self.idle_until_s: dict[str, float] = {}
        self._settings = settings
        self._former = former
        self._now = now

    @property
    def upstream_ids(self) -> Set[str]:
        """Upstreams that are kept for gangs or suspects."""
        return self.kept | self.idle_until_s.keys()

    def keep_idle(self, upstream_id: str, idle_s: float) -> None:
        """Keep an upstream for a suspect, until it is idle at a time, in seconds."""
        self.idle_until_s[upstream_id] = idle_s

    def may_reserve(self, pool: Pool) -> bool:
        """Return whether another gang may reserve members of a pool."""
        if len(self.reservations) < self._settings.reserving_gangs:
            return True
        max_kept = self._settings.reserved_share * len(pool.members)
        return len(self.kept) < max_kept

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
        self.kept |= upstream_ids

    def find_blocked(self, step: StepRun, factor: float) -> set[str]:
        """Return the kept upstreams that a step may not use.

        Short tasks do not hold up a gang, and tasks that end before a suspect has an
        upstream to itself do not hold up the suspect.

        Parameters
        ----------
        step : StepRun
        factor : float
            Learned ratio of run time to estimate.
        """
        run_s = step.spec.estimate_s * factor
        if step.spec.is_long_running:
            run_s = math.inf
        blocked = find_blocking(self.idle_until_s, run_s=run_s, now=self._now)
        if run_s > self._settings.short_task_s:
            blocked |= self.kept
        return blocked

    def is_look_due(self, step: StepRun) -> bool:
        """Return whether to look now for how long a step has been kept out.

        Looking for each step in each placement pass made a pass of 300 waiting steps
        take 27 ms in place of 15 ms.
        """
        if self._now < step.next_kept_out_look_s:
            return False
        step.next_kept_out_look_s = self._now + KEPT_OUT_LOOK_S
        return True

    def count_needed(self, step: StepRun) -> int:
        """Return for how many tasks there must be room that a step is kept out of."""
        return KEPT_OUT_ROOM * (step.spec.count if step.spec.is_gang else 1)

    def may_use_kept_room(self, step: StepRun) -> bool:
        """Return whether a step has been kept out for so long that it may start.

        That holds if nothing of its job runs, or if its tasks last.

        Parameters
        ----------
        step : StepRun
            A step that finds room for `count_needed` tasks, and all of it is kept.
        """
        if not step.spec.is_long_running and step.job.has_runs():
            return False
        if self._now - step.kept_out_seen_s > KEPT_OUT_GAP_S:
            step.kept_out_since_s = self._now
        step.kept_out_seen_s = self._now
        return self._now - step.kept_out_since_s >= MAX_KEPT_OUT_S


__all__ = ["ReservationRound"]
