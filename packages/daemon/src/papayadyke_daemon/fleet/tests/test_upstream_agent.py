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
from papayadyke_daemon.scheduler import (
    AddUpstream,
    Adopt,
    DrainUpstream,
    Finish,
    RemoveUpstream,
)
from papayadyke_daemon.settings import Address, FleetSettings, UpstreamAddress
from papayadyke_standins.upstream import Faults, UpstreamStandin

LIMIT_S = 60.0
LONG_S = 300.0
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
    until_s = time.monotonic() + LIMIT_S
    while not condition():
        assert time.monotonic() < until_s, "waited in vain"
        time.sleep(0.01)


class Clock:
    """The upstream's clock, set by hand."""

    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s


class Owner:
    """An agent, and what it told the scheduler."""

    def __init__(self, standin, vm, settings=SETTINGS):
        self.told: list[Any] = []
        self.agent = UpstreamAgent(
            UpstreamAddress(SPEC.name, Address(*standin.address)),
            holder=Holder(vm, 1),
            settings=settings,
            send=self.told.append,
        )

    def start(self, epoch=1):
        self.agent.start(epoch)
        wait_until(lambda: self.find(AddUpstream))
        return self

    def stop(self):
        self.agent.begin_stop()
        self.agent.join()

    def find(self, kind):
        return [message for message in list(self.told) if isinstance(message, kind)]

    def token(self):
        return self.find(AddUpstream)[-1].token

    def start_task(self, task_id=TASK, work_s=LONG_S):
        permit = self.agent.permit_start(self.token())
        call = make_call(permit, task_id, work_s)
        return self.agent.client.start(call)

    def wait_for_renewals(self, count=2):
        for _ in range(count):
            seen = self.agent.report
            wait_until(lambda seen=seen: self.agent.report is not seen)


def make_call(permit, task_id, work_s):
    return TaskCall(
        task_id=task_id,
        request_id=task_id.partition("/")[0],
        workload="rcd-check",
        demand=DEMAND,
        token=permit.token,
        start_before_s=permit.start_before_s,
        lease_s=LONG_S,
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
def make_owner(standin):
    owners = []

    def make(vm="a", settings=SETTINGS):
        owners.append(Owner(standin, vm, settings))
        return owners[-1]

    yield make
    standin.order_faults(Faults())
    for owner in owners:
        owner.stop()


def test_successor_adopts_what_runs_and_tells_its_end(make_owner):
    first = make_owner("a").start(epoch=1)
    assert isinstance(first.start_task(), Running)
    second = make_owner("b").start(epoch=2)
    wait_until(lambda: second.find(Adopt))
    assert [type(message) for message in second.told[:2]] == [AddUpstream, Adopt]
    (adopted,) = second.find(Adopt)
    task = adopted.task
    assert (task.task_id, task.upstream, task.demand) == (TASK, SPEC.name, DEMAND)
    wait_until(lambda: first.find(RemoveUpstream))
    assert second.find(Finish) == []
    second.agent.client.stop(TASK)
    wait_until(lambda: second.find(Finish))
    second.wait_for_renewals()
    assert second.find(Finish) == [Finish(TASK, Outcome.ANSWERED)]


def test_vm_with_a_lower_epoch_gets_no_session(make_owner):
    first = make_owner("a").start(epoch=2)
    late = make_owner("b")
    late.agent.start(1)
    first.wait_for_renewals(3)
    assert late.told == []


def test_end_of_a_followed_task_is_told_once(make_owner):
    owner = make_owner().start()
    owner.start_task()
    ends: list[str] = []
    owner.agent.follow(TASK, ends.append)
    owner.wait_for_renewals()
    assert ends == []
    owner.agent.client.stop(TASK)
    wait_until(lambda: ends)
    owner.wait_for_renewals()
    assert ends == [TASK]


def test_task_that_ended_before_it_is_followed_is_told(make_owner):
    owner = make_owner().start()
    owner.start_task(work_s=0.0)
    ends: list[str] = []
    owner.agent.follow(TASK, ends.append)
    wait_until(lambda: ends)
    assert ends == [TASK]


def test_unknown_outcome_is_settled_only_past_its_start_before(make_owner, clock):
    owner = make_owner().start()
    owner.agent.watch(TASK, clock.now_s + 1.0)
    owner.wait_for_renewals(3)
    assert owner.find(Finish) == []
    clock.now_s += 1.5
    wait_until(lambda: owner.find(Finish))
    owner.wait_for_renewals()
    assert owner.find(Finish) == [Finish(TASK, Outcome.LOST)]


def test_unknown_outcome_is_not_settled_while_the_task_runs(make_owner, clock):
    owner = make_owner().start()
    owner.start_task()
    owner.agent.watch(TASK, clock.now_s + 1.0)
    clock.now_s += 1.5
    owner.wait_for_renewals(3)
    assert owner.find(Finish) == []
    owner.agent.client.stop(TASK)
    wait_until(lambda: owner.find(Finish))
    assert owner.find(Finish) == [Finish(TASK, Outcome.LOST)]


def test_lost_session_removes_the_upstream_and_ends_what_is_followed(
    make_owner, standin
):
    owner = make_owner().start()
    owner.start_task()
    ends: list[str] = []
    owner.agent.follow(TASK, ends.append)
    token = owner.token()
    standin.order_faults(Faults(silent_all=True))
    wait_until(lambda: owner.find(RemoveUpstream))
    assert not owner.agent.is_held()
    assert owner.agent.permit_start(token) is None
    assert ends == [TASK]


def test_leaving_upstream_is_drained_once(make_owner, standin):
    owner = make_owner().start()
    assert owner.find(DrainUpstream) == []
    standin.leaving = True
    wait_until(lambda: owner.find(DrainUpstream))
    owner.wait_for_renewals()
    assert owner.find(DrainUpstream) == [DrainUpstream(SPEC.name)]
    assert owner.start_task() == NotStarted("leaving")


def test_stopped_agent_releases_the_session(make_owner, standin):
    owner = make_owner("a").start()
    owner.stop()
    assert owner.find(RemoveUpstream) == [RemoveUpstream(SPEC.name)]
    # Another VM is let in at the same epoch, before any session could lapse.
    make_owner("b").start(epoch=1)


def take_session(standin, vm="b", epoch=2):
    """Supersede the session without its owner hearing of it."""
    client = UpstreamClient(*standin.address, connections=1)
    client.open(OpenMessage(vm=vm, incarnation=1, epoch=epoch, ttl_s=60.0)).unwrap()
    client.close()


# Renewed after 20 s at the earliest, so a renewal does not tell of the loss.
SELDOM = FleetSettings(session_ttl_s=60.0)


def test_refused_start_ends_a_superseded_session(make_owner, standin):
    owner = make_owner(settings=SELDOM).start()
    take_session(standin)
    outcome = owner.start_task()
    assert outcome == NotStarted("stale_token")
    assert owner.agent.is_held()
    owner.agent.record_start_refusal(owner.token(), outcome.detail)
    assert not owner.agent.is_held()
    wait_until(lambda: owner.find(RemoveUpstream))


@pytest.mark.parametrize("detail", ["too_late", "resolved_before", "leaving", ""])
def test_start_refused_for_another_reason_leaves_the_session(make_owner, detail):
    owner = make_owner(settings=SELDOM).start()
    owner.agent.record_start_refusal(owner.token(), detail)
    owner.agent.record_start_refusal(owner.token() - 1, "stale_token")
    assert owner.agent.is_held()


def test_start_refused_as_leaving_drains_before_the_next_renewal(make_owner):
    owner = make_owner(settings=SELDOM).start()
    owner.agent.record_start_refusal(owner.token(), "leaving")
    assert owner.find(DrainUpstream) == [DrainUpstream(SPEC.name)]


def test_start_decided_under_an_older_session_is_not_permitted(make_owner, standin):
    owner = make_owner(settings=SELDOM).start(epoch=1)
    old = owner.token()
    assert owner.agent.permit_start(old) is not None
    take_session(standin, epoch=2)
    owner.agent.want(3)
    wait_until(lambda: owner.token() != old)
    assert owner.agent.permit_start(old) is None
    assert owner.agent.permit_start(owner.token()) is not None
