import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from papayadyke_core.membership import (
    Exchange,
    Identity,
    ListedState,
    ListedVm,
    Load,
    Membership,
    MembershipSettings,
    MemberState,
    ZoneExchange,
)

STEP_S = 0.5


class Network:
    """Simulated network that delivers messages immediately.

    Messages to VMs in `down` and between pairs in `blocked_pairs` are dropped.
    """

    def __init__(self, zones, *, region_of=lambda zone: "r"):
        self.now = 100.0
        self.rng = random.Random(3)
        self.vms = {}
        self.down = set()
        self.blocked_pairs = set()
        self.listed = []
        for zone, count in zones.items():
            for i in range(count):
                self.add(f"{zone}{i}", zone, region_of(zone))

    def add(self, vm, zone, region="r", incarnation=1):
        identity = Identity(vm, zone, region, incarnation, f"10.0.0.1:{len(vm)}", 10)
        membership = Membership(identity, settings=MembershipSettings())
        self.vms[vm] = membership
        if all(entry.vm != vm for entry in self.listed):
            entry = ListedVm(vm, zone, region, identity.address, ListedState.LIVE)
            self.listed.append(entry)
        for other in self.vms.values():
            other.apply_platform_list(self.listed)
        membership.update_self(
            MemberState.LIVE, config_revision=1, load=Load(free_slots=1)
        )

    def deliver(self, source, target, message):
        pair = frozenset((source, target))
        if target not in self.vms or target in self.down or pair in self.blocked_pairs:
            return
        sender, receiver = self.vms[source], self.vms[target]
        if isinstance(message, ZoneExchange):
            reply = receiver.apply_zone_exchange(message, self.now)
            sender.apply_zone_reply(reply, self.now)
            return
        follow_up = sender.apply_reply(
            receiver.apply_exchange(message, self.now), self.now
        )
        if follow_up is not None:
            receiver.apply_exchange(follow_up, self.now)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for vm in sorted(self.vms.keys() - self.down):
                for outgoing in self.vms[vm].tick(self.now, self.rng):
                    self.deliver(vm, outgoing.vm, outgoing.message)

    def states(self, vm):
        members = self.vms[vm].snapshot(self.now).members
        return {member.vm: member.state for member in members}


def test_members_of_a_zone_discover_each_other_through_the_platform_list():
    network = Network({"z": 12})
    network.run(8)
    for vm in network.vms:
        assert set(network.states(vm).values()) == {MemberState.LIVE}
        assert len(network.states(vm)) == 12


def test_a_silent_member_is_suspected_then_dead_then_removed():
    network = Network({"z": 3})
    network.run(8)
    network.down.add("z2")
    network.run(5.5)
    assert network.states("z0")["z2"] == MemberState.SUSPECTED
    network.run(5.5)
    assert network.states("z0")["z2"] == MemberState.DEAD
    network.run(60)
    assert "z2" not in network.states("z0")


def test_a_returning_member_is_live_only_after_the_recovery_time():
    network = Network({"z": 3})
    network.run(8)
    network.down.add("z2")
    network.run(12)
    network.down.remove("z2")
    observed = []
    for _ in range(20):
        network.run(STEP_S)
        observed.append(network.states("z0")["z2"])
    first_heard = observed.index(MemberState.SUSPECTED)
    assert observed[first_heard : first_heard + 4] == [MemberState.SUSPECTED] * 4
    assert observed[-1] == MemberState.LIVE


def test_a_paused_member_does_not_suspect_others_after_its_pause():
    network = Network({"z": 3})
    network.run(8)
    network.down.add("z2")
    network.run(30)
    snapshot = network.vms["z2"].snapshot(network.now)
    assert not snapshot.is_settled
    assert network.states("z2")["z0"] == MemberState.LIVE
    network.down.remove("z2")
    network.run(3)
    assert network.vms["z2"].snapshot(network.now).is_settled
    assert network.states("z2")["z0"] == MemberState.LIVE


def test_the_leaving_state_spreads_through_the_zone_within_seconds():
    network = Network({"z": 12})
    network.run(8)
    network.vms["z3"].update_self(MemberState.LEAVING, config_revision=1, load=Load())
    network.run(3)
    assert {network.states(vm)["z3"] for vm in network.vms} == {MemberState.LEAVING}
    with pytest.raises(ValueError, match="stays leaving"):
        network.vms["z3"].update_self(MemberState.LIVE, config_revision=1, load=Load())


def test_the_platform_list_marks_members_as_leaving_but_never_as_live():
    network = Network({"z": 2})
    network.run(8)
    entries = [
        ListedVm("z1", "z", "r", "10.0.0.1:2", ListedState.LEAVING),
        ListedVm("z9", "z", "r", "10.0.0.1:2", ListedState.LIVE),
    ]
    network.vms["z0"].apply_platform_list(entries)
    assert network.states("z0") == {
        "z0": MemberState.LIVE,
        "z1": MemberState.LEAVING,
    }


def test_a_partition_in_a_zone_heals():
    network = Network({"z": 4})
    network.run(8)
    network.blocked_pairs = {
        frozenset((a, b)) for a in ("z0", "z1") for b in ("z2", "z3")
    }
    network.run(70)
    assert set(network.states("z0")) == {"z0", "z1"}
    network.blocked_pairs = set()
    network.run(20)
    for vm in network.vms:
        assert set(network.states(vm).values()) == {MemberState.LIVE}


def test_a_new_incarnation_supersedes_the_old_process():
    network = Network({"z": 3})
    network.run(8)
    old = network.vms["z2"]
    network.add("z2", "z", incarnation=2)
    network.run(8)
    member = network.vms["z0"].snapshot(network.now).find("z2")
    assert (member.incarnation, member.state) == (2, MemberState.LIVE)
    network.vms["z2"] = old
    network.run(3)
    assert old.snapshot(network.now).is_superseded


def test_zones_discover_each_other_through_delegates():
    network = Network(dict.fromkeys("abcd", 4), region_of=lambda z: z in "ab")
    network.run(60)
    for membership in network.vms.values():
        zones = membership.snapshot(network.now).zones
        assert len(zones) == 3
        assert all(zone.is_reachable and zone.members == 4 for zone in zones)
        assert all(zone.load.free_slots == 4 for zone in zones)


def test_a_partitioned_zone_becomes_unreachable():
    network = Network({"a": 3, "b": 3})
    network.run(40)
    network.blocked_pairs = {
        frozenset((f"a{i}", f"b{j}")) for i in range(3) for j in range(3)
    }
    network.run(32)
    zones = network.vms["a0"].snapshot(network.now).zones
    assert [zone.is_reachable for zone in zones] == [False]
    assert set(network.states("a0").values()) == {MemberState.LIVE}


def test_an_old_heartbeat_that_arrives_again_does_not_appear_younger():
    network = Network({"z": 3})
    network.run(8)
    old = network.vms["z0"].tick(network.now + 1, network.rng)[0].message
    network.down.add("z2")
    for _ in range(30):
        network.run(1)
        network.vms["z0"].apply_exchange(old, network.now)
    assert network.states("z0")["z2"] == MemberState.DEAD


def test_load_and_configuration_revision_spread_through_the_zone():
    network = Network({"z": 6})
    network.run(8)
    network.vms["z1"].update_self(
        MemberState.LIVE, config_revision=7, load=Load(free_cpu_millis=5000)
    )
    network.run(4)
    for vm in network.vms:
        member = network.vms[vm].snapshot(network.now).find("z1")
        assert member.config_revision == 7
        assert member.load.free_cpu_millis == 5000


@given(st.randoms(use_true_random=False), st.lists(st.integers(0, 5), max_size=30))
def test_all_members_are_live_again_after_any_sequence_of_outages(rng, faults):
    network = Network({"z": 4})
    network.rng = rng
    for fault in faults:
        vm = f"z{fault % 4}"
        network.down.symmetric_difference_update({vm} if fault < 4 else set())
        network.run(2)
    network.down.clear()
    network.run(25)
    for vm in network.vms:
        assert set(network.states(vm).values()) == {MemberState.LIVE}


def test_messages_round_trip_through_encoding():
    network = Network({"a": 3, "b": 3})
    network.run(20)
    for outgoing in network.vms["a0"].tick(network.now + 1, network.rng):
        data = msgspec.msgpack.encode(outgoing.message)
        decoded = msgspec.msgpack.decode(data, type=Exchange | ZoneExchange)
        assert decoded == outgoing.message
