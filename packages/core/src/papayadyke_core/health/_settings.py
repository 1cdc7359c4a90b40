"""Settings of the health of upstreams."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HealthSettings:
    """How evidence against upstreams and requests is weighed.

    Parameters
    ----------
    bad_failure_rate : float, default=0.95
        Fraction of tasks that fails on a bad upstream, as the test assumes.
    ordinary_failure_rate : float, default=0.02
        Fraction of a workload's tasks that fails, before anything is known of it.
    set_aside_evidence : float, default=10.0
        Natural logarithm of the odds at which an upstream is set aside.
    max_set_aside_share : float, default=0.34
        Largest fraction of the upstreams that is set aside at once; one may be
        where there are at least two.
    first_probe_s, last_probe_s : float, default=2.0 and 120.0
        Time until the first probe of an upstream set aside; it doubles with each
        probe that fails, up to the last.
    silence_s : float, default=5.0
        Time after which a lost connection counts against the upstream, unless a
        new connection has worked since.
    slow_factor : float, default=1.5
        Growth of run times over an upstream's usual ones at which its limit
        shrinks.
    limit_decrease : float, default=0.5
        Factor on the limit when tasks fail or slow down.
    speed_gain : float, default=0.03
        Weight of one more run time in a learned speed.
    report_change : float, default=0.1
        Relative change of a learned speed that is reported.
    failing_upstreams : int, default=3
        Upstreams in good standing on which a request must have failed to be
        refused; all of them where there are fewer, but at least two.
    max_requests : int, default=10000
        Requests whose failures are remembered.
    """

    bad_failure_rate: float = 0.95
    ordinary_failure_rate: float = 0.02
    set_aside_evidence: float = 10.0
    max_set_aside_share: float = 0.34
    first_probe_s: float = 2.0
    last_probe_s: float = 120.0
    silence_s: float = 5.0
    slow_factor: float = 1.5
    limit_decrease: float = 0.5
    speed_gain: float = 0.03
    report_change: float = 0.1
    failing_upstreams: int = 3
    max_requests: int = 10_000


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """How many retries are allowed.

    Parameters
    ----------
    ratio : float, default=0.1
        Retries that each first start allows.
    burst : float, default=10.0
        Retries that may be saved up; also the ones allowed at first.
    """

    ratio: float = 0.1
    burst: float = 10.0


DEFAULT_SETTINGS = HealthSettings()
DEFAULT_BUDGET = RetryBudgetSettings()
