"""Metrics and log lines of teams: how many, and how often."""

import logging

from papayadyke_core.dispatch import (
    Catalog,
    Dispatcher,
    DispatchSettings,
    QueuePolicy,
    StagedJobSpec,
    StepSpec,
    UpstreamEntry,
    UpstreamReport,
)
from papayadyke_core.resources import Resources
from papayadyke_core.teams import TeamPolicy
from papayadyke_daemon.edge._metrics import EdgeMetrics
from papayadyke_daemon.edge._team_reports import TeamReporter

QUEUE = QueuePolicy("q", "h", "/q/", "s")


def make_dispatcher(teams):
    dispatcher = Dispatcher(DispatchSettings(lease_s=5.0))
    policies = {n: TeamPolicy(n, 1.0, Resources(2000)) for n in teams}
    dispatcher.set_catalog(Catalog(1, {QUEUE.key: QUEUE}, teams=policies))
    entry = UpstreamEntry("u", "s", "a:1", "", 500_000, 1000)
    dispatcher.add_or_update_upstream(entry)
    dispatcher.process_report("u", UpstreamReport(1, 0.0, 0.0), 0.0)
    for number, team in enumerate(teams):
        step = StepSpec(3 + number, 1000)
        spec = StagedJobSpec(team, QUEUE.key, "", (step,), team=team)
        dispatcher.submit(spec, now=0.0)
    return dispatcher


def test_gauges_name_the_largest_teams_and_sum_up_the_rest():
    metrics = EdgeMetrics()
    reporter = TeamReporter(metrics)
    dispatcher = make_dispatcher([f"t{number:02}" for number in range(25)])
    dispatcher.tick(0.1, 0.1)
    reporter.update(dispatcher, 0.1)
    lines = metrics.render().decode().splitlines()
    assert 'papayadyke_team_running_cores{team="t00"} 2.0' in lines
    assert 'papayadyke_team_running_cores{team="other"} 10.0' in lines
    # The five teams with the fewest waiting tasks have 1 to 5.
    other = [line for line in lines if 'team_waiting{team="other"}' in line]
    assert [float(line.split()[-1]) for line in other] == [15.0]
    assert sum(line.startswith("papayadyke_team_waiting") for line in lines) == 21
    reporter.clear()
    assert "team" not in metrics.render().decode()


def test_gauge_of_a_team_without_work_is_removed():
    metrics = EdgeMetrics()
    reporter = TeamReporter(metrics)
    dispatcher = make_dispatcher(["a"])
    reporter.update(dispatcher, 0.1)
    assert 'papayadyke_team_waiting{team="a"} 3' in metrics.render().decode()
    dispatcher.cancel("a", 0.2)
    reporter.update(dispatcher, 0.9)
    assert "team" in metrics.render().decode()
    reporter.update(dispatcher, 1.2)
    assert "team" not in metrics.render().decode()


def test_waiting_for_a_limit_is_logged_once_a_second_and_team(caplog):
    dispatcher = make_dispatcher(["a", "b"])
    reporter = TeamReporter(EdgeMetrics())
    with caplog.at_level(logging.INFO):
        for number in range(15):
            now = 0.2 * (number + 1)
            dispatcher.tick(now, now)
            reporter.update(dispatcher, now)
    fields = [record.fields for record in caplog.records if hasattr(record, "fields")]
    assert [row["team"] for row in fields] == ["a", "b"] * 3
    assert fields[0]["limit"] == [2000, 0, 0]
    assert fields[0]["step"].job_id == "a"
    assert fields[-1]["use"][0] == 2000
