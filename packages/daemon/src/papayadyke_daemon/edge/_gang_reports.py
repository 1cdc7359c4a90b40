"""Log the gangs that wait, with the room and the tickets that they have."""

from __future__ import annotations

import logging

from papayadyke_core.dispatch import Dispatcher
from papayadyke_daemon.edge._logs import log_event

LOG = logging.getLogger(__name__)

REPORT_INTERVAL_S = 1.0  # seconds between two log lines
MIN_AGE_S = 2.0  # seconds; the first advisory calls of a gang take as long
MAX_NAMED_GANGS = 16  # bounds the length of a line


class GangReporter:
    """Log the gangs that have waited the longest, one line a second."""

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
        self._next_s = now + REPORT_INTERVAL_S
        waits = dispatcher.list_gang_waits(
            now, min_age_s=MIN_AGE_S, most=MAX_NAMED_GANGS
        )
        if not waits:
            return
        log_event(
            LOG,
            "decider: gangs wait",
            gangs=[
                {
                    "request": wait.step_id.job_id,
                    "step": wait.step_id.step,
                    "members": wait.members,
                    "age_s": round(wait.age_s, 2),
                    "queried": wait.queried,
                    "allowed": wait.allowed,
                    "ticketed": wait.ticketed,
                    "allowed_slots": wait.allowed_slots,
                    "ticketed_slots": wait.ticketed_slots,
                    "possible_slots": wait.possible_slots,
                    "keeps_room": wait.reservation is not None,
                }
                for wait in waits
            ],
        )
