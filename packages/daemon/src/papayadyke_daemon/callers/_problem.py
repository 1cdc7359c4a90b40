"""Problem documents (RFC 9457) that carry the verdict."""

from __future__ import annotations

import math

import msgspec

from papayadyke_clients.http import HttpAnswer
from papayadyke_core.verdicts import Reason, Refusal, Verdict

PROBLEM_TYPE = "application/problem+json"


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """The body of a problem document."""

    type: str
    title: str
    status: int
    verdict: str
    reason: str
    detail: str
    request_id: str
    holders: tuple[str, ...] = ()


def make_problem(
    refusal: Refusal, request_id: str, *, status: int | None = None
) -> HttpAnswer:
    """Return the HTTP answer of a refusal.

    Parameters
    ----------
    refusal : Refusal
    request_id : str
    status : int or None, default=None
        HTTP status code; None takes that of the reason.

    Returns
    -------
    answer : HttpAnswer
        With `Retry-After` in whole seconds where a retry makes sense.
    """
    code = refusal.http_status if status is None else status
    problem = Problem(
        type=f"urn:papayadyke:reason:{refusal.reason}",
        title=refusal.reason.replace("_", " ").capitalize(),
        status=code,
        verdict=refusal.verdict,
        reason=refusal.reason,
        detail=refusal.detail,
        request_id=request_id,
        holders=refusal.holders,
    )
    headers = {"Request-Id": request_id}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after_s)))
    return HttpAnswer(code, msgspec.json.encode(problem), PROBLEM_TYPE, headers)


def make_bad_request(
    detail: str, request_id: str, *, status: int | None = None
) -> HttpAnswer:
    """Return the HTTP answer to a request that is not understood."""
    refusal = Refusal(Verdict.NOT_RUN, Reason.BAD_REQUEST, detail)
    return make_problem(refusal, request_id, status=status)


def refuse_method(request_id: str, allowed: str) -> HttpAnswer:
    """Return the HTTP answer to a method that a path does not take."""
    return make_bad_request(f"This path takes {allowed} alone.", request_id, status=405)
