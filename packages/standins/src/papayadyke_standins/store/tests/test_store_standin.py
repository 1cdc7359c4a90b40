import json
import subprocess
import sys
import urllib.request

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from papayadyke_clients.store import ErrorKind, HttpStore, StoreSettings
from papayadyke_standins.store import Faults, MemoryStore, StoreService, StoreState

KEYS = st.sampled_from(["a/1", "a/2", "a/3", "b/1"])


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def make_store():
    clock = Clock()
    delays: list[float] = []
    store = MemoryStore(StoreService(clock=clock, sleep=delays.append))
    return store, clock, delays


def test_lease_expiry_deletes_its_keys_and_is_watched():
    store, clock, _ = make_store()
    lease = store.grant_lease(5.0).unwrap()
    revision = store.create("a/1", b"v", lease=lease).unwrap()
    clock.now += 4.0
    assert store.renew_lease(lease).is_ok()
    clock.now += 4.0
    assert store.read("a/1").unwrap() is not None
    clock.now += 1.1
    assert store.read("a/1").unwrap() is None
    events = store.watch("a/", after=revision, wait_s=0.0).unwrap()
    assert [(event.key, event.value) for event in events] == [("a/1", None)]
    assert store.renew_lease(lease).unwrap_err().kind is ErrorKind.CONFLICT


def test_lease_expires_on_request():
    store, _, _ = make_store()
    lease = store.grant_lease(5.0).unwrap()
    store.create("a/1", b"v", lease=lease).unwrap()
    store.service.lapse(lease)
    assert store.read("a/1").unwrap() is None


def test_stale_reads_return_an_older_state():
    store, _, _ = make_store()
    first = store.create("a/1", b"one").unwrap()
    store.replace("a/1", b"two", expected=first).unwrap()
    store.create("a/2", b"new").unwrap()
    store.service.set_faults(Faults(stale_reads=2, stale_changes=2, prefix="a/"))
    assert store.read("a/1").unwrap().value == b"one"
    assert [e.value for e in store.read_prefix("a/").unwrap()] == [b"one"]
    assert len(store.read_prefix("a/").unwrap()) == 2


def test_rate_limits_refuse_and_recover():
    store, clock, _ = make_store()
    store.service.set_faults(Faults(reads_per_s=2.0, writes_per_s=1.0))
    assert [store.read("k").is_ok() for _ in range(3)] == [True, True, False]
    assert [store.create(k, b"").is_ok() for k in "ab"] == [True, False]
    clock.now += 1.0
    assert store.create("b", b"").is_ok()
    counts = store.service.counts()
    assert (counts.operations, counts.refused) == ({"read": 3, "create": 3}, 2)


def test_slow_service_delays_each_call():
    store, _, delays = make_store()
    store.service.set_faults(Faults(delay_s=3.0))
    store.read("k")
    store.create("k", b"")
    assert delays == [3.0, 3.0]


def test_watch_from_a_revision_older_than_the_history_is_invalid():
    store, _, _ = make_store()
    limit = store.service.state.history_limit
    for number in range(limit + 2):
        store.create(f"k/{number}", b"")
    error = store.watch("k/", after=1, wait_s=0.0).unwrap_err()
    assert error.kind is ErrorKind.INVALID


class StoreMachine(RuleBasedStateMachine):
    """Compare the stand-in with a plain map, including lost answers."""

    def __init__(self):
        super().__init__()
        self.store, _, _ = make_store()
        self.model = {}
        self.watched_revision = 0
        self.watched_values = {}

    def write(self, is_answer_lost, key, value, apply):
        before = self.store.read(key).unwrap()
        if is_answer_lost:
            self.store.service.set_faults(Faults(lose_answers=1))
        result = apply(before)
        self.store.service.set_faults(Faults())
        if result.is_err() and result.unwrap_err().kind is ErrorKind.CONFLICT:
            return
        after = self.store.read(key).unwrap()
        assert (None if after is None else after.value) == value
        self.model[key] = value

    @rule(key=KEYS, value=st.binary(max_size=2), is_answer_lost=st.booleans())
    def create(self, key, value, is_answer_lost):
        if self.model.get(key) is None:
            self.write(
                is_answer_lost, key, value, lambda _: self.store.create(key, value)
            )
        else:
            error = self.store.create(key, value).unwrap_err()
            assert error.kind is ErrorKind.CONFLICT

    @rule(key=KEYS, value=st.binary(max_size=2), is_answer_lost=st.booleans())
    def replace(self, key, value, is_answer_lost):
        if self.model.get(key) is not None:
            self.write(
                is_answer_lost,
                key,
                value,
                lambda e: self.store.replace(key, value, expected=e.revision),
            )

    @rule(key=KEYS, is_answer_lost=st.booleans())
    def delete(self, key, is_answer_lost):
        if self.model.get(key) is not None:
            self.write(
                is_answer_lost,
                key,
                None,
                lambda e: self.store.delete(key, expected=e.revision),
            )

    @rule()
    def apply_watched_events(self):
        for event in self.store.watch(
            "", after=self.watched_revision, wait_s=0.0
        ).unwrap():
            assert event.revision == self.watched_revision + 1
            self.watched_revision = event.revision
            self.watched_values[event.key] = event.value
        assert {k: v for k, v in self.watched_values.items() if v is not None} == {
            k: v for k, v in self.model.items() if v is not None
        }

    @invariant()
    def prefix_read_matches_model(self):
        entries = self.store.read_prefix("a/").unwrap()
        expected = sorted(
            (k, v) for k, v in self.model.items() if v is not None and k[0] == "a"
        )
        assert [(e.key, e.value) for e in entries] == expected


TestStoreMachine = StoreMachine.TestCase


@pytest.mark.processes
def test_process_serves_calls_and_injects_requested_faults(tmp_path):
    port_file = tmp_path / "port"
    command = [sys.executable, "-m", "papayadyke_standins.store"]
    process = subprocess.Popen(
        [*command, "--port-file", str(port_file)], stdout=subprocess.PIPE, text=True
    )
    assert process.stdout is not None
    try:
        address = process.stdout.readline().strip()
        assert port_file.read_text() == address.rpartition(":")[2]
        store = HttpStore(StoreSettings(address=address))
        assert store.create("k", b"v").is_ok()
        body = json.dumps({"down": True}).encode()
        url = f"http://{address}/control/v1/faults"
        with urllib.request.urlopen(url, data=body) as resp:
            assert resp.status == 200
        assert store.read("k").unwrap_err().kind is ErrorKind.UNAVAILABLE
        with urllib.request.urlopen(f"http://{address}/control/v1/counts") as resp:
            assert json.load(resp)["operations"] == {"create": 1, "read": 1}
    finally:
        process.terminate()
        assert process.wait(timeout=20) == 0
        process.stdout.close()


def test_commit_changes_all_keys_at_one_revision_or_none():
    state = StoreState()
    first = state.commit(
        [("a", b"1", None), ("b", b"2", None)], expected=[("a", 0)], removed=["none"]
    ).unwrap()
    entries = state.read_prefix("", after="", limit=9)
    assert [(entry.key, entry.revision) for entry in entries] == [
        ("a", first),
        ("b", first),
    ]
    result = state.commit([("c", b"3", None)], expected=[("a", 0)], removed=["b"])
    assert result.unwrap_err().kind is ErrorKind.CONFLICT
    assert state.read("c") is None
    assert state.read("b") is not None
    second = state.commit([], expected=[("b", first)], removed=["b"]).unwrap()
    assert second > first
    assert state.read("b") is None
    assert [event.key for event in state.events("", first).unwrap()] == ["b"]


def test_watch_from_a_discarded_revision_is_refused():
    state = StoreState()
    first = state.commit([("a", b"1", None)], expected=[], removed=[]).unwrap()
    state.forget_history()
    assert state.events("", first).unwrap() == []
    assert state.events("", first - 1).unwrap_err().kind is ErrorKind.INVALID
