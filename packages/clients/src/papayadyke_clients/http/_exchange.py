"""HTTP client with persistent connections to one server, for small requests.

It uses urllib3 connections without the urllib3 pool, whose redirects and retries
are not needed here and take a third of the time of a small request.
"""

from __future__ import annotations

import socket
import struct
import threading
from collections.abc import Mapping
from dataclasses import dataclass
from http.client import HTTPException

from result import Err, Ok, Result
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 3
# Connections in a row that a server closes after its response if it keeps none.
CLOSED_IN_ROW = 3

SOCKET_OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
]
# Closing a socket with this option resets the connection at once, also when its process
# is killed.
RESET_ON_CLOSE: list[tuple[int, int, int | bytes]] = [
    (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
]


@dataclass(frozen=True, slots=True)
class HttpReply:
    """Complete HTTP response.

    Parameters
    ----------
    status : int
    headers : mapping of str to str
        Names are case-insensitive.
    body : bytes
    """

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class ExchangeError:
    """Cause of a missing response.

    Parameters
    ----------
    was_sent : bool
        False only if no byte of the request was sent.
    detail : str
    """

    was_sent: bool
    detail: str


class HttpExchange:
    """Thread-safe HTTP client of one server.

    Parameters
    ----------
    host : str
        IP address.
    port : int
    kept : int
        Largest number of idle connections kept open; more may be in use.
    connect_timeout_s : float
    resets_on_close : bool, default=False
        Whether requests that are given up on must not arrive later. Bytes that were
        not delivered are discarded when a connection is closed.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        kept: int,
        connect_timeout_s: float,
        resets_on_close: bool = False,
    ) -> None:
        self.host = host
        self.port = port
        self.kept = kept
        self.connect_timeout_s = connect_timeout_s
        self._socket_options = SOCKET_OPTIONS + RESET_ON_CLOSE * resets_on_close
        self._idle: list[HTTPConnection] = []
        self._closed_in_row = 0
        self._lock = threading.Lock()

    def send(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_s: float,
        reuses_connection: bool = False,
    ) -> Result[HttpReply, ExchangeError]:
        """Send a request and wait for the complete response.

        Parameters
        ----------
        method, path : str
        body : bytes, default=b""
        headers : mapping of str to str, optional
        timeout_s : float
            Longest time without data from the server, in seconds.
        reuses_connection : bool, default=False
            Whether to fail rather than send on a new connection, which another process
            may answer than the one that answered before. Without effect if the server
            closes each connection.
        """
        conn = self._acquire()
        if reuses_connection and conn.sock is None and not self._is_closed_each_time:
            return Err(ExchangeError(False, "ConnectionClosed"))
        try:
            if conn.sock is None:
                conn.timeout = self.connect_timeout_s
                conn.connect()
        except (HTTPError, OSError) as exc:
            conn.close()
            return Err(ExchangeError(False, type(exc).__name__))
        try:
            conn.timeout = timeout_s
            conn.sock.settimeout(timeout_s)
            conn.request(method, path, body=body, headers=headers)
            response = conn.getresponse()
            reply = HttpReply(response.status, response.headers, response.data)
        except (HTTPError, HTTPException, OSError) as exc:
            conn.close()
            return Err(ExchangeError(True, type(exc).__name__))
        self._release(conn, response.headers.get("Connection", ""))
        return Ok(reply)

    def is_connected(self) -> bool:
        """Return whether a connection is idle, or the server closes each one."""
        with self._lock:
            return self._is_closed_each_time or any(
                conn.is_connected for conn in self._idle
            )

    @property
    def _is_closed_each_time(self) -> bool:
        """Whether the server keeps no connection; one that stops closes its last."""
        return self._closed_in_row >= CLOSED_IN_ROW

    def drop_idle(self) -> None:
        """Close the idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for conn in idle:
            conn.close()

    def _acquire(self) -> HTTPConnection:
        while True:
            with self._lock:
                conn = self._idle.pop() if self._idle else None
            if conn is None:
                return HTTPConnection(
                    self.host, self.port, socket_options=self._socket_options
                )
            # The server may have closed the connection while it was idle.
            if conn.is_connected:
                return conn
            conn.close()

    def _release(self, conn: HTTPConnection, connection_header: str) -> None:
        if connection_header.lower() == "close":
            self._closed_in_row += 1
            conn.close()
            return
        self._closed_in_row = 0
        with self._lock:
            if len(self._idle) < self.kept:
                self._idle.append(conn)
                return
        conn.close()
