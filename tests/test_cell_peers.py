"""Real processes on loopback: several daemons, killed, paused and cut off."""

import json
import sys
import time
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))

from cell_plans import plan_cell

from papayadyke_standins.cell import Cell, Load, Mix

pytestmark = pytest.mark.processes

SETTLE_S = 1.5

# Session of 6 s, death noticed in 10 s, with as much again for a busy machine.
TAKEOVER_S = 32.0
QUICK = Mix("rcd-check", work_s=0.02, clients=6)
ORDERS = Mix("school-order", work_s=0.02, clients=4)


def check_truth(cell, load):
    records = cell.read_records()
    assert load.ledger.find_lies(records) == []
    assert load.ledger.find_repeats(records, "school-order") == []
    assert cell.read_breaches() == []


def wait_until_all_upstreams_run(cell, timeout_s=TAKEOVER_S):
    """Wait until every upstream has run something since the call."""
    before = {name: len(found) for name, found in cell.read_records().items()}
    until_s = time.monotonic() + timeout_s
    while time.monotonic() < until_s:
        now = {name: len(found) for name, found in cell.read_records().items()}
        if all(now[name] > before[name] for name in before):
            return
        time.sleep(0.2)
    raise AssertionError(f"idle upstreams: {before} {now}")


def submit_job(daemon, count, *, workload="season-tally", work_s=0.0):
    body = {
        "workload": workload,
        "tasks": [{"payload": {"work_seconds": work_s}}] * count,
    }
    until_s = time.monotonic() + TAKEOVER_S
    while time.monotonic() < until_s:
        reply = daemon.send("POST", "/v1/jobs", body=json.dumps(body).encode())
        if reply.status == 202:
            return reply.headers["Location"]
        assert b'"not_run"' in reply.body
        time.sleep(0.2)
    raise AssertionError(reply.body)


def wait_for_job(daemons, location, timeout_s=120.0):
    until_s = time.monotonic() + timeout_s
    view = None
    while time.monotonic() < until_s:
        for daemon in daemons:
            reply = daemon.send("GET", f"{location}?wait_seconds=1")
            if reply is not None and reply.status == 200:
                view = json.loads(reply.body)
                if view["state"] == "finished":
                    return view
        time.sleep(0.2)
    raise AssertionError(f"job not finished: {view}")


def test_killed_owner_is_taken_over_and_nothing_runs_twice(tmp_path):
    with Cell(plan_cell(daemons=3, upstreams=4), tmp_path) as cell:
        cell.wait_until_answered()
        with Load(cell.list_targets(), [QUICK, ORDERS], seed=11) as load:
            wait_until_all_upstreams_run(cell)
            cell.daemons["hobart-vm-1"].process.kill()
            wait_until_all_upstreams_run(cell)
        check_truth(cell, load)


def test_owner_killed_during_a_store_outage_is_taken_over(tmp_path):
    with Cell(plan_cell(daemons=3, upstreams=4), tmp_path) as cell:
        cell.wait_until_answered()
        with Load(cell.list_targets(), [QUICK, ORDERS], seed=12) as load:
            wait_until_all_upstreams_run(cell)
            cell.order_store_faults(down=True)
            cell.daemons["hobart-vm-1"].process.kill()
            wait_until_all_upstreams_run(cell)
        check_truth(cell, load)


def test_paused_owner_comes_back_without_a_second_owner(tmp_path):
    with Cell(plan_cell(daemons=3, upstreams=4), tmp_path) as cell:
        cell.wait_until_answered()
        with Load(cell.list_targets(), [QUICK, ORDERS], seed=13) as load:
            wait_until_all_upstreams_run(cell)
            cell.daemons["hobart-vm-1"].process.pause()
            wait_until_all_upstreams_run(cell)
            cell.daemons["hobart-vm-1"].process.resume()
            wait_until_all_upstreams_run(cell)
        check_truth(cell, load)


def test_rolling_restart_cuts_off_nothing(tmp_path):
    with Cell(plan_cell(daemons=3, upstreams=4), tmp_path) as cell:
        cell.wait_until_answered()
        with Load(cell.list_targets(), [QUICK, ORDERS], seed=14) as load:
            time.sleep(SETTLE_S)
            for daemon in cell.daemons.values():
                daemon.process.terminate()
                assert daemon.process.wait() == 0
                daemon.process.start()
                daemon.process.wait_for_port()
                cell.wait_until_answered()
            wait_until_all_upstreams_run(cell)
        counts = load.ledger.count()
        assert counts["cut"] == 0
        assert counts["may_have_run"] == 0
        check_truth(cell, load)


def test_any_vm_tells_what_became_of_a_request(tmp_path):
    with Cell(plan_cell(daemons=2, upstreams=2), tmp_path) as cell:
        cell.wait_until_answered()
        first, second = cell.daemons.values()
        first.send("POST", "/v1/run/nope", headers={"Request-Id": "asked-1"})
        reply = second.send("GET", "/v1/requests/asked-1")
        assert json.loads(reply.body)["refusal"]["reason"] == "unknown_workload"


def test_planned_stop_hands_over_what_is_queued(tmp_path):
    plan = plan_cell(daemons=2, upstreams=2, slots=1)
    with Cell(plan, tmp_path) as cell:
        cell.wait_until_answered()
        slow = Mix("rcd-check", work_s=0.3, timeout_s=30.0, clients=10)
        with Load(cell.list_targets(), [slow], seed=16) as load:
            wait_until_all_upstreams_run(cell)
            daemon = cell.daemons["hobart-vm-0"]
            daemon.process.terminate()
            assert daemon.process.wait() == 0
            time.sleep(SETTLE_S)
        assert load.ledger.list_unanswered() == []
        check_truth(cell, load)


def test_job_outlives_the_vm_that_accepted_it(tmp_path):
    with Cell(plan_cell(daemons=3, upstreams=4), tmp_path) as cell:
        cell.wait_until_answered()
        first = cell.daemons["hobart-vm-0"]
        others = [d for d in cell.daemons.values() if d is not first]
        idempotent = submit_job(first, 12, work_s=2.0)
        once = submit_job(first, 12, workload="school-order", work_s=2.0)
        time.sleep(1.0)
        first.process.kill()
        done = wait_for_job(others, idempotent)
        told = wait_for_job(others, once)
        assert {task["state"] for task in done["tasks"]} == {"answered"}
        assert {task["state"] for task in told["tasks"]} <= {
            "answered",
            "may_have_run",
        }
        runs = [item for found in cell.read_records().values() for item in found]
        once_id = once.rpartition("/")[2]
        ids = [item.request_id for item in runs if item.request_id.startswith(once_id)]
        assert len(ids) == len(set(ids))
        assert cell.read_breaches() == []


def test_repeated_key_runs_once_although_a_vm_is_killed(tmp_path):
    with Cell(plan_cell(daemons=3, upstreams=4), tmp_path) as cell:
        cell.wait_until_answered()
        cell.wait_until_owned()
        keys = [f"order-{number}" for number in range(12)]

        def send(daemon, key):
            return daemon.send(
                "POST",
                "/v1/run/school-order",
                body=json.dumps({"items": [{"name": key}]}).encode(),
                headers={"Idempotency-Key": key, "Request-Id": f"{key}-id"},
            )

        first = cell.daemons["hobart-vm-0"]
        answers = {key: send(first, key) for key in keys}
        assert {reply.status for reply in answers.values()} == {200}
        first.process.kill()
        second = cell.daemons["hobart-vm-1"]
        until_s = time.monotonic() + TAKEOVER_S
        waiting = set(keys)
        while waiting and time.monotonic() < until_s:
            for key in sorted(waiting):
                reply = send(second, key)
                if reply is not None and reply.status == 200:
                    assert reply.headers.get("Idempotent-Replay") == "true"
                    assert reply.body == answers[key].body
                    waiting.discard(key)
            time.sleep(0.5)
        assert waiting == set()
        runs = [item for found in cell.read_records().values() for item in found]
        for key in keys:
            assert sum(item.request_id == f"{key}-id" for item in runs) == 1


def test_zone_that_is_cut_off_goes_on_serving(tmp_path):
    with Cell(plan_cell(zones=2, daemons=2, upstreams=2), tmp_path) as cell:
        cell.wait_until_answered()
        own = [d for d in cell.daemons.values() if d.availability_zone == "hobart"]
        far = [d for d in cell.daemons.values() if d.availability_zone != "hobart"]
        targets = [t for t in cell.list_targets() if t.port in _ports(own)]
        with Load(targets, [QUICK, ORDERS], seed=15) as load:
            time.sleep(SETTLE_S)
            cell.order_store_faults(cut_clients=["hobart/"])
            for daemon in far:
                daemon.process.pause()
            time.sleep(8.0)
            begun_s = time.monotonic()
            time.sleep(4.0)
            for daemon in far:
                daemon.process.resume()
            cell.order_store_faults()
            cell.wait_until_answered()
        during = [item for item in load.ledger.sent if item.at_s > begun_s]
        assert {item.outcome for item in during} == {"answered"}
        check_truth(cell, load)


def test_daemon_started_during_an_outage_gets_the_configuration(tmp_path):
    with Cell(plan_cell(daemons=3, upstreams=4), tmp_path) as cell:
        cell.wait_until_answered()
        daemon = cell.daemons["hobart-vm-2"]
        daemon.process.kill()
        cell.order_store_faults(down=True)
        daemon.process.start()
        daemon.process.wait_for_port()
        cell.wait_until_answered()


def _ports(daemons):
    return {daemon.callers_port for daemon in daemons}
