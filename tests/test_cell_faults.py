"""Real processes on loopback: stopped, killed, and faults of their upstreams."""

import sys
import time
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))

from cell_plans import plan_cell

from papayadyke_standins.cell import Cell, Load, Mix
from papayadyke_standins.upstream import Faults

pytestmark = pytest.mark.processes

SETTLE_S = 1.0
QUICK = Mix("rcd-check", work_s=0.02, clients=6)
ORDERS = Mix("school-order", work_s=0.02, clients=4)


def check_truth(cell, load):
    records = cell.read_records()
    assert load.ledger.find_lies(records) == []
    assert load.ledger.find_repeats(records, "school-order") == []
    assert cell.read_breaches() == []


def test_planned_stop_cuts_off_no_request(tmp_path):
    with Cell(plan_cell(), tmp_path) as cell:
        cell.wait_until_answered()
        daemon = cell.daemons["hobart-vm-0"]
        slow = Mix("rcd-check", work_s=0.5, clients=6)
        with Load(cell.list_targets(), [slow, ORDERS], seed=1) as load:
            time.sleep(SETTLE_S)
            daemon.process.terminate()
            assert daemon.process.wait() == 0
        counts = load.ledger.count()
        assert counts["answered"] > 0
        assert counts["cut"] == 0
        assert counts["may_have_run"] == 0
        check_truth(cell, load)


def test_killed_daemon_leaves_nothing_run_twice(tmp_path):
    with Cell(plan_cell(), tmp_path) as cell:
        cell.wait_until_answered()
        daemon = cell.daemons["hobart-vm-0"]
        with Load(cell.list_targets(), [QUICK, ORDERS], seed=2) as load:
            time.sleep(SETTLE_S)
            daemon.process.kill()
            daemon.process.start()
            daemon.process.wait_for_port()
            cell.wait_until_answered()
            time.sleep(SETTLE_S)
        assert load.ledger.count()["answered"] > 0
        check_truth(cell, load)


def test_paused_daemon_goes_on_truthfully(tmp_path):
    with Cell(plan_cell(), tmp_path) as cell:
        cell.wait_until_answered()
        daemon = cell.daemons["hobart-vm-0"]
        with Load(cell.list_targets(), [QUICK, ORDERS], seed=3) as load:
            time.sleep(SETTLE_S)
            daemon.process.pause()
            # Longer than the time to live of its sessions.
            time.sleep(8.0)
            daemon.process.resume()
            cell.wait_until_answered()
        check_truth(cell, load)


def test_store_outage_leaves_requests_without_a_key_alone(tmp_path):
    with Cell(plan_cell(), tmp_path) as cell:
        cell.wait_until_answered()
        daemon = cell.daemons["hobart-vm-0"]
        cell.order_store_faults(down=True)
        with Load(cell.list_targets(), [QUICK, ORDERS], seed=4) as load:
            time.sleep(2 * SETTLE_S)
            keyed = daemon.send(
                "POST",
                "/v1/run/school-order",
                body=b"{}",
                headers={"Idempotency-Key": "k1", "Request-Id": "keyed-1"},
            )
        assert set(load.ledger.count()) == {"answered"}
        assert keyed.status == 503
        assert b'"not_run"' in keyed.body
        records = cell.read_records()
        ran = {item.request_id for found in records.values() for item in found}
        assert "keyed-1" not in ran
        check_truth(cell, load)


@pytest.mark.parametrize(
    "faults",
    [
        Faults(silent_old=True),
        Faults(lose_answers=True),
        Faults(late_answer_s=3.0),
    ],
    ids=["silent-connections", "lost-answers", "late-answers"],
)
def test_lost_answers_are_found_and_told_whole(tmp_path, faults):
    with Cell(plan_cell(), tmp_path) as cell:
        cell.wait_until_answered()
        with Load(cell.list_targets(), [QUICK, ORDERS], seed=5) as load:
            time.sleep(SETTLE_S)
            for upstream in cell.upstreams:
                cell.order_faults(upstream, faults)
            time.sleep(4 * SETTLE_S)
            for upstream in cell.upstreams:
                cell.order_faults(upstream, Faults())
        assert load.ledger.list_unanswered() == []
        check_truth(cell, load)


def test_killed_upstream_is_told_as_may_have_run_or_run_elsewhere(tmp_path):
    with Cell(plan_cell(upstreams=3), tmp_path) as cell:
        cell.wait_until_answered()
        slow = Mix("school-order", work_s=0.3, timeout_s=5.0, clients=6)
        with Load(cell.list_targets(), [slow, QUICK], seed=6) as load:
            time.sleep(SETTLE_S)
            cell.upstreams["hobart-upstream-0"].kill()
            killed_s = time.monotonic()
            time.sleep(3 * SETTLE_S)
        later = [
            item
            for item in load.ledger.sent
            if item.at_s - item.latency_s > killed_s + SETTLE_S
        ]
        assert {item.outcome for item in later} == {"answered"}
        records = cell.read_records()
        assert load.ledger.find_repeats(records, "school-order") == []
        assert cell.read_breaches() == []


def test_leaving_upstream_gets_no_new_work(tmp_path):
    with Cell(plan_cell(), tmp_path) as cell:
        cell.wait_until_answered()
        with Load(cell.list_targets(), [QUICK, ORDERS], seed=7) as load:
            time.sleep(SETTLE_S)
            cell.leave("hobart-upstream-0")
            time.sleep(3 * SETTLE_S)
            before = len(cell.read_records()["hobart-upstream-0"])
            time.sleep(SETTLE_S)
            after = len(cell.read_records()["hobart-upstream-0"])
        assert before == after
        assert set(load.ledger.count()) == {"answered"}
        check_truth(cell, load)
