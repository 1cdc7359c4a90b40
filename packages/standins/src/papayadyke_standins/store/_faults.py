"""Faults that the stand-in store shows on command, and its counters."""

from __future__ import annotations

import msgspec


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What goes wrong from now on; counts go down as calls use them up.

    Parameters
    ----------
    down : bool, default=False
        Refuse every call.
    delay_s : float, default=0.0
        Time for which a call is held before it takes effect.
    lose_answers : int, default=0
        Writes that take effect and whose answer is lost.
    lose_writes : int, default=0
        Writes that do not take effect and whose answer is lost.
    stale_reads : int, default=0
        Reads that answer from an older state.
    stale_changes : int, default=1
        How many changes that state is old.
    prefix : str, default=""
        Keys that the lost and the stale answers are about.
    cut_clients : tuple of str, default=()
        Clients, by the start of their name, whose calls are refused.
    reads_per_s, writes_per_s : float or None, default=None
        Rates past which calls are refused; a waiting watch is one read.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    lose_writes: int = 0
    stale_reads: int = 0
    stale_changes: int = 1
    prefix: str = ""
    cut_clients: tuple[str, ...] = ()
    reads_per_s: float | None = None
    writes_per_s: float | None = None


class Counts(msgspec.Struct, frozen=True):
    """Calls that came in, refused ones included.

    Parameters
    ----------
    operations : dict of str to int
        Calls by operation, as in "read" or "watch".
    refused : int
        Calls refused because the service was down, cut off or over its rate.
    lost : int
        Writes whose answer was lost.
    """

    operations: dict[str, int]
    refused: int
    lost: int

    @property
    def total(self) -> int:
        """All calls."""
        return sum(self.operations.values())


class RateLimit:
    """A token bucket that holds the tokens of one second.

    Parameters
    ----------
    per_s : float
    now : float
    """

    def __init__(self, per_s: float, now: float):
        self.per_s = per_s
        self._tokens = per_s
        self._at = now

    def take(self, now: float) -> bool:
        """Take one token if there is one."""
        grown = self._tokens + (now - self._at) * self.per_s
        self._tokens = min(max(self.per_s, 1.0), grown)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
