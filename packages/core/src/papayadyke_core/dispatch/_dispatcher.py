"""The aggregate that decides which task runs where."""

from __future__ import annotations

import logging

from papayadyke_core.dispatch._advice import AdviceCache
from papayadyke_core.dispatch._job import StagedJob, StepRun
from papayadyke_core.dispatch._messages import (
    Advice,
    Commit,
    EndedRow,
    Orders,
    RunEnd,
    RunningRow,
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
from papayadyke_core.dispatch._upstream import Upstream

LOG = logging.getLogger(__name__)

ATTEMPTS_PER_TERM = 1000  # a task's attempts under one decider stay far below
STOP_RETRY_S = 0.5  # seconds between two stops of a run that goes on
PLACEMENT_INTERVAL_S = 0.1  # seconds; tickets and set-aside times run out unnoticed
# Entries of a commit for a job: condition and progress; for one that has ended also
# the removal of the job and of its cancellation.
OPEN_JOB_ENTRIES = 2
ENDED_JOB_ENTRIES = 4
ADVICE_RETRY_S = 0.3  # seconds; a failed advisory call is not repeated at once
ESTIMATE_WEIGHT = 0.05  # share of the newest run in the learned run time
MAX_ESTIMATE_FACTOR = 5.0  # keeps a few stuck runs from spoiling the estimate

# A run of a job that is not known takes an unknown room: nothing fits beside it.
_UNKNOWN_STEP = StepSpec(count=1, cpu_millis=10**9, memory_mb=10**9)


class Dispatcher:
    """All jobs, all upstreams, and what runs where. Times are in seconds.

    Parameters
    ----------
    settings : DispatchSettings
    term : int, default=0
        Deciders before this one; attempts of a later term are higher.
    now : float, default=0.0
        When this decider took over, on the clock of all its times.
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
        self._fleet_version = 0
        self._needs_placement = True
        self._next_placement_s = 0.0
        self._takeover_barrier_s: float | None = None
        self._handover_end_s = now + settings.handover_s
        if term:
            # The decider before may have given a lease as late as the handover.
            self._takeover_barrier_s = self._handover_end_s + settings.longest_lease_s

    # Configuration and registry

    def set_catalog(self, catalog: Catalog) -> None:
        """Put a newer configuration in force; an older one changes nothing."""
        if catalog.version > self.catalog.version:
            self.catalog = catalog
            self._needs_placement = True

    def list_upstream(self, entry: UpstreamEntry, now: float = 0.0) -> None:
        """Take in an entry of the registry."""
        upstream = self.upstreams.get(entry.upstream_id)
        if upstream is None:
            upstream = self.upstreams[entry.upstream_id] = Upstream(entry)
        upstream.entry = entry
        upstream.is_listed = True
        upstream.departs_s = None
        if entry.is_draining and entry.remaining_s is not None:
            upstream.departs_s = now + entry.remaining_s
        self._fleet_version += 1
        self._needs_placement = True

    def unlist_upstream(self, upstream_id: str) -> None:
        """Take in that an entry is gone; what may run there still counts."""
        upstream = self.upstreams.get(upstream_id)
        if upstream is not None:
            upstream.is_listed = False

    def forget_gone(self, now: float) -> list[str]:
        """Drop upstreams that are neither listed nor can run anything."""
        unused = [
            name
            for name, upstream in self.upstreams.items()
            if not upstream.is_listed
            and not upstream.is_reachable
            and not upstream.runs
            and now > upstream.lease_until_s
            # What an earlier decider started there is not known before the barrier.
            and (upstream.has_reported or self._takeover_barrier_s is None)
        ]
        for name in unused:
            del self.upstreams[name]
        return unused

    # Jobs

    def load(
        self,
        spec: StagedJobSpec,
        progress: JobProgress | None,
        *,
        is_cancelled: bool,
        age_s: float,
        now: float,
    ) -> None:
        """Take over a stored job from an earlier decider."""
        job = StagedJob(spec, now=now, age_s=age_s)
        if progress is not None:
            job.restore_progress(progress)
        job.hold_until_s = self._takeover_barrier_s or 0.0
        self.jobs[spec.job_id] = job
        if is_cancelled and not job.is_final:
            self._finish_job(job, JobState.CANCELLED, now)
        if not job.is_final:
            self._add_ready_steps(job)

    def submit(
        self,
        spec: StagedJobSpec,
        *,
        now: float,
        age_s: float = 0.0,
        is_suspect: bool = False,
    ) -> bool:
        """Take in an accepted job; return whether it is new.

        Parameters
        ----------
        spec : StagedJobSpec
        now, age_s : float
        is_suspect : bool, default=False
            The decider before this one may have started it.
        """
        if spec.job_id in self.jobs:
            return False
        job = StagedJob(spec, now=now, age_s=age_s)
        if self._takeover_barrier_s is not None:
            job.hold_until_s = (
                self._takeover_barrier_s if is_suspect else self._handover_end_s
            )
        self.jobs[spec.job_id] = job
        self._add_ready_steps(job)
        return True

    def cancel(self, job_id: str, now: float) -> bool:
        """Cancel a job; return whether that changed anything."""
        job = self.jobs.get(job_id)
        if job is None or job.is_final:
            return False
        self._finish_job(job, JobState.CANCELLED, now)
        return True

    def state_of(self, job_id: str) -> JobState | None:
        """Return what callers may be told of a job, None where it is not upstream."""
        job = self.jobs.get(job_id)
        if job is None:
            return None
        if job.state in FINAL_STATES and job.stored_state != job.state:
            if job.state is JobState.CANCELLED:
                return job.state
            return JobState.ACTIVE
        return job.state

    def count_pending(self, queue: str) -> int:
        """Return the jobs of a queue of which no task has started."""
        return sum(
            1
            for job in self.jobs.values()
            if job.spec.queue == queue and job.state is JobState.QUEUED
        )

    # What upstreams tell

    def note_lease(self, upstream_id: str, sent_s: float) -> None:
        """Note that a lease is sent to an upstream, answered or not.

        May be called by any thread, and is to be called before the lease is sent:
        no step may see the lease that went before as the last one.
        """
        upstream = self.upstreams.get(upstream_id)
        if upstream is not None:
            until_s = sent_s + self.settings.longest_lease_s
            upstream.lease_until_s = max(upstream.lease_until_s, until_s)

    def report(
        self, upstream_id: str, report: UpstreamReport, now: float
    ) -> list[EndedRow]:
        """Take in what an upstream lists; return the ends that are new."""
        upstream = self.upstreams.get(upstream_id)
        if upstream is None:
            return []
        if upstream.incarnation is not None and upstream.incarnation != report.life:
            self._handle_restart(upstream, now)
        upstream.incarnation = report.life
        if not (upstream.is_reachable and upstream.has_reported):
            self._fleet_version += 1
            self._needs_placement = True
        upstream.is_reachable = True
        upstream.has_reported = True
        new_ends = [
            row for row in report.ended if row.number > upstream.last_end_number
        ]
        for row in new_ends:
            upstream.last_end_number = row.number
            self._process_end(upstream, row, now)
        listed = set()
        for running in report.running:
            listed.add((running.task, running.attempt))
            self._process_running(upstream, running, now)
        for run in [run for run in upstream.runs.values() if run.key not in listed]:
            self._check_unlisted_run(upstream, run, report, now)
        return new_ends

    def lose_contact(self, upstream_id: str) -> None:
        """Note that an upstream does not answer."""
        upstream = self.upstreams.get(upstream_id)
        if upstream is not None:
            upstream.is_reachable = False

    def start_answered(
        self, order: StartOrder, outcome: StartOutcome, now: float
    ) -> None:
        """Take in what became of a start."""
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
        elif outcome is StartOutcome.UNKNOWN:
            if run.phase is RunPhase.ORDERED:
                run.phase, run.phase_since_s = RunPhase.UNCERTAIN, now
            upstream.is_reachable = False
        else:
            if outcome is StartOutcome.BAD_TICKET:
                self.advice_cache.remove_ticket(
                    StepId(*order.task[:3]), order.upstream_id
                )
            elif outcome in (StartOutcome.REFUSED, StartOutcome.NO_ROOM):
                upstream.record_failure(now)
            elif outcome is StartOutcome.NOT_SENT:
                upstream.is_reachable = False
            self._drop_run(upstream, run, RunEnd.LOST, now)

    def stop_answered(self, order: StopOrder, now: float) -> None:
        """Take in that an upstream has taken a stop."""
        upstream = self.upstreams.get(order.upstream_id)
        if upstream is None:
            return
        run = upstream.runs.get((order.task, order.attempt))
        if run is not None and run.stop_confirmed_s is None:
            # Later answers to repeated stops tell nothing new: looks that were
            # asked after the first are to be believed.
            run.stop_confirmed_s = now

    def advise(self, advice: Advice) -> None:
        """Take in an answer of the advisory service."""
        self.advice_cache.record_answer(advice)
        self._needs_placement = True

    def advice_failed(self, step: StepId, now: float) -> None:
        """Note that an advisory call had no answer."""
        self.advice_cache.record_failure(step, retry_at_s=now + ADVICE_RETRY_S)

    # Decisions

    def tick(self, now: float, wall_s: float) -> Orders:
        """Return what is to be ordered now.

        Parameters
        ----------
        now : float
        wall_s : float
            Wall-clock time, for occurrences that are due at a time.
        """
        self._lift_barrier(now)
        self._add_due_steps(wall_s)
        self._expire_leases(now)
        self._evacuate(now)
        self._repeat_stops(now)
        orders = Orders()
        self._place_steps(orders, now)
        orders.stops, self._pending_stops = self._pending_stops, []
        return orders

    def take_commit(self) -> Commit | None:
        """Return progress to store, or None; one commit at a time."""
        if self._committing_states is not None:
            return None
        job_ids = self._select_dirty_jobs()
        noted: dict[str, tuple[int, int]] = {}
        if len(job_ids) == len(self._dirty_jobs):
            noted = {
                name: (upstream.incarnation, upstream.last_end_number)
                for name, upstream in self.upstreams.items()
                if upstream.last_end_number > upstream.acknowledged_end_number
                and upstream.incarnation is not None
            }
        if not job_ids and not noted:
            return None
        progress: dict[str, bytes] = {}
        self._committing_states = {}
        for name in job_ids:
            del self._dirty_jobs[name]
            job = self.jobs.get(name)
            if job is None:
                continue
            progress[name] = encode_progress(job.snapshot_progress())
            self._committing_states[name] = job.state
        ended = [
            n for n, state in self._committing_states.items() if state in FINAL_STATES
        ]
        return Commit(progress, noted, tuple(ended))

    def committed(self, commit: Commit, *, is_stored: bool) -> list[str]:
        """Take in whether a commit was stored; return the jobs that it ended."""
        states, self._committing_states = self._committing_states or {}, None
        if not is_stored:
            for name in states:
                self._dirty_jobs.setdefault(name)
            return []
        for name, (incarnation, number) in commit.noted.items():
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

    def forget_old(self, wall_s: float) -> list[str]:
        """Drop jobs whose state need not be told any more; return their ids."""
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
        """Return the learned ratio of run time to estimate."""
        return self.estimate_factors.get(queue, 1.0)

    # Parts

    def _select_dirty_jobs(self) -> list[str]:
        """Return the jobs whose progress fits in one commit."""
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
        """Let stored jobs start once no earlier start can be unknown."""
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
        LOG.info("dispatch: upstream %s began a new life", upstream.upstream_id)
        for run in list(upstream.runs.values()):
            self._drop_run(upstream, run, RunEnd.LOST, now)
        upstream.last_end_number = upstream.acknowledged_end_number = 0
        upstream.failures_in_row = 0
        self.advice_cache.remove_upstream(upstream.upstream_id)

    def _process_running(self, upstream: Upstream, row: RunningRow, now: float) -> None:
        run = upstream.runs.get((row.task, row.attempt))
        if run is None:
            run = self._adopt_run(upstream, row, now)
        if run.phase is not RunPhase.RUNNING:
            run.phase, run.phase_since_s = RunPhase.RUNNING, now
            self._mark_active(run)
        run.percent = row.percent
        step = self._find_step(row.task)
        if step is not None and row.checkpoint and not run.is_unwanted:
            step.checkpoints[row.task.number] = row.checkpoint

    def _adopt_run(self, upstream: Upstream, row: RunningRow, now: float) -> Run:
        """Take over a run that an earlier decider has started."""
        step = self._find_step(row.task)
        index = row.task.number
        wanted = (
            step is not None
            and not step.job.is_final
            and index < step.spec.count
            and index not in step.done
            and index not in step.live
        )
        spec = step.spec if step is not None else _UNKNOWN_STEP
        run = Run(
            row.task,
            row.attempt,
            upstream.upstream_id,
            spec,
            RunPhase.ORDERED,
            now,
            now,
            is_unwanted=not wanted,
        )
        upstream.add(run)
        if step is not None and index < step.spec.count:
            step.record_attempt(index, row.attempt)
        if wanted and step is not None:
            step.live[index] = run
            step.waiting.discard(index)
        else:
            self._stop_run(run, now, "not wanted")
        return run

    def _check_unlisted_run(
        self, upstream: Upstream, run: Run, report: UpstreamReport, now: float
    ) -> None:
        """Judge a run that an upstream does not list."""
        if run.phase is RunPhase.ORDERED or run.phase_since_s >= report.requested_s:
            return
        if run.phase is RunPhase.RUNNING:
            self._drop_run(upstream, run, RunEnd.LOST, now)
            return
        if run.stop_confirmed_s is None:
            # The start may still be under way; a stop keeps it from starting.
            if run.stop_requested_s is None:
                self._stop_run(run, now, "start was not answered")
        elif run.stop_confirmed_s < report.requested_s:
            self._drop_run(upstream, run, RunEnd.LOST, now)

    def _process_end(self, upstream: Upstream, row: EndedRow, now: float) -> None:
        run = upstream.runs.get((row.task, row.attempt))
        if run is not None:
            upstream.remove(run)
        self._needs_placement = True
        step = self._find_step(row.task)
        index = row.task.number
        if step is None or index >= step.spec.count:
            return
        step.record_attempt(index, row.attempt)
        if row.checkpoint and index not in step.done:
            step.checkpoints[index] = row.checkpoint
        is_live = run is not None and step.live.get(index) is run
        if row.end is RunEnd.DONE:
            self._update_estimates(upstream, run, step, now)
            self._process_done(step, row, now)
        elif row.end is RunEnd.FAILED:
            self._process_failure(upstream, step, row, now)
        if is_live:
            step.requeue(index)
            self._stop_other_members(step, index, row.end, now)
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

    def _process_done(self, step: StepRun, row: EndedRow, now: float) -> None:
        job = step.job
        indexes = range(step.spec.count) if step.spec.is_gang else (row.task.number,)
        newly_done = [index for index in indexes if step.mark_done(index)]
        if not newly_done:
            return
        for index in newly_done:
            # Another copy, or a member whose end is listed later.
            live = step.live.pop(index, None)
            if live is None or live.key == (row.task, row.attempt):
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
        self, upstream: Upstream, step: StepRun, row: EndedRow, now: float
    ) -> None:
        index = row.task.number
        if upstream.record_failure(now):
            LOG.warning(
                "dispatch: upstream %s set aside after %d failed runs",
                upstream.upstream_id,
                upstream.failures_in_row,
            )
        step.avoid.setdefault(index, set()).add(upstream.upstream_id)
        attempts = step.failed.setdefault(index, [])
        if row.attempt in attempts:
            return
        attempts.append(row.attempt)
        job = step.job
        self._dirty_jobs.setdefault(job.job_id)
        if job.is_final or index in step.done or step.spec.is_long_running:
            return
        queue = self._find_queue(job)
        limit = queue.max_attempts if queue is not None else 1
        if step.count_failures(index) >= limit:
            self._finish_job(job, JobState.FAILED, now)

    def _drop_run(self, upstream: Upstream, run: Run, end: RunEnd, now: float) -> None:
        """Free the room of a run of which no end will be listed."""
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
        """Stop what is left of a gang that lost a member."""
        if index in step.done or not step.spec.is_gang:
            return
        for other, live in list(step.live.items()):
            if other != index:
                self._stop_run(live, now, f"a member of the gang ended: {end}")

    def _update_ready_step(self, step: StepRun) -> None:
        job = step.job
        is_open = (
            not job.is_final
            and bool(step.waiting)
            and job.is_ready(step)
            and step.step_id not in self._scheduled_steps
        )
        if is_open:
            self._ready_steps[step.step_id] = step
        else:
            self._ready_steps.pop(step.step_id, None)

    def _finish_job(self, job: StagedJob, state: JobState, now: float) -> None:
        job.state = state
        job.ended_s = job.spec.accepted_s + now - job.since_s
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
                self._stop_run(run, now, "repeated")

    def _evacuate(self, now: float) -> None:
        """Stop what can not end before its upstream leaves, at the last moment.

        A stop brings a checkpoint, and its end is listed at once; what is lost
        with the upstream would have to wait for the end of its lease.
        """
        ahead_s = self.settings.stop_s + self.settings.evacuation_calls_s
        for upstream in self.upstreams.values():
            departs_s = upstream.departs_s
            if departs_s is None or now < departs_s - ahead_s:
                continue
            for run in upstream.runs.values():
                if run.stop_requested_s is None:
                    self._stop_run(run, now, "the upstream leaves")

    def _expire_leases(self, now: float) -> None:
        for upstream in self.upstreams.values():
            if upstream.is_reachable or not upstream.runs:
                continue
            if now > upstream.lease_until_s:
                for run in list(upstream.runs.values()):
                    self._drop_run(upstream, run, RunEnd.LAPSED, now)

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
        """Give waiting tasks room, the first in rank first."""
        if not self._needs_placement and now < self._next_placement_s:
            return
        self._needs_placement = False
        self._next_placement_s = now + PLACEMENT_INTERVAL_S
        placement = PlacementRound(
            self.settings,
            advice_cache=self.advice_cache,
            upstreams=self.upstreams,
            fleet_version=self._fleet_version,
            advice_slots=self.advice_slots,
            attempt_floor=self.attempt_floor,
            now=now,
        )
        for step, queue in self._rank_steps(now):
            if placement.place(step, queue, factor=self.get_estimate_factor(queue.key)):
                self._update_ready_step(step)
        orders.starts += placement.starts
        orders.advice += placement.advice

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
