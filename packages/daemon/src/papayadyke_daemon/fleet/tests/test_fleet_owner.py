import time

import pytest

from papayadyke_core.membership import Load, Member, MemberState, Snapshot
from papayadyke_core.ownership import Owner, ReachabilitySettings, ZoneRecord
from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.resources import Resources
from papayadyke_daemon.fleet import Fleet, FleetOwner
from papayadyke_daemon.fleet._agent import Holder
from papayadyke_daemon.fleet._owner import FleetOwnerSettings
from papayadyke_daemon.settings import Address, FleetSettings, UpstreamAddress
from papayadyke_standins.upstream import Faults, UpstreamStandin

TIMEOUT_S = 60.0


def make_standin(name):
    spec = UpstreamSpec(
        name=name,
        availability_zone="hobart",
        rack="rack-1",
        capacity=Resources(4000, 4096),
    )
    standin = UpstreamStandin(spec)
    standin.start()
    return standin


def make_snapshot(unreached=()):
    members = tuple(
        Member(
            vm, 1, "127.0.0.1:1", 4, MemberState.LIVE, 0, Load(), 0.0, unreached_names
        )
        for vm, unreached_names in (("a", tuple(unreached)), ("b", ()))
    )
    return Snapshot(members, (), True, False)


class OwnerHarness:
    """Owner on VM `a`, whose snapshot contains its own unreached upstreams."""

    def __init__(self, standins):
        self.fleet = Fleet(
            holder=Holder("a", 1),
            settings=FleetSettings(),
            upstreams=[
                UpstreamAddress(name, Address(*standin.address))
                for name, standin in standins.items()
            ],
            send=lambda message: None,
        )
        self.owner = FleetOwner(
            vm="a",
            fleet=self.fleet,
            snapshot=lambda: make_snapshot(self.owner.list_unreached()),
            record=lambda: ZoneRecord(3, (Owner("a", 1000), Owner("b", 1))),
            settings=FleetOwnerSettings(
                period_s=0.05,
                reachability=ReachabilitySettings(
                    unreachable_after_s=0.5, probe_interval_s=0.2
                ),
            ),
        )


@pytest.fixture
def standins():
    standins = {name: make_standin(name) for name in ("up-1", "up-2")}
    yield standins
    for standin in standins.values():
        standin.stop()


def wait_until(condition):
    deadline_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s
        time.sleep(0.02)


def test_upstream_without_answers_is_unreached_and_held_again_later(standins):
    harness = OwnerHarness(standins)
    harness.owner.start()
    wait_until(lambda: set(harness.fleet.list_held()) == {"up-1", "up-2"})
    standins["up-1"].order_faults(Faults(silent_all=True))
    wait_until(lambda: harness.owner.list_unreached() == {"up-1"})
    wait_until(lambda: harness.fleet.find("up-1") is None)
    assert harness.fleet.list_held() == ["up-2"]
    standins["up-1"].order_faults(Faults())
    wait_until(lambda: set(harness.fleet.list_held()) == {"up-1", "up-2"})
    assert harness.owner.list_unreached() == frozenset()
    harness.owner.stop()
    assert standins["up-2"].gate.holder(standins["up-2"].clock()) is None


def test_probe_detects_whether_an_upstream_answers_and_opens_no_session(standins):
    harness = OwnerHarness(standins)
    assert harness.fleet.probe("up-1")
    assert standins["up-1"].gate.holder(standins["up-1"].clock()) is None
    standins["up-1"].order_faults(Faults(silent_all=True))
    assert not harness.fleet.probe("up-1")
