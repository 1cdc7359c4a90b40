"""Bound of what each team may have running unknown to a new decider."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Set

from papayadyke_core.dispatch._job import StagedJob
from papayadyke_core.dispatch._progress import JobState
from papayadyke_core.dispatch._upstream import Upstream
from papayadyke_core.resources import ZERO_RESOURCES, Resources
from papayadyke_core.teams import TeamLedger

# Seconds between two computations while upstreams answer, each of which looks at every
# job. An old bound is too high, never too low.
INTERVAL_S = 0.1
CLOCK_MARGIN_S = 10.0  # seconds by which the clocks of two VMs may differ


class UnknownUse:
    """Keep the bounds of unknown use in the ledger until all runs are known.

    Parameters
    ----------
    ledger : TeamLedger

    Attributes
    ----------
    is_outdated : bool
        Whether jobs or upstreams were added that may raise a bound.
    """

    def __init__(self, ledger: TeamLedger) -> None:
        self.is_outdated = True
        self._ledger = ledger
        self._next_s = 0.0
        self._teams: set[str] = set()

    def update(
        self,
        jobs: Mapping[str, StagedJob],
        upstreams: Mapping[str, Upstream],
        *,
        barrier_s: float | None,
        ended_teams: Set[str],
        now: float,
    ) -> None:
        """Set the bound of each team.

        Parameters
        ----------
        jobs : mapping of str to StagedJob
        upstreams : mapping of str to Upstream
        barrier_s : float or None
            Until then runs of earlier terms may be unknown; None once all are known.
        ended_teams : set of str
            Teams of jobs that an earlier decider ended. Their runs may not have been
            stopped, and what they need is unknown.
        now : float
        """
        if barrier_s is None:
            if self._teams:
                self._ledger.clear_unknown()
                self._teams.clear()
            return
        if not self.is_outdated and now < self._next_s:
            return
        self.is_outdated = False
        self._next_s = now + INTERVAL_S
        capacity = sum_unanswered(upstreams.values())
        needs = sum_unconfirmed(jobs.values(), now=now)
        for team in self._teams | needs.keys() | ended_teams:
            bound = capacity
            if team not in ended_teams:
                bound = _find_minimum(bound, needs.get(team, ZERO_RESOURCES))
            self._ledger.set_unknown(team, bound)
            self._teams.add(team)


def sum_unanswered(upstreams: Iterable[Upstream]) -> Resources:
    """Return the capacity of the upstreams that may have unknown runs.

    They may have runs of earlier terms, and have not answered in this one. One whose
    entry tells no capacity counts as the largest of its service.
    """
    upstreams = list(upstreams)
    largest: dict[str, Resources] = {}
    for upstream in upstreams:
        service = upstream.entry.service
        known = largest.get(service, ZERO_RESOURCES)
        largest[service] = _find_maximum(known, _read_capacity(upstream))
    total = ZERO_RESOURCES
    for upstream in upstreams:
        if upstream.may_have_earlier_runs and not upstream.has_reported:
            capacity = _read_capacity(upstream)
            if capacity == ZERO_RESOURCES:
                capacity = largest[upstream.entry.service]
            total += capacity
    return total


def sum_unconfirmed(jobs: Iterable[StagedJob], *, now: float) -> dict[str, Resources]:
    """Return what the tasks of earlier terms need that are not known to run, by team.

    A task may run although the steps before its own are not stored as done, or its job
    was cancelled. An occurrence counts whole that is not open, but may be due on the
    clock of an earlier decider.
    """
    needs: dict[str, Resources] = {}
    for job in jobs:
        if not job.is_held_over or job.state is JobState.COMPLETE:
            continue
        team = job.spec.team
        if not team:
            continue
        counts = [
            (step.spec, step.spec.count - len(step.done) - len(step.live))
            for step in job.steps.values()
        ]
        unopened = _count_unopened(job, now)
        counts += [(spec, spec.count * unopened) for spec in job.spec.steps]
        for spec, count in counts:
            if count > 0:
                need = Resources(spec.cpu_millis, spec.memory_mb, spec.accelerators)
                needs[team] = needs.get(team, ZERO_RESOURCES) + need * count
    return needs


def _count_unopened(job: StagedJob, now: float) -> int:
    """Return how many occurrences of a job are due and neither open nor done."""
    wall_s = job.spec.accepted_s + now - job.accepted_at_s
    due = job.count_due(wall_s + CLOCK_MARGIN_S)
    opened = sum(occurrence < due for occurrence in job.list_open_occurrences())
    return max(0, due - job.done_occurrences.count_below(due) - opened)


def _read_capacity(upstream: Upstream) -> Resources:
    entry = upstream.entry
    return Resources(entry.cpu_millis, entry.memory_mb, entry.accelerators)


def _find_minimum(one: Resources, other: Resources) -> Resources:
    return Resources(
        min(one.cpu_millis, other.cpu_millis),
        min(one.memory_mb, other.memory_mb),
        min(one.accelerators, other.accelerators),
    )


def _find_maximum(one: Resources, other: Resources) -> Resources:
    return Resources(
        max(one.cpu_millis, other.cpu_millis),
        max(one.memory_mb, other.memory_mb),
        max(one.accelerators, other.accelerators),
    )
