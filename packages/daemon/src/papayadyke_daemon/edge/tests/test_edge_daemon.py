"""Settings that change while the daemon runs, and its planned stop."""

import threading
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


def make_daemon(cfg=CFG):
    return EdgeDaemon(cfg, make_ports(FakeStore()), lambda *_: HttpAnswer(200, b""))


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


def test_planned_stop_ends_in_time_although_the_handover_hangs():
    daemon = make_daemon(replace(CFG, drain_s=0.01, grace_s=1.0))
    goes_on = threading.Event()
    daemon._leadership = Leadership(goes_on)
    daemon._callers.start()
    drained = threading.Thread(target=daemon.drain, daemon=True)
    drained.start()
    drained.join(timeout=20.0)
    assert not drained.is_alive()
    assert daemon._stopped.is_set()
    goes_on.set()


class Leadership:
    """Hands over once the test lets it."""

    def __init__(self, goes_on):
        self.goes_on = goes_on

    def stop(self):
        self.goes_on.wait()
