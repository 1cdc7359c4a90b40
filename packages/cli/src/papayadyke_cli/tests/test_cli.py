import json
import threading
import time
from pathlib import Path

import pytest
from result import Ok
from typer.testing import CliRunner

from papayadyke_cli._settings import Session
from papayadyke_cli.main import app
from papayadyke_clients.http import CloseConnection, HttpAnswer, HttpServer
from papayadyke_clients.keys import Authenticator, Keyring, generate_key_file
from papayadyke_clients.operators import (
    Explanation,
    QueueStatus,
    RefusedCount,
    RefusedRequest,
    RefusedView,
    StatusView,
    UpstreamStatus,
    VmStatus,
)
from papayadyke_core.configuration import ConfigLog
from papayadyke_core.slo import Observation, Recorder, make_report
from papayadyke_core.verdicts import Reason, Refusal, Verdict
from papayadyke_core.workloads import ConfigModel, SloTarget
from papayadyke_daemon.configuration import (
    ConfigRepository,
    ConfigWriter,
    ConfigWriterSettings,
)
from papayadyke_daemon.operators import OPERATORS_LIMITS, OperatorsApp
from papayadyke_standins.store import Faults, MemoryStore, StoreService

EXAMPLES = Path(__file__).parents[5] / "examples"
BRANNOCK = str(EXAMPLES / "brannock" / "config.json")
QUICK = ["--set", "kind=service", "--set", "demand.cpus=0.5"]
QUICK += ["--set", "demand.memory_mb=256", "--set", "floor=0.4"]


BURN_AT = 1_800_000_030.0


def make_buckets():
    recorder = Recorder("vm-1", 1)
    full = Refusal(Verdict.NOT_RUN, Reason.QUEUE_FULL, "full")
    for refusal in (None, None, None, full):
        recorder.observe(
            Observation(
                request_id="r1",
                workload="rcd-check",
                at=BURN_AT,
                wait_s=0.02,
                refusal=refusal,
                target=SloTarget(),
                preset="peak",
                revision=3,
            )
        )
    return recorder.take_closed_buckets(BURN_AT, is_last=True)


class Backend:
    def read_burn(self, window_s):
        return Ok(make_report(make_buckets(), [], at=BURN_AT, window_s=window_s))

    def read_status(self):
        zone = "hobart"
        return StatusView(
            vm="vm-1",
            config_revision=3,
            in_force="peak",
            store_reachable=False,
            vms=[VmStatus(name="vm-1", availability_zone=zone, state="live")],
            upstreams=[
                UpstreamStatus(
                    name="u1",
                    availability_zone=zone,
                    rack="r",
                    owner="vm-1",
                    state="up",
                )
            ],
            queues=[QueueStatus(workload="rcd-check", queued=7, running=2)],
        )

    def explain(self, request_id):
        if request_id != "r1":
            return None
        return Explanation(
            request_id="r1",
            workload="rcd-check",
            state="refused",
            verdict=Verdict.NOT_RUN,
            reason=Reason.QUEUE_FULL,
            lines=["The queue held 400 requests.", "board-upgrade held the fleet."],
        )

    def list_refused(self, workload, *, since_unix_s, limit):
        request = RefusedRequest(
            request_id="r1",
            workload=workload,
            at_unix_s=max(since_unix_s, time.time() - 60.0),
            verdict=Verdict.NOT_RUN,
            reason=Reason.QUEUE_FULL,
            detail="The queue is full.",
        )
        return RefusedView(
            counts=[RefusedCount(workload, Reason.QUEUE_FULL, 1)],
            requests=[request],
            is_complete=False,
            detail="one VM did not answer",
        )


class Cell:
    """One VM's operators' listener, a callers' listener, and a settings file."""

    def __init__(self, path):
        self.service = StoreService()
        self.lose_answers = 0
        self.calls = []
        keys = generate_key_file(path / "keys.json")
        log = ConfigLog()
        writer = ConfigWriter(
            ConfigRepository(MemoryStore(self.service)),
            get_state=lambda: log.state,
            on_entries=log.apply_entries,
            settings=ConfigWriterSettings(submit_timeout_s=0.2),
        )
        self.app = OperatorsApp(
            authenticator=Authenticator(
                Keyring(keys),
                sender="vm",
                incarnation=1,
                started_unix_s=time.time() - 1,
            ),
            state=lambda: log.state,
            submit=writer.submit,
            backend=Backend(),
        )
        self.answer = HttpAnswer(200, b"42", headers={"Upstream": "u1"})
        self.servers = [
            HttpServer(self.operate, limits=OPERATORS_LIMITS),
            HttpServer(self.call),
        ]
        for server in self.servers:
            server.start()
        self.settings = path / "settings.json"
        self.write_settings(
            operators=[{"port": self.servers[0].port}],
            callers=[{"port": self.servers[1].port}],
            keys_file="keys.json",
            author="aino",
            change_timeout_seconds=0.5,
        )

    def write_settings(self, **settings):
        self.settings.write_text(json.dumps(settings))

    def operate(self, req):
        answer = self.app.handle(req)
        if req.method == "POST" and self.lose_answers > 0:
            self.lose_answers -= 1
            raise CloseConnection
        return answer

    def call(self, req):
        self.calls.append(req)
        return self.answer

    def run(self, *args, code=0):
        done = CliRunner().invoke(app, ["--settings", str(self.settings), *args])
        assert done.exit_code == code, done.output
        assert "Traceback" not in done.output
        return done.output

    def run_json(self, *args):
        return json.loads(self.run(*args, "--json"))

    def stop(self):
        stops = [threading.Thread(target=server.stop) for server in self.servers]
        for stop in stops:
            stop.start()
        for stop in stops:
            stop.join()


@pytest.fixture
def cell(tmp_path):
    cell = Cell(tmp_path)
    yield cell
    cell.stop()


def test_workload_is_created_shown_edited_and_deleted(cell):
    assert "accepted at revision 1" in cell.run("workload", "create", "rcd", *QUICK)
    assert "revision 1 by aino" in cell.run("workload", "show", "rcd")
    cell.run("workload", "edit", "rcd", "--set", "slo.wait_seconds=0.25")
    shown = cell.run_json("workload", "show", "rcd")
    assert shown["model"]["slo"] == {"wait_seconds": 0.25, "answered_share": 0.99}
    cell.run("workload", "edit", "rcd", "--unset", "slo.wait_seconds")
    shown = cell.run_json("workload", "show", "rcd")
    assert (shown["model"]["slo"]["wait_seconds"], shown["stamp"]["revision"]) == (1, 3)
    assert "rcd   service" in cell.run("workload", "list")
    cell.run("workload", "delete", "rcd")
    cell.run("workload", "show", "rcd", code=5)


def test_item_that_exists_is_not_created_again(cell):
    cell.run("team", "create", "kids", "--set", "quota=0.5")
    text = cell.run("team", "create", "kids", code=4)
    assert "team kids exists: revision 1 by aino; use edit" in text


def test_switch_diff_and_in_force(cell):
    cell.run("config", "load", BRANNOCK)
    text = cell.run("preset", "diff", "peak")
    assert "rcd-check" in text and "0.45" in text
    assert cell.run_json("preset", "diff", "ordinary", "ordinary") == []
    cell.run("preset", "switch", "peak")
    assert cell.run("preset", "in-force") == "peak: revision 2 by aino\n"
    assert "in force already" in cell.run("preset", "switch", "peak")
    assert "peak (in force)" in cell.run("preset", "list")
    assert "is in force" in cell.run("preset", "delete", "peak", code=3)
    cell.run("preset", "switch", "nope", code=3)
    cell.run("preset", "diff", "nope", code=5)


def test_loser_of_a_race_is_told_who_won(cell):
    cell.run("config", "load", BRANNOCK)
    cell.run("preset", "switch", "peak")
    text = cell.run("preset", "switch", "maintenance", "--expected", "1", code=4)
    assert "in force was changed first by aino at revision 2" in text


def test_rule_of_a_preset_is_set(cell):
    cell.run("config", "load", BRANNOCK)
    cell.run("preset", "edit", "peak", "--set", "rules.rcd-check.floor=0.3")
    shown = cell.run_json("preset", "show", "peak")["model"]["rules"]["rcd-check"]
    assert (shown["floor"], shown["queue_limit"]) == (0.3, 800)


def test_whole_configuration_goes_round(cell, tmp_path):
    cell.run("config", "load", BRANNOCK)
    copy = tmp_path / "copy.json"
    copy.write_text(cell.run("config", "show"))
    expected = ConfigModel.model_validate_json(Path(BRANNOCK).read_bytes())
    assert ConfigModel.model_validate_json(copy.read_bytes()) == expected


def test_check_shows_what_a_load_would_change_and_writes_nothing(cell, tmp_path):
    cell.run("config", "load", BRANNOCK)
    body = json.loads(Path(BRANNOCK).read_bytes())
    body["teams"].append({"name": "idle"})
    body["workloads"][0]["floor"] = 0.2
    file = tmp_path / "new.json"
    file.write_text(json.dumps(body))
    writes = cell.service.counts().operations["create"]
    text = cell.run("config", "check", str(file))
    assert "differences from the version in force (revision 1)" in text
    report = cell.run_json("config", "check", str(file))
    assert report["is_valid"] and report["findings"] == [
        {
            "severity": "warning",
            "path": "teams.idle",
            "message": "the team has no workload",
        }
    ]
    paths = [entry["path"] for entry in report["comparison"]["entries"]]
    assert paths == ["teams.idle", "workloads.rcd-check.floor"]
    assert report["comparison"]["shares"][0]["after"] == "0.2"
    assert "same as the version in force" in cell.run("config", "check", BRANNOCK)
    assert cell.service.counts().operations["create"] == writes


def test_check_without_a_daemon_still_reports_findings(cell):
    text = cell.run("config", "check", BRANNOCK, "--offline")
    assert "not compared with the version in force: --offline" in text
    cell.servers[0].stop()
    text = cell.run("config", "check", BRANNOCK)
    assert text.startswith("valid: ") and "no daemon can be reached" in text


def test_check_of_a_rejected_file_ends_with_the_code_of_load(cell, tmp_path):
    file = tmp_path / "wrong.json"
    file.write_text('{"in_force": "peak", "teams": [{"name": "t", "weight": 0}]}')
    cell.run("config", "load", str(file), code=3)
    text = cell.run("config", "check", str(file), code=3)
    assert "teams.t.weight" in text and "there is no preset peak" in text
    text = cell.run("config", "check", str(file), "--json", code=3)
    report, _ = json.JSONDecoder().raw_decode(text)
    assert not report["is_valid"] and report["comparison"] is None


def test_wrong_fields_are_named_before_anything_is_sent(cell):
    text = cell.run("workload", "create", "rcd", "--set", "demand.cpus=-1", code=3)
    assert "kind: Field required" in text and "demand.cpus: " in text
    assert cell.service.counts().total == 0


@pytest.mark.parametrize(
    ("args", "code", "part"),
    [
        (["workload", "edit", "rcd"], 2, "nothing to change"),
        (["workload", "create", "rcd", "--set", "x"], 2, "write FIELD=VALUE"),
        (["workload", "create", "rcd", "--file", "/none"], 2, "No such file"),
        (["refused", "--since", "yesterday"], 2, "write a duration"),
        (["explain", "r2"], 5, "knows nothing of request r2"),
        (["config", "check", "/none"], 2, "No such file"),
    ],
)
def test_wrong_use_is_told(cell, args, code, part):
    assert part in cell.run(*args, code=code)


def test_lost_answers_are_resolved_or_told(cell):
    cell.lose_answers = 1
    cell.run("team", "create", "kids")
    cell.lose_answers = 10**6
    text = cell.run("team", "create", "others", code=7)
    cell.lose_answers = 0
    change_id = text.partition("--change-id ")[2].split()[0]
    text = cell.run("team", "create", "others", "--change-id", change_id)
    assert "accepted at revision 2" in text
    assert cell.service.counts().operations["create"] == 2


def test_outage_is_told(cell):
    cell.service.set_faults(Faults(down=True))
    assert "nothing was changed" in cell.run("team", "create", "kids", code=6)


def test_unreachable_daemons_are_named(cell):
    port = cell.servers[0].port
    cell.servers[0].stop()
    text = cell.run("team", "list", code=6)
    assert f"no daemon can be reached: 127.0.0.1:{port}: " in text


def test_other_keys_are_refused(cell, tmp_path):
    (tmp_path / "keys.json").unlink()
    generate_key_file(tmp_path / "keys.json")
    cell.run("team", "list", code=8)


@pytest.mark.parametrize(
    ("settings", "part"),
    [
        ({"operators": [{"port": 0}]}, "operators.0.port"),
        ({"operators": [{"host": "example.org", "port": 1}]}, "operators.0.host"),
        ({"nonsense": 1}, "nonsense"),
        ({"operators": [{"port": 1}]}, "keys_file"),
        ({"operators": [{"port": 1}], "keys_file": "none"}, "No such file"),
        ({}, "operators"),
    ],
)
def test_wrong_settings_name_the_field(cell, settings, part):
    cell.write_settings(**settings)
    assert part in cell.run("team", "list", code=2)


def test_settings_file_is_needed():
    done = CliRunner().invoke(app, ["team", "list"], env={"PAPAYADYKE_SETTINGS": ""})
    assert done.exit_code == 2


def test_questions_are_printed(cell):
    text = cell.run("status")
    assert "store away" in text and "rcd-check" in text and "u1" in text
    assert cell.run_json("status")["queues"][0]["queued"] == 7
    assert "board-upgrade held the fleet." in cell.run("explain", "r1")
    text = cell.run("refused", "--workload", "rcd-check", "--since", "15m")
    assert "queue_full" in text and "one VM did not answer" in text
    assert cell.run_json("refused")["is_complete"] is False


def make_problem(status, verdict):
    body = {"detail": "The queue is full.", "verdict": verdict, "reason": "queue_full"}
    return HttpAnswer(status, json.dumps(body).encode(), "application/problem+json")


def test_submit_prints_the_answer_and_tells_refusals_apart(cell):
    options = ["--data", "{}", "--key", "k1", "--timeout", "5"]
    assert cell.run("submit", "rcd-check", *options) == "42"
    headers = cell.calls[0].headers
    assert (headers["idempotency-key"], headers["request-timeout"]) == ("k1", "5")
    assert cell.run_json("submit", "rcd-check")["body"] == 42
    cell.answer = make_problem(429, "not_run")
    assert "not_run" in cell.run("submit", "rcd-check", code=9)
    cell.answer = make_problem(504, "may_have_run")
    cell.run("submit", "rcd-check", code=10)
    cell.answer = HttpAnswer(500, b"no", headers={"Upstream": "u1"})
    assert cell.run("submit", "rcd-check", code=11) == "no"
    cell.answer = HttpAnswer(502, b"<html>")
    cell.run("submit", "rcd-check", code=1)


def test_jobs_are_sent_shown_and_cancelled(cell, tmp_path):
    tasks = [{"index": 0, "state": "answered", "had_run": True}]
    job = {"id": "j1", "workload": "w", "state": "finished", "tasks": tasks}
    cell.answer = HttpAnswer(200, json.dumps(job).encode())
    file = tmp_path / "job.json"
    file.write_text("{}")
    assert "job j1 of w: finished" in cell.run("job", "submit", str(file))
    assert cell.run_json("job", "show", "j1", "--wait", "2") == job
    cell.run("job", "cancel", "j1")
    paths = [(req.method, req.path, req.query) for req in cell.calls]
    assert paths == [
        ("POST", "/v1/jobs", ""),
        ("GET", "/v1/jobs/j1", "wait_seconds=2"),
        ("DELETE", "/v1/jobs/j1", ""),
    ]


@pytest.mark.parametrize("user", ["brannock", "limonadikoulu"])
def test_example_configurations_are_valid(user):
    file = EXAMPLES / user / "config.json"
    model = ConfigModel.model_validate_json(file.read_bytes())
    assert {preset.name for preset in model.presets} == {
        "ordinary",
        "peak",
        "maintenance",
    }
    done = CliRunner().invoke(app, ["config", "check", str(file)])
    assert done.exit_code == 0 and done.output.startswith("valid: ")


def test_example_settings_are_valid():
    settings = Session(EXAMPLES / "operator-settings.json").read_settings()
    assert settings.operators and settings.callers and settings.keys_file


def test_report_on_burn_names_levels_causes_and_windows(cell):
    text = cell.run("report", "burn", "--window", "2h")
    assert "rcd-check  99.000% in 1 s" in text
    assert "not_run: queue_full" in text
    report = cell.run_json("report", "burn", "--workload", "rcd-check")
    assert report["workloads"][0]["good_share"] == 0.75
    assert cell.run_json("report", "burn", "--workload", "none")["workloads"] == []


def test_report_on_burn_is_one_html_file_without_references(cell, tmp_path):
    page = tmp_path / "burn.html"
    cell.run("report", "burn", "--html", str(page))
    document = page.read_text()
    assert document.count("<svg") == 2
    assert "queue_full" in document
    outside = document.replace("http://www.w3.org/", "")
    assert "src=" not in outside
    assert 'href="http' not in outside
