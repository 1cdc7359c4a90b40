"""Faults that the stand-in store injects on request, and its call counters."""

from __future__ import annotations

import msgspec


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults to inject into calls; each affected call decrements its count.

    Parameters
    ----------
    down : bool, default=False
        Refuse every call.
    delay_s : float, default=0.0
        Delay in seconds before a call takes effect.
    lose_answers : int, default=0
        Number of writes that take effect without an answer to the client.
    lose_writes : int, default=0
        Number of writes that neither take effect nor get an answer.
    stale_reads : int, default=0
        Number of reads that are answered from an older state.
    stale_changes : int, default=1
        Age of that state, as a number of changes.
    prefix : str, default=""
        Prefix of the keys to which lost answers, lost writes and stale reads apply.
    cut_clients : tuple of str, default=()
        Name prefixes of the clients whose calls are refused.
    reads_per_s, writes_per_s : float or None, default=None
        Rates above which calls are refused; a waiting watch counts as one read.
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
    """Counters of the received calls, including the refused ones.

    Parameters
    ----------
    operations : dict of str to int
        Number of calls per operation, such as "read" or "watch".
    refused : int
        Number of calls refused because the service was down, the client was cut
        off, or the rate limit was exceeded.
    lost : int
        Number of writes without an answer to the client.
    """

    operations: dict[str, int]
    refused: int
    lost: int

    @property
    def total(self) -> int:
        """Number of calls of all operations."""
        return sum(self.operations.values())


class RateLimit:
    """Token bucket that stores the tokens of at most one second.

    Parameters
    ----------
    per_s : float
        Tokens added per second.
    now : float
        Current time in seconds.
    """

    def __init__(self, per_s: float, now: float):
        self.per_s = per_s
        self._tokens = per_s
        self._refilled_at = now

    def try_acquire(self, now: float) -> bool:
        """Remove one token if one is available; return whether it was."""
        refilled = self._tokens + (now - self._refilled_at) * self.per_s
        self._tokens = min(max(self.per_s, 1.0), refilled)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
