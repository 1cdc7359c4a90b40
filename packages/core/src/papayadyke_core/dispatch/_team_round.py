"""Limits and fair shares of teams during one placement pass."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

from papayadyke_core.dispatch._job import StepRun
from papayadyke_core.dispatch._spec import QueuePolicy, StepSpec
from papayadyke_core.resources import ZERO_RESOURCES, Resources
from papayadyke_core.sharing import compute_fair_shares
from papayadyke_core.teams import TeamLedger, TeamPolicy

# Rounding errors of shares must not leave a team below its share by a fraction of a
# task.
SHARE_TOLERANCE = 1e-9


# Step with its queue, and whether its job is too late to be useful to its caller. A
# plain tuple, since one is made for each waiting step in each pass.
RankedStep = tuple[StepRun, QueuePolicy, bool]


class TeamWait(NamedTuple):
    """Step that waits because of the limit of its team."""

    step: StepRun
    policy: TeamPolicy
    use: Resources


class TeamRound:
    """Decide how many tasks of a step its team may start in one placement pass.

    What a team holds only grows during the pass, since runs are only added.

    Parameters
    ----------
    ledger : TeamLedger
    teams : mapping of str to TeamPolicy or None
        Teams of the configuration; None if it has none.
    overrun : float
        Fraction by which a gang that runs alone may exceed the limit.
    """

    def __init__(
        self,
        ledger: TeamLedger,
        teams: Mapping[str, TeamPolicy] | None,
        *,
        overrun: float,
    ) -> None:
        self.waits: dict[str, TeamWait] = {}
        self._ledger = ledger
        self._teams = teams
        self._overrun = overrun
        self._needs_at_limit: set[tuple[str, int, int, int, int]] = set()
        self._capacity: Mapping[str, Resources] = {}
        self._shares: dict[str, dict[str, float]] = {}
        self._at_share: set[tuple[str, str]] = set()
        # By service and team, the results for each need until the team starts a task.
        self._below_share: dict[tuple[str, str], dict[tuple[int, ...], int]] = {}

    def count_allowed(self, step: StepRun) -> int:
        """Return how many more tasks of a step the limit of its team allows."""
        policy = self._find_policy(step)
        if policy is None:
            return step.spec.count
        spec, team = step.spec, step.job.spec.team
        members = spec.count if spec.is_gang else 1
        key = team, members, spec.cpu_millis, spec.memory_mb, spec.accelerators
        if key in self._needs_at_limit:
            return 0
        allowed = self._ledger.count_allowed(team, spec, policy, overrun=self._overrun)
        if not allowed:
            self._needs_at_limit.add(key)
        if allowed < len(step.waiting) and team not in self.waits:
            use = self._ledger.get_use(team)
            self.waits[team] = TeamWait(step, policy, use)
        return allowed

    def check_start(self, step: StepRun) -> None:
        """Check that a task of a step that was just charged is within the limit.

        Raises
        ------
        AssertionError
            If the limit of the team is exceeded.
        """
        policy = self._find_policy(step)
        team = step.job.spec.team
        if not self._ledger.is_within(team, step.spec, policy, overrun=self._overrun):
            raise AssertionError(f"start of {step.step_id} exceeds the limit of {team}")

    def order_by_group(
        self, ranked: Sequence[RankedStep], capacity: Mapping[str, Resources]
    ) -> Iterator[tuple[RankedStep, int]]:
        """Yield the steps in the order in which to place them, with their most tasks.

        Useful work of teams below their fair share comes first, then the useful work
        of teams above it, then worthless work; within each group the rank decides. A
        step is yielded twice if its team reaches its share in the first group. Without
        teams in the configuration the rank alone decides.

        Parameters
        ----------
        ranked : sequence of RankedStep
            In the order of their rank.
        capacity : mapping of str to Resources
            Capacity of the upstreams of each service.
        """
        if self._teams is None:
            for row in ranked:
                yield row, row[0].spec.count
            return
        self._compute_shares(ranked, capacity)
        above_share: list[RankedStep] = []
        worthless: list[RankedStep] = []
        at_share, below_share = self._at_share, self._below_share
        for row in ranked:
            step, queue, is_worthless = row
            if is_worthless:
                worthless.append(row)
                continue
            account = queue.service, step.job.spec.team
            if account in at_share:
                above_share.append(row)
                continue
            waiting = len(step.waiting)
            below = self._count_below_share(step, account)
            if below:
                yield row, below
                if len(step.waiting) < waiting:
                    below_share.pop(account, None)
            if below < step.spec.count:
                above_share.append(row)
        for row in (*above_share, *worthless):
            yield row, row[0].spec.count

    def _find_policy(self, step: StepRun) -> TeamPolicy | None:
        return None if self._teams is None else self._teams.get(step.job.spec.team)

    def _count_below_share(self, step: StepRun, account: tuple[str, str]) -> int:
        """Return how many tasks a team may start until it holds its fair share.

        The last of them may exceed the share, since otherwise a share that is less
        than one task would never be used.
        """
        spec = step.spec
        results = self._below_share.setdefault(account, {})
        members = spec.count if spec.is_gang else 0
        key = spec.cpu_millis, spec.memory_mb, spec.accelerators, spec.count, members
        below = results.get(key)
        if below is None:
            below = results[key] = self._find_below_share(spec, *account)
        return below

    def _find_below_share(self, spec: StepSpec, service: str, team: str) -> int:
        share = self._shares[service][team] - SHARE_TOLERANCE
        total = self._capacity.get(service, ZERO_RESOURCES)
        use = self._ledger.get_service_use(team, service)
        if use.dominant_share(total) >= share:
            self._at_share.add((service, team))
            return 0
        if spec.is_gang:
            return spec.count
        below = spec.count
        for available, used, need in (
            (total.cpu_millis, use.cpu_millis, spec.cpu_millis),
            (total.memory_mb, use.memory_mb, spec.memory_mb),
            (total.accelerators, use.accelerators, spec.accelerators),
        ):
            if available and need:
                below = min(below, int((share * available - used) // need) + 1)
        return max(below, 1)

    def _compute_shares(
        self, ranked: Sequence[RankedStep], capacity: Mapping[str, Resources]
    ) -> None:
        """Compute the fair share of each team in each service."""
        self._capacity = capacity
        waiting = _sum_waiting(ranked)
        demands: dict[str, dict[str, float]] = {}
        teams = self._teams or {}
        for (service, team), needs in waiting.items():
            use = self._ledger.get_service_use(team, service)
            demand = Resources(*needs) + use
            policy = teams.get(team)
            if policy is not None:
                demand = _cap(demand, policy.limit)
            total = capacity.get(service, ZERO_RESOURCES)
            demands.setdefault(service, {})[team] = demand.dominant_share(total)
        for team, service, use in self._ledger.list_service_use():
            # A team that has nothing waiting still needs what it holds.
            rows = demands.get(service)
            if rows is not None and team not in rows:
                total = capacity.get(service, ZERO_RESOURCES)
                rows[team] = use.dominant_share(total)
        weights = {name: policy.weight for name, policy in teams.items()}
        self._shares = {
            service: compute_fair_shares(rows, weights)
            for service, rows in demands.items()
        }


def _sum_waiting(ranked: Sequence[RankedStep]) -> dict[tuple[str, str], list[int]]:
    """Return the needs of the useful waiting tasks by service and team."""
    sums: dict[tuple[str, str], list[int]] = {}
    for step, queue, is_worthless in ranked:
        if is_worthless:
            continue
        key = queue.service, step.job.spec.team
        needs = sums.get(key)
        if needs is None:
            needs = sums[key] = [0, 0, 0]
        spec, count = step.spec, len(step.waiting)
        needs[0] += count * spec.cpu_millis
        needs[1] += count * spec.memory_mb
        needs[2] += count * spec.accelerators
    return sums


def _cap(demand: Resources, limit: Resources) -> Resources:
    """Return a demand of which a limit allows all; 0 stands for no limit."""
    return Resources(
        min(demand.cpu_millis, limit.cpu_millis or demand.cpu_millis),
        min(demand.memory_mb, limit.memory_mb or demand.memory_mb),
        min(demand.accelerators, limit.accelerators or demand.accelerators),
    )
