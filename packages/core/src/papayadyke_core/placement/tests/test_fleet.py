import pytest

from papayadyke_core.placement import Fleet, PlacementError, UpstreamSpec
from papayadyke_core.resources import ZERO_RESOURCES, Resources
from papayadyke_core.workloads import Kind

TASK_DEMAND = Resources(1000, 1000)
UPSTREAM_CAPACITY = Resources(8000, 8000)


def make_fleet(count=6, *, racks=3, slots=8, capacity=UPSTREAM_CAPACITY):
    fleet = Fleet()
    for index in range(count):
        rack = f"r{index % racks}"
        fleet.add_upstream(UpstreamSpec(f"u{index}", "hobart", rack, capacity, slots))
    return fleet


def reserve(fleet, task_id, demand=TASK_DEMAND, kind=Kind.BATCH, **options):
    return fleet.reserve(task_id, workload="w", kind=kind, demand=demand, **options)


def test_services_are_spread_over_racks():
    fleet = make_fleet()
    chosen = [reserve(fleet, f"t{index}", kind=Kind.SERVICE) for index in range(6)]
    assert len({int(name[1:]) % 3 for name in chosen[:3]}) == 3
    assert len(set(chosen)) == 6


def test_batch_tasks_are_packed_and_leave_large_free_blocks():
    fleet = make_fleet()
    chosen = {reserve(fleet, f"t{index}") for index in range(8)}
    assert len(chosen) == 1
    assert all(reserve(fleet, f"big{index}", UPSTREAM_CAPACITY) for index in range(5))


@pytest.mark.parametrize("kind", [Kind.SERVICE, Kind.BATCH])
def test_accelerators_are_left_to_tasks_that_need_them(kind):
    fleet = make_fleet(2)
    accelerated_upstream = UpstreamSpec("acc", "hobart", "r0", Resources(8000, 8000, 4))
    fleet.add_upstream(accelerated_upstream)
    chosen = {reserve(fleet, f"t{index}", kind=kind) for index in range(16)}
    assert "acc" not in chosen
    assert reserve(fleet, "t16", kind=kind) == "acc"


def test_slow_upstreams_receive_proportionally_fewer_tasks():
    fleet = make_fleet(2, racks=1, capacity=Resources(80_000, 80_000), slots=80)
    fleet.set_speed("u0", 0.25)
    chosen = [reserve(fleet, f"t{index}", kind=Kind.SERVICE) for index in range(80)]
    assert chosen[0] == "u1"
    assert chosen.count("u0") <= 80 * 0.25 / 1.25


def test_no_dimension_is_overcommitted():
    fleet = make_fleet(1)
    assert reserve(fleet, "a", Resources(1000, 8000)) == "u0"
    assert reserve(fleet, "b", Resources(1000, 1)) is None
    fleet.release("a")
    assert reserve(fleet, "b", Resources(1000, 1)) == "u0"


def test_second_reservation_of_a_task_is_rejected():
    fleet = make_fleet()
    reserve(fleet, "a")
    with pytest.raises(PlacementError):
        reserve(fleet, "a")
    with pytest.raises(PlacementError):
        fleet.reserve_gang(["b", "b"], workload="w", demand=TASK_DEMAND)


def test_gang_is_placed_completely_in_one_rack_or_not_at_all():
    fleet = make_fleet()
    chosen = fleet.reserve_gang(
        [f"g{index}" for index in range(16)], workload="w", demand=TASK_DEMAND
    )
    assert len({int(name[1:]) % 3 for name in chosen}) == 1
    free = fleet.free
    task_ids = [f"h{index}" for index in range(33)]
    assert fleet.reserve_gang(task_ids, workload="w", demand=TASK_DEMAND) is None
    assert fleet.free == free
    assert (
        len(fleet.reserve_gang(task_ids[:32], workload="w", demand=TASK_DEMAND)) == 32
    )
    fleet.check_invariants()


def test_no_new_task_starts_while_adopted_tasks_exceed_the_limit():
    fleet = make_fleet(1, slots=1)
    for task_id in ("a", "b"):
        fleet.adopt(task_id, workload="w", demand=TASK_DEMAND, upstream="u0")
    assert reserve(fleet, "c") is None
    fleet.release("a")
    assert reserve(fleet, "c") is None
    fleet.release("b")
    assert reserve(fleet, "c") == "u0"


def test_upstream_with_negative_free_accelerators_receives_no_tasks():
    fleet = make_fleet(1)
    accelerated = Resources(1000, 1000, 1)
    fleet.adopt("a", workload="w", demand=accelerated, upstream="u0")
    assert reserve(fleet, "b") is None
    assert fleet.reserve_gang(["c"], workload="w", demand=TASK_DEMAND) is None
    fleet.release("a")
    assert reserve(fleet, "b") == "u0"


def test_draining_and_set_aside_upstreams_receive_no_tasks():
    fleet = make_fleet(2)
    fleet.set_draining("u0", True)
    fleet.set_limit("u1", 0)
    assert reserve(fleet, "a") is None
    assert (fleet.capacity, fleet.slots) == (ZERO_RESOURCES, 0)
    assert fleet.can_ever_fit(TASK_DEMAND)
    fleet.set_limit("u1", 99)
    assert fleet.slots == 8
    assert reserve(fleet, "a") == "u1"


def test_avoided_upstream_is_used_only_if_no_other_could_fit_the_task():
    fleet = make_fleet(2)
    assert reserve(fleet, "a", avoid=("u0",)) == "u1"
    assert reserve(fleet, "b", Resources(7500, 1), avoid=("u0",)) is None
    assert reserve(fleet, "c", avoid=("u0", "u1")) is not None


def test_removing_an_upstream_releases_its_tasks():
    fleet = make_fleet(1)
    reserve(fleet, "a")
    assert fleet.remove_upstream("u0") == ("a",)
    assert fleet.upstream_of("a") is None
    assert not fleet.can_ever_fit(TASK_DEMAND)
    assert fleet.used_by_workload == {}
    fleet.check_invariants()


@pytest.mark.parametrize(("tasks", "fits"), [(48, True), (49, False)])
def test_can_ever_fit_ignores_current_reservations(tasks, fits):
    fleet = make_fleet()
    for index in range(40):
        reserve(fleet, f"t{index}")
    assert fleet.can_ever_fit(TASK_DEMAND, tasks=tasks) is fits
    assert not fleet.can_ever_fit(Resources(8001, 1))
