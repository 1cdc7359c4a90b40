"""A staged job: its steps, their progress, and which tasks may start."""

from __future__ import annotations

from papayadyke_core.dispatch._delays import JobDelays, StepWait
from papayadyke_core.dispatch._progress import (
    FINAL_STATES,
    JobProgress,
    JobState,
    LostContact,
    StepProgress,
)
from papayadyke_core.dispatch._remaining import JobEstimates, estimate_job
from papayadyke_core.dispatch._run import Run
from papayadyke_core.dispatch._run_times import RunTimeModel
from papayadyke_core.dispatch._spec import (
    StagedJobSpec,
    StepId,
    StepSpec,
    TaskId,
)
from papayadyke_core.dispatch._time_samples import JobTimes


class StepRun:
    """One step of one occurrence, with the state of each of its tasks.

    Parameters
    ----------
    job : StagedJob
    occurrence, number : int
        Occurrence of the job, and position of the step within it.
    """

    def __init__(self, job: StagedJob, occurrence: int, number: int) -> None:
        self.job = job
        self.spec: StepSpec = job.spec.steps[number]
        self.step_id = StepId(job.spec.job_id, occurrence, number)
        self.done: set[int] = set()
        self.waiting: set[int] = set(range(self.spec.count))
        self.live: dict[int, Run] = {}
        self.failed: dict[int, list[int]] = {}
        self.checkpoints: dict[int, str] = {}
        self.attempts: dict[int, int] = {}
        self.avoided_upstreams: dict[int, set[str]] = {}
        self.crashes: dict[int, list[LostContact]] = {}
        # Upstreams that may have crashed under a run of the task.
        self.doubts: dict[int, list[LostContact]] = {}
        # Tasks of which it is stored where they run.
        self.recorded_runs: set[int] = set()
        # When each prime suspect began to wait for an idle upstream, and which one is
        # kept free for it.
        self.waiting_alone_s: dict[int, float] = {}
        self.kept_free: dict[int, str] = {}
        self.wait = StepWait(job.delays)

    @property
    def is_done(self) -> bool:
        """Whether every task is done."""
        return len(self.done) == self.spec.count

    @property
    def suspects(self) -> set[int]:
        """Tasks under which upstreams have crashed, or may have."""
        return self.crashes.keys() | self.doubts.keys()

    def task_id(self, index: int) -> TaskId:
        """Return the id of the task at an index of this step."""
        return TaskId(*self.step_id, index)

    def next_attempt(self, index: int, floor: int) -> int:
        """Return an attempt number above all earlier ones and above `floor`."""
        if self.spec.is_gang:
            last_attempt = max(self.attempts.values(), default=0)
        else:
            last_attempt = self.attempts.get(index, 0)
        return max(last_attempt, floor) + 1

    def record_attempt(self, index: int, attempt: int) -> None:
        """Record that an attempt number has been used."""
        self.attempts[index] = max(self.attempts.get(index, 0), attempt)

    def count_failures(self, index: int) -> int:
        """Return the number of failed runs of a task, or of the whole gang."""
        if self.spec.is_gang:
            return len({n for attempts in self.failed.values() for n in attempts})
        return len(self.failed.get(index, ()))

    def count_crashes(self, index: int) -> int:
        """Return the number of crashes that count against a task."""
        return len(self.crashes.get(index, ()))

    def add_doubt(self, index: int, doubt: LostContact) -> bool:
        """Record that an upstream may have crashed; return whether that is new."""
        if index in self.done:
            return False
        known = (*self.crashes.get(index, ()), *self.doubts.get(index, ()))
        life = doubt.upstream_id, doubt.incarnation
        if any((other.upstream_id, other.incarnation) == life for other in known):
            return False
        self.doubts.setdefault(index, []).append(doubt)
        return True

    def take_doubts(self, index: int, upstream_id: str) -> list[LostContact]:
        """Remove and return the doubts of a task about an upstream."""
        doubts = self.doubts.pop(index, [])
        taken = [doubt for doubt in doubts if doubt.upstream_id == upstream_id]
        if len(taken) < len(doubts):
            self.doubts[index] = [d for d in doubts if d.upstream_id != upstream_id]
        return taken

    def confirm_run(
        self, index: int, upstream_id: str, incarnation: int | None
    ) -> None:
        """Withdraw the doubt about a stored run that its upstream still lists."""
        life = upstream_id, incarnation
        doubts = self.doubts.pop(index, [])
        kept = [d for d in doubts if (d.upstream_id, d.incarnation) != life]
        if kept:
            self.doubts[index] = kept
        if len(kept) < len(doubts):
            # It remains stored until the run has lasted.
            self.recorded_runs.add(index)

    def withdraw_doubt(self, index: int, upstream_id: str) -> None:
        """Drop a doubt of an unanswered start that has not crashed the upstream."""
        doubts = self.take_doubts(index, upstream_id)
        kept = [doubt for doubt in doubts if doubt.is_certain]
        if kept:
            self.doubts.setdefault(index, []).extend(kept)

    def count_losses(self, index: int) -> int:
        """Return the number of upstreams that crashed or may have, under a task."""
        return self.count_crashes(index) + len(self.doubts.get(index, ()))

    def clear_suspicion(self, index: int) -> bool:
        """Forget crashes, doubts and the stored run of a task; return if any were."""
        had_crashes = self.crashes.pop(index, None) is not None
        had_doubts = self.doubts.pop(index, None) is not None
        was_recorded = index in self.recorded_runs
        self.recorded_runs.discard(index)
        return had_crashes or had_doubts or was_recorded

    def mark_done(self, index: int) -> bool:
        """Mark a task as done; return whether it was not done before.

        A long-running task is never done: it drops its checkpoint and starts again.
        """
        if index in self.done:
            return False
        if self.spec.is_long_running:
            self.checkpoints.pop(index, None)
            return False
        self.done.add(index)
        self.clear_suspicion(index)
        self.waiting.discard(index)
        self.job.invalidate_estimates()
        return True

    def requeue(self, index: int) -> None:
        """Drop the live run of a task and, unless it is done, let it wait again."""
        self.live.pop(index, None)
        self.recorded_runs.discard(index)
        if index not in self.done:
            self.waiting.add(index)

    def snapshot_progress(self) -> StepProgress | None:
        """Return the progress to store, or None if there is none yet."""
        runs = {
            index: LostContact(run.upstream_id, run.incarnation)
            for index in sorted(self.recorded_runs)
            if (run := self.live.get(index)) is not None and run.incarnation is not None
        }
        if not (
            self.done
            or self.failed
            or self.checkpoints
            or self.crashes
            or self.doubts
            or runs
        ):
            return None
        return StepProgress(
            sorted(self.done),
            dict(self.failed),
            dict(self.checkpoints),
            dict(self.crashes),
            dict(self.doubts),
            runs,
        )

    def restore_progress(self, progress: StepProgress) -> None:
        """Restore the progress that an earlier decider stored."""
        valid = range(self.spec.count)
        self.done = {index for index in progress.done if index in valid}
        self.waiting -= self.done
        self.job.invalidate_estimates()
        self.failed = {i: list(n) for i, n in progress.failed.items() if i in valid}
        self.checkpoints = {
            i: text for i, text in progress.checkpoints.items() if i in valid
        }
        self.crashes = {i: rows for i, rows in progress.crashes.items() if i in valid}
        self.doubts = {i: rows for i, rows in progress.doubts.items() if i in valid}
        for index, run in progress.runs.items():
            if index in valid:
                self.add_doubt(index, run)
        for index, attempts in self.failed.items():
            self.record_attempt(index, max(attempts))


class StagedJob:
    """An accepted job.

    Parameters
    ----------
    spec : StagedJobSpec
    now : float
        Current time on the dispatcher's clock, in seconds.
    age_s : float
        Time since the job was accepted, in seconds.
    """

    def __init__(self, spec: StagedJobSpec, *, now: float, age_s: float = 0.0) -> None:
        self.spec = spec
        self.accepted_at_s = now - age_s
        self.state = JobState.QUEUED
        self.stored_state = JobState.QUEUED
        self.ended_s = 0.0
        self.delays = JobDelays()
        # When its end was decided, on the dispatcher's clock, and its objective as
        # known then; None before.
        self.finished_at_s: float | None = None
        self.objective_s: float | None = None
        self.times = JobTimes()
        self.run_times: RunTimeModel | None = None  # None for declared estimates
        self._cached_estimates: JobEstimates | None = None
        # Before this time a run that an earlier decider started may be unreported,
        # so the job is not started.
        self.hold_until_s = 0.0
        # Before this time it is stored where its tasks run.
        self.record_runs_until_s = 0.0
        self.steps: dict[tuple[int, int], StepRun] = {}
        repeat = spec.repeat
        self.occurrences = 1 if repeat is None else repeat.count
        for occurrence in range(self.occurrences):
            for number in range(len(spec.steps)):
                self.steps[occurrence, number] = StepRun(self, occurrence, number)

    @property
    def job_id(self) -> str:
        """Id of the job."""
        return self.spec.job_id

    @property
    def is_final(self) -> bool:
        """Whether the job has ended, so that none of its tasks may start."""
        return self.state in FINAL_STATES

    @property
    def is_long_running(self) -> bool:
        """Whether the job runs until it is cancelled."""
        return any(step.is_long_running for step in self.spec.steps)

    @property
    def has_due_times(self) -> bool:
        """Whether the occurrences of the job are due at given times."""
        return self.spec.repeat is not None

    def due_wall_s(self, occurrence: int) -> float | None:
        """Return the wall-clock due time of an occurrence; None if due at once."""
        repeat = self.spec.repeat
        if repeat is None:
            return None
        return repeat.first_due_s + occurrence * repeat.interval_s

    def is_ready(self, step: StepRun) -> bool:
        """Return whether all steps that a step depends on are done."""
        occurrence = step.step_id.occurrence
        return all(self.steps[occurrence, n].is_done for n in step.spec.after)

    def is_finished(self) -> bool:
        """Return whether every task of every occurrence is done."""
        return all(step.is_done for step in self.steps.values())

    @property
    def total_estimate_s(self) -> float:
        """Estimated run time of one task of each step in all, in seconds.

        This and the remaining estimates are in declared terms: they are to be
        multiplied by the queue's learned ratio of run time to estimate.
        """
        return self._get_estimates().total_s

    def remaining_critical_path_s(self) -> float:
        """Return the estimated length of the remaining critical path, in seconds."""
        return self._get_estimates().critical_path_s

    def remaining_work_core_s(self) -> float:
        """Return the estimated remaining work, in core-seconds."""
        return self._get_estimates().work_core_s

    def invalidate_estimates(self) -> None:
        """Discard the cached estimates after a change of progress."""
        self._cached_estimates = None

    def _get_estimates(self) -> JobEstimates:
        cached = self._cached_estimates
        run_times = self.run_times
        if cached is None or (
            run_times is not None and run_times.now_s >= cached.valid_until_s
        ):
            cached = self._cached_estimates = estimate_job(self, run_times)
        return cached

    def snapshot_progress(self) -> JobProgress:
        """Return the progress to store."""
        if self.is_final:
            return JobProgress(self.state, self.ended_s, team=self.spec.team)
        steps = {
            f"{occurrence}.{number}": progress
            for (occurrence, number), step in self.steps.items()
            if (progress := step.snapshot_progress()) is not None
        }
        return JobProgress(self.state, 0.0, steps, self.spec.team)

    def restore_progress(self, progress: JobProgress) -> None:
        """Restore the progress that an earlier decider stored."""
        self.state = self.stored_state = progress.state
        self.ended_s = progress.ended_s
        for name, stored in progress.steps.items():
            occurrence, _, number = name.partition(".")
            step = self.steps.get((int(occurrence), int(number)))
            if step is not None:
                step.restore_progress(stored)
