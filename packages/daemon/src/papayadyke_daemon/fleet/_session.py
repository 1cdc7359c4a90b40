"""The owner's view of its session at an upstream."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Session:
    """A session as granted or renewed last.

    Parameters
    ----------
    token : int
        Fencing token that goes with every start.
    asked_s : float
        Own monotonic time at which the grant or renewal was asked for. The
        upstream counts from a later moment, so that counting from this one ends
        the session here first.
    ttl_s : float
        Time to live, in seconds.
    clock_s : float
        The upstream's clock when it answered.
    """

    token: int
    asked_s: float
    ttl_s: float
    clock_s: float

    def is_live(self, now: float, *, margin_s: float) -> bool:
        """Tell whether a start may be sent at `now`."""
        return now < self.asked_s + self.ttl_s - margin_s

    def start_before(self, *, margin_s: float) -> float:
        """Return the time on the upstream's clock past which it must not start.

        The answer left the upstream at `clock_s`, after `asked_s`, so that this
        time is never past the end of the session as the upstream counts it.
        """
        return self.clock_s + self.ttl_s - margin_s
