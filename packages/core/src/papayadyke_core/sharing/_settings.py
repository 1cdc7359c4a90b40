"""Settings that control sharing."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SharingSettings:
    """Settings of the division, lending and reclaiming of capacity.

    Parameters
    ----------
    reclaim_within_s : float, default=2.0
        Time in seconds within which lent capacity must be returned. Tasks that can
        run for longer and cannot be preempted must leave the capacity reserved for
        the floors of others free.
    preempt_after_s : float, default=0.5
        Time in seconds that a workload waits below its floor before tasks of other
        workloads are preempted for it.
    stop_timeout_s : float, default=10.0
        Time in seconds after a stop request when the task is no longer expected to
        free its capacity.
    checkpoint_after_s : float, default=5.0
        Run time in seconds from which a preempted task is checkpointed, so that its
        work is preserved. A younger task is stopped instead if it is idempotent.
    max_stop_requests : int, default=16
        Maximum number of stop requests per decision.
    overdue_after_s : float, default=30.0
        Waiting time in seconds of its next request after which a workload goes
        before all others, if none of its tasks was started during that time.
    gang_hold_after_s : float, default=1.0
        Waiting time in seconds after which capacity is held for a gang. It is held
        immediately if the workload is below its floor.
    urgent_reserve_share : float, default=0.05
        Maximum fraction of the fleet that is reserved for an urgent workload in
        addition to its floor.
    max_urgent_reserve_share : float, default=0.125
        Maximum fraction of the fleet that is reserved for all urgent workloads.
    reserve_deviations : float, default=3.0
        Standard deviations above the mean number of concurrent tasks that the
        reserve of an urgent workload covers.
    floor_deviations : float, default=0.3
        Like `reserve_deviations`, but for the capacity reserved for floors, which
        can wait up to `reclaim_within_s` for lent capacity.
    """

    reclaim_within_s: float = 2.0
    preempt_after_s: float = 0.5
    stop_timeout_s: float = 10.0
    checkpoint_after_s: float = 5.0
    max_stop_requests: int = 16
    overdue_after_s: float = 30.0
    gang_hold_after_s: float = 1.0
    urgent_reserve_share: float = 0.05
    max_urgent_reserve_share: float = 0.125
    reserve_deviations: float = 3.0
    floor_deviations: float = 0.3
