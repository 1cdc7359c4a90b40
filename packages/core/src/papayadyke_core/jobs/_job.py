"""A job: its tasks, their attempts and outcomes, cancellation and recovery."""

from __future__ import annotations

from papayadyke_core.jobs._gang import decide_gang_outcome
from papayadyke_core.jobs._outcome import (
    FinalOutcome,
    Retry,
    decide_outcome,
    stopped_outcome,
)
from papayadyke_core.jobs._task import AttemptState, Task, check, first_attempt_number
from papayadyke_core.jobs._types import (
    Authorization,
    Permission,
    TaskDone,
    TaskOrder,
    TaskResult,
    TaskSpec,
    UnresolvedTask,
    make_task_id,
)
from papayadyke_core.journal import (
    Entry,
    JobAccepted,
    JobCancelled,
    TaskEnded,
    TaskIntended,
)
from papayadyke_core.verdicts import Reason

_DENIED = Authorization(Permission.NEVER)
_WITH_SCHEDULER = (AttemptState.ORDERED, AttemptState.INTENDED, AttemptState.STARTED)


class Job:
    """An accepted job; its times are log times of its partition in seconds.

    Parameters
    ----------
    accepted : JobAccepted
    at_s : float
        Log time of the acceptance.
    epoch : int, default=0
        Epoch of the partition's owner.

    Notes
    -----
    An attempt that must not run twice is started only after its intent is in
    the log, so a successor knows every such attempt that may run. The first attempt
    of an idempotent task may start before its intent is in the log while the VM has
    recent proof that it owns the partition: the logged acceptance replaces the
    intent, and a successor assumes that the attempt may run on any upstream or may
    still be started. A new attempt begins only once the previous one has certainly
    ended. An outcome is reported only once it is in the log, and never changes.
    """

    def __init__(self, accepted: JobAccepted, at_s: float, *, epoch: int = 0) -> None:
        self.accepted = accepted
        self.epoch = epoch
        self.accepted_at_s = at_s
        self.cancelled = False
        self.tasks = [Task(index) for index in range(len(accepted.payloads))]
        self.ended_at_s: float | None = None
        self._orders = 0

    @property
    def id(self) -> str:
        """Id of the job."""
        return self.accepted.job_id

    @property
    def deadline_s(self) -> float:
        """Log time in seconds after which no attempt is started."""
        return self.accepted_at_s + self.accepted.deadline_s

    @property
    def is_finished(self) -> bool:
        """Whether every task has its outcome in the log."""
        return all(task.outcome is not None for task in self.tasks)

    def apply(self, entry: Entry, at_s: float) -> None:
        """Apply an entry of this job from the log, given its log time in seconds."""
        if isinstance(entry, JobCancelled):
            self.cancelled = True
        elif isinstance(entry, TaskIntended):
            task = self.tasks[entry.index]
            check(entry.attempt >= task.logged_attempt, "attempt numbers out of order")
            task.logged_attempt = entry.attempt
            task.logged_starts += 1
            task.upstream = entry.upstream
            task.boot_id = entry.boot_id
        elif isinstance(entry, TaskEnded):
            task = self.tasks[entry.index]
            check(task.outcome in (None, entry), "final outcome changed")
            task.outcome = entry
            if self.is_finished:
                self.ended_at_s = at_s
                self.accepted = self.accepted.without_payloads()

    def mark_recovered(self, now_s: float) -> None:
        """Mark each attempt that an earlier owner may have started as unresolved."""
        for task in self.tasks:
            if task.outcome is not None:
                continue
            logged = task.logged_attempt
            if logged == 0 and not self.accepted.idempotent:
                continue
            task.attempt = logged or first_attempt_number(self.accepted.epoch)
            task.starts = max(1, task.logged_starts)
            task.failures = task.starts - 1
            task.attempt_state = AttemptState.UNRESOLVED
            task.unresolved_since_s = now_s

    def cancel(self) -> JobCancelled | None:
        """Return the entry that cancels the job, or None if no entry is needed."""
        if self.cancelled or self.is_finished:
            return None
        return JobCancelled(self.id)

    def make_orders(
        self, now_s: float, monotonic_s: float, max_tasks: int
    ) -> list[TaskOrder]:
        """Begin attempts and return them as orders.

        Parameters
        ----------
        now_s : float
            Log time in seconds.
        monotonic_s : float
            Monotonic time in seconds at the same moment; deadlines of orders are
            given on this clock.
        max_tasks : int
            Number of tasks that may be ordered now; a gang is always ordered whole.
        """
        if self._stop_reason(now_s) is not None:
            return []
        ready = [task for task in self.tasks if _is_ready(task, now_s)]
        deadline_s = monotonic_s + self.deadline_s - now_s
        if self.accepted.gang:
            if len(ready) < len(self.tasks):
                return []
            return [self._make_order(ready, deadline_s)]
        return [
            self._make_order([task], deadline_s) for task in ready[: max(0, max_tasks)]
        ]

    def _make_order(self, tasks: list[Task], deadline_s: float) -> TaskOrder:
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
            task_id=make_task_id(self.id, task.index, task.attempt),
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
        boot_id: str = "",
    ) -> Authorization:
        """Decide whether a placed attempt may be sent to its upstream.

        Parameters
        ----------
        index, attempt : int
        upstream : str
        now_s : float
            Log time in seconds.
        is_owner : bool
            Whether this VM has recent proof that it owns the partition. Without
            it, no attempt starts before its intent is in the log.
        boot_id : str, default=""
            Boot id of the upstream in the session of the start; empty if it is
            unknown.
        """
        task = self._find_latest_attempt(index, attempt)
        if task is None or task.attempt_state is not AttemptState.ORDERED:
            return _DENIED
        if task.stop_requested or self._stop_reason(now_s) is not None:
            return _DENIED
        task.upstream = upstream
        task.boot_id = boot_id
        entry = TaskIntended(self.id, index, attempt, upstream, boot_id)
        is_first = attempt == first_attempt_number(self.accepted.epoch)
        if is_owner and is_first and self.accepted.idempotent:
            task.mark_started()
            return Authorization(Permission.NOW, entry)
        task.attempt_state = AttemptState.INTENDED
        return Authorization(Permission.WHEN_DURABLE, entry)

    def confirm_intent(self, index: int, attempt: int, now_s: float) -> bool:
        """Return whether an attempt whose intent is in the log may start now."""
        task = self._find_latest_attempt(index, attempt)
        if task is None or task.attempt_state is not AttemptState.INTENDED:
            return False
        if task.stop_requested or self._stop_reason(now_s) is not None:
            return False
        task.mark_started()
        return True

    def end_attempt(
        self, index: int, attempt: int, attempt_end: TaskDone, now_s: float
    ) -> list[TaskEnded]:
        """Record the result of an attempt and return the outcomes to append."""
        task = self._find_latest_attempt(index, attempt)
        if task is None or task.attempt_state is AttemptState.NONE:
            return []
        task.end_attempt(attempt_end, now_s)
        return self.decide_outcomes(now_s)

    def decide_outcomes(self, now_s: float) -> list[TaskEnded]:
        """Requeue tasks to retry; return new final outcomes to append, each once."""
        reason = self._stop_reason(now_s)
        open_tasks = [task for task in self.tasks if not task.is_settled]
        if not open_tasks:
            return []
        if self.accepted.gang:
            return self._decide_gang_outcomes(open_tasks, reason, now_s)
        outcomes: list[TaskEnded] = []
        for task in open_tasks:
            decision = self._decide(task, reason)
            if isinstance(decision, FinalOutcome):
                outcomes.append(self._set_pending_outcome(task, decision))
            elif isinstance(decision, Retry):
                task.requeue(now_s + decision.delay_s)
        return outcomes

    def _decide_gang_outcomes(
        self, tasks: list[Task], reason: Reason | None, now_s: float
    ) -> list[TaskEnded]:
        decisions = [self._decide(task, reason) for task in tasks]
        decided = [decision for decision in decisions if decision is not None]
        if len(decided) < len(tasks):
            return []
        gang_decision = decide_gang_outcome(
            tasks, decided, idempotent=self.accepted.idempotent
        )
        if isinstance(gang_decision, Retry):
            for task in tasks:
                task.requeue(now_s + gang_decision.delay_s)
            return []
        return [
            self._set_pending_outcome(task, final)
            for task, final in zip(tasks, gang_decision, strict=True)
        ]

    def _decide(self, task: Task, reason: Reason | None) -> FinalOutcome | Retry | None:
        if task.attempt_state is not AttemptState.NONE:
            return None
        if task.attempt_end is None:
            return None if reason is None else stopped_outcome(task, reason)
        return decide_outcome(
            task,
            idempotent=self.accepted.idempotent,
            max_attempts=self.accepted.max_attempts,
            stop_reason=reason,
        )

    def _set_pending_outcome(self, task: Task, final: FinalOutcome) -> TaskEnded:
        task.pending_outcome = TaskEnded(
            self.id,
            task.index,
            task.attempt,
            final.state,
            task.starts > 0,
            final.answer,
            final.refusal,
        )
        return task.pending_outcome

    def tasks_to_stop(self, now_s: float) -> list[str]:
        """Return the ids of the attempts to stop; each is returned once."""
        gang_failed = self.accepted.gang and any(
            _ended_without_answer(task) for task in self.tasks
        )
        if self._stop_reason(now_s) is None and not gang_failed:
            return []
        to_stop = [
            task
            for task in self.tasks
            if task.attempt_state is not AttemptState.NONE and not task.stop_requested
        ]
        for task in to_stop:
            task.stop_requested = True
        return [make_task_id(self.id, task.index, task.attempt) for task in to_stop]

    def unresolved(self) -> list[UnresolvedTask]:
        """Return the attempts that may run and whose answer no request waits for."""
        return [
            UnresolvedTask(
                make_task_id(self.id, task.index, task.attempt),
                task.index,
                task.attempt,
                task.upstream,
                task.unresolved_since_s,
                task.boot_id,
            )
            for task in self.tasks
            if task.attempt_state is AttemptState.UNRESOLVED
        ]

    def expire_leases(
        self, now_s: float, lease_expiry_s: float, unlogged_start_s: float
    ) -> list[TaskEnded]:
        """End attempts whose lease has certainly expired and return the outcomes.

        Parameters
        ----------
        now_s : float
            Log time in seconds.
        lease_expiry_s : float
            Seconds after which the lease of a started attempt has expired, so it no
            longer runs.
        unlogged_start_s : float
            Seconds for which an earlier owner may still start an attempt whose
            intent is not in the log.
        """
        outcomes: list[TaskEnded] = []
        for lost in self.unresolved():
            start_window_s = unlogged_start_s if lost.upstream is None else 0.0
            if now_s - lost.unresolved_since_s > start_window_s + lease_expiry_s:
                attempt_end = TaskDone(lost.task_id, TaskResult.LAPSED)
                outcomes += self.end_attempt(
                    lost.index, lost.attempt, attempt_end, now_s
                )
        return outcomes

    def next_order_s(self) -> float | None:
        """Return the earliest log time at which a waiting task may be ordered."""
        times = [
            task.not_before_s
            for task in self.tasks
            if task.attempt_state is AttemptState.NONE and not task.is_settled
        ]
        return min(times, default=None)

    def ordered_count(self) -> int:
        """Return the number of attempts that the scheduler currently handles."""
        return sum(task.attempt_state in _WITH_SCHEDULER for task in self.tasks)

    def _find_latest_attempt(self, index: int, attempt: int) -> Task | None:
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
        task.attempt_state is AttemptState.NONE
        and task.attempt_end is None
        and not task.is_settled
        and now_s >= task.not_before_s
    )


def _ended_without_answer(task: Task) -> bool:
    return (
        task.attempt_end is not None
        and task.attempt_end.result is not TaskResult.ANSWERED
    )
