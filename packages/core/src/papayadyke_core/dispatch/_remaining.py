"""Estimates of what remains of a job: critical path and work."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING
from zlib import crc32

from papayadyke_core.dispatch._run_times import RunTimeModel, StepTime
from papayadyke_core.dispatch._spec import find_critical_path_s

if TYPE_CHECKING:
    from papayadyke_core.dispatch._job import StagedJob, StepRun

# Seconds for which the estimates of a job with live runs are used: a tenth of the path
# within these bounds. Without live runs only the queue's ratio changes.
MIN_VALID_S, MAX_VALID_S = 0.25, 2.0
IDLE_VALID_S = 10.0
# Estimates take 7 to 22 us a job. Those of many jobs that came at once are spread over
# several ticks by up to half of the time for which they are used.
VALID_SPREAD = 0.5
VALID_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class JobEstimates:
    """Estimates of a job at speed 1, in declared terms.

    They are to be multiplied by the queue's learned ratio of run time to estimate.

    Parameters
    ----------
    critical_path_s : float
        Length of the remaining critical path, in seconds.
    work_core_s : float
        Remaining work, in core-seconds.
    total_s : float
        Run time of one task of each step in all, in seconds.
    valid_until_s : float
        When the estimates are to be made anew, on the dispatcher's clock.
    """

    critical_path_s: float
    work_core_s: float
    total_s: float
    valid_until_s: float = math.inf


def estimate_job(job: StagedJob, run_times: RunTimeModel | None) -> JobEstimates:
    """Return the estimates of a job by learned run times, or by its declaration.

    Of a repeated job only the open occurrences count.

    Parameters
    ----------
    job : StagedJob
    run_times : RunTimeModel or None
    """
    durations_s: defaultdict[int, list[float]] = defaultdict(list)
    work_core_s = 0.0
    has_live = False
    predicted = _predict_steps(job, run_times)
    for (occurrence, number), step in job.steps.items():
        cores = step.spec.cpu_millis / 1000.0
        remaining = step.spec.count - len(step.done)
        duration_s = task_s = step.spec.estimate_s if remaining else 0.0
        if remaining and run_times is not None and task_s > 0:
            task_s = predicted[number].mean_s
            duration_s = predicted[number].median_s
            if step.live:
                has_live = True
                duration_s, live_core_s = _estimate_live(
                    step, predicted[number], run_times
                )
                work_core_s += cores * live_core_s
                remaining -= len(step.live)
        durations_s[occurrence].append(duration_s)
        work_core_s += remaining * cores * task_s
    path_s = max(
        (find_critical_path_s(job.spec.steps, row) for row in durations_s.values()),
        default=0.0,
    )
    if run_times is None:
        declared_s = sum(step.estimate_s for step in job.spec.steps)
        return JobEstimates(path_s, work_core_s, declared_s)
    valid_s = IDLE_VALID_S
    if has_live:
        valid_s = min(max(VALID_SHARE * path_s, MIN_VALID_S), MAX_VALID_S)
    total_s = sum(
        predicted[number].median_s
        for number, spec in enumerate(job.spec.steps)
        if spec.estimate_s > 0
    )
    valid_s *= 1 - VALID_SPREAD * crc32(job.job_id.encode()) / 2**32
    factor = run_times.get_factor(job.spec.queue)
    return JobEstimates(
        path_s / factor,
        work_core_s / factor,
        total_s / factor,
        run_times.now_s + valid_s,
    )


def _predict_steps(
    job: StagedJob, run_times: RunTimeModel | None
) -> dict[int, StepTime]:
    """Return the predicted run time of each step, with what its live runs show."""
    if run_times is None:
        return {}
    predicted = {
        number: run_times.predict(job, number) for number in range(len(job.spec.steps))
    }
    for (_, number), step in job.steps.items():
        if not step.live or step.spec.estimate_s <= 0:
            continue
        # Runs that have taken longer than expected count by their elapsed time.
        median_s = predicted[number].median_s
        late = [
            elapsed_s
            for elapsed_s in _list_elapsed(step, run_times)
            if elapsed_s > median_s
        ]
        if late:
            predicted[number] = run_times.predict(job, number, unfinished=late)
    return predicted


def _list_elapsed(step: StepRun, run_times: RunTimeModel) -> list[float]:
    """Return the elapsed times of the live runs of a step, in seconds at speed 1."""
    now = run_times.now_s
    return [
        (now - run.started_s) * run_times.get_speed(run.upstream_id)
        for run in step.live.values()
    ]


def _estimate_live(
    step: StepRun, predicted: StepTime, run_times: RunTimeModel
) -> tuple[float, float]:
    """Return the remaining duration of a step with live runs, and their work."""
    elapsed = _list_elapsed(step, run_times)
    # What remains is not monotonic in the elapsed time: an overdue run may be one of
    # the tail.
    remaining_s = [
        predicted.find_quantile_s(0.5, elapsed_s=elapsed_s) - elapsed_s
        for elapsed_s in {min(elapsed), max(elapsed)}
    ]
    if step.waiting:
        remaining_s.append(predicted.median_s)
    # A run that has just started counts like one that waits.
    left_share = predicted.find_remaining_s(sum(elapsed) / len(elapsed))
    left_share /= predicted.find_remaining_s(0.0)
    return max(remaining_s), len(elapsed) * left_share * predicted.mean_s
