"""How often a VM that is behind asks for what it lacks."""

from __future__ import annotations


class AskPacer:
    """Spaces requests out as long as they bring nothing.

    Without it a revision that cannot be had, for example of a zone that was cut
    off since, would have every VM ask its peers and the store for ever.

    Parameters
    ----------
    min_s, max_s : float
        Bounds of the time between two requests; it doubles with each that
        brought nothing.
    """

    def __init__(self, *, min_s: float, max_s: float):
        self.min_s = min_s
        self.max_s = max_s
        self._revision = -1
        self._wait_s = min_s
        self._next_at = float("-inf")

    def is_due(self, revision: int, now: float) -> bool:
        """Tell whether to ask now, and count it as asked if so.

        Parameters
        ----------
        revision : int
            At which the VM is; a later one than last time starts anew.
        now : float
        """
        if revision != self._revision:
            self._revision = revision
            self._wait_s = self.min_s
        if now < self._next_at:
            return False
        self._next_at = now + self._wait_s
        self._wait_s = min(2.0 * self._wait_s, self.max_s)
        return True
