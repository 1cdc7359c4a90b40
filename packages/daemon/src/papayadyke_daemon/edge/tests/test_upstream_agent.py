"""Test the agent of one upstream: leases after a pause, and unexpected errors."""

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
from papayadyke_daemon.edge import _agents
from papayadyke_daemon.edge._agents import AgentCallbacks, UpstreamAgent
from papayadyke_daemon.edge._fence import TOKENS_PER_TERM, UpstreamFences
from papayadyke_daemon.edge._ports import FencedError
from papayadyke_daemon.edge.tests.deciders import make_settings

TIMEOUT_S = 10.0  # seconds for any wait of a test
TASK = TaskId("job", 0, 0, 0)
LEASE_S = 5.0
FIRST_TOKEN = 7 * TOKENS_PER_TERM


class FakeClient:
    """Upstream client that records leases and fails as often as the test says."""

    def __init__(self):
        self.failures = 0
        self.polled = threading.Event()
        self.leases: list[float | None] = []
        self.incarnation = 1
        self.answers_polls = True
        self.polls: list[tuple[int, int, float | None]] = []
        self.on_start = lambda: StartOutcome.STARTED
        self.start_tokens: list[int] = []
        self.is_open = True

    def is_connected(self):
        return self.is_open

    def poll(self, *, token, acknowledged_end, lease_until_s, wait_s):
        self.leases.append(lease_until_s)
        self.polls.append((token - FIRST_TOKEN, acknowledged_end, lease_until_s))
        self._fail()
        self.polled.set()
        if not self.answers_polls:
            return Err("no answer")
        return Ok(UpstreamReport(self.incarnation, 0.0, 0.0))

    def start(self, order, *, token, lease_until_s):
        self.leases.append(lease_until_s)
        self.start_tokens.append(token - FIRST_TOKEN)
        self._fail()
        return self.on_start()

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
        self.reports: list[UpstreamReport] = []
        self.losses: list[str] = []
        self.answered = threading.Event()
        self.stop_accepted = threading.Event()
        self.may_issue = True
        cfg = make_settings(lease_s=LEASE_S)
        self.agent = UpstreamAgent(
            "u",
            address="127.0.0.1:1",
            client=self.client,
            fence=UpstreamFences(7).get_or_create("u"),
            cfg=cfg,
            callbacks=AgentCallbacks(
                may_issue_orders=lambda: self.may_issue,
                on_report=lambda name, report: self.reports.append(report),
                on_contact_lost=lambda name, why: self.losses.append(why),
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


# Upstreams that restart under their ids


def send_start(running, *, incarnation):
    order = StartOrder(
        "u", TASK, 1, "payload", ordered_s=100.0, incarnation=incarnation
    )
    running.agent.send(order)
    running.agent.send_next()
    return running.outcomes[-1]


def test_report_of_a_new_incarnation_counts_once_it_has_seen_a_raised_token(clock):
    """Guards against calls meant for the former incarnation that arrive later."""
    running = RunningAgent()
    running.agent.poll_once()
    running.client.incarnation = 2
    running.agent.poll_once()
    assert [report.incarnation for report in running.reports] == [1]
    # Orders that are not sent must not be given again and again.
    assert running.losses == ["restarted"]
    running.agent.poll_once()
    assert [report.incarnation for report in running.reports] == [1, 2]
    assert running.client.polls[-1] == (1, 0, None)


def test_order_for_the_former_incarnation_is_not_sent(clock):
    """Guards against runs that an upstream starts after their tasks went elsewhere."""
    running = RunningAgent()
    running.agent.poll_once()
    running.client.incarnation = 2
    running.agent.poll_once()
    assert send_start(running, incarnation=1) is StartOutcome.EXPIRED
    assert not running.client.start_tokens
    running.agent.poll_once()
    assert send_start(running, incarnation=2) is StartOutcome.STARTED
    assert running.client.start_tokens == [1]


def test_order_that_a_restart_fenced_does_not_end_the_term(clock):
    """A token that this decider has raised itself is not that of a later decider."""
    running = RunningAgent()
    running.agent.poll_once()
    running.client.incarnation = 2

    def restart():
        running.agent.poll_once()
        return StartOutcome.FENCED

    running.client.on_start = restart
    assert send_start(running, incarnation=1) is StartOutcome.STALE
    running.client.on_start = lambda: StartOutcome.FENCED
    assert send_start(running, incarnation=2) is StartOutcome.FENCED


@pytest.mark.parametrize("failed_call", ["poll", "start", "close"])
def test_poll_after_a_failed_call_acknowledges_and_grants_nothing(clock, failed_call):
    """Guards against ends of a new incarnation that are forgotten before they are read.

    The number of the last stored end and the time of the lease belong to the former
    incarnation.
    """
    running = RunningAgent()
    running.agent.poll_once()
    running.agent.acknowledge_ends(1, 57)
    if failed_call == "poll":
        running.client.answers_polls = False
        running.agent.poll_once()
        running.client.answers_polls = True
    elif failed_call == "start":
        running.client.on_start = lambda: StartOutcome.UNKNOWN
        send_start(running, incarnation=1)
    else:
        running.client.is_open = False
    running.agent.poll_once()
    running.client.is_open = True
    assert running.client.polls[-1] == (0, 0, None)
    running.agent.poll_once()
    assert running.client.polls[-1] == (0, 57, 100.0 + LEASE_S)


def test_acknowledgement_is_not_repeated_once_it_is_answered(clock):
    """A poll that arrives late must not remove ends of a new incarnation."""
    running = RunningAgent()
    running.agent.poll_once()
    running.agent.acknowledge_ends(1, 57)
    running.agent.poll_once()
    running.agent.poll_once()
    assert [end for _, end, _ in running.client.polls] == [0, 57, 0]


def test_poll_that_is_answered_after_the_agent_has_stopped_tells_nothing(clock):
    """Guards against an incarnation at a former address that replaces the present."""
    running = RunningAgent()
    running.agent.stop()
    running.agent.poll_once()
    assert not running.reports


def test_end_of_the_former_incarnation_is_not_acknowledged_at_the_next(clock):
    running = RunningAgent()
    running.agent.poll_once()
    running.client.incarnation = 2
    running.agent.poll_once()
    running.agent.poll_once()
    running.agent.acknowledge_ends(1, 57)
    running.agent.poll_once()
    assert running.client.polls[-1][:2] == (1, 0)


def test_tokens_of_a_later_term_are_higher_than_all_of_an_earlier_one():
    fence = UpstreamFences(7).get_or_create("u")
    incarnations = iter(range(2 * TOKENS_PER_TERM))
    with pytest.raises(FencedError):
        while True:
            fence.meet(next(incarnations))
    assert UpstreamFences(8).get_or_create("u").token == fence.token + 1


def test_upstream_that_returns_is_called_with_a_higher_token():
    """Guards against a term that ends because an upstream refuses its own token."""
    fences = UpstreamFences(7)
    fence = fences.get_or_create("u")
    fence.meet(1)
    fence.meet(2)
    fences.remove("u")
    assert fences.get_or_create("u").token > fence.token


def test_orders_that_wait_when_the_agent_stops_have_an_outcome(clock):
    """Guards against tasks that wait for good after a change of the address."""
    running = RunningAgent()
    running.agent.poll_once()
    for attempt in (1, 2):
        order = StartOrder("u", TASK, attempt, "p", ordered_s=100.0, incarnation=1)
        running.agent.send(order)
    running.agent.stop()
    while running.agent.send_next():
        pass
    assert running.outcomes == [StartOutcome.EXPIRED] * 2
    assert not running.client.start_tokens
