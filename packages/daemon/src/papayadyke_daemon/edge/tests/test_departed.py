"""What has left or was withdrawn is not in use again after a restart or a takeover."""

import msgspec
import pytest

from papayadyke_core.dispatch import Catalog, QueuePolicy, UpstreamEntry
from papayadyke_daemon.edge import EdgeSettings, Record, Write
from papayadyke_daemon.edge._decider import Decider, Term
from papayadyke_daemon.edge._keys import RosterRecord
from papayadyke_daemon.edge._peers import PeerClients
from papayadyke_daemon.edge.tests.fake_store import FakeStore, make_ports
from papayadyke_daemon.edge.tests.test_edge_daemon import make_daemon

CFG = EdgeSettings(
    vm="vm",
    availability_zone="zone",
    host="127.0.0.1",
    callers_port=0,
    readiness_port=0,
    peers_port=0,
)


class IdleClient:
    def close(self):
        pass


def decode_upstream(name, data):
    return UpstreamEntry(
        name, "service", "127.0.0.1:1", is_draining=data == b"draining"
    )


def take_over(store, *, roster):
    """Return the decider of a later term that knows upstreams from the roster."""
    ports = make_ports(store)
    object.__setattr__(ports, "connect_upstream", lambda entry: IdleClient())
    object.__setattr__(ports, "decode_upstream", decode_upstream)
    rows = dict.fromkeys(roster, ("127.0.0.1:1", "service"))
    decider = Decider(
        CFG,
        ports,
        PeerClients(),
        term=Term(store.revision, 1, RosterRecord(1, rows)),
        may_issue_orders=lambda: True,
        step_down=lambda why: None,
    )
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
