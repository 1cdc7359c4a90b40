"""Problem documents (RFC 9457) with the verdict of a refusal."""

from __future__ import annotations

import math

import msgspec

from papayadyke_clients.http import HttpAnswer
from papayadyke_core.verdicts import Reason, Refusal, Verdict

PROBLEM_CONTENT_TYPE = "application/problem+json"


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of a problem document."""

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
    """Make the HTTP response for a refusal.

    Parameters
    ----------
    refusal : Refusal
    request_id : str
    status : int or None, default=None
        HTTP status code; None uses that of the refusal's reason.

    Returns
    -------
    answer : HttpAnswer
        With `Retry-After`, rounded up to whole seconds, if the refusal has a
        retry time.
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
    return HttpAnswer(code, msgspec.json.encode(problem), PROBLEM_CONTENT_TYPE, headers)


def make_bad_request(
    detail: str, request_id: str, *, status: int | None = None
) -> HttpAnswer:
    """Make the HTTP response for an invalid request."""
    refusal = Refusal(Verdict.NOT_RUN, Reason.BAD_REQUEST, detail)
    return make_problem(refusal, request_id, status=status)


def refuse_method(request_id: str, allowed: str) -> HttpAnswer:
    """Make the HTTP response for a method that the path does not support."""
    return make_bad_request(f"This path takes {allowed} alone.", request_id, status=405)
