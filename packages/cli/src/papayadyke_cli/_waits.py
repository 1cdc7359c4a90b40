"""Who waited, who was refused, and what ran in vain, from the logs of edge VMs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

COMPLETE = "complete"
NOT_DONE = "unfinished"


@dataclass(slots=True)
class JobWaits:
    """One job as the logs tell it; times in seconds since 1970."""

    job_id: str
    queue: str = ""
    accepted_s: float = 0.0
    first_start_s: float | None = None
    ended_s: float | None = None
    state: str = NOT_DONE


@dataclass(slots=True)
class Span:
    """What happened in one span of time.

    Parameters
    ----------
    begins_s : float
    accepted, started, ended, waiting : int
        Jobs; `waiting` are those not begun at the end of the span.
    refused : Counter
        Requests by status.
    ages_s : list of float
        Of the jobs that ended, from their acceptance.
    in_vain_s : Counter
        Seconds of tasks that ran and were not done, by how they ended.
    """

    begins_s: float
    accepted: int = 0
    started: int = 0
    ended: int = 0
    waiting: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    ages_s: list[float] = field(default_factory=list)
    in_vain_s: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True)
class WaitsReport:
    """All jobs and spans of some logs.

    Parameters
    ----------
    jobs : list of JobWaits
    spans : list of Span
    unreadable : int
        Lines that are no JSON object.
    """

    jobs: list[JobWaits]
    spans: list[Span]
    unreadable: int


def read_waits(lines: Iterable[str], *, step_s: float) -> WaitsReport:
    """Read log lines of any number of VMs, in any order.

    Parameters
    ----------
    lines : iterable of str
        What comes before the object of a line, such as a VM's name, is skipped.
    step_s : float
        Length of a span, in seconds.
    """
    events, unreadable = _parse(lines)
    jobs: dict[str, JobWaits] = {}
    begun: dict[tuple[str, str, int], float] = {}
    spans: dict[int, Span] = {}
    for event in events:
        at_s = event["ts"]
        number = int((at_s - events[0]["ts"]) / step_s)
        begins_s = events[0]["ts"] + number * step_s
        span = spans.setdefault(number, Span(begins_s))
        _take(event, jobs, begun, span)
    for span in spans.values():
        end_s = span.begins_s + step_s
        span.waiting = sum(_is_waiting(job, end_s) for job in jobs.values())
    return WaitsReport(
        [job for job in jobs.values() if job.accepted_s],
        [spans[number] for number in sorted(spans)],
        unreadable,
    )


def _parse(lines: Iterable[str]) -> tuple[list[dict[str, Any]], int]:
    events: list[dict[str, Any]] = []
    unreadable = 0
    for line in lines:
        begin = line.find("{")
        if begin < 0:
            unreadable += bool(line.strip())
            continue
        try:
            event = msgspec.json.decode(line[begin:])
            events.append({**event, "ts": float(event["ts"]), "msg": event["msg"]})
        except (msgspec.DecodeError, KeyError, TypeError, ValueError):
            unreadable += 1
    events.sort(key=lambda event: event["ts"])
    return events, unreadable


def _take(
    event: dict[str, Any],
    jobs: dict[str, JobWaits],
    begun: dict[tuple[str, str, int], float],
    span: Span,
) -> None:
    at_s, what = event["ts"], event["msg"]
    if what == "callers: refused":
        span.refused[str(event["status"])] += 1
        return
    job_id = event.get("request", "")
    if what == "intake: job" and event["outcome"] == "accepted":
        job = jobs.setdefault(job_id, JobWaits(job_id))
        if not job.accepted_s:
            job.queue, job.accepted_s = event["queue"], at_s
            span.accepted += 1
    elif what == "decider: start":
        job = jobs.setdefault(job_id, JobWaits(job_id))
        if job.first_start_s is None:
            job.first_start_s = at_s
            span.started += 1
        for number, _, upstream in event["runs"]:
            begun[str(event["step"]), upstream, number] = at_s
    elif what == "decider: runs ended":
        for number in event["tasks"]:
            since_s = begun.pop((str(event["step"]), event["upstream"], number), None)
            if since_s is not None and event["end"] != "done":
                span.in_vain_s[event["end"]] += at_s - since_s
    elif what == "decider: job ended":
        job = jobs.setdefault(job_id, JobWaits(job_id))
        job.ended_s, job.state = at_s, event["state"]
        span.ended += 1
        if job.accepted_s:
            span.ages_s.append(at_s - job.accepted_s)


def _is_waiting(job: JobWaits, at_s: float) -> bool:
    if not job.accepted_s or job.accepted_s > at_s:
        return False
    if job.ended_s is not None and job.ended_s <= at_s:
        return False
    return job.first_start_s is None or job.first_start_s > at_s


def pick_share(values: list[float], share: float) -> float:
    """Return the value that a share of the values does not exceed, 0 for none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
