"""Report what the teams run and wait for, as metrics and as log lines."""

from __future__ import annotations

import logging
from collections.abc import Mapping

from papayadyke_core.dispatch import Dispatcher, TeamWait
from papayadyke_daemon.edge._logs import log_event
from papayadyke_daemon.edge._metrics import METRICS, EdgeMetrics

LOG = logging.getLogger(__name__)

REPORT_INTERVAL_S = 1.0  # seconds between two reports, and two log lines of a team
MAX_NAMED_TEAMS = 20  # further teams count together, which bounds the metrics
OTHER_TEAMS = "other"
RUNNING_CORES = "papayadyke_team_running_cores"
WAITING = "papayadyke_team_waiting"


class TeamReporter:
    """Set the gauges of teams, and log steps that wait for their team's limit.

    Parameters
    ----------
    metrics : EdgeMetrics
    """

    def __init__(self, metrics: EdgeMetrics = METRICS) -> None:
        self._metrics = metrics
        self._next_s = 0.0
        self._named: set[tuple[str, str]] = set()
        self._logged_s: dict[str, float] = {}

    def update(self, dispatcher: Dispatcher, now: float) -> None:
        """Report at most once a second.

        Parameters
        ----------
        dispatcher : Dispatcher
        now : float
            Seconds, on the dispatcher's clock.
        """
        self._log_waits(dispatcher.take_team_waits(), now)
        if now < self._next_s:
            return
        self._next_s = now + REPORT_INTERVAL_S
        if dispatcher.catalog.teams is None:
            self.clear()
            return
        rows = {
            **self._choose_rows(
                RUNNING_CORES, dispatcher.team_ledger.list_running_cores()
            ),
            **self._choose_rows(WAITING, dispatcher.count_waiting_tasks()),
        }
        for name, team in self._named - rows.keys():
            self._metrics.remove_gauge(name, team=team)
        for (name, team), value in rows.items():
            self._metrics.set_gauge(name, value, team=team)
        self._named = set(rows)

    def clear(self) -> None:
        """Remove the gauges, which another VM reports from now on."""
        for name, team in self._named:
            self._metrics.remove_gauge(name, team=team)
        self._named = set()

    def _choose_rows(
        self, name: str, values: Mapping[str, float]
    ) -> dict[tuple[str, str], float]:
        """Return the largest teams by name, and the sum of the others."""
        by_size = sorted(values, key=lambda team: (-values[team], team))
        rows = {(name, team): values[team] for team in by_size[:MAX_NAMED_TEAMS]}
        rest = by_size[MAX_NAMED_TEAMS:]
        if rest:
            other = sum(values[team] for team in rest)
            rows[name, OTHER_TEAMS] = rows.get((name, OTHER_TEAMS), 0.0) + other
        return rows

    def _log_waits(self, waits: Mapping[str, TeamWait], now: float) -> None:
        for team, wait in waits.items():
            if now - self._logged_s.get(team, -REPORT_INTERVAL_S) < REPORT_INTERVAL_S:
                continue
            self._logged_s[team] = now
            limit, use = wait.policy.limit, wait.use
            log_event(
                LOG,
                "decider: step waits for the limit of its team",
                request=wait.step.step_id.job_id,
                team=team,
                step=wait.step.step_id,
                limit=[limit.cpu_millis, limit.memory_mb, limit.accelerators],
                use=[use.cpu_millis, use.memory_mb, use.accelerators],
            )
