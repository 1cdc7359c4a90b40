import random

from papayadyke_core.membership import Load, MemberState
from papayadyke_daemon.routing import PeerPicker
from papayadyke_daemon.routing.tests.routing_fakes import (
    DEMAND,
    FREE_LOAD,
    FULL_LOAD,
    make_member,
    make_snapshot,
    make_zone,
)

PICKS = 50


class PickerHarness:
    """A `PeerPicker` over a membership snapshot that tests replace."""

    def __init__(self, *members, zones=()):
        self.snapshot = make_snapshot(members, zones)
        self.picker = PeerPicker(
            vm="vm-0", snapshot=lambda: self.snapshot, rng=random.Random(7)
        )


def test_does_not_pick_own_vm():
    harness = PickerHarness(make_member("vm-0"))
    assert harness.picker.pick_peer(DEMAND) is None


def test_does_not_pick_peer_without_capacity_or_not_live():
    members = [
        make_member("vm-1", load=FULL_LOAD),
        make_member("vm-2", load=Load(500, 4096, 0, 4)),
        make_member("vm-3", load=Load(4000, 4096, 0, 0)),
    ]
    states = [state for state in MemberState if state is not MemberState.LIVE]
    members += [make_member(f"vm-{state}", state=state) for state in states]
    harness = PickerHarness(*members)
    assert harness.picker.pick_peer(DEMAND) is None


def test_picks_peer_with_more_free_slots_of_two():
    larger_load = Load(9000, 9000, 0, 9)
    harness = PickerHarness(make_member("vm-1"), make_member("vm-2", load=larger_load))
    assert harness.picker.pick_peer(DEMAND) == "vm-2"


def test_sent_requests_use_slots_until_next_load_report():
    harness = PickerHarness(make_member("vm-1"))
    picked = [harness.picker.pick_peer(DEMAND) for _ in range(6)]
    assert picked == ["vm-1"] * FREE_LOAD.free_slots + [None] * 2
    reported = Load(4000, 4096, 0, 4, 0)
    harness.snapshot = make_snapshot([make_member("vm-1", load=reported)])
    assert harness.picker.pick_peer(DEMAND) == "vm-1"


def test_does_not_pick_peer_already_tried():
    harness = PickerHarness(make_member("vm-1"), make_member("vm-2"))
    assert harness.picker.pick_peer(DEMAND, tried=frozenset({"vm-1"})) == "vm-2"
    assert harness.picker.pick_peer(DEMAND, tried=frozenset({"vm-1", "vm-2"})) is None


def test_picks_only_reachable_zones_with_capacity():
    zones = [
        make_zone("burnie", load=FULL_LOAD),
        make_zone("devonport", is_reachable=False),
        make_zone("launceston"),
    ]
    harness = PickerHarness(zones=zones)
    picked = {harness.picker.pick_zone_contact(DEMAND) for _ in range(PICKS)}
    assert picked == {"launceston-0"}
    assert (
        harness.picker.pick_zone_contact(DEMAND, tried=frozenset({"launceston-0"}))
        is None
    )


def test_picks_no_peer_without_snapshot():
    picker = PeerPicker(vm="vm-0", snapshot=lambda: None, rng=random.Random(7))
    assert picker.pick_peer(DEMAND) is None
    assert picker.pick_zone_contact(DEMAND) is None
