import contextlib
import socket
import threading
import time

import pytest
from urllib3.exceptions import ClosedPoolError

from papayadyke_clients.store import (
    MAX_VALUE_BYTES,
    ErrorKind,
    HttpStore,
    Store,
    StoreSettings,
)
from papayadyke_standins.store import Faults, StoreService, StoreStandin


@pytest.fixture
def standin():
    standin = StoreStandin(StoreService()).start()
    yield standin
    standin.stop()


def connect(standin, **options) -> HttpStore:
    return HttpStore(StoreSettings(address=standin.address, **options))


def read_value(store: Store, key: str) -> bytes | None:
    entry = store.read(key).unwrap()
    return None if entry is None else entry.value


def test_round_trip_of_calls_over_http(standin):
    store = connect(standin)
    revision = store.create("a/1", b"\x00one").unwrap()
    assert store.create("a/1", b"two").unwrap_err().kind is ErrorKind.CONFLICT
    assert store.replace("a/1", b"two", expected=revision).unwrap() == revision + 1
    assert store.create("a/2", bytes(MAX_VALUE_BYTES)).is_ok()
    entries = store.read_prefix("a/").unwrap()
    assert [entry.key for entry in entries] == ["a/1", "a/2"]
    assert [e.key for e in store.read_prefix("a/", after="a/1").unwrap()] == ["a/2"]
    assert store.delete("a/2", expected=entries[1].revision).is_ok()
    assert store.read("a/2").unwrap() is None
    assert read_value(store, "a/1") == b"two"


def test_oversized_value_is_invalid(standin):
    error = connect(standin).create("big", bytes(MAX_VALUE_BYTES + 1)).unwrap_err()
    assert error.kind is ErrorKind.INVALID


def test_write_with_lost_answer_is_unknown_and_takes_effect(standin):
    store = connect(standin)
    standin.service.set_faults(Faults(lose_answers=1))
    assert store.create("k", b"v").unwrap_err().kind is ErrorKind.UNKNOWN
    assert read_value(store, "k") == b"v"


def test_lost_write_is_unknown_and_has_no_effect(standin):
    store = connect(standin)
    standin.service.set_faults(Faults(lose_writes=1))
    assert store.create("k", b"v").unwrap_err().kind is ErrorKind.UNKNOWN
    assert store.read("k").unwrap() is None


def test_timeout_is_unknown_for_writes_and_unavailable_for_reads(standin):
    store = connect(standin, answer_timeout_s=0.05)
    standin.service.set_faults(Faults(delay_s=0.3))
    assert store.create("k", b"v").unwrap_err().kind is ErrorKind.UNKNOWN
    assert store.read("k").unwrap_err().kind is ErrorKind.UNAVAILABLE


@pytest.mark.parametrize(
    "faults",
    [
        Faults(down=True),
        Faults(cut_clients=("hobart/",)),
        Faults(writes_per_s=0.0),
    ],
)
def test_refused_write_is_unavailable_and_has_no_effect(standin, faults):
    store = connect(standin, client="hobart/vm-1")
    standin.service.set_faults(faults)
    assert store.create("k", b"v").unwrap_err().kind is ErrorKind.UNAVAILABLE
    standin.service.set_faults(Faults())
    assert store.read("k").unwrap() is None


def test_refused_connection_is_unavailable():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        host, port = sock.getsockname()
        store = HttpStore(StoreSettings(address=f"{host}:{port}"))
        assert store.create("k", b"v").unwrap_err().kind is ErrorKind.UNAVAILABLE


def test_watch_returns_awaited_write(standin):
    event_batches = []
    watcher = connect(standin)
    connect(standin).create("other", b"").unwrap()
    start_revision = connect(standin).revision().unwrap()

    def wait():
        event_batches.append(
            watcher.watch("log/", after=start_revision, wait_s=10.0).unwrap()
        )

    thread = threading.Thread(target=wait)
    thread.start()
    writer = connect(standin)
    writer.create("other/2", b"").unwrap()
    revision = writer.create("log/1", b"v").unwrap()
    thread.join()
    assert [(e.key, e.value, e.revision) for e in event_batches[0]] == [
        ("log/1", b"v", revision)
    ]
    assert standin.service.counts().operations["watch"] == 1


def test_call_is_resent_when_pool_is_cleared_before_sending(standin, monkeypatch):
    store = connect(standin)
    original_request = store._pool.request
    pool = store._pool.connection_from_url(f"http://{standin.address}")
    is_dropped = iter([True, False])

    def request(*args, **options):
        if next(is_dropped):
            raise ClosedPoolError(pool, "dropped")
        return original_request(*args, **options)

    monkeypatch.setattr(store._pool, "request", request)
    assert store.create("k", b"v").is_ok()


class Middlebox:
    """Proxy that can silently stop forwarding on its open connections.

    Guards against middleboxes that lose connection state: established connections
    stay open but pass no data, while new connections work.
    """

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self.target = (host, int(port))
        self.stalled = set()
        self.open = []
        # Nothing is forwarded until so many connections have been opened.
        self.least_open = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.listener.getsockname())
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                inbound, _ = self.listener.accept()
                outbound = socket.create_connection(self.target)
                self.open.append(inbound)
                for args in (
                    (inbound, outbound, inbound),
                    (outbound, inbound, inbound),
                ):
                    threading.Thread(
                        target=self.forward, args=args, daemon=True
                    ).start()

    def forward(self, source, sink, inbound):
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                while len(self.open) < self.least_open:
                    time.sleep(0.005)
                if inbound not in self.stalled:
                    sink.sendall(data)

    def stall_open_connections(self):
        self.stalled.update(self.open)


def read_concurrently(store, count):
    results = []
    threads = [
        threading.Thread(target=lambda: results.append(store.read("k")))
        for _ in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def test_stalled_connections_cost_one_timeout(standin):
    proxy = Middlebox(standin.address)
    settings = StoreSettings(address=proxy.address, answer_timeout_s=2.0)
    store = HttpStore(settings)
    proxy.least_open = 4
    assert all(result.is_ok() for result in read_concurrently(store, 4))
    assert len(proxy.open) == 4
    proxy.stall_open_connections()
    assert store.read("k").unwrap_err().kind is ErrorKind.UNAVAILABLE
    assert all(result.is_ok() for result in read_concurrently(store, 4))
    proxy.listener.close()
