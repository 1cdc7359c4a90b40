"""HTTP server on cheroot that passes complete requests to a handler function."""

from __future__ import annotations

import errno
import logging
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from http import HTTPStatus
from typing import Any

from cheroot.server import Gateway, HTTPServer
from cheroot.ssl.builtin import BuiltinSSLAdapter
from cheroot.workers.threadpool import ThreadPool

LOG = logging.getLogger("papayadyke.http")
STOP_TIMEOUT_S = 1
HEADER_CODEC = "latin-1"
MAX_DISCARDED_BYTES = 16_000_000
DISCARD_CHUNK_BYTES = 65_536


class BodyError(StrEnum):
    """Cause of an incomplete request body."""

    TOO_LARGE = "too_large"
    TOO_SLOW = "too_slow"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """Complete HTTP request.

    Parameters
    ----------
    method, path, query : str
    headers : mapping of str to str
        Names in lower case.
    body : bytes
        Empty if `body_error` is set.
    remote : str
        IP address and port of the client.
    body_error : BodyError or None
    """

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    remote: str = ""
    body_error: BodyError | None = None


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """HTTP response whose `body` is sent unchanged.

    `log_fields` are not sent; the server's owner may add them to its log lines.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: Mapping[str, str] = field(default_factory=dict)
    log_fields: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of a server on incoming requests.

    Parameters
    ----------
    threads : int, default=16
        Number of requests handled concurrently.
    waiting : int, default=512
        Largest number of requests that wait for a thread; others get status 503.
    max_body_bytes : int, default=4,000,000
    max_header_bytes : int, default=32,768
    receive_timeout_s : int, default=10
        Longest time without data while a request is received, or on an idle
        keep-alive connection, in seconds.
    """

    threads: int = 16
    waiting: int = 512
    max_body_bytes: int = 4_000_000
    max_header_bytes: int = 32_768
    receive_timeout_s: int = 10


class CloseConnection(ConnectionResetError):
    """Exception with which a handler closes the connection without a response."""

    def __init__(self) -> None:
        # On this error number cheroot closes the connection without a status 500.
        super().__init__(errno.ECONNRESET, "closed without an answer")


Handler = Callable[[HttpRequest], HttpAnswer]


class HttpServer:
    """HTTP server that handles requests in threads of this process.

    Parameters
    ----------
    handler : callable
        Function from an `HttpRequest` to an `HttpAnswer`.
    host : str, default="127.0.0.1"
    port : int, default=0
        0 selects a free port, which the attribute `port` holds after `start`.
    limits : HttpLimits, default=HttpLimits()
    tls_files : tuple of str or None, default=None
        Paths of the certificate chain and of its private key, in PEM format.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        limits: HttpLimits | None = None,
        tls_files: tuple[str, str] | None = None,
    ) -> None:
        self.handler = handler
        self.host = host
        self.port = port
        self.limits = limits or HttpLimits()
        self.tls_files = tls_files
        self._is_bound = False
        self._thread: threading.Thread | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the listener."""
        return self.host, self.port

    def bind(self) -> None:
        """Bind the port; connections wait until `start` is called.

        Raises
        ------
        OSError
            If the port is in use.
        """
        limits = self.limits
        self._server = HTTPServer(
            (self.host, self.port),
            gateway=lambda req: _Gateway(req, self.handler, limits.max_body_bytes),
            minthreads=limits.threads,
            maxthreads=limits.threads,
        )
        self._server.request_queue_size = limits.waiting
        self._server.timeout = limits.receive_timeout_s
        self._server.shutdown_timeout = STOP_TIMEOUT_S
        # The constructor cannot set the queue length of the thread pool.
        self._server.requests = ThreadPool(
            self._server,
            min=limits.threads,
            max=limits.threads,
            accepted_queue_size=limits.waiting,
        )
        self._server.keep_alive_conn_limit = limits.threads + limits.waiting
        self._server.max_request_header_size = limits.max_header_bytes
        self._server.error_log = _log_error  # type: ignore[method-assign]
        if self.tls_files is not None:
            self._server.ssl_adapter = BuiltinSSLAdapter(*self.tls_files)
        self._server.prepare()
        self.port = self._server.bind_addr[1]
        self._is_bound = True

    def start(self) -> None:
        """Serve in a background thread, binding the port first if it is not bound."""
        if not self._is_bound:
            self.bind()
        self._thread = threading.Thread(
            target=self._server.serve, name=f"http-{self.port}", daemon=True
        )
        self._thread.start()

    def end_keep_alive(self) -> None:
        """Close each connection after its next response."""
        self._server.keep_alive_conn_limit = 0

    def stop(self) -> None:
        """Close the listener and wait for its thread."""
        if not self._is_bound:
            return
        self._server.stop()
        if self._thread is not None:
            self._thread.join(timeout=2 * STOP_TIMEOUT_S)


class _Gateway(Gateway):
    """Cheroot gateway that calls the handler without a WSGI environment."""

    def __init__(self, req: Any, handler: Handler, max_body_bytes: int) -> None:
        super().__init__(req)
        self.handler = handler
        self.max_body_bytes = max_body_bytes

    def respond(self) -> None:
        """Read the request, call the handler and write the response."""
        answer = self.handler(_read_request(self.req, self.max_body_bytes))
        req = self.req
        req.status = _format_status(answer.status)
        req.outheaders = [
            (b"Content-Type", _encode(answer.content_type)),
            (b"Content-Length", b"%d" % len(answer.body)),
            *(
                (_encode(name), _encode(value))
                for name, value in answer.headers.items()
            ),
        ]
        req.ensure_headers_sent()
        if answer.body:
            req.write(answer.body)


def _read_request(req: Any, max_body_bytes: int) -> HttpRequest:
    headers = {
        name.decode(HEADER_CODEC).lower(): value.decode(HEADER_CODEC)
        for name, value in req.inheaders.items()
    }
    body, error = _read_body(req, headers, max_body_bytes)
    conn = req.conn
    return HttpRequest(
        method=req.method.decode(HEADER_CODEC),
        path=req.path.decode("utf-8", "replace"),
        query=req.qs.decode(HEADER_CODEC),
        headers=headers,
        body=body,
        remote=f"{conn.remote_addr}:{conn.remote_port}",
        body_error=error,
    )


def _read_body(
    req: Any, headers: Mapping[str, str], max_body_bytes: int
) -> tuple[bytes, BodyError | None]:
    content_length = headers.get("content-length", "0")
    is_chunked = "chunked" in headers.get("transfer-encoding", "").lower()
    if not content_length.isdigit():
        return b"", BodyError.MALFORMED
    if int(content_length) > max_body_bytes:
        _discard_body(req, int(content_length))
        return b"", BodyError.TOO_LARGE
    bytes_to_read = max_body_bytes + 1 if is_chunked else int(content_length)
    if not bytes_to_read:
        return b"", None
    try:
        body = req.rfile.read(bytes_to_read)
    except TimeoutError:
        _skip_body(req)
        return b"", BodyError.TOO_SLOW
    except (OSError, ValueError):
        _skip_body(req)
        return b"", BodyError.MALFORMED
    if len(body) > max_body_bytes:
        return b"", BodyError.TOO_LARGE
    if not is_chunked and len(body) < bytes_to_read:
        return b"", BodyError.MALFORMED
    return body, None


def _skip_body(req: Any) -> None:
    """Respond without reading the rest of the body, then close the connection."""
    req.rfile.remaining = 0
    req.close_connection = True


def _discard_body(req: Any, body_bytes: int) -> None:
    """Read and discard up to `MAX_DISCARDED_BYTES` of a refused body.

    Closing a connection with unread bytes resets it, and the client may then never
    receive the response.
    """
    remaining_bytes = min(body_bytes, MAX_DISCARDED_BYTES)
    try:
        while remaining_bytes > 0:
            chunk = req.rfile.read(min(remaining_bytes, DISCARD_CHUNK_BYTES))
            if not chunk:
                return
            remaining_bytes -= len(chunk)
    except (OSError, ValueError):
        return


def _encode(text: str) -> bytes:
    return text.encode(HEADER_CODEC, "replace")


def _format_status(status: int) -> bytes:
    try:
        return _encode(f"{status} {HTTPStatus(status).phrase}")
    except ValueError:
        return _encode(f"{status} Other")


def _log_error(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    LOG.log(level, "http: %s", msg, exc_info=traceback)
