"""Outcomes of a gang, whose tasks are attempted and ended together."""

from __future__ import annotations

from papayadyke_core.jobs._outcome import FinalOutcome, Retry
from papayadyke_core.jobs._task import Task
from papayadyke_core.journal import TaskState
from papayadyke_core.verdicts import Reason, Refusal, Verdict

_INCOMPLETE_GANG_DETAIL = "another task of the gang did not run to its end"


def decide_gang_outcome(
    tasks: list[Task], decisions: list[FinalOutcome | Retry], *, idempotent: bool
) -> list[FinalOutcome] | Retry:
    """Decide whether a gang is final or retried after all its attempts have ended.

    Parameters
    ----------
    tasks : list of Task
    decisions : list of FinalOutcome or Retry
        Decision for each task as if it were not part of a gang.
    idempotent : bool

    Returns
    -------
    outcome : list of FinalOutcome, or Retry
        `Retry` applies to the whole gang, including the tasks that answered.
    """
    retry_delays_s = [
        decision.delay_s for decision in decisions if isinstance(decision, Retry)
    ]
    final_outcomes = [
        decision for decision in decisions if isinstance(decision, FinalOutcome)
    ]
    all_final_answered = all(
        decision.state is TaskState.ANSWERED for decision in final_outcomes
    )
    no_attempt_ran = all(task.starts == 0 for task in tasks)
    if retry_delays_s and all_final_answered and (idempotent or no_attempt_ran):
        return Retry(max(retry_delays_s))
    return [
        decision
        if isinstance(decision, FinalOutcome)
        else _incomplete_gang_outcome(task)
        for task, decision in zip(tasks, decisions, strict=True)
    ]


def _incomplete_gang_outcome(task: Task) -> FinalOutcome:
    if task.starts == 0:
        refusal = Refusal(Verdict.NOT_RUN, Reason.STOPPED, _INCOMPLETE_GANG_DETAIL)
        return FinalOutcome(TaskState.REFUSED, refusal=refusal)
    refusal = Refusal(Verdict.MAY_HAVE_RUN, Reason.STOPPED, _INCOMPLETE_GANG_DETAIL)
    return FinalOutcome(TaskState.FAILED, refusal=refusal)
