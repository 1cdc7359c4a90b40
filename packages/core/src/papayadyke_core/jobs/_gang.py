"""Outcomes of a gang: its tasks are attempted, and end, together."""

from __future__ import annotations

from papayadyke_core.jobs._outcome import Again, Final
from papayadyke_core.jobs._task import Task
from papayadyke_core.journal import TaskState
from papayadyke_core.verdicts import Reason, Refusal, Verdict

_DETAIL = "another task of the gang did not run to its end"


def judge_gang(
    tasks: list[Task], judged: list[Final | Again], *, idempotent: bool
) -> list[Final] | Again:
    """Decide for all tasks of a gang whose attempts have all ended.

    Parameters
    ----------
    tasks : list of Task
    judged : list of Final or Again
        What each task would come to on its own.
    idempotent : bool

    Returns
    -------
    outcome : list of Final, or Again
        `Again` attempts the whole gang once more, also the tasks that answered.
    """
    waits = [item.wait_s for item in judged if isinstance(item, Again)]
    finals = [item for item in judged if isinstance(item, Final)]
    only_answers = all(item.state is TaskState.ANSWERED for item in finals)
    nothing_ran = all(task.starts == 0 for task in tasks)
    if waits and only_answers and (idempotent or nothing_ran):
        return Again(max(waits))
    return [
        item if isinstance(item, Final) else _given_up(task)
        for task, item in zip(tasks, judged, strict=True)
    ]


def _given_up(task: Task) -> Final:
    if task.starts == 0:
        refusal = Refusal(Verdict.NOT_RUN, Reason.STOPPED, _DETAIL)
        return Final(TaskState.REFUSED, refusal=refusal)
    refusal = Refusal(Verdict.MAY_HAVE_RUN, Reason.STOPPED, _DETAIL)
    return Final(TaskState.FAILED, refusal=refusal)
