"""All verdicts and reasons of refusals, with their HTTP status codes."""

from __future__ import annotations

from enum import StrEnum


class Verdict(StrEnum):
    """Whether a request without a complete result may have run."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class Reason(StrEnum):
    """Why a request has no complete result; documented in docs/REASONS.md."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_WORKLOAD = "unknown_workload"
    UNKNOWN_REQUEST = "unknown_request"
    KEY_CONFLICT = "key_conflict"
    KEY_IN_PROGRESS = "key_in_progress"
    ANSWER_NOT_KEPT = "answer_not_kept"
    TOO_LARGE = "too_large"
    CAN_NEVER_RUN = "can_never_run"
    NOT_ADMITTED = "not_admitted"
    QUEUE_FULL = "queue_full"
    QUOTA_EXCEEDED = "quota_exceeded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    NO_CAPACITY = "no_capacity"
    DRAINING = "draining"
    STORE_UNAVAILABLE = "store_unavailable"
    KEY_HOME_UNREACHABLE = "key_home_unreachable"
    CANCELLED = "cancelled"
    EXPIRED = "expired"
    FAILS_EVERYWHERE = "fails_everywhere"
    TASK_FAILED = "task_failed"
    UPSTREAM_LOST = "upstream_lost"
    TIMED_OUT = "timed_out"
    STOPPED = "stopped"


HTTP_STATUS: dict[Reason, int] = {
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_WORKLOAD: 404,
    Reason.UNKNOWN_REQUEST: 404,
    Reason.KEY_CONFLICT: 409,
    Reason.KEY_IN_PROGRESS: 409,
    Reason.ANSWER_NOT_KEPT: 410,
    Reason.TOO_LARGE: 413,
    Reason.CAN_NEVER_RUN: 422,
    Reason.FAILS_EVERYWHERE: 422,
    Reason.NOT_ADMITTED: 429,
    Reason.QUEUE_FULL: 429,
    Reason.QUOTA_EXCEEDED: 429,
    Reason.DEADLINE_UNREACHABLE: 429,
    Reason.CANCELLED: 409,
    Reason.NO_CAPACITY: 503,
    Reason.DRAINING: 503,
    Reason.STORE_UNAVAILABLE: 503,
    Reason.KEY_HOME_UNREACHABLE: 503,
    Reason.TASK_FAILED: 503,
    Reason.UPSTREAM_LOST: 503,
    Reason.STOPPED: 503,
    Reason.EXPIRED: 504,
    Reason.TIMED_OUT: 504,
}
