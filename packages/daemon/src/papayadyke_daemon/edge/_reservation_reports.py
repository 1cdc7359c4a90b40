"""Log for which gangs room is kept, since when, and when they are expected to start."""

from __future__ import annotations

import logging

from papayadyke_core.dispatch import Dispatcher
from papayadyke_daemon.edge._logs import log_event
from papayadyke_daemon.edge._metrics import METRICS

LOG = logging.getLogger(__name__)

REPORT_INTERVAL_S = 1.0  # seconds between two log lines
MAX_NAMED_GANGS = 8  # bounds the length of a line
MAX_NAMED_UPSTREAMS = 16


class ReservationReporter:
    """Log the reservations, one line a second while there are any."""

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
        reservations = dispatcher.list_reservations()
        names = {name for held in reservations for name in held.upstream_ids}
        kept = [u for name, u in dispatcher.upstreams.items() if name in names]
        METRICS.set_gauge("papayadyke_reserved_upstreams", len(kept))
        if not reservations:
            return
        log_event(
            LOG,
            "decider: room kept for gangs",
            upstreams=len(kept),
            idle_cpu=sum(max(0, upstream.free_cpu_millis) for upstream in kept),
            gangs=[
                {
                    "request": held.step_id.job_id,
                    "step": held.step_id.step,
                    "members": held.members,
                    "since_s": round(now - held.since_s, 2),
                    "starts_in_s": round(max(0.0, held.starts_s - now), 2),
                    "upstreams": sorted(held.upstream_ids)[:MAX_NAMED_UPSTREAMS],
                }
                for held in reservations[:MAX_NAMED_GANGS]
            ],
        )

    def clear_metrics(self) -> None:
        """Remove the gauge, which another VM sets from now on."""
        METRICS.remove_gauge("papayadyke_reserved_upstreams")
