"""What a workload and a team hold, as parts of the fleet."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from papayadyke_core.resources import Resources
from papayadyke_core.workloads import Kind, ShareRule, Team, Urgency, Workload

_ROUNDING = 1e-9


class Limit(StrEnum):
    """What keeps waiting work from being started."""

    CEILING = "the ceiling of its workload"
    QUOTA = "the quota of its team"
    RESERVE = "room reserved for urgent work and floors"
    ROOM = "no upstream with enough room free"
    GANG = "room held for all tasks of a gang"
    TURN = "other work before it"


@dataclass(frozen=True, slots=True)
class FleetSize:
    """What the fractions of the fleet are taken of.

    Parameters
    ----------
    capacity : Resources
    slots : int
    """

    capacity: Resources
    slots: int

    def share(self, held: Resources, tasks: int) -> float:
        """Return the largest part over resources and slots.

        What is held of a dimension that the fleet lacks counts as the whole.
        """
        capacity = self.capacity
        return max(
            _part(held.cpu_millis, capacity.cpu_millis),
            _part(held.memory_mb, capacity.memory_mb),
            _part(held.accelerators, capacity.accelerators),
            _part(tasks, self.slots),
        )


class TeamAccount:
    """What the workloads of a team hold together.

    Parameters
    ----------
    team : Team

    Attributes
    ----------
    share_ : float
        Part of the fleet, by the dimension of which most is held.
    """

    def __init__(self, team: Team) -> None:
        self.team = team
        self.held = Resources()
        self.tasks = 0
        self.share_ = 0.0

    def add(self, demand: Resources, tasks: int, size: FleetSize) -> None:
        """Count tasks that start, or end where `tasks` is negative."""
        self.held = self.held + demand * tasks
        self.tasks += tasks
        self.share_ = size.share(self.held, self.tasks)

    def resize(self, size: FleetSize) -> None:
        """Count the share anew for another size of the fleet."""
        self.share_ = size.share(self.held, self.tasks)

    def allows(self, demand: Resources, tasks: int, size: FleetSize) -> bool:
        """Tell whether the quota allows more tasks; a first one always is."""
        quota = self.team.quota
        if quota >= 1.0 or (self.tasks == 0 and tasks == 1):
            return True
        after = size.share(self.held + demand * tasks, self.tasks + tasks)
        return after <= quota + _ROUNDING


class WorkloadAccount:
    """What a workload holds, against its floor, ceiling and weight.

    Parameters
    ----------
    workload : Workload
    rule : ShareRule
        With no field left at None.
    team : TeamAccount

    Attributes
    ----------
    share_ : float
        Part of the fleet, by the dimension of which most is held.
    """

    def __init__(self, workload: Workload, rule: ShareRule, team: TeamAccount) -> None:
        self.held = Resources()
        self.tasks = 0
        self.share_ = 0.0
        self.apply_rule(workload, rule, team)

    def apply_rule(
        self, workload: Workload, rule: ShareRule, team: TeamAccount
    ) -> None:
        """Take another declaration, rule or team into force."""
        self.name = workload.name
        self.kind: Kind = workload.kind
        self.demand: Resources = workload.demand
        self.team = team
        self.weight = _given(rule.weight, workload.weight)
        self.floor = _given(rule.floor, workload.floor)
        self.ceiling = _given(rule.ceiling, workload.ceiling)
        self.urgency = workload.urgency if rule.urgency is None else rule.urgency

    def add(self, demand: Resources, tasks: int, size: FleetSize) -> None:
        """Count tasks that start, or end where `tasks` is negative."""
        self.held = self.held + demand * tasks
        self.tasks += tasks
        self.share_ = size.share(self.held, self.tasks)
        self.team.add(demand, tasks, size)

    def resize(self, size: FleetSize) -> None:
        """Count the share anew for another size of the fleet."""
        self.share_ = size.share(self.held, self.tasks)

    @property
    def below_floor(self) -> bool:
        """Whether less is held than the floor guarantees."""
        return self.share_ < self.floor - _ROUNDING

    @property
    def is_urgent(self) -> bool:
        """Whether the workload is of the most urgent class."""
        return self.urgency is Urgency.URGENT

    def blocked_by(self, tasks: int, size: FleetSize) -> Limit | None:
        """Return the limit that forbids more tasks, or None.

        A first task is always allowed, because the part of a small fleet may be
        less than one task.
        """
        if self.ceiling < 1.0 and (self.tasks > 0 or tasks > 1):
            held = self.held + self.demand * tasks
            after = size.share(held, self.tasks + tasks)
            if after > self.ceiling + _ROUNDING:
                return Limit.CEILING
        if not self.team.allows(self.demand, tasks, size):
            return Limit.QUOTA
        return None

    def tasks_in(self, part: float, size: FleetSize) -> int:
        """Return how many tasks take up a part of the fleet, rounded up."""
        one = size.share(self.demand, 1)
        return -int(-part // one) if one > 0.0 else 0


def _given(ruled: float | None, declared: float) -> float:
    return declared if ruled is None else ruled


def _part(held: int, whole: int) -> float:
    if held <= 0:
        return 0.0
    return held / whole if whole > 0 else 1.0
