"""Which requests were late, refused or failed, and why, from the logs of edge VMs."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from papayadyke_cli._log_lines import INTAKE, JOB_ADDED, JOB_ENDED, REFUSED

# Multiple of its objective after which the result of a job is worthless to its caller.
MAX_LATE_FACTOR = 3.0
JOB_PATH = re.compile(r"/([0-9a-f]{16})$")
TERM_BEGAN = "decider: term began"
UNKNOWN = "unknown"
# Causes beside those of the decider: earlier attempts of the caller were refused, and
# a task failed as often as its queue allows.
REFUSED_BEFORE, TASK_FAILED = "refused_before", "task_failed"
# The job still ran when the logs end, or the line of its end is missing.
NO_END = "no_end_in_logs"
# Jobs of a queue by size: the largest tenth, the fifth below it, and the others.
SIZE_BANDS = (("largest tenth", 0.1), ("next fifth", 0.3), ("others", 1.0))


class Outcome(StrEnum):
    """How a request ended for its caller."""

    IN_TIME = "in_time"
    LATE = "late"
    WORTHLESS = "worthless"
    REFUSED = "refused"
    FAILED = "failed"
    UNFINISHED = "unfinished"
    CANCELLED = "cancelled"


LOSSES = (
    Outcome.LATE,
    Outcome.WORTHLESS,
    Outcome.REFUSED,
    Outcome.FAILED,
    Outcome.UNFINISHED,
)


@dataclass(slots=True)
class Request:
    """What the logs say of a job.

    Parameters
    ----------
    job_id : str
    first_s : float
        Unix time of its first attempt, in seconds.
    vm, queue, team : str
        VM that the first attempt reached; queue and team are empty if no VM knew them.
    accepted_s, ended_s : float or None
        Unix time in seconds.
    state : str
        Last state; empty before the end.
    objective_s : float or None
        Seconds within which it is in time.
    delays : dict of str to float
        Seconds by cause.
    refusals : Counter
        Attempts that were refused, by reason.
    work_core_s : float or None
        Declared work in core-seconds; None if no line tells it.
    """

    job_id: str
    first_s: float
    vm: str = ""
    queue: str = ""
    team: str = ""
    accepted_s: float | None = None
    ended_s: float | None = None
    state: str = ""
    objective_s: float | None = None
    delays: dict[str, float] = field(default_factory=dict)
    refusals: Counter[str] = field(default_factory=Counter)
    work_core_s: float | None = None

    @property
    def outcome(self) -> Outcome:
        """How the request ended for its caller."""
        if self.accepted_s is None and self.ended_s is None:
            return Outcome.REFUSED
        if self.ended_s is None:
            return Outcome.UNFINISHED
        if self.state != "complete":
            is_cancelled = self.state in ("cancelled", "canceled")
            return Outcome.CANCELLED if is_cancelled else Outcome.FAILED
        objective_s = self.objective_s
        age_s = self.ended_s - self.first_s
        if objective_s is None or age_s <= objective_s:
            return Outcome.IN_TIME
        is_useful = age_s <= MAX_LATE_FACTOR * objective_s
        return Outcome.LATE if is_useful else Outcome.WORTHLESS

    @property
    def main_cause(self) -> str:
        """The cause that took the most time; for a refused request, the reason."""
        if self.outcome is Outcome.REFUSED:
            reasons = self.refusals.most_common(1)
            return f"refused: {reasons[0][0]}" if reasons else UNKNOWN
        if self.outcome is Outcome.FAILED:
            return TASK_FAILED
        if self.outcome is Outcome.UNFINISHED:
            return NO_END
        return max(self.delays, key=lambda cause: self.delays[cause], default=UNKNOWN)


@dataclass(frozen=True, slots=True)
class LossReport:
    """Requests of a set of logs.

    Parameters
    ----------
    requests : tuple of Request
        In the order of their first attempts.
    zones : dict of str to str
        Zone of each VM that the logs name.
    unreadable, dropped : int
        Lines that could not be read, and lines that VMs report as not written.
    """

    requests: tuple[Request, ...]
    zones: dict[str, str]
    unreadable: int = 0
    dropped: int = 0


def find_losses(events: Sequence[dict[str, Any]], *, unreadable: int = 0) -> LossReport:
    """Return the report on the events of any number of VMs.

    Parameters
    ----------
    events : sequence of dict
        In the order of time; see `parse_events`.
    unreadable : int, default=0
    """
    requests: dict[str, Request] = {}
    zones: dict[str, str] = {}
    dropped = 0
    for event in events:
        name = event["msg"]
        if name == "edge: started":
            zones[event["vm"]] = event.get("zone", "")
        elif name == "logs: lines dropped":
            dropped += event["count"]
        elif name == REFUSED:
            _apply_refusal(event, requests)
        elif name == INTAKE:
            _apply_intake(event, requests)
        elif name == JOB_ADDED:
            _apply_size(event, requests)
        elif name == JOB_ENDED:
            _apply_end(event, requests)
            _apply_size(event, requests)
    _add_takeover_gaps(events, requests.values())
    ordered = sorted(requests.values(), key=lambda request: request.first_s)
    return LossReport(tuple(ordered), zones, unreadable, dropped)


def count_causes(
    requests: Iterable[Request],
) -> dict[str, tuple[Counter[str], float]]:
    """Return the lost requests by queue and the seconds lost, for each main cause."""
    causes: dict[str, tuple[Counter[str], float]] = {}
    for request in requests:
        if request.outcome not in LOSSES:
            continue
        cause = request.main_cause
        queues, seconds = causes.get(cause, (Counter(), 0.0))
        queues[request.queue or UNKNOWN] += 1
        causes[cause] = queues, seconds + request.delays.get(cause, 0.0)
    return dict(sorted(causes.items(), key=lambda row: -row[1][0].total()))


def group_requests(report: LossReport, by: str) -> dict[str, list[Request]]:
    """Return the requests by `queue`, `size`, `zone`, `team` or `vm`."""
    if by == "size":
        return _group_by_size(report)
    groups: dict[str, list[Request]] = {}
    for request in report.requests:
        if by == "zone":
            name = report.zones.get(request.vm, "")
        else:
            name = getattr(request, by)
        groups.setdefault(name or UNKNOWN, []).append(request)
    return dict(sorted(groups.items()))


def _group_by_size(report: LossReport) -> dict[str, list[Request]]:
    """Return the requests of each queue by their declared work, the largest first.

    Requests whose size no line tells are a group of their own.
    """
    groups: dict[str, list[Request]] = {}
    for queue, requests in group_requests(report, "queue").items():
        sized = [r for r in requests if r.work_core_s is not None]
        sized.sort(key=lambda r: (-(r.work_core_s or 0.0), r.job_id))
        begin = 0
        for band, share in SIZE_BANDS:
            end = round(share * len(sized))
            if begin < end:
                groups[f"{queue} {band}"] = sized[begin:end]
            begin = end
        if len(sized) < len(requests):
            unsized = [r for r in requests if r.work_core_s is None]
            groups[f"{queue} {UNKNOWN}"] = unsized
    return groups


def split_by_time(
    report: LossReport, step_s: float
) -> list[tuple[float, list[Request]]]:
    """Return the requests by the span of their first attempt.

    Returns
    -------
    spans : list of (float, list of Request)
        Each with the seconds from the first request to its begin.
    """
    if not report.requests:
        return []
    first_s = report.requests[0].first_s
    spans: dict[int, list[Request]] = {}
    for request in report.requests:
        spans.setdefault(int((request.first_s - first_s) / step_s), []).append(request)
    return [(number * step_s, spans[number]) for number in sorted(spans)]


def _apply_refusal(event: dict[str, Any], requests: dict[str, Request]) -> None:
    found = JOB_PATH.search(event.get("path", ""))
    if event.get("method") != "POST" or found is None:
        return
    request = requests.setdefault(
        found[1], Request(found[1], event["ts"], vm=event.get("vm", ""))
    )
    request.refusals[f"{event['status']} {_read_detail(event.get('why', ''))}"] += 1


def _read_detail(why: str) -> str:
    """Return the detail of an error body, or the body itself."""
    found = re.fullmatch(r'\{"error":"(.*)"\}', why)
    return found[1] if found else why


def _apply_intake(event: dict[str, Any], requests: dict[str, Request]) -> None:
    job_id = event["request"]
    request = requests.setdefault(
        job_id, Request(job_id, event["ts"], vm=event.get("vm", ""))
    )
    request.queue = event["queue"]
    request.team = event.get("team", "")
    if event["outcome"] == "accepted" and request.accepted_s is None:
        request.accepted_s = event["ts"]
        if request.refusals:
            request.delays[REFUSED_BEFORE] = event["ts"] - request.first_s


def _apply_end(event: dict[str, Any], requests: dict[str, Request]) -> None:
    job_id = event["request"]
    # Without the line of its acceptance, the age tells when that was.
    accepted_s = event["ts"] - event["age_s"]
    request = requests.setdefault(job_id, Request(job_id, accepted_s))
    if request.accepted_s is None:
        request.accepted_s = accepted_s
    request.queue = request.queue or event.get("queue", "")
    request.ended_s, request.state = event["ts"], event["state"]
    request.objective_s = event.get("objective_s")
    for cause, seconds in (event.get("delays") or {}).items():
        request.delays[cause] = request.delays.get(cause, 0.0) + seconds


def _apply_size(event: dict[str, Any], requests: dict[str, Request]) -> None:
    request = requests.get(event["request"])
    if request is not None and "core_s" in event:
        request.work_core_s = event["core_s"]


def _add_takeover_gaps(
    events: Sequence[dict[str, Any]], requests: Iterable[Request]
) -> None:
    """Add the time without a decider to the delays of the jobs that were open then."""
    gaps: list[tuple[float, float]] = []
    last_s: float | None = None
    for event in events:
        if not event["msg"].startswith("decider: "):
            continue
        if event["msg"] == TERM_BEGAN and last_s is not None:
            gaps.append((last_s, event["ts"]))
        last_s = event["ts"]
    for request in requests:
        if request.accepted_s is None:
            continue
        ended_s = float("inf") if request.ended_s is None else request.ended_s
        for begin_s, end_s in gaps:
            if request.accepted_s < end_s < ended_s:
                gap_s = end_s - max(begin_s, request.accepted_s)
                request.delays["takeover"] = request.delays.get("takeover", 0.0) + gap_s
