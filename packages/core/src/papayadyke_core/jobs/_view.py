"""Representation of a job in the response to `GET /v1/jobs/{id}`."""

from __future__ import annotations

import base64
from typing import Any

import msgspec

from papayadyke_core.jobs._job import Job
from papayadyke_core.jobs._task import Task
from papayadyke_core.journal import Answer
from papayadyke_core.verdicts import Refusal


def job_view(job: Job) -> dict[str, Any]:
    """Return the JSON representation of a job.

    A task is shown as final only once its outcome is in the log.
    """
    return {
        "id": job.id,
        "workload": job.accepted.workload,
        "gang": job.accepted.gang,
        "state": _job_state(job),
        "cancelled": job.cancelled,
        "tasks": [_task_view(task) for task in job.tasks],
    }


def _job_state(job: Job) -> str:
    if job.is_finished:
        return "cancelled" if job.cancelled else "finished"
    if job.cancelled:
        return "cancelling"
    return "running" if any(task.starts for task in job.tasks) else "queued"


def _task_view(task: Task) -> dict[str, Any]:
    view: dict[str, Any] = {"index": task.index, "state": task.state.value}
    outcome = task.outcome
    if outcome is None:
        view["had_run"] = task.starts > 0
        return view
    view["had_run"] = outcome.had_run
    if outcome.answer is not None:
        view["answer"] = _answer_view(outcome.answer)
    if outcome.refusal is not None:
        view["refusal"] = refusal_view(outcome.refusal)
    return view


def _answer_view(answer: Answer) -> dict[str, Any]:
    view: dict[str, Any] = {
        "status": answer.status,
        "content_type": answer.content_type,
        "kept": answer.kept,
    }
    if not answer.kept:
        return view
    if "json" in answer.content_type:
        try:
            view["json"] = msgspec.json.decode(answer.body)
        except msgspec.DecodeError:
            view["base64"] = base64.b64encode(answer.body).decode()
        return view
    try:
        view["text"] = answer.body.decode()
    except UnicodeDecodeError:
        view["base64"] = base64.b64encode(answer.body).decode()
    return view


def refusal_view(refusal: Refusal) -> dict[str, Any]:
    """Return the JSON representation of a refusal."""
    return {
        "verdict": refusal.verdict.value,
        "reason": refusal.reason.value,
        "detail": refusal.detail,
    }
