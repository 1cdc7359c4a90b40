"""The rule by which an upstream lets one owner at a time start tasks on it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

MAX_TTL_S = 300.0


class OpenRefusal(StrEnum):
    """Why a session was not granted."""

    HELD = "held"
    LAPSED = "lapsed"
    STALE_EPOCH = "stale_epoch"
    STALE_INCARNATION = "stale_incarnation"
    BAD_TTL = "bad_ttl"


class StartRefusal(StrEnum):
    """Why a start was refused; in each case the task has not run."""

    STALE_TOKEN = "stale_token"
    LAPSED = "lapsed"
    TOO_LATE = "too_late"


@dataclass(frozen=True, slots=True)
class Granted:
    """A session was opened or goes on.

    Parameters
    ----------
    token : int
        Fencing token; goes with every start. It only grows.
    epoch : int
    ttl_s : float
        The session lapses when it has not been renewed for so long.
    upstream_now_s : float
        Clock of the upstream at the time of the grant.
    """

    token: int
    epoch: int
    ttl_s: float
    upstream_now_s: float


@dataclass(frozen=True, slots=True)
class Refused:
    """A session was not opened.

    Parameters
    ----------
    reason : OpenRefusal
    epoch : int
        The highest epoch that the upstream has seen.
    holder : str or None, default=None
        VM that has the session.
    remaining_s : float, default=0.0
        Time until that session lapses, unless it is renewed.
    """

    reason: OpenRefusal
    epoch: int
    holder: str | None = None
    remaining_s: float = 0.0


@dataclass(slots=True)
class _Held:
    vm: str
    incarnation: int
    token: int
    ttl_s: float
    expires_s: float


class SessionGate:
    """Grants the session of one upstream, and checks starts against it.

    At most one session stands at a time. A request to open it succeeds when its
    epoch is not lower than any seen before and one of these holds: no session
    stands; it has lapsed; the epoch is higher than that of the session; the VM
    has it already, in this incarnation or an earlier one.

    The VM and incarnation that have the session keep their token, so that
    starts on their way stay good when only the epoch changes.

    Parameters
    ----------
    first_token : int, default=1
        Greater than any token granted before a restart of the upstream, for
        example nanoseconds of Unix time at its start.
    """

    def __init__(self, *, first_token: int = 1) -> None:
        self.first_token = first_token
        self._next_token = first_token
        self._epoch = 0
        self._held: _Held | None = None

    @property
    def epoch(self) -> int:
        """The highest epoch seen."""
        return self._epoch

    def holder(self, now: float) -> str | None:
        """Return the VM whose session stands."""
        held = self._standing(now)
        return held.vm if held is not None else None

    def open(
        self, vm: str, incarnation: int, epoch: int, ttl_s: float, now: float
    ) -> Granted | Refused:
        """Open a session, or say who stands in the way.

        Parameters
        ----------
        vm : str
        incarnation : int
            Grows with each start of the daemon on that VM.
        epoch : int
            Epoch of the zone record by which the VM owns the upstream.
        ttl_s : float
        now : float
            Clock of the upstream.

        Returns
        -------
        answer : Granted or Refused
        """
        if not 0.0 < ttl_s <= MAX_TTL_S:
            return Refused(OpenRefusal.BAD_TTL, self._epoch)
        held = self._standing(now)
        reason = self._refusal(held, vm, incarnation, epoch)
        if reason is not None:
            if held is None:
                return Refused(reason, self._epoch)
            remaining_s = held.expires_s - now
            return Refused(reason, self._epoch, held.vm, remaining_s)
        keeps = held is not None and (held.vm, held.incarnation) == (vm, incarnation)
        token = held.token if held is not None and keeps else self._take_token()
        self._epoch = epoch
        self._held = _Held(vm, incarnation, token, ttl_s, now + ttl_s)
        return Granted(token, epoch, ttl_s, now)

    def renew(self, token: int, now: float) -> Granted | Refused:
        """Keep a session for another time to live."""
        held = self._standing(now)
        if held is None:
            return Refused(OpenRefusal.LAPSED, self._epoch)
        if held.token != token:
            remaining_s = held.expires_s - now
            return Refused(OpenRefusal.HELD, self._epoch, held.vm, remaining_s)
        held.expires_s = now + held.ttl_s
        return Granted(token, self._epoch, held.ttl_s, now)

    def check_start(
        self, token: int, start_before: float, now: float
    ) -> StartRefusal | None:
        """Return None where a task may start now, and the reason otherwise.

        Parameters
        ----------
        token : int
        start_before : float
            Time on the clock of the upstream from which the start is refused.
        now : float
        """
        if self._held is None or self._held.token != token:
            return StartRefusal.STALE_TOKEN
        if now >= self._held.expires_s:
            return StartRefusal.LAPSED
        if not now < start_before:
            return StartRefusal.TOO_LATE
        return None

    def release(self, token: int) -> bool:
        """End the session of a token; False where it has ended already."""
        if self._held is None or self._held.token != token:
            return False
        self._held = None
        return True

    def _standing(self, now: float) -> _Held | None:
        if self._held is None or now >= self._held.expires_s:
            return None
        return self._held

    def _refusal(
        self, held: _Held | None, vm: str, incarnation: int, epoch: int
    ) -> OpenRefusal | None:
        if epoch < self._epoch:
            return OpenRefusal.STALE_EPOCH
        if held is None:
            return None
        if held.vm == vm:
            stale = incarnation < held.incarnation
            return OpenRefusal.STALE_INCARNATION if stale else None
        return None if epoch > self._epoch else OpenRefusal.HELD

    def _take_token(self) -> int:
        token = self._next_token
        self._next_token += 1
        return token
