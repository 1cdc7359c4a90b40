import time

import pytest

from papayadyke_core.membership import Load, Member, MemberState, Snapshot
from papayadyke_core.ownership import Owner, ReachabilitySettings, ZoneRecord
from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.resources import Resources
from papayadyke_daemon.fleet import Fleet, FleetOwner
from papayadyke_daemon.fleet._agent import Holder
from papayadyke_daemon.fleet._owner import OwnerSettings
from papayadyke_daemon.settings import Address, FleetSettings, UpstreamAddress
from papayadyke_standins.upstream import Faults, UpstreamStandin

LIMIT_S = 60.0


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
        Member(vm, 1, "127.0.0.1:1", 4, MemberState.LIVE, 0, Load(), 0.0, told)
        for vm, told in (("a", tuple(unreached)), ("b", ()))
    )
    return Snapshot(members, (), True, False)


class Zone:
    """The owner of VM `a`, which is told what it says of itself."""

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
            settings=OwnerSettings(
                period_s=0.05,
                reach=ReachabilitySettings(
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


def wait_until(check):
    deadline_s = time.monotonic() + LIMIT_S
    while not check():
        assert time.monotonic() < deadline_s
        time.sleep(0.02)


def test_an_upstream_that_does_not_answer_is_told_and_taken_back(standins):
    zone = Zone(standins)
    zone.owner.start()
    wait_until(lambda: set(zone.fleet.list_held()) == {"up-1", "up-2"})
    standins["up-1"].order_faults(Faults(silent_all=True))
    wait_until(lambda: zone.owner.list_unreached() == {"up-1"})
    wait_until(lambda: zone.fleet.find("up-1") is None)
    assert zone.fleet.list_held() == ["up-2"]
    standins["up-1"].order_faults(Faults())
    wait_until(lambda: set(zone.fleet.list_held()) == {"up-1", "up-2"})
    assert zone.owner.list_unreached() == frozenset()
    zone.owner.stop()
    assert standins["up-2"].gate.holder(standins["up-2"].clock()) is None


def test_a_probe_tells_an_upstream_that_answers_and_holds_nothing(standins):
    zone = Zone(standins)
    assert zone.fleet.probe("up-1")
    assert standins["up-1"].gate.holder(standins["up-1"].clock()) is None
    standins["up-1"].order_faults(Faults(silent_all=True))
    assert not zone.fleet.probe("up-1")
