import random

from papayadyke_core.membership import Load, MemberState
from papayadyke_daemon.routing import PeerPicker
from papayadyke_daemon.routing.tests.routing_fakes import (
    DEMAND,
    FULL,
    ROOMY,
    make_member,
    make_snapshot,
    make_zone,
)

TRIES = 50


class View:
    """A membership that a test changes."""

    def __init__(self, *members, zones=()):
        self.snapshot = make_snapshot(members, zones)
        self.picker = PeerPicker(
            vm="vm-0", snapshot=lambda: self.snapshot, rng=random.Random(7)
        )


def test_never_picks_itself():
    view = View(make_member("vm-0"))
    assert view.picker.pick_peer(DEMAND) is None


def test_never_picks_one_without_room_or_not_live():
    members = [
        make_member("vm-1", load=FULL),
        make_member("vm-2", load=Load(500, 4096, 0, 4)),
        make_member("vm-3", load=Load(4000, 4096, 0, 0)),
    ]
    states = [state for state in MemberState if state is not MemberState.LIVE]
    members += [make_member(f"vm-{state}", state=state) for state in states]
    view = View(*members)
    assert view.picker.pick_peer(DEMAND) is None


def test_picks_the_one_with_most_free_slots_of_two():
    many = Load(9000, 9000, 0, 9)
    view = View(make_member("vm-1"), make_member("vm-2", load=many))
    assert view.picker.pick_peer(DEMAND) == "vm-2"


def test_what_was_sent_counts_until_the_load_is_heard_anew():
    view = View(make_member("vm-1"))
    picked = [view.picker.pick_peer(DEMAND) for _ in range(6)]
    assert picked == ["vm-1"] * ROOMY.free_slots + [None] * 2
    heard = Load(4000, 4096, 0, 4, 0)
    view.snapshot = make_snapshot([make_member("vm-1", load=heard)])
    assert view.picker.pick_peer(DEMAND) == "vm-1"


def test_never_picks_one_that_was_tried():
    view = View(make_member("vm-1"), make_member("vm-2"))
    assert view.picker.pick_peer(DEMAND, tried=frozenset({"vm-1"})) == "vm-2"
    assert view.picker.pick_peer(DEMAND, tried=frozenset({"vm-1", "vm-2"})) is None


def test_picks_only_zones_that_are_reachable_and_have_room():
    zones = [
        make_zone("burnie", load=FULL),
        make_zone("devonport", is_reachable=False),
        make_zone("launceston"),
    ]
    view = View(zones=zones)
    picked = {view.picker.pick_zone(DEMAND) for _ in range(TRIES)}
    assert picked == {"launceston-0"}
    assert view.picker.pick_zone(DEMAND, tried=frozenset({"launceston-0"})) is None


def test_picks_nobody_without_a_view():
    picker = PeerPicker(vm="vm-0", snapshot=lambda: None, rng=random.Random(7))
    assert picker.pick_peer(DEMAND) is None
    assert picker.pick_zone(DEMAND) is None
