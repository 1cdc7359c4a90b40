"""Settings that control admission."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Settings of admission, waiting time estimates and overload detection.

    Parameters
    ----------
    service_window_s : float, default=5.0
        Time constant in seconds of the estimated start rate of a workload.
    min_queue_age_s : float, default=1.0
        Time in seconds for which the queue of a workload must have been non-empty
        without interruption before requests are refused because of their expected
        waiting time.
    deadline_margin : float, default=1.1
        A request is refused on arrival if its expected waiting time exceeds the
        time to its deadline multiplied by this factor.
    default_retry_after_s : float, default=1.0
        Retry hint in seconds while no start rate is known.
    arrival_window_s : float, default=10.0
        Time constant in seconds of the estimated arrival rate of a workload.
    min_finished_tasks : int, default=5
        Minimum number of finished tasks for run time estimates to replace the
        declared timeout.
    flood_interval_s : float, default=0.05
        Length in seconds of the intervals in which arrivals and starts are
        compared.
    flood_intervals : int, default=3
        Number of consecutive intervals that distinguish a flood from a burst.
    flood_ratio, flood_end_ratio : float, default=1.5 and 1.2
        Arrivals per start at which a flood of urgent work begins and ends. During a
        flood, requests that cannot start immediately are refused immediately.
    flood_deadline_ratio : float, default=10.0
        Requests stay queued even during a flood if the time from their queueing to
        their deadline exceeds the waiting time of their service level multiplied by
        this factor.
    max_retry_after_s : float, default=10.0
        Maximum retry hint in seconds during a flood.
    lost_capacity_wait_s : float, default=300.0
        Time in seconds after the removal of an upstream during which a request that
        fits on no other upstream is queued until its deadline instead of being
        refused as never runnable.
    """

    service_window_s: float = 5.0
    min_queue_age_s: float = 1.0
    deadline_margin: float = 1.1
    default_retry_after_s: float = 1.0
    arrival_window_s: float = 10.0
    min_finished_tasks: int = 5
    flood_interval_s: float = 0.05
    flood_intervals: int = 3
    flood_ratio: float = 1.5
    flood_end_ratio: float = 1.2
    flood_deadline_ratio: float = 10.0
    max_retry_after_s: float = 10.0
    lost_capacity_wait_s: float = 300.0
