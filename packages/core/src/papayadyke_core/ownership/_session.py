"""Owner-side state of the session at one upstream."""

from __future__ import annotations

from dataclasses import dataclass

from papayadyke_core.ownership._gate import (
    OpenRefusal,
    SessionGrant,
    SessionRefusal,
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

# Fraction of the time to live after which a renewal is sent.
RENEW_FRACTION = 1 / 3


@dataclass(slots=True)
class _Lease:
    token: int
    epoch: int
    valid_until_s: float
    renew_at_s: float
    received_s: float
    upstream_now_s: float
    boot_id: str


class Session:
    """Opens, renews and ends the session at one upstream.

    The class reads no clock: the caller reads `now`, in seconds, right before each
    call, so that the second of two calls detects a pause of the process in between.
    The time to live counts from when the request was sent, which is before the
    upstream starts to count, and is shortened by the largest clock drift.

    Parameters
    ----------
    upstream, vm : str
        Names of the upstream and of this VM.
    incarnation : int
        Increases with each start of the daemon.
    settings : SessionSettings
    """

    def __init__(
        self, upstream: str, *, vm: str, incarnation: int, settings: SessionSettings
    ) -> None:
        self.upstream = upstream
        self.vm = vm
        self.incarnation = incarnation
        self.settings = settings
        self._assigned_epoch: int | None = None
        self._lease: _Lease | None = None
        self._handing_over = False
        self._next_attempt_s = float("-inf")
        self._outstanding: OpenRequest | RenewRequest | None = None
        self._in_flight_until_s = float("-inf")
        self._unanswered_since_s: float | None = None

    @property
    def state(self) -> SessionState:
        """State of the session; it may have expired since the last request."""
        if self._lease is None:
            return SessionState.CLOSED
        if self._handing_over:
            return SessionState.HANDING_OVER
        return SessionState.OPEN

    @property
    def token(self) -> int | None:
        """Fencing token of the session, if there is one."""
        return self._lease.token if self._lease is not None else None

    @property
    def is_assigned(self) -> bool:
        """Whether the upstream is assigned to this VM."""
        return self._assigned_epoch is not None

    def assign(self, epoch: int) -> None:
        """Assign the upstream to this VM under the zone record of an epoch."""
        self._assigned_epoch = (
            epoch if self._assigned_epoch is None else max(epoch, self._assigned_epoch)
        )
        self._handing_over = False

    def hand_over(self) -> None:
        """Permit no more starts, and release the session once none is in flight."""
        self._assigned_epoch = None
        self._unanswered_since_s = None
        self._handing_over = self._lease is not None

    def may_start(self, now: float) -> bool:
        """Return whether a start may be sent at `now`."""
        lease = self._lease
        return (
            lease is not None
            and not self._handing_over
            and now < self._start_cutoff_s(lease)
        )

    def permit_start(self, now: float) -> StartPermit | None:
        """Return the permit for a start sent at `now`, or None if not allowed."""
        lease = self._lease
        if lease is None or not self.may_start(now):
            return None
        cutoff_s = min(now + self.settings.start_window_s, self._start_cutoff_s(lease))
        # The upstream read its clock before the owner received the grant, so that
        # its clock passes `start_before_s` before the owner's reaches `cutoff_s`.
        elapsed_s = cutoff_s - lease.received_s
        start_before_s = lease.upstream_now_s + elapsed_s
        refused_after_s = lease.received_s + elapsed_s / (
            1 - self.settings.max_clock_drift
        )
        self._in_flight_until_s = max(self._in_flight_until_s, refused_after_s)
        return StartPermit(lease.token, start_before_s, refused_after_s, lease.boot_id)

    def find_boot_id(self, token: int) -> str:
        """Return the boot id of the upstream in a session; empty if it has ended."""
        lease = self._lease
        return lease.boot_id if lease is not None and lease.token == token else ""

    def unanswered_s(self, now: float) -> float:
        """Return the seconds for which the upstream has left requests unanswered."""
        if self._unanswered_since_s is None:
            return 0.0
        return now - self._unanswered_since_s

    def record_start_refusal(self, token: int, reason: StartRefusal) -> None:
        """Close the session of the token if the refusal shows that it has ended.

        A start that was only too late leaves the session open.
        """
        is_ended = reason in (StartRefusal.STALE_TOKEN, StartRefusal.LAPSED)
        if is_ended and self.token == token:
            self._close()

    def next_request(self, now: float) -> SessionRequest | None:
        """Return the request to send to the upstream now, if any.

        At most one open or renew request is in flight at a time. Its answer is
        passed to `apply_answer`; a request without an answer is abandoned after
        `answer_timeout_s`.
        """
        self._drop_expired(now)
        if self._handing_over:
            return self._release(now)
        if self._assigned_epoch is None or now < self._next_attempt_s:
            return None
        lease = self._lease
        request: OpenRequest | RenewRequest
        if lease is None or lease.epoch < self._assigned_epoch:
            request = self._open_request(self._assigned_epoch, now)
        elif now >= lease.renew_at_s:
            request = RenewRequest(self.upstream, lease.token, now)
        else:
            return None
        self._outstanding = request
        if self._unanswered_since_s is None:
            self._unanswered_since_s = now
        self._next_attempt_s = now + self.settings.answer_timeout_s
        return request

    def apply_answer(
        self,
        request: OpenRequest | RenewRequest,
        answer: SessionGrant | SessionRefusal | None,
        now: float,
    ) -> bool:
        """Apply the answer to a request.

        The answer to a request that has been abandoned is ignored.

        Parameters
        ----------
        request : OpenRequest or RenewRequest
        answer : SessionGrant or SessionRefusal or None
            None if the answer was lost.
        now : float
            Time at which the answer was received, in seconds.

        Returns
        -------
        is_new : bool
            True if the session is a new one, so that the tasks running on the
            upstream have to be adopted before the first start.
        """
        if request != self._outstanding:
            return False
        self._outstanding = None
        self._next_attempt_s = now + self.settings.retry_delay_s
        if answer is None:
            return False
        self._unanswered_since_s = None
        if isinstance(answer, SessionRefusal):
            self._apply_refused(request, answer)
            return False
        return self._apply_granted(request, answer, now)

    def next_action_s(self, now: float) -> float | None:
        """Return when `next_request` must be called next, or None if it need not be."""
        lease = self._lease
        if self._handing_over:
            return max(now, self._in_flight_until_s)
        if self._assigned_epoch is None:
            return None
        if lease is None or lease.epoch < self._assigned_epoch:
            return max(now, self._next_attempt_s)
        return max(now, self._next_attempt_s, lease.renew_at_s)

    def _open_request(self, epoch: int, now: float) -> OpenRequest:
        ttl_s = self.settings.ttl_s
        return OpenRequest(self.upstream, self.vm, self.incarnation, epoch, ttl_s, now)

    def _release(self, now: float) -> ReleaseRequest | None:
        lease = self._lease
        if lease is None:
            self._handing_over = False
            return None
        if now < self._in_flight_until_s:
            return None
        self._close()
        return ReleaseRequest(self.upstream, lease.token)

    def _apply_refused(
        self, request: OpenRequest | RenewRequest, answer: SessionRefusal
    ) -> None:
        # A refusal proves that another owner has superseded this one, except that
        # a request to raise the epoch of a session still held by this VM may be
        # refused as stale.
        if isinstance(request, RenewRequest) or answer.holder != self.vm:
            self._close()
        if answer.reason == OpenRefusal.STALE_INCARNATION:
            self._close()

    def _apply_granted(
        self, request: OpenRequest | RenewRequest, answer: SessionGrant, now: float
    ) -> bool:
        if self._assigned_epoch is None and not self._handing_over:
            # Handed over before the grant arrived: release the session as usual.
            self._handing_over = True
        previous_token = self._lease.token if self._lease is not None else None
        valid_for_s = answer.ttl_s * (1 - self.settings.max_clock_drift)
        self._lease = _Lease(
            token=answer.token,
            epoch=answer.epoch,
            valid_until_s=request.sent_s + valid_for_s,
            renew_at_s=request.sent_s + valid_for_s * RENEW_FRACTION,
            received_s=now,
            upstream_now_s=answer.upstream_now_s,
            boot_id=answer.boot_id,
        )
        self._next_attempt_s = now
        return previous_token != answer.token

    def _start_cutoff_s(self, lease: _Lease) -> float:
        return lease.valid_until_s - self.settings.expiry_margin_s

    def _drop_expired(self, now: float) -> None:
        if self._lease is not None and now >= self._lease.valid_until_s:
            self._close()

    def _close(self) -> None:
        self._lease = None
        self._handing_over = False
