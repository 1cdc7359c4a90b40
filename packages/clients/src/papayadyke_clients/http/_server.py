"""An HTTP server on cheroot that hands whole requests to one function."""

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
    """Why the body of a request could not be read whole."""

    TOO_LARGE = "too_large"
    TOO_SLOW = "too_slow"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One request, read whole.

    Parameters
    ----------
    method, path, query : str
    headers : mapping of str to str
        Names in lower case.
    body : bytes
        Empty where `body_error` is set.
    remote : str
        IP number and port of the other end.
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
    """One answer; `body` goes out as it is."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of a server on what comes in.

    Parameters
    ----------
    threads : int, default=16
        Requests that are handled at once.
    waiting : int, default=512
        Requests that may wait for a thread; past it the answer is 503.
    max_body_bytes : int, default=4,000,000
    max_header_bytes : int, default=32,768
    receive_timeout_s : int, default=10
        Longest silence of a sender, and of a connection that is kept open.
    """

    threads: int = 16
    waiting: int = 512
    max_body_bytes: int = 4_000_000
    max_header_bytes: int = 32_768
    receive_timeout_s: int = 10


class CloseConnection(ConnectionResetError):
    """Raised by a handler to close the connection without an answer."""

    def __init__(self) -> None:
        # The server closes quietly on this error number, without a status 500.
        super().__init__(errno.ECONNRESET, "closed without an answer")


Handler = Callable[[HttpRequest], HttpAnswer]


class HttpServer:
    """An HTTP server in threads of this process.

    Parameters
    ----------
    handler : callable
        Takes an `HttpRequest` and returns an `HttpAnswer`.
    host : str, default="127.0.0.1"
    port : int, default=0
        Zero lets the system choose; `port` holds the choice after `start`.
    limits : HttpLimits, default=HttpLimits()
    tls_files : tuple of str or None, default=None
        Files of the certificate chain and of its key, in PEM.
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
        """Host and port."""
        return self.host, self.port

    def bind(self) -> None:
        """Take the port; requests wait until `start` is called.

        Raises
        ------
        OSError
            If the port is taken.
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
        # The pool was made by the constructor, which takes no length of a queue.
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
        """Serve in the background, binding first if `bind` was not called."""
        if not self._is_bound:
            self.bind()
        self._thread = threading.Thread(
            target=self._server.serve, name=f"http-{self.port}", daemon=True
        )
        self._thread.start()

    def end_keep_alive(self) -> None:
        """Close each connection after the answer that it gets next."""
        self._server.keep_alive_conn_limit = 0

    def stop(self) -> None:
        """Close the listener and wait for its thread."""
        if not self._is_bound:
            return
        self._server.stop()
        if self._thread is not None:
            self._thread.join(timeout=2 * STOP_TIMEOUT_S)


class _Gateway(Gateway):
    """Answers one request without the detour of a WSGI environment."""

    def __init__(self, req: Any, handler: Handler, max_body_bytes: int) -> None:
        super().__init__(req)
        self.handler = handler
        self.max_body_bytes = max_body_bytes

    def respond(self) -> None:
        """Read the request, have it handled, and write the answer."""
        answer = self.handler(_read_request(self.req, self.max_body_bytes))
        req = self.req
        req.status = _write_status(answer.status)
        req.outheaders = [
            (b"Content-Type", _encode(answer.content_type)),
            (b"Content-Length", b"%d" % len(answer.body)),
            *((_encode(name), _encode(text)) for name, text in answer.headers.items()),
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
    declared = headers.get("content-length", "0")
    chunked = "chunked" in headers.get("transfer-encoding", "").lower()
    if not declared.isdigit():
        return b"", BodyError.MALFORMED
    if int(declared) > max_body_bytes:
        _discard_body(req, int(declared))
        return b"", BodyError.TOO_LARGE
    wanted = max_body_bytes + 1 if chunked else int(declared)
    if not wanted:
        return b"", None
    try:
        body = req.rfile.read(wanted)
    except TimeoutError:
        _give_up_body(req)
        return b"", BodyError.TOO_SLOW
    except (OSError, ValueError):
        _give_up_body(req)
        return b"", BodyError.MALFORMED
    if len(body) > max_body_bytes:
        return b"", BodyError.TOO_LARGE
    if not chunked and len(body) < wanted:
        return b"", BodyError.MALFORMED
    return body, None


def _give_up_body(req: Any) -> None:
    """Keep the server from reading the rest before it answers."""
    req.rfile.remaining = 0
    req.close_connection = True


def _discard_body(req: Any, declared: int) -> None:
    """Read a body that is refused, as far as that is cheap.

    A connection that is closed with unread bytes is reset, and the sender may
    then not get to see the answer.
    """
    left = min(declared, MAX_DISCARDED_BYTES)
    try:
        while left > 0:
            part = req.rfile.read(min(left, DISCARD_CHUNK_BYTES))
            if not part:
                return
            left -= len(part)
    except (OSError, ValueError):
        return


def _encode(text: str) -> bytes:
    return text.encode(HEADER_CODEC, "replace")


def _write_status(status: int) -> bytes:
    try:
        return _encode(f"{status} {HTTPStatus(status).phrase}")
    except ValueError:
        return _encode(f"{status} Other")


def _log_error(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    LOG.log(level, "http: %s", msg, exc_info=traceback)
