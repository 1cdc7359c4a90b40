"""Failure rates of workloads by upstream."""

from __future__ import annotations

from dataclasses import dataclass, field

# Number of tasks at which counts are halved, so that old outcomes lose weight.
_MAX_TASK_COUNT = 64.0


@dataclass(slots=True)
class _TaskCounts:
    tasks: float = 0.0
    failures: float = 0.0

    def smoothed_rate(self, prior_rate: float) -> float:
        return (self.failures + prior_rate) / (self.tasks + 1.0)


@dataclass(slots=True)
class _WorkloadRates:
    by_upstream: dict[str, _TaskCounts] = field(default_factory=dict)
    sum_of_rates: float = 0.0


class FailureRates:
    """Tracks failure rates by workload and upstream.

    Every upstream has the same weight in the mean rate of a workload, however many
    tasks it has run. An upstream that fails fast ends far more tasks than the
    others, and would otherwise make its own failures look normal for the workload.

    Parameters
    ----------
    prior_rate : float
        Failure rate that is assumed before any task has ended.
    """

    def __init__(self, *, prior_rate: float) -> None:
        self.prior_rate = prior_rate
        self._workloads: dict[str, _WorkloadRates] = {}

    def add(self, workload: str, upstream: str, *, failed: bool) -> None:
        """Count a task that ended."""
        rates = self._workloads.setdefault(workload, _WorkloadRates())
        counts = rates.by_upstream.get(upstream)
        if counts is None:
            counts = rates.by_upstream[upstream] = _TaskCounts()
            rates.sum_of_rates += counts.smoothed_rate(self.prior_rate)
        rates.sum_of_rates -= counts.smoothed_rate(self.prior_rate)
        counts.tasks += 1.0
        counts.failures += 1.0 if failed else 0.0
        if counts.tasks >= _MAX_TASK_COUNT:
            counts.tasks /= 2.0
            counts.failures /= 2.0
        rates.sum_of_rates += counts.smoothed_rate(self.prior_rate)

    def rate_on_others(self, workload: str, upstream: str) -> float:
        """Return the mean failure rate of a workload on all other upstreams."""
        rates = self._workloads.get(workload)
        if rates is None:
            return self.prior_rate
        other_count = len(rates.by_upstream)
        total = rates.sum_of_rates
        own_counts = rates.by_upstream.get(upstream)
        if own_counts is not None:
            other_count -= 1
            total -= own_counts.smoothed_rate(self.prior_rate)
        return (max(total, 0.0) + self.prior_rate) / (other_count + 1.0)

    def remove_upstream(self, upstream: str) -> None:
        """Remove an upstream and its counts."""
        for rates in self._workloads.values():
            counts = rates.by_upstream.pop(upstream, None)
            if counts is not None:
                rates.sum_of_rates -= counts.smoothed_rate(self.prior_rate)
