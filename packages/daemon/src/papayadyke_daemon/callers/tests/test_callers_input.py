import json
import socket

import pytest

from papayadyke_clients.http import HttpExchange
from papayadyke_core.workloads import ConfigModel
from papayadyke_daemon.daemon import Daemon
from papayadyke_daemon.settings import Address, CallersSettings, Settings

CONFIG = {
    "workloads": [
        {
            "name": "rcd-check",
            "kind": "service",
            "demand": {"cpus": 1, "memory_mb": 1},
        }
    ]
}
MAX_BODY_BYTES = 1000
TIMEOUT_S = 20.0


@pytest.fixture(scope="module")
def daemon():
    settings = Settings(
        vm="vm-1",
        availability_zone="hobart",
        callers=CallersSettings(
            address=Address("127.0.0.1", 0),
            threads=8,
            max_body_bytes=MAX_BODY_BYTES,
            max_timeout_s=60.0,
            receive_timeout_s=1,
        ),
    )
    daemon = Daemon(settings)
    daemon.start()
    daemon.load_first_config(ConfigModel.model_validate(CONFIG))
    yield daemon
    daemon.stop()


def send(daemon, method, path, body=b"", **headers):
    exchange = HttpExchange(*daemon.address, kept=0, connect_timeout_s=TIMEOUT_S)
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    return exchange.send(
        method, path, body=body, headers=fields, timeout_s=TIMEOUT_S
    ).unwrap()


def send_raw(daemon, data):
    with socket.create_connection(daemon.address, timeout=TIMEOUT_S) as conn:
        conn.sendall(data)
        received = b""
        while chunk := conn.recv(65536):
            received += chunk
        return received


@pytest.mark.parametrize(
    ("method", "path", "body", "headers", "status", "reason"),
    [
        ("POST", "/v1/run/nope", b"", {}, 404, "unknown_workload"),
        ("POST", "/v1/run/UPPER", b"", {}, 404, "bad_request"),
        ("GET", "/v1/run/rcd-check", b"", {}, 405, "bad_request"),
        ("POST", "/v2/run/rcd-check", b"", {}, 404, "bad_request"),
        ("POST", "/v1/run/rcd-check", b"x" * 1001, {}, 413, "too_large"),
        (
            "POST",
            "/v1/run/rcd-check",
            b"",
            {"Request_Timeout": "soon"},
            400,
            "bad_request",
        ),
        (
            "POST",
            "/v1/run/rcd-check",
            b"",
            {"Request_Timeout": "nan"},
            400,
            "bad_request",
        ),
        (
            "POST",
            "/v1/run/rcd-check",
            b"",
            {"Request_Timeout": "61"},
            400,
            "bad_request",
        ),
        (
            "POST",
            "/v1/run/rcd-check",
            b"",
            {"Idempotency_Key": "a b"},
            400,
            "bad_request",
        ),
        (
            "POST",
            "/v1/run/rcd-check",
            b"",
            {"Idempotency_Key": "k" * 201},
            400,
            "bad_request",
        ),
        (
            "POST",
            "/v1/run/rcd-check",
            b"",
            {"Request_Id": "no spaces"},
            400,
            "bad_request",
        ),
        (
            "POST",
            "/v1/run/rcd-check",
            b"",
            {"Idempotency_Key": "k1"},
            503,
            "key_home_unreachable",
        ),
        ("POST", "/v1/jobs", b"{", {}, 400, "bad_request"),
        ("POST", "/v1/jobs", b"[]", {}, 400, "bad_request"),
        ("POST", "/v1/jobs", b'{"workload":"rcd-check"}', {}, 400, "bad_request"),
        (
            "POST",
            "/v1/jobs",
            b'{"workload":"rcd-check","tasks":[{"payload":1}],"more":1}',
            {},
            400,
            "bad_request",
        ),
        (
            "POST",
            "/v1/jobs",
            b'{"workload":"rcd-check","tasks":[{"payload":1}],"deadline_seconds":-1}',
            {},
            400,
            "bad_request",
        ),
        ("GET", "/v1/jobs/x?wait_seconds=never", b"", {}, 400, "bad_request"),
        ("GET", "/v1/jobs/x?wait_seconds=61", b"", {}, 400, "bad_request"),
        ("PUT", "/v1/jobs/x", b"", {}, 405, "bad_request"),
        ("GET", "/v1/requests/none", b"", {}, 404, "unknown_request"),
    ],
)
def test_invalid_input_gets_a_problem_document(
    daemon, method, path, body, headers, status, reason
):
    reply = send(daemon, method, path, body, **headers)
    problem = json.loads(reply.body)
    assert (reply.status, problem["reason"]) == (status, reason), problem
    assert reply.headers["Content-Type"] == "application/problem+json"
    assert problem["request_id"]
    assert "Traceback" not in problem["detail"]


def test_unknown_request_may_have_run(daemon):
    problem = json.loads(send(daemon, "GET", "/v1/requests/none").body)
    assert problem["verdict"] == "may_have_run"


def test_request_id_is_returned_and_assigned_if_absent(daemon):
    reply = send(daemon, "POST", "/v1/run/nope", Request_Id="abc-1")
    assert reply.headers["Request-Id"] == "abc-1"
    first_id = send(daemon, "POST", "/v1/run/nope").headers["Request-Id"]
    second_id = send(daemon, "POST", "/v1/run/nope").headers["Request-Id"]
    assert first_id != second_id


def test_refused_request_can_be_read_by_its_id(daemon):
    send(daemon, "POST", "/v1/run/nope", Request_Id="refused-1")
    record = json.loads(send(daemon, "GET", "/v1/requests/refused-1").body)
    assert record["state"] == "refused"
    assert record["refusal"]["reason"] == "unknown_workload"


def test_incomplete_body_times_out_and_the_daemon_keeps_serving(daemon):
    head = b"POST /v1/run/rcd-check HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nab"
    received = send_raw(daemon, head)
    assert b"HTTP/1.1 408" in received
    assert b'"not_run"' in received
    assert send(daemon, "GET", "/healthz").status == 200


def test_chunked_body_over_the_limit_is_refused(daemon):
    chunk = b"3e9\r\n" + b"x" * 1001 + b"\r\n0\r\n\r\n"
    head = b"POST /v1/run/rcd-check HTTP/1.1\r\nHost: x\r\n"
    head += b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
    assert b"HTTP/1.1 413" in send_raw(daemon, head + chunk)


@pytest.mark.parametrize(
    "data",
    [
        b"GET\r\n\r\n",
        b"\x00\xff\x00\r\n\r\n",
        b"GET /healthz HTTP/9.9\r\nHost: x\r\n\r\n",
        b"POST /v1/run/rcd-check HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n"
        b"Connection: close\r\n\r\n",
        b"GET /healthz HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 20_000 + b"\r\n\r\n",
    ],
    ids=["line", "bytes", "version", "length", "header"],
)
def test_malformed_http_gets_a_client_error(daemon, data):
    received = send_raw(daemon, data)
    status = int(received.split()[1])
    assert 400 <= status < 500 or status == 505
    assert b"Traceback" not in received


def test_health_and_readiness_respond(daemon):
    assert send(daemon, "GET", "/healthz").status == 200
    assert send(daemon, "GET", "/readyz").status == 200
