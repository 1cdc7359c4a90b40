"""Processing of what upstreams report: runs, ends, answers to orders and crashes."""

from __future__ import annotations

import logging

from papayadyke_core.dispatch._crashes import CrashTracker, TaskCrash
from papayadyke_core.dispatch._job import StagedJob, StepRun
from papayadyke_core.dispatch._messages import (
    EndedRun,
    LossCause,
    RunEnd,
    RunningRun,
    StartOrder,
    StartOutcome,
    StopOrder,
    UpstreamReport,
)
from papayadyke_core.dispatch._progress import JobState
from papayadyke_core.dispatch._run import Run, RunPhase
from papayadyke_core.dispatch._schedule import Schedule
from papayadyke_core.dispatch._spec import StepId, StepSpec
from papayadyke_core.dispatch._takeover import Takeover
from papayadyke_core.dispatch._upstream import Upstream
from papayadyke_core.teams import UNKNOWN_TEAM

LOG = logging.getLogger(__name__)

# What a run of an unknown job needs is unknown, so its upstream counts as full.
_UNKNOWN_STEP = StepSpec(count=1, cpu_millis=10**9, memory_mb=10**9)


class RunTracker:
    """Apply reports of upstreams and answers to orders to the schedule.

    All times are in seconds.

    Parameters
    ----------
    schedule : Schedule
    takeover : Takeover
    """

    def __init__(self, schedule: Schedule, takeover: Takeover) -> None:
        self.crash_tracker = CrashTracker(
            schedule.settings, find_step=schedule.find_step
        )
        self.task_crashes: list[TaskCrash] = []
        self._schedule = schedule
        self._takeover = takeover

    def record_lease(self, upstream_id: str, sent_s: float) -> None:
        """Record that a lease is about to be sent to an upstream.

        May be called from any thread, and must be called before the lease is sent:
        otherwise a tick could treat the lease before it as the last one. The lease
        counts whether or not the upstream answers.
        """
        upstream = self._schedule.upstreams.get(upstream_id)
        if upstream is not None:
            until_s = sent_s + self._schedule.settings.longest_lease_s
            upstream.lease_until_s = max(upstream.lease_until_s, until_s)
            upstream.last_call_s = max(upstream.last_call_s, sent_s)

    def process_report(
        self, upstream_id: str, report: UpstreamReport, now: float
    ) -> list[EndedRun]:
        """Process the report of an upstream; return the ends that are new."""
        upstream = self._schedule.upstreams.get(upstream_id)
        if upstream is None:
            return []
        if (
            upstream.incarnation is not None
            and upstream.incarnation != report.incarnation
        ):
            self._handle_restart(upstream, now)
        elif upstream.incarnation is None and (
            self._takeover.has_earlier_terms or report.running
        ):
            # A decider before may have met the incarnation by a call with a time of the
            # former one's clock.
            self._record_longest_hold(upstream, now)
        upstream.incarnation = report.incarnation
        is_regained = not (upstream.is_reachable and upstream.has_answered)
        upstream.is_reachable = True
        upstream.has_answered = True
        # Which tasks it runs or has done is known once it has listed all of them.
        if report.is_complete and not upstream.has_reported:
            upstream.has_reported = True
            self._schedule.needs_placement = True
        if is_regained:
            self._schedule.needs_placement = True
            for run in upstream.runs.values():
                # Its end may have come while there was no contact.
                run.is_timed = False
            for earlier in self._list_at_address(upstream):
                if not earlier.is_reachable:
                    self.count_crashes(earlier.upstream_id, now, present=None)
        new_ends = sorted(
            (end for end in report.ended if end.number > upstream.last_end_number),
            key=lambda end: end.number,
        )
        for ended in new_ends:
            upstream.last_end_number = ended.number
            self._schedule.commits.record_end(upstream_id, ended)
            if self._takeover.may_be_unread(ended.task.job_id, self._schedule.jobs):
                self._takeover.unread_ends.add(upstream_id, ended)
            else:
                self._process_end(upstream, ended, now)
        listed = {(running.task, running.attempt) for running in report.running}
        # A run that is gone must not make a listed run of its task unneeded.
        for run in [run for run in upstream.runs.values() if run.key not in listed]:
            self._check_unlisted_run(upstream, run, report, now)
        for running in report.running:
            self._process_running(upstream, running, now)
        if report.is_complete:
            self._schedule.unanswered_starts.settle_upstream(
                upstream_id, report.requested_s
            )
        self.count_crashes(upstream_id, now, present=report.incarnation)
        return new_ends

    def mark_unreachable(self, upstream_id: str, now: float = 0.0) -> None:
        """Mark an upstream as unreachable."""
        upstream = self._schedule.upstreams.get(upstream_id)
        if upstream is not None:
            self._lose_contact(upstream, now)

    def process_start_outcome(
        self, order: StartOrder, outcome: StartOutcome, now: float
    ) -> None:
        """Process the outcome of a start order."""
        upstream = self._schedule.upstreams.get(order.upstream_id)
        if upstream is None:
            return
        run = upstream.runs.get((order.task, order.attempt))
        if run is None:
            return
        if outcome is StartOutcome.STARTED:
            if run.phase is RunPhase.ORDERED:
                run.phase, run.phase_since_s = RunPhase.RUNNING, now
                self._schedule.mark_active(run)
                self._record_run(run, now)
            if not upstream.is_reachable:
                self._doubt_run(run, now)
        elif outcome is StartOutcome.UNKNOWN:
            if run.phase is RunPhase.ORDERED:
                run.phase, run.phase_since_s = RunPhase.UNCERTAIN, now
                self._record_unanswered_start(upstream, run)
            self._lose_contact(upstream, now)
            self._doubt_run(run, now)
        else:
            if outcome is StartOutcome.BAD_TICKET:
                self._schedule.advice_cache.remove_ticket(
                    StepId(*order.task[:3]), order.upstream_id
                )
            elif outcome in (StartOutcome.REFUSED, StartOutcome.NO_ROOM):
                self._count_failure(upstream, now)
            elif outcome is StartOutcome.NOT_SENT:
                self._lose_contact(upstream, now)
            self._schedule.drop_run(upstream, run, RunEnd.LOST, now)

    def process_stop_answer(self, order: StopOrder, now: float) -> None:
        """Record that an upstream has accepted a stop order."""
        upstream = self._schedule.upstreams.get(order.upstream_id)
        if upstream is None:
            return
        run = upstream.runs.get((order.task, order.attempt))
        if run is not None and run.stop_confirmed_s is None:
            # Only the first answer counts: any poll sent after it reflects the stop,
            # so answers to repeated stops must not outdate such polls.
            run.stop_confirmed_s = now

    def _record_unanswered_start(self, upstream: Upstream, run: Run) -> None:
        # The order may have waited before it was sent.
        sent_s = max(run.started_s, upstream.last_call_s)
        self._schedule.unanswered_starts.add(run, sent_s)
        job = self._schedule.jobs.get(run.task.job_id)
        if job is not None and not job.is_final:
            self._schedule.commits.mark_dirty(job.job_id)

    def claim_runs(self, job: StagedJob, now: float) -> None:
        """Adopt the runs and ends of a job that upstreams reported before it."""
        if self._takeover.unread_until_s is None:
            return
        for upstream in self._schedule.upstreams.values():
            runs = [r for r in upstream.runs.values() if r.task.job_id == job.job_id]
            for run in runs:
                upstream.remove(run)
                self._process_running(
                    upstream, RunningRun(run.task, run.attempt, "", run.percent), now
                )
        for upstream_id, ended in self._takeover.unread_ends.take(job.job_id):
            self._process_end(self._schedule.upstreams[upstream_id], ended, now)

    def count_crashes(
        self,
        upstream_id: str,
        now: float,
        *,
        present: int | None,
        is_certain: bool = True,
    ) -> None:
        """Count a crash of an upstream against its tasks; give up those to blame."""
        crashes, job_ids = self.crash_tracker.resolve(
            upstream_id, present=present, is_certain=is_certain
        )
        self._schedule.commits.record_suspicion(job_ids)
        self.task_crashes += crashes
        for crash in crashes:
            task = crash.task
            job = self._schedule.jobs[task.job_id]
            step = self._schedule.find_step(task)
            if step is not None:
                avoided = step.avoided_upstreams.setdefault(task.number, set())
                avoided.add(upstream_id)
            if crash.is_given_up and not job.is_final:
                self._schedule.finish_job(job, JobState.FAILED, now)

    def _handle_restart(self, upstream: Upstream, now: float) -> None:
        """Reset the state that belongs to the previous incarnation.

        Its runs are not dropped here: an order that is still in transit may reach the
        new incarnation. The report that follows drops the runs that it should list.
        """
        self._takeover.unread_ends.remove_upstream(upstream.upstream_id)
        self._schedule.commits.forget_ends(upstream.upstream_id)
        if upstream.is_reachable:
            self.crash_tracker.record_loss(upstream, now)
        # Leases sent since the restart had times of the previous incarnation's clock.
        self._record_longest_hold(upstream, now)
        upstream.last_end_number = upstream.acknowledged_end_number = 0
        upstream.failures_in_row = 0
        upstream.has_reported = False
        self._schedule.advice_cache.remove_upstream(upstream.upstream_id)

    def _record_longest_hold(self, upstream: Upstream, now: float) -> None:
        """Record that a call before now may have granted the longest lease."""
        held_until_s = now + self._schedule.settings.longest_hold_s
        upstream.lease_until_s = max(upstream.lease_until_s, held_until_s)

    def _process_running(
        self, upstream: Upstream, running: RunningRun, now: float
    ) -> None:
        self._schedule.unanswered_starts.settle_run(running.task, running.attempt)
        run = upstream.runs.get((running.task, running.attempt))
        is_adopted = run is None
        if run is None:
            run = self._adopt_run(upstream, running, now)
        if run.phase is not RunPhase.RUNNING:
            run.phase, run.phase_since_s = RunPhase.RUNNING, now
            self._schedule.mark_active(run)
            self._record_run(run, now, is_adopted=is_adopted)
        step = self._schedule.find_step(running.task)
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
        if (
            now - run.started_s > self._schedule.settings.suspect_s
            and step.clear_suspicion(index)
        ):
            self._schedule.commits.record_suspicion({running.task.job_id})

    def _adopt_run(self, upstream: Upstream, running: RunningRun, now: float) -> Run:
        """Register a reported run that this decider has not started."""
        step = self._schedule.find_step(running.task)
        index = running.task.number
        if step is not None:
            step.confirm_run(index, upstream.upstream_id, upstream.incarnation)
        is_needed = (
            step is not None
            and not step.job.is_final
            and index < step.spec.count
            and index not in step.done
            and index not in step.live
        )
        spec = self._schedule.find_step_spec(running.task)
        is_unknown = spec is None
        if spec is None:
            spec = _UNKNOWN_STEP
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
            is_urgent=self._is_urgent(step),
            team=self._find_team(running.task.job_id),
            expected_s=self._estimate_rest_s(step, running),
            is_timed=False,
        )
        if is_unknown:
            # It needs at most what its upstream has.
            entry = upstream.entry
            run.charged_as = StepSpec(
                1, entry.cpu_millis, entry.memory_mb, entry.accelerators
            )
        upstream.add(run)
        if step is not None and index < step.spec.count:
            step.record_attempt(index, running.attempt)
        if is_needed and step is not None:
            step.live[index] = run
            step.waiting.discard(index)
        elif not self._takeover.may_be_unread(running.task.job_id, self._schedule.jobs):
            self._schedule.stop_run(run, now, "the run is not needed")
        return run

    def _estimate_rest_s(self, step: StepRun | None, running: RunningRun) -> float:
        """Return the expected remaining time of a run that was reported first."""
        if step is None:
            return 0.0
        factor = self._schedule.get_estimate_factor(step.job.spec.queue)
        left_share = min(max(1.0 - running.percent / 100.0, 0.0), 1.0)
        return step.spec.estimate_s * factor * left_share

    def _find_team(self, job_id: str) -> str:
        job = self._schedule.jobs.get(job_id)
        if job is not None:
            return job.spec.team
        team = self._takeover.find_team(job_id)
        return UNKNOWN_TEAM if team is None else team

    def _is_urgent(self, step: StepRun | None) -> bool:
        queue = None if step is None else self._schedule.find_queue(step.job)
        return queue is not None and queue.is_urgent

    def _check_unlisted_run(
        self, upstream: Upstream, run: Run, report: UpstreamReport, now: float
    ) -> None:
        """Drop or stop a run that a report of its upstream does not list."""
        if run.phase is RunPhase.ORDERED or run.phase_since_s >= report.requested_s:
            return
        if not report.is_complete:
            # Its end may be one of those that are listed once others are acknowledged.
            return
        if run.phase is RunPhase.RUNNING:
            self._lose_run(upstream, run, now)
            return
        if run.stop_confirmed_s is None:
            # The start order may still be in transit; a stop prevents the start.
            if run.stop_requested_s is None:
                self._schedule.stop_run(run, now, "the start was not answered")
        elif run.stop_confirmed_s < report.requested_s:
            step = self._schedule.find_step(run.task)
            if step is not None:
                # Its next attempts there may get no answer either.
                avoided = step.avoided_upstreams.setdefault(run.task.number, set())
                avoided.add(run.upstream_id)
            self._lose_run(upstream, run, now)

    def _process_end(self, upstream: Upstream, ended: EndedRun, now: float) -> None:
        self._schedule.unanswered_starts.settle_run(ended.task, ended.attempt)
        run = upstream.runs.get((ended.task, ended.attempt))
        if run is not None:
            upstream.remove(run)
        self._schedule.needs_placement = True
        step = self._schedule.find_step(ended.task)
        index = ended.task.number
        if step is None or index >= step.spec.count:
            return
        step.record_attempt(index, ended.attempt)
        if ended.checkpoint and index not in step.done:
            step.checkpoints[index] = ended.checkpoint
        is_live = run is not None and step.live.get(index) is run
        is_saved = ended.end is RunEnd.STOPPED and bool(ended.checkpoint)
        if (
            run is not None
            and is_live
            and ended.end is not RunEnd.DONE
            and not is_saved
        ):
            step.wait.record_lost_run(run.started_s, now)
        if ended.end is RunEnd.DONE:
            self._learn_run_time(upstream, run, step, now)
            if run is not None and is_live:
                self._schedule.record_run_delays(step, run, now)
            self._process_done(step, ended, now)
        elif ended.end is RunEnd.FAILED:
            self._process_failure(upstream, step, ended, now)
        if is_live:
            step.requeue(index)
            self._schedule.stop_other_members(step, index, ended.end, now)
        self._schedule.update_ready_step(step)

    def _learn_run_time(
        self, upstream: Upstream, run: Run | None, step: StepRun, now: float
    ) -> None:
        if run is None or run.is_unwanted or step.spec.is_long_running:
            return
        self._schedule.run_times.record_done(upstream, run, step, now)

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
                self._schedule.stop_run(live, now, "the task is done")
        self._schedule.commits.mark_dirty(job.job_id)
        if job.is_final:
            return
        occurrence = step.step_id.occurrence
        if job.is_occurrence_done(occurrence):
            self._schedule.close_occurrence(job, occurrence, now)
        elif step.is_done:
            self._schedule.add_dependent_steps(step)
        if job.is_finished():
            self._schedule.finish_job(job, JobState.COMPLETE, now)

    def _process_failure(
        self, upstream: Upstream, step: StepRun, ended: EndedRun, now: float
    ) -> None:
        index = ended.task.number
        gang = step.step_id if step.spec.is_gang else None
        if self._count_failure(upstream, now, gang=gang):
            LOG.warning(
                "dispatch: upstream %s set aside after %d failed runs",
                upstream.upstream_id,
                upstream.failures_in_row,
            )
        step.avoided_upstreams.setdefault(index, set()).add(upstream.upstream_id)
        attempts = step.failed.setdefault(index, [])
        if ended.attempt in attempts:
            return
        if step.spec.is_long_running:
            # Its attempts have no limit; the last one tells whether an end is new.
            attempts.clear()
        attempts.append(ended.attempt)
        job = step.job
        self._schedule.commits.mark_dirty(job.job_id)
        self._schedule.record_failure(step)
        if self._schedule.has_failed(step, index):
            self._schedule.finish_job(job, JobState.FAILED, now)

    def _count_failure(
        self, upstream: Upstream, now: float, *, gang: StepId | None = None
    ) -> bool:
        """Count a failure of an upstream; return whether it sets the upstream aside."""
        if not self._schedule.settings.sets_upstreams_aside:
            return False
        return upstream.record_failure(now, gang=gang)

    def _lose_run(self, upstream: Upstream, run: Run, now: float) -> None:
        """Drop a run that its upstream neither runs nor lists as ended."""
        has_restarted = run.incarnation != upstream.incarnation
        cause = LossCause.RESTARTED if has_restarted else LossCause.NOT_LISTED
        if has_restarted:
            self._doubt_run(run, now)
        self._schedule.record_loss(run, cause, now)
        self._schedule.drop_run(upstream, run, RunEnd.LOST, now)

    def _lose_contact(self, upstream: Upstream, now: float) -> None:
        if not upstream.is_reachable:
            return
        upstream.is_reachable = False
        # What runs on a draining upstream ends with it, which is no crash.
        if not upstream.entry.is_draining:
            self.crash_tracker.record_loss(upstream, now)
            self._schedule.commits.record_suspicion(
                self.crash_tracker.doubt_runs(upstream, now)
            )
        if any(later.is_reachable for later in self._list_at_address(upstream)):
            self.count_crashes(upstream.upstream_id, now, present=None)

    def _record_run(self, run: Run, now: float, *, is_adopted: bool = False) -> None:
        """Have it stored where a task runs that may have crashed upstreams before.

        Runs that a new decider adopts have lasted until then. They are not stored, as
        there may be 100,000 of them, except those of suspects.
        """
        step = self._schedule.find_step(run.task)
        index = run.task.number
        if step is None or step.live.get(index) is not run:
            return
        is_restored = not is_adopted and now < step.job.record_runs_until_s
        if is_restored or index in step.suspects:
            step.recorded_runs.add(index)
            self._schedule.commits.mark_dirty(step.job.job_id)

    def _doubt_run(self, run: Run, now: float) -> None:
        if self.crash_tracker.doubt(run, now):
            self._schedule.commits.record_suspicion({run.task.job_id})

    def _list_at_address(self, upstream: Upstream) -> list[Upstream]:
        """Return the other upstreams at an address, which excludes that both live."""
        address = upstream.entry.address
        return [
            other
            for other in self._schedule.upstreams.values()
            if other is not upstream and other.entry.address == address
        ]
