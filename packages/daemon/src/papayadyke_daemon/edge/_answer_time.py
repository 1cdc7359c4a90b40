"""How long to wait for an answer of the store, from how long answers have taken."""

from __future__ import annotations

from collections import deque

# Latest answers that count. Few, so that the timeout is short again soon after a slow
# store has recovered: an outage may follow.
SAMPLES = 4
# Multiple of the longest of them after which an answer is overdue.
MARGIN = 2.0


class AnswerTime:
    """Times until the latest answers of the store.

    A fixed timeout that is short enough for a store that has gone silent fails calls
    to one that is slow and answers. Calls without an answer are no samples, so an
    outage does not lengthen the timeout.
    """

    def __init__(self) -> None:
        self._samples_s: deque[float] = deque(maxlen=SAMPLES)

    def record(self, taken_s: float) -> None:
        """Record the time until an answer, in seconds."""
        self._samples_s.append(taken_s)

    def find_timeout_s(self, least_s: float, most_s: float) -> float:
        """Return the time after which an answer is overdue, within bounds."""
        longest_s = max(self._samples_s, default=0.0)
        return min(max(MARGIN * longest_s, least_s), most_s)
