"""One malformed record or unexpected error must not end the work of a thread."""

import threading
import time

import pytest
from result import Err, Ok

from papayadyke_core.dispatch import (
    Advice,
    AdviceRequest,
    Catalog,
    Commit,
    StagedJobSpec,
    StepId,
    StepSpec,
    UpstreamEntry,
)
from papayadyke_daemon.edge import Write
from papayadyke_daemon.edge._advisers import AdvisoryPool
from papayadyke_daemon.edge._committer import Committer
from papayadyke_daemon.edge._keys import JOB_PREFIX, PROGRESS_PREFIX, encode_record
from papayadyke_daemon.edge._peers import PeerClients
from papayadyke_daemon.edge._watch import PrefixWatch
from papayadyke_daemon.edge.tests.deciders import IdleUpstream, make_decider
from papayadyke_daemon.edge.tests.fake_store import FakeStore, make_ports

TIMEOUT_S = 10.0  # seconds for any wait of a test


class FailOnce:
    """Callable that raises at its first call and sets an event at the second."""

    def __init__(self, result=None):
        self.result = result
        self.calls = 0
        self.succeeded = threading.Event()

    def __call__(self, *args, **kwargs):
        self.calls += 1
        if self.calls == 1:
            raise RuntimeError("unexpected")
        self.succeeded.set()
        return self.result


@pytest.mark.parametrize("failing", ["listing", "change"])
def test_watch_goes_on_after_an_error_of_its_callback(failing):
    store = FakeStore()
    store.write([Write("prefix/a", b"")])
    stopped = threading.Event()
    callback = FailOnce()
    watch = PrefixWatch(
        store,
        "prefix/",
        revision=None if failing == "listing" else 0,
        on_change=callback if failing == "change" else lambda record: None,
        on_listing=callback,
    )
    thread = threading.Thread(
        target=watch.run, args=(stopped,), kwargs={"interval_s": 0.01}, daemon=True
    )
    thread.start()
    assert callback.succeeded.wait(TIMEOUT_S)
    stopped.set()
    thread.join(TIMEOUT_S)
    assert not thread.is_alive()


def test_committer_goes_on_after_an_error_of_the_store_client(monkeypatch):
    store = FakeStore()
    monkeypatch.setattr(store, "write", FailOnce(Ok(5)))
    finished = []
    done = threading.Event()

    def record(commit, is_stored):
        finished.append(is_stored)
        done.set()

    committer = Committer(
        store,
        token=1,
        post=lambda message: message(),
        on_finished=record,
        step_down=lambda why: None,
    )
    committer.start()
    for expected in (False, True):
        done.clear()
        committer.begin(Commit({"job": b"progress"}, {}))
        assert done.wait(TIMEOUT_S)
        assert finished[-1] is expected
    committer.stop()


def test_advisory_call_that_fails_unexpectedly_is_answered(monkeypatch):
    step = StepId("job", 0, 0)
    ports = make_ports(FakeStore())
    advice = Advice(step, ("u",), {"u": "ticket"}, 1.0, 0.0)
    object.__setattr__(ports, "request_advice", FailOnce(Ok(advice)))
    answers = []
    answered = threading.Event()

    def record(request, answer):
        answers.append(answer)
        answered.set()

    pool = AdvisoryPool(ports, PeerClients(), record)
    pool.start()
    for expected in (Err, Ok):
        answered.clear()
        pool.submit(AdviceRequest(step, ("u",)))
        assert answered.wait(TIMEOUT_S)
        assert isinstance(answers[-1], expected)
    pool.stop()


def decode_or_fail(name, data):
    """Decode a registry entry; an entry of a test fails in an unexpected way."""
    if data == b"malformed":
        raise OverflowError("port must be 0-65535")
    return Ok(UpstreamEntry(name, "service", f"127.0.0.1:{data.decode()}"))


def wait_for(condition):
    deadline_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s, "timed out"
        time.sleep(0.01)


def test_term_begins_although_a_registry_entry_is_malformed():
    store = FakeStore()
    store.write([Write("upstreams/a", b"malformed"), Write("upstreams/b", b"1")])
    decider = make_decider(store, decode=decode_or_fail)
    assert decider.start(Catalog(1))
    assert decider.list_upstreams() == ["b"]
    decider.stop()


def test_term_begins_although_a_client_cannot_be_made():
    store = FakeStore()
    store.write([Write("upstreams/a", b"1"), Write("upstreams/b", b"2")])

    def connect(entry):
        if entry.upstream_id == "a":
            raise ValueError("invalid address")
        return IdleUpstream()

    decider = make_decider(store, connect=connect, decode=decode_or_fail)
    assert decider.start(Catalog(1))
    assert decider.list_upstreams() == ["b"]
    decider.stop()


def test_term_begins_although_stored_records_are_unreadable():
    store = FakeStore()
    spec = StagedJobSpec("good", "h/q/", "text", (StepSpec(1),))
    store.write(
        [
            Write(JOB_PREFIX + "bad", b"{"),
            Write(JOB_PREFIX + "good", encode_record(spec)),
            Write(PROGRESS_PREFIX + "worse", b"{"),
        ]
    )
    decider = make_decider(store, decode=decode_or_fail)
    assert decider.start(Catalog(1))
    assert decider.get_status("good") is not None
    assert decider.get_status("bad") is None
    decider.stop()


def test_registry_listing_applies_all_other_entries_of_a_malformed_one():
    store = FakeStore()
    decider = make_decider(store, decode=decode_or_fail)
    assert decider.start(Catalog(1))
    store.write([Write("upstreams/a", b"malformed"), Write("upstreams/b", b"1")])
    wait_for(lambda: decider.list_upstreams() == ["b"])
    decider.stop()
