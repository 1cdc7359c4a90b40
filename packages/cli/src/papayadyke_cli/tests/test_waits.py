"""The report on waits, from the logs of edge VMs."""

import json

import pytest
from typer.testing import CliRunner

from papayadyke_cli._waits import read_waits
from papayadyke_cli.main import app


def line(ts, msg, **fields):
    return json.dumps({"ts": ts, "level": "INFO", "msg": msg, **fields})


LINES = [
    line(100.0, "intake: job", request="a", queue="q", outcome="accepted"),
    line(100.5, "intake: job", request="b", queue="q", outcome="accepted"),
    "  0.7 vm-1 " + line(100.7, "callers: refused", status=503, path="/q/c"),
    line(101.0, "decider: start", request="a", step=["a", 0, 0], runs=[[0, 1, "u"]]),
    line(
        101.5,
        "decider: runs ended",
        request="a",
        step=["a", 0, 0],
        tasks=[0],
        upstream="u",
        end="stopped",
    ),
    line(103.0, "decider: start", request="a", step=["a", 0, 0], runs=[[0, 2, "u"]]),
    line(
        104.0,
        "decider: runs ended",
        request="a",
        step=["a", 0, 0],
        tasks=[0],
        upstream="u",
        end="done",
    ),
    line(104.1, "decider: job ended", request="a", state="complete"),
    "no object",
    "{cut off",
]


def test_spans_tell_who_waits_and_what_ran_in_vain():
    report = read_waits(reversed(LINES), step_s=2.0)
    first, second, third = report.spans
    assert (first.accepted, first.started, first.waiting) == (2, 1, 1)
    assert first.refused == {"503": 1}
    assert first.in_vain_s == {"stopped": pytest.approx(0.5)}
    assert second.in_vain_s == {}
    assert third.ages_s == [pytest.approx(4.1)]
    assert report.unreadable == 2


def test_runs_that_are_lost_with_their_upstream_ran_in_vain():
    lost = line(
        102.0,
        "decider: runs lost",
        request="a",
        step=["a", 0, 0],
        tasks=[0],
        upstream="u",
        cause="restarted",
        age_s=1.0,
    )
    report = read_waits([LINES[3], lost], step_s=2.0)
    assert report.spans[0].in_vain_s == {"restarted": pytest.approx(1.0)}


def test_lines_of_a_repeated_submission_count_once():
    report = read_waits([LINES[0], LINES[0]], step_s=2.0)
    assert len(report.jobs) == 1
    assert report.spans[0].accepted == 1


def test_command_prints_tables_and_writes_a_page(tmp_path):
    log = tmp_path / "vm.log"
    log.write_text("\n".join(LINES))
    result = CliRunner().invoke(app, ["report", "waits", str(log)])
    assert result.exit_code == 0, result.output
    assert "503:1" in result.output
    assert "stopped:0.5" in result.output
    assert "unfinished:1" in result.output
    assert "2 lines could not be read" in result.output
    page = tmp_path / "waits.html"
    result = CliRunner().invoke(app, ["report", "waits", str(log), "--html", str(page)])
    assert result.exit_code == 0, result.output
    assert "<svg" in page.read_text()


def test_teams_are_listed_with_their_waits_and_refusals(tmp_path):
    """A team that is refused or waits must not vanish in the sum of its queue."""
    lines = [
        line(
            1.0, "intake: job", request="a", queue="q", team="red", outcome="accepted"
        ),
        line(
            1.0, "intake: job", request="b", queue="q", team="blue", outcome="accepted"
        ),
        line(2.5, "decider: start", request="a", step=["a", 0, 0], runs=[[0, 1, "u"]]),
        line(3.0, "callers: refused", status=429, path="/q/c", team="green"),
        line(3.0, "callers: refused", status=401, path="/q/d"),
    ]
    report = read_waits(lines, step_s=2.0)
    assert report.team_refusals == {"green": {"429": 1}}
    log = tmp_path / "vm.log"
    log.write_text("\n".join(lines))
    output = CliRunner().invoke(app, ["report", "waits", str(log)]).output
    rows = {row.split()[0]: row.split()[1:] for row in output.splitlines() if row}
    assert rows["red"][0] == "1"
    assert "1.50" in rows["red"]
    assert "unfinished:1" in rows["blue"]
    assert rows["green"][0] == "0"
    assert rows["green"][-1] == "429:1"
    log.write_text("\n".join(LINES))
    assert "team" not in CliRunner().invoke(app, ["report", "waits", str(log)]).output


def test_missing_log_is_named():
    result = CliRunner().invoke(app, ["report", "waits", "missing.log"])
    assert result.exit_code == 2
    assert "missing.log" in result.output
