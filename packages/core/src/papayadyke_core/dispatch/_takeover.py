"""What a decider does not know yet of the terms before its own."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from papayadyke_core.dispatch._job import StagedJob
from papayadyke_core.dispatch._registry_view import RegistryView
from papayadyke_core.dispatch._settings import DispatchSettings
from papayadyke_core.dispatch._unread import UnreadJobEnds
from papayadyke_core.dispatch._upstream import Upstream


@dataclass(frozen=True, slots=True)
class TakeoverEnd:
    """End of the time in which runs of earlier terms may be unknown.

    Parameters
    ----------
    waited_s : float
        Seconds since the takeover.
    silent_upstreams : tuple of str
        Upstreams that may have had runs of earlier terms and have not listed them;
        these have lost their leases.
    """

    waited_s: float
    silent_upstreams: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class TakeoverWait:
    """What holds back the jobs of earlier terms.

    Parameters
    ----------
    waited_s : float
        Seconds since the takeover.
    left_s : float
        Seconds after which silent upstreams are no longer waited for, at the latest.
    silent_upstreams : tuple of str
        Upstreams that have not listed their runs.
    unlisted_ends : tuple of str
        Upstreams under leases of this term that have not listed all ends, for which
        there is no such time.
    """

    waited_s: float
    left_s: float
    silent_upstreams: tuple[str, ...]
    unlisted_ends: tuple[str, ...]


def has_unknown_ends(upstream: Upstream, now: float) -> bool:
    """Return whether an upstream under leases of this term has not listed all ends."""
    has_lapsed = not upstream.is_reachable and now > upstream.lease_until_s
    return upstream.has_answered and not upstream.has_reported and not has_lapsed


def list_awaited(upstreams: Mapping[str, Upstream]) -> list[str]:
    """Return the upstreams that may have runs of earlier terms and list none."""
    # Whatever ran at an address has ended once another upstream answers there.
    addresses = {u.entry.address for u in upstreams.values() if u.has_reported}
    return [
        name
        for name, upstream in upstreams.items()
        if upstream.may_have_earlier_runs
        and not upstream.has_reported
        and upstream.entry.address not in addresses
    ]


class Takeover:
    """Times until which runs or jobs of earlier terms may be unknown, in seconds.

    Parameters
    ----------
    settings : DispatchSettings
    registry_view : RegistryView
        Tells which upstreams are gone.
    term : int
        Number of earlier deciders.
    now : float
        Time of the takeover.

    Attributes
    ----------
    barrier_s : float or None
        Until then runs under leases of the previous decider may be unknown, at the
        latest; None once all are known.
    handover_end_s : float
        Until then the previous decider may grant leases.
    has_earlier_terms : bool
        Whether there was a decider before.
    unread_until_s : float or None
        Until then an upstream may run or list a job that was not read yet; None once
        all such jobs are known.
    unread_ends : UnreadJobEnds
    """

    def __init__(
        self,
        settings: DispatchSettings,
        registry_view: RegistryView,
        *,
        term: int,
        now: float,
    ) -> None:
        self._settings = settings
        self._registry_view = registry_view
        self.barrier_s: float | None = None
        self.has_earlier_terms = term > 0
        self._began_s = now
        self._end: TakeoverEnd | None = None
        self.handover_end_s = now + settings.handover_s
        self.unread_until_s: float | None = None
        self.unread_ends = UnreadJobEnds()
        # Teams by the ids of their jobs that ended in earlier terms.
        self._ended_jobs: dict[str, str] = {}
        # Teams of those that were cancelled or failed, whose runs may still run.
        self.stopped_teams: set[str] = set()
        if term:
            self.unread_until_s = self.handover_end_s + settings.late_read_s
            # The previous decider may send orders until the end of the handover. A
            # silent upstream that has restarted may carry them out late, and hold the
            # runs for the longest lease.
            self.barrier_s = self.handover_end_s + settings.longest_late_hold_s

    def record_ended_job(
        self, job_id: str, *, team: str = "", may_run: bool = False
    ) -> None:
        """Record a job that ended in an earlier term; its runs are not needed."""
        self._ended_jobs[job_id] = team
        if team and may_run:
            self.stopped_teams.add(team)

    def find_team(self, job_id: str) -> str | None:
        """Return the team of a job that ended in an earlier term; None if unknown."""
        return self._ended_jobs.get(job_id)

    def may_be_unread(self, job_id: str, jobs: Mapping[str, StagedJob]) -> bool:
        """Return whether a job may be stored that this term has not read yet."""
        return (
            self.unread_until_s is not None
            and job_id not in jobs
            and job_id not in self._ended_jobs
        )

    def lift_barrier(self, upstreams: Mapping[str, Upstream], now: float) -> bool:
        """Lift the barrier once no earlier start can be unknown; return if it did."""
        if self.barrier_s is None:
            return False
        if now < self._find_wait_end_s(upstreams):
            return False
        if any(has_unknown_ends(upstream, now) for upstream in upstreams.values()):
            # Tasks that they have done are not known to be, however long it takes.
            return False
        self.barrier_s = None
        silent = []
        for name, upstream in upstreams.items():
            if upstream.may_have_earlier_runs and not upstream.has_reported:
                silent.append(name)
            upstream.end_takeover()
        self._end = TakeoverEnd(now - self._began_s, tuple(silent))
        return True

    def may_start_lasting(self, upstreams: Mapping[str, Upstream], now: float) -> bool:
        """Return whether tasks that last may start before the barrier is lifted.

        They do not wait for orders that upstreams may carry out late that are gone.
        """
        if now < self.handover_end_s + self._settings.longest_lease_s:
            return False
        if any(has_unknown_ends(upstream, now) for upstream in upstreams.values()):
            return False
        return all(
            self._registry_view.is_gone(upstreams[name], is_lasting=True)
            for name in list_awaited(upstreams)
        )

    def _find_wait_end_s(self, upstreams: Mapping[str, Upstream]) -> float:
        """Return until when silent upstreams are waited for, in seconds."""
        assert self.barrier_s is not None
        awaited = [upstreams[name] for name in list_awaited(upstreams)]
        if not awaited:
            return 0.0
        if all(self._registry_view.is_gone(u, is_lasting=False) for u in awaited):
            return self.handover_end_s + self._settings.late_call_s
        return self.barrier_s

    def describe_wait(
        self, upstreams: Mapping[str, Upstream], now: float
    ) -> TakeoverWait | None:
        """Return what holds back the jobs of earlier terms; None if nothing does."""
        if self.barrier_s is None:
            return None
        unlisted = [name for name, u in upstreams.items() if has_unknown_ends(u, now)]
        return TakeoverWait(
            now - self._began_s,
            max(0.0, self._find_wait_end_s(upstreams) - now),
            tuple(list_awaited(upstreams)),
            tuple(unlisted),
        )

    def take_end(self) -> TakeoverEnd | None:
        """Remove and return the end of the wait; None if there is no new one."""
        end, self._end = self._end, None
        return end

    def end_handover(self, now: float) -> bool:
        """Stop waiting for unread jobs once their time is over; return if it did."""
        if self.unread_until_s is None or now < self.unread_until_s:
            return False
        self.unread_until_s = None
        self.unread_ends.clear()
        self._ended_jobs.clear()
        return True
