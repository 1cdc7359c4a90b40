"""Links that fail."""

import socket

import pytest

from papayadyke_soak import LinkMode, Proxy, ProxyLoop

TIMEOUT_S = 10.0  # seconds that any step of a test may take
SILENCE_S = 0.2  # seconds in which nothing may come


@pytest.fixture
def link():
    loop = ProxyLoop()
    loop.start()
    with socket.create_server(("127.0.0.1", 0)) as server:
        proxy = Proxy(loop, "127.0.0.1", server.getsockname()[1])
        client = socket.create_connection(("127.0.0.1", proxy.port), TIMEOUT_S)
        far, _ = server.accept()
        far.settimeout(TIMEOUT_S)
        with client, far:
            yield proxy, client, far
    loop.stop()


def is_silent(sock):
    sock.settimeout(SILENCE_S)
    try:
        sock.recv(10)
    except TimeoutError:
        sock.settimeout(TIMEOUT_S)
        return True
    return False


def test_working_link_passes_both_ways(link):
    _, client, far = link
    client.sendall(b"ask")
    assert far.recv(10) == b"ask"
    far.sendall(b"answer")
    assert client.recv(10) == b"answer"


def test_silent_link_holds_bytes_until_it_works_again(link):
    proxy, client, far = link
    proxy.set_mode(LinkMode.SILENT)
    client.sendall(b"ask")
    assert is_silent(far)
    proxy.set_mode(LinkMode.WORKS)
    assert far.recv(10) == b"ask"


def test_link_cut_one_way_passes_the_other(link):
    proxy, client, far = link
    proxy.set_mode(LinkMode.NO_ANSWERS)
    client.sendall(b"ask")
    assert far.recv(10) == b"ask"
    far.sendall(b"answer")
    assert is_silent(client)


def test_reset_ends_open_connections(link):
    proxy, client, far = link
    client.sendall(b"ask")
    assert far.recv(10) == b"ask"
    proxy.reset()
    with pytest.raises(ConnectionResetError):
        client.recv(10)
