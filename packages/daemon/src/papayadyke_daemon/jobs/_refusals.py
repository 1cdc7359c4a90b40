"""What callers of jobs are told when there is no job to show."""

from __future__ import annotations

from papayadyke_core.verdicts import Reason, Refusal, Verdict

RETRY_AFTER_S = 1.0


def unknown_workload(name: str) -> Refusal:
    """Return the refusal for a workload that no operator created."""
    return Refusal(
        Verdict.NOT_RUN, Reason.UNKNOWN_WORKLOAD, f"there is no workload {name}"
    )


def unknown_job(job_id: str) -> Refusal:
    """Return the refusal for a job that is not known (any more)."""
    return Refusal(
        Verdict.MAY_HAVE_RUN,
        Reason.UNKNOWN_REQUEST,
        f"there is no record of a job {job_id}",
    )


def no_home(verdict: Verdict) -> Refusal:
    """Return the refusal where the partition's owner could not be reached."""
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
    """Return the refusal for a key that came with another body before."""
    return Refusal(
        Verdict.NOT_RUN,
        Reason.KEY_CONFLICT,
        "the idempotency key was used with a different body",
    )


def too_large(limit: int) -> Refusal:
    """Return the refusal for a job that fits in no segment."""
    return Refusal(
        Verdict.NOT_RUN, Reason.TOO_LARGE, f"a stored job has at most {limit} bytes"
    )


def too_many() -> Refusal:
    """Return the refusal where this VM has all the jobs that it takes."""
    return Refusal(
        Verdict.NOT_RUN,
        Reason.QUEUE_FULL,
        "this VM has as many unfinished jobs as it takes",
        RETRY_AFTER_S,
    )
