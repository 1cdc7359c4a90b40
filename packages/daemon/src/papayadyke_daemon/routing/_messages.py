"""Peer messages that forward requests, idempotency keys and jobs."""

from __future__ import annotations

from msgspec import Struct

from papayadyke_core.verdicts import Reason, Refusal, Verdict


class RefusalMessage(Struct, tag="refusal", frozen=True, array_like=True):
    """A refusal, as it is sent to a peer."""

    verdict: str
    reason: str
    detail: str
    retry_after_s: float | None
    holders: tuple[str, ...]


class ForwardRun(Struct, tag="forward_run", frozen=True, array_like=True):
    """Request to run a synchronous request that a peer forwards.

    Parameters
    ----------
    request_id, workload : str
    payload : bytes
    content_type : str
    remaining_s : float
        Time until the deadline of the request, in seconds.
    base_id : str
    hops : int
        Number of times that the receiver may still forward the request.
    """

    request_id: str
    workload: str
    payload: bytes
    content_type: str
    remaining_s: float
    base_id: str
    hops: int


class RunAnswered(Struct, tag="run_answered", frozen=True, array_like=True):
    """The complete answer to a forwarded request."""

    status: int
    content_type: str
    body: bytes
    upstream: str
    attempts: int
    wait_s: float
    run_s: float


class RunReply(Struct, tag="run_reply", frozen=True, array_like=True):
    """Outcome of a forwarded request: either an answer or a refusal."""

    answered: RunAnswered | None
    refusal: RefusalMessage | None


class ClaimKey(Struct, tag="claim_key", frozen=True, array_like=True):
    """Request to claim an idempotency key."""

    key: str
    workload: str
    body: bytes
    request_id: str
    holder: str
    hops: int


class KeptAnswer(Struct, tag="kept_answer", frozen=True, array_like=True):
    """The recorded answer of an earlier request with the same key."""

    status: int
    content_type: str
    body: bytes
    kept: bool


class ClaimReply(Struct, tag="claim_reply", frozen=True, array_like=True):
    """Outcome of a claim; `kind` is empty if the claim was refused."""

    kind: str
    request_id: str
    answer: KeptAnswer | None
    refusal: RefusalMessage | None


class PlaceKey(Struct, tag="place_key", frozen=True, array_like=True):
    """Request to record the upstream of a keyed request."""

    key: str
    request_id: str
    upstream: str
    hops: int


class RecordKey(Struct, tag="record_key", frozen=True, array_like=True):
    """Request to record the outcome of a keyed request."""

    key: str
    request_id: str
    answer: KeptAnswer | None
    refusal: RefusalMessage | None
    hops: int


class SubmitJob(Struct, tag="submit_job", frozen=True, array_like=True):
    """Request to accept a job; `model` is the validated job, as JSON."""

    model: bytes
    hops: int


class ShowJob(Struct, tag="show_job", frozen=True, array_like=True):
    """Request for a job, waiting up to `wait_s` seconds for its end."""

    job_id: str
    wait_s: float
    hops: int


class CancelJob(Struct, tag="cancel_job", frozen=True, array_like=True):
    """Request to cancel a job, waiting up to `wait_s` seconds for its end."""

    job_id: str
    wait_s: float
    hops: int


class JobReply(Struct, tag="job_reply", frozen=True, array_like=True):
    """The view of a job, as JSON, or the refusal of the call."""

    job_id: str
    view: bytes
    is_new: bool
    refusal: RefusalMessage | None


def encode_refusal(refusal: Refusal) -> RefusalMessage:
    """Convert a refusal to its peer message."""
    return RefusalMessage(
        verdict=refusal.verdict,
        reason=refusal.reason,
        detail=refusal.detail,
        retry_after_s=refusal.retry_after_s,
        holders=refusal.holders,
    )


def decode_refusal(message: RefusalMessage) -> Refusal:
    """Convert a peer message to its refusal.

    Raises
    ------
    ValueError
        If the verdict or the reason is not a member of its enumeration.
    """
    return Refusal(
        verdict=Verdict(message.verdict),
        reason=Reason(message.reason),
        detail=message.detail,
        retry_after_s=message.retry_after_s,
        holders=message.holders,
    )
