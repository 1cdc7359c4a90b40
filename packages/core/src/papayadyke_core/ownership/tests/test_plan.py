from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from papayadyke_core.ownership import (
    Owner,
    Planner,
    ZoneRecord,
    assign_upstreams,
    decode_record,
    encode_record,
    plan_ownership,
    rank_owners,
)

UPSTREAMS = [f"upstream-{i:04d}" for i in range(1125)]


def make_owners(weights):
    return tuple(Owner(f"vm-{i:02d}", weight) for i, weight in enumerate(weights))


def moved_upstreams(before, after):
    return {name for name in before if before[name] != after[name]}


def test_share_of_each_vm_is_bounded():
    owners = make_owners([2, 4, 8, 8, 16, 2, 2, 4, 8])
    counts = Counter(assign_upstreams(UPSTREAMS, owners).values())
    for owner in owners:
        share = len(UPSTREAMS) * owner.weight / sum(o.weight for o in owners)
        assert 0 < counts[owner.vm] <= 1.25 * share + 1


def test_larger_weight_ranks_first_for_more_upstreams():
    owners = make_owners([1, 2, 4])
    first = Counter(rank_owners(name, owners)[0] for name in UPSTREAMS)
    assert first["vm-00"] < first["vm-01"] < first["vm-02"]


def test_removing_a_vm_moves_few_other_upstreams():
    owners = make_owners([4] * 12)
    before = assign_upstreams(UPSTREAMS, owners)
    after = assign_upstreams(UPSTREAMS, owners[1:])
    owned_before = {name for name, vm in before.items() if vm == "vm-00"}
    assert owned_before <= moved_upstreams(before, after)
    assert len(moved_upstreams(before, after)) <= 2 * len(UPSTREAMS) / 12


def test_only_the_upstreams_of_an_unavailable_owner_move():
    owners = make_owners([4] * 5)
    record = ZoneRecord(3, owners)
    available = {owner.vm: owner.weight for owner in owners}
    full_plan = plan_ownership(record, upstreams=UPSTREAMS, available=available)
    del available["vm-02"]
    plan = plan_ownership(record, upstreams=UPSTREAMS, available=available)
    assert moved_upstreams(full_plan.owners, plan.owners) == full_plan.owned_by("vm-02")
    assert plan.epoch == 3
    substitutes = Counter(plan.owners[name] for name in full_plan.owned_by("vm-02"))
    assert set(substitutes) == set(available)


def test_upstream_moves_to_a_vm_that_reaches_it():
    owners = make_owners([4] * 3)
    available = {owner.vm: 4 for owner in owners}
    record = ZoneRecord(3, owners)
    full_plan = plan_ownership(record, upstreams=UPSTREAMS, available=available)
    name = min(full_plan.owned_by("vm-00"))
    for unreaching_vms in ({"vm-00"}, {"vm-00", "vm-01"}):
        unreached = dict.fromkeys(unreaching_vms, (name,))
        plan = plan_ownership(
            record, upstreams=UPSTREAMS, available=available, unreached=unreached
        )
        assert moved_upstreams(full_plan.owners, plan.owners) == {name}
        assert plan.owners[name] not in unreaching_vms
    unreached_by_all = dict.fromkeys(available, (name,))
    plan = plan_ownership(
        record, upstreams=UPSTREAMS, available=available, unreached=unreached_by_all
    )
    assert plan.owners[name] in available


def test_vms_outside_the_record_own_upstreams_if_no_recorded_owner_is_available():
    record = ZoneRecord(3, make_owners([4, 4]))
    plan = plan_ownership(record, upstreams=UPSTREAMS, available={"n1": 1, "n2": 1})
    assert set(plan.owners.values()) == {"n1", "n2"}
    assert plan_ownership(record, upstreams=UPSTREAMS, available={}).owners == {}


def test_planner_recomputes_only_when_an_input_changes():
    planner = Planner()
    owners = make_owners([4, 4])
    available = {owner.vm: 4 for owner in owners}

    def plan(epoch, unreached=None):
        return planner.plan(
            ZoneRecord(epoch, owners),
            upstreams=UPSTREAMS[:9],
            available=available,
            unreached=unreached,
        )

    first = plan(3)
    assert plan(3) is first
    assert plan(4).epoch == 4
    name = min(first.owned_by("vm-00"))
    unreached = {"vm-00": (name,)}
    assert plan(4, unreached).owners[name] == "vm-01"
    available.pop("vm-00")
    assert set(plan(4, unreached).owners.values()) == {"vm-01"}


@given(
    st.lists(st.integers(1, 100), min_size=1, max_size=8),
    st.integers(0, 40),
    st.sets(st.integers(0, 7)),
)
def test_every_upstream_has_an_available_owner(weights, count, unavailable):
    owners = make_owners(weights)
    available = {owner.vm: 1 for i, owner in enumerate(owners) if i not in unavailable}
    names = UPSTREAMS[:count]
    plan = plan_ownership(ZoneRecord(1, owners), upstreams=names, available=available)
    assert set(plan.owners) == (set(names) if available else set())
    assert set(plan.owners.values()) <= set(available)


def test_record_encoding_round_trips():
    record = ZoneRecord(3, make_owners([4, 4]))
    assert decode_record(encode_record(record)).unwrap() == record


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[]",
        b'{"epoch": 0, "owners": []}',
        b'{"epoch": 1, "owners": [{"vm": "a", "weight": 0}]}',
        b'{"epoch": 1, "owners": [{"vm": "b", "weight": 1}, {"vm": "a", "weight": 1}]}',
        b'{"epoch": 1, "owners": [{"vm": "a", "weight": 1}, {"vm": "a", "weight": 1}]}',
    ],
)
def test_invalid_record_is_rejected(data):
    assert decode_record(data).is_err()
