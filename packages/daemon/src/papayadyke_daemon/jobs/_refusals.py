"""Refusals of the job service."""

from __future__ import annotations

from papayadyke_core.verdicts import Reason, Refusal, Verdict

RETRY_AFTER_S = 1.0


def unknown_workload(name: str) -> Refusal:
    """Return the refusal for a workload that no operator created."""
    return Refusal(
        Verdict.NOT_RUN, Reason.UNKNOWN_WORKLOAD, f"there is no workload {name}"
    )


def unknown_job(job_id: str) -> Refusal:
    """Return the refusal for a job that is unknown or past its retention time."""
    return Refusal(
        Verdict.MAY_HAVE_RUN,
        Reason.UNKNOWN_REQUEST,
        f"there is no record of a job {job_id}",
    )


def owner_unreachable(verdict: Verdict) -> Refusal:
    """Return the refusal if the owner of the partition could not be reached."""
    return Refusal(
        verdict,
        Reason.KEY_HOME_UNREACHABLE,
        "no VM that could be reached keeps this part of the jobs",
        RETRY_AFTER_S,
    )


def not_stored() -> Refusal:
    """Return the refusal for a job that is not in the log and never will be."""
    return Refusal(
        Verdict.NOT_RUN,
        Reason.STORE_UNAVAILABLE,
        "the job could not be stored, so it was not accepted",
        RETRY_AFTER_S,
    )


def may_be_stored() -> Refusal:
    """Return the refusal for a job that may be in the log."""
    return Refusal(
        Verdict.MAY_HAVE_RUN,
        Reason.STORE_UNAVAILABLE,
        "the store did not say whether the job was stored; it may be accepted, and "
        "the same idempotency key will tell",
        RETRY_AFTER_S,
    )


def not_cancelled() -> Refusal:
    """Return the refusal for a cancellation that is not known to be stored."""
    return Refusal(
        Verdict.MAY_HAVE_RUN,
        Reason.STORE_UNAVAILABLE,
        "the cancellation could not be stored; the job may go on",
        RETRY_AFTER_S,
    )


def key_conflict() -> Refusal:
    """Return the refusal for a key that was used with a different body."""
    return Refusal(
        Verdict.NOT_RUN,
        Reason.KEY_CONFLICT,
        "the idempotency key was used with a different body",
    )


def too_large(limit: int) -> Refusal:
    """Return the refusal for a job that exceeds the size limit of a log segment."""
    return Refusal(
        Verdict.NOT_RUN, Reason.TOO_LARGE, f"a stored job has at most {limit} bytes"
    )


def too_many_jobs() -> Refusal:
    """Return the refusal if this VM has reached its limit of unfinished jobs."""
    return Refusal(
        Verdict.NOT_RUN,
        Reason.QUEUE_FULL,
        "this VM has as many unfinished jobs as it takes",
        RETRY_AFTER_S,
    )
