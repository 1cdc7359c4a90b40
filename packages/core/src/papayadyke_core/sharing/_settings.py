"""Settings of sharing."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SharingSettings:
    """How capacity is divided, lent and taken back.

    Parameters
    ----------
    return_s : float, default=2.0
        Lent capacity has to come back within this time. Tasks that may run for
        longer and can't be preempted leave the floors of others free.
    preempt_after_s : float, default=0.5
        A workload under its floor waits this long before tasks of others are
        stopped for it.
    stop_patience_s : float, default=10.0
        Time after which a task that was asked to stop is no longer counted on.
    checkpoint_after_s : float, default=5.0
        Run time from which the work of a task is kept by a checkpoint; a younger
        idempotent task is stopped.
    max_stops : int, default=16
        Tasks that are asked to stop by one decision.
    overdue_s : float, default=30.0
        A workload whose next request has waited this long, and of which nothing
        was started meanwhile, goes before all others.
    gang_patience_s : float, default=1.0
        A gang that has waited this long for room has room held for it; at once
        where its workload is under its floor.
    urgent_share : float, default=0.05
        Part of the fleet up to which room is reserved for an urgent workload
        above its floor.
    reserve_limit : float, default=0.125
        Part of the fleet that is reserved for urgent workloads at most.
    reserve_deviations : float, default=3.0
        Standard deviations of the tasks at once that the reserve of an urgent
        workload covers.
    floor_deviations : float, default=0.3
        The same for the room kept for floors, which can wait for `return_s`.
    """

    return_s: float = 2.0
    preempt_after_s: float = 0.5
    stop_patience_s: float = 10.0
    checkpoint_after_s: float = 5.0
    max_stops: int = 16
    overdue_s: float = 30.0
    gang_patience_s: float = 1.0
    urgent_share: float = 0.05
    reserve_limit: float = 0.125
    reserve_deviations: float = 3.0
    floor_deviations: float = 0.3
