"""Settings of upstream health and retry budgets."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HealthSettings:
    """Thresholds and times for judging upstreams and requests.

    Parameters
    ----------
    bad_failure_rate : float, default=0.95
        Fraction of tasks that the sequential test assumes to fail on a bad
        upstream.
    prior_failure_rate : float, default=0.02
        Fraction of a workload's tasks that is assumed to fail, before any of them
        has ended.
    set_aside_evidence : float, default=10.0
        Natural logarithm of the odds of being bad at which an upstream is set
        aside.
    max_set_aside_share : float, default=0.34
        Largest fraction of the upstreams that is set aside at once. With two or
        more upstreams, one may always be set aside.
    min_probe_interval_s, max_probe_interval_s : float, default=2.0 and 120.0
        Shortest and longest time in seconds between probes of an upstream that is
        set aside. The interval starts at the shortest, doubles with each failed
        probe and is halved when the upstream returns to good standing.
    reconnect_grace_s : float, default=5.0
        Seconds after which a lost connection counts against the upstream, unless
        a new connection has worked since.
    slow_factor : float, default=1.5
        Ratio of recent run times to an upstream's expected ones above which its
        limit is reduced.
    limit_decrease_factor : float, default=0.5
        Factor by which the limit is multiplied when tasks fail or slow down.
    speed_gain : float, default=0.03
        Minimum weight of each new run time in the learned speeds and typical run
        times.
    min_reported_speed_change : float, default=0.1
        Minimum relative change of a learned speed that is reported.
    min_failing_upstreams : int, default=3
        Number of upstreams in good standing on which a request must have failed
        to count as failing everywhere, after which it is refused. If fewer are in
        good standing, all of them, but at least two.
    max_tracked_requests : int, default=10000
        Number of requests whose failures are tracked.
    """

    bad_failure_rate: float = 0.95
    prior_failure_rate: float = 0.02
    set_aside_evidence: float = 10.0
    max_set_aside_share: float = 0.34
    min_probe_interval_s: float = 2.0
    max_probe_interval_s: float = 120.0
    reconnect_grace_s: float = 5.0
    slow_factor: float = 1.5
    limit_decrease_factor: float = 0.5
    speed_gain: float = 0.03
    min_reported_speed_change: float = 0.1
    min_failing_upstreams: int = 3
    max_tracked_requests: int = 10_000


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """Limits on the number of retries.

    Parameters
    ----------
    ratio : float, default=0.1
        Number of retries that each first start adds to the budget.
    burst : float, default=10.0
        Largest number of retries that may accumulate; also the initial budget.
    """

    ratio: float = 0.1
    burst: float = 10.0


DEFAULT_HEALTH_SETTINGS = HealthSettings()
DEFAULT_RETRY_BUDGET_SETTINGS = RetryBudgetSettings()
