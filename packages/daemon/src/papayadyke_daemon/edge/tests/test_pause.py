"""A decider that was paused must not act on a permission that ran out meanwhile."""

import pytest

from papayadyke_daemon.edge import StoreErrorKind, _leadership
from papayadyke_daemon.edge._contact import StoreContact
from papayadyke_daemon.edge._leadership import Leadership
from papayadyke_daemon.edge.tests.deciders import make_settings
from papayadyke_daemon.edge.tests.fake_store import FakeStore, make_ports

PAUSE_S = 8.0
CFG = make_settings(strength=2.0, renew_s=0.01)


class Paused:
    """Leadership in a term, on a clock that the test sets."""

    def __init__(self, monkeypatch):
        self.now = 100.0
        monkeypatch.setattr(_leadership, "read_clock", lambda: self.now)
        self.store = FakeStore()
        contact = StoreContact(self.store)
        self.peers_lost_store = False
        self.leadership = Leadership(
            CFG,
            make_ports(contact.store),
            contact=contact,
            may_lead=lambda: True,
            start_decider=lambda term: True,
            stop_decider=lambda: None,
            peers_lost_store=lambda: self.peers_lost_store,
        )
        self.leadership.follow_once()
        assert self.leadership.is_decider

    def fail_renewal(self):
        """Let a renewal fail, as for every VM while the store is away."""
        self.store.fault = StoreErrorKind.NOT_DONE
        self.leadership.lead_once()


@pytest.fixture
def paused(monkeypatch):
    return Paused(monkeypatch)


def test_permission_ends_with_the_lease_despite_a_pause(paused):
    assert paused.leadership.may_issue_orders()
    paused.now += PAUSE_S
    assert not paused.leadership.may_issue_orders()


def test_decider_goes_on_while_no_vm_reaches_the_store(paused):
    paused.peers_lost_store = True
    for _ in range(8):
        paused.now += 0.5
        paused.fail_renewal()
    assert paused.leadership.may_issue_orders()


def test_reports_from_before_a_pause_permit_nothing(paused):
    """Heartbeats that waited in the socket say what was true before the pause."""
    paused.peers_lost_store = True
    for _ in range(8):
        paused.now += 0.5
        paused.fail_renewal()
    paused.now += PAUSE_S
    assert not paused.leadership.may_issue_orders()
    paused.fail_renewal()
    assert not paused.leadership.may_issue_orders()


def test_reports_count_again_some_time_after_a_pause(paused):
    paused.peers_lost_store = True
    paused.now += PAUSE_S
    for _ in range(4):
        paused.fail_renewal()
        paused.now += 0.4
    assert paused.leadership.may_issue_orders()
