"""What the end of an attempt means for its task."""

from __future__ import annotations

from dataclasses import dataclass

from papayadyke_core.jobs._task import PERMANENT_REASONS, Task
from papayadyke_core.jobs._types import TaskResult
from papayadyke_core.journal import Answer, TaskState
from papayadyke_core.verdicts import Reason, Refusal, Verdict


@dataclass(frozen=True, slots=True)
class Final:
    """A final state with what is told of it."""

    state: TaskState
    answer: Answer | None = None
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class Again:
    """The task may be attempted again, after a wait in seconds."""

    wait_s: float = 0.0


FIRST_WAIT_S = 0.5
LONGEST_WAIT_S = 30.0


def judge(
    task: Task, *, idempotent: bool, max_attempts: int, stop_reason: Reason | None
) -> Final | Again:
    """Decide whether a task whose attempt has ended is final.

    Parameters
    ----------
    task : Task
        With the end of its latest attempt.
    idempotent : bool
    max_attempts : int
    stop_reason : Reason or None
        Why the job starts nothing more: cancelled, expired, or None.
    """
    done = task.done
    assert done is not None
    if done.result is TaskResult.ANSWERED:
        return Final(TaskState.ANSWERED, done.answer)
    if stop_reason is not None:
        return stopped(task, stop_reason)
    if done.result is TaskResult.NOT_STARTED:
        return _judge_not_started(task, done.refusal)
    if not idempotent:
        return _judge_once_only(task)
    if done.result is TaskResult.STOPPED:
        return Again()
    if task.failures < max_attempts:
        return Again(_wait_s(task.failures))
    return _failed(task, "all attempts failed")


def stopped(task: Task, reason: Reason) -> Final:
    """Return the final state of a task that is not attempted any more."""
    if task.starts == 0:
        state = TaskState.CANCELLED if reason is Reason.CANCELLED else TaskState.REFUSED
        detail = f"no attempt of the task had started when the job was {reason.value}"
        return Final(state, refusal=Refusal(Verdict.NOT_RUN, reason, detail))
    state = TaskState.CANCELLED if reason is Reason.CANCELLED else TaskState.FAILED
    detail = f"the task had started, and has no answer; the job was {reason.value}"
    return Final(state, refusal=Refusal(Verdict.MAY_HAVE_RUN, reason, detail))


def _judge_not_started(task: Task, refusal: Refusal | None) -> Final | Again:
    if refusal is not None and refusal.reason in PERMANENT_REASONS:
        if task.starts == 0:
            return Final(TaskState.REFUSED, refusal=refusal)
        return _failed(task, refusal.detail, reason=refusal.reason)
    wait_s = FIRST_WAIT_S
    if refusal is not None and refusal.retry_after_s is not None:
        wait_s = refusal.retry_after_s
    return Again(min(wait_s, LONGEST_WAIT_S))


def _judge_once_only(task: Task) -> Final:
    done = task.done
    assert done is not None
    if done.result is TaskResult.FAILED:
        return _failed(task, "the attempt failed, and the workload is not idempotent")
    detail = "the only attempt may have run, and its answer is lost"
    reason = (
        Reason.STOPPED if done.result is TaskResult.STOPPED else Reason.UPSTREAM_LOST
    )
    refusal = Refusal(Verdict.MAY_HAVE_RUN, reason, detail)
    return Final(TaskState.MAY_HAVE_RUN, refusal=refusal)


def _failed(
    task: Task, detail: str, *, reason: Reason = Reason.FAILS_EVERYWHERE
) -> Final:
    answer = task.done.answer if task.done is not None else None
    refusal = Refusal(Verdict.MAY_HAVE_RUN, reason, detail)
    return Final(TaskState.FAILED, answer, refusal)


def _wait_s(failures: int) -> float:
    return min(FIRST_WAIT_S * 2 ** (failures - 1), LONGEST_WAIT_S)
