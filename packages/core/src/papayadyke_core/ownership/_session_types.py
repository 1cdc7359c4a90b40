"""Settings of a session, and what it asks of the upstream."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True, kw_only=True)
class SessionSettings:
    """Times of a session.

    Parameters
    ----------
    ttl_s : float, default=6.0
    margin_s : float, default=0.5
        Time before the lapse at which the owner stops to start tasks.
    max_drift : float, default=0.01
        The rate of one clock is at least `1 - max_drift` times that of another.
    start_window_s : float, default=1.0
        Time within which a start has to have reached the upstream.
    answer_timeout_s : float, default=1.0
        Time after which a request without an answer is given up.
    retry_s : float, default=0.5
        Time between two attempts to open a session.
    """

    ttl_s: float = 6.0
    margin_s: float = 0.5
    max_drift: float = 0.01
    start_window_s: float = 1.0
    answer_timeout_s: float = 1.0
    retry_s: float = 0.5


class SessionState(StrEnum):
    """Where a session stands, as far as its owner knows."""

    CLOSED = "closed"
    OPEN = "open"
    HANDING_OVER = "handing_over"


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """Ask the upstream for a session, or for a higher epoch of the one held."""

    upstream: str
    vm: str
    incarnation: int
    epoch: int
    ttl_s: float
    sent_s: float


@dataclass(frozen=True, slots=True)
class RenewRequest:
    """Ask the upstream to keep the session."""

    upstream: str
    token: int
    sent_s: float


@dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """Tell the upstream that the session ends."""

    upstream: str
    token: int


SessionRequest = OpenRequest | RenewRequest | ReleaseRequest


@dataclass(frozen=True, slots=True)
class StartPermit:
    """What goes with a start.

    Parameters
    ----------
    token : int
    start_before_s : float
        On the clock of the upstream.
    closed_after_s : float
        On the clock of the owner: by then the upstream refuses the start if it
        has not received it yet, whatever the two clocks and the network do.
    """

    token: int
    start_before_s: float
    closed_after_s: float
