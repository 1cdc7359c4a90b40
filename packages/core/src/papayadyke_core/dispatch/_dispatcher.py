"""The dispatcher, which decides which task runs on which upstream."""

from __future__ import annotations

import logging

from papayadyke_core.dispatch._advice import AdviceCache
from papayadyke_core.dispatch._crashes import CrashTracker, TaskCrash
from papayadyke_core.dispatch._job import StagedJob, StepRun
from papayadyke_core.dispatch._messages import (
    Advice,
    Commit,
    EndedRun,
    LossCause,
    LostRun,
    Orders,
    RunEnd,
    RunningRun,
    StartOrder,
    StartOutcome,
    StopOrder,
    UpstreamEntry,
    UpstreamReport,
)
from papayadyke_core.dispatch._progress import (
    FINAL_STATES,
    JobProgress,
    JobState,
    encode_progress,
)
from papayadyke_core.dispatch._rank import rank_job
from papayadyke_core.dispatch._round import PlacementRound
from papayadyke_core.dispatch._run import Run, RunPhase
from papayadyke_core.dispatch._settings import DispatchSettings
from papayadyke_core.dispatch._spec import (
    Catalog,
    QueuePolicy,
    StagedJobSpec,
    StepId,
    StepSpec,
    TaskId,
)
from papayadyke_core.dispatch._unread import UnreadJobEnds
from papayadyke_core.dispatch._upstream import Upstream

LOG = logging.getLogger(__name__)

ATTEMPTS_PER_TERM = 1000  # exceeds by far the attempts of a task under one decider
STOP_RETRY_S = 0.5  # seconds between stop orders for a run that still runs
# Seconds between placements without a change; the expiry of tickets and of set-aside
# times does not trigger one.
PLACEMENT_INTERVAL_S = 0.1
# Store entries of one job in a commit: the condition and the progress, and for an ended
# job also the removal of the job and of its cancellation.
OPEN_JOB_ENTRIES = 2
ENDED_JOB_ENTRIES = 4
ADVICE_RETRY_S = 0.3  # seconds; a failed advisory call is not repeated at once
# Weight of the newest run in the moving average of the ratio of run time to estimate.
ESTIMATE_WEIGHT = 0.05
MAX_ESTIMATE_FACTOR = 5.0  # a few stuck runs must not distort the estimate

# What a run of an unknown job needs is unknown, so its upstream counts as full.
_UNKNOWN_STEP = StepSpec(count=1, cpu_millis=10**9, memory_mb=10**9)


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
        self.catalog = Catalog()
        self.jobs: dict[str, StagedJob] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.advice_cache = AdviceCache()
        self.advice_slots = settings.advice_slots
        self.estimate_factors: dict[str, float] = {}
        self._ready_steps: dict[StepId, StepRun] = {}
        self._scheduled_steps: dict[StepId, StepRun] = {}
        self._dirty_jobs: dict[str, None] = {}
        self._committing_states: dict[str, JobState] | None = None
        self._pending_stops: list[StopOrder] = []
        self._stopping_runs: dict[tuple[TaskId, int], Run] = {}
        self._lost_runs: list[LostRun] = []
        self._crash_tracker = CrashTracker(settings, find_step=self._find_step)
        self._task_crashes: list[TaskCrash] = []
        # Jobs whose doubts or crashes are not stored, without and with a commit of them
        # in progress.
        self._unstored_suspicions: set[str] = set()
        self._committing_suspicions: set[str] = set()
        self._is_store_failing = False
        self._needs_placement = True
        self._next_placement_s = 0.0
        self._takeover_barrier_s: float | None = None
        self._handover_end_s = now + settings.handover_s
        self._unread_ends = UnreadJobEnds()
        self._ended_jobs: set[str] = set()
        # Until then an upstream may run or list a job that was not read yet; None
        # once all such jobs are known.
        self._unread_until_s: float | None = None
        if term:
            self._unread_until_s = self._handover_end_s + settings.late_read_s
            # The previous decider may grant leases until the end of the handover. Runs
            # under them may be unknown until the last of these leases has expired.
            self._takeover_barrier_s = self._handover_end_s + settings.longest_lease_s

    # Configuration and registry

    def set_catalog(self, catalog: Catalog) -> None:
        """Apply a configuration if it is newer than the current one."""
        if catalog.version > self.catalog.version:
            self.catalog = catalog
            self._needs_placement = True

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
            upstream = self.upstreams[entry.upstream_id] = Upstream(entry)
        upstream.entry = entry
        upstream.is_recorded = is_recorded
        upstream.is_listed = True
        upstream.departs_s = None
        if entry.is_draining and entry.remaining_s is not None:
            upstream.departs_s = now + entry.remaining_s
        self._needs_placement = True

    def mark_upstream_recorded(self, upstream_id: str) -> None:
        """Record that the stored roster names an upstream, which may then get work."""
        upstream = self.upstreams.get(upstream_id)
        if upstream is not None and not upstream.is_recorded:
            upstream.is_recorded = True
            self._needs_placement = True

    def mark_upstream_unlisted(self, upstream_id: str) -> None:
        """Mark an upstream as unlisted; its possible runs still count."""
        upstream = self.upstreams.get(upstream_id)
        if upstream is not None:
            upstream.is_listed = False

    def remove_unused_upstreams(self, now: float) -> list[str]:
        """Remove unlisted upstreams that cannot run anything; return their ids."""
        unused = [
            name
            for name, upstream in self.upstreams.items()
            if not upstream.is_listed
            and not upstream.is_reachable
            and not upstream.runs
            and now > upstream.lease_until_s
            # Before the barrier, runs that an earlier decider started may be unknown.
            and (upstream.has_reported or self._takeover_barrier_s is None)
        ]
        for name in unused:
            del self.upstreams[name]
            self._unread_ends.remove_upstream(name)
        if self._takeover_barrier_s is None:
            # Those that are gone for good may have crashed under their tasks.
            for name in self._crash_tracker.list_doubted_upstreams():
                if name not in self.upstreams:
                    self._count_crashes(name, now, present=None, is_certain=False)
        for name in unused:
            self._crash_tracker.forget_loss(name)
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
        job = StagedJob(spec, now=now, age_s=age_s)
        if progress is not None:
            job.restore_progress(progress)
            for step in job.steps.values():
                self._crash_tracker.restore(step)
        job.hold_until_s = self._takeover_barrier_s or 0.0
        self.jobs[spec.job_id] = job
        if is_cancelled and not job.is_final:
            self._finish_job(job, JobState.CANCELLED, now)
        if not job.is_final:
            self._add_ready_steps(job)

    def record_ended_job(self, job_id: str) -> None:
        """Record a job that ended in an earlier term; its runs are not needed."""
        self._ended_jobs.add(job_id)

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
            Whether an earlier decider may have started the job.
        """
        if spec.job_id in self.jobs:
            return False
        job = StagedJob(spec, now=now, age_s=age_s)
        if self._takeover_barrier_s is not None:
            job.hold_until_s = (
                self._takeover_barrier_s if may_have_started else self._handover_end_s
            )
        self.jobs[spec.job_id] = job
        self._claim_runs(job, now)
        if not job.is_final:
            self._add_ready_steps(job)
        return True

    def cancel(self, job_id: str, now: float) -> bool:
        """Cancel a job; return False if it is unknown or has already ended."""
        job = self.jobs.get(job_id)
        if job is None or job.is_final:
            return False
        self._finish_job(job, JobState.CANCELLED, now)
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
        """Record that a lease is about to be sent to an upstream.

        May be called from any thread, and must be called before the lease is sent:
        otherwise a tick could treat the lease before it as the last one. The lease
        counts whether or not the upstream answers.
        """
        upstream = self.upstreams.get(upstream_id)
        if upstream is not None:
            until_s = sent_s + self.settings.longest_lease_s
            upstream.lease_until_s = max(upstream.lease_until_s, until_s)

    def process_report(
        self, upstream_id: str, report: UpstreamReport, now: float
    ) -> list[EndedRun]:
        """Process the report of an upstream; return the ends that are new."""
        upstream = self.upstreams.get(upstream_id)
        if upstream is None:
            return []
        if (
            upstream.incarnation is not None
            and upstream.incarnation != report.incarnation
        ):
            self._handle_restart(upstream, now)
        upstream.incarnation = report.incarnation
        is_regained = not (upstream.is_reachable and upstream.has_reported)
        upstream.is_reachable = True
        upstream.has_reported = True
        if is_regained:
            self._needs_placement = True
            for earlier in self._list_at_address(upstream):
                if not earlier.is_reachable:
                    self._count_crashes(earlier.upstream_id, now, present=None)
        new_ends = [
            ended for ended in report.ended if ended.number > upstream.last_end_number
        ]
        for ended in new_ends:
            upstream.last_end_number = ended.number
            if self._may_be_unread(ended.task.job_id):
                self._unread_ends.add(upstream_id, ended)
            else:
                self._process_end(upstream, ended, now)
        listed = set()
        for running in report.running:
            listed.add((running.task, running.attempt))
            self._process_running(upstream, running, now)
        for run in [run for run in upstream.runs.values() if run.key not in listed]:
            self._check_unlisted_run(upstream, run, report, now)
        self._count_crashes(upstream_id, now, present=report.incarnation)
        return new_ends

    def mark_unreachable(self, upstream_id: str, now: float = 0.0) -> None:
        """Mark an upstream as unreachable."""
        upstream = self.upstreams.get(upstream_id)
        if upstream is not None:
            self._lose_contact(upstream, now)

    def process_start_outcome(
        self, order: StartOrder, outcome: StartOutcome, now: float
    ) -> None:
        """Process the outcome of a start order."""
        upstream = self.upstreams.get(order.upstream_id)
        if upstream is None:
            return
        run = upstream.runs.get((order.task, order.attempt))
        if run is None:
            return
        if outcome is StartOutcome.STARTED:
            if run.phase is RunPhase.ORDERED:
                run.phase, run.phase_since_s = RunPhase.RUNNING, now
                self._mark_active(run)
            if not upstream.is_reachable:
                self._doubt_run(run, now)
        elif outcome is StartOutcome.UNKNOWN:
            if run.phase is RunPhase.ORDERED:
                run.phase, run.phase_since_s = RunPhase.UNCERTAIN, now
            self._lose_contact(upstream, now)
            self._doubt_run(run, now)
        else:
            if outcome is StartOutcome.BAD_TICKET:
                self.advice_cache.remove_ticket(
                    StepId(*order.task[:3]), order.upstream_id
                )
            elif outcome in (StartOutcome.REFUSED, StartOutcome.NO_ROOM):
                upstream.record_failure(now)
            elif outcome is StartOutcome.NOT_SENT:
                self._lose_contact(upstream, now)
            self._drop_run(upstream, run, RunEnd.LOST, now)

    def process_stop_answer(self, order: StopOrder, now: float) -> None:
        """Record that an upstream has accepted a stop order."""
        upstream = self.upstreams.get(order.upstream_id)
        if upstream is None:
            return
        run = upstream.runs.get((order.task, order.attempt))
        if run is not None and run.stop_confirmed_s is None:
            # Only the first answer counts: any poll sent after it reflects the stop,
            # so answers to repeated stops must not outdate such polls.
            run.stop_confirmed_s = now

    def process_advice(self, advice: Advice) -> None:
        """Store an answer of the advisory service."""
        job = self.jobs.get(advice.step.job_id)
        queue = "" if job is None else job.spec.queue
        self.advice_cache.record_answer(advice, queue=queue)
        self._needs_placement = True

    def process_advice_failure(self, step: StepId, now: float) -> None:
        """Record that an advisory call failed."""
        self.advice_cache.record_failure(step, retry_at_s=now + ADVICE_RETRY_S)

    def take_lost_runs(self) -> list[LostRun]:
        """Remove and return the runs that were lost since the last call."""
        lost_runs, self._lost_runs = self._lost_runs, []
        return lost_runs

    def take_task_crashes(self) -> list[TaskCrash]:
        """Remove and return the crashes that were counted since the last call."""
        task_crashes, self._task_crashes = self._task_crashes, []
        return task_crashes

    # Decisions

    def tick(self, now: float, wall_s: float) -> Orders:
        """Advance the schedule and return the orders to send.

        Parameters
        ----------
        now : float
        wall_s : float
            Wall-clock time, for the due times of occurrences.
        """
        self._lift_barrier(now)
        self._end_handover(now)
        self._add_due_steps(wall_s)
        self._expire_leases(now)
        self._evacuate(now)
        self._repeat_stops(now)
        orders = Orders()
        self._place_steps(orders, now)
        orders.stops, self._pending_stops = self._pending_stops, []
        return orders

    def begin_commit(self) -> Commit | None:
        """Return the next commit, or None if there is nothing to commit.

        There is none either while the previous commit is in progress.
        """
        if self._committing_states is not None:
            return None
        job_ids = self._select_dirty_jobs()
        acknowledged_ends: dict[str, tuple[int, int]] = {}
        # An end may be acknowledged only once the progress that it caused is stored, so
        # there are no acknowledgements while dirty jobs are left for the next commit.
        if len(job_ids) == len(self._dirty_jobs):
            acknowledged_ends = self._list_acknowledgements()
        if not job_ids and not acknowledged_ends:
            return None
        progress: dict[str, bytes] = {}
        self._committing_states = {}
        for name in job_ids:
            del self._dirty_jobs[name]
            job = self.jobs.get(name)
            if job is None:
                continue
            progress[name] = encode_progress(job.snapshot_progress())
            if name in self._unstored_suspicions:
                self._unstored_suspicions.discard(name)
                self._committing_suspicions.add(name)
            self._committing_states[name] = job.state
        ended_job_ids = [
            n for n, state in self._committing_states.items() if state in FINAL_STATES
        ]
        return Commit(progress, acknowledged_ends, tuple(ended_job_ids))

    def finish_commit(self, commit: Commit, *, is_stored: bool) -> list[str]:
        """Finish the commit in progress; return the jobs whose end it stored."""
        states, self._committing_states = self._committing_states or {}, None
        suspicions, self._committing_suspicions = self._committing_suspicions, set()
        self._is_store_failing = not is_stored
        self._needs_placement |= bool(suspicions)
        if not is_stored:
            self._unstored_suspicions |= suspicions
            for name in states:
                self._dirty_jobs.setdefault(name)
            return []
        for name, (incarnation, number) in commit.acknowledged_ends.items():
            upstream = self.upstreams.get(name)
            if upstream is not None and upstream.incarnation == incarnation:
                upstream.acknowledged_end_number = max(
                    upstream.acknowledged_end_number, number
                )
        ended_job_ids = []
        for name, state in states.items():
            job = self.jobs.get(name)
            if job is not None and job.stored_state != state:
                job.stored_state = state
                if state in FINAL_STATES:
                    ended_job_ids.append(name)
        return ended_job_ids

    def remove_expired_jobs(self, wall_s: float) -> list[str]:
        """Remove jobs whose retention period is over; return their ids."""
        expired = [
            name
            for name, job in self.jobs.items()
            if job.stored_state in FINAL_STATES
            and wall_s - job.ended_s > self.settings.status_kept_s
        ]
        for name in expired:
            del self.jobs[name]
        return expired

    def get_estimate_factor(self, queue: str) -> float:
        """Return the learned ratio of run time to estimate of a queue."""
        return self.estimate_factors.get(queue, 1.0)

    # Helpers

    def _list_acknowledgements(self) -> dict[str, tuple[int, int]]:
        """Return the ends to acknowledge: upstream, its incarnation and the number."""
        acknowledged_ends = {}
        for name, upstream in self.upstreams.items():
            if (
                upstream.incarnation is None
                or upstream.last_end_number <= upstream.acknowledged_end_number
            ):
                continue
            number = self._unread_ends.limit_acknowledgement(
                name, upstream.last_end_number
            )
            if number > upstream.acknowledged_end_number:
                acknowledged_ends[name] = (upstream.incarnation, number)
        return acknowledged_ends

    def _may_be_unread(self, job_id: str) -> bool:
        """Return whether a job may be stored that this term has not read yet."""
        return (
            self._unread_until_s is not None
            and job_id not in self.jobs
            and job_id not in self._ended_jobs
        )

    def _claim_runs(self, job: StagedJob, now: float) -> None:
        """Adopt the runs and ends of a job that upstreams reported before it."""
        if self._unread_until_s is None:
            return
        for upstream in self.upstreams.values():
            runs = [r for r in upstream.runs.values() if r.task.job_id == job.job_id]
            for run in runs:
                upstream.remove(run)
                self._process_running(
                    upstream, RunningRun(run.task, run.attempt, "", run.percent), now
                )
        for upstream_id, ended in self._unread_ends.take(job.job_id):
            self._process_end(self.upstreams[upstream_id], ended, now)

    def _end_handover(self, now: float) -> None:
        """Stop the runs of jobs that are still unknown after the handover."""
        if self._unread_until_s is None or now < self._unread_until_s:
            return
        self._unread_until_s = None
        self._unread_ends.clear()
        self._ended_jobs.clear()
        for upstream in self.upstreams.values():
            for run in upstream.runs.values():
                if run.task.job_id not in self.jobs and run.stop_requested_s is None:
                    self._stop_run(run, now, "the run is not needed")

    def _select_dirty_jobs(self) -> list[str]:
        """Return the dirty jobs whose progress fits in one commit."""
        job_ids: list[str] = []
        entries = 0
        for name in self._dirty_jobs:
            job = self.jobs.get(name)
            is_final = job is not None and job.is_final
            entries += ENDED_JOB_ENTRIES if is_final else OPEN_JOB_ENTRIES
            if entries > self.settings.max_commit_entries:
                break
            job_ids.append(name)
        return job_ids

    def _add_ready_steps(self, job: StagedJob) -> None:
        for (occurrence, _), step in job.steps.items():
            if step.is_done or not step.waiting or not job.is_ready(step):
                continue
            if job.due_wall_s(occurrence) is None:
                self._ready_steps[step.step_id] = step
            else:
                self._scheduled_steps[step.step_id] = step
        self._needs_placement = True

    def _add_due_steps(self, wall_s: float) -> None:
        due = [
            step_id
            for step_id, step in self._scheduled_steps.items()
            if (step.job.due_wall_s(step_id.occurrence) or 0.0)
            - self.settings.early_start_s
            <= wall_s
        ]
        for step_id in due:
            self._ready_steps[step_id] = self._scheduled_steps.pop(step_id)
            self._needs_placement = True

    def _lift_barrier(self, now: float) -> None:
        """Allow stored jobs to start once no earlier start can be unknown."""
        if self._takeover_barrier_s is None:
            return
        all_reported = all(
            upstream.has_reported for upstream in self.upstreams.values()
        )
        if not (all_reported and self.upstreams) and now < self._takeover_barrier_s:
            return
        self._takeover_barrier_s = None
        self._needs_placement = True

    def _handle_restart(self, upstream: Upstream, now: float) -> None:
        """Reset the state that belongs to the previous incarnation.

        Its runs are not dropped here: an order that is still in transit may reach the
        new incarnation. The report that follows drops the runs that it should list.
        """
        LOG.info("dispatch: upstream %s restarted", upstream.upstream_id)
        self._unread_ends.remove_upstream(upstream.upstream_id)
        if upstream.is_reachable:
            self._crash_tracker.record_loss(upstream, now)
        # Leases sent since the restart had times of the previous incarnation's clock.
        held_until_s = now + self.settings.longest_hold_s
        upstream.lease_until_s = max(upstream.lease_until_s, held_until_s)
        upstream.last_end_number = upstream.acknowledged_end_number = 0
        upstream.failures_in_row = 0
        self.advice_cache.remove_upstream(upstream.upstream_id)

    def _process_running(
        self, upstream: Upstream, running: RunningRun, now: float
    ) -> None:
        run = upstream.runs.get((running.task, running.attempt))
        if run is None:
            run = self._adopt_run(upstream, running, now)
        if run.phase is not RunPhase.RUNNING:
            run.phase, run.phase_since_s = RunPhase.RUNNING, now
            self._mark_active(run)
        step = self._find_step(running.task)
        if step is not None and run.incarnation != upstream.incarnation:
            # The present incarnation has received the order.
            step.withdraw_doubt(running.task.number, upstream.upstream_id)
        run.incarnation = upstream.incarnation
        run.percent = running.percent
        if step is None or run.is_unwanted:
            return
        index = running.task.number
        if running.checkpoint:
            step.checkpoints[index] = running.checkpoint
        if now - run.started_s > self.settings.suspect_s and step.clear_suspicion(
            index
        ):
            self._record_suspicion({running.task.job_id})

    def _adopt_run(self, upstream: Upstream, running: RunningRun, now: float) -> Run:
        """Register a reported run that this decider has not started."""
        step = self._find_step(running.task)
        index = running.task.number
        is_needed = (
            step is not None
            and not step.job.is_final
            and index < step.spec.count
            and index not in step.done
            and index not in step.live
        )
        spec = step.spec if step is not None else _UNKNOWN_STEP
        run = Run(
            running.task,
            running.attempt,
            upstream.upstream_id,
            spec,
            RunPhase.ORDERED,
            now,
            now,
            upstream.incarnation,
            is_unwanted=not is_needed,
            earlier_losses=step.count_losses(index) if step is not None else 0,
        )
        upstream.add(run)
        if step is not None and index < step.spec.count:
            step.record_attempt(index, running.attempt)
        if is_needed and step is not None:
            step.live[index] = run
            step.waiting.discard(index)
        elif not self._may_be_unread(running.task.job_id):
            self._stop_run(run, now, "the run is not needed")
        return run

    def _check_unlisted_run(
        self, upstream: Upstream, run: Run, report: UpstreamReport, now: float
    ) -> None:
        """Drop or stop a run that a report of its upstream does not list."""
        if run.phase is RunPhase.ORDERED or run.phase_since_s >= report.requested_s:
            return
        if run.phase is RunPhase.RUNNING:
            self._lose_run(upstream, run, now)
            return
        if run.stop_confirmed_s is None:
            # The start order may still be in transit; a stop prevents the start.
            if run.stop_requested_s is None:
                self._stop_run(run, now, "the start was not answered")
        elif run.stop_confirmed_s < report.requested_s:
            self._lose_run(upstream, run, now)

    def _process_end(self, upstream: Upstream, ended: EndedRun, now: float) -> None:
        run = upstream.runs.get((ended.task, ended.attempt))
        if run is not None:
            upstream.remove(run)
        self._needs_placement = True
        step = self._find_step(ended.task)
        index = ended.task.number
        if step is None or index >= step.spec.count:
            return
        step.record_attempt(index, ended.attempt)
        if ended.checkpoint and index not in step.done:
            step.checkpoints[index] = ended.checkpoint
        is_live = run is not None and step.live.get(index) is run
        if ended.end is RunEnd.DONE:
            self._update_estimates(upstream, run, step, now)
            self._process_done(step, ended, now)
        elif ended.end is RunEnd.FAILED:
            self._process_failure(upstream, step, ended, now)
        if is_live:
            step.requeue(index)
            self._stop_other_members(step, index, ended.end, now)
        self._update_ready_step(step)

    def _update_estimates(
        self, upstream: Upstream, run: Run | None, step: StepRun, now: float
    ) -> None:
        if run is None or run.is_unwanted or step.spec.is_long_running:
            return
        if step.checkpoints.get(run.task.number):
            return
        taken_s = now - run.started_s
        estimate_s = step.spec.estimate_s
        queue = step.job.spec.queue
        factor = self.get_estimate_factor(queue)
        upstream.record_success(estimate_s * factor, taken_s)
        if estimate_s > 0:
            ratio = min(taken_s / estimate_s, MAX_ESTIMATE_FACTOR)
            self.estimate_factors[queue] = factor + ESTIMATE_WEIGHT * (ratio - factor)

    def _process_done(self, step: StepRun, ended: EndedRun, now: float) -> None:
        job = step.job
        indexes = range(step.spec.count) if step.spec.is_gang else (ended.task.number,)
        newly_done = [index for index in indexes if step.mark_done(index)]
        if not newly_done:
            return
        for index in newly_done:
            # Another copy of the task, or a gang member whose end is listed later.
            live = step.live.pop(index, None)
            if live is None or live.key == (ended.task, ended.attempt):
                continue
            live.is_unwanted = True
            if not step.spec.is_gang:
                self._stop_run(live, now, "the task is done")
        self._dirty_jobs.setdefault(job.job_id)
        if job.is_final:
            return
        if step.is_done:
            self._add_ready_steps(job)
        if job.is_finished():
            self._finish_job(job, JobState.COMPLETE, now)

    def _process_failure(
        self, upstream: Upstream, step: StepRun, ended: EndedRun, now: float
    ) -> None:
        index = ended.task.number
        if upstream.record_failure(now):
            LOG.warning(
                "dispatch: upstream %s set aside after %d failed runs",
                upstream.upstream_id,
                upstream.failures_in_row,
            )
        step.avoided_upstreams.setdefault(index, set()).add(upstream.upstream_id)
        attempts = step.failed.setdefault(index, [])
        if ended.attempt in attempts:
            return
        attempts.append(ended.attempt)
        job = step.job
        self._dirty_jobs.setdefault(job.job_id)
        if job.is_final or index in step.done or step.spec.is_long_running:
            return
        queue = self._find_queue(job)
        max_attempts = queue.max_attempts if queue is not None else 1
        if step.count_failures(index) >= max_attempts:
            self._finish_job(job, JobState.FAILED, now)

    def _lose_run(self, upstream: Upstream, run: Run, now: float) -> None:
        """Drop a run that its upstream neither runs nor lists as ended."""
        has_restarted = run.incarnation != upstream.incarnation
        cause = LossCause.RESTARTED if has_restarted else LossCause.NOT_LISTED
        if has_restarted:
            self._doubt_run(run, now)
        self._record_loss(run, cause, now)
        self._drop_run(upstream, run, RunEnd.LOST, now)

    def _lose_contact(self, upstream: Upstream, now: float) -> None:
        if not upstream.is_reachable:
            return
        upstream.is_reachable = False
        # What runs on a draining upstream ends with it, which is no crash.
        if not upstream.entry.is_draining:
            self._crash_tracker.record_loss(upstream, now)
            self._record_suspicion(self._crash_tracker.doubt_runs(upstream, now))
        if any(later.is_reachable for later in self._list_at_address(upstream)):
            self._count_crashes(upstream.upstream_id, now, present=None)

    def _doubt_run(self, run: Run, now: float) -> None:
        if self._crash_tracker.doubt(run, now):
            self._record_suspicion({run.task.job_id})

    def _list_at_address(self, upstream: Upstream) -> list[Upstream]:
        """Return the other upstreams at an address, which excludes that both live."""
        address = upstream.entry.address
        return [
            other
            for other in self.upstreams.values()
            if other is not upstream and other.entry.address == address
        ]

    def _count_crashes(
        self,
        upstream_id: str,
        now: float,
        *,
        present: int | None,
        is_certain: bool = True,
    ) -> None:
        """Count a crash of an upstream against its tasks; give up those to blame."""
        crashes, job_ids = self._crash_tracker.resolve(
            upstream_id, present=present, is_certain=is_certain
        )
        self._record_suspicion(job_ids)
        self._task_crashes += crashes
        for crash in crashes:
            task = crash.task
            job = self.jobs[task.job_id]
            step = job.steps[task.occurrence, task.step]
            step.avoided_upstreams.setdefault(task.number, set()).add(upstream_id)
            if crash.is_given_up and not job.is_final:
                self._finish_job(job, JobState.FAILED, now)

    def _record_suspicion(self, job_ids: set[str]) -> None:
        """Have the doubts and crashes of jobs stored."""
        for job_id in sorted(job_ids):
            if not self.jobs[job_id].is_final:
                self._dirty_jobs.setdefault(job_id)
                self._unstored_suspicions.add(job_id)

    def _record_loss(self, run: Run, cause: LossCause, now: float) -> None:
        self._lost_runs.append(
            LostRun(run.upstream_id, run.task, run.attempt, cause, now - run.started_s)
        )

    def _drop_run(self, upstream: Upstream, run: Run, end: RunEnd, now: float) -> None:
        """Free the resources of a run whose end will not be listed."""
        upstream.remove(run)
        self._needs_placement = True
        step = self._find_step(run.task)
        if step is None or step.live.get(run.task.number) is not run:
            return
        step.requeue(run.task.number)
        self._stop_other_members(step, run.task.number, end, now)
        self._update_ready_step(step)

    def _stop_other_members(
        self, step: StepRun, index: int, end: RunEnd, now: float
    ) -> None:
        """Stop the remaining members of a gang that lost one."""
        if index in step.done or not step.spec.is_gang:
            return
        for other_index, live in list(step.live.items()):
            if other_index != index:
                self._stop_run(live, now, f"a member of the gang ended: {end}")

    def _update_ready_step(self, step: StepRun) -> None:
        job = step.job
        is_startable = (
            not job.is_final
            and bool(step.waiting)
            and job.is_ready(step)
            and step.step_id not in self._scheduled_steps
        )
        if is_startable:
            self._ready_steps[step.step_id] = step
        else:
            self._ready_steps.pop(step.step_id, None)

    def _finish_job(self, job: StagedJob, state: JobState, now: float) -> None:
        job.state = state
        job.ended_s = job.spec.accepted_s + now - job.accepted_at_s
        self._dirty_jobs.setdefault(job.job_id)
        self._needs_placement = True
        for step in job.steps.values():
            self._ready_steps.pop(step.step_id, None)
            self._scheduled_steps.pop(step.step_id, None)
            self.advice_cache.remove_step(step.step_id)
            for live in list(step.live.values()):
                live.is_unwanted = True
                self._stop_run(live, now, f"the job is {state}")
            step.live.clear()

    def _stop_run(self, run: Run, now: float, reason: str) -> None:
        run.stop_requested_s = now
        self._stopping_runs[run.key] = run
        self._pending_stops.append(
            StopOrder(run.upstream_id, run.task, run.attempt, reason)
        )

    def _repeat_stops(self, now: float) -> None:
        for key, run in list(self._stopping_runs.items()):
            upstream = self.upstreams.get(run.upstream_id)
            if upstream is None or upstream.runs.get(key) is not run:
                del self._stopping_runs[key]
            elif (
                upstream.is_reachable
                and run.stop_requested_s is not None
                and now - run.stop_requested_s > STOP_RETRY_S
            ):
                self._stop_run(run, now, "stop repeated")

    def _evacuate(self, now: float) -> None:
        """Stop runs just before their upstream shuts down.

        A stopped run yields a checkpoint and its end is listed at once, whereas a
        run lost with its upstream could restart only after its lease has expired.
        """
        lead_time_s = self.settings.stop_s + self.settings.evacuation_calls_s
        for upstream in self.upstreams.values():
            departs_s = upstream.departs_s
            if departs_s is None or now < departs_s - lead_time_s:
                continue
            for run in upstream.runs.values():
                if run.stop_requested_s is None:
                    self._stop_run(run, now, "the upstream shuts down")

    def _expire_leases(self, now: float) -> None:
        for upstream in self.upstreams.values():
            if upstream.is_reachable or not upstream.runs:
                continue
            for run in list(upstream.runs.values()):
                if now > self._find_lease_end_s(upstream, run):
                    self._record_loss(run, LossCause.SILENT, now)
                    self._drop_run(upstream, run, RunEnd.LAPSED, now)

    def _find_lease_end_s(self, upstream: Upstream, run: Run) -> float:
        """Return the time after which an unreachable upstream cannot have a run."""
        if run.phase is RunPhase.RUNNING:
            return upstream.lease_until_s
        # The upstream may have restarted unnoticed before the start arrived; the time
        # in the order was then one of a clock that had started anew.
        held_until_s = run.started_s + self.settings.longest_hold_s
        return max(upstream.lease_until_s, held_until_s)

    def _mark_active(self, run: Run) -> None:
        job = self.jobs.get(run.task.job_id)
        if job is not None and job.state is JobState.QUEUED:
            job.state = JobState.ACTIVE

    def _find_step(self, task: TaskId) -> StepRun | None:
        job = self.jobs.get(task.job_id)
        if job is None:
            return None
        return job.steps.get((task.occurrence, task.step))

    def _find_queue(self, job: StagedJob) -> QueuePolicy | None:
        return self.catalog.queues.get(job.spec.queue)

    # Placement

    def _place_steps(self, orders: Orders, now: float) -> None:
        """Place waiting tasks in the order of their rank."""
        if not self._needs_placement and now < self._next_placement_s:
            return
        self._needs_placement = False
        self._next_placement_s = now + PLACEMENT_INTERVAL_S
        placement = PlacementRound(
            self.settings,
            advice_cache=self.advice_cache,
            upstreams=self.upstreams,
            advice_slots=self.advice_slots,
            attempt_floor=self.attempt_floor,
            unstored_jobs=self._list_unstored_suspicions(),
            now=now,
        )
        ranked = self._rank_steps(now)
        for step, queue in ranked:
            if step.suspects and placement.place_alone(step, queue):
                self._update_ready_step(step)
        for step, queue in ranked:
            if not step.waiting:
                continue
            if placement.place(step, queue, factor=self.get_estimate_factor(queue.key)):
                self._update_ready_step(step)
        orders.starts += placement.starts
        orders.advice += placement.advice

    def _list_unstored_suspicions(self) -> set[str]:
        """Return the jobs whose suspects wait; none do while the store fails."""
        if self._is_store_failing:
            return set()
        return self._unstored_suspicions | self._committing_suspicions

    def _rank_steps(self, now: float) -> list[tuple[StepRun, QueuePolicy]]:
        ranked = []
        for step in self._ready_steps.values():
            job = step.job
            queue = self._find_queue(job)
            if queue is None:
                continue
            if self._takeover_barrier_s is not None and now < job.hold_until_s:
                continue
            rank = rank_job(
                job, queue, factor=self.get_estimate_factor(queue.key), now=now
            )
            ranked.append((rank, step.step_id, step, queue))
        ranked.sort(key=lambda row: row[:2])
        return [(step, queue) for _, _, step, queue in ranked]
