"""A job: its tasks, their attempts and outcomes, cancellation and recovery."""

from __future__ import annotations

from papayadyke_core.jobs._gang import judge_gang
from papayadyke_core.jobs._outcome import Again, Final, judge, stopped
from papayadyke_core.jobs._task import Live, Task, check, first_attempt
from papayadyke_core.jobs._types import (
    Authorization,
    Permission,
    TaskDone,
    TaskOrder,
    TaskResult,
    TaskSpec,
    UnresolvedTask,
    task_id_of,
)
from papayadyke_core.journal import (
    Entry,
    JobAccepted,
    JobCancelled,
    TaskEnded,
    TaskIntended,
)
from papayadyke_core.verdicts import Reason

_REFUSED_NOW = Authorization(Permission.NEVER)
_WITH_SCHEDULER = (Live.ORDERED, Live.INTENDED, Live.STARTED)


class Job:
    """An accepted job. All times are log times of its partition, in seconds.

    Parameters
    ----------
    accepted : JobAccepted
    at_s : float
        When it was accepted.
    epoch : int, default=0
        Of the partition's owner.

    Notes
    -----
    An attempt that must not run twice is started only after its intent is in
    the log, so a successor knows of each such attempt that may run. The first
    attempt of an idempotent task needs none while the VM knows that it owned the
    partition a short time ago: its acceptance stands for it, and a successor counts
    it as one that may run anywhere, or may yet be started. A new attempt begins only
    once the earlier one has certainly ended. An outcome is told only when it is
    in the log, and never changes.
    """

    def __init__(self, accepted: JobAccepted, at_s: float, *, epoch: int = 0) -> None:
        self.accepted = accepted
        self.epoch = epoch
        self.at_s = at_s
        self.cancelled = False
        self.tasks = [Task(index) for index in range(len(accepted.payloads))]
        self.ended_at_s: float | None = None
        self._orders = 0

    @property
    def id(self) -> str:
        """The id of the job."""
        return self.accepted.job_id

    @property
    def deadline_s(self) -> float:
        """Time past which nothing more is started."""
        return self.at_s + self.accepted.deadline_s

    @property
    def is_over(self) -> bool:
        """Whether every task has its outcome in the log."""
        return all(task.outcome is not None for task in self.tasks)

    def apply(self, entry: Entry, at_s: float) -> None:
        """Take in an entry of this job that is in the log, at its log time."""
        if isinstance(entry, JobCancelled):
            self.cancelled = True
        elif isinstance(entry, TaskIntended):
            task = self.tasks[entry.index]
            check(entry.attempt >= task.logged_attempt, "attempts out of order")
            task.logged_attempt = entry.attempt
            task.logged_starts += 1
            task.upstream = entry.upstream
        elif isinstance(entry, TaskEnded):
            task = self.tasks[entry.index]
            check(task.outcome in (None, entry), "an outcome changed")
            task.outcome = entry
            if self.is_over:
                self.ended_at_s = at_s
                self.accepted = self.accepted.without_payloads()

    def mark_recovered(self, now_s: float) -> None:
        """Count each attempt that an earlier owner may have started."""
        for task in self.tasks:
            if task.outcome is not None:
                continue
            logged = task.logged_attempt
            if logged == 0 and not self.accepted.idempotent:
                continue
            task.attempt = logged or first_attempt(self.accepted.epoch)
            task.starts = max(1, task.logged_starts)
            task.failures = task.starts - 1
            task.live = Live.UNRESOLVED
            task.unresolved_since_s = now_s

    def cancel(self) -> JobCancelled | None:
        """Return the entry that cancels the job, or None where there is nothing."""
        if self.cancelled or self.is_over:
            return None
        return JobCancelled(self.id)

    def order(self, now_s: float, monotonic_s: float, room: int) -> list[TaskOrder]:
        """Begin attempts and return them as orders.

        Parameters
        ----------
        now_s : float
            Log time.
        monotonic_s : float
            The same moment on the monotonic clock, in which deadlines are given.
        room : int
            Tasks that may be ordered now.
        """
        if self._stop_reason(now_s) is not None:
            return []
        ready = [task for task in self.tasks if _is_ready(task, now_s)]
        deadline_s = monotonic_s + self.deadline_s - now_s
        if self.accepted.gang:
            if len(ready) < len(self.tasks):
                return []
            return [self._order(ready, deadline_s)]
        return [self._order([task], deadline_s) for task in ready[: max(0, room)]]

    def _order(self, tasks: list[Task], deadline_s: float) -> TaskOrder:
        for task in tasks:
            task.begin_attempt(self.epoch)
        self._orders += 1
        specs = tuple(self._spec(task) for task in tasks)
        avoid = sorted({name for task in tasks for name in task.avoid})
        return TaskOrder(
            request_id=f"{specs[0].task_id}.{self._orders}",
            job_id=self.id,
            workload=self.accepted.workload,
            tasks=specs,
            deadline_s=deadline_s,
            avoid=tuple(avoid),
        )

    def _spec(self, task: Task) -> TaskSpec:
        return TaskSpec(
            task_id=task_id_of(self.id, task.index, task.attempt),
            index=task.index,
            attempt=task.attempt,
            payload=self.accepted.payloads[task.index],
        )

    def authorize(
        self,
        index: int,
        attempt: int,
        upstream: str,
        now_s: float,
        *,
        is_owner: bool,
    ) -> Authorization:
        """Say whether a placed attempt may be sent to its upstream.

        Parameters
        ----------
        index, attempt : int
        upstream : str
        now_s : float
            Log time.
        is_owner : bool
            Whether this VM proved a short time ago that it owns the partition.
            Without that proof no attempt starts before its intent is in the log.
        """
        task = self._find(index, attempt)
        if task is None or task.live is not Live.ORDERED:
            return _REFUSED_NOW
        if task.stop_asked or self._stop_reason(now_s) is not None:
            return _REFUSED_NOW
        task.upstream = upstream
        entry = TaskIntended(self.id, index, attempt, upstream)
        is_first = attempt == first_attempt(self.accepted.epoch)
        if is_owner and is_first and self.accepted.idempotent:
            task.mark_started()
            return Authorization(Permission.NOW, entry)
        task.live = Live.INTENDED
        return Authorization(Permission.WHEN_DURABLE, entry)

    def confirm_intent(self, index: int, attempt: int, now_s: float) -> bool:
        """Say whether an attempt whose intent is in the log may start now."""
        task = self._find(index, attempt)
        if task is None or task.live is not Live.INTENDED:
            return False
        if task.stop_asked or self._stop_reason(now_s) is not None:
            return False
        task.mark_started()
        return True

    def finish(
        self, index: int, attempt: int, done: TaskDone, now_s: float
    ) -> list[TaskEnded]:
        """Take in the end of an attempt; return outcomes to append."""
        task = self._find(index, attempt)
        if task is None or task.live is Live.NONE:
            return []
        task.end_attempt(done, now_s)
        return self.settle(now_s)

    def settle(self, now_s: float) -> list[TaskEnded]:
        """Return the outcomes that are now certain; each is returned once."""
        reason = self._stop_reason(now_s)
        open_tasks = [task for task in self.tasks if not task.is_settled]
        if not open_tasks:
            return []
        if self.accepted.gang:
            return self._settle_gang(open_tasks, reason, now_s)
        ended: list[TaskEnded] = []
        for task in open_tasks:
            verdict = self._judge(task, reason)
            if isinstance(verdict, Final):
                ended.append(self._propose(task, verdict))
            elif isinstance(verdict, Again):
                task.requeue(now_s + verdict.wait_s)
        return ended

    def _settle_gang(
        self, tasks: list[Task], reason: Reason | None, now_s: float
    ) -> list[TaskEnded]:
        judged = [self._judge(task, reason) for task in tasks]
        ready = [item for item in judged if item is not None]
        if len(ready) < len(tasks):
            return []
        verdict = judge_gang(tasks, ready, idempotent=self.accepted.idempotent)
        if isinstance(verdict, Again):
            for task in tasks:
                task.requeue(now_s + verdict.wait_s)
            return []
        return [
            self._propose(task, final)
            for task, final in zip(tasks, verdict, strict=True)
        ]

    def _judge(self, task: Task, reason: Reason | None) -> Final | Again | None:
        if task.live is not Live.NONE:
            return None
        if task.done is None:
            return None if reason is None else stopped(task, reason)
        return judge(
            task,
            idempotent=self.accepted.idempotent,
            max_attempts=self.accepted.max_attempts,
            stop_reason=reason,
        )

    def _propose(self, task: Task, final: Final) -> TaskEnded:
        task.proposed = TaskEnded(
            self.id,
            task.index,
            task.attempt,
            final.state,
            task.starts > 0,
            final.answer,
            final.refusal,
        )
        return task.proposed

    def tasks_to_stop(self, now_s: float) -> list[str]:
        """Return the attempts to stop; each is returned once."""
        broken = self.accepted.gang and any(_has_broken(task) for task in self.tasks)
        if self._stop_reason(now_s) is None and not broken:
            return []
        asked = [
            task
            for task in self.tasks
            if task.live is not Live.NONE and not task.stop_asked
        ]
        for task in asked:
            task.stop_asked = True
        return [task_id_of(self.id, task.index, task.attempt) for task in asked]

    def unresolved(self) -> list[UnresolvedTask]:
        """Return the attempts that may run and that nobody waits for."""
        return [
            UnresolvedTask(
                task_id_of(self.id, task.index, task.attempt),
                task.index,
                task.attempt,
                task.upstream,
                task.unresolved_since_s,
            )
            for task in self.tasks
            if task.live is Live.UNRESOLVED
        ]

    def lapse(
        self, now_s: float, lease_run_out_s: float, unlogged_start_s: float
    ) -> list[TaskEnded]:
        """End attempts whose lease has certainly run out; return outcomes.

        Parameters
        ----------
        now_s : float
            Log time.
        lease_run_out_s : float
            Seconds after which an attempt that was started no longer runs.
        unlogged_start_s : float
            Seconds for which an earlier owner may still start an attempt of which
            the log has no intent.
        """
        ended: list[TaskEnded] = []
        for item in self.unresolved():
            still_s = unlogged_start_s if item.upstream is None else 0.0
            if now_s - item.since_s > still_s + lease_run_out_s:
                done = TaskDone(item.task_id, TaskResult.LAPSED)
                ended += self.finish(item.index, item.attempt, done, now_s)
        return ended

    def next_order_s(self) -> float | None:
        """Return the earliest time at which a waiting task may be ordered."""
        times = [
            task.not_before_s
            for task in self.tasks
            if task.live is Live.NONE and not task.is_settled
        ]
        return min(times, default=None)

    def ordered_count(self) -> int:
        """Return the number of attempts that are with the scheduler."""
        return sum(task.live in _WITH_SCHEDULER for task in self.tasks)

    def _find(self, index: int, attempt: int) -> Task | None:
        if not 0 <= index < len(self.tasks):
            return None
        task = self.tasks[index]
        return task if task.attempt == attempt else None

    def _stop_reason(self, now_s: float) -> Reason | None:
        if self.cancelled:
            return Reason.CANCELLED
        return Reason.EXPIRED if now_s > self.deadline_s else None


def _is_ready(task: Task, now_s: float) -> bool:
    return (
        task.live is Live.NONE
        and task.done is None
        and not task.is_settled
        and now_s >= task.not_before_s
    )


def _has_broken(task: Task) -> bool:
    return task.done is not None and task.done.result is not TaskResult.ANSWERED
