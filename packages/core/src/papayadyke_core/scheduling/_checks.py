"""Whether a request is taken in: every limit that speaks at once."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from papayadyke_core.admission import AdmissionSettings
from papayadyke_core.scheduling._book import Book
from papayadyke_core.scheduling._state import WorkloadState
from papayadyke_core.scheduling._types import Request
from papayadyke_core.verdicts import Reason, Refusal, Verdict
from papayadyke_core.workloads import Kind

_ROUNDING = 1e-9
_MIN_RETRY_AFTER_S = 0.05


@dataclass(frozen=True, slots=True)
class Objection:
    """Why a request is not taken in.

    Parameters
    ----------
    reason : Reason
    detail : str
    retry_after_s : float or None, default=None
    """

    reason: Reason
    detail: str
    retry_after_s: float | None = None


Check = Callable[[Book, WorkloadState, Request, float], Objection | None]


def check_request(
    book: Book, state: WorkloadState, req: Request, now: float
) -> Objection | None:
    """Return the first objection to a request, or None where it is taken in.

    The cheapest checks go first, because most requests of a flood end there.
    """
    for check in _CHECKS:
        objection = check(book, state, req, now)
        if objection is not None:
            return objection
    return None


def _check_form(
    book: Book, state: WorkloadState, req: Request, now: float
) -> Objection | None:
    if req.tasks < 1 or req.attempt < 1:
        return Objection(Reason.BAD_REQUEST, "tasks and attempt start at 1")
    for queued in book.queued.get(req.id, ()):
        if queued.attempt == req.attempt:
            return Objection(Reason.BAD_REQUEST, "the same attempt waits already")
    return None


def _check_deadline_ahead(
    book: Book, state: WorkloadState, req: Request, now: float
) -> Objection | None:
    if req.deadline_s > now:
        return None
    return Objection(Reason.EXPIRED, "the deadline had passed on arrival")


def _check_admitted(
    book: Book, state: WorkloadState, req: Request, now: float
) -> Objection | None:
    if state.rule.admit:
        return None
    return Objection(Reason.NOT_ADMITTED, f"the preset in force admits no {state.name}")


def _check_queue_limit(
    book: Book, state: WorkloadState, req: Request, now: float
) -> Objection | None:
    queued = len(state.queue)
    if queued < state.queue_limit:
        return None
    return Objection(
        Reason.QUEUE_FULL,
        f"{queued} requests of {state.name} wait, which is its limit",
        _queue_wait_s(book, state, now),
    )


def _check_deadline_reachable(
    book: Book, state: WorkloadState, req: Request, now: float
) -> Objection | None:
    if book.fleet.slots == 0:
        return None
    wait_s = state.service_rate.wait_s(state.queue.tasks, now)
    left_s = req.deadline_s - now
    margin = book.settings.admission.deadline_margin
    if wait_s is None or wait_s <= left_s * margin:
        return None
    return Objection(
        Reason.DEADLINE_UNREACHABLE,
        f"a wait of {wait_s:.2f} s is expected and {left_s:.2f} s are left",
        max(wait_s - left_s, _MIN_RETRY_AFTER_S),
    )


def _check_can_run(
    book: Book, state: WorkloadState, req: Request, now: float
) -> Objection | None:
    account = state.account
    tasks = req.tasks if account.kind is Kind.GANG else 1
    if not book.specs or book.fleet.can_ever_fit(account.demand, tasks=tasks):
        return None
    if book.fitted_lately(account.demand, tasks, now):
        return None
    what = f"{tasks} tasks at once" if tasks > 1 else "a task"
    return Objection(
        Reason.CAN_NEVER_RUN, f"no upstreams could hold {what} of {state.name}"
    )


def _check_gang_limits(
    book: Book, state: WorkloadState, req: Request, now: float
) -> Objection | None:
    account = state.account
    size = book.shares.size
    if account.kind is not Kind.GANG or req.tasks == 1 or size.slots == 0:
        return None
    ceiling = account.ceiling
    largest = min(ceiling, account.team.team.quota)
    part = size.share(account.demand * req.tasks, req.tasks)
    if largest >= 1.0 or part <= largest + _ROUNDING:
        return None
    limit = "ceiling" if ceiling == largest else "team's quota"
    return Objection(
        Reason.QUOTA_EXCEEDED, f"all tasks at once are more than the {limit}"
    )


def _check_fails_everywhere(
    book: Book, state: WorkloadState, req: Request, now: float
) -> Objection | None:
    if req.attempt == 1 or not book.health.is_failing_everywhere(req.id):
        return None
    return Objection(Reason.FAILS_EVERYWHERE, "it failed on each upstream it was on")


def _check_retry_budget(
    book: Book, state: WorkloadState, req: Request, now: float
) -> Objection | None:
    if req.attempt == 1 or state.retry_budget.take_retry():
        return None
    return Objection(
        Reason.NO_CAPACITY,
        f"the retries of {state.name} have used up their budget",
        _queue_wait_s(book, state, now),
    )


_CHECKS: tuple[Check, ...] = (
    _check_admitted,
    _check_queue_limit,
    _check_form,
    _check_deadline_ahead,
    _check_deadline_reachable,
    _check_can_run,
    _check_gang_limits,
    _check_fails_everywhere,
    _check_retry_budget,
)


def _queue_wait_s(book: Book, state: WorkloadState, now: float) -> float:
    """Return how long a request behind the whole queue would wait."""
    wait_s = state.service_rate.wait_s(state.queue.tasks, now)
    if wait_s is None:
        return book.settings.admission.default_retry_after_s
    return max(wait_s, _MIN_RETRY_AFTER_S)


def flood_objection(
    state: WorkloadState, now: float, *, settings: AdmissionSettings
) -> Objection:
    """Return why a request that could not start is refused during a flood.

    A flood that has lasted for some time is expected to last as long again.
    """
    arriving = state.flood.arrival_rate
    starting = state.flood.start_rate
    age_s = state.flood.age_s(now)
    return Objection(
        Reason.QUEUE_FULL,
        f"{arriving:.0f} requests of {state.name} arrive each second and "
        f"{starting:.0f} can start, so none is queued",
        min(max(age_s, _MIN_RETRY_AFTER_S), settings.max_retry_after_s),
    )


def to_refusal(
    objection: Objection, *, may_have_run: bool, holders: tuple[str, ...]
) -> Refusal:
    """Return what the caller is told."""
    verdict = Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN
    return Refusal(
        verdict=verdict,
        reason=objection.reason,
        detail=objection.detail,
        retry_after_s=objection.retry_after_s,
        holders=holders,
    )
