"""What has left or was withdrawn is not in use again after a restart or a takeover."""

import msgspec
import pytest

from papayadyke_core.dispatch import Catalog, QueuePolicy
from papayadyke_daemon.edge import Record, Write
from papayadyke_daemon.edge._keys import RosterRecord
from papayadyke_daemon.edge.tests.deciders import ADDRESS, SERVICE, make_decider
from papayadyke_daemon.edge.tests.fake_store import FakeStore
from papayadyke_daemon.edge.tests.test_edge_daemon import make_daemon


def take_over(store, *, roster):
    """Return the decider of a later term that knows upstreams from the roster."""
    rows = dict.fromkeys(roster, (ADDRESS, SERVICE))
    decider = make_decider(store, roster=RosterRecord(1, rows))
    assert decider.load(Catalog(1))
    return decider


@pytest.mark.parametrize("entry", [None, b"draining"])
def test_upstream_that_left_gets_no_work_from_a_successor(entry):
    """The roster names it so that its runs are found, not for new ones."""
    store = FakeStore()
    store.write([Write("upstreams/stays", b"ready")])
    if entry is not None:
        store.write([Write("upstreams/left", entry)])
    decider = take_over(store, roster=["left", "stays"])
    upstreams = decider._dispatcher.upstreams
    for upstream in upstreams.values():
        upstream.is_reachable = upstream.has_reported = True
    assert decider.list_upstreams() == ["left", "stays"]
    assert upstreams["stays"].may_start(now=1.0)
    assert not upstreams["left"].may_start(now=1.0)


def make_catalog_record(version, revision):
    return Record("config", str(version).encode(), revision)


def test_older_configuration_does_not_replace_a_newer_one():
    """A watch that was reset may replay changes that were already applied."""
    queue = QueuePolicy("q", "host", "/q/", "service")
    daemon = make_daemon()
    object.__setattr__(
        daemon._ports,
        "decode_catalog",
        lambda data: Catalog(int(data), {queue.key: queue} if int(data) < 7 else {}),
    )
    for version, revision in ((5, 10), (7, 12), (5, 10), (6, 11)):
        daemon._apply_catalog_record(make_catalog_record(version, revision))
    assert daemon.intake.catalog.version == 7
    assert daemon.intake.catalog.find_queue("host", "/q/") is None


def test_roster_round_trip_keeps_all_upstreams():
    record = RosterRecord(3, {"u": ("127.0.0.1:1", "service")})
    data = msgspec.json.encode(record)
    assert msgspec.json.decode(data, type=RosterRecord) == record
