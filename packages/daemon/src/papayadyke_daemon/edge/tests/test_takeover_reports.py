"""Lines of the decider's log about what a takeover waits for."""

from unittest import mock

from papayadyke_core.dispatch.tests.dispatch_world import World, make_entry, make_job
from papayadyke_daemon.edge import _takeover_reports
from papayadyke_daemon.edge._takeover_reports import TakeoverReporter


def take_over_with_silent_upstream():
    """Return a world whose second decider gets no answer from one of two upstreams."""
    world = World(None, make_entry("a"), make_entry("b"))
    world.submit(make_job("j"))
    world.run(0.5, after_s=60.0)
    world.upstreams["b"].is_disconnected = True
    world.take_over()
    return world


def report(world, reporter, seconds):
    """Advance time and return the fields of the lines."""
    rows = []
    end_s = world.now + seconds
    while world.now < end_s:
        world.step()
        with mock.patch.object(_takeover_reports, "log_event") as log_event:
            reporter.update(world.dispatcher, world.now)
        rows += [call.kwargs for call in log_event.call_args_list]
    return rows


def test_wait_names_the_silent_upstreams_and_its_end():
    """Guards against held jobs of which no line tells whom they wait for."""
    world = take_over_with_silent_upstream()
    rows = report(world, TakeoverReporter(), 2.0)
    assert len(rows) == 2
    assert all(row["silent"] == ["b"] and row["jobs"] == 1 for row in rows)
    assert rows[0]["left_s"] > rows[1]["left_s"] > 0


def test_no_line_is_written_once_all_runs_are_known():
    world = take_over_with_silent_upstream()
    world.upstreams["b"].is_disconnected = False
    assert report(world, TakeoverReporter(), 3.0) == []
