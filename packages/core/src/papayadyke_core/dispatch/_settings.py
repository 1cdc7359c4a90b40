"""Settings of the dispatcher."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class DispatchSettings:
    """Settings of the dispatcher; all times are in seconds.

    Parameters
    ----------
    lease_s : float
        Lease that each call to an upstream grants to its runs. It must outlast a
        takeover, and delays the restart of tasks whose upstream is unreachable.
    max_hold_s : float
        Longest lease that an upstream grants, whatever a call asks for. A call with a
        time on the clock of an earlier incarnation gets that long.
    lease_drift : float
        Fraction by which an upstream's clock may run slow.
    lease_call_delay_s : float
        Longest delay between sending a call and its arrival at the upstream.
    late_call_s : float
        Longest time after which an upstream carries out a call that it has not
        answered.
    lapse_s : float
        Time of silence after which the registry removes an upstream. One that has been
        absent from it for as long counts as gone.
    lasting_gone_s : float
        The same for a task that lasts, which must be started again sooner.
    handover_s : float
        Time after a takeover in which the previous decider may still start jobs that
        it had received before, unless every upstream has answered the new decider.
    late_read_s : float
        Time after the handover in which a job that the previous decider started may
        still be unread; runs of unknown jobs are stopped only after it.
    status_kept_s : float
        How long the state of an ended job is kept for callers.
    early_start_s : float
        How long before its due time an occurrence may start.
    advice_slots : int
        Maximum number of concurrent calls to the advisory service; one per VM.
    slow_advice_s : float
        Expected duration above which an advisory call counts as slow. Slow calls
        never use the last slots, which steps with quick calls need.
    quick_advice_slots : int
        Advisory slots that are kept for quick calls.
    short_task_s : float
        Estimated run time up to which a task may start on an upstream that is
        reserved for a gang.
    reserving_gangs : int
        Gangs that may reserve upstreams at a time, regardless of their size.
    reserved_share : float
        Fraction of the upstreams of a service; further gangs of the service may
        reserve while fewer upstreams than that are reserved in all.
    stop_s : float
        Longest time that an upstream takes to stop a run.
    evacuation_calls_s : float
        Time for the calls that stop the runs of a departing upstream: they are
        stopped this time plus `stop_s` before it shuts down.
    max_crashes : int
        Crashes of upstreams under a task after which the task is given up and its job
        fails, whatever else may explain them.
    alone_share : float
        Fraction of the upstreams of a service, and one at least, that may be kept free
        for tasks under which several upstreams have crashed.
    suspect_s : float
        Time since the start of a run after which a crash of its upstream no longer
        counts against the task. A run that outlasts it clears the task.
    record_runs_s : float
        Time after a takeover in which it is stored where tasks of earlier jobs run, so
        that a further decider counts crashes that this one does not see.
    urgent_share : float
        Fraction of a service's CPU, at most, that is kept free for the urgent work that
        is about to arrive; 0 keeps none.
    max_commit_entries : int
        Maximum number of store entries in one commit. They must fit in one
        transaction, which holds 32, together with the condition that this VM is
        still the decider.
    max_record_bytes : int
        Most bytes of the stored progress of a job.
    quota_overrun : float
        Fraction by which a gang that is all that its team runs may exceed the limit of
        the team.
    learns_run_times : bool
        Whether run times are learned by queue and step, and speeds by upstream.
        Otherwise there is one moving average by queue and one by upstream.
    evens_gang_speeds : bool
        Whether members that cannot speed up their gang leave faster upstreams free;
        needs learned run times.
    sets_upstreams_aside : bool
        Whether upstreams that fail runs in a row get no work for some time.
    preempts : bool
        Whether runs that save checkpoints are stopped if a gang of a more urgent queue
        then fits and their job has time to spare.
    job_rank, upstream_order : str
        Names of the order of waiting jobs, and of the order of upstreams for work that
        is not urgent; see `papayadyke_core.dispatch._policy`.
    speed_waits : str
        Which steps wait for a faster upstream while their job would be late on those
        with room and in time on others: "none", "urgent" or "all".
    """

    lease_s: float
    max_hold_s: float = 10.0
    lease_drift: float = 0.03
    lease_call_delay_s: float = 0.5
    late_call_s: float = 12.0
    lapse_s: float = 4.5
    lasting_gone_s: float = 1.0
    handover_s: float = 1.2
    late_read_s: float = 2.0
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
    max_crashes: int = 4
    alone_share: float = 0.25
    suspect_s: float = 30.0
    record_runs_s: float = 60.0
    urgent_share: float = 0.0
    max_commit_entries: int = 31
    max_record_bytes: int = 786_432
    quota_overrun: float = 0.1
    learns_run_times: bool = True
    evens_gang_speeds: bool = True
    sets_upstreams_aside: bool = True
    preempts: bool = True
    job_rank: str = "priority"
    upstream_order: str = "fastest"
    speed_waits: str = "none"

    @property
    def longest_lease_s(self) -> float:
        """Upper bound of the time until a lease granted by a call sent now expires."""
        return self.lease_s * (1 + self.lease_drift) + self.lease_call_delay_s

    @property
    def longest_hold_s(self) -> float:
        """Upper bound of a lease that was sent to an unknown incarnation."""
        hold_s = max(self.max_hold_s, self.lease_s)
        return hold_s * (1 + self.lease_drift) + self.lease_call_delay_s

    @property
    def longest_late_hold_s(self) -> float:
        """Upper bound of the time from sending a call to the end of its lease.

        Another incarnation than that for which it was meant may carry it out, at the
        last moment, and grant the longest lease.
        """
        return self.late_call_s + self.longest_hold_s
