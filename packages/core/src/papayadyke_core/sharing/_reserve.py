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

    For each workload as much is kept as its target exceeds what it holds, so
    that the room that its own tasks take up is not kept twice.

    Parameters
    ----------
    limit : float
        Part of the fleet that is kept free at most, between 0 and 1.
    """

    def __init__(self, *, limit: float) -> None:
        self.limit = limit
        self._targets: dict[str, int] = {}
        self._kept: dict[str, int] = {}
        self._demands: dict[str, Resources] = {}
        self._slots = 0
        self._room = NOTHING
        self._most_slots = 0
        self._most = NOTHING

    def clear(self, size: FleetSize) -> None:
        """Keep nothing, and take another size of the fleet."""
        self._targets.clear()
        self._kept.clear()
        self._demands.clear()
        self._slots = 0
        self._room = NOTHING
        capacity = size.capacity
        self._most_slots = math.ceil(size.slots * self.limit)
        self._most = Resources(
            math.ceil(capacity.cpu_millis * self.limit),
            math.ceil(capacity.memory_mb * self.limit),
            math.ceil(capacity.accelerators * self.limit),
        )

    def add(self, workload: str, demand: Resources, target: int, held: int) -> None:
        """Keep room so that a workload can hold `target` tasks."""
        self._targets[workload] = target
        self._kept[workload] = 0
        self._demands[workload] = demand
        self.note_held(workload, held)

    def note_held(self, workload: str, held: int) -> None:
        """Note how many tasks a workload holds now."""
        target = self._targets.get(workload)
        if target is None:
            return
        kept = max(0, target - held)
        more = kept - self._kept[workload]
        if more != 0:
            self._kept[workload] = kept
            self._slots += more
            self._room = self._room + self._demands[workload] * more

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
        own = self._kept.get(workload, 0)
        others_slots = min(self._slots - own, self._most_slots)
        if others_slots <= 0:
            return True
        if free_slots - tasks < others_slots:
            return False
        room = self._room
        if own > 0:
            room = room - self._demands[workload] * own
        needs = demand if tasks == 1 else demand * tasks
        most = self._most
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

    def check_invariants(self) -> None:
        """Compare the sums with ones counted anew.

        Raises
        ------
        AssertionError
            If a sum differs.
        """
        slots = sum(self._kept.values())
        room = NOTHING
        for workload, kept in self._kept.items():
            room = room + self._demands[workload] * kept
        if (slots, room) != (self._slots, self._room):
            raise AssertionError("sharing: the sums of a reserve differ")


def _leaves(free: int, needed: int, kept: int, most: int) -> bool:
    return needed == 0 or free - needed >= min(kept, most)
