"""A staged job: its steps, their progress, and which tasks may start."""

from __future__ import annotations

from collections.abc import Mapping

from papayadyke_core.dispatch._delays import JobDelays, StepWait
from papayadyke_core.dispatch._index_set import IndexSet
from papayadyke_core.dispatch._progress import (
    FINAL_STATES,
    MAX_FAILED_TASKS,
    JobProgress,
    JobState,
    LostContact,
    StepProgress,
    group_failed,
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
from papayadyke_core.dispatch._unanswered import UnansweredStarts


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
        self.done = IndexSet()
        self.waiting = IndexSet(0, self.spec.count)
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
        # Since when room that is kept for others keeps it from starting, and when that
        # was last found.
        self.kept_out_since_s = self.kept_out_seen_s = 0.0
        self.next_kept_out_look_s = 0.0
        # When upstreams may be looked for that are to be kept for it.
        self.next_reservation_s = 0.0
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
        """Record that an attempt number has been used; a done task needs no other."""
        if index in self.done:
            return
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
        self._forget_runs(index)
        self.job.invalidate_estimates()
        if self.is_done:
            self.job.record_step_done(self.step_id.occurrence)
        return True

    def _forget_runs(self, index: int) -> None:
        """Drop what only a further run of a task would need."""
        self.attempts.pop(index, None)
        self.failed.pop(index, None)
        self.checkpoints.pop(index, None)
        self.avoided_upstreams.pop(index, None)
        self.waiting_alone_s.pop(index, None)
        self.kept_free.pop(index, None)

    def requeue(self, index: int) -> None:
        """Drop the live run of a task and, unless it is done, let it wait again."""
        self.live.pop(index, None)
        self.recorded_runs.discard(index)
        if index not in self.done:
            self.waiting.add(index)

    def snapshot_progress(
        self, checkpoints: Mapping[int, str] | None = None
    ) -> StepProgress | None:
        """Return the progress to store, or None if there is none yet.

        Parameters
        ----------
        checkpoints : mapping of int to str, optional
            Checkpoints to store, by the number of the task; by default all.
        """
        if checkpoints is None:
            checkpoints = self.checkpoints
        runs = {
            index: LostContact(run.upstream_id, run.incarnation)
            for index in sorted(self.recorded_runs)
            if (run := self.live.get(index)) is not None and run.incarnation is not None
        }
        unanswered = {}
        if self.job.unanswered_starts is not None:
            unanswered = self.job.unanswered_starts.list_stored(self.step_id)
        if not (
            self.done
            or self.failed
            or checkpoints
            or self.crashes
            or self.doubts
            or runs
            or unanswered
        ):
            return None
        is_grouped = len(self.failed) > MAX_FAILED_TASKS
        return StepProgress(
            self.done.list_rows(),
            {} if is_grouped else dict(self.failed),
            dict(checkpoints),
            dict(self.crashes),
            dict(self.doubts),
            runs,
            unanswered,
            group_failed(self.failed) if is_grouped else [],
        )

    def restore_progress(self, progress: StepProgress) -> None:
        """Restore the progress that an earlier decider stored."""
        valid = range(self.spec.count)
        self.done = IndexSet.from_rows(progress.done, self.spec.count)
        for index in self.done:
            self.waiting.discard(index)
        if self.is_done:
            self.job.record_step_done(self.step_id.occurrence)
        self.job.invalidate_estimates()
        self.failed = {
            i: n
            for i, n in progress.read_failed(self.spec.count).items()
            if i in valid and i not in self.done
        }
        self.checkpoints = {
            i: text
            for i, text in progress.checkpoints.items()
            if i in valid and i not in self.done
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
        self.unanswered_starts: UnansweredStarts | None = None
        self._cached_estimates: JobEstimates | None = None
        # Whether an earlier decider may have started it, so that it is not started
        # before the runs and ends of all upstreams are known.
        self.is_held_over = False
        # Before this time it is stored where its tasks run.
        self.record_runs_until_s = 0.0
        # Whether checkpoints have been left out of its stored progress.
        self.lacks_checkpoints = False
        # Steps that depend on each step.
        self._dependents: list[list[int]] = [[] for _ in spec.steps]
        for number, step in enumerate(spec.steps):
            for earlier in set(step.after):
                self._dependents[earlier].append(number)
        # Steps of the open occurrences, by occurrence and number.
        self.steps: dict[tuple[int, int], StepRun] = {}
        repeat = spec.repeat
        self.occurrences = 1 if repeat is None else repeat.count
        self._undone_steps: dict[int, int] = {}  # steps by open occurrence
        self.done_occurrences = IndexSet()
        # Occurrences from the first one whose due time has come.
        self.due_count = 0
        self._next_unopened = 0
        if repeat is None:
            self.due_count = 1
            self.open_occurrence(0)

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

    def count_due(self, wall_s: float) -> int:
        """Return how many occurrences are due at a wall-clock time, in seconds."""
        repeat = self.spec.repeat
        if repeat is None:
            return self.occurrences
        if wall_s < repeat.first_due_s:
            return 0
        if repeat.interval_s <= 0:
            return self.occurrences
        passed = (wall_s - repeat.first_due_s) / repeat.interval_s
        count = int(min(passed, self.occurrences)) + 1
        count = min(count, self.occurrences)
        # Rounding must not let an occurrence start early.
        while count and repeat.first_due_s + (count - 1) * repeat.interval_s > wall_s:
            count -= 1
        return count

    def is_known(self, occurrence: int, number: int) -> bool:
        """Return whether the job has a step of an occurrence, open or not."""
        return 0 <= occurrence < self.occurrences and 0 <= number < len(self.spec.steps)

    def open_occurrence(self, occurrence: int) -> None:
        """Hold the state of the tasks of an occurrence from now on."""
        for number in range(len(self.spec.steps)):
            self.steps[occurrence, number] = StepRun(self, occurrence, number)
        self._undone_steps[occurrence] = len(self.spec.steps)
        self.invalidate_estimates()

    def record_step_done(self, occurrence: int) -> None:
        """Record that all tasks of a step of an open occurrence are done."""
        self._undone_steps[occurrence] -= 1

    def close_occurrence(self, occurrence: int) -> list[StepRun]:
        """Drop the state of an occurrence that is done; return its steps."""
        self.done_occurrences.add(occurrence)
        del self._undone_steps[occurrence]
        self.invalidate_estimates()
        numbers = range(len(self.spec.steps))
        return [self.steps.pop((occurrence, number)) for number in numbers]

    def is_open(self, occurrence: int) -> bool:
        """Return whether the state of the tasks of an occurrence is held."""
        return (occurrence, 0) in self.steps

    def list_open_occurrences(self) -> list[int]:
        """Return the open occurrences, in the order in which they were opened."""
        return [occurrence for occurrence, number in self.steps if number == 0]

    def find_next_due(self) -> int | None:
        """Return the first occurrence that is due and neither open nor done."""
        occurrence = self._next_unopened
        while occurrence < self.due_count:
            if self.is_open(occurrence):
                occurrence += 1
            elif occurrence in self.done_occurrences:
                occurrence = self.done_occurrences.find_missing(occurrence)
            else:
                break
        # All before it are open or done, and never become unopened again.
        self._next_unopened = occurrence
        return occurrence if occurrence < self.due_count else None

    def list_steps(self, occurrence: int) -> list[StepRun]:
        """Return the steps of an open occurrence."""
        return [self.steps[occurrence, n] for n in range(len(self.spec.steps))]

    def list_dependents(self, step: StepRun) -> list[StepRun]:
        """Return the steps of the same occurrence that depend on a step."""
        occurrence, number = step.step_id.occurrence, step.step_id.step
        return [self.steps[occurrence, n] for n in self._dependents[number]]

    def is_ready(self, step: StepRun) -> bool:
        """Return whether a step is due and all steps that it depends on are done."""
        occurrence = step.step_id.occurrence
        if occurrence >= self.due_count or not self.is_open(occurrence):
            return False
        return all(self.steps[occurrence, n].is_done for n in step.spec.after)

    def is_occurrence_done(self, occurrence: int) -> bool:
        """Return whether every task of an occurrence is done."""
        if occurrence in self.done_occurrences:
            return True
        return self._undone_steps.get(occurrence) == 0

    def drop_steps(self) -> None:
        """Drop the state of all tasks once the job has ended."""
        self.steps.clear()
        self._undone_steps.clear()

    def is_finished(self) -> bool:
        """Return whether every task of every occurrence is done."""
        return len(self.done_occurrences) == self.occurrences

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

    def snapshot_progress(
        self, checkpoints: Mapping[tuple[int, int], Mapping[int, str]] | None = None
    ) -> JobProgress:
        """Return the progress to store.

        Parameters
        ----------
        checkpoints : mapping of (int, int) to mapping of int to str, optional
            Checkpoints to store, by occurrence and step; by default all.
        """
        if self.is_final:
            return JobProgress(self.state, self.ended_s, team=self.spec.team)

        def chosen(step: StepRun) -> Mapping[int, str] | None:
            key = step.step_id.occurrence, step.step_id.step
            return None if checkpoints is None else checkpoints.get(key, {})

        steps = {
            f"{occurrence}.{number}": progress
            for (occurrence, number), step in self.steps.items()
            if (progress := step.snapshot_progress(chosen(step))) is not None
        }
        rows = self.done_occurrences.list_rows()
        return JobProgress(self.state, 0.0, steps, self.spec.team, rows)

    def has_runs(self) -> bool:
        """Return whether any task of the job may run."""
        return any(step.live for step in self.steps.values())

    def restore_progress(self, progress: JobProgress) -> None:
        """Restore the progress that an earlier decider stored."""
        self.state = self.stored_state = progress.state
        self.ended_s = progress.ended_s
        self.done_occurrences = IndexSet.from_rows(
            progress.done_occurrences, self.occurrences
        )
        for name, stored in progress.steps.items():
            occurrence, number = (int(text) for text in name.split("."))
            if not self.is_known(occurrence, number):
                continue
            if occurrence in self.done_occurrences:
                continue
            if not self.is_open(occurrence):
                self.open_occurrence(occurrence)
            self.steps[occurrence, number].restore_progress(stored)
            # Records of earlier versions list the steps of occurrences that are done.
            if self.has_due_times and self.is_occurrence_done(occurrence):
                self.close_occurrence(occurrence)
