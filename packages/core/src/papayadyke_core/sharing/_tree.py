"""Accounts of all teams and workloads, and the scheduling order."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from papayadyke_core.resources import ZERO_RESOURCES, Resources
from papayadyke_core.sharing._accounts import FleetSize, TeamAccount, WorkloadAccount
from papayadyke_core.workloads import Config, Team, effective_rule

# Limits the number of workloads that a refusal names.
_MAX_NAMED_HOLDERS = 3


class RankPhase(IntEnum):
    """Reason for the rank of a workload; lower values are scheduled first."""

    OVERDUE = 0
    FLOOR = 1
    SHARE = 2


class Rank(NamedTuple):
    """Sort key of a workload; the smallest is scheduled next.

    The keys after the phase depend on it. Starting a task never makes the rank of
    any workload smaller.
    """

    phase: RankPhase
    first: float
    second: float
    third: float


class ShareTree:
    """Two-level tree of the accounts of teams and their workloads.

    Workloads below their floors are scheduled first, in order of the fraction of
    the floor that they hold. The others are ordered by urgency class, then by the
    share of their team divided by the weight of the team, then by their own share
    divided by their weight; smaller quotients go first.
    """

    def __init__(self) -> None:
        self.size = FleetSize(ZERO_RESOURCES, 0)
        self._teams: dict[str, TeamAccount] = {}
        self._accounts: dict[str, WorkloadAccount] = {}

    def apply_config(self, config: Config) -> None:
        """Apply workloads, teams and rules; the resources held are unchanged."""
        for name, workload in config.workloads.items():
            rule = effective_rule(config, name)
            team = self._get_or_create_team(config, workload.team)
            account = self._accounts.get(name)
            if account is None:
                self._accounts[name] = WorkloadAccount(workload, rule, team)
                continue
            if account.team is not team:
                _move_to_team(account, team, self.size)
            account.apply_rule(workload, rule, team)
        for team in self._teams.values():
            team.team = config.teams.get(team.team.name, team.team)

    def resize(self, capacity: Resources, slots: int) -> None:
        """Set the fleet size and recompute all shares if it has changed."""
        if slots == self.size.slots and capacity == self.size.capacity:
            return
        self.size = FleetSize(capacity, slots)
        for account in self._accounts.values():
            account.resize(self.size)
        for team in self._teams.values():
            team.resize(self.size)

    def account(self, workload: str) -> WorkloadAccount:
        """Return the account of a workload."""
        return self._accounts[workload]

    def remove(self, workload: str) -> None:
        """Remove a workload that holds no resources."""
        if self._accounts[workload].tasks != 0:
            raise AssertionError(f"sharing: {workload} still holds capacity")
        del self._accounts[workload]

    def add(self, workload: str, demand: Resources, tasks: int) -> None:
        """Add started tasks; a negative number removes ended tasks."""
        self._accounts[workload].add(demand, tasks, self.size)

    def rank(self, account: WorkloadAccount, *, overdue: bool) -> Rank:
        """Return the rank of a workload in the scheduling order."""
        if overdue:
            return Rank(RankPhase.OVERDUE, 0.0, 0.0, 0.0)
        if account.is_below_floor:
            ratio = account.dominant_share / account.floor
            return Rank(RankPhase.FLOOR, ratio, -account.urgency, 0.0)
        team = account.team
        return Rank(
            RankPhase.SHARE,
            -account.urgency,
            team.dominant_share / team.team.weight,
            account.dominant_share / account.weight,
        )

    def holders(self) -> tuple[str, ...]:
        """Return the names of the workloads with the largest shares, largest first."""
        holding_accounts = [
            candidate for candidate in self._accounts.values() if candidate.tasks > 0
        ]
        holding_accounts.sort(key=lambda account: -account.dominant_share)
        return tuple(account.name for account in holding_accounts[:_MAX_NAMED_HOLDERS])

    def check_invariants(self) -> None:
        """Compare the accounts of teams with the sums over their workloads.

        Raises
        ------
        AssertionError
            If a sum differs or is negative.
        """
        tasks: dict[str, int] = {}
        held: dict[str, Resources] = {}
        for account in self._accounts.values():
            if account.tasks < 0 or not account.held.is_non_negative():
                raise AssertionError(f"sharing: {account.name} holds a negative amount")
            team = account.team.team.name
            tasks[team] = tasks.get(team, 0) + account.tasks
            held[team] = held.get(team, ZERO_RESOURCES) + account.held
        for name, team_account in self._teams.items():
            stored = (team_account.tasks, team_account.held)
            if stored != (tasks.get(name, 0), held.get(name, ZERO_RESOURCES)):
                raise AssertionError(
                    f"sharing: the account of team {name} differs from its workloads"
                )

    def _get_or_create_team(self, config: Config, name: str) -> TeamAccount:
        team = self._teams.get(name)
        if team is None:
            team = TeamAccount(config.teams.get(name, Team(name)))
            self._teams[name] = team
        return team


def _move_to_team(account: WorkloadAccount, team: TeamAccount, size: FleetSize) -> None:
    account.team.held = account.team.held - account.held
    account.team.tasks -= account.tasks
    account.team.resize(size)
    team.held = team.held + account.held
    team.tasks += account.tasks
    team.resize(size)
