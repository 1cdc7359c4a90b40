"""Messages by which daemons hand requests, keys and jobs to each other."""

from __future__ import annotations

from msgspec import Struct

from papayadyke_core.verdicts import Reason, Refusal, Verdict


class RefusalMessage(Struct, tag="refusal", frozen=True, array_like=True):
    """A refusal."""

    verdict: str
    reason: str
    detail: str
    retry_after_s: float | None
    holders: tuple[str, ...]


class ForwardRun(Struct, tag="forward_run", frozen=True, array_like=True):
    """Run a synchronous request.

    Parameters
    ----------
    request_id, workload : str
    payload : bytes
    content_type : str
    remaining_s : float
        Time that its caller still waits, in seconds.
    base_id : str
    hops : int
        How often it may be handed on from here.
    """

    request_id: str
    workload: str
    payload: bytes
    content_type: str
    remaining_s: float
    base_id: str
    hops: int


class RunAnswered(Struct, tag="run_answered", frozen=True, array_like=True):
    """The whole answer of a request."""

    status: int
    content_type: str
    body: bytes
    upstream: str
    attempts: int
    wait_s: float
    run_s: float


class RunReply(Struct, tag="run_reply", frozen=True, array_like=True):
    """How a forwarded request ended: one of the two is given."""

    answered: RunAnswered | None
    refusal: RefusalMessage | None


class ClaimKey(Struct, tag="claim_key", frozen=True, array_like=True):
    """Claim an idempotency key."""

    key: str
    workload: str
    body: bytes
    request_id: str
    holder: str
    hops: int


class KeptAnswer(Struct, tag="kept_answer", frozen=True, array_like=True):
    """The answer of an earlier request with the key."""

    status: int
    content_type: str
    body: bytes
    kept: bool


class ClaimReply(Struct, tag="claim_reply", frozen=True, array_like=True):
    """What a claim found; `kind` is empty where it was refused."""

    kind: str
    request_id: str
    answer: KeptAnswer | None
    refusal: RefusalMessage | None


class PlaceKey(Struct, tag="place_key", frozen=True, array_like=True):
    """Note the upstream of a keyed request."""

    key: str
    request_id: str
    upstream: str
    hops: int


class RecordKey(Struct, tag="record_key", frozen=True, array_like=True):
    """Record how a keyed request ended."""

    key: str
    request_id: str
    answer: KeptAnswer | None
    refusal: RefusalMessage | None
    hops: int


class SubmitJob(Struct, tag="submit_job", frozen=True, array_like=True):
    """Accept a job; `model` is its JSON, as the caller sent it, checked."""

    model: bytes
    hops: int


class ShowJob(Struct, tag="show_job", frozen=True, array_like=True):
    """Show a job, waiting for its end."""

    job_id: str
    wait_s: float
    hops: int


class CancelJob(Struct, tag="cancel_job", frozen=True, array_like=True):
    """Cancel a job."""

    job_id: str
    wait_s: float
    hops: int


class JobReply(Struct, tag="job_reply", frozen=True, array_like=True):
    """A job's view in JSON, or why there is none."""

    job_id: str
    view: bytes
    is_new: bool
    refusal: RefusalMessage | None


def write_refusal(refusal: Refusal) -> RefusalMessage:
    """Return the message of a refusal."""
    return RefusalMessage(
        verdict=refusal.verdict,
        reason=refusal.reason,
        detail=refusal.detail,
        retry_after_s=refusal.retry_after_s,
        holders=refusal.holders,
    )


def read_refusal(message: RefusalMessage) -> Refusal:
    """Return the refusal of a message.

    Raises
    ------
    ValueError
        If verdict or reason is none of the closed lists.
    """
    return Refusal(
        verdict=Verdict(message.verdict),
        reason=Reason(message.reason),
        detail=message.detail,
        retry_after_s=message.retry_after_s,
        holders=message.holders,
    )
