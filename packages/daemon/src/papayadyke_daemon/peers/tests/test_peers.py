import base64
import socket
import threading
import time

import msgspec
import pynng
import pytest
from result import Ok

from papayadyke_clients.keys import Authenticator, KeyEntry, KeyFile, Keyring
from papayadyke_core.verdicts import Verdict
from papayadyke_daemon.peers import Ack, Handler, PeerEndpoint, PeerSettings
from papayadyke_daemon.peers._envelope import seal_envelope

TIMEOUT_S = 5.0


class Echo(msgspec.Struct, tag="echo", frozen=True, array_like=True):
    text: str


class Wait(msgspec.Struct, tag="wait", frozen=True, array_like=True):
    pass


class Break(msgspec.Struct, tag="break", frozen=True, array_like=True):
    pass


def make_keyring(secret=b"0" * 16):
    entry = KeyEntry(id="k", secret=base64.b64encode(secret).decode())
    return Keyring(KeyFile(keys=(entry,)))


def make_authenticator(name, secret=b"0" * 16):
    return Authenticator(
        make_keyring(secret),
        sender=name,
        incarnation=time.time_ns(),
        started_unix_s=time.time() - 1,
    )


@pytest.fixture
def make_endpoint():
    endpoints = []

    def make(name, handlers=(), secret=b"0" * 16, **options):
        endpoint = PeerEndpoint(
            handlers,
            authenticator=make_authenticator(name, secret),
            settings=PeerSettings(**options),
        )
        endpoint.start()
        endpoints.append(endpoint)
        return endpoint

    yield make
    for endpoint in endpoints:
        endpoint.stop()


def echo_handler(calls=None):
    def echo(message, sender):
        if calls is not None:
            calls.append((sender, message.text))
        return message

    return Handler(Echo, echo)


def call(endpoint, peer, message, timeout_s=TIMEOUT_S):
    return endpoint.call(peer, message, type(message), timeout_s=timeout_s)


def send_raw(address, data, timeout_ms=300):
    with pynng.Req0(recv_timeout=timeout_ms, send_timeout=1000) as req:
        req.dial(f"tcp://{address}", block=True)
        req.send(data)
        try:
            return req.recv()
        except pynng.NNGException:
            return None


def wait_until(check):
    deadline_s = time.monotonic() + 30
    while not check():
        assert time.monotonic() < deadline_s
        time.sleep(0.02)


def test_concurrent_calls_each_get_their_own_reply(make_endpoint):
    calls: list[tuple[str, str]] = []
    b = make_endpoint("b", [echo_handler(calls)])
    a = make_endpoint("a")
    a.add_peer("b", b.address)
    results: dict[int, str] = {}

    def run(i):
        results[i] = call(a, "b", Echo(f"text-{i}")).unwrap().text

    threads = [threading.Thread(target=run, args=[i]) for i in range(20)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert results == {i: f"text-{i}" for i in range(20)}
    assert {sender for sender, _ in calls} == {"a"}


def test_a_forged_call_is_not_served(make_endpoint):
    calls: list[tuple[str, str]] = []
    b = make_endpoint("b", [echo_handler(calls)])
    forger = make_endpoint("a", secret=b"1" * 16)
    forger.add_peer("b", b.address)
    error = call(forger, "b", Echo("x"), timeout_s=0.3).unwrap_err()
    assert error.verdict == Verdict.MAY_HAVE_RUN
    assert calls == []
    assert b.stats().forged == 1


def test_a_replayed_call_is_served_once(make_endpoint):
    calls: list[tuple[str, str]] = []
    b = make_endpoint("b", [echo_handler(calls)])
    body = msgspec.msgpack.encode(Echo("x"))
    sealed = seal_envelope(make_authenticator("a"), receiver="b", reply_to=0, body=body)
    assert send_raw(b.address, sealed.data) is not None
    assert send_raw(b.address, sealed.data) is None
    assert calls == [("a", "x")]
    assert b.stats().replayed == 1


def test_a_call_for_another_vm_is_not_served(make_endpoint):
    calls: list[tuple[str, str]] = []
    b = make_endpoint("b", [echo_handler(calls)])
    body = msgspec.msgpack.encode(Echo("x"))
    sealed = seal_envelope(make_authenticator("a"), receiver="c", reply_to=0, body=body)
    assert send_raw(b.address, sealed.data) is None
    assert calls == []


@pytest.mark.parametrize("data", [b"", b"\x00", b"\x97", b"\xc1" * 50, b"x" * 5000])
def test_invalid_data_is_dropped_and_the_server_keeps_serving(make_endpoint, data):
    b = make_endpoint("b", [echo_handler()])
    a = make_endpoint("a")
    a.add_peer("b", b.address)
    assert send_raw(b.address, data) is None
    assert b.stats().malformed == 1
    assert call(a, "b", Echo("x")).is_ok()


def test_an_oversized_message_is_neither_sent_nor_received(make_endpoint):
    calls: list[tuple[str, str]] = []
    b = make_endpoint("b", [echo_handler(calls)], max_message_bytes=1000)
    a = make_endpoint("a", max_message_bytes=1000)
    unlimited = make_endpoint("c")
    for endpoint in (a, unlimited):
        endpoint.add_peer("b", b.address)
    assert call(a, "b", Echo("x" * 1000)).unwrap_err().verdict == Verdict.NOT_RUN
    error = call(unlimited, "b", Echo("x" * 1000)).unwrap_err()
    assert error.verdict == Verdict.MAY_HAVE_RUN
    assert calls == []
    assert call(a, "b", Echo("x")).is_ok()


def test_an_unsupported_message_is_not_run(make_endpoint):
    b = make_endpoint("b", [echo_handler()])
    a = make_endpoint("a")
    a.add_peer("b", b.address)
    assert call(a, "b", Wait()).unwrap_err().verdict == Verdict.NOT_RUN


def test_a_call_whose_handler_raises_may_have_run(make_endpoint):
    def fail(message, sender):
        raise RuntimeError("broken")

    b = make_endpoint("b", [Handler(Break, fail)])
    a = make_endpoint("a")
    a.add_peer("b", b.address)
    assert call(a, "b", Break()).unwrap_err().verdict == Verdict.MAY_HAVE_RUN


def test_a_call_to_an_absent_peer_is_not_run(make_endpoint):
    with socket.create_server(("127.0.0.1", 0)) as server:
        port = server.getsockname()[1]
    a = make_endpoint("a")
    a.add_peer("b", f"127.0.0.1:{port}")
    assert call(a, "b", Echo("x")).unwrap_err().verdict == Verdict.NOT_RUN
    assert call(a, "c", Echo("x")).unwrap_err().verdict == Verdict.NOT_RUN


def test_a_call_whose_peer_closes_may_have_run(make_endpoint):
    a = make_endpoint("a")
    rep = pynng.Rep0()
    listener = rep.listen("tcp://127.0.0.1:0")
    a.add_peer("b", str(listener.local_address))

    def close_after_receive():
        rep.recv()
        rep.close()

    thread = threading.Thread(target=close_after_receive)
    thread.start()
    error = call(a, "b", Echo("x"), timeout_s=60.0).unwrap_err()
    thread.join()
    assert error.verdict == Verdict.MAY_HAVE_RUN


def test_slow_calls_are_limited_and_do_not_block_quick_ones(make_endpoint):
    release = threading.Event()

    def wait(message, sender):
        release.wait(30)
        return message

    b = make_endpoint(
        "b", [echo_handler(), Handler(Wait, wait, is_slow=True)], max_slow_calls=1
    )
    a = make_endpoint("a")
    a.add_peer("b", b.address)
    slow: list[Wait] = []
    thread = threading.Thread(
        target=lambda: slow.append(call(a, "b", Wait(), 30).unwrap())
    )
    thread.start()
    wait_until(lambda: a.stats().sent_bytes > 0)
    busy = call(a, "b", Wait())
    assert busy.unwrap_err().verdict == Verdict.NOT_RUN
    assert call(a, "b", Echo("x")).is_ok()
    release.set()
    thread.join()
    assert slow == [Wait()]


def test_stop_waits_for_a_slow_call(make_endpoint):
    started, release = threading.Event(), threading.Event()

    def wait(message, sender):
        started.set()
        release.wait(30)
        return message

    b = make_endpoint("b", [Handler(Wait, wait, is_slow=True)])
    a = make_endpoint("a")
    a.add_peer("b", b.address)
    slow: list[Wait] = []
    caller = threading.Thread(
        target=lambda: slow.append(call(a, "b", Wait(), 30).unwrap())
    )
    caller.start()
    started.wait(30)
    stopper = threading.Thread(target=b.stop)
    stopper.start()
    release.set()
    for thread in (caller, stopper):
        thread.join()
    assert slow == [Wait()]


def test_posted_messages_arrive_in_order_and_report_their_results(make_endpoint):
    calls: list[tuple[str, str]] = []
    b = make_endpoint("b", [echo_handler(calls)])
    a = make_endpoint("a")
    a.add_peer("b", b.address)
    results: list[object] = []
    for i in range(5):
        a.post("b", Echo(str(i)), Echo, timeout_s=5.0, on_result=results.append)
    wait_until(lambda: len(results) == 5)
    assert [text for _, text in calls] == ["0", "1", "2", "3", "4"]
    assert all(isinstance(result, Ok) for result in results)


def test_a_handler_that_returns_none_is_acknowledged(make_endpoint):
    b = make_endpoint("b", [Handler(Echo, lambda message, sender: None)])
    a = make_endpoint("a")
    a.add_peer("b", b.address)
    assert a.call("b", Echo("x"), Ack, timeout_s=5.0).unwrap() == Ack()


class TcpProxy:
    """TCP proxy that can drop all further data of its open connections."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self.target = (host, int(port))
        self.server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.server.getsockname()[1]}"
        self.sockets: list[socket.socket] = []
        self.muted: set[socket.socket] = set()
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            try:
                client, _ = self.server.accept()
            except OSError:
                return
            server_side = socket.create_connection(self.target)
            self.sockets += [client, server_side]
            for pair in ((client, server_side), (server_side, client)):
                threading.Thread(target=self.copy, args=pair, daemon=True).start()

    def copy(self, source, sink):
        try:
            while data := source.recv(65536):
                if source not in self.muted:
                    sink.sendall(data)
        except OSError:
            pass
        sink.close()

    def stop_forwarding(self):
        self.muted = set(self.sockets)

    def close(self):
        self.server.close()
        for sock in self.sockets:
            sock.close()


def test_a_silent_connection_is_replaced(make_endpoint):
    b = make_endpoint("b", [echo_handler()])
    proxy = TcpProxy(b.address)
    a = make_endpoint("a")
    a.add_peer("b", proxy.address)
    assert call(a, "b", Echo("x")).is_ok()
    proxy.stop_forwarding()
    for _ in range(2):
        error = call(a, "b", Echo("x"), timeout_s=0.3).unwrap_err()
        assert error.verdict == Verdict.MAY_HAVE_RUN
    assert call(a, "b", Echo("x")).is_ok()
    assert a.stats().replaced == 1
    proxy.close()


@pytest.mark.parametrize("address", ["host:70", "127.0.0.1", "127.0.0.1:0", "::1:x"])
def test_an_address_other_than_ip_number_and_port_is_rejected(make_endpoint, address):
    with pytest.raises(ValueError):
        make_endpoint("a").add_peer("b", address)


def test_a_stopped_endpoint_makes_no_calls(make_endpoint):
    b = make_endpoint("b", [echo_handler()])
    a = make_endpoint("a")
    a.stop()
    a.add_peer("b", b.address)
    assert call(a, "b", Echo("x")).unwrap_err().verdict == Verdict.NOT_RUN


def test_idle_peers_are_removed_with_their_threads(make_endpoint):
    started, release = threading.Event(), threading.Event()

    def wait(message, sender):
        started.set()
        release.wait(30)
        return message

    b = make_endpoint("b", [echo_handler(), Handler(Wait, wait, is_slow=True)])
    a = make_endpoint("a")
    for peer in ("b", "c"):
        a.add_peer(peer, b.address)
    results: list[object] = []
    a.post("b", Wait(), Wait, timeout_s=30.0, on_result=results.append)
    a.post("c", Echo("x"), Echo, timeout_s=0.2, on_result=results.append)
    started.wait(30)
    wait_until(lambda: len(results) == 1)
    a.remove_idle_peers(0.0)
    assert a.peers() == {"b"}
    release.set()
    wait_until(lambda: len(results) == 2)
    a.remove_idle_peers(0.0)
    assert a.peers() == set()
    names = [f"peers-post-{peer}" for peer in ("b", "c")]
    wait_until(lambda: not {t.name for t in threading.enumerate()} & set(names))
