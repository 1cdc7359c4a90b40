"""The stored roster names every upstream that may have runs.

Regression (history machine): an upstream joined, got work within seconds and lost its
registry entry; the next decider did not know of it and ran its tasks a second time.
"""

from types import SimpleNamespace
from typing import Any

import pytest
from result import Err, Ok

from papayadyke_core.dispatch import Catalog, UpstreamEntry, UpstreamReport
from papayadyke_daemon.edge import (
    StoreError,
    StoreErrorKind,
    Write,
    _roster,
    read_clock,
)
from papayadyke_daemon.edge._keys import (
    DECIDER_KEY,
    ROSTER_KEY,
    RosterRecord,
    decode_roster,
    encode_record,
)
from papayadyke_daemon.edge.tests.deciders import ADDRESS, SERVICE, make_decider
from papayadyke_daemon.edge.tests.fake_store import FakeStore

KNOWN = RosterRecord(1, {"known": (ADDRESS, SERVICE)})


def decode(name, data):
    """Decode a registry entry; each upstream has an address of its own."""
    address = ADDRESS if name == "known" else "127.0.0.1:2"
    return Ok(UpstreamEntry(name, SERVICE, address))


def load_decider(store):
    """Return a loaded decider whose roster holds one of two listed upstreams."""
    token = store.write(
        [Write(DECIDER_KEY, b""), Write(ROSTER_KEY, encode_record(KNOWN))]
    ).ok_value
    for name in ("known", "new"):
        store.write([Write(f"upstreams/{name}", b"ready")])
    decider = make_decider(store, token=token, roster=KNOWN, decode=decode)
    assert decider.load(Catalog(1))
    return decider


def list_recorded(decider):
    upstreams = decider._dispatcher.upstreams.values()
    return sorted(u.upstream_id for u in upstreams if u.is_recorded)


def list_stored(store):
    data = store.records[ROSTER_KEY].value
    assert data is not None
    return sorted(decode_roster(data).upstreams)


def store_roster(decider):
    """Store the roster as the decider's background thread does."""
    decider._roster.write(
        {
            name: (upstream.entry.address, upstream.entry.service)
            for name, upstream in decider._dispatcher.upstreams.items()
        }
    )
    decider._mailbox.pump()


def test_new_upstream_is_recorded_before_it_gets_work():
    store = FakeStore()
    decider = load_decider(store)
    assert list_recorded(decider) == ["known"]
    store_roster(decider)
    assert list_recorded(decider) == ["known", "new"]
    assert list_stored(store) == ["known", "new"]


def test_upstream_is_not_recorded_if_the_roster_is_not_stored():
    store = FakeStore()
    decider = load_decider(store)
    store.fault = StoreErrorKind.NOT_DONE
    store_roster(decider)
    assert list_recorded(decider) == ["known"]


def test_late_roster_does_not_replace_a_newer_one(monkeypatch):
    store = FakeStore()
    decider = load_decider(store)
    late: dict[str, Any] = {}

    def delay(writes, *, expected, **kwargs):
        late.update(writes=writes, expected=expected)
        return Err(StoreError(StoreErrorKind.UNKNOWN))

    with monkeypatch.context() as patch:
        patch.setattr(store, "write", delay)
        decider._roster.write(dict(KNOWN.upstreams))
    store_roster(decider)
    assert isinstance(store.write(**late), Err)
    assert list_stored(store) == ["known", "new"]


def test_roster_is_stored_after_the_answer_of_a_write_was_lost():
    store = FakeStore()
    decider = load_decider(store)
    store.fault, store.takes_effect = StoreErrorKind.UNKNOWN, True
    store_roster(decider)
    assert list_recorded(decider) == ["known"]
    store.fault = None
    store_roster(decider)  # conflicts, and learns the revision
    store_roster(decider)
    assert list_recorded(decider) == ["known", "new"]


def test_upstream_at_another_address_gets_no_work_before_it_answers_there():
    """Guards against starts whose lease is a time of a clock that was never read."""
    store = FakeStore()
    decider = load_decider(store)
    upstream = decider._dispatcher.upstreams["known"]
    upstream.is_reachable = upstream.has_reported = True
    assert upstream.may_start(now=1.0)
    decider._agents["known"].address = "127.0.0.1:3"
    entry = store.records["upstreams/known"]
    decider._apply_registry_record(entry)
    assert not upstream.may_start(now=1.0)


class ImmediateThread:
    """Thread whose function runs in `start`."""

    def __init__(self, target, args, **kwargs):
        self.start = lambda: target(*args)


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def decider(store, monkeypatch):
    """Return a loaded decider that writes its roster at once."""
    threads = SimpleNamespace(Thread=ImmediateThread)
    monkeypatch.setattr(_roster, "threading", threads)
    return load_decider(store)


def update_roster(decider, *, after_s=0.0):
    """Write the roster if it is outdated, some seconds after the last one."""
    now = read_clock() + after_s
    decider._roster.update(decider._dispatcher.upstreams, now)
    decider._mailbox.pump()


def report(decider, name):
    decider._handle_report(name, UpstreamReport(1, 0.0, 0.0))


def end_takeover(decider):
    """Let the time pass after which silent upstreams are not waited for."""
    decider._dispatcher.tick(read_clock() + 60.0, 0.0)
    decider._handle_takeover_end(decider._dispatcher.take_takeover_end())


def test_upstream_that_never_answered_is_not_recorded(store, decider):
    """Guards against takeovers that wait for an upstream which had no work."""
    update_roster(decider)
    assert list_stored(store) == ["known"]
    report(decider, "new")
    update_roster(decider)
    assert list_stored(store) == ["known", "new"]
    assert list_recorded(decider) == ["known", "new"]


def test_upstream_that_was_not_recorded_holds_up_no_takeover(decider):
    """Guards against jobs that wait for an upstream which an earlier term never met."""
    report(decider, "known")
    wait = decider._dispatcher.describe_takeover_wait(read_clock())
    assert wait is not None
    assert wait.silent_upstreams == ()
    decider._dispatcher.tick(read_clock(), 0.0)
    assert decider._dispatcher.describe_takeover_wait(read_clock()) is None


def test_silent_recorded_upstream_is_waited_for_and_stays_recorded(store, decider):
    """Guards against a task that runs twice since its upstream is silent."""
    report(decider, "new")
    update_roster(decider)
    decider._dispatcher.tick(read_clock(), 0.0)
    wait = decider._dispatcher.describe_takeover_wait(read_clock())
    assert wait is not None
    assert wait.silent_upstreams == ("known",)
    assert list_stored(store) == ["known", "new"]


def test_silent_upstream_holds_up_no_second_takeover(store, decider):
    """Guards against one dead upstream that holds up each change of the decider."""
    report(decider, "new")
    end_takeover(decider)
    update_roster(decider)
    assert list_stored(store) == ["new"]


@pytest.mark.parametrize("takes_effect", [True, False])
def test_upstream_is_recorded_again_before_it_gets_work(store, decider, takes_effect):
    """Guards against work at an upstream that the stored roster may not name.

    It answers after the write that leaves it out, whose answer is lost.
    """
    end_takeover(decider)
    store.fault, store.takes_effect = StoreErrorKind.UNKNOWN, takes_effect
    update_roster(decider)
    store.fault = None
    report(decider, "known")
    decider._apply_registry_record(store.records["upstreams/known"])
    assert list_recorded(decider) == []
    for _ in range(2):  # the first write conflicts, and learns the revision
        update_roster(decider, after_s=1.0)
    assert list_recorded(decider) == ["known"]
    assert list_stored(store) == ["known"]
