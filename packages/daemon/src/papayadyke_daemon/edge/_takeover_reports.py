"""Log which upstreams hold back the jobs of earlier terms after a takeover."""

from __future__ import annotations

import logging

from papayadyke_core.dispatch import Dispatcher
from papayadyke_daemon.edge._logs import log_event

LOG = logging.getLogger(__name__)

REPORT_INTERVAL_S = 1.0  # seconds between two log lines
# Seconds since the takeover; upstreams that answer do so in less time.
MIN_WAIT_S = 0.5
MAX_NAMED_UPSTREAMS = 16  # bounds the length of a line


class TakeoverReporter:
    """Log what a new decider waits for, one line a second."""

    def __init__(self) -> None:
        self._next_s = 0.0

    def update(self, dispatcher: Dispatcher, now: float) -> None:
        """Write a line if one is due.

        Parameters
        ----------
        dispatcher : Dispatcher
        now : float
            Seconds, on the dispatcher's clock.
        """
        if now < self._next_s:
            return
        wait = dispatcher.describe_takeover_wait(now)
        if wait is None:
            return
        if wait.waited_s < MIN_WAIT_S:
            self._next_s = now + MIN_WAIT_S - wait.waited_s
            return
        self._next_s = now + REPORT_INTERVAL_S
        log_event(
            LOG,
            "decider: waits for runs of earlier terms",
            waited_s=round(wait.waited_s, 3),
            left_s=round(wait.left_s, 3),
            silent=list(wait.silent_upstreams[:MAX_NAMED_UPSTREAMS]),
            silent_count=len(wait.silent_upstreams),
            unlisted_ends=list(wait.unlisted_ends[:MAX_NAMED_UPSTREAMS]),
            jobs=dispatcher.count_held_jobs(),
        )
