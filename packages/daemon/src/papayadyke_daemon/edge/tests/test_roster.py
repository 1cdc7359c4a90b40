"""The stored roster names every upstream that may have runs.

Regression (history machine): an upstream joined, got work within seconds and lost its
registry entry; the next decider did not know of it and ran its tasks a second time.
"""

from typing import Any

from result import Err

from papayadyke_core.dispatch import Catalog
from papayadyke_daemon.edge import StoreError, StoreErrorKind, Write
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


def load_decider(store):
    """Return a loaded decider whose roster holds one of two listed upstreams."""
    token = store.write(
        [Write(DECIDER_KEY, b""), Write(ROSTER_KEY, encode_record(KNOWN))]
    ).ok_value
    for name in ("known", "new"):
        store.write([Write(f"upstreams/{name}", b"ready")])
    decider = make_decider(store, token=token, roster=KNOWN)
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
    decider._agents["known"].address = "127.0.0.1:2"
    entry = store.records["upstreams/known"]
    decider._apply_registry_record(entry)
    assert not upstream.may_start(now=1.0)
