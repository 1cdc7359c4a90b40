"""Learned speeds of upstreams and typical run times of workloads."""

from __future__ import annotations

import math
from dataclasses import dataclass

_MAX_RESIDUAL = 2.0
_FIRST_TASKS = 10
_PULL = 0.05


@dataclass(frozen=True, slots=True)
class Residual:
    """How far a run time was from the expected one.

    Parameters
    ----------
    log_ratio : float
        Logarithm of the run time over the expected one, within bounds.
    log_scale : float
        Root mean square of `log_ratio` over the workload's tasks.
    is_settled : bool
        Whether enough was seen of the workload and the upstream to expect at all.
    """

    log_ratio: float
    log_scale: float
    is_settled: bool


@dataclass(slots=True)
class _Speed:
    log_value: float
    log_declared: float
    tasks: int = 0


@dataclass(slots=True)
class _Typical:
    log_value: float
    variance: float = 0.0
    tasks: int = 0


class Speeds:
    """Splits run times into a workload's typical time and an upstream's speed.

    A run time is taken as typical time over speed. Both are learned from every
    run time by the same residual, so that an upstream isn't called slow for the
    long work it gets, nor a workload long for the slow upstreams it runs on. A
    weak pull to the declared speeds settles what the residuals leave open.

    Parameters
    ----------
    gain : float
        Weight of one more run time.
    """

    def __init__(self, *, gain: float) -> None:
        self.gain = gain
        self._speeds: dict[str, _Speed] = {}
        self._typical: dict[str, _Typical] = {}

    def add_upstream(self, name: str, declared: float) -> None:
        """Add an upstream with its declared speed, or update that."""
        log_declared = math.log(declared)
        speed = self._speeds.setdefault(name, _Speed(log_declared, log_declared))
        speed.log_declared = log_declared

    def remove_upstream(self, name: str) -> None:
        """Forget an upstream."""
        self._speeds.pop(name, None)

    def add(self, upstream: str, workload: str, run_s: float) -> Residual:
        """Learn from a run time and return how far it was from the expected one."""
        speed = self._speeds[upstream]
        log_run = math.log(max(run_s, 1e-6))
        typical = self._typical.get(workload)
        if typical is None:
            typical = _Typical(log_run + speed.log_value)
            self._typical[workload] = typical
        log_ratio = log_run - (typical.log_value - speed.log_value)
        log_ratio = max(-_MAX_RESIDUAL, min(log_ratio, _MAX_RESIDUAL))
        is_settled = min(typical.tasks, speed.tasks) >= _FIRST_TASKS
        self._learn_typical(typical, log_ratio)
        if typical.tasks > _FIRST_TASKS:
            self._learn_speed(speed, log_ratio)
        return Residual(log_ratio, math.sqrt(typical.variance), is_settled)

    def speed(self, upstream: str) -> float:
        """Return the learned speed of an upstream."""
        return math.exp(self._speeds[upstream].log_value)

    def typical_run_s(self, workload: str) -> float | None:
        """Return the run time of a workload at speed 1, if one was seen."""
        typical = self._typical.get(workload)
        return None if typical is None else math.exp(typical.log_value)

    def _learn_typical(self, typical: _Typical, log_ratio: float) -> None:
        typical.tasks += 1
        weight = max(self.gain, 1.0 / typical.tasks)
        typical.log_value += weight * log_ratio
        typical.variance += weight * (log_ratio * log_ratio - typical.variance)

    def _learn_speed(self, speed: _Speed, log_ratio: float) -> None:
        speed.tasks += 1
        weight = max(self.gain, 1.0 / (speed.tasks + _FIRST_TASKS))
        pull = speed.log_value - speed.log_declared
        speed.log_value -= weight * (log_ratio + _PULL * pull)
