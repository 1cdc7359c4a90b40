"""Settings of the dispatcher."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class DispatchSettings:
    """Bounds and limits of the dispatcher; all times in seconds.

    Parameters
    ----------
    lease_s : float
        Lease that each contact gives to what runs at an upstream. Covers a
        takeover, and is what a cut-off upstream costs its tasks.
    lease_drift : float
        Share by which an upstream's clock may be slow.
    lease_call_s : float
        Time by which a call may reach an upstream later than it was sent.
    handover_s : float
        Time after a takeover in which the decider before may still act on what
        is accepted, unless every upstream has seen the new one.
    status_kept_s : float
        How long the state of an ended job is told.
    early_s : float
        How early an occurrence may start before its due time.
    advice_slots : int
        Calls to the advisory service at a time; one for each VM.
    slow_advice_s : float
        An advisory call past this counts as slow; slow calls never take the
        last slots, which quick work needs.
    quick_advice_slots : int
        Slots kept for quick calls.
    short_task_s : float
        A task this short may still start on an upstream reserved for a gang.
    reserving_gangs : int
        Gangs that may reserve upstreams at a time, whatever they need.
    reserved_share : float
        More gangs may reserve while a smaller share of the upstreams is reserved.
    stop_s : float
        How long a stop of a run may take.
    evacuation_calls_s : float
        Time for the calls that empty an upstream: its runs are stopped this and
        `stop_s` before it leaves.
    commit_entries : int
        Entries of one commit, which must fit in one transaction with the
        condition that this VM still decides.
    """

    lease_s: float
    lease_drift: float = 0.03
    lease_call_delay_s: float = 0.5
    handover_s: float = 1.2
    status_kept_s: float = 120.0
    early_start_s: float = 0.0
    advice_slots: int = 1
    slow_advice_s: float = 0.1
    quick_advice_slots: int = 2
    short_task_s: float = 1.5
    reserving_gangs: int = 2
    reserved_share: float = 0.25
    stop_s: float = 0.4
    evacuation_calls_s: float = 0.4
    max_commit_entries: int = 31

    @property
    def longest_lease_s(self) -> float:
        """Time after which a lease has ended that a call sent now may give."""
        return self.lease_s * (1 + self.lease_drift) + self.lease_call_delay_s
