"""Test the terms of the decider."""

import threading
import time

import pytest

from papayadyke_daemon.edge import Write
from papayadyke_daemon.edge._contact import StoreContact
from papayadyke_daemon.edge._keys import DECIDER_KEY, DeciderRecord, encode_record
from papayadyke_daemon.edge._leadership import Leadership
from papayadyke_daemon.edge.tests.deciders import make_settings
from papayadyke_daemon.edge.tests.fake_store import FakeStore, make_ports

TIMEOUT_S = 20.0  # seconds for any wait of a test


class RenewedStore(FakeStore):
    """Store that counts lease renewals and sets an event at the third."""

    def __init__(self):
        super().__init__()
        self.renewals = 0
        self.is_renewed = threading.Event()

    def renew_lease(self, lease, *, timeout_s=None):
        self.renewals += 1
        if self.renewals >= 3:
            self.is_renewed.set()
        return super().renew_lease(lease, timeout_s=timeout_s)


class LeadershipWithBlockedStart:
    """Leadership whose decider starts once the test permits it."""

    def __init__(self, strength=2.0):
        self.store = RenewedStore()
        self.may_start = threading.Event()
        self.start_called = threading.Event()
        self.is_stopped = threading.Event()
        self.can_start = True
        cfg = make_settings(strength=strength, renew_s=0.01)
        self.leadership = Leadership(
            cfg,
            make_ports(self.store),
            contact=StoreContact(self.store),
            may_lead=lambda: True,
            start_decider=self.start_decider,
            stop_decider=self.is_stopped.set,
            peers_lost_store=lambda: False,
        )

    def start_decider(self, term):
        self.start_called.set()
        assert self.may_start.wait(TIMEOUT_S)
        return self.can_start


@pytest.fixture
def blocked():
    blocked = LeadershipWithBlockedStart()
    blocked.leadership.start()
    yield blocked
    blocked.may_start.set()
    blocked.leadership.stop()


def test_lease_is_renewed_while_the_decider_starts(blocked):
    """A decider that loads thousands of jobs must not lose its lease meanwhile."""
    assert blocked.start_called.wait(TIMEOUT_S)
    assert blocked.store.is_renewed.wait(TIMEOUT_S)
    assert blocked.leadership.may_issue_orders()
    assert DECIDER_KEY in blocked.store.records


def test_term_ends_if_the_decider_cannot_start(blocked):
    blocked.can_start = False
    blocked.may_start.set()
    assert blocked.is_stopped.wait(TIMEOUT_S)
    assert not blocked.leadership.may_issue_orders()


def test_term_that_ends_during_the_start_is_stopped_after_the_start(blocked):
    assert blocked.start_called.wait(TIMEOUT_S)
    blocked.leadership.step_down("requested by the test")
    assert not blocked.leadership.may_issue_orders()
    assert not blocked.is_stopped.is_set()
    blocked.may_start.set()
    assert blocked.is_stopped.wait(TIMEOUT_S)


def test_weak_vm_defers_to_a_stronger_vm():
    weak = LeadershipWithBlockedStart(strength=0.4)
    weak.may_start.set()
    other = DeciderRecord("other", "127.0.0.1:1", "incarnation")
    weak.store.before_watch = lambda: weak.store.write(
        [Write(DECIDER_KEY, encode_record(other))]
    )
    weak.leadership.start()
    while not weak.leadership.known_decider.token:
        time.sleep(0.01)
    weak.leadership.stop()
    assert weak.leadership.known_decider.vm == "other"
    assert weak.store.leases == {}
