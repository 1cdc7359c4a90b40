"""Upstream-side session check that lets one owner at a time start tasks."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

MAX_TTL_S = 300.0


class OpenRefusal(StrEnum):
    """Reason for which a session was not opened or not renewed."""

    HELD = "held"
    LAPSED = "lapsed"
    STALE_EPOCH = "stale_epoch"
    STALE_INCARNATION = "stale_incarnation"
    BAD_TTL = "bad_ttl"


class StartRefusal(StrEnum):
    """Reason for which a start was refused; a refused task has not run."""

    STALE_TOKEN = "stale_token"
    LAPSED = "lapsed"
    TOO_LATE = "too_late"


@dataclass(frozen=True, slots=True)
class SessionGrant:
    """Answer to a request that opened or renewed a session.

    Parameters
    ----------
    token : int
        Fencing token to be sent with every start; it never decreases.
    epoch : int
        Epoch under which the session is held.
    ttl_s : float
        Time to live in seconds: the session expires when it is not renewed for
        this long.
    upstream_now_s : float
        Clock of the upstream at the time of the grant, in seconds.
    boot_id : str, default=""
        Changes when the upstream restarts; empty if it is unknown.
    """

    token: int
    epoch: int
    ttl_s: float
    upstream_now_s: float
    boot_id: str = ""


@dataclass(frozen=True, slots=True)
class SessionRefusal:
    """Answer to a request that did not open or renew a session.

    Parameters
    ----------
    reason : OpenRefusal
    epoch : int
        The highest epoch that the upstream has seen.
    holder : str or None, default=None
        VM that holds the session.
    remaining_s : float, default=0.0
        Seconds until the session of the holder expires, unless it is renewed.
    """

    reason: OpenRefusal
    epoch: int
    holder: str | None = None
    remaining_s: float = 0.0


@dataclass(slots=True)
class _HeldSession:
    vm: str
    incarnation: int
    token: int
    ttl_s: float
    expires_s: float


class SessionGate:
    """Grants the session of one upstream and checks each start against it.

    At most one session is valid at a time. A request to open it succeeds if its
    epoch is not lower than any seen before and one of these conditions holds: no
    session is open; the session has expired; the epoch of the request is higher
    than that of the session; the session is held by the same VM, in this
    incarnation or an earlier one.

    A VM that reopens its session in the same incarnation keeps its token, so that
    starts in flight stay valid when only the epoch changes.

    Parameters
    ----------
    first_token : int, default=1
        First token to grant. It must be greater than any token granted before a
        restart of the upstream, for example the Unix time of its start in
        nanoseconds.
    """

    def __init__(self, *, first_token: int = 1) -> None:
        self.first_token = first_token
        self._next_token = first_token
        self._epoch = 0
        self._session: _HeldSession | None = None

    @property
    def epoch(self) -> int:
        """Highest epoch seen."""
        return self._epoch

    def holder(self, now: float) -> str | None:
        """Return the VM that holds a valid session, if any."""
        session = self._live_session(now)
        return session.vm if session is not None else None

    def open(
        self, vm: str, incarnation: int, epoch: int, ttl_s: float, now: float
    ) -> SessionGrant | SessionRefusal:
        """Open a session, or return why it is refused and who holds it.

        Parameters
        ----------
        vm : str
            VM that asks for the session.
        incarnation : int
            Increases with each start of the daemon on that VM.
        epoch : int
            Epoch of the zone record that assigns the upstream to the VM.
        ttl_s : float
            Time to live in seconds, at most `MAX_TTL_S`.
        now : float
            Clock of the upstream, in seconds.

        Returns
        -------
        answer : SessionGrant or SessionRefusal
        """
        if not 0.0 < ttl_s <= MAX_TTL_S:
            return SessionRefusal(OpenRefusal.BAD_TTL, self._epoch)
        session = self._live_session(now)
        reason = self._check_open(session, vm, incarnation, epoch)
        if reason is not None:
            if session is None:
                return SessionRefusal(reason, self._epoch)
            remaining_s = session.expires_s - now
            return SessionRefusal(reason, self._epoch, session.vm, remaining_s)
        keeps_token = session is not None and (session.vm, session.incarnation) == (
            vm,
            incarnation,
        )
        token = (
            session.token
            if session is not None and keeps_token
            else self._allocate_token()
        )
        self._epoch = epoch
        self._session = _HeldSession(vm, incarnation, token, ttl_s, now + ttl_s)
        return SessionGrant(token, epoch, ttl_s, now)

    def renew(self, token: int, now: float) -> SessionGrant | SessionRefusal:
        """Extend a session by its time to live, counted from `now`."""
        session = self._live_session(now)
        if session is None:
            return SessionRefusal(OpenRefusal.LAPSED, self._epoch)
        if session.token != token:
            remaining_s = session.expires_s - now
            return SessionRefusal(
                OpenRefusal.HELD, self._epoch, session.vm, remaining_s
            )
        session.expires_s = now + session.ttl_s
        return SessionGrant(token, self._epoch, session.ttl_s, now)

    def check_start(
        self, token: int, start_before_s: float, now: float
    ) -> StartRefusal | None:
        """Return None if a task may start now, or the reason why not.

        Parameters
        ----------
        token : int
            Fencing token that came with the start.
        start_before_s : float
            Time on the clock of the upstream, in seconds, from which the start is
            refused.
        now : float
            Clock of the upstream, in seconds.
        """
        if self._session is None or self._session.token != token:
            return StartRefusal.STALE_TOKEN
        if now >= self._session.expires_s:
            return StartRefusal.LAPSED
        if not now < start_before_s:
            return StartRefusal.TOO_LATE
        return None

    def release(self, token: int) -> bool:
        """End the session of a token; return False if it has ended already."""
        if self._session is None or self._session.token != token:
            return False
        self._session = None
        return True

    def _live_session(self, now: float) -> _HeldSession | None:
        if self._session is None or now >= self._session.expires_s:
            return None
        return self._session

    def _check_open(
        self, session: _HeldSession | None, vm: str, incarnation: int, epoch: int
    ) -> OpenRefusal | None:
        if epoch < self._epoch:
            return OpenRefusal.STALE_EPOCH
        if session is None:
            return None
        if session.vm == vm:
            stale = incarnation < session.incarnation
            return OpenRefusal.STALE_INCARNATION if stale else None
        return None if epoch > self._epoch else OpenRefusal.HELD

    def _allocate_token(self) -> int:
        token = self._next_token
        self._next_token += 1
        return token
