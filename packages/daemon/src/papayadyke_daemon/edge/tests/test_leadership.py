"""Terms of the decider."""

import threading
import time

import pytest
from result import Err

from papayadyke_daemon.edge import EdgePorts, EdgeSettings, Write
from papayadyke_daemon.edge._keys import DECIDER_KEY, DeciderRecord, encode_record
from papayadyke_daemon.edge._leadership import Leadership
from papayadyke_daemon.edge.tests.fake_store import FakeStore

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
        ports = EdgePorts(
            store=self.store,
            connect_upstream=lambda entry: None,
            advise=lambda step, names: Err("no advisory service"),
            read_catalog=lambda data: None,
            read_upstream=lambda name, data: None,
            catalog_key="config",
            registry_prefix="upstreams/",
        )
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
            ports,
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
    watch = made.store.watch
    other = DeciderRecord("other", "127.0.0.1:1", "incarnation")

    def take_first(prefix, *, after, wait_s):
        made.store.watch = watch
        made.store.write([Write(DECIDER_KEY, encode_record(other))])
        return watch(prefix, after=after, wait_s=wait_s)

    made.store.watch = take_first
    made.leadership.start()
    while not made.leadership.known.token:
        time.sleep(0.01)
    made.leadership.stop()
    assert made.leadership.known.vm == "other"
    assert made.store.leases == {}
