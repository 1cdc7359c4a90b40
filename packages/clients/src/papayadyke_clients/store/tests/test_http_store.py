import contextlib
import socket
import threading

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


def test_calls_go_round_over_http(standin):
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


def test_value_over_the_limit_is_invalid(standin):
    error = connect(standin).create("big", bytes(MAX_VALUE_BYTES + 1)).unwrap_err()
    assert error.kind is ErrorKind.INVALID


def test_lost_answer_of_a_write_is_unknown_and_took_effect(standin):
    store = connect(standin)
    standin.service.set_faults(Faults(lose_answers=1))
    assert store.create("k", b"v").unwrap_err().kind is ErrorKind.UNKNOWN
    assert read_value(store, "k") == b"v"


def test_lost_write_is_unknown_and_took_no_effect(standin):
    store = connect(standin)
    standin.service.set_faults(Faults(lose_writes=1))
    assert store.create("k", b"v").unwrap_err().kind is ErrorKind.UNKNOWN
    assert store.read("k").unwrap() is None


def test_slow_service_is_unknown_to_a_writer_and_unavailable_to_a_reader(standin):
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
def test_refused_write_is_unavailable_and_took_no_effect(standin, faults):
    store = connect(standin, client="hobart/vm-1")
    standin.service.set_faults(faults)
    assert store.create("k", b"v").unwrap_err().kind is ErrorKind.UNAVAILABLE
    standin.service.set_faults(Faults())
    assert store.read("k").unwrap() is None


def test_no_listener_is_unavailable():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        host, port = sock.getsockname()
        store = HttpStore(StoreSettings(address=f"{host}:{port}"))
        assert store.create("k", b"v").unwrap_err().kind is ErrorKind.UNAVAILABLE


def test_watch_returns_the_write_it_waited_for(standin):
    found = []
    watcher = connect(standin)
    connect(standin).create("other", b"").unwrap()
    start = connect(standin).revision().unwrap()

    def wait():
        found.append(watcher.watch("log/", after=start, wait_s=10.0).unwrap())

    thread = threading.Thread(target=wait)
    thread.start()
    writer = connect(standin)
    writer.create("other/2", b"").unwrap()
    revision = writer.create("log/1", b"v").unwrap()
    thread.join()
    assert [(e.key, e.value, e.revision) for e in found[0]] == [
        ("log/1", b"v", revision)
    ]
    assert standin.service.counts().operations["watch"] == 1


def test_call_that_finds_its_pool_dropped_is_sent_on_another(standin, monkeypatch):
    store = connect(standin)
    plain = store._pool.request
    pool = store._pool.connection_from_url(f"http://{standin.address}")
    drops = iter([True, False])

    def request(*args, **options):
        if next(drops):
            raise ClosedPoolError(pool, "dropped")
        return plain(*args, **options)

    monkeypatch.setattr(store._pool, "request", request)
    assert store.create("k", b"v").is_ok()


class Middlebox:
    """Passes connections on until it loses track of those that are open."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self.target = (host, int(port))
        self.lost = set()
        self.open = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self.listener.getsockname())
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                near, _ = self.listener.accept()
                far = socket.create_connection(self.target)
                self.open.append(near)
                for pair in ((near, far, near), (far, near, near)):
                    threading.Thread(target=self.pump, args=pair, daemon=True).start()

    def pump(self, source, sink, near):
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                if near not in self.lost:
                    sink.sendall(data)

    def lose_track(self):
        self.lost.update(self.open)


def read_at_once(store, count):
    done = []
    threads = [
        threading.Thread(target=lambda: done.append(store.read("k")))
        for _ in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return done


def test_silent_connections_cost_one_timeout(standin):
    box = Middlebox(standin.address)
    settings = StoreSettings(address=box.address, answer_timeout_s=2.0)
    store = HttpStore(settings)
    standin.service.set_faults(Faults(delay_s=0.2))
    assert all(done.is_ok() for done in read_at_once(store, 4))
    assert len(box.open) == 4
    box.lose_track()
    assert store.read("k").unwrap_err().kind is ErrorKind.UNAVAILABLE
    assert all(done.is_ok() for done in read_at_once(store, 4))
    box.listener.close()
