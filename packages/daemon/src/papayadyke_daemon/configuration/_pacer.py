"""Back-off of the requests for missing configuration entries."""

from __future__ import annotations


class RequestPacer:
    """Back off exponentially while requests bring no newer revision.

    Without it, a revision that cannot be obtained, for example because its zone
    has been cut off since, would have every VM send requests to its peers and the
    store at the full rate for ever.

    Parameters
    ----------
    min_s, max_s : float
        Bounds in seconds of the interval between two requests; it doubles with
        every request that brings no newer revision.
    """

    def __init__(self, *, min_s: float, max_s: float):
        self.min_s = min_s
        self.max_s = max_s
        self._revision = -1
        self._interval_s = min_s
        self._next_at = float("-inf")

    def is_due(self, revision: int, now: float) -> bool:
        """Return whether a request is due, and if so record it as sent.

        Parameters
        ----------
        revision : int
            Current revision of the VM; a change resets the interval to `min_s`.
        now : float
            Monotonic time in seconds.
        """
        if revision != self._revision:
            self._revision = revision
            self._interval_s = self.min_s
        if now < self._next_at:
            return False
        self._next_at = now + self._interval_s
        self._interval_s = min(2.0 * self._interval_s, self.max_s)
        return True
