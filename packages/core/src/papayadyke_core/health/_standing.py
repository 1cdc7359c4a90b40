"""The standing of one upstream: its evidence, its limit and its probes."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from papayadyke_core.health._speeds import Residual

_SMOOTHING = 0.1
_SIGMAS = 3.0
_MEAN_PER_SCALE = math.sqrt(_SMOOTHING / (2.0 - _SMOOTHING))


class Standing(Enum):
    """What an upstream may be given."""

    GOOD = "good"
    SET_ASIDE = "set_aside"
    PROBING = "probing"


@dataclass(slots=True)
class UpstreamState:
    """What is known of one upstream.

    Parameters
    ----------
    slots : int
    limit : float
        Tasks that may run at once while in good standing; grows in fractions.
    standing : Standing
    evidence : float
        Logarithm of the odds that the upstream is bad; never below zero.
    recent_residual : float
        Moving average of the logarithm of run times over the expected ones.
    probe_interval_s, probe_at_s : float
    silent_since_s : float or None
        When a connection was lost that nothing has made up for.
    silent : int
        Connections lost since then.
    """

    slots: int
    limit: float
    probe_interval_s: float
    standing: Standing = Standing.GOOD
    evidence: float = 0.0
    recent_residual: float = 0.0
    probe_at_s: float = 0.0
    silent_since_s: float | None = None
    silent: int = 0

    def allowed(self) -> int:
        """Return how many tasks may run at once."""
        if self.standing is Standing.SET_ASIDE:
            return 0
        if self.standing is Standing.PROBING:
            return min(1, self.slots)
        return max(min(int(self.limit), self.slots), min(1, self.slots))

    def shrink(self, factor: float) -> None:
        """Take the limit down by a factor."""
        self.limit = max(1.0, self.limit * factor)

    def grow(self) -> None:
        """Take the limit up by one for each round of tasks that go well."""
        self.limit = min(float(self.slots), self.limit + 1.0 / max(self.limit, 1.0))

    def note_residual(self, residual: Residual, *, slow_factor: float) -> bool:
        """Count a run time; tell whether tasks have lately been slowed down.

        Run times that vary widely by themselves need a larger slowdown.
        """
        if not residual.is_settled:
            return False
        self.recent_residual += _SMOOTHING * (residual.log_ratio - self.recent_residual)
        noise = _SIGMAS * _MEAN_PER_SCALE * residual.log_scale
        if self.recent_residual <= max(math.log(slow_factor), noise):
            return False
        self.recent_residual = 0.0
        return True

    def forgive_silence(self) -> None:
        """Hold lost connections against the connections alone."""
        self.silent_since_s = None
        self.silent = 0
