"""Learned speeds of upstreams and typical run times of workloads."""

from __future__ import annotations

import math
from dataclasses import dataclass

# Bound on the logarithm of a run time over the expected one.
_MAX_LOG_RATIO = 2.0
# Tasks of a workload and of an upstream before their residuals are reliable.
_WARM_UP_TASKS = 10
# Weight of the pull to the declared speed, relative to that of a residual.
_DECLARED_SPEED_PULL = 0.05


@dataclass(frozen=True, slots=True)
class Residual:
    """Deviation of a run time from the expected one.

    Parameters
    ----------
    log_ratio : float
        Natural logarithm of the run time over the expected one, clipped.
    log_rms : float
        Root mean square of `log_ratio` over the workload's tasks.
    is_reliable : bool
        Whether the workload and the upstream have run enough tasks for the expected
        run time to be meaningful.
    """

    log_ratio: float
    log_rms: float
    is_reliable: bool


@dataclass(slots=True)
class _Speed:
    log_value: float
    log_declared: float
    tasks: int = 0


@dataclass(slots=True)
class _TypicalRunTime:
    log_value: float
    variance: float = 0.0
    tasks: int = 0


class SpeedEstimator:
    """Estimates typical run times of workloads and speeds of upstreams.

    The expected run time is the typical time of the workload divided by the speed
    of the upstream. Each run time updates both estimates with the same residual, so
    that long tasks do not make an upstream look slow, and slow upstreams do not
    make a workload look long. The residuals do not determine a common factor of the
    typical times and the speeds; a weak pull to the declared speeds does.

    Parameters
    ----------
    gain : float
        Minimum weight of each new run time in the estimates.
    """

    def __init__(self, *, gain: float) -> None:
        self.gain = gain
        self._speeds: dict[str, _Speed] = {}
        self._typical_run_times: dict[str, _TypicalRunTime] = {}

    def add_upstream(self, name: str, declared: float) -> None:
        """Add an upstream with its declared speed, or update the declared speed."""
        log_declared = math.log(declared)
        speed = self._speeds.setdefault(name, _Speed(log_declared, log_declared))
        speed.log_declared = log_declared

    def remove_upstream(self, name: str) -> None:
        """Remove an upstream and its learned speed."""
        self._speeds.pop(name, None)

    def add(self, upstream: str, workload: str, run_s: float) -> Residual:
        """Update the estimates from a run time and return its residual."""
        speed = self._speeds[upstream]
        log_run = math.log(max(run_s, 1e-6))
        typical = self._typical_run_times.get(workload)
        if typical is None:
            typical = _TypicalRunTime(log_run + speed.log_value)
            self._typical_run_times[workload] = typical
        log_ratio = log_run - (typical.log_value - speed.log_value)
        log_ratio = max(-_MAX_LOG_RATIO, min(log_ratio, _MAX_LOG_RATIO))
        is_reliable = min(typical.tasks, speed.tasks) >= _WARM_UP_TASKS
        self._update_typical(typical, log_ratio)
        if typical.tasks > _WARM_UP_TASKS:
            self._update_speed(speed, log_ratio)
        return Residual(log_ratio, math.sqrt(typical.variance), is_reliable)

    def speed(self, upstream: str) -> float:
        """Return the learned speed of an upstream."""
        return math.exp(self._speeds[upstream].log_value)

    def typical_run_s(self, workload: str) -> float | None:
        """Return the typical run time at speed 1 in seconds, or None if unknown."""
        typical = self._typical_run_times.get(workload)
        return None if typical is None else math.exp(typical.log_value)

    def _update_typical(self, typical: _TypicalRunTime, log_ratio: float) -> None:
        typical.tasks += 1
        weight = max(self.gain, 1.0 / typical.tasks)
        typical.log_value += weight * log_ratio
        typical.variance += weight * (log_ratio * log_ratio - typical.variance)

    def _update_speed(self, speed: _Speed, log_ratio: float) -> None:
        speed.tasks += 1
        weight = max(self.gain, 1.0 / (speed.tasks + _WARM_UP_TASKS))
        deviation = speed.log_value - speed.log_declared
        speed.log_value -= weight * (log_ratio + _DECLARED_SPEED_PULL * deviation)
