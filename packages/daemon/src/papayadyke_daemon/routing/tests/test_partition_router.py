import pytest

from papayadyke_core.journal import PARTITIONS
from papayadyke_core.membership import MemberState
from papayadyke_daemon.routing import PartitionRouter, RouteKind
from papayadyke_daemon.routing.tests.routing_fakes import (
    make_member,
    make_snapshot,
    make_zone,
)

ZONES = ("devonport", "hobart", "launceston")
MEMBERS = {name: [f"{name}-{n}" for n in range(2)] for name in ZONES}


def make_router(vm, snapshot):
    zone = vm.rpartition("-")[0]
    return PartitionRouter(
        vm=vm, availability_zone=zone, zones=ZONES, snapshot=lambda: snapshot
    )


def make_routers(*, lost_zones=(), **changes):
    """Return the `PartitionRouter` of each VM outside the lost zones, by VM."""
    routers = {}
    for zone in ZONES:
        if zone in lost_zones:
            continue
        ages = {name: 61.0 if name in lost_zones else 0.0 for name in ZONES}
        others = [make_zone(n, age_s=ages[n]) for n in ZONES if n != zone]
        members = [make_member(vm) for vm in MEMBERS[zone]]
        for vm in MEMBERS[zone]:
            routers[vm] = make_router(vm, make_snapshot(members, others, **changes))
    return routers


def list_owned_partitions(routers):
    owned = [p for router in routers.values() for p in router.owned_partitions()]
    return sorted(owned)


def test_every_partition_has_one_owner_if_views_agree():
    assert list_owned_partitions(make_routers()) == list(range(PARTITIONS))


def test_partitions_of_lost_zone_move_to_other_zones():
    routers = make_routers(lost_zones=("launceston",))
    assert list_owned_partitions(routers) == list(range(PARTITIONS))


def test_partitions_of_available_zones_stay_in_their_zone():
    before = make_routers()
    after = make_routers(lost_zones=("launceston",))
    for zone in ("devonport", "hobart"):
        owned_before = {
            p for vm in MEMBERS[zone] for p in before[vm].owned_partitions()
        }
        assert owned_before <= {
            p for vm in MEMBERS[zone] for p in after[vm].owned_partitions()
        }


@pytest.mark.parametrize("changes", [{"is_settled": False}, {"is_superseded": True}])
def test_vm_with_unsettled_or_superseded_view_owns_no_partition(changes):
    routers = make_routers(**changes)
    assert list_owned_partitions(routers) == []


def test_vm_without_view_owns_no_partition_and_has_no_route():
    router = make_router("hobart-0", None)
    assert router.owned_partitions() == frozenset()
    assert router.find_route(0).kind is RouteKind.UNAVAILABLE


def test_routes_lead_to_owner():
    routers = make_routers()
    for partition in range(PARTITIONS):
        owner = next(
            vm
            for vm, router in routers.items()
            if partition in router.owned_partitions()
        )
        for vm, router in routers.items():
            route = router.find_route(partition)
            if vm == owner:
                assert route.kind is RouteKind.LOCAL
            elif router.availability_zone == owner.rpartition("-")[0]:
                assert (route.kind, route.vms) == (RouteKind.PEER, (owner,))
            else:
                contact = f"{owner.rpartition('-')[0]}-0"
                assert (route.kind, route.vms) == (RouteKind.ZONE, (contact,))


def test_leaving_and_dead_members_own_no_partition():
    members = [
        make_member("hobart-0"),
        make_member("hobart-1", state=MemberState.LEAVING),
        make_member("hobart-2", state=MemberState.DEAD),
    ]
    snapshot = make_snapshot(members)
    owned = {
        vm: make_router(vm, snapshot).owned_partitions() for vm in MEMBERS["hobart"]
    }
    assert owned == {"hobart-0": frozenset(range(PARTITIONS)), "hobart-1": frozenset()}
