"""Capacity that is kept free for urgent work that is about to arrive."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

WINDOW_S = 3.0  # seconds over which arrivals are averaged
# Standard deviations above the mean number of concurrent tasks.
DEVIATIONS = 2.0


class _Arrival(NamedTuple):
    """Tasks that arrived at a time; `cpu_millis` is their sum."""

    at_s: float
    tasks: int
    cpu_millis: int
    run_s: float


class UrgentReserve:
    """Estimate the CPU that the urgent work of a service needs at any moment.

    Urgent jobs are late after a moment of waiting, while on a full fleet room falls
    free only as long tasks end. Gangs do not count: they reserve whole upstreams.

    The number of concurrent tasks is modelled as Poisson distributed, with the arrival
    rate of tasks times their run time as its mean.
    """

    def __init__(self) -> None:
        self._arrivals: deque[_Arrival] = deque()

    def add_arrival(
        self, tasks: int, cpu_millis: int, run_s: float, *, now: float
    ) -> None:
        """Record arriving tasks that each need `cpu_millis` for `run_s` seconds."""
        self._arrivals.append(_Arrival(now, tasks, tasks * cpu_millis, run_s))

    def estimate_cpu_millis(self, now: float) -> float:
        """Return the CPU that urgent work needs, in thousandths of a core."""
        while self._arrivals and self._arrivals[0].at_s < now - WINDOW_S:
            self._arrivals.popleft()
        tasks = sum(arrival.tasks for arrival in self._arrivals)
        cpu_millis = sum(arrival.cpu_millis for arrival in self._arrivals)
        if not cpu_millis:
            return 0.0
        work = sum(arrival.cpu_millis * arrival.run_s for arrival in self._arrivals)
        mean = work / WINDOW_S
        concurrent_tasks = mean / (cpu_millis / tasks)
        return mean + DEVIATIONS * math.sqrt(concurrent_tasks) * cpu_millis / tasks
