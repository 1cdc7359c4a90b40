"""Test reloading of settings and the planned stop of the daemon."""

import threading
from dataclasses import replace

from papayadyke_clients.http import HttpAnswer
from papayadyke_daemon.edge import EdgeDaemon
from papayadyke_daemon.edge.tests.deciders import make_settings
from papayadyke_daemon.edge.tests.fake_store import FakeStore, make_ports

CFG = make_settings()


def make_daemon(cfg=CFG):
    return EdgeDaemon(cfg, make_ports(FakeStore()), lambda *_: HttpAnswer(200, b""))


def test_reload_applies_changed_settings():
    daemon = make_daemon()
    daemon.reload(replace(CFG, strength=3.0, drain_s=1.0))
    assert daemon.cfg.strength == 3.0
    assert daemon.cfg.drain_s == 1.0


def test_reload_keeps_the_callers_port_until_a_restart():
    daemon = make_daemon()
    daemon.reload(replace(CFG, callers_port=9, strength=3.0))
    assert daemon.cfg.callers_port == CFG.callers_port
    assert daemon.cfg.strength == 3.0


def test_drain_ends_in_time_if_the_handover_hangs():
    daemon = make_daemon(replace(CFG, drain_s=0.01, grace_s=1.0))
    may_finish = threading.Event()
    daemon._leadership = BlockedLeadership(may_finish)
    daemon._callers.start()
    drain_thread = threading.Thread(target=daemon.drain, daemon=True)
    drain_thread.start()
    drain_thread.join(timeout=20.0)
    assert not drain_thread.is_alive()
    assert daemon._stopped.is_set()
    may_finish.set()


class BlockedLeadership:
    """Leadership whose handover blocks until the test releases it."""

    def __init__(self, may_finish):
        self.may_finish = may_finish

    def stop(self):
        self.may_finish.wait()
