"""State that the parts of the dispatcher share: jobs, upstreams and pending orders."""

from __future__ import annotations

from papayadyke_core.dispatch._advice import AdviceCache
from papayadyke_core.dispatch._commits import CommitTracker
from papayadyke_core.dispatch._delays import DelayCause
from papayadyke_core.dispatch._job import StagedJob, StepRun
from papayadyke_core.dispatch._memory import (
    estimate_ended_bytes,
    estimate_job_bytes,
)
from papayadyke_core.dispatch._messages import LossCause, LostRun, RunEnd, StopOrder
from papayadyke_core.dispatch._moving_average import MovingAverages
from papayadyke_core.dispatch._occurrences import OccurrenceWindow
from papayadyke_core.dispatch._progress import JobState
from papayadyke_core.dispatch._rank import find_objective_s
from papayadyke_core.dispatch._registry_view import RegistryView
from papayadyke_core.dispatch._run import Run, RunPhase
from papayadyke_core.dispatch._run_times import RunTimeModel
from papayadyke_core.dispatch._settings import DispatchSettings
from papayadyke_core.dispatch._spec import (
    Catalog,
    QueuePolicy,
    StagedJobSpec,
    StepId,
    StepSpec,
    TaskId,
)
from papayadyke_core.dispatch._unanswered import UnansweredStarts
from papayadyke_core.dispatch._upstream import Upstream
from papayadyke_core.teams import TeamLedger

STOP_RETRY_S = 0.5  # seconds between stop orders for a run that still runs


class Schedule:
    """Jobs, upstreams and pending orders, and the transitions between their states.

    All times are in seconds.

    Parameters
    ----------
    settings : DispatchSettings

    Attributes
    ----------
    held_bytes, later_bytes : int
        Estimated memory of all jobs, and of the repeated ones that have not ended.
    needs_placement : bool
        Whether something has changed since the last placement.
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self.settings = settings
        self.catalog = Catalog()
        self.jobs: dict[str, StagedJob] = {}
        self.held_bytes = self.later_bytes = 0
        self.upstreams: dict[str, Upstream] = {}
        self.ledger = TeamLedger()
        self.advice_cache = AdviceCache()
        self.registry_view = RegistryView(settings)
        self.unanswered_starts = UnansweredStarts(settings, self.registry_view)
        self.run_times: RunTimeModel | MovingAverages = (
            RunTimeModel() if settings.learns_run_times else MovingAverages()
        )
        self.commits = CommitTracker(
            settings, self.jobs, self.upstreams, self.unanswered_starts
        )
        self.ready_steps: dict[StepId, StepRun] = {}
        self.window = OccurrenceWindow(settings.early_start_s)
        # Jobs with failed runs, which a configuration may end.
        self.jobs_with_failures: set[str] = set()
        self.pending_stops: list[StopOrder] = []
        self.stopping_runs: dict[tuple[TaskId, int], Run] = {}
        self.lost_runs: list[LostRun] = []
        self.needs_placement = True

    def find_step(self, task: TaskId) -> StepRun | None:
        """Return the step of a task; None if it is unknown or its occurrence is done.

        An occurrence of which an earlier decider has started a task is opened, even if
        it is not due yet on the clock of this VM.
        """
        job = self.jobs.get(task.job_id)
        if job is None:
            return None
        step = job.steps.get((task.occurrence, task.step))
        if (
            step is None
            and not job.is_final
            and job.is_known(task.occurrence, task.step)
            and task.occurrence not in job.done_occurrences
        ):
            job.open_occurrence(task.occurrence)
            if job.has_due_times:
                self.window.update(job)
            self.add_ready_steps(job, task.occurrence)
            step = job.steps[task.occurrence, task.step]
        return step

    def find_step_spec(self, task: TaskId) -> StepSpec | None:
        """Return what a task needs, also if its occurrence is done."""
        job = self.jobs.get(task.job_id)
        if job is None or not job.is_known(task.occurrence, task.step):
            return None
        return job.spec.steps[task.step]

    def find_queue(self, job: StagedJob) -> QueuePolicy | None:
        return self.catalog.queues.get(job.spec.queue)

    def get_estimate_factor(self, queue: str) -> float:
        """Return the learned ratio of run time to estimate of a queue."""
        return self.run_times.get_factor(queue)

    def add_new_job(
        self, spec: StagedJobSpec, *, now: float, age_s: float
    ) -> StagedJob:
        """Add a job, whose remaining time is estimated by learned run times."""
        job = StagedJob(spec, now=now, age_s=age_s)
        job.unanswered_starts = self.unanswered_starts
        if isinstance(self.run_times, RunTimeModel):
            job.run_times = self.run_times
        self.jobs[spec.job_id] = job
        self.held_bytes += estimate_job_bytes(spec)
        if job.has_due_times:
            self.later_bytes += estimate_job_bytes(spec)
        return job

    def begin_job(self, job: StagedJob) -> None:
        """Let the steps of a job start, now or from the due time of each occurrence."""
        if job.has_due_times:
            self.window.add(job)
        else:
            self.add_ready_steps(job, 0)

    def add_ready_steps(self, job: StagedJob, occurrence: int) -> None:
        self._add_ready(job, job.list_steps(occurrence))

    def add_dependent_steps(self, step: StepRun) -> None:
        """Let the steps start that have waited for a step to be done."""
        self._add_ready(step.job, step.job.list_dependents(step))

    def _add_ready(self, job: StagedJob, steps: list[StepRun]) -> None:
        for step in steps:
            if step.waiting and job.is_ready(step):
                self.ready_steps[step.step_id] = step
        self.needs_placement = True

    def add_due_steps(self, wall_s: float) -> None:
        for job, occurrence in self.window.advance(wall_s):
            self.add_ready_steps(job, occurrence)

    def close_occurrence(self, job: StagedJob, occurrence: int, now: float) -> None:
        """Drop the state of an occurrence that is done."""
        steps = job.close_occurrence(occurrence)
        if job.has_due_times:
            self.window.update(job)
        for step in steps:
            step.wait.end(now)
            self.ready_steps.pop(step.step_id, None)
            self.advice_cache.remove_step(step.step_id)

    def update_ready_step(self, step: StepRun) -> None:
        job = step.job
        is_startable = not job.is_final and bool(step.waiting) and job.is_ready(step)
        if is_startable:
            self.ready_steps[step.step_id] = step
        else:
            self.ready_steps.pop(step.step_id, None)

    def record_failure(self, step: StepRun) -> None:
        """Record that a run of a step has failed; tasks that last have no limit."""
        if not step.job.is_final and not step.spec.is_long_running:
            self.jobs_with_failures.add(step.job.job_id)

    def end_failed_jobs(self, now: float) -> None:
        """End the jobs whose tasks have failed as often as the configuration allows."""
        for job_id in sorted(self.jobs_with_failures):
            job = self.jobs[job_id]
            for step in list(job.steps.values()):
                if any(self.has_failed(step, index) for index in step.failed):
                    self.finish_job(job, JobState.FAILED, now)
                    break

    def has_failed(self, step: StepRun, index: int) -> bool:
        """Return whether a task has used up the attempts of its queue.

        If the configuration does not tell how many there are, nothing is decided. It
        may have lost the queue for some seconds only.
        """
        queue = self.find_queue(step.job)
        if queue is None or not queue.max_attempts or step.spec.is_long_running:
            return False
        has_ended = step.job.is_final or index in step.done
        return not has_ended and step.count_failures(index) >= queue.max_attempts

    def is_configured(self, job: StagedJob) -> bool:
        """Return whether the configuration tells under which limits a job may run."""
        queue = self.find_queue(job)
        if queue is None:
            return False
        if not queue.max_attempts and job.job_id in self.jobs_with_failures:
            return False
        team, teams = job.spec.team, self.catalog.teams
        return not team or (teams is not None and team in teams)

    def mark_active(self, run: Run) -> None:
        job = self.jobs.get(run.task.job_id)
        if job is not None and job.state is JobState.QUEUED:
            job.state = JobState.ACTIVE

    def finish_job(self, job: StagedJob, state: JobState, now: float) -> None:
        job.state = state
        job.ended_s = job.spec.accepted_s + now - job.accepted_at_s
        job.finished_at_s = now
        queue = self.find_queue(job)
        if queue is not None:
            factor = self.get_estimate_factor(queue.key)
            job.objective_s = find_objective_s(job, queue, factor=factor)
        self.commits.mark_dirty(job.job_id)
        self.needs_placement = True
        job.times.clear()
        for step in job.steps.values():
            step.wait.end(now)
            self.ready_steps.pop(step.step_id, None)
            self.advice_cache.remove_step(step.step_id)
            for live in list(step.live.values()):
                live.is_unwanted = True
                self.stop_run(live, now, f"the job is {state}")
            step.live.clear()
        if job.has_due_times:
            self.window.remove(job)
            self.later_bytes -= estimate_job_bytes(job.spec)
        job.drop_steps()
        self.jobs_with_failures.discard(job.job_id)
        self.held_bytes += estimate_ended_bytes(job.spec) - estimate_job_bytes(job.spec)

    def remove_job(self, job_id: str) -> None:
        """Remove a job that has ended."""
        job = self.jobs.pop(job_id)
        self.held_bytes -= estimate_ended_bytes(job.spec)

    def stop_run(self, run: Run, now: float, reason: str) -> None:
        run.stop_requested_s = now
        self.stopping_runs[run.key] = run
        self.pending_stops.append(
            StopOrder(run.upstream_id, run.task, run.attempt, reason)
        )

    def repeat_stops(self, now: float) -> None:
        for key, run in list(self.stopping_runs.items()):
            upstream = self.upstreams.get(run.upstream_id)
            if upstream is None or upstream.runs.get(key) is not run:
                del self.stopping_runs[key]
            elif (
                upstream.is_reachable
                and run.stop_requested_s is not None
                and now - run.stop_requested_s > STOP_RETRY_S
            ):
                self.stop_run(run, now, "stop repeated")

    def evacuate(self, now: float) -> None:
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
                    self.stop_run(run, now, "the upstream shuts down")

    def expire_leases(self, now: float) -> None:
        self.unanswered_starts.expire(now, self.upstreams)
        for upstream in self.upstreams.values():
            if upstream.is_reachable or not upstream.runs:
                continue
            for run in list(upstream.runs.values()):
                if now > self._find_lease_end_s(upstream, run):
                    self.record_loss(run, LossCause.SILENT, now)
                    self.drop_run(upstream, run, RunEnd.LAPSED, now)

    def _find_lease_end_s(self, upstream: Upstream, run: Run) -> float:
        """Return the time after which an unreachable upstream cannot have a run."""
        if run.phase is RunPhase.RUNNING:
            return upstream.lease_until_s
        is_lasting = run.spec.is_long_running
        if self.registry_view.is_gone(upstream, is_lasting=is_lasting):
            return max(
                upstream.lease_until_s, run.started_s + self.settings.longest_lease_s
            )
        # The upstream may have restarted unnoticed before the start arrived; the time
        # in the order was then one of a clock that had started anew.
        held_until_s = run.started_s + self.settings.longest_hold_s
        return max(upstream.lease_until_s, held_until_s)

    def drop_run(self, upstream: Upstream, run: Run, end: RunEnd, now: float) -> None:
        """Free the resources of a run whose end will not be listed."""
        upstream.remove(run)
        self.needs_placement = True
        step = self.find_step(run.task)
        if step is None or step.live.get(run.task.number) is not run:
            return
        step.wait.record_lost_run(run.started_s, now)
        step.requeue(run.task.number)
        self.stop_other_members(step, run.task.number, end, now)
        self.update_ready_step(step)

    def stop_other_members(
        self, step: StepRun, index: int, end: RunEnd, now: float
    ) -> None:
        """Stop the remaining members of a gang that lost one."""
        if index in step.done or not step.spec.is_gang:
            return
        for other_index, live in list(step.live.items()):
            if other_index != index and live.stop_requested_s is None:
                self.stop_run(live, now, f"a member of the gang ended: {end}")

    def record_run_delays(self, step: StepRun, run: Run, now: float) -> None:
        """Record what slowed down the run whose end completes its step."""
        is_last = step.spec.is_gang or len(step.done) + 1 == step.spec.count
        run_times = self.run_times
        if not (is_last and isinstance(run_times, RunTimeModel)):
            return
        members = step.live.values() if step.spec.is_gang else (run,)
        # All members of a gang end with the slowest one.
        speed = min(run_times.get_speed(member.upstream_id) for member in members)
        taken_s = now - run.started_s
        predicted = run_times.predict(step.job, step.step_id.step)
        step.job.delays.add(DelayCause.SLOW_UPSTREAM, taken_s * (1.0 - speed))
        step.job.delays.add(DelayCause.LONG_RUN, taken_s * speed - predicted.median_s)

    def record_loss(self, run: Run, cause: LossCause, now: float) -> None:
        self.lost_runs.append(
            LostRun(
                run.upstream_id,
                run.task,
                run.attempt,
                cause,
                now - run.started_s,
                run.incarnation,
                is_answered=run.phase is RunPhase.RUNNING,
            )
        )
