"""How often a workload fails elsewhere than on one upstream."""

from __future__ import annotations

from dataclasses import dataclass, field

_MAX_COUNTED = 64.0


@dataclass(slots=True)
class _Counts:
    tasks: float = 0.0
    failures: float = 0.0

    def rate(self, ordinary: float) -> float:
        return (self.failures + ordinary) / (self.tasks + 1.0)


@dataclass(slots=True)
class _WorkloadRates:
    by_upstream: dict[str, _Counts] = field(default_factory=dict)
    sum_of_rates: float = 0.0


class FailureRates:
    """Failure rates by workload and upstream.

    Every upstream weighs the same in a workload's rate, however many tasks it
    has had: one that fails fast ends far more tasks than the others and would
    otherwise make its own failures look ordinary.

    Parameters
    ----------
    ordinary : float
        Rate that is assumed before anything is known.
    """

    def __init__(self, *, ordinary: float) -> None:
        self.ordinary = ordinary
        self._workloads: dict[str, _WorkloadRates] = {}

    def add(self, workload: str, upstream: str, *, failed: bool) -> None:
        """Count one task."""
        rates = self._workloads.setdefault(workload, _WorkloadRates())
        counts = rates.by_upstream.get(upstream)
        if counts is None:
            counts = rates.by_upstream[upstream] = _Counts()
            rates.sum_of_rates += counts.rate(self.ordinary)
        rates.sum_of_rates -= counts.rate(self.ordinary)
        counts.tasks += 1.0
        counts.failures += 1.0 if failed else 0.0
        if counts.tasks >= _MAX_COUNTED:
            counts.tasks /= 2.0
            counts.failures /= 2.0
        rates.sum_of_rates += counts.rate(self.ordinary)

    def elsewhere(self, workload: str, upstream: str) -> float:
        """Return the mean failure rate on all other upstreams."""
        rates = self._workloads.get(workload)
        if rates is None:
            return self.ordinary
        others = len(rates.by_upstream)
        total = rates.sum_of_rates
        own = rates.by_upstream.get(upstream)
        if own is not None:
            others -= 1
            total -= own.rate(self.ordinary)
        return (max(total, 0.0) + self.ordinary) / (others + 1.0)

    def remove_upstream(self, upstream: str) -> None:
        """Forget an upstream."""
        for rates in self._workloads.values():
            counts = rates.by_upstream.pop(upstream, None)
            if counts is not None:
                rates.sum_of_rates -= counts.rate(self.ordinary)
