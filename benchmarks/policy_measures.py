"""What is measured of a run, and how it is condensed."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

import numpy as np
from policy_loads import FLOOD, WARM_UP_S, Arrival, Deployment, Scenario

from papayadyke_core.resources import ZERO_RESOURCES, Resources
from papayadyke_core.scheduling import Outcome
from papayadyke_core.verdicts import Reason
from papayadyke_core.workloads import Workload

WINDOW_S = 5.0


@dataclass(frozen=True, slots=True)
class SharePoint:
    """What ran and waited at one moment, in tasks, and the best possible use."""

    at_s: float
    running: dict[str, int]
    queued: dict[str, int]
    best_use: float


def share_of_task(demand: Resources, capacity: Resources, slots: int) -> float:
    """Return the part of the fleet that one task holds, slots included."""
    return max(demand.dominant_share(capacity), 1.0 / slots)


def most_useful_mix(
    workloads: Mapping[str, Workload],
    present: Mapping[str, int],
    capacity: Resources,
    slots: int,
) -> float:
    """Return the largest use that any policy could reach; an upper bound.

    The use is the sum of the tasks' dominant shares. The fleet is taken as one
    large upstream: the bound is on the high side, never too low. The numbers of
    the two largest workloads are tried out, and the smallest fills up.
    """
    ordered = sorted(workloads.values(), key=lambda w: -w.demand.cpu_millis)
    shares = [share_of_task(w.demand, capacity, slots) for w in ordered]
    counts = [_most_tasks(w, present[w.name], capacity, slots) for w in ordered]
    one = np.arange(counts[0] + 1)[:, None]
    two = np.arange(counts[1] + 1)[None, :]
    big, middle, small = (w.demand for w in ordered)
    cpu = capacity.cpu_millis - one * big.cpu_millis - two * middle.cpu_millis
    memory = capacity.memory_mb - one * big.memory_mb - two * middle.memory_mb
    left = slots - one - two
    three = np.minimum(cpu // small.cpu_millis, memory // small.memory_mb)
    three = np.minimum(np.minimum(three, left), counts[2])
    use = one * shares[0] + two * shares[1] + three * shares[2]
    return float(np.where(three >= 0, use, 0.0).max())


def _most_tasks(
    workload: Workload, present: int, capacity: Resources, slots: int
) -> int:
    demand = workload.demand
    by_cpu = capacity.cpu_millis // demand.cpu_millis
    by_memory = capacity.memory_mb // demand.memory_mb
    return max(0, min(present, by_cpu, by_memory, slots))


class Measures:
    """Counts and times of one run.

    Parameters
    ----------
    deployment : Deployment
    """

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.workloads = deployment.config.workloads
        capacity = sum((u.capacity for u in deployment.upstreams), ZERO_RESOURCES)
        slots = sum(u.slots for u in deployment.upstreams)
        self.shares = {
            name: share_of_task(workload.demand, capacity, slots)
            for name, workload in self.workloads.items()
        }
        self.queued: Counter[str] = Counter()
        self.failed: Counter[str] = Counter()
        self.refusals: Counter[tuple[str, Reason]] = Counter()
        self.arrivals: Counter[str] = Counter()
        self.starts = 0
        self.repeated = 0
        self.submit_wall_s = 0.0
        self.decide_walls_s: list[float] = []
        self.points: list[SharePoint] = []
        self._waits: dict[str, dict[str, tuple[float, float]]] = defaultdict(dict)
        self._goodput: Counter[str] = Counter()
        self._busy = 0.0
        self._wasted = 0.0

    def arrived(self, arrival: Arrival) -> None:
        """Count a request."""
        self.arrivals[arrival.workload] += 1

    def started(self, arrival: Arrival, now: float, *, attempt: int) -> None:
        """Count a start; the waiting time is that of the first one."""
        self.starts += 1
        self.repeated += attempt > 1
        self.queued[arrival.workload] -= 1
        waits = self._waits[arrival.workload]
        if arrival.request_id not in waits:
            waits[arrival.request_id] = (arrival.at_s, now - arrival.at_s)

    def refused(self, arrival: Arrival, reason: Reason, *, attempt: int) -> None:
        """Count a refusal."""
        self.refusals[arrival.workload, reason] += 1

    def ended(
        self, workload: str, run_s: float, outcome: Outcome, *, is_wasted: bool
    ) -> None:
        """Count what a task took up, and whether for nothing."""
        work = run_s * self.shares[workload]
        self._busy += work
        if outcome is not Outcome.ANSWERED and is_wasted:
            self._wasted += work

    def answered(self, arrival: Arrival, runs_s: list[tuple[float, float]]) -> None:
        """Count the work of a request that was answered whole.

        The work of a task, its run time at speed 1, is spread over the time in
        which it ran; what was done before a checkpoint counts as if done after.
        """
        share = self.shares[arrival.workload]
        for base_s, (start_s, end_s) in zip(arrival.base_runs_s, runs_s, strict=True):
            overlap_s = min(end_s, FLOOD[1]) - max(start_s, FLOOD[0])
            if overlap_s > 0.0:
                part = overlap_s / (end_s - start_s)
                self._goodput[arrival.workload] += base_s * part * share

    def sample(self, point: SharePoint) -> None:
        """Keep what runs and waits at one moment."""
        self.points.append(point)

    def condense(self, scenario: Scenario) -> dict[str, object]:
        """Return everything that the report needs, ready for JSON."""
        names = list(self.workloads)
        flooding = {names[index] for index in scenario.flooding}
        walls_us = np.array(self.decide_walls_s) * 1e6
        spent_us = walls_us.sum() + self.submit_wall_s * 1e6
        return {
            "waits_ms": {name: self._wait_percentiles(name) for name in names},
            "goodput": {name: float(self._goodput[name]) for name in names},
            "refused": {
                f"{name} {reason}": count
                for (name, reason), count in sorted(self.refusals.items())
            },
            "arrived": dict(self.arrivals),
            "failed": dict(self.failed),
            "floor_kept": {
                name: self._floor_kept(name) for name in names if name not in flooding
            },
            "packing": self._packing(),
            "wasted": self._wasted / self._busy,
            "repeated": self.repeated / self.starts,
            "decide_p50_us": float(np.percentile(walls_us, 50)),
            "decide_p99_us": float(np.percentile(walls_us, 99)),
            "start_us": float(spent_us / self.starts),
            "starts": self.starts,
            "series": {
                "at_s": [point.at_s for point in self.points],
                **{name: self._held(name).tolist() for name in names},
            },
        }

    def _wait_percentiles(self, name: str) -> list[float]:
        waits = [
            wait_s for at_s, wait_s in self._waits[name].values() if at_s >= WARM_UP_S
        ]
        if not waits:
            return [float("nan")] * 3
        return [float(p) * 1e3 for p in np.percentile(waits, [50, 95, 99])]

    def _held(self, name: str) -> np.ndarray:
        running = [point.running.get(name, 0) for point in self.points]
        return np.array(running) * self.shares[name]

    def _floor_kept(self, name: str) -> float:
        """Return the least part of its due that a workload held in a window.

        Its due is its floor, or what it has running and waiting if that is less.
        """
        held = self._held(name)
        waiting = np.array([point.queued.get(name, 0) for point in self.points])
        asked = held + waiting * self.shares[name]
        due = np.minimum(asked, self.workloads[name].floor)
        at_s = np.array([point.at_s for point in self.points])
        inside = (at_s >= FLOOD[0]) & (at_s < FLOOD[1])
        length = round(WINDOW_S / (at_s[1] - at_s[0]))
        window = np.ones(length)
        kept = np.convolve(held[inside], window, "valid")
        wanted = np.convolve(due[inside], window, "valid")
        return float((kept / np.maximum(wanted, 1e-9)).min())

    def _packing(self) -> float:
        inside = [p for p in self.points if FLOOD[0] <= p.at_s < FLOOD[1]]
        use = sum(
            count * self.shares[name]
            for p in inside
            for name, count in p.running.items()
        )
        best = sum(point.best_use for point in inside)
        return float(use / best)
