"""Test the HTTP client of one server."""

import socket

import pytest

from papayadyke_clients.http import HttpExchange

REQUEST_BYTES = 32 << 20  # more than the buffers of both sides hold


@pytest.mark.parametrize("resets", [True, False])
def test_bytes_of_a_request_that_was_given_up_on_are_discarded(resets):
    """Guards against orders that a cut holds up and that arrive once it heals."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        host, port = server.getsockname()
        exchange = HttpExchange(
            host, port, kept=1, connect_timeout_s=5.0, resets_on_close=resets
        )
        body = bytes(REQUEST_BYTES)
        assert exchange.send("POST", "/", body=body, timeout_s=0.2).is_err()
        conn, _ = server.accept()
        with conn:
            conn.settimeout(5.0)
            is_reset = False
            try:
                while conn.recv(1 << 20):
                    pass
            except ConnectionResetError:
                is_reset = True
    assert is_reset is resets
