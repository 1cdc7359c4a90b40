"""Log the orders of the decider and the ends of runs, one line per step or stop."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping

from papayadyke_core.dispatch import (
    Commit,
    DelayCause,
    EndedRun,
    LossCause,
    LostRun,
    RunEnd,
    StagedJob,
    StartOrder,
    StepId,
    StopOrder,
    TakeoverEnd,
    TaskCrash,
    UnansweredEnd,
)
from papayadyke_daemon.edge._logs import log_event
from papayadyke_daemon.edge._metrics import METRICS

LOG = logging.getLogger(__name__)


def log_unanswered_ends(ends: Iterable[UnansweredEnd]) -> None:
    """Log the unanswered starts that hold back their tasks no longer."""
    for end in ends:
        METRICS.count("papayadyke_unanswered_starts", cause=end.cause)
        if end.waited_s is not None:
            METRICS.observe("papayadyke_unanswered_start_seconds", end.waited_s)
        log_event(
            LOG,
            "decider: unanswered start is over",
            request=end.task.job_id,
            task=end.task,
            upstreams=end.upstream_ids,
            cause=end.cause,
            waited_s=None if end.waited_s is None else round(end.waited_s, 3),
        )


def log_left_out(commit: Commit) -> None:
    """Log the jobs of whose checkpoints some are stored no longer, for their size."""
    for job_id, count in commit.left_out.items():
        log_event(
            LOG,
            "decider: checkpoints left out of the stored progress",
            request=job_id,
            checkpoints=count,
            bytes=len(commit.progress[job_id]),
        )
        METRICS.count("papayadyke_jobs_without_all_checkpoints")


def log_starts(
    starts: Iterable[StartOrder],
    jobs: Mapping[str, StagedJob],
    *,
    now: float,
    version: int,
    token: int,
) -> None:
    """Log the starts of a step on one line, which bounds the volume of the log.

    Parameters
    ----------
    starts : iterable of StartOrder
    jobs : mapping of str to StagedJob
    now : float
        Current time in seconds, on the clock of the jobs.
    version : int
        Version of the configuration.
    token : int
        Fencing token of the decider.
    """
    steps: dict[StepId, list[StartOrder]] = {}
    for order in starts:
        steps.setdefault(StepId(*order.task[:3]), []).append(order)
    for step, orders in steps.items():
        log_event(
            LOG,
            "decider: start",
            request=step.job_id,
            team=jobs[step.job_id].spec.team,
            step=step,
            runs=[[o.task.number, o.attempt, o.upstream_id] for o in orders],
            age_s=round(now - jobs[step.job_id].accepted_at_s, 3),
            version=version,
            token=token,
        )


def log_stop(stop: StopOrder) -> None:
    """Log a stop order and its reason."""
    log_event(
        LOG,
        "decider: stop",
        request=stop.task.job_id,
        task=stop.task,
        attempt=stop.attempt,
        upstream=stop.upstream_id,
        why=stop.reason,
    )


def log_ends(upstream_id: str, ended: Iterable[EndedRun]) -> None:
    """Log the ended runs, one line per step and kind of end."""
    groups: dict[tuple[StepId, RunEnd], list[int]] = {}
    for run in ended:
        METRICS.count("papayadyke_run_ends", end=run.end)
        key = StepId(*run.task[:3]), run.end
        groups.setdefault(key, []).append(run.task.number)
    for (step, end), numbers in groups.items():
        log_event(
            LOG,
            "decider: runs ended",
            request=step.job_id,
            step=step,
            tasks=numbers,
            upstream=upstream_id,
            end=end,
        )


def log_job_end(job: StagedJob, *, now: float) -> None:
    """Log the end of a job, with what delayed it, and count it.

    Parameters
    ----------
    job : StagedJob
        Its end has just been stored.
    now : float
        Current time in seconds, on the clock of the job.
    """
    if job.finished_at_s is not None:
        job.delays.add(DelayCause.STORE, now - job.finished_at_s)
    age_s = now - job.accepted_at_s
    objective_s = job.objective_s
    METRICS.observe("papayadyke_job_seconds", age_s, state=job.state)
    if objective_s is not None and age_s > objective_s:
        cause = next(iter(job.delays.list_seconds()), "none")
        METRICS.count("papayadyke_late_jobs", cause=cause)
    log_event(
        LOG,
        "decider: job ended",
        request=job.job_id,
        queue=job.spec.queue,
        team=job.spec.team,
        state=job.state,
        tasks=job.spec.task_count,
        core_s=round(job.spec.work_core_s, 1),
        age_s=round(age_s, 3),
        objective_s=None if objective_s is None else round(objective_s, 3),
        delays={
            cause: round(seconds, 3)
            for cause, seconds in job.delays.list_seconds().items()
        },
    )


def log_takeover_end(end: TakeoverEnd | None, *, token: int) -> None:
    """Log that the runs of earlier terms are known, and which upstreams are silent."""
    if end is not None:
        log_event(
            LOG,
            "decider: runs of earlier terms known",
            waited_s=round(end.waited_s, 3),
            silent=list(end.silent_upstreams),
            token=token,
        )


def log_losses(lost_runs: Iterable[LostRun]) -> None:
    """Log the runs that are gone without an end.

    Runs of a step share a line if they have the upstream, its incarnation and the cause
    in common, and if all of their starts were answered, or none.
    """
    groups: dict[tuple[str, StepId, LossCause, int | None, bool], list[LostRun]] = {}
    for run in lost_runs:
        METRICS.count("papayadyke_runs_lost", cause=run.cause)
        step = StepId(*run.task[:3])
        key = run.upstream_id, step, run.cause, run.incarnation, run.is_answered
        groups.setdefault(key, []).append(run)
    for (upstream_id, step, cause, incarnation, answered), runs in groups.items():
        log_event(
            LOG,
            "decider: runs lost",
            request=step.job_id,
            step=step,
            tasks=[run.task.number for run in runs],
            upstream=upstream_id,
            incarnation=incarnation,
            cause=cause,
            answered=answered,
            age_s=round(max(run.age_s for run in runs), 3),
        )


def log_crashes(crashes: Iterable[TaskCrash]) -> None:
    """Log the crashes that count against tasks, one line per upstream and step."""
    groups: dict[tuple[str, StepId], list[TaskCrash]] = {}
    for crash in crashes:
        METRICS.count("papayadyke_task_crashes", given_up=str(crash.is_given_up))
        key = crash.upstream_id, StepId(*crash.task[:3])
        groups.setdefault(key, []).append(crash)
    for (upstream_id, step), rows in groups.items():
        given_up = [row.task.number for row in rows if row.is_given_up]
        log_event(
            LOG,
            "decider: upstream crashed under tasks",
            request=step.job_id,
            step=step,
            tasks=[[row.task.number, row.crashes] for row in rows],
            upstream=upstream_id,
            alone=rows[0].is_alone,
            given_up=given_up,
        )
