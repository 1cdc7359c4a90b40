"""Accounts of the resources that workloads and teams hold."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from papayadyke_core.resources import Resources
from papayadyke_core.workloads import Kind, ShareRule, Team, Urgency, Workload

# Tolerance for rounding when shares (fractions of the fleet) are compared.
_SHARE_TOLERANCE = 1e-9


class BlockReason(StrEnum):
    """Reasons why waiting work is not started."""

    CEILING = "the ceiling of its workload"
    QUOTA = "the quota of its team"
    RESERVE = "room reserved for urgent work and floors"
    NO_ROOM = "no upstream with enough room free"
    GANG = "room held for all tasks of a gang"
    BEHIND_OTHER_WORK = "other work before it"


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Size of the fleet, the basis of all shares.

    Parameters
    ----------
    capacity : Resources
        Total capacity of the usable upstreams.
    slots : int
        Number of tasks that can run at once.
    """

    capacity: Resources
    slots: int

    def dominant_share(self, held: Resources, tasks: int) -> float:
        """Return the dominant share: the largest fraction over resources and slots.

        Any amount held of a resource that the fleet lacks counts as a share of 1.
        """
        capacity = self.capacity
        return max(
            _fraction(held.cpu_millis, capacity.cpu_millis),
            _fraction(held.memory_mb, capacity.memory_mb),
            _fraction(held.accelerators, capacity.accelerators),
            _fraction(tasks, self.slots),
        )


class TeamAccount:
    """Total resources and tasks of the workloads of a team.

    Parameters
    ----------
    team : Team

    Attributes
    ----------
    dominant_share : float
        Dominant share of the fleet, a fraction.
    """

    def __init__(self, team: Team) -> None:
        self.team = team
        self.held = Resources()
        self.tasks = 0
        self.dominant_share = 0.0

    def add(self, demand: Resources, tasks: int, size: FleetSize) -> None:
        """Add started tasks; a negative number removes ended tasks."""
        self.held = self.held + demand * tasks
        self.tasks += tasks
        self.dominant_share = size.dominant_share(self.held, self.tasks)

    def resize(self, size: FleetSize) -> None:
        """Recompute the share for a new fleet size."""
        self.dominant_share = size.dominant_share(self.held, self.tasks)

    def allows(self, demand: Resources, tasks: int, size: FleetSize) -> bool:
        """Return whether the quota allows more tasks; it always allows a first one."""
        quota = self.team.quota
        if quota >= 1.0 or (self.tasks == 0 and tasks == 1):
            return True
        new_share = size.dominant_share(self.held + demand * tasks, self.tasks + tasks)
        return new_share <= quota + _SHARE_TOLERANCE


class WorkloadAccount:
    """Resources and tasks of a workload, with its floor, ceiling and weight.

    Parameters
    ----------
    workload : Workload
    rule : ShareRule
        Effective rule, in which no field is None.
    team : TeamAccount

    Attributes
    ----------
    dominant_share : float
        Dominant share of the fleet, a fraction.
    """

    def __init__(self, workload: Workload, rule: ShareRule, team: TeamAccount) -> None:
        self.held = Resources()
        self.tasks = 0
        self.dominant_share = 0.0
        self.apply_rule(workload, rule, team)

    def apply_rule(
        self, workload: Workload, rule: ShareRule, team: TeamAccount
    ) -> None:
        """Apply a new declaration, rule or team; the resources held are unchanged."""
        self.name = workload.name
        self.kind: Kind = workload.kind
        self.demand: Resources = workload.demand
        self.team = team
        self.weight = _resolve(rule.weight, workload.weight)
        self.floor = _resolve(rule.floor, workload.floor)
        self.ceiling = _resolve(rule.ceiling, workload.ceiling)
        self.urgency = workload.urgency if rule.urgency is None else rule.urgency

    def add(self, demand: Resources, tasks: int, size: FleetSize) -> None:
        """Add started tasks; a negative number removes ended tasks."""
        self.held = self.held + demand * tasks
        self.tasks += tasks
        self.dominant_share = size.dominant_share(self.held, self.tasks)
        self.team.add(demand, tasks, size)

    def resize(self, size: FleetSize) -> None:
        """Recompute the share for a new fleet size."""
        self.dominant_share = size.dominant_share(self.held, self.tasks)

    @property
    def is_below_floor(self) -> bool:
        """Whether the share is below the guaranteed floor."""
        return self.dominant_share < self.floor - _SHARE_TOLERANCE

    @property
    def is_urgent(self) -> bool:
        """Whether the workload is in the most urgent class."""
        return self.urgency is Urgency.URGENT

    def find_block_reason(self, tasks: int, size: FleetSize) -> BlockReason | None:
        """Return the reason that prevents more tasks, or None.

        A first task is always allowed, because in a small fleet the allowed share
        can be smaller than one task.
        """
        if self.ceiling < 1.0 and (self.tasks > 0 or tasks > 1):
            held = self.held + self.demand * tasks
            new_share = size.dominant_share(held, self.tasks + tasks)
            if new_share > self.ceiling + _SHARE_TOLERANCE:
                return BlockReason.CEILING
        if not self.team.allows(self.demand, tasks, size):
            return BlockReason.QUOTA
        return None

    def count_tasks_for_share(self, share: float, size: FleetSize) -> int:
        """Return the number of tasks that make up a share of the fleet, rounded up."""
        task_share = size.dominant_share(self.demand, 1)
        return -int(-share // task_share) if task_share > 0.0 else 0


def _resolve(rule_value: float | None, declared_value: float) -> float:
    return declared_value if rule_value is None else rule_value


def _fraction(held: int, total: int) -> float:
    if held <= 0:
        return 0.0
    return held / total if total > 0 else 1.0
