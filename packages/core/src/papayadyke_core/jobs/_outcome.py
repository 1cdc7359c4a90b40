"""Decision whether a task is final or retried after its latest attempt."""

from __future__ import annotations

from dataclasses import dataclass

from papayadyke_core.jobs._task import PERMANENT_REASONS, Task
from papayadyke_core.jobs._types import TaskResult
from papayadyke_core.journal import Answer, TaskState
from papayadyke_core.verdicts import Reason, Refusal, Verdict


@dataclass(frozen=True, slots=True)
class FinalOutcome:
    """Final state of a task, with its answer or refusal."""

    state: TaskState
    answer: Answer | None = None
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class Retry:
    """Decision to attempt the task again after a delay in seconds."""

    delay_s: float = 0.0


FIRST_RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 30.0


def decide_outcome(
    task: Task, *, idempotent: bool, max_attempts: int, stop_reason: Reason | None
) -> FinalOutcome | Retry:
    """Decide whether a task is final or retried after its attempt has ended.

    Parameters
    ----------
    task : Task
        Task with the result of its latest attempt.
    idempotent : bool
    max_attempts : int
    stop_reason : Reason or None
        Why the job starts no further attempts: cancelled or expired. None if it
        may start them.
    """
    attempt_end = task.attempt_end
    assert attempt_end is not None
    if attempt_end.result is TaskResult.ANSWERED:
        return FinalOutcome(TaskState.ANSWERED, attempt_end.answer)
    if stop_reason is not None:
        return stopped_outcome(task, stop_reason)
    if attempt_end.result is TaskResult.NOT_STARTED:
        return _decide_not_started(task, attempt_end.refusal)
    if not idempotent:
        return _decide_not_idempotent(task)
    if attempt_end.result is TaskResult.STOPPED:
        return Retry()
    if task.failures < max_attempts:
        return Retry(_retry_delay_s(task.failures))
    return _failed_outcome(task, "all attempts failed")


def stopped_outcome(task: Task, reason: Reason) -> FinalOutcome:
    """Return the outcome of a task whose job was cancelled or has expired."""
    if task.starts == 0:
        state = TaskState.CANCELLED if reason is Reason.CANCELLED else TaskState.REFUSED
        detail = f"no attempt of the task had started when the job was {reason.value}"
        return FinalOutcome(state, refusal=Refusal(Verdict.NOT_RUN, reason, detail))
    state = TaskState.CANCELLED if reason is Reason.CANCELLED else TaskState.FAILED
    detail = f"the task had started, and has no answer; the job was {reason.value}"
    return FinalOutcome(state, refusal=Refusal(Verdict.MAY_HAVE_RUN, reason, detail))


def _decide_not_started(task: Task, refusal: Refusal | None) -> FinalOutcome | Retry:
    if refusal is not None and refusal.reason in PERMANENT_REASONS:
        if task.starts == 0:
            return FinalOutcome(TaskState.REFUSED, refusal=refusal)
        return _failed_outcome(task, refusal.detail, reason=refusal.reason)
    delay_s = FIRST_RETRY_DELAY_S
    if refusal is not None and refusal.retry_after_s is not None:
        delay_s = refusal.retry_after_s
    return Retry(min(delay_s, MAX_RETRY_DELAY_S))


def _decide_not_idempotent(task: Task) -> FinalOutcome:
    attempt_end = task.attempt_end
    assert attempt_end is not None
    if attempt_end.result is TaskResult.FAILED:
        return _failed_outcome(
            task, "the attempt failed, and the workload is not idempotent"
        )
    detail = "the only attempt may have run, and its answer is lost"
    reason = (
        Reason.STOPPED
        if attempt_end.result is TaskResult.STOPPED
        else Reason.UPSTREAM_LOST
    )
    refusal = Refusal(Verdict.MAY_HAVE_RUN, reason, detail)
    return FinalOutcome(TaskState.MAY_HAVE_RUN, refusal=refusal)


def _failed_outcome(
    task: Task, detail: str, *, reason: Reason = Reason.FAILS_EVERYWHERE
) -> FinalOutcome:
    answer = task.attempt_end.answer if task.attempt_end is not None else None
    refusal = Refusal(Verdict.MAY_HAVE_RUN, reason, detail)
    return FinalOutcome(TaskState.FAILED, answer, refusal)


def _retry_delay_s(failures: int) -> float:
    return min(FIRST_RETRY_DELAY_S * 2 ** (failures - 1), MAX_RETRY_DELAY_S)
