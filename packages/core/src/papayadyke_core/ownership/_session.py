"""The session of an owner at one upstream, as the owner counts it."""

from __future__ import annotations

from dataclasses import dataclass

from papayadyke_core.ownership._gate import (
    Granted,
    OpenRefusal,
    Refused,
    StartRefusal,
)
from papayadyke_core.ownership._session_types import (
    OpenRequest,
    ReleaseRequest,
    RenewRequest,
    SessionRequest,
    SessionSettings,
    SessionState,
    StartPermit,
)

# A renewal is sent when this part of the time to live has passed.
RENEW_FRACTION = 1 / 3


@dataclass(slots=True)
class _Lease:
    token: int
    epoch: int
    valid_until_s: float
    renew_at_s: float
    received_s: float
    upstream_now_s: float


class Session:
    """Opens, renews and ends the session at one upstream.

    It reads no clock. Every `now` is read at the moment of the call, so that a
    pause between two calls is noticed by the second. The time to live counts
    from the sending of a request, which is before the upstream's own count, and
    is shortened by the difference that the rates of two clocks may have.

    Parameters
    ----------
    upstream, vm : str
    incarnation : int
        Grows with each start of the daemon.
    settings : SessionSettings
    """

    def __init__(
        self, upstream: str, *, vm: str, incarnation: int, settings: SessionSettings
    ) -> None:
        self.upstream = upstream
        self.vm = vm
        self.incarnation = incarnation
        self.settings = settings
        self._epoch: int | None = None
        self._lease: _Lease | None = None
        self._handing_over = False
        self._next_try_s = float("-inf")
        self._outstanding: OpenRequest | RenewRequest | None = None
        self._starts_closed_s = float("-inf")
        self._asking_since_s: float | None = None

    @property
    def state(self) -> SessionState:
        """Where the session stands; an open one may have lapsed meanwhile."""
        if self._lease is None:
            return SessionState.CLOSED
        if self._handing_over:
            return SessionState.HANDING_OVER
        return SessionState.OPEN

    @property
    def token(self) -> int | None:
        """Fencing token of the session."""
        return self._lease.token if self._lease is not None else None

    @property
    def is_wanted(self) -> bool:
        """Tell whether this VM is to own the upstream."""
        return self._epoch is not None

    def want(self, epoch: int) -> None:
        """Own the upstream by the zone record of an epoch."""
        self._epoch = epoch if self._epoch is None else max(epoch, self._epoch)
        self._handing_over = False

    def hand_over(self) -> None:
        """Start nothing more, and release when no start is on its way."""
        self._epoch = None
        self._asking_since_s = None
        self._handing_over = self._lease is not None

    def may_start(self, now: float) -> bool:
        """Tell whether a start may be sent at this very moment."""
        lease = self._lease
        return (
            lease is not None and not self._handing_over and now < self._stop_s(lease)
        )

    def permit_start(self, now: float) -> StartPermit | None:
        """Return what has to go with a start that is sent now, or None."""
        lease = self._lease
        if lease is None or not self.may_start(now):
            return None
        limit_s = min(now + self.settings.start_window_s, self._stop_s(lease))
        # The grant was made before its answer came, so the upstream's clock is
        # past this value when the owner's clock reaches the limit.
        ahead_s = limit_s - lease.received_s
        start_before_s = lease.upstream_now_s + ahead_s
        closed_after_s = lease.received_s + ahead_s / (1 - self.settings.max_drift)
        self._starts_closed_s = max(self._starts_closed_s, closed_after_s)
        return StartPermit(lease.token, start_before_s, closed_after_s)

    def unanswered_s(self, now: float) -> float:
        """Return for how long the upstream has answered no request."""
        if self._asking_since_s is None:
            return 0.0
        return now - self._asking_since_s

    def note_refusal(self, token: int, reason: StartRefusal) -> None:
        """Take a refused start: unless it was only late, the session is over."""
        is_over = reason in (StartRefusal.STALE_TOKEN, StartRefusal.LAPSED)
        if is_over and self.token == token:
            self._close()

    def next_request(self, now: float) -> SessionRequest | None:
        """Return what to send to the upstream now, if anything.

        At most one request is on its way at a time. Its answer goes to `apply`;
        one that brings no answer is given up after a timeout.
        """
        self._drop_lapsed(now)
        if self._handing_over:
            return self._release(now)
        if self._epoch is None or now < self._next_try_s:
            return None
        lease = self._lease
        request: OpenRequest | RenewRequest
        if lease is None or lease.epoch < self._epoch:
            request = self._open_request(self._epoch, now)
        elif now >= lease.renew_at_s:
            request = RenewRequest(self.upstream, lease.token, now)
        else:
            return None
        self._outstanding = request
        if self._asking_since_s is None:
            self._asking_since_s = now
        self._next_try_s = now + self.settings.answer_timeout_s
        return request

    def apply(
        self,
        request: OpenRequest | RenewRequest,
        answer: Granted | Refused | None,
        now: float,
    ) -> bool:
        """Take the answer of a request; None where it was lost.

        Parameters
        ----------
        request : OpenRequest or RenewRequest
        answer : Granted or Refused or None
        now : float

        Returns
        -------
        is_new : bool
            True where the session is a new one, so that the tasks running on
            the upstream have to be adopted before the first start.
        """
        if request != self._outstanding:
            return False
        self._outstanding = None
        self._next_try_s = now + self.settings.retry_s
        if answer is None:
            return False
        self._asking_since_s = None
        if isinstance(answer, Refused):
            self._apply_refused(request, answer)
            return False
        return self._apply_granted(request, answer, now)

    def next_action_s(self, now: float) -> float | None:
        """Return when `next_request` has something to do, if known."""
        lease = self._lease
        if self._handing_over:
            return max(now, self._starts_closed_s)
        if self._epoch is None:
            return None
        if lease is None or lease.epoch < self._epoch:
            return max(now, self._next_try_s)
        return max(now, self._next_try_s, lease.renew_at_s)

    def _open_request(self, epoch: int, now: float) -> OpenRequest:
        ttl_s = self.settings.ttl_s
        return OpenRequest(self.upstream, self.vm, self.incarnation, epoch, ttl_s, now)

    def _release(self, now: float) -> ReleaseRequest | None:
        lease = self._lease
        if lease is None:
            self._handing_over = False
            return None
        if now < self._starts_closed_s:
            return None
        self._close()
        return ReleaseRequest(self.upstream, lease.token)

    def _apply_refused(
        self, request: OpenRequest | RenewRequest, answer: Refused
    ) -> None:
        # A refusal proves that another owner has superseded this one, except
        # that a higher epoch of a session still held may be refused as stale.
        if isinstance(request, RenewRequest) or answer.holder != self.vm:
            self._close()
        if answer.reason == OpenRefusal.STALE_INCARNATION:
            self._close()

    def _apply_granted(
        self, request: OpenRequest | RenewRequest, answer: Granted, now: float
    ) -> bool:
        if self._epoch is None and not self._handing_over:
            # Granted after it was given up: it is released like any other.
            self._handing_over = True
        previous = self._lease.token if self._lease is not None else None
        counted_s = answer.ttl_s * (1 - self.settings.max_drift)
        self._lease = _Lease(
            token=answer.token,
            epoch=answer.epoch,
            valid_until_s=request.sent_s + counted_s,
            renew_at_s=request.sent_s + counted_s * RENEW_FRACTION,
            received_s=now,
            upstream_now_s=answer.upstream_now_s,
        )
        self._next_try_s = now
        return previous != answer.token

    def _stop_s(self, lease: _Lease) -> float:
        return lease.valid_until_s - self.settings.margin_s

    def _drop_lapsed(self, now: float) -> None:
        if self._lease is not None and now >= self._lease.valid_until_s:
            self._close()

    def _close(self) -> None:
        self._lease = None
        self._handing_over = False
