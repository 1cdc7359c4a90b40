"""Terms of the decider."""

import threading
import time

import pytest

from papayadyke_daemon.edge import EdgeSettings, Write
from papayadyke_daemon.edge._keys import DECIDER_KEY, DeciderRecord, encode_record
from papayadyke_daemon.edge._leadership import Leadership
from papayadyke_daemon.edge.tests.fake_store import FakeStore, make_ports

TIMEOUT_S = 20.0  # seconds that any step of a test may take


class RenewedStore(FakeStore):
    """Counts renewals; the third wakes who waits for it."""

    def __init__(self):
        super().__init__()
        self.renewals = 0
        self.is_renewed = threading.Event()

    def renew_lease(self, lease, *, timeout_s=None):
        self.renewals += 1
        if self.renewals >= 3:
            self.is_renewed.set()
        return super().renew_lease(lease, timeout_s=timeout_s)


class Started:
    """A leadership whose term begins when the test lets it."""

    def __init__(self, strength=2.0):
        self.store = RenewedStore()
        self.may_begin = threading.Event()
        self.is_asked = threading.Event()
        self.is_ended = threading.Event()
        self.begins = True
        cfg = EdgeSettings(
            vm="vm",
            availability_zone="zone",
            host="127.0.0.1",
            callers_port=0,
            readiness_port=0,
            peers_port=0,
            strength=strength,
            renew_s=0.01,
        )
        self.leadership = Leadership(
            cfg,
            make_ports(self.store),
            may_lead=lambda: True,
            begin=self.begin,
            end=self.is_ended.set,
            peers_lost_store=lambda: False,
        )

    def begin(self, term):
        self.is_asked.set()
        assert self.may_begin.wait(TIMEOUT_S)
        return self.begins


@pytest.fixture
def started():
    made = Started()
    made.leadership.start()
    yield made
    made.may_begin.set()
    made.leadership.stop()


def test_lease_is_renewed_while_a_term_begins(started):
    """A decider that reads thousands of jobs must not lose its lease over it."""
    assert started.is_asked.wait(TIMEOUT_S)
    assert started.store.is_renewed.wait(TIMEOUT_S)
    assert started.leadership.may_order()
    assert DECIDER_KEY in started.store.records


def test_term_that_can_not_begin_is_given_back(started):
    started.begins = False
    started.may_begin.set()
    assert started.is_ended.wait(TIMEOUT_S)
    assert not started.leadership.may_order()


def test_term_that_ends_while_it_begins_is_ended_once_it_has_begun(started):
    assert started.is_asked.wait(TIMEOUT_S)
    started.leadership.depose("a test")
    assert not started.leadership.may_order()
    assert not started.is_ended.is_set()
    started.may_begin.set()
    assert started.is_ended.wait(TIMEOUT_S)


def test_weak_vm_lets_a_stronger_one_have_the_term():
    made = Started(strength=0.4)
    made.may_begin.set()
    other = DeciderRecord("other", "127.0.0.1:1", "incarnation")
    made.store.before_watch = lambda: made.store.write(
        [Write(DECIDER_KEY, encode_record(other))]
    )
    made.leadership.start()
    while not made.leadership.known.token:
        time.sleep(0.01)
    made.leadership.stop()
    assert made.leadership.known.vm == "other"
    assert made.store.leases == {}
