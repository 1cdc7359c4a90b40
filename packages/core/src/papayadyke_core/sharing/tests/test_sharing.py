import pytest
from hypothesis import given
from hypothesis import strategies as st

from papayadyke_core.resources import ZERO_RESOURCES, Resources
from papayadyke_core.sharing import (
    BlockReason,
    FleetSize,
    RankPhase,
    Reserve,
    ShareTree,
)
from papayadyke_core.workloads import Config, Kind, Team, Urgency, Workload

CAPACITY = Resources(10_000, 10_000)
TASK_DEMAND = Resources(100, 50)


def make_workload(name, team="default", **options):
    return Workload(
        name=name, kind=Kind.BATCH, demand=TASK_DEMAND, team=team, **options
    )


def make_tree(*workloads, teams=(), slots=100):
    tree = ShareTree()
    config = Config(
        workloads={workload.name: workload for workload in workloads},
        teams={team.name: team for team in teams},
    )
    tree.apply_config(config)
    tree.resize(CAPACITY, slots)
    return tree


def rank_of(tree, name, overdue=False):
    return tree.rank(tree.account(name), overdue=overdue)


def test_share_is_the_largest_fraction_over_all_dimensions():
    size = FleetSize(Resources(1000, 1000, 0), 10)
    assert size.dominant_share(Resources(100, 300), 2) == 0.3
    assert size.dominant_share(Resources(100, 100), 8) == 0.8
    assert size.dominant_share(Resources(0, 0, 1), 0) == 1.0
    assert size.dominant_share(ZERO_RESOURCES, 0) == 0.0


def test_order_is_overdue_then_floors_then_urgency_then_team_then_workload():
    tree = make_tree(
        make_workload("overdue", urgency=Urgency.DEFERRABLE),
        make_workload("floor", floor=0.1, urgency=Urgency.DEFERRABLE),
        make_workload("urgent", urgency=Urgency.URGENT),
        make_workload("small-team", "small"),
        make_workload("large-team", "large"),
        make_workload("weighty", "large", weight=4.0),
        teams=(Team("small"), Team("large", weight=4.0)),
    )
    for name in ("small-team", "large-team", "weighty"):
        tree.add(name, TASK_DEMAND, 4)
    order = sorted(
        ["small-team", "large-team", "weighty", "urgent", "floor"],
        key=lambda name: rank_of(tree, name),
    )
    assert order == ["floor", "urgent", "weighty", "large-team", "small-team"]
    assert rank_of(tree, "overdue", overdue=True) < rank_of(tree, "floor")
    assert rank_of(tree, "floor").phase is RankPhase.FLOOR
    tree.add("floor", TASK_DEMAND, 10)
    assert rank_of(tree, "floor").phase is RankPhase.SHARE


@given(
    st.lists(st.sampled_from(["a", "b", "c"]), max_size=40),
    st.sampled_from(["a", "b", "c"]),
)
def test_starting_a_task_makes_no_rank_smaller(starts, observed):
    tree = make_tree(
        make_workload("a", floor=0.1),
        make_workload("b", "t", urgency=Urgency.URGENT, weight=2.0),
        make_workload("c", "t", floor=0.02),
        teams=(Team("t", weight=3.0),),
    )
    before = rank_of(tree, observed)
    for name in starts:
        tree.add(name, TASK_DEMAND, 1)
        after = rank_of(tree, observed)
        assert after >= before
        before = after
    tree.check_invariants()


def test_ceiling_and_quota_block_further_tasks_but_never_the_first():
    tree = make_tree(
        make_workload("low", "t", ceiling=0.001),
        make_workload("other", "t"),
        teams=(Team("t", quota=0.05),),
    )
    size = tree.size
    assert tree.account("low").find_block_reason(1, size) is None
    tree.add("low", TASK_DEMAND, 1)
    assert tree.account("low").find_block_reason(1, size) is BlockReason.CEILING
    tree.add("other", TASK_DEMAND, 4)
    assert tree.account("other").find_block_reason(1, size) is BlockReason.QUOTA


def test_resources_held_move_with_a_workload_to_another_team():
    tree = make_tree(make_workload("a", "t"), teams=(Team("t"), Team("u")))
    tree.add("a", TASK_DEMAND, 3)
    new_config = Config(
        workloads={"a": make_workload("a", "u")}, teams={"t": Team("t"), "u": Team("u")}
    )
    tree.apply_config(new_config)
    tree.check_invariants()
    assert tree.account("a").team.tasks == 3


def test_workload_that_holds_resources_cannot_be_removed():
    tree = make_tree(make_workload("a"))
    tree.add("a", TASK_DEMAND, 1)
    with pytest.raises(AssertionError):
        tree.remove("a")


def test_reserve_blocks_other_workloads_but_not_its_own():
    reserve = Reserve(limit=1.0)
    reserve.reset(FleetSize(CAPACITY, 100))
    reserve.add("urgent", TASK_DEMAND, 5, 2)
    free = Resources(1000, 1000)
    assert not reserve.can_start_outside_reserve(
        "other", TASK_DEMAND, 1, free=free, free_slots=3
    )
    assert reserve.can_start_outside_reserve(
        "other", TASK_DEMAND, 1, free=free, free_slots=4
    )
    assert reserve.can_start_outside_reserve(
        "urgent", TASK_DEMAND, 1, free=free, free_slots=1
    )
    scarce_cpu = Resources(350, 1000)
    assert not reserve.can_start_outside_reserve(
        "other", TASK_DEMAND, 1, free=scarce_cpu, free_slots=50
    )
    reserve.update_running_tasks("urgent", 5)
    assert reserve.can_start_outside_reserve(
        "other", TASK_DEMAND, 1, free=scarce_cpu, free_slots=1
    )


def test_reserve_does_not_exceed_its_limit():
    reserve = Reserve(limit=0.1)
    reserve.reset(FleetSize(CAPACITY, 100))
    reserve.add("urgent", TASK_DEMAND, 90, 0)
    assert reserve.can_start_outside_reserve(
        "other", TASK_DEMAND, 1, free=CAPACITY, free_slots=11
    )
    assert not reserve.can_start_outside_reserve(
        "other", TASK_DEMAND, 1, free=CAPACITY, free_slots=10
    )


def test_reserve_does_not_block_tasks_that_need_none_of_its_resources():
    reserve = Reserve(limit=1.0)
    reserve.reset(FleetSize(Resources(1000, 1000, 4), 100))
    reserve.add("urgent", Resources(0, 0, 1), 4, 0)
    free = Resources(1000, 1000, 4)
    assert reserve.can_start_outside_reserve(
        "other", TASK_DEMAND, 1, free=free, free_slots=50
    )


@given(st.lists(st.tuples(st.sampled_from(["a", "b"]), st.integers(0, 9))))
def test_stored_sums_of_a_reserve_match_recomputed_ones(changes):
    reserve = Reserve(limit=1.0)
    reserve.reset(FleetSize(CAPACITY, 100))
    reserve.add("a", TASK_DEMAND, 5, 0)
    reserve.add("b", Resources(7, 1, 1), 3, 1)
    for name, held in changes:
        reserve.update_running_tasks(name, held)
        reserve.check_invariants()
