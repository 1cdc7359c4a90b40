"""Lines of the decider's log about the room that is kept for gangs."""

from unittest import mock

from papayadyke_core.dispatch.tests.dispatch_world import (
    World,
    make_catalog,
    make_entry,
    make_job,
    make_step,
)
from papayadyke_daemon.edge import _reservation_reports
from papayadyke_daemon.edge._metrics import METRICS
from papayadyke_daemon.edge._reservation_reports import ReservationReporter


def make_world():
    """Return a world in which a gang waits for the end of one run."""
    world = World(make_catalog(), *(make_entry(f"u{number}") for number in range(4)))
    world.submit(make_job("filler", make_step(1, cpu_millis=4000, estimate_s=5.0)))
    world.run(0.3, after_s=5.0)
    gang = make_step(4, cpu_millis=4000, is_gang=True, estimate_s=5.0)
    world.submit(make_job("gang", gang))
    world.run(0.3, after_s=5.0)
    return world


def report(world, reporter, now):
    with mock.patch.object(_reservation_reports, "log_event") as log_event:
        reporter.update(world.dispatcher, now)
    return [call.kwargs for call in log_event.call_args_list]


def test_line_names_the_gang_since_when_room_is_kept_and_when_it_starts():
    """Guards against idle upstreams of which no line tells who keeps them."""
    world, reporter = make_world(), ReservationReporter()
    (row,) = report(world, reporter, world.now)
    assert (row["upstreams"], row["idle_cpu"]) == (4, 12_000)
    (gang,) = row["gangs"]
    assert (gang["request"], gang["members"]) == ("gang", 4)
    assert 0.2 < gang["since_s"] < 0.5
    assert 4.0 < gang["starts_in_s"] < 5.0
    assert gang["upstreams"] == ["u0", "u1", "u2", "u3"]
    assert report(world, reporter, world.now + 0.5) == []


def test_nothing_is_told_once_the_gang_has_started():
    world, reporter = make_world(), ReservationReporter()
    reporter.update(world.dispatcher, world.now)
    world.run(6.0, after_s=5.0)
    assert report(world, reporter, world.now) == []
    assert b"papayadyke_reserved_upstreams 0" in METRICS.render()
    reporter.clear_metrics()
    assert b"papayadyke_reserved_upstreams" not in METRICS.render()
