"""Room that is kept free for work that will arrive soon."""

from __future__ import annotations

import math

from papayadyke_core.resources import NOTHING, Resources
from papayadyke_core.sharing._accounts import FleetSize


def needed_tasks(arrival_rate: float, run_s: float, *, deviations: float) -> int:
    """Return how many tasks at once cover the arrivals of a workload.

    The number that runs at once at a given rate is taken to spread like a
    Poisson number around its mean.

    Parameters
    ----------
    arrival_rate : float
        Tasks per second.
    run_s : float
        Typical run time.
    deviations : float
        Standard deviations above the mean that are covered.

    Returns
    -------
    tasks : int
        Zero where nothing has arrived lately.

    Examples
    --------
    >>> needed_tasks(4.0, 1.0, deviations=3.0)
    10
    """
    if arrival_rate <= 0.0:
        return 0
    mean = arrival_rate * run_s
    return math.ceil(mean + deviations * math.sqrt(mean))


class Reserve:
    """Room kept free for several workloads, up to a part of the fleet.

    Parameters
    ----------
    size : FleetSize
    limit : float
        Part of the fleet that is kept free at most, between 0 and 1.
    """

    def __init__(self, *, size: FleetSize, limit: float) -> None:
        self.size = size
        self.limit = limit
        self._tasks: dict[str, int] = {}
        self._slots = 0
        self._room = NOTHING
        capacity = size.capacity
        self._most = Resources(
            math.ceil(capacity.cpu_millis * limit),
            math.ceil(capacity.memory_mb * limit),
            math.ceil(capacity.accelerators * limit),
        )
        self._most_slots = math.ceil(size.slots * limit)

    def add(self, workload: str, demand: Resources, tasks: int) -> None:
        """Keep room for tasks of a workload."""
        if tasks > 0:
            self._tasks[workload] = self._tasks.get(workload, 0) + tasks
            self._slots += tasks
            self._room = self._room + demand * tasks

    def take(self, workload: str, demand: Resources, tasks: int) -> None:
        """Use the room of a workload for tasks that start."""
        kept = self._tasks.get(workload, 0)
        taken = min(kept, tasks)
        if taken > 0:
            self._tasks[workload] = kept - taken
            self._slots -= taken
            self._room = self._room - demand * taken

    def leaves_room(
        self,
        workload: str,
        demand: Resources,
        tasks: int,
        *,
        free: Resources,
        free_slots: int,
    ) -> bool:
        """Tell whether tasks can start and leave the room of the others free."""
        if self._slots == 0:
            return True
        own = self._tasks.get(workload, 0)
        others_slots = min(self._slots - own, self._most_slots)
        if others_slots <= 0:
            return True
        if free_slots - tasks < others_slots:
            return False
        room = self._room - demand * own
        most = self._most
        needs = demand * tasks
        return (
            _leaves(free.cpu_millis, needs.cpu_millis, room.cpu_millis, most.cpu_millis)
            and _leaves(free.memory_mb, needs.memory_mb, room.memory_mb, most.memory_mb)
            and _leaves(
                free.accelerators,
                needs.accelerators,
                room.accelerators,
                most.accelerators,
            )
        )


def _leaves(free: int, needed: int, kept: int, most: int) -> bool:
    return needed == 0 or free - needed >= min(kept, most)
