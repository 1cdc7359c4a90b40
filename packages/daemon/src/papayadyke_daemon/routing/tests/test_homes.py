import pytest

from papayadyke_core.journal import PARTITIONS
from papayadyke_core.membership import MemberState
from papayadyke_daemon.routing import HomeMap, RouteKind
from papayadyke_daemon.routing.tests.routing_fakes import (
    make_member,
    make_snapshot,
    make_zone,
)

ZONES = ("devonport", "hobart", "launceston")
MEMBERS = {name: [f"{name}-{n}" for n in range(2)] for name in ZONES}


def make_home(vm, snapshot):
    zone = vm.rpartition("-")[0]
    return HomeMap(
        vm=vm, availability_zone=zone, zones=ZONES, snapshot=lambda: snapshot
    )


def make_homes(*, lost=(), **changes):
    """Return the map of every VM that is not in a lost zone."""
    homes = {}
    for zone in ZONES:
        if zone in lost:
            continue
        ages = {name: 61.0 if name in lost else 0.0 for name in ZONES}
        others = [make_zone(n, age_s=ages[n]) for n in ZONES if n != zone]
        members = [make_member(vm) for vm in MEMBERS[zone]]
        for vm in MEMBERS[zone]:
            homes[vm] = make_home(vm, make_snapshot(members, others, **changes))
    return homes


def list_owners(homes):
    owned = [p for home in homes.values() for p in home.own_partitions()]
    return sorted(owned)


def test_every_partition_has_one_home_in_agreeing_views():
    assert list_owners(make_homes()) == list(range(PARTITIONS))


def test_partitions_of_a_lost_zone_move_to_the_others():
    homes = make_homes(lost=("launceston",))
    assert list_owners(homes) == list(range(PARTITIONS))


def test_only_partitions_of_the_lost_zone_change_their_zone():
    before = make_homes()
    after = make_homes(lost=("launceston",))
    for zone in ("devonport", "hobart"):
        kept = {p for vm in MEMBERS[zone] for p in before[vm].own_partitions()}
        assert kept <= {p for vm in MEMBERS[zone] for p in after[vm].own_partitions()}


@pytest.mark.parametrize("changes", [{"is_settled": False}, {"is_superseded": True}])
def test_vm_that_may_not_conclude_anything_owns_nothing(changes):
    homes = make_homes(**changes)
    assert list_owners(homes) == []


def test_vm_without_a_view_owns_nothing_and_routes_nowhere():
    home = make_home("hobart-0", None)
    assert home.own_partitions() == frozenset()
    assert home.find_route(0).kind is RouteKind.NOWHERE


def test_routes_lead_to_the_owner():
    homes = make_homes()
    for partition in range(PARTITIONS):
        owner = next(
            vm for vm, home in homes.items() if partition in home.own_partitions()
        )
        for vm, home in homes.items():
            route = home.find_route(partition)
            if vm == owner:
                assert route.kind is RouteKind.HERE
            elif home.availability_zone == owner.rpartition("-")[0]:
                assert (route.kind, route.vms) == (RouteKind.PEER, (owner,))
            else:
                contact = f"{owner.rpartition('-')[0]}-0"
                assert (route.kind, route.vms) == (RouteKind.ZONE, (contact,))


def test_leaving_and_dead_members_own_nothing():
    members = [
        make_member("hobart-0"),
        make_member("hobart-1", state=MemberState.LEAVING),
        make_member("hobart-2", state=MemberState.DEAD),
    ]
    snapshot = make_snapshot(members)
    owned = {vm: make_home(vm, snapshot).own_partitions() for vm in MEMBERS["hobart"]}
    assert owned == {"hobart-0": frozenset(range(PARTITIONS)), "hobart-1": frozenset()}
