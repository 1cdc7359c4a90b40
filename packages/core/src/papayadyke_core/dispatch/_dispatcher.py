"""The dispatcher, which decides which task runs on which upstream."""

from __future__ import annotations

from collections.abc import Mapping

from papayadyke_core.dispatch._advice import AdviceCache
from papayadyke_core.dispatch._crashes import TaskCrash
from papayadyke_core.dispatch._delays import DelayCause
from papayadyke_core.dispatch._gang_waits import GangWait, list_gang_waits
from papayadyke_core.dispatch._job import StagedJob, StepRun
from papayadyke_core.dispatch._messages import (
    Advice,
    Commit,
    EndedRun,
    LostRun,
    Orders,
    StartOrder,
    StartOutcome,
    StopOrder,
    UpstreamEntry,
    UpstreamReport,
)
from papayadyke_core.dispatch._policy import JOB_RANKS
from papayadyke_core.dispatch._preemption import Claims, has_slack
from papayadyke_core.dispatch._progress import FINAL_STATES, JobProgress, JobState
from papayadyke_core.dispatch._rank import JobRank
from papayadyke_core.dispatch._reservations import Reservation, Reservations
from papayadyke_core.dispatch._round import PlacementRound
from papayadyke_core.dispatch._run import Run
from papayadyke_core.dispatch._run_times import RunTimeModel
from papayadyke_core.dispatch._schedule import Schedule
from papayadyke_core.dispatch._settings import DispatchSettings
from papayadyke_core.dispatch._spec import Catalog, StagedJobSpec, StepId, StepSpec
from papayadyke_core.dispatch._takeover import Takeover, TakeoverEnd, TakeoverWait
from papayadyke_core.dispatch._team_round import RankedStep, TeamRound, TeamWait
from papayadyke_core.dispatch._tracking import RunTracker
from papayadyke_core.dispatch._unanswered import UnansweredEnd
from papayadyke_core.dispatch._unknown_use import UnknownUse
from papayadyke_core.dispatch._upstream import Upstream
from papayadyke_core.dispatch._urgent_reserve import UrgentReserve
from papayadyke_core.teams import TeamLedger

ATTEMPTS_PER_TERM = 1000  # exceeds by far the attempts of a task under one decider
# Seconds between placements without a change; the expiry of tickets and of set-aside
# times does not trigger one.
PLACEMENT_INTERVAL_S = 0.1
ADVICE_RETRY_S = 0.3  # seconds; a failed advisory call is not repeated at once


class Dispatcher:
    """Schedule tasks of all jobs on all upstreams.

    All times are in seconds.

    Parameters
    ----------
    settings : DispatchSettings
    term : int, default=0
        Number of earlier deciders; attempt numbers of a later term are higher.
    now : float, default=0.0
        Time of the takeover, on the clock that the dispatcher uses throughout.
    """

    def __init__(
        self, settings: DispatchSettings, *, term: int = 0, now: float = 0.0
    ) -> None:
        self.settings = settings
        self.attempt_floor = term * ATTEMPTS_PER_TERM
        self.advice_slots = settings.advice_slots
        self._schedule = Schedule(settings)
        self._takeover = Takeover(
            settings, self._schedule.registry_view, term=term, now=now
        )
        self._tracker = RunTracker(self._schedule, self._takeover)
        self._unknown_use = UnknownUse(self._schedule.ledger)
        self._team_waits: dict[str, TeamWait] = {}
        self._claims = Claims()
        self._reservations = Reservations()
        self._next_placement_s = 0.0
        # Whether jobs may have to end by limits that were not known before.
        self._has_new_limits = False
        # Whether tasks that last may start before a takeover has ended.
        self._may_start_lasting = False
        # Room that is kept free for urgent work by service, and room on the fastest
        # upstreams that other work leaves to it while there is room elsewhere.
        self._urgent_reserves: dict[str, UrgentReserve] = {}
        self._fast_reserves: dict[str, UrgentReserve] = {}

    # Configuration and registry

    @property
    def catalog(self) -> Catalog:
        """Configuration in force."""
        return self._schedule.catalog

    @property
    def jobs(self) -> dict[str, StagedJob]:
        """All known jobs by id."""
        return self._schedule.jobs

    @property
    def upstreams(self) -> dict[str, Upstream]:
        """All known upstreams by id."""
        return self._schedule.upstreams

    @property
    def advice_cache(self) -> AdviceCache:
        """Tickets of the waiting steps."""
        return self._schedule.advice_cache

    @property
    def run_times(self) -> RunTimeModel | None:
        """Learned run times; None if the settings do not enable them."""
        run_times = self._schedule.run_times
        return run_times if isinstance(run_times, RunTimeModel) else None

    @property
    def held_bytes(self) -> int:
        """Estimated memory of all jobs, in bytes."""
        return self._schedule.held_bytes

    @property
    def later_bytes(self) -> int:
        """Estimated memory of the repeated jobs that have not ended, in bytes."""
        return self._schedule.later_bytes

    @property
    def team_ledger(self) -> TeamLedger:
        """What each team may have running."""
        return self._schedule.ledger

    def set_catalog(self, catalog: Catalog) -> None:
        """Apply a configuration if it is newer than the current one."""
        if catalog.version > self.catalog.version:
            self._schedule.catalog = catalog
            self._schedule.needs_placement = True
            self._has_new_limits = True

    def add_or_update_upstream(
        self, entry: UpstreamEntry, now: float = 0.0, *, is_recorded: bool = True
    ) -> None:
        """Add an upstream or update its registry entry.

        Parameters
        ----------
        entry : UpstreamEntry
        now : float
        is_recorded : bool, default=True
            Whether the stored roster names the upstream. Until then it gets no work: a
            successor might not know of it, and start its tasks elsewhere.
        """
        upstream = self.upstreams.get(entry.upstream_id)
        if upstream is None:
            upstream = Upstream(entry, self._schedule.ledger)
            self.upstreams[entry.upstream_id] = upstream
            # Earlier deciders gave no work to an upstream that they had not recorded.
            upstream.may_have_earlier_runs = (
                is_recorded and self._takeover.barrier_s is not None
            )
            self._unknown_use.is_outdated = True
            if self.run_times is not None:
                self.run_times.apply_speed(upstream)
        upstream.entry = entry
        upstream.is_recorded = is_recorded
        upstream.is_listed = True
        upstream.unlisted_since_s = None
        upstream.departs_s = None
        if entry.is_draining and entry.remaining_s is not None:
            upstream.departs_s = now + entry.remaining_s
        self._schedule.needs_placement = True

    def mark_upstream_recorded(self, upstream_id: str) -> None:
        """Record that the stored roster names an upstream, which may then get work."""
        upstream = self.upstreams.get(upstream_id)
        if upstream is not None and not upstream.is_recorded:
            upstream.is_recorded = True
            self._schedule.needs_placement = True

    def mark_upstream_unlisted(
        self, upstream_id: str, now: float = 0.0, *, has_entry: bool = False
    ) -> None:
        """Mark an upstream as unlisted; its possible runs still count.

        Parameters
        ----------
        upstream_id : str
        now : float
        has_entry : bool, default=False
            Whether the registry has an entry of it, which names no upstream to use.
        """
        upstream = self.upstreams.get(upstream_id)
        if upstream is None:
            return
        upstream.is_listed = False
        if has_entry:
            upstream.unlisted_since_s = None
        elif upstream.unlisted_since_s is None:
            upstream.unlisted_since_s = now

    def record_registry_read(
        self, sent_s: float, now: float, *, is_answered: bool
    ) -> None:
        """Record a read of the registry; see `RegistryView.record_read`."""
        self._schedule.registry_view.record_read(sent_s, now, is_answered=is_answered)

    def remove_unused_upstreams(self, now: float) -> list[str]:
        """Remove unlisted upstreams that cannot run anything; return their ids."""
        unused = [
            name
            for name, upstream in self.upstreams.items()
            if not upstream.is_listed
            and not upstream.is_reachable
            and not upstream.runs
            and not self._schedule.unanswered_starts.has_starts(name)
            and now > upstream.lease_until_s
            # Before the barrier, runs that an earlier decider started may be unknown.
            and (upstream.has_reported or not upstream.may_have_earlier_runs)
        ]
        for name in unused:
            del self.upstreams[name]
            self._takeover.unread_ends.remove_upstream(name)
            self._schedule.commits.forget_ends(name)
        if self._takeover.barrier_s is None:
            # Those that are gone for good may have crashed under their tasks.
            for name in self._tracker.crash_tracker.list_doubted_upstreams():
                if name not in self.upstreams:
                    self._tracker.count_crashes(
                        name, now, present=None, is_certain=False
                    )
        for name in unused:
            self._tracker.crash_tracker.forget_loss(name)
        return unused

    # Jobs

    def restore_job(
        self,
        spec: StagedJobSpec,
        progress: JobProgress | None,
        *,
        is_cancelled: bool,
        age_s: float,
        now: float,
    ) -> None:
        """Restore a stored job of an earlier decider."""
        job = self._schedule.add_new_job(spec, now=now, age_s=age_s)
        if progress is not None:
            job.restore_progress(progress)
            for step in job.steps.values():
                self._tracker.crash_tracker.restore(step)
                self._restore_unanswered_starts(step, progress, now)
                if step.failed:
                    self._schedule.record_failure(step)
                    self._has_new_limits = True
        job.is_held_over = self._takeover.barrier_s is not None
        job.record_runs_until_s = now + self.settings.record_runs_s
        self._unknown_use.is_outdated = True
        if not job.is_final:
            self._schedule.begin_job(job)
        if is_cancelled and not job.is_final:
            self._schedule.finish_job(job, JobState.CANCELLED, now)

    def record_ended_job(
        self, job_id: str, *, team: str = "", may_run: bool = False
    ) -> None:
        """Record a job that ended in an earlier term; its runs are not needed.

        Parameters
        ----------
        job_id, team : str
        may_run : bool, default=False
            Whether some of its runs may not have been stopped yet.
        """
        self._takeover.record_ended_job(job_id, team=team, may_run=may_run)

    def submit(
        self,
        spec: StagedJobSpec,
        *,
        now: float,
        age_s: float = 0.0,
        may_have_started: bool = False,
    ) -> bool:
        """Add an accepted job; return whether it is new.

        Parameters
        ----------
        spec : StagedJobSpec
        now, age_s : float
        may_have_started : bool, default=False
            Whether an earlier decider may have started the job. One that was stored
            after this term began cannot have been started by it: a decider starts no
            job that it receives while it has no valid lease.
        """
        if spec.job_id in self.jobs:
            return False
        self._record_arrival(spec, now)
        job = self._schedule.add_new_job(spec, now=now, age_s=age_s)
        if self._takeover.barrier_s is not None and may_have_started:
            job.is_held_over = True
            self._unknown_use.is_outdated = True
        self._tracker.claim_runs(job, now)
        if not job.is_final:
            self._schedule.begin_job(job)
        return True

    def cancel(self, job_id: str, now: float) -> bool:
        """Cancel a job; return False if it is unknown or has already ended."""
        job = self.jobs.get(job_id)
        if job is None or job.is_final:
            return False
        self._schedule.finish_job(job, JobState.CANCELLED, now)
        return True

    def get_state(self, job_id: str) -> JobState | None:
        """Return the state of a job to report to callers; None if it is unknown.

        `COMPLETE` and `FAILED` are reported only once they are stored.
        """
        job = self.jobs.get(job_id)
        if job is None:
            return None
        if job.state in FINAL_STATES and job.stored_state != job.state:
            if job.state is JobState.CANCELLED:
                return job.state
            return JobState.ACTIVE
        return job.state

    def count_pending(self, queue: str) -> int:
        """Return the number of jobs of a queue of which no task has started."""
        return sum(
            1
            for job in self.jobs.values()
            if job.spec.queue == queue and job.state is JobState.QUEUED
        )

    # Reports and answers of upstreams

    def record_lease(self, upstream_id: str, sent_s: float) -> None:
        """Record that a lease is about to be sent to an upstream; from any thread.

        See `RunTracker.record_lease`.
        """
        self._tracker.record_lease(upstream_id, sent_s)

    def process_report(
        self, upstream_id: str, report: UpstreamReport, now: float
    ) -> list[EndedRun]:
        """Process the report of an upstream; return the ends that are new."""
        return self._tracker.process_report(upstream_id, report, now)

    def mark_unreachable(self, upstream_id: str, now: float = 0.0) -> None:
        """Mark an upstream as unreachable."""
        self._tracker.mark_unreachable(upstream_id, now)

    def process_start_outcome(
        self, order: StartOrder, outcome: StartOutcome, now: float
    ) -> None:
        """Process the outcome of a start order."""
        self._tracker.process_start_outcome(order, outcome, now)

    def process_stop_answer(self, order: StopOrder, now: float) -> None:
        """Record that an upstream has accepted a stop order."""
        self._tracker.process_stop_answer(order, now)

    def process_advice(self, advice: Advice) -> None:
        """Store an answer of the advisory service."""
        job = self.jobs.get(advice.step.job_id)
        queue = "" if job is None else job.spec.queue
        self.advice_cache.record_answer(advice, queue=queue)
        self._schedule.needs_placement = True

    def process_advice_failure(self, step: StepId, now: float) -> None:
        """Record that an advisory call failed."""
        self.advice_cache.record_failure(step, retry_at_s=now + ADVICE_RETRY_S)

    def take_takeover_end(self) -> TakeoverEnd | None:
        """Return how the wait for the runs of earlier terms ended, once."""
        return self._takeover.take_end()

    def describe_takeover_wait(self, now: float) -> TakeoverWait | None:
        """Return what holds back the jobs of earlier terms; None if nothing does."""
        return self._takeover.describe_wait(self.upstreams, now)

    def count_held_jobs(self) -> int:
        """Return the number of open jobs that a takeover may hold back."""
        return sum(
            1 for job in self.jobs.values() if job.is_held_over and not job.is_final
        )

    def take_lost_runs(self) -> list[LostRun]:
        """Remove and return the runs that were lost since the last call."""
        lost_runs, self._schedule.lost_runs = self._schedule.lost_runs, []
        return lost_runs

    def take_unanswered_ends(self) -> list[UnansweredEnd]:
        """Remove and return the unanswered starts that hold back no task any longer."""
        return self._schedule.unanswered_starts.take_ended()

    def take_task_crashes(self) -> list[TaskCrash]:
        """Remove and return the crashes that were counted since the last call."""
        task_crashes, self._tracker.task_crashes = self._tracker.task_crashes, []
        return task_crashes

    def take_team_waits(self) -> dict[str, TeamWait]:
        """Remove and return a step of each team that has waited for its limit."""
        team_waits, self._team_waits = self._team_waits, {}
        return team_waits

    def list_gang_waits(
        self, now: float, *, min_age_s: float, most: int
    ) -> list[GangWait]:
        """Return the gangs that have waited the longest; see `list_gang_waits`."""
        return list_gang_waits(
            self._schedule.ready_steps.values(),
            self.advice_cache,
            self.upstreams,
            self._reservations.list_held(),
            now=now,
            min_age_s=min_age_s,
            most=most,
        )

    def list_reservations(self) -> list[Reservation]:
        """Return the upstreams that are kept for gangs, the oldest first."""
        return self._reservations.list_held()

    def count_waiting_tasks(self) -> dict[str, int]:
        """Return how many tasks of each team could start but wait."""
        counts: dict[str, int] = {}
        for step in self._schedule.ready_steps.values():
            team = step.job.spec.team
            if team:
                counts[team] = counts.get(team, 0) + len(step.waiting)
        return counts

    # Decisions

    def tick(self, now: float, wall_s: float) -> Orders:
        """Advance the schedule and return the orders to send.

        Parameters
        ----------
        now : float
        wall_s : float
            Wall-clock time, for the due times of occurrences.
        """
        if self._takeover.lift_barrier(self.upstreams, now):
            self._schedule.needs_placement = True
        self._may_start_lasting = (
            self._takeover.barrier_s is not None
            and self._takeover.may_start_lasting(self.upstreams, now)
        )
        self._end_handover(now)
        if self.run_times is not None:
            self.run_times.now_s = now
        if self._has_new_limits:
            self._has_new_limits = False
            self._schedule.end_failed_jobs(now)
        self._schedule.add_due_steps(wall_s)
        self._schedule.expire_leases(now)
        self._schedule.evacuate(now)
        self._schedule.repeat_stops(now)
        orders = Orders()
        self._place_steps(orders, now)
        orders.stops, self._schedule.pending_stops = self._schedule.pending_stops, []
        return orders

    @property
    def has_ended_jobs_to_commit(self) -> bool:
        """Whether the end of a job waits for a commit."""
        return self._schedule.commits.has_ended_jobs

    def begin_commit(self, now: float = 0.0) -> Commit | None:
        """Return the next commit, or None if there is nothing to commit.

        Earlier commits may still be in progress; this one is of other jobs.
        """
        return self._schedule.commits.begin(self._takeover.unread_ends, now)

    def isolate_commit(self, commit: Commit, now: float) -> None:
        """Record that the store refuses a commit; `finish_commit` has to follow."""
        self._schedule.commits.isolate(commit, now)

    def finish_commit(self, commit: Commit, *, is_stored: bool) -> list[str]:
        """Finish a commit in progress; return the jobs whose end it stored."""
        commits = self._schedule.commits
        self._schedule.needs_placement |= commits.has_suspicions(commit)
        return commits.finish(commit, is_stored=is_stored)

    def remove_expired_jobs(self, wall_s: float) -> list[str]:
        """Remove jobs whose retention period is over; return their ids."""
        expired = [
            name
            for name, job in self.jobs.items()
            if job.stored_state in FINAL_STATES
            and wall_s - job.ended_s > self.settings.status_kept_s
        ]
        for name in expired:
            self._schedule.remove_job(name)
        return expired

    def get_estimate_factor(self, queue: str) -> float:
        """Return the learned ratio of run time to estimate of a queue.

        The estimates of a job (`StagedJob.remaining_critical_path_s` and others) are
        to be multiplied by it.
        """
        return self._schedule.get_estimate_factor(queue)

    def _end_handover(self, now: float) -> None:
        """Stop the runs of jobs that are still unknown after the handover."""
        if not self._takeover.end_handover(now):
            return
        for upstream in self.upstreams.values():
            for run in upstream.runs.values():
                if run.task.job_id not in self.jobs and run.stop_requested_s is None:
                    self._schedule.stop_run(run, now, "the run is not needed")

    def _restore_unanswered_starts(
        self, step: StepRun, progress: JobProgress, now: float
    ) -> None:
        """Hold back tasks of which a start of an earlier decider got no answer."""
        stored = progress.steps.get(f"{step.step_id.occurrence}.{step.step_id.step}")
        if stored is None:
            return
        sent_s = now + self.settings.handover_s
        for index, upstream_id in stored.unanswered.items():
            if index in step.waiting:
                self._schedule.unanswered_starts.add_earlier(
                    step.task_id(index),
                    upstream_id,
                    sent_s=sent_s,
                    is_lasting=step.spec.is_long_running,
                )

    # Placement

    def _place_steps(self, orders: Orders, now: float) -> None:
        """Place waiting tasks in the order of their rank."""
        if not self._schedule.needs_placement and now < self._next_placement_s:
            return
        self._schedule.needs_placement = False
        self._next_placement_s = now + PLACEMENT_INTERVAL_S
        self._claims.expire(now)
        teams = self._begin_team_round(now)
        placement = PlacementRound(
            self.settings,
            advice_cache=self.advice_cache,
            upstreams=self.upstreams,
            advice_slots=self.advice_slots,
            attempt_floor=self.attempt_floor,
            unstored_jobs=self._schedule.commits.list_unstored_suspicions(),
            teams=teams,
            claims=self._claims,
            reservations=self._reservations,
            unanswered_starts=self._schedule.unanswered_starts,
            may_preempt=lambda run, priority: self._may_preempt(run, priority, now),
            urgent_cpu_millis=_estimate_needs(self._urgent_reserves, now),
            fast_cpu_millis=_estimate_needs(self._fast_reserves, now),
            now=now,
        )
        ranked = self._rank_steps(now)
        for step, queue, _ in ranked:
            if not (step.crashes or step.doubts):
                continue
            factor = self.get_estimate_factor(queue.key)
            if placement.place_alone(step, queue, factor=factor):
                self._schedule.update_ready_step(step)
        ordered = teams.order_by_group(ranked, placement.capacity)
        for (step, queue, _), max_tasks in ordered:
            if not step.waiting:
                continue
            factor = self.get_estimate_factor(queue.key)
            if placement.place(step, queue, factor=factor, max_tasks=max_tasks):
                self._schedule.update_ready_step(step)
            if step.waiting:
                step.wait.record(placement.wait_cause, now)
            else:
                step.wait.end(now)
        self._reservations.replace(placement.reservations)
        self._search_ahead(placement, now)
        self._team_waits |= teams.waits
        for order in placement.starts:
            if order.checkpoint:
                run = self.upstreams[order.upstream_id].runs[order.task, order.attempt]
                run.is_timed = False
        for run, gang in placement.victims:
            self._schedule.stop_run(run, now, f"room for the gang {gang.job_id}")
        orders.starts += placement.starts
        orders.advice += placement.advice

    def _may_preempt(self, run: Run, priority: int, now: float) -> bool:
        """Return whether a run may be stopped for a queue of some priority."""
        step = self._schedule.find_step(run.task)
        queue = None if step is None else self._schedule.find_queue(step.job)
        if step is None or queue is None or queue.priority <= priority:
            return False
        factor = self.get_estimate_factor(queue.key)
        return has_slack(step.job, queue, factor=factor, now=now)

    def _record_arrival(self, spec: StagedJobSpec, now: float) -> None:
        queue = self.catalog.queues.get(spec.queue)
        if queue is None or not queue.is_urgent:
            return
        fast = self._fast_reserves.setdefault(queue.service, UrgentReserve())
        reserve = self._urgent_reserves.setdefault(queue.service, UrgentReserve())
        factor = self.get_estimate_factor(spec.queue)
        for step in spec.steps:
            if not self._fits_somewhere(step, queue.service):
                # No room is kept for work that never starts.
                continue
            run_s = step.estimate_s * factor
            fast.add_arrival(step.count, step.cpu_millis, run_s, now=now)
            if not step.is_gang and self.settings.urgent_share:
                reserve.add_arrival(step.count, step.cpu_millis, run_s, now=now)

    def _fits_somewhere(self, step: StepSpec, service: str) -> bool:
        """Return whether a listed upstream may run a task of a step when it is idle."""
        return any(
            upstream.entry.service == service
            and upstream.is_listed
            and (not step.label or step.label in upstream.entry.labels)
            and upstream.total_slots_for(step) > 0
            for upstream in self.upstreams.values()
        )

    def _begin_team_round(self, now: float) -> TeamRound:
        teams = self.catalog.teams
        if teams is not None:
            self._unknown_use.update(
                self.jobs,
                self.upstreams,
                barrier_s=self._takeover.barrier_s,
                ended_teams=self._takeover.stopped_teams,
                now=now,
            )
        overrun = self.settings.quota_overrun
        return TeamRound(self._schedule.ledger, teams, overrun=overrun)

    def _is_held(self, step: StepRun) -> bool:
        """Return whether a step may still run under an earlier decider."""
        if self._takeover.barrier_s is None or not step.job.is_held_over:
            return False
        return not (step.spec.is_long_running and self._may_start_lasting)

    def _search_ahead(self, placement: PlacementRound, now: float) -> None:
        """Look for the upstreams of steps that a takeover holds back, oldest first.

        They are not ranked: estimates made before their runs are known would be kept.
        """
        if self._takeover.barrier_s is None:
            return
        steps = self._schedule.ready_steps.values()
        held = [step for step in steps if self._is_held(step)]
        for step in sorted(held, key=lambda step: step.job.accepted_at_s):
            queue = self._schedule.find_queue(step.job)
            if queue is not None and self._schedule.is_configured(step.job):
                placement.search_ahead(step, queue)

    def _rank_steps(self, now: float) -> list[RankedStep]:
        ranked = []
        rank_job = JOB_RANKS[self.settings.job_rank]
        ranks: dict[str, JobRank] = {}
        for step in self._schedule.ready_steps.values():
            job = step.job
            queue = self._schedule.find_queue(job)
            if queue is None or not self._schedule.is_configured(job):
                step.wait.record(DelayCause.CONFIGURATION, now)
                continue
            if self._is_held(step):
                step.wait.record(DelayCause.TAKEOVER, now)
                continue
            rank = ranks.get(job.job_id)
            if rank is None:
                rank = ranks[job.job_id] = rank_job(
                    job, queue, factor=self.get_estimate_factor(queue.key), now=now
                )
            ranked.append((rank, step.step_id, step, queue))
        ranked.sort(key=lambda row: row[:2])
        return [(step, queue, rank.is_worthless) for rank, _, step, queue in ranked]


def _estimate_needs(
    reserves: Mapping[str, UrgentReserve], now: float
) -> dict[str, float]:
    """Return the CPU that urgent work needs by service, in thousandths of a core."""
    return {
        service: reserve.estimate_cpu_millis(now)
        for service, reserve in reserves.items()
    }
