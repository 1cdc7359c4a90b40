"""Settings and states of a session, and its requests to the upstream."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True, kw_only=True)
class SessionSettings:
    """Times of a session in seconds, and the assumed clock drift.

    Parameters
    ----------
    ttl_s : float, default=6.0
        Time to live that is requested from the upstream.
    expiry_margin_s : float, default=0.5
        Time before expiry at which the owner stops starting tasks.
    max_clock_drift : float, default=0.01
        Largest relative clock drift: the rate of one clock is at least
        `1 - max_clock_drift` times that of another.
    start_window_s : float, default=1.0
        Time within which a start must reach the upstream.
    answer_timeout_s : float, default=1.0
        Time after which an unanswered request is abandoned.
    retry_delay_s : float, default=0.5
        Time between a refused or lost request and the next attempt.
    """

    ttl_s: float = 6.0
    expiry_margin_s: float = 0.5
    max_clock_drift: float = 0.01
    start_window_s: float = 1.0
    answer_timeout_s: float = 1.0
    retry_delay_s: float = 0.5


class SessionState(StrEnum):
    """State of a session as seen by its owner."""

    CLOSED = "closed"
    OPEN = "open"
    HANDING_OVER = "handing_over"


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """Request to open a session, or to raise the epoch of the one held."""

    upstream: str
    vm: str
    incarnation: int
    epoch: int
    ttl_s: float
    sent_s: float


@dataclass(frozen=True, slots=True)
class RenewRequest:
    """Request to renew the session."""

    upstream: str
    token: int
    sent_s: float


@dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """Request to end the session."""

    upstream: str
    token: int


SessionRequest = OpenRequest | RenewRequest | ReleaseRequest


@dataclass(frozen=True, slots=True)
class StartPermit:
    """Fencing token and time limits of one start.

    Parameters
    ----------
    token : int
        Fencing token of the session.
    start_before_s : float
        Time on the clock of the upstream, in seconds, from which it refuses the
        start.
    refused_after_s : float
        Time on the clock of the owner, in seconds, from which the upstream is
        certain to refuse the start if it has not received it yet, whatever the
        clock drift and the network delay.
    boot_id : str, default=""
        Boot id of the upstream that granted the session; empty if it is unknown.
    """

    token: int
    start_before_s: float
    refused_after_s: float
    boot_id: str = ""
