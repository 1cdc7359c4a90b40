import contextlib
import socket
import threading

import msgspec
import pytest
import urllib3

from papayadyke_clients.vm_list import VmListClient, VmListSettings
from papayadyke_core.membership import ListedState, ListedVm
from papayadyke_standins.vm_list import VmListServer, VmListServerSettings

ENTRY = ListedVm("a", "z", "r", "10.0.0.1:1", ListedState.LEAVING)


@pytest.fixture
def server():
    server = VmListServer(VmListServerSettings(lag_s=0.0))
    server.start()
    yield server
    server.stop()


@pytest.fixture
def make_client():
    clients = []

    def make(url, **options):
        client = VmListClient(VmListSettings(url=url, **options))
        clients.append(client)
        return client

    yield make
    for client in clients:
        client.close()


def put(server, path, body):
    resp = urllib3.request(
        "PUT", server.url + path, body=msgspec.json.encode(body), retries=False
    )
    assert resp.status == 204


def test_client_reads_list(server, make_client):
    client = make_client(server.url)
    assert client.read().unwrap() == ()
    put(server, "/v1/vms/a", ENTRY)
    assert client.read().unwrap() == (ENTRY,)
    urllib3.request("DELETE", f"{server.url}/v1/vms/a", retries=False)
    assert client.read().unwrap() == ()


def test_status_503_is_an_error_until_service_recovers(server, make_client):
    client = make_client(server.url)
    put(server, "/v1/fault", {"is_down": True})
    assert client.read().unwrap_err().detail == "status 503"
    put(server, "/v1/fault", {"is_down": False})
    assert client.read().is_ok()


def test_refused_connection_is_an_error(make_client):
    with socket.create_server(("127.0.0.1", 0)) as closed_server:
        port = closed_server.getsockname()[1]
    assert make_client(f"http://127.0.0.1:{port}").read().is_err()


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n" + b" " * 5_000_000,
        b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{",
        b"garbage\r\n\r\n",
        b"",
    ],
)
def test_invalid_answer_is_an_error(make_client, answer):
    server = socket.create_server(("127.0.0.1", 0))

    def serve():
        conn, _ = server.accept()
        with conn:
            conn.recv(65536)
            with contextlib.suppress(OSError):
                conn.sendall(answer)

    thread = threading.Thread(target=serve)
    thread.start()
    client = make_client(f"http://127.0.0.1:{server.getsockname()[1]}")
    assert client.read().is_err()
    thread.join()
    server.close()


def test_read_timeout_is_an_error(make_client):
    with socket.create_server(("127.0.0.1", 0)) as server:
        port = server.getsockname()[1]
        client = make_client(f"http://127.0.0.1:{port}", read_timeout_s=0.2)
        assert client.read().is_err()
