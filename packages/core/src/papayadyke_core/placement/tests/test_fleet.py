import pytest

from papayadyke_core.placement import Fleet, PlacementError, UpstreamSpec
from papayadyke_core.resources import NOTHING, Resources
from papayadyke_core.workloads import Kind

SMALL = Resources(1000, 1000)
WHOLE = Resources(8000, 8000)


def make_fleet(count=6, *, racks=3, slots=8, capacity=WHOLE):
    fleet = Fleet()
    for number in range(count):
        rack = f"r{number % racks}"
        fleet.add_upstream(UpstreamSpec(f"u{number}", "hobart", rack, capacity, slots))
    return fleet


def reserve(fleet, task_id, demand=SMALL, kind=Kind.BATCH, **options):
    return fleet.reserve(task_id, workload="w", kind=kind, demand=demand, **options)


def test_services_spread_over_racks():
    fleet = make_fleet()
    taken = [reserve(fleet, f"t{n}", kind=Kind.SERVICE) for n in range(6)]
    assert len({int(name[1:]) % 3 for name in taken[:3]}) == 3
    assert len(set(taken)) == 6


def test_batch_is_packed_and_keeps_large_holes():
    fleet = make_fleet()
    taken = {reserve(fleet, f"t{n}") for n in range(8)}
    assert len(taken) == 1
    assert all(reserve(fleet, f"big{n}", WHOLE) for n in range(5))


@pytest.mark.parametrize("kind", [Kind.SERVICE, Kind.BATCH])
def test_accelerators_are_kept_for_work_that_needs_them(kind):
    fleet = make_fleet(2)
    spec = UpstreamSpec("acc", "hobart", "r0", Resources(8000, 8000, 4))
    fleet.add_upstream(spec)
    taken = {reserve(fleet, f"t{n}", kind=kind) for n in range(16)}
    assert "acc" not in taken
    assert reserve(fleet, "t16", kind=kind) == "acc"


def test_slow_upstreams_get_less_in_proportion():
    fleet = make_fleet(2, racks=1, capacity=Resources(80_000, 80_000), slots=80)
    fleet.set_speed("u0", 0.25)
    taken = [reserve(fleet, f"t{n}", kind=Kind.SERVICE) for n in range(80)]
    assert taken[0] == "u1"
    assert taken.count("u0") <= 80 * 0.25 / 1.25


def test_no_dimension_is_given_twice():
    fleet = make_fleet(1)
    assert reserve(fleet, "a", Resources(1000, 8000)) == "u0"
    assert reserve(fleet, "b", Resources(1000, 1)) is None
    fleet.release("a")
    assert reserve(fleet, "b", Resources(1000, 1)) == "u0"


def test_task_is_reserved_once():
    fleet = make_fleet()
    reserve(fleet, "a")
    with pytest.raises(PlacementError):
        reserve(fleet, "a")
    with pytest.raises(PlacementError):
        fleet.reserve_gang(["b", "b"], workload="w", demand=SMALL)


def test_gang_is_placed_whole_in_one_rack_or_not_at_all():
    fleet = make_fleet()
    taken = fleet.reserve_gang([f"g{n}" for n in range(16)], workload="w", demand=SMALL)
    assert len({int(name[1:]) % 3 for name in taken}) == 1
    free = fleet.free
    more = [f"h{n}" for n in range(33)]
    assert fleet.reserve_gang(more, workload="w", demand=SMALL) is None
    assert fleet.free == free
    assert len(fleet.reserve_gang(more[:32], workload="w", demand=SMALL)) == 32
    fleet.check_invariants()


def test_adopted_task_over_the_limit_blocks_new_ones_until_it_fits():
    fleet = make_fleet(1, slots=1)
    for task_id in ("a", "b"):
        fleet.adopt(task_id, workload="w", demand=SMALL, upstream="u0")
    assert reserve(fleet, "c") is None
    fleet.release("a")
    assert reserve(fleet, "c") is None
    fleet.release("b")
    assert reserve(fleet, "c") == "u0"


def test_upstream_short_of_accelerators_alone_gets_nothing_new():
    fleet = make_fleet(1)
    accelerated = Resources(1000, 1000, 1)
    fleet.adopt("a", workload="w", demand=accelerated, upstream="u0")
    assert reserve(fleet, "b") is None
    assert fleet.reserve_gang(["c"], workload="w", demand=SMALL) is None
    fleet.release("a")
    assert reserve(fleet, "b") == "u0"


def test_drained_and_set_aside_upstreams_get_nothing_new():
    fleet = make_fleet(2)
    fleet.set_draining("u0", True)
    fleet.set_limit("u1", 0)
    assert reserve(fleet, "a") is None
    assert (fleet.capacity, fleet.slots) == (NOTHING, 0)
    assert fleet.can_ever_fit(SMALL)
    fleet.set_limit("u1", 99)
    assert fleet.slots == 8
    assert reserve(fleet, "a") == "u1"


def test_avoided_upstream_is_taken_only_where_no_other_could_hold_the_task():
    fleet = make_fleet(2)
    assert reserve(fleet, "a", avoid=("u0",)) == "u1"
    assert reserve(fleet, "b", Resources(7500, 1), avoid=("u0",)) is None
    assert reserve(fleet, "c", avoid=("u0", "u1")) is not None


def test_removed_upstream_gives_back_its_tasks():
    fleet = make_fleet(1)
    reserve(fleet, "a")
    assert fleet.remove_upstream("u0") == ("a",)
    assert fleet.upstream_of("a") is None
    assert not fleet.can_ever_fit(SMALL)
    assert fleet.used_by_workload == {}
    fleet.check_invariants()


@pytest.mark.parametrize(("tasks", "fits"), [(48, True), (49, False)])
def test_can_ever_fit_counts_an_idle_fleet(tasks, fits):
    fleet = make_fleet()
    for number in range(40):
        reserve(fleet, f"t{number}")
    assert fleet.can_ever_fit(SMALL, tasks=tasks) is fits
    assert not fleet.can_ever_fit(Resources(8001, 1))
