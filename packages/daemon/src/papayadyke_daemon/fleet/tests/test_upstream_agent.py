import time
from typing import Any

import msgspec
import pytest

from papayadyke_clients.upstream import (
    NotStarted,
    OpenMessage,
    Running,
    TaskCall,
    UpstreamClient,
)
from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.resources import Resources
from papayadyke_core.scheduling import Outcome
from papayadyke_daemon.fleet import Holder, UpstreamAgent
from papayadyke_daemon.fleet.tests.restarting_upstream import RestartingUpstream
from papayadyke_daemon.scheduler import (
    AddUpstream,
    Adopt,
    DrainUpstream,
    Finish,
    RemoveUpstream,
)
from papayadyke_daemon.settings import Address, FleetSettings, UpstreamAddress
from papayadyke_standins.upstream import Faults, UpstreamStandin

TIMEOUT_S = 60.0
LONG_WORK_S = 300.0
TASK = "r1/0/1"
DEMAND = Resources(1000, 512)
SPEC = UpstreamSpec(
    name="quote-1",
    availability_zone="hobart",
    rack="rack-1",
    capacity=Resources(4000, 4096),
)
SETTINGS = FleetSettings(session_ttl_s=3.0, expiry_margin_s=0.3)


def wait_until(condition):
    deadline_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s, "the condition did not hold in time"
        time.sleep(0.01)


class Clock:
    """Clock of the upstream; the test sets its time."""

    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s


class AgentHarness:
    """Agent, with the messages that it sent to the scheduler."""

    def __init__(self, standin, vm, settings=SETTINGS):
        self.messages: list[Any] = []
        self.agent = UpstreamAgent(
            UpstreamAddress(SPEC.name, Address(*standin.address)),
            holder=Holder(vm, 1),
            settings=settings,
            send=self.messages.append,
        )

    def start(self, epoch=1):
        self.agent.start(epoch)
        wait_until(lambda: self.find_messages(AddUpstream))
        return self

    def stop(self):
        self.agent.begin_stop()
        self.agent.join()

    def find_messages(self, kind):
        return [message for message in list(self.messages) if isinstance(message, kind)]

    def token(self):
        return self.find_messages(AddUpstream)[-1].token

    def start_task(self, task_id=TASK, work_s=LONG_WORK_S):
        permit = self.agent.permit_start(self.token())
        call = make_call(permit, task_id, work_s)
        return self.agent.client.start(call)

    def wait_for_renewals(self, count=2):
        for _ in range(count):
            previous = self.agent.report
            wait_until(lambda previous=previous: self.agent.report is not previous)


def make_call(permit, task_id, work_s):
    return TaskCall(
        task_id=task_id,
        request_id=task_id.partition("/")[0],
        workload="rcd-check",
        demand=DEMAND,
        token=permit.token,
        start_before_s=permit.start_before_s,
        lease_s=LONG_WORK_S,
        payload=msgspec.json.encode({"work_seconds": work_s}),
    )


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def standin(clock):
    standin = UpstreamStandin(SPEC, clock=clock)
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def make_harness(standin):
    harnesses = []

    def make(vm="a", settings=SETTINGS):
        harnesses.append(AgentHarness(standin, vm, settings))
        return harnesses[-1]

    yield make
    standin.order_faults(Faults())
    for harness in harnesses:
        harness.stop()


def test_successor_adopts_running_task_and_finishes_it_once(make_harness):
    first = make_harness("a").start(epoch=1)
    assert isinstance(first.start_task(), Running)
    second = make_harness("b").start(epoch=2)
    wait_until(lambda: second.find_messages(Adopt))
    assert [type(message) for message in second.messages[:2]] == [AddUpstream, Adopt]
    (adopted,) = second.find_messages(Adopt)
    task = adopted.task
    assert (task.task_id, task.upstream, task.demand) == (TASK, SPEC.name, DEMAND)
    wait_until(lambda: first.find_messages(RemoveUpstream))
    assert second.find_messages(Finish) == []
    second.agent.client.stop(TASK)
    wait_until(lambda: second.find_messages(Finish))
    second.wait_for_renewals()
    assert second.find_messages(Finish) == [Finish(TASK, Outcome.ANSWERED)]


def test_vm_with_a_lower_epoch_gets_no_session(make_harness):
    first = make_harness("a").start(epoch=2)
    late = make_harness("b")
    late.agent.start(1)
    first.wait_for_renewals(3)
    assert late.messages == []


def test_end_of_a_task_is_notified_once(make_harness):
    harness = make_harness().start()
    harness.start_task()
    ends: list[str] = []
    harness.agent.subscribe_to_end(TASK, ends.append)
    harness.wait_for_renewals()
    assert ends == []
    harness.agent.client.stop(TASK)
    wait_until(lambda: ends)
    harness.wait_for_renewals()
    assert ends == [TASK]


def test_end_before_the_subscription_is_notified(make_harness):
    harness = make_harness().start()
    harness.start_task(work_s=0.0)
    ends: list[str] = []
    harness.agent.subscribe_to_end(TASK, ends.append)
    wait_until(lambda: ends)
    assert ends == [TASK]


def test_unknown_outcome_is_finished_only_after_start_before(make_harness, clock):
    harness = make_harness().start()
    harness.agent.track_unresolved(TASK, harness.token(), clock.now_s + 1.0)
    harness.wait_for_renewals(3)
    assert harness.find_messages(Finish) == []
    clock.now_s += 1.5
    wait_until(lambda: harness.find_messages(Finish))
    harness.wait_for_renewals()
    assert harness.find_messages(Finish) == [Finish(TASK, Outcome.LOST)]


def test_unknown_outcome_is_not_finished_while_the_task_runs(make_harness, clock):
    harness = make_harness().start()
    harness.start_task()
    harness.agent.track_unresolved(TASK, harness.token(), clock.now_s + 1.0)
    clock.now_s += 1.5
    harness.wait_for_renewals(3)
    assert harness.find_messages(Finish) == []
    harness.agent.client.stop(TASK)
    wait_until(lambda: harness.find_messages(Finish))
    assert harness.find_messages(Finish) == [Finish(TASK, Outcome.LOST)]


def test_lost_session_removes_the_upstream_and_notifies_ends(make_harness, standin):
    harness = make_harness().start()
    harness.start_task()
    ends: list[str] = []
    harness.agent.subscribe_to_end(TASK, ends.append)
    token = harness.token()
    standin.order_faults(Faults(silent_all=True))
    wait_until(lambda: harness.find_messages(RemoveUpstream))
    assert not harness.agent.is_held()
    assert harness.agent.permit_start(token) is None
    assert ends == [TASK]


def test_leaving_upstream_is_drained_once(make_harness, standin):
    harness = make_harness().start()
    assert harness.find_messages(DrainUpstream) == []
    standin.leaving = True
    wait_until(lambda: harness.find_messages(DrainUpstream))
    harness.wait_for_renewals()
    assert harness.find_messages(DrainUpstream) == [DrainUpstream(SPEC.name)]
    assert harness.start_task() == NotStarted("leaving")


def test_stopped_agent_releases_the_session(make_harness, standin):
    harness = make_harness("a").start()
    harness.stop()
    assert harness.find_messages(RemoveUpstream) == [RemoveUpstream(SPEC.name)]
    # Another VM gets a session at the same epoch, before any session could expire.
    make_harness("b").start(epoch=1)


def supersede_session(standin, vm="b", epoch=2):
    """Supersede the session without notifying its holder."""
    client = UpstreamClient(*standin.address, connections=1)
    client.open(OpenMessage(vm=vm, incarnation=1, epoch=epoch, ttl_s=60.0)).unwrap()
    client.close()


# Renewed after 20 s at the earliest, so that no renewal detects the loss.
SLOW_RENEWAL = FleetSettings(session_ttl_s=60.0)


def test_refused_start_ends_a_superseded_session(make_harness, standin):
    harness = make_harness(settings=SLOW_RENEWAL).start()
    supersede_session(standin)
    outcome = harness.start_task()
    assert outcome == NotStarted("stale_token")
    assert harness.agent.is_held()
    harness.agent.record_start_refusal(harness.token(), outcome.detail)
    assert not harness.agent.is_held()
    wait_until(lambda: harness.find_messages(RemoveUpstream))


@pytest.mark.parametrize("detail", ["too_late", "resolved_before", "leaving", ""])
def test_start_refused_for_another_reason_keeps_the_session(make_harness, detail):
    harness = make_harness(settings=SLOW_RENEWAL).start()
    harness.agent.record_start_refusal(harness.token(), detail)
    harness.agent.record_start_refusal(harness.token() - 1, "stale_token")
    assert harness.agent.is_held()


def test_start_refused_as_leaving_drains_before_the_next_renewal(make_harness):
    harness = make_harness(settings=SLOW_RENEWAL).start()
    harness.agent.record_start_refusal(harness.token(), "leaving")
    assert harness.find_messages(DrainUpstream) == [DrainUpstream(SPEC.name)]


def test_start_decided_under_an_older_session_is_not_permitted(make_harness, standin):
    harness = make_harness(settings=SLOW_RENEWAL).start(epoch=1)
    old_token = harness.token()
    assert harness.agent.permit_start(old_token) is not None
    supersede_session(standin, epoch=2)
    harness.agent.assign(3)
    wait_until(lambda: harness.token() != old_token)
    assert harness.agent.permit_start(old_token) is None
    assert harness.agent.permit_start(harness.token()) is not None


@pytest.fixture
def restarting():
    upstream = RestartingUpstream(SPEC)
    yield upstream
    upstream.stop()


@pytest.fixture
def start_harness(restarting):
    harnesses = []

    def start(settings=SETTINGS):
        harnesses.append(AgentHarness(restarting, "a", settings).start())
        return harnesses[-1]

    yield start
    for harness in harnesses:
        harness.stop()


def restart(restarting, harness, clock=time.monotonic):
    """Restart the upstream, and wait until the agent has a session again."""
    former_token = harness.token()
    restarting.restart(clock)
    harness.agent.record_start_refusal(former_token, "stale_token")
    wait_until(lambda: harness.token() != former_token)


# The time limit of a start was compared with the clock of the next life, which may be
# days behind, so that the start was tracked for as long.
def test_start_of_a_former_session_is_finished_at_once(start_harness, restarting):
    harness = start_harness()
    former_token = harness.token()
    restart(restarting, harness, clock=Clock())
    harness.agent.track_unresolved(TASK, former_token, 1e6)
    harness.wait_for_renewals()
    assert harness.find_messages(Finish) == [Finish(TASK, Outcome.LOST)]


# Nothing finished it any more, and the scheduler loop kept its request.
def test_unresolved_start_is_finished_with_its_session(start_harness, restarting):
    harness = start_harness()
    harness.agent.track_unresolved(TASK, harness.token(), 1e6)
    harness.wait_for_renewals()
    assert harness.find_messages(Finish) == []
    restart(restarting, harness)
    assert [type(message) for message in harness.messages] == [
        AddUpstream,
        RemoveUpstream,
        Finish,
        AddUpstream,
    ]


# The answer to a start, read after the restart, drained the upstream of the next life
# until its session ended.
def test_refusal_of_a_former_session_does_not_drain(start_harness, restarting):
    harness = start_harness()
    former_token = harness.token()
    restart(restarting, harness)
    harness.agent.record_start_refusal(former_token, "leaving")
    harness.wait_for_renewals()
    assert harness.find_messages(DrainUpstream) == []


# The ends of a session were asked for after the last end of the former life, and were
# noticed only by the next renewal.
def test_end_after_a_restart_is_notified_before_the_next_renewal(
    start_harness, restarting
):
    harness = start_harness(SLOW_RENEWAL)
    ends: list[str] = []
    for number in range(3):
        task_id = f"former-{number}/0/1"
        harness.start_task(task_id, work_s=0.0)
        harness.agent.subscribe_to_end(task_id, ends.append)
        wait_until(lambda task_id=task_id: task_id in ends)
    restart(restarting, harness)
    report = harness.agent.report
    assert isinstance(harness.start_task(work_s=0.5), Running)
    harness.agent.subscribe_to_end(TASK, ends.append)
    wait_until(lambda: TASK in ends)
    assert harness.agent.report is report
