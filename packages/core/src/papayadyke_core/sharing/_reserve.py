"""Reserved capacity for work that is expected to arrive soon."""

from __future__ import annotations

import math

from papayadyke_core.resources import ZERO_RESOURCES, Resources
from papayadyke_core.sharing._accounts import FleetSize


def estimate_concurrent_tasks(
    arrival_rate: float, run_s: float, *, deviations: float
) -> int:
    """Return the number of concurrent tasks that covers the arrivals of a workload.

    The number of concurrent tasks is modelled as Poisson distributed, with the
    arrival rate times the run time as its mean.

    Parameters
    ----------
    arrival_rate : float
        Arriving tasks per second.
    run_s : float
        Typical run time in seconds.
    deviations : float
        Number of standard deviations above the mean to cover.

    Returns
    -------
    tasks : int
        Number of tasks; zero without recent arrivals.

    Examples
    --------
    >>> estimate_concurrent_tasks(4.0, 1.0, deviations=3.0)
    10
    """
    if arrival_rate <= 0.0:
        return 0
    mean = arrival_rate * run_s
    return math.ceil(mean + deviations * math.sqrt(mean))


class Reserve:
    """Capacity reserved for several workloads, up to a fraction of the fleet.

    Each workload has the difference between its target and its running tasks
    reserved, so that capacity in use by its own tasks is not counted twice.

    Parameters
    ----------
    limit : float
        Maximum fraction of the fleet that is reserved, between 0 and 1.
    """

    def __init__(self, *, limit: float) -> None:
        self.limit = limit
        self._targets: dict[str, int] = {}
        self._reserved_tasks: dict[str, int] = {}
        self._task_demands: dict[str, Resources] = {}
        self._reserved_slots = 0
        self._reserved_resources = ZERO_RESOURCES
        self._max_slots = 0
        self._max_resources = ZERO_RESOURCES

    def reset(self, size: FleetSize) -> None:
        """Remove all reservations and set a new fleet size."""
        self._targets.clear()
        self._reserved_tasks.clear()
        self._task_demands.clear()
        self._reserved_slots = 0
        self._reserved_resources = ZERO_RESOURCES
        capacity = size.capacity
        self._max_slots = math.ceil(size.slots * self.limit)
        self._max_resources = Resources(
            math.ceil(capacity.cpu_millis * self.limit),
            math.ceil(capacity.memory_mb * self.limit),
            math.ceil(capacity.accelerators * self.limit),
        )

    def add(
        self, workload: str, demand: Resources, target: int, running_tasks: int
    ) -> None:
        """Reserve capacity so that a workload can run `target` tasks."""
        self._targets[workload] = target
        self._reserved_tasks[workload] = 0
        self._task_demands[workload] = demand
        self.update_running_tasks(workload, running_tasks)

    def update_running_tasks(self, workload: str, running_tasks: int) -> None:
        """Update the number of running tasks of a workload."""
        target = self._targets.get(workload)
        if target is None:
            return
        reserved = max(0, target - running_tasks)
        task_delta = reserved - self._reserved_tasks[workload]
        if task_delta != 0:
            self._reserved_tasks[workload] = reserved
            self._reserved_slots += task_delta
            self._reserved_resources = (
                self._reserved_resources + self._task_demands[workload] * task_delta
            )

    def can_start_outside_reserve(
        self,
        workload: str,
        demand: Resources,
        tasks: int,
        *,
        free: Resources,
        free_slots: int,
    ) -> bool:
        """Return whether tasks can start outside the capacity reserved for others."""
        if self._reserved_slots == 0:
            return True
        own_slots = self._reserved_tasks.get(workload, 0)
        other_slots = min(self._reserved_slots - own_slots, self._max_slots)
        if other_slots <= 0:
            return True
        if free_slots - tasks < other_slots:
            return False
        other_resources = self._reserved_resources
        if own_slots > 0:
            other_resources = other_resources - self._task_demands[workload] * own_slots
        required = demand if tasks == 1 else demand * tasks
        maximum = self._max_resources
        return (
            _leaves_reserve(
                free.cpu_millis,
                required.cpu_millis,
                other_resources.cpu_millis,
                maximum.cpu_millis,
            )
            and _leaves_reserve(
                free.memory_mb,
                required.memory_mb,
                other_resources.memory_mb,
                maximum.memory_mb,
            )
            and _leaves_reserve(
                free.accelerators,
                required.accelerators,
                other_resources.accelerators,
                maximum.accelerators,
            )
        )

    def check_invariants(self) -> None:
        """Compare the stored sums with recomputed ones.

        Raises
        ------
        AssertionError
            If a sum differs.
        """
        reserved_slots = sum(self._reserved_tasks.values())
        reserved_resources = ZERO_RESOURCES
        for workload, reserved in self._reserved_tasks.items():
            reserved_resources = (
                reserved_resources + self._task_demands[workload] * reserved
            )
        if (reserved_slots, reserved_resources) != (
            self._reserved_slots,
            self._reserved_resources,
        ):
            raise AssertionError(
                "sharing: stored sums of a reserve differ from recomputed ones"
            )


def _leaves_reserve(free: int, required: int, reserved: int, maximum: int) -> bool:
    return required == 0 or free - required >= min(reserved, maximum)
