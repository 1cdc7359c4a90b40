"""Crashes of upstreams under tasks, and which task is to blame for them.

An upstream that crashes lists no ends. All that is known is which runs it had when it
was last heard of, and that it has begun a new incarnation since, or that another
upstream answers at its address. A task that crashes every upstream that starts it looks
at first like its neighbours, so no task is blamed for one crash: the tasks are started
again apart from each other, and the one under which upstreams go on crashing is given
up.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from papayadyke_core.dispatch._job import StepRun
from papayadyke_core.dispatch._progress import LostContact
from papayadyke_core.dispatch._run import Run, RunPhase
from papayadyke_core.dispatch._settings import DispatchSettings
from papayadyke_core.dispatch._spec import TaskId
from papayadyke_core.dispatch._upstream import Upstream

# Seconds between two losses of contact that may have one cause, such as a rack that
# lost power; a silent crash is noticed when a poll has timed out.
COMMON_CAUSE_S = 2.0
# Crashes under a task that was certainly running, before it is given up.
MIN_CERTAIN_CRASHES = 2


@dataclass(frozen=True, slots=True)
class _Loss:
    """Loss of contact with an upstream.

    Parameters
    ----------
    at_s : float
    job_ids : set of str
        Jobs that it ran tasks of.
    had_prime_suspect : bool
    """

    at_s: float
    job_ids: set[str]
    had_prime_suspect: bool


@dataclass(frozen=True, slots=True)
class TaskCrash:
    """A crash of an upstream that counts against a task that it ran.

    Parameters
    ----------
    upstream_id : str
    task : TaskId
    crashes : int
        Crashes that count against the task so far.
    is_alone : bool
        Whether the upstream ran tasks of no other job.
    is_given_up : bool
        Whether the task is not started again.
    """

    upstream_id: str
    task: TaskId
    crashes: int
    is_alone: bool
    is_given_up: bool


class CrashTracker:
    """Count the crashes of upstreams against the tasks that they ran.

    Contact with an upstream is lost first, and whether it crashed is known only from
    its next report. Until then its runs are doubtful. Doubts are part of the stored
    progress, so that a decider that takes over in between counts the crash as well.

    Parameters
    ----------
    settings : DispatchSettings
    find_step : callable
        Returns the step of a task, or None if its job is unknown.
    """

    def __init__(
        self,
        settings: DispatchSettings,
        *,
        find_step: Callable[[TaskId], StepRun | None],
    ) -> None:
        self._settings = settings
        self._find_step = find_step
        self._doubted_tasks: dict[str, set[TaskId]] = {}
        # The last loss of each upstream.
        self._losses: dict[str, _Loss] = {}

    def restore(self, step: StepRun) -> None:
        """Restore the doubts of a step that an earlier decider stored."""
        for index, doubts in step.doubts.items():
            for doubt in doubts:
                tasks = self._doubted_tasks.setdefault(doubt.upstream_id, set())
                tasks.add(step.task_id(index))

    def record_loss(self, upstream: Upstream, now: float) -> None:
        """Record that an upstream was lost, or that it has restarted unnoticed."""
        runs = upstream.runs.values()
        self._losses[upstream.upstream_id] = _Loss(
            now,
            {run.task.job_id for run in runs},
            any(run.is_prime_suspect for run in runs),
        )

    def doubt_runs(self, upstream: Upstream, now: float) -> set[str]:
        """Doubt the runs of an upstream that no longer answers; return their jobs."""
        runs = upstream.runs.values()
        return {run.task.job_id for run in runs if self.doubt(run, now)}

    def doubt(self, run: Run, now: float) -> bool:
        """Doubt a run whose upstream may have crashed; return whether that is new."""
        step = self._find_step(run.task)
        if (
            step is None
            or run.incarnation is None
            or run.is_unwanted
            or run.phase is RunPhase.ORDERED
            or now - run.started_s > self._settings.suspect_s
        ):
            return False
        doubt = LostContact(
            run.upstream_id, run.incarnation, run.phase is RunPhase.RUNNING
        )
        if not step.add_doubt(run.task.number, doubt):
            return False
        self._doubted_tasks.setdefault(run.upstream_id, set()).add(run.task)
        return True

    def resolve(
        self, upstream_id: str, *, present: int | None, is_certain: bool = True
    ) -> tuple[list[TaskCrash], set[str]]:
        """Settle the doubts about an upstream.

        Parameters
        ----------
        upstream_id : str
        present : int or None
            Incarnation that has reported; None if the upstream is gone.
        is_certain : bool, default=True
            Whether an upstream that is gone is known to have crashed.

        Returns
        -------
        crashes : list of TaskCrash
        job_ids : set of str
            Jobs whose doubts or crashes have changed.
        """
        tasks = self._doubted_tasks.pop(upstream_id, None)
        if not tasks:
            return [], set()
        crashed: list[tuple[StepRun, TaskId]] = []
        job_ids = set()
        for task in sorted(tasks):
            step = self._find_step(task)
            if step is None:
                continue
            for doubt in step.take_doubts(task.number, upstream_id):
                job_ids.add(task.job_id)
                if doubt.incarnation != present:
                    crash = LostContact(
                        upstream_id, doubt.incarnation, doubt.is_certain and is_certain
                    )
                    step.crashes.setdefault(task.number, []).append(crash)
                    crashed.append((step, task))
        # Tasks of one job share its fate, so it does not matter which of them it was.
        is_alone = len({task.job_id for _, task in crashed}) == 1
        crashes = [
            TaskCrash(
                upstream_id,
                task,
                step.count_crashes(task.number),
                is_alone,
                self._is_to_blame(step, task.number, is_alone=is_alone),
            )
            for step, task in crashed
        ]
        return crashes, job_ids

    def list_doubted_upstreams(self) -> list[str]:
        """Return the ids of the upstreams that may have crashed under tasks."""
        return list(self._doubted_tasks)

    def forget_loss(self, upstream_id: str) -> None:
        """Forget when an upstream that is gone was lost."""
        self._losses.pop(upstream_id, None)

    def _is_to_blame(self, step: StepRun, index: int, *, is_alone: bool) -> bool:
        """Return whether a task is given up after a crash.

        Two crashes are enough if the task was certainly running both times and nothing
        else explains the last one.
        """
        crashes = step.crashes[index]
        if len(crashes) >= self._settings.max_crashes:
            return True
        certain = sum(crash.is_certain for crash in crashes)
        return (
            certain >= MIN_CERTAIN_CRASHES
            and is_alone
            and not self._has_common_cause(crashes[-1].upstream_id, step.job.job_id)
        )

    def _has_common_cause(self, upstream_id: str, job_id: str) -> bool:
        """Return whether others were lost at about the time of an upstream.

        Those that ran the same job, or had a prime suspect, do not count. If an earlier
        decider saw the loss, nothing is known of the others.
        """
        loss = self._losses.get(upstream_id)
        if loss is None:
            return True
        return any(
            abs(other.at_s - loss.at_s) <= COMMON_CAUSE_S
            and job_id not in other.job_ids
            and not other.had_prime_suspect
            for other in self._losses.values()
            if other is not loss
        )
