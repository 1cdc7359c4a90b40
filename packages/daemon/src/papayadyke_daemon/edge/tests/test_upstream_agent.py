"""Test the agent of one upstream: leases after a pause, and unexpected errors."""

import threading

import pytest
from result import Ok

from papayadyke_core.dispatch import (
    StartOrder,
    StartOutcome,
    StopOrder,
    TaskId,
    UpstreamReport,
)
from papayadyke_daemon.edge import _agents
from papayadyke_daemon.edge._agents import AgentCallbacks, UpstreamAgent
from papayadyke_daemon.edge.tests.deciders import make_settings

TIMEOUT_S = 10.0  # seconds for any wait of a test
TASK = TaskId("job", 0, 0, 0)
LEASE_S = 5.0


class FakeClient:
    """Upstream client that records leases and fails as often as the test says."""

    def __init__(self):
        self.failures = 0
        self.polled = threading.Event()
        self.leases: list[float | None] = []

    def poll(self, *, token, acknowledged_end, lease_until_s, wait_s):
        self.leases.append(lease_until_s)
        self._fail()
        self.polled.set()
        return Ok(UpstreamReport(1, 0.0, 0.0))

    def start(self, order, *, token, lease_until_s):
        self.leases.append(lease_until_s)
        self._fail()
        return StartOutcome.STARTED

    def stop(self, order, *, token):
        self._fail()
        return True

    def close(self):
        pass

    def _fail(self):
        if self.failures:
            self.failures -= 1
            raise AttributeError("a row of the answer has another type")


class RunningAgent:
    """Agent with a fake client, whose callbacks are recorded."""

    def __init__(self, before_lease=lambda name, at_s: None):
        self.client = FakeClient()
        self.outcomes = []
        self.answered = threading.Event()
        self.stop_accepted = threading.Event()
        self.may_issue = True
        cfg = make_settings(lease_s=LEASE_S)
        self.agent = UpstreamAgent(
            "u",
            address="127.0.0.1:1",
            client=self.client,
            token=7,
            cfg=cfg,
            callbacks=AgentCallbacks(
                may_issue_orders=lambda: self.may_issue,
                on_report=lambda name, report: None,
                on_contact_lost=lambda name, why: None,
                on_start_outcome=self._record_outcome,
                on_stop_acknowledged=lambda order: self.stop_accepted.set(),
                before_lease=before_lease,
                poll_interval_s=lambda: 0.01,
                on_fenced=lambda name: None,
            ),
        )

    def _record_outcome(self, order, outcome):
        self.outcomes.append(outcome)
        self.answered.set()


@pytest.fixture
def clock(monkeypatch):
    """Clock of the agent, which the test sets."""
    now = [100.0]
    monkeypatch.setattr(_agents, "read_clock", lambda: now[0])
    return now


def test_lease_of_a_start_counts_from_the_check_of_the_permission(clock):
    """A pause after the check must shorten the lease instead of moving it."""

    def pause(name, at_s):
        clock[0] += 8.0

    running = RunningAgent(before_lease=pause)
    running.agent.send(StartOrder("u", TASK, 1, "payload", ordered_s=100.0))
    running.agent.send_next()
    assert running.client.leases == [100.0 + LEASE_S]


def test_lease_of_a_poll_counts_from_the_check_of_the_permission(clock):
    def pause(name, at_s):
        clock[0] += 8.0

    running = RunningAgent(before_lease=pause)
    running.agent.poll_once()
    running.agent.poll_once()
    assert running.client.leases == [None, 100.0 + LEASE_S]


def test_order_that_waited_through_a_pause_is_not_sent(clock):
    running = RunningAgent()
    running.agent.send(StartOrder("u", TASK, 1, "payload", ordered_s=100.0))
    clock[0] += 8.0
    running.agent.send_next()
    assert running.outcomes == [StartOutcome.EXPIRED]
    assert running.client.leases == []


def test_agent_goes_on_polling_after_an_unexpected_error():
    running = RunningAgent()
    running.client.failures = 1
    running.agent.start()
    assert running.client.polled.wait(TIMEOUT_S)
    running.agent.stop()


def test_start_that_fails_unexpectedly_may_have_run():
    running = RunningAgent()
    running.client.failures = 1
    running.agent.send(
        StartOrder("u", TASK, 1, "payload", ordered_s=_agents.read_clock())
    )
    running.agent.send_next()
    assert running.outcomes == [StartOutcome.UNKNOWN]


def test_agent_goes_on_sending_after_an_unexpected_error():
    running = RunningAgent()
    running.client.failures = 1
    running.agent.send(StopOrder("u", TASK, 1))
    running.agent.send(StopOrder("u", TASK, 1))
    running.agent.send_next()
    assert not running.stop_accepted.is_set()
    running.agent.send_next()
    assert running.stop_accepted.is_set()
