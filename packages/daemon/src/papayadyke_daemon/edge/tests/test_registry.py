"""Entries of the registry that name no upstream have no effect but one log line.

Regression (review case 10): an entry of another program counted as an upstream that
never answered, and held up all jobs of earlier terms after each takeover.
"""

from unittest import mock

import pytest
from result import Err, Ok

from papayadyke_core.dispatch import (
    Catalog,
    StagedJobSpec,
    StepSpec,
    UpstreamEntry,
    UpstreamReport,
)
from papayadyke_daemon.edge import Write, _registry
from papayadyke_daemon.edge._keys import JOB_PREFIX, RosterRecord, encode_record
from papayadyke_daemon.edge._registry import Registry
from papayadyke_daemon.edge.tests.deciders import make_decider
from papayadyke_daemon.edge.tests.fake_store import FakeStore

SERVICES = frozenset({"service"})
CATALOG = Catalog(1, services=SERVICES)


def decode(name, data):
    """Decode an entry of a test, which holds its service, or an error."""
    if data == b"broken":
        raise OverflowError("a number is too large")
    if data.startswith(b"malformed"):
        return Err(data.decode())
    return Ok(UpstreamEntry(name, data.decode(), f"{name}:1", cpu_millis=1000))


def load_decider(entries, *, roster=None, catalog=CATALOG):
    """Return a loaded decider with the registry entries of a test."""
    store = FakeStore()
    for name, data in entries.items():
        store.write([Write(f"upstreams/{name}", data)])
    job = StagedJobSpec("j", "host/queue/", "payload", (StepSpec(1, 1000, 1, 0, 1.0),))
    store.write([Write(JOB_PREFIX + "j", encode_record(job))])
    decider = make_decider(store, roster=roster, decode=decode)
    assert decider.load(catalog)
    return store, decider


def write_entry(store, decider, name, data):
    """Write an entry and apply the change as the watch of the registry does."""
    store.write([Write(f"upstreams/{name}", data)])
    decider._apply_registry_record(store.records[f"upstreams/{name}"])


def report(decider, *names):
    """Report that upstreams run nothing, as their agents do."""
    for name in names:
        decider._handle_report(name, UpstreamReport(1, 0.0, 0.0))


def test_entry_of_an_unnamed_service_holds_up_no_takeover():
    """Guards against jobs that wait for an entry which names no upstream."""
    roster = RosterRecord(1, {"u": ("u:1", "service")})
    _, decider = load_decider({"u": b"service", "x": b"another"}, roster=roster)
    report(decider, "u")
    decider._dispatcher.tick(1.0, 1.0)
    end = decider._dispatcher.take_takeover_end()
    assert end is not None
    assert end.silent_upstreams == ()


@pytest.mark.parametrize("data", [b"another", b"malformed", b"broken"])
def test_entry_that_names_no_upstream_is_not_called(data):
    """Guards against threads and connections to whatever is at its address."""
    store, decider = load_decider({"u": b"service", "x": data})
    assert decider.list_upstreams() == ["u"]
    write_entry(store, decider, "y", data)
    assert decider.list_upstreams() == ["u"]
    assert decider._dispatcher.upstreams.keys() == {"u"}


def test_silent_upstream_of_an_earlier_term_is_waited_for_without_its_service():
    """Guards against a task that runs twice since a configuration drops its service."""
    roster = RosterRecord(1, {"u": ("u:1", "service"), "old": ("old:1", "dropped")})
    _, decider = load_decider({"u": b"service", "old": b"dropped"}, roster=roster)
    report(decider, "u")
    wait = decider._dispatcher.describe_takeover_wait(1.0)
    assert wait is not None
    assert wait.silent_upstreams == ("old",)
    assert decider.list_upstreams() == ["old", "u"]


def test_upstream_is_used_once_the_configuration_names_its_service():
    """Guards against upstreams that are lost as their entry came before the service."""
    _, decider = load_decider({"u": b"later"})
    assert decider.list_upstreams() == []
    decider._set_catalog(Catalog(2, services=SERVICES | {"later"}))
    assert decider.list_upstreams() == ["u"]
    assert decider._dispatcher.upstreams["u"].is_listed


def test_upstream_in_use_stays_listed_if_a_configuration_drops_its_service():
    store, decider = load_decider({"u": b"service"})
    report(decider, "u")
    decider._set_catalog(Catalog(2, services=frozenset()))
    write_entry(store, decider, "u", b"service")
    assert decider._dispatcher.upstreams["u"].is_listed


def test_entry_that_becomes_unusable_is_not_listed():
    store, decider = load_decider({"u": b"service"})
    report(decider, "u")
    write_entry(store, decider, "u", b"malformed")
    assert not decider._dispatcher.upstreams["u"].is_listed
    write_entry(store, decider, "u", b"service")
    assert decider._dispatcher.upstreams["u"].is_listed


def test_configuration_that_lists_no_services_rules_no_upstream_out():
    _, decider = load_decider({"u": b"any"}, catalog=Catalog(1))
    assert decider.list_upstreams() == ["u"]


def read(registry, data):
    return registry.read("x", data, services=SERVICES, is_used=False)


def test_each_fault_of_an_entry_is_logged_once():
    """Guards against a line a heartbeat, and against a fault that hides another."""
    registry = Registry(decode)
    with mock.patch.object(_registry, "log_event") as log_event:
        for data in (b"malformed 1", b"malformed 1", b"malformed 2", b"another"):
            assert read(registry, data) is None
        assert [call.kwargs["why"] for call in log_event.call_args_list] == [
            "malformed 1",
            "malformed 2",
            _registry.UNNAMED_SERVICE,
        ]
        assert read(registry, b"service") is not None
        assert read(registry, b"another") is None
        assert log_event.call_count == 4


def test_removed_entry_is_forgotten():
    """Guards against memory that grows with the ids of another writer."""
    registry = Registry(decode)
    read(registry, b"another")
    assert registry.list_ids() == {"x"}
    registry.forget("x")
    assert registry.list_ids() == set()
    assert registry.take_named(None) == []
