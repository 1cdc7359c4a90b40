"""Settings of admission."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """How requests are taken in and what is believed of their waiting time.

    Parameters
    ----------
    service_window_s : float, default=5.0
        Window over which the rate of starts of a workload is learned.
    service_evidence_s : float, default=1.0
        Time for which a workload has to have had a queue without a break before
        a request is refused because of an expected waiting time.
    deadline_margin : float, default=1.1
        A request is refused at once when its expected waiting time is more than
        this many times what it has left.
    default_retry_after_s : float, default=1.0
        Hint given where nothing is learned yet.
    arrival_window_s : float, default=10.0
        Window over which the rate of arrivals of a workload is learned.
    run_time_evidence : int, default=5
        Finished tasks before the declared timeout stops being the estimate.
    flood_interval_s : float, default=0.05
        Length of the intervals in which arrivals and starts are compared.
    flood_intervals : int, default=3
        Intervals in a row that tell a flood from a burst.
    flood_ratio, flood_end_ratio : float, default=1.5 and 1.2
        Arrivals for each start at which a flood of urgent work begins and ends;
        during it a request that can't be started at once is refused at once.
    flood_patience : float, default=10.0
        Requests with a deadline further off than this many times the waiting
        time of their service level are queued in a flood too.
    max_retry_after_s : float, default=10.0
        Largest hint that is given in a flood.
    lost_capacity_s : float, default=300.0
        For this long after an upstream was removed, a request that fits nowhere
        waits for it until its deadline in place of being refused for good.
    """

    service_window_s: float = 5.0
    service_evidence_s: float = 1.0
    deadline_margin: float = 1.1
    default_retry_after_s: float = 1.0
    arrival_window_s: float = 10.0
    run_time_evidence: int = 5
    flood_interval_s: float = 0.05
    flood_intervals: int = 3
    flood_ratio: float = 1.5
    flood_end_ratio: float = 1.2
    flood_patience: float = 10.0
    max_retry_after_s: float = 10.0
    lost_capacity_s: float = 300.0
