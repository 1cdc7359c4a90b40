"""The command that compares regression days with the committed journal."""

import importlib
import json
from dataclasses import replace
from pathlib import Path

import pytest

BENCHMARKS = Path(__file__).parents[1] / "benchmarks"


@pytest.fixture
def regress(monkeypatch):
    monkeypatch.syspath_prepend(str(BENCHMARKS))
    return importlib.import_module("regress")


def make_entry(*days, cmd="run", argv=(), at="2026-01-01T00:00:00Z"):
    entry = {
        "id": "1234abcd",
        "at": [at, at],
        "cmd": cmd,
        "argv": list(argv),
        "site": "site",
        "days": list(days),
    }
    return json.dumps(entry)


def make_day(worth, *, name="quiet-1", gate=True, rules=None):
    return {"name": name, "G": worth, "gate": gate, "rules": rules or {}}


def test_days_of_scores_and_runs_are_read(regress):
    for cmd in ("run", "score"):
        (day,) = regress.read_days(make_entry(make_day(0.5), cmd=cmd))
        assert (day.site, day.day, day.worth) == ("site", "quiet-1", 0.5)


@pytest.mark.parametrize(
    "changes",
    [
        {"cmd": "hunt"},
        {"argv": ["--no-cpu"]},
        {"argv": ["--small"]},
        {"argv": ["--seed", "7"]},
    ],
)
def test_days_that_cannot_be_compared_are_left_out(regress, changes):
    assert regress.read_days(make_entry(make_day(0.5), **changes)) == []


def test_day_without_a_result_is_left_out(regress):
    assert regress.read_days(make_entry(make_day(None))) == []


def test_latest_result_of_a_day_counts(regress):
    texts = [
        make_entry(make_day(0.7), at="2026-01-02T00:00:00Z"),
        make_entry(make_day(0.5), at="2026-01-01T00:00:00Z"),
    ]
    days = [day for text in texts for day in regress.read_days(text)]
    assert regress.find_latest(days)["site", "quiet-1"].worth == 0.7


@pytest.mark.parametrize(
    ("changes", "has_regressed"),
    [
        ({"worth": 0.48}, False),
        ({"worth": 0.46}, True),
        ({"worth": 0.9}, False),
        ({"passed": False}, True),
        ({"rules": ("TWICE",)}, True),
    ],
)
def test_regression_is_a_fall_a_failed_gate_or_a_broken_rule(
    regress, changes, has_regressed
):
    (before,) = regress.read_days(make_entry(make_day(0.5)))
    (row,) = regress.compare(
        regress.find_latest([before]), [replace(before, **changes)]
    )
    assert row.has_regressed is has_regressed
    assert ("REGRESSED" in regress.format_table([row])) is has_regressed


def test_day_without_an_earlier_result_is_no_regression(regress):
    (now,) = regress.read_days(make_entry(make_day(0.5)))
    (row,) = regress.compare({}, [now])
    assert not row.has_regressed
    assert " - " in regress.format_table([row])


def test_plan_names_sites_and_days(regress):
    plan = json.loads(regress.PLAN.read_text())
    assert all(row["site"] and row["days"] for row in plan)
