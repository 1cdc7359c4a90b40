"""Job waits, refusals and wasted task time, read from the logs of edge VMs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from papayadyke_cli._log_lines import REFUSED, parse_events

COMPLETE = "complete"
UNFINISHED = "unfinished"


@dataclass(slots=True)
class JobTimes:
    """Times of one job, in Unix seconds, and its last state in the logs."""

    job_id: str
    queue: str = ""
    team: str = ""
    accepted_s: float = 0.0
    first_start_s: float | None = None
    ended_s: float | None = None
    state: str = UNFINISHED


@dataclass(slots=True)
class Span:
    """Counts and times of one span of time.

    Parameters
    ----------
    start_s : float
        Unix time in seconds.
    accepted, started, ended, waiting : int
        Number of jobs; `waiting` counts those not started at the end of the span.
    refused : Counter
        Number of refused requests by HTTP status.
    ages_s : list of float
        Seconds from acceptance to end, of the jobs that ended in the span.
    in_vain_s : Counter
        Seconds of task runs that ended without being done, by how they ended.
    """

    start_s: float
    accepted: int = 0
    started: int = 0
    ended: int = 0
    waiting: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    ages_s: list[float] = field(default_factory=list)
    in_vain_s: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True)
class WaitsReport:
    """Jobs and spans read from a set of logs.

    Parameters
    ----------
    jobs : list of JobTimes
    spans : list of Span
    unreadable : int
        Number of non-empty lines without a JSON object that has a time and an
        event name.
    team_refusals : dict of str to Counter
        Number of refused requests by HTTP status, for each team with any.
    """

    jobs: list[JobTimes]
    spans: list[Span]
    unreadable: int
    team_refusals: dict[str, Counter[str]] = field(default_factory=dict)


def read_waits(lines: Iterable[str], *, step_s: float) -> WaitsReport:
    """Return the report on log lines of any number of VMs, in any order.

    Parameters
    ----------
    lines : iterable of str
        Text before the JSON object of a line, such as the name of a VM, is skipped.
    step_s : float
        Length of a span, in seconds.
    """
    events, unreadable = parse_events(lines)
    jobs: dict[str, JobTimes] = {}
    run_starts: dict[tuple[str, str, int], float] = {}
    spans: dict[int, Span] = {}
    team_refusals: dict[str, Counter[str]] = {}
    for event in events:
        at_s = event["ts"]
        span_index = int((at_s - events[0]["ts"]) / step_s)
        start_s = events[0]["ts"] + span_index * step_s
        span = spans.setdefault(span_index, Span(start_s))
        _apply_event(event, jobs, run_starts, span)
        if event["msg"] == REFUSED and event.get("team"):
            refusals = team_refusals.setdefault(event["team"], Counter())
            refusals[str(event["status"])] += 1
    for span in spans.values():
        end_s = span.start_s + step_s
        span.waiting = sum(_is_waiting(job, end_s) for job in jobs.values())
    return WaitsReport(
        [job for job in jobs.values() if job.accepted_s],
        [spans[span_index] for span_index in sorted(spans)],
        unreadable,
        team_refusals,
    )


def _apply_event(
    event: dict[str, Any],
    jobs: dict[str, JobTimes],
    run_starts: dict[tuple[str, str, int], float],
    span: Span,
) -> None:
    at_s, event_name = event["ts"], event["msg"]
    if event_name == REFUSED:
        span.refused[str(event["status"])] += 1
        return
    job_id = event.get("request", "")
    if event_name == "intake: job" and event["outcome"] == "accepted":
        job = jobs.setdefault(job_id, JobTimes(job_id))
        if not job.accepted_s:
            job.queue, job.accepted_s = event["queue"], at_s
            job.team = event.get("team", "")
            span.accepted += 1
    elif event_name == "decider: start":
        job = jobs.setdefault(job_id, JobTimes(job_id))
        if job.first_start_s is None:
            job.first_start_s = at_s
            span.started += 1
        for task_index, _, upstream in event["runs"]:
            run_starts[str(event["step"]), upstream, task_index] = at_s
    elif event_name in ("decider: runs ended", "decider: runs lost"):
        end = event["end"] if event_name == "decider: runs ended" else event["cause"]
        for task_index in event["tasks"]:
            run_start_s = run_starts.pop(
                (str(event["step"]), event["upstream"], task_index), None
            )
            if run_start_s is not None and end != "done":
                span.in_vain_s[end] += at_s - run_start_s
    elif event_name == "decider: job ended":
        job = jobs.setdefault(job_id, JobTimes(job_id))
        job.ended_s, job.state = at_s, event["state"]
        span.ended += 1
        if job.accepted_s:
            span.ages_s.append(at_s - job.accepted_s)


def _is_waiting(job: JobTimes, at_s: float) -> bool:
    if not job.accepted_s or job.accepted_s > at_s:
        return False
    if job.ended_s is not None and job.ended_s <= at_s:
        return False
    return job.first_start_s is None or job.first_start_s > at_s


def pick_quantile(values: list[float], fraction: float) -> float:
    """Return a quantile as one of the values, or 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
