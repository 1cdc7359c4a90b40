"""State of one upstream: its standing, evidence, limit and probes."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from papayadyke_core.health._speeds import Residual

# Weight of each new residual in the moving average.
_RESIDUAL_WEIGHT = 0.1
# Standard deviations by which the average must exceed its noise.
_NOISE_SIGMAS = 3.0
# Standard deviation of the moving average per root mean square of the residuals.
_AVERAGE_STD_PER_RMS = math.sqrt(_RESIDUAL_WEIGHT / (2.0 - _RESIDUAL_WEIGHT))


class Standing(Enum):
    """Whether an upstream may get tasks: any, none, or one as a probe."""

    GOOD = "good"
    SET_ASIDE = "set_aside"
    PROBING = "probing"


@dataclass(slots=True)
class UpstreamState:
    """Health state of one upstream.

    Parameters
    ----------
    slots : int
        Slots that the upstream offers.
    limit : float
        Number of concurrent tasks allowed in good standing; increases by
        fractions.
    probe_interval_s : float
        Time between two probes, in seconds.
    standing : Standing
    evidence : float
        Natural logarithm of the odds that the upstream is bad; never below zero.
    mean_residual : float
        Moving average of the logarithm of run times over the expected ones.
    probe_at_s : float
        Time of the next probe, in seconds.
    connection_lost_s : float or None
        Time of the first connection loss after which nothing has worked yet, in
        seconds.
    lost_connections : int
        Number of connections lost since then.
    """

    slots: int
    limit: float
    probe_interval_s: float
    standing: Standing = Standing.GOOD
    evidence: float = 0.0
    mean_residual: float = 0.0
    probe_at_s: float = 0.0
    connection_lost_s: float | None = None
    lost_connections: int = 0

    def effective_limit(self) -> int:
        """Return the number of tasks that may run at once in the current standing."""
        if self.standing is Standing.SET_ASIDE:
            return 0
        if self.standing is Standing.PROBING:
            return min(1, self.slots)
        return max(min(int(self.limit), self.slots), min(1, self.slots))

    def shrink(self, factor: float) -> None:
        """Multiply the limit by a factor, but keep it at one task or more."""
        self.limit = max(1.0, self.limit * factor)

    def grow(self) -> None:
        """Raise the limit by one for each full round of successful tasks."""
        self.limit = min(float(self.slots), self.limit + 1.0 / max(self.limit, 1.0))

    def add_residual(self, residual: Residual, *, slow_factor: float) -> bool:
        """Add a residual and return whether tasks have recently slowed down.

        The more the run times of a workload vary, the larger a slowdown has to be
        to be detected.
        """
        if not residual.is_reliable:
            return False
        self.mean_residual += _RESIDUAL_WEIGHT * (
            residual.log_ratio - self.mean_residual
        )
        noise_bound = _NOISE_SIGMAS * _AVERAGE_STD_PER_RMS * residual.log_rms
        if self.mean_residual <= max(math.log(slow_factor), noise_bound):
            return False
        self.mean_residual = 0.0
        return True

    def clear_lost_connections(self) -> None:
        """Discard lost connections without counting them against the upstream."""
        self.connection_lost_s = None
        self.lost_connections = 0
