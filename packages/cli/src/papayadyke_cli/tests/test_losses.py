"""The report on lost requests, from the logs of edge VMs."""

import json

import pytest
from typer.testing import CliRunner

from papayadyke_cli._log_lines import parse_events
from papayadyke_cli._losses import Outcome, find_losses, group_requests, split_by_time
from papayadyke_cli.main import app

LATE, REFUSED, QUICK, LOST = (f"{number:016x}" for number in range(1, 5))


def line(ts, msg, **fields):
    return json.dumps({"ts": ts, "level": "INFO", "msg": msg, **fields})


def refusal(ts, job_id, detail="the job could not be stored"):
    why = json.dumps({"error": detail}, separators=(",", ":"))
    return line(
        ts, "callers: refused", method="POST", path=f"/q/{job_id}", status=503, why=why
    )


def intake(ts, job_id, **fields):
    values = {"request": job_id, "queue": "q", "outcome": "accepted", **fields}
    return line(ts, "intake: job", **values)


def end(ts, job_id, *, age_s, state="complete", **delays):
    return line(
        ts,
        "decider: job ended",
        request=job_id,
        queue="q",
        state=state,
        age_s=age_s,
        objective_s=1.5,
        delays=delays,
    )


LINES = [
    line(99.0, "edge: started", vm="vm-1", zone="north"),
    "  1.0 vm-1 " + refusal(100.0, LATE),
    "  2.0 vm-1 " + intake(101.0, LATE),
    "  2.0 vm-2 " + refusal(101.5, REFUSED),
    "  2.0 vm-2 " + intake(102.0, QUICK, team="green"),
    end(102.0, LATE, age_s=1.0, slow_upstream=0.4, room=0.1),
    end(103.0, QUICK, age_s=1.0, ticket=0.3),
    line(104.0, "logs: lines dropped", count=7),
    "no object",
]


def report_on(lines):
    events, unreadable = parse_events(lines)
    return find_losses(events, unreadable=unreadable)


def test_age_of_a_request_begins_with_its_first_refused_attempt():
    late, refused, quick = report_on(LINES).requests
    assert (late.outcome, late.main_cause) == (Outcome.LATE, "refused_before")
    assert late.delays["refused_before"] == pytest.approx(1.0)
    assert refused.outcome is Outcome.REFUSED
    assert refused.main_cause == "refused: 503 the job could not be stored"
    assert quick.outcome is Outcome.IN_TIME


def test_time_without_a_decider_counts_as_takeover():
    """A job that waits for the next decider has no delay in that decider's account."""
    lines = [
        line(10.0, "decider: start", request=QUICK, step=[QUICK, 0, 0], runs=[]),
        intake(11.0, LATE),
        line(14.0, "decider: term began", token=2),
        end(14.5, LATE, age_s=3.5, room=0.2),
    ]
    (request,) = report_on(lines).requests
    assert request.main_cause == "takeover"
    assert request.delays["takeover"] == pytest.approx(3.0)


def test_job_without_an_end_is_unfinished_and_one_past_three_objectives_worthless():
    lines = [intake(1.0, LOST), intake(1.0, LATE), end(9.0, LATE, age_s=8.0, room=7.0)]
    outcomes = {r.job_id: r.outcome for r in report_on(lines).requests}
    assert outcomes == {LOST: Outcome.UNFINISHED, LATE: Outcome.WORTHLESS}


def test_end_without_the_line_of_its_acceptance_counts_by_its_age():
    (request,) = report_on([end(9.0, LATE, age_s=2.0, ticket=1.0)]).requests
    assert (request.first_s, request.outcome) == (7.0, Outcome.LATE)


def test_requests_are_grouped_by_zone_and_time():
    report = report_on(LINES)
    assert {
        name: len(rows) for name, rows in group_requests(report, "zone").items()
    } == {
        "north": 1,
        "unknown": 2,
    }
    spans = split_by_time(report, 1.0)
    assert [(offset, len(rows)) for offset, rows in spans] == [
        (0.0, 1),
        (1.0, 1),
        (2.0, 1),
    ]


def test_command_prints_tables_json_and_html(tmp_path):
    log, page = tmp_path / "vm-1.log", tmp_path / "losses.html"
    log.write_text("\n".join(LINES))
    run = CliRunner()
    printed = run.invoke(app, ["report", "losses", str(log), "--by", "team"])
    assert printed.exit_code == 0
    assert "refused_before" in printed.stdout
    assert "7 lines were dropped" in printed.stdout
    shown = run.invoke(app, ["report", "losses", str(log), "--json"])
    rows = json.loads(shown.stdout)["requests"]
    assert [row["outcome"] for row in rows] == ["late", "refused", "in_time"]
    run.invoke(app, ["report", "losses", str(log), "--html", str(page)])
    assert "<svg" in page.read_text()


def test_command_names_a_log_that_cannot_be_read(tmp_path):
    result = CliRunner().invoke(app, ["report", "losses", str(tmp_path / "none.log")])
    assert result.exit_code == 2
    assert "none.log" in result.output


def test_job_without_a_line_of_its_end_is_not_blamed_on_a_takeover():
    """A takeover delays all open jobs, and would be blamed for each missing line."""
    terms = [line(ts, "decider: term began") for ts in (100.0, 106.0)]
    report = report_on([terms[0], intake(101.0, LOST), terms[1]])
    assert report.requests[0].outcome is Outcome.UNFINISHED
    assert report.requests[0].main_cause == "no_end_in_logs"


def test_line_that_cuts_off_another_is_read():
    cut = '  9.5 vm-1 {"ts":176   9.6 vm-2 ' + intake(102.0, QUICK)
    report = report_on([cut])
    assert [(r.job_id, r.vm) for r in report.requests] == [(QUICK, "vm-2")]


def test_lost_requests_are_told_by_the_size_of_their_job():
    """A report without sizes hid that only the large jobs of a queue were lost."""
    ids = [f"{number:016x}" for number in range(10)]
    lines = [intake(100.0 + number, job_id) for number, job_id in enumerate(ids)]
    lines += [
        line(100.0 + number, "decider: job added", request=job_id, core_s=10.0 * number)
        for number, job_id in enumerate(ids[:9])
    ]
    lines += [end(120.0, job_id, age_s=1.0, room=0.2) for job_id in ids[:7]]
    lines.append(intake(120.0, LATE.replace("1", "f")))
    groups = group_requests(report_on(lines), "size")
    outcomes = {
        name: [request.job_id for request in requests]
        for name, requests in groups.items()
    }
    assert outcomes["q largest tenth"] == [ids[8]]
    assert outcomes["q next fifth"] == [ids[7], ids[6]]
    assert outcomes["q others"] == ids[5::-1]
    assert outcomes["q unknown"] == [ids[9], LATE.replace("1", "f")]
