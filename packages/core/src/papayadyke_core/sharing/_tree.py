"""Accounts of all teams and workloads, and the order that follows from them."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from papayadyke_core.resources import NOTHING, Resources
from papayadyke_core.sharing._accounts import FleetSize, TeamAccount, WorkloadAccount
from papayadyke_core.workloads import Config, Team, effective_rule

_HOLDERS_NAMED = 3


class Phase(IntEnum):
    """What a workload's turn is owed to; a lower value goes first."""

    OVERDUE = 0
    FLOOR = 1
    SHARE = 2


class Rank(NamedTuple):
    """The place of a workload in the order; the smallest goes next.

    Starting a task of a workload never makes any rank smaller.
    """

    phase: Phase
    first: float
    second: float
    third: float


class ShareTree:
    """What teams hold, and below them their workloads.

    Floors of all workloads with waiting work go first, the one that has least of
    its floor before the others. Then come the classes of urgency, and in a class
    the team with the least share for its weight, and in the team the workload
    with the least share for its weight.
    """

    def __init__(self) -> None:
        self.size = FleetSize(NOTHING, 0)
        self._teams: dict[str, TeamAccount] = {}
        self._accounts: dict[str, WorkloadAccount] = {}

    def apply_config(self, config: Config) -> None:
        """Take workloads, teams and rules into force; what is held stays."""
        for name, workload in config.workloads.items():
            rule = effective_rule(config, name)
            team = self._team(config, workload.team)
            account = self._accounts.get(name)
            if account is None:
                self._accounts[name] = WorkloadAccount(workload, rule, team)
                continue
            if account.team is not team:
                _move(account, team, self.size)
            account.apply_rule(workload, rule, team)
        for team in self._teams.values():
            team.team = config.teams.get(team.team.name, team.team)

    def resize(self, capacity: Resources, slots: int) -> None:
        """Take another size of the fleet; the same size costs nothing."""
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
        """Forget a workload that holds nothing."""
        if self._accounts[workload].tasks != 0:
            raise AssertionError(f"sharing: {workload} still holds capacity")
        del self._accounts[workload]

    def add(self, workload: str, demand: Resources, tasks: int) -> None:
        """Count tasks that start, or end where `tasks` is negative."""
        self._accounts[workload].add(demand, tasks, self.size)

    def rank(self, account: WorkloadAccount, *, overdue: bool) -> Rank:
        """Return the place of a workload in the order."""
        if overdue:
            return Rank(Phase.OVERDUE, 0.0, 0.0, 0.0)
        if account.below_floor:
            ratio = account.share_ / account.floor
            return Rank(Phase.FLOOR, ratio, -account.urgency, 0.0)
        team = account.team
        return Rank(
            Phase.SHARE,
            -account.urgency,
            team.share_ / team.team.weight,
            account.share_ / account.weight,
        )

    def holders(self) -> tuple[str, ...]:
        """Return the workloads that hold most, the largest first."""
        holding = [item for item in self._accounts.values() if item.tasks > 0]
        holding.sort(key=lambda account: -account.share_)
        return tuple(account.name for account in holding[:_HOLDERS_NAMED])

    def check_invariants(self) -> None:
        """Compare the teams' accounts with those of their workloads.

        Raises
        ------
        AssertionError
            If a sum differs or is negative.
        """
        tasks: dict[str, int] = {}
        held: dict[str, Resources] = {}
        for account in self._accounts.values():
            if account.tasks < 0 or not account.held.is_valid():
                raise AssertionError(f"sharing: {account.name} holds less than none")
            team = account.team.team.name
            tasks[team] = tasks.get(team, 0) + account.tasks
            held[team] = held.get(team, NOTHING) + account.held
        for name, team_account in self._teams.items():
            kept = (team_account.tasks, team_account.held)
            if kept != (tasks.get(name, 0), held.get(name, NOTHING)):
                raise AssertionError(f"sharing: the sums of team {name} differ")

    def _team(self, config: Config, name: str) -> TeamAccount:
        found = self._teams.get(name)
        if found is None:
            found = TeamAccount(config.teams.get(name, Team(name)))
            self._teams[name] = found
        return found


def _move(account: WorkloadAccount, team: TeamAccount, size: FleetSize) -> None:
    account.team.held = account.team.held - account.held
    account.team.tasks -= account.tasks
    account.team.resize(size)
    team.held = team.held + account.held
    team.tasks += account.tasks
    team.resize(size)
