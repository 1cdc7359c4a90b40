"""Since when upstreams are absent from the registry, as far as that is known.

An entry is removed when its upstream has left, or has been silent for some heartbeats;
it is also missing for a while after an outage of the store, and in a list that is out
of date. An upstream counts as gone only while the registry is read without a gap.
"""

from __future__ import annotations

from papayadyke_core.dispatch._settings import DispatchSettings
from papayadyke_core.dispatch._upstream import Upstream

# Seconds after the return of the store in which upstreams write their entries again.
RETURN_S = 2.0
# Seconds between the call and the answer of a read above which the process was paused.
MAX_READ_S = 3.0


class RegistryView:
    """Time for which the registry has been read without a gap.

    All times are in seconds.

    Parameters
    ----------
    settings : DispatchSettings
    """

    def __init__(self, settings: DispatchSettings) -> None:
        self._settings = settings
        self._since_s: float | None = None
        self._read_s = 0.0

    def record_read(self, sent_s: float, now: float, *, is_answered: bool) -> None:
        """Record a read of the registry, whose changes have been applied.

        Parameters
        ----------
        sent_s, now : float
            When the call was sent, and when its answer is processed.
        is_answered : bool
        """
        if not is_answered:
            self._since_s = None
            return
        if self._since_s is None or now - self._read_s > MAX_READ_S:
            self._since_s = sent_s
        self._read_s = sent_s if now - sent_s > MAX_READ_S else now

    def is_gone(self, upstream: Upstream | None, *, is_lasting: bool) -> bool:
        """Return whether an upstream that does not answer counts as gone for good.

        Parameters
        ----------
        upstream : Upstream or None
            None if neither the registry nor an earlier decider names it.
        is_lasting : bool
            Whether that is asked for a task that lasts, which must not wait for long.
        """
        if upstream is None:
            return True
        if upstream.is_reachable or upstream.is_listed:
            return False
        wait_s = self._settings.lapse_s
        if is_lasting:
            wait_s = self._settings.lasting_gone_s
        return self._find_absence_s(upstream) >= wait_s

    def _find_absence_s(self, upstream: Upstream) -> float:
        """Return for how long an upstream is known to be absent, in seconds."""
        if self._since_s is None or upstream.unlisted_since_s is None:
            return 0.0
        since_s = max(upstream.unlisted_since_s, self._since_s + RETURN_S)
        return self._read_s - since_s


__all__ = ["RegistryView"]
