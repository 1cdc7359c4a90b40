"""Settings that change while the daemon runs."""

from dataclasses import replace

from papayadyke_clients.http import HttpAnswer
from papayadyke_daemon.edge import EdgeDaemon, EdgeSettings
from papayadyke_daemon.edge.tests.fake_store import FakeStore, make_ports

CFG = EdgeSettings(
    vm="vm",
    availability_zone="zone",
    host="127.0.0.1",
    callers_port=0,
    readiness_port=0,
    peers_port=0,
)


def make_daemon():
    return EdgeDaemon(CFG, make_ports(FakeStore()), lambda *_: HttpAnswer(200, b""))


def test_changed_settings_are_in_force():
    daemon = make_daemon()
    daemon.reload(replace(CFG, strength=3.0, drain_s=1.0))
    assert daemon.cfg.strength == 3.0
    assert daemon.cfg.drain_s == 1.0


def test_where_the_vm_listens_needs_a_restart():
    daemon = make_daemon()
    daemon.reload(replace(CFG, callers_port=9, strength=3.0))
    assert daemon.cfg.callers_port == CFG.callers_port
    assert daemon.cfg.strength == 3.0
