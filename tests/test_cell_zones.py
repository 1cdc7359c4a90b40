"""Real processes on loopback: two zones that help each other out."""

import json
import sys
import threading
import time
from dataclasses import replace
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))

from cell_plans import plan_cell

from papayadyke_standins.cell import Cell

pytestmark = pytest.mark.processes

LIMIT_S = 60.0
SETTLE_S = 1.5
KEYS = 12
SLOTS = 4
FILL_S = 30.0
# Shorter than what fills the zone, so that no answer comes from waiting for it.
DEADLINE_S = 6.0
ONE_WORKLOAD = {
    "workloads": [
        {
            "name": "rcd-check",
            "kind": "service",
            "idempotent": True,
            "demand": {"cpus": 1, "memory_mb": 256},
            "timeout_seconds": 60,
        }
    ],
    "presets": [{"name": "ordinary"}],
}


def send_work(daemon, request_id, work_s=0.0, timeout_s=DEADLINE_S):
    return daemon.send(
        "POST",
        "/v1/run/rcd-check",
        body=json.dumps({"work_seconds": work_s}).encode(),
        headers={"Request-Id": request_id, "Request-Timeout": f"{timeout_s}"},
        timeout_s=timeout_s + 5.0,
    )


def fill_zone(daemon):
    threads = [
        threading.Thread(
            target=send_work, args=(daemon, f"fill-{number}", FILL_S, FILL_S + 10.0)
        )
        for number in range(SLOTS)
    ]
    for thread in threads:
        thread.start()
    return threads


def plan_zones():
    plan = plan_cell(zones=2, daemons=1, upstreams=1, slots=SLOTS)
    return replace(plan, config=ONE_WORKLOAD)


def test_work_stays_in_its_zone_where_there_is_room(tmp_path):
    with Cell(plan_zones(), tmp_path) as cell:
        cell.wait_until_answered()
        for daemon in cell.daemons.values():
            zone = daemon.availability_zone
            for number in range(2 * SLOTS):
                reply = send_work(daemon, f"{zone}-{number}")
                assert reply.headers["Upstream"] == f"{zone}-upstream-0"


def test_work_crosses_zones_where_the_own_zone_has_no_room(tmp_path):
    with Cell(plan_zones(), tmp_path) as cell:
        cell.wait_until_answered()
        own = cell.daemons["hobart-vm-0"]
        filled_s = time.monotonic()
        threads = fill_zone(own)
        time.sleep(SETTLE_S)
        replies = []
        while time.monotonic() < filled_s + FILL_S - DEADLINE_S:
            replies.append(send_work(own, f"full-{len(replies)}"))
            if replies[-1].status == 200:
                break
        assert replies[-1].headers.get("Upstream") == "launceston-upstream-0", [
            reply.body for reply in replies
        ]
        assert cell.read_breaches() == []
    for thread in threads:
        thread.join()


def test_key_claimed_in_one_zone_is_replayed_in_the_other(tmp_path):
    with Cell(plan_cell(zones=2, daemons=1, upstreams=1), tmp_path) as cell:
        cell.wait_until_answered()
        here, there = cell.daemons.values()
        assert here.availability_zone != there.availability_zone
        # Enough keys that some have their home in either zone.
        for number in range(KEYS):
            key = f"order-{number}"
            first = send_order(here, key)
            again = send_order(there, key)
            assert "Idempotent-Replay" not in first.headers
            assert again.headers.get("Idempotent-Replay") == "true"
            assert again.body == first.body
        runs = [item for found in cell.read_records().values() for item in found]
        for number in range(KEYS):
            assert sum(item.request_id == f"order-{number}-id" for item in runs) == 1
        assert cell.read_breaches() == []


def send_order(daemon, key):
    """Send a keyed order until its home can be reached."""
    until_s = time.monotonic() + LIMIT_S
    while time.monotonic() < until_s:
        reply = daemon.send(
            "POST",
            "/v1/run/school-order",
            body=json.dumps({"items": [{"name": key}]}).encode(),
            headers={"Idempotency-Key": key, "Request-Id": f"{key}-id"},
        )
        if reply is not None and reply.status == 200:
            return reply
        assert reply is not None
        assert b'"not_run"' in reply.body
        time.sleep(0.2)
    raise AssertionError(reply.body)
