"""Test what the calls of a VM tell of the store, and the reports of its loss."""

import pytest
from result import Err, Ok

from papayadyke_clients.http import HttpAnswer, HttpExchange, HttpServer
from papayadyke_core.verdicts import Verdict
from papayadyke_daemon.edge import StoreErrorKind, _contact, _leadership, _relays
from papayadyke_daemon.edge._contact import StoreContact
from papayadyke_daemon.edge._keys import DECIDER_KEY
from papayadyke_daemon.edge._leadership import Leadership
from papayadyke_daemon.edge._messages import AskState
from papayadyke_daemon.edge._peers import PeerClients
from papayadyke_daemon.edge._relays import RelayGate
from papayadyke_daemon.edge._reports import REPORT_VALIDITY_S
from papayadyke_daemon.edge.tests.deciders import make_settings
from papayadyke_daemon.edge.tests.fake_store import FakeStore, make_ports
from papayadyke_daemon.peers._messages import CallError


class Vm:
    """Contact and leadership of a VM, on a clock that the test sets."""

    def __init__(self, monkeypatch):
        self.now = 100.0
        for module in (_contact, _leadership, _relays):
            monkeypatch.setattr(module, "read_clock", lambda: self.now)
        self.inner = FakeStore()
        self.contact = StoreContact(self.inner)
        self.leadership = Leadership(
            make_settings(strength=2.0),
            make_ports(self.contact.store),
            contact=self.contact,
            may_lead=lambda: True,
            start_decider=lambda term: True,
            stop_decider=lambda: None,
            peers_lost_store=lambda: False,
        )
        self.contact.check()

    def lose_store(self):
        self.inner.fault = StoreErrorKind.UNKNOWN
        self.contact.store.read("k")
        self.contact.check()
        assert self.contact.is_lost

    def regain_store(self):
        self.inner.fault = None
        self.now += _contact.PROBE_INTERVAL_S
        self.contact.check()
        assert self.contact.is_reached


@pytest.fixture
def vm(monkeypatch):
    return Vm(monkeypatch)


def test_lost_store_gets_only_probes_and_calls_for_leases(vm):
    vm.lose_store()
    calls = vm.inner.calls
    assert vm.contact.store.write([]).err_value.kind is StoreErrorKind.NOT_DONE
    assert vm.contact.store.watch("k", after=0, wait_s=1.0).is_err()
    assert vm.inner.calls == calls
    vm.regain_store()
    assert vm.contact.store.write([]).is_ok()


def test_late_failure_of_a_call_from_the_outage_is_no_doubt(vm):
    """Failure: a watch that hung since the outage makes a healthy VM unready."""

    def fail_late():
        vm.now += 0.1
        vm.lose_store()
        vm.regain_store()
        vm.now += 1.0
        return FakeStoreError.reply

    vm.contact.call(fail_late, is_tracked=False)
    assert vm.contact.is_reached


class FakeStoreError:
    """Reply of a store that does not answer."""

    store = FakeStore()
    store.fault = StoreErrorKind.UNKNOWN
    reply = store.read("k")


def test_vm_that_reported_a_loss_does_not_decide_while_the_report_counts(vm):
    """Failure: the decider relies on the report of a VM that has taken over."""
    vm.lose_store()
    assert vm.leadership.begin_report()
    vm.regain_store()
    # The report is on its way.
    vm.leadership.follow_once()
    assert DECIDER_KEY not in vm.inner.records
    vm.leadership.end_report(is_sent=True)
    vm.now += REPORT_VALIDITY_S - 0.01
    vm.leadership.follow_once()
    assert DECIDER_KEY not in vm.inner.records
    vm.now += 0.02
    vm.leadership.follow_once()
    assert vm.leadership.is_decider


def test_no_loss_is_reported_during_a_candidacy_or_a_term(vm):
    reports = []

    def lose_store_and_report():
        vm.lose_store()
        reports.append(vm.leadership.begin_report())

    vm.inner.before_write = lose_store_and_report
    vm.leadership.follow_once()
    assert reports == [False]
    vm.inner.fault = None
    vm.regain_store()
    vm.leadership.follow_once()
    assert vm.leadership.is_decider
    vm.lose_store()
    assert not vm.leadership.begin_report()


def test_report_that_was_not_sent_delays_no_candidacy(vm):
    vm.lose_store()
    assert vm.leadership.begin_report()
    vm.leadership.end_report(is_sent=False)
    vm.regain_store()
    vm.leadership.follow_once()
    assert vm.leadership.is_decider


def test_relays_need_a_reply_to_a_heartbeat_of_the_doubt(vm):
    gate = RelayGate(lambda: vm.contact.doubted_s)
    gate.record_reply(vm.now, reaches_store=True)
    assert gate.is_open()
    vm.now += 0.1
    vm.lose_store()
    assert not gate.is_open()
    gate.record_reply(vm.now, reaches_store=True)
    assert gate.is_open()
    with gate.track():
        vm.now += 0.2
        # An earlier relay or heartbeat waits.
        assert not gate.is_open()
    assert gate.is_open()
    vm.now += 0.81
    assert not gate.is_open()
    gate.record_reply(vm.now, reaches_store=False)
    assert gate.hears_decider()
    assert not gate.is_open()


def test_failed_call_to_a_vm_keeps_its_verdict():
    """Failure: a relay that was not sent is answered 504."""
    clients = PeerClients()
    for verdict in Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN:
        error = Err(CallError(verdict, "no connection"))
        clients._links["vm:1"] = UnansweredLink(error)  # type: ignore[assignment]
        assert clients.call("vm:1", AskState("job")) == error


class UnansweredLink:
    """Link whose calls fail with an error."""

    def __init__(self, error):
        self.error = error

    def call(self, data, *, timeout_s):
        return self.error


def test_refusal_closes_its_connection():
    server = HttpServer(lambda req: HttpAnswer(503, b"{}", closes=True))
    server.start()
    client = HttpExchange("127.0.0.1", server.port, kept=1, connect_timeout_s=5.0)
    reply = client.send("GET", "/", timeout_s=5.0)
    server.stop()
    assert isinstance(reply, Ok)
    assert reply.ok_value.headers["Connection"] == "close"
