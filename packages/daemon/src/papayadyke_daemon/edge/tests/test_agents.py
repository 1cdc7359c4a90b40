"""The threads that speak to one upstream."""

import queue
import threading

import pytest
from result import Err, Ok

from papayadyke_core.dispatch import (
    StartOrder,
    StartOutcome,
    StopOrder,
    TaskId,
    UpstreamReport,
)
from papayadyke_daemon.edge import EdgeSettings, read_clock
from papayadyke_daemon.edge._agents import AgentCalls, UpstreamAgent

TIMEOUT_S = 20.0  # seconds that any step of a test may take
CFG = EdgeSettings(
    vm="vm",
    availability_zone="zone",
    host="127.0.0.1",
    callers_port=0,
    readiness_port=0,
    peers_port=0,
    lease_s=5.0,
)


class FakeClient:
    """Answers looks at once but for those that wait, and loses starts."""

    def __init__(self):
        self.goes_on = threading.Event()
        self.waits = threading.Event()
        self.is_cut = False
        self.loses = {0}
        self.starts: queue.Queue = queue.Queue()
        self.made_s = 0.0

    def look(self, *, token, noted_end, lease_s, wait_s):
        if wait_s:
            self.waits.set()
            assert self.goes_on.wait(TIMEOUT_S)
        if self.is_cut:
            return Err("cut")
        self.made_s += 1.0
        return Ok(UpstreamReport(1, read_clock(), read_clock(), [], [], self.made_s))

    def start(self, order, *, token, lease_s):
        number = order.task.number
        self.starts.put(number)
        if number in self.loses:
            return StartOutcome.UNKNOWN
        return StartOutcome.STARTED

    def stop(self, order, *, token):
        return True

    def close(self):
        pass


class Started:
    """An agent whose look waits, and what it tells."""

    def __init__(self):
        self.client = FakeClient()
        self.told: queue.Queue = queue.Queue()
        calls = AgentCalls(
            may_order=lambda: True,
            report=lambda name, report: self.told.put(("report", report.made_s)),
            lose_contact=lambda name, why: self.told.put(("lost", why)),
            start_answered=lambda order, outcome: self.told.put(("start", outcome)),
            stop_answered=lambda order: self.told.put(("stop", order.task.number)),
            note_lease=lambda name, sent_s: None,
            look_gap_s=lambda: 0.0,
            fenced=lambda name: None,
        )
        self.agent = UpstreamAgent(
            "u", address="a:1", client=self.client, token=1, cfg=CFG, calls=calls
        )
        self.agent.start()
        assert self.hear() == ("report", 1.0)
        assert self.client.waits.wait(TIMEOUT_S)

    def hear(self):
        return self.told.get(timeout=TIMEOUT_S)

    def order(self, number):
        task = TaskId("job", 0, 0, number)
        self.agent.send(StartOrder("u", task, 1, "p", "", "", read_clock()))


@pytest.fixture
def started():
    made = Started()
    yield made
    made.client.goes_on.set()
    made.agent.stop()


def test_start_without_an_answer_is_followed_by_a_look_at_once(started):
    """The look that waits for an end may wait for another second."""
    started.order(0)
    assert started.hear() == ("start", StartOutcome.UNKNOWN)
    assert started.hear() == ("report", 2.0)


def test_stop_is_followed_by_a_look_at_once(started):
    task = TaskId("job", 0, 0, 0)
    started.agent.send(StopOrder("u", task, 1, "start was not answered"))
    assert started.hear() == ("stop", 0)
    assert started.hear() == ("report", 2.0)


def test_upstream_that_is_cut_off_stays_lost(started):
    started.client.is_cut = True
    started.order(0)
    assert started.hear() == ("start", StartOutcome.UNKNOWN)
    started.client.goes_on.set()
    assert started.hear() == ("lost", "cut")


def test_report_that_was_overtaken_is_dropped(started):
    late = UpstreamReport(1, 0.0, 0.0, [], [], 0.5)
    assert started.agent._report(late)
    started.order(1)
    assert started.hear() == ("start", StartOutcome.STARTED)


def test_order_without_an_answer_does_not_hold_up_the_next(started):
    begun, goes_on = threading.Event(), threading.Event()
    start = started.client.start

    def hang(order, *, token, lease_s):
        if order.task.number == 0:
            begun.set()
            assert goes_on.wait(TIMEOUT_S)
        return start(order, token=token, lease_s=lease_s)

    started.agent._client = Hanging(started.client, hang)
    started.order(0)
    assert begun.wait(TIMEOUT_S)
    started.order(1)
    assert started.hear() == ("start", StartOutcome.STARTED)
    goes_on.set()


class Hanging:
    """A client whose starts go another way."""

    def __init__(self, client, start):
        self.look, self.stop, self.close = client.look, client.stop, client.close
        self.start = start
