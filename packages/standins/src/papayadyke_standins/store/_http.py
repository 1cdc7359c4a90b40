"""HTTP server of the stand-in store."""

from __future__ import annotations

import errno
import threading

import msgspec
from cheroot.server import Gateway, HTTPServer
from result import Err, Result

from papayadyke_clients.store import ErrorKind, StoreError
from papayadyke_clients.store import _wire as wire
from papayadyke_standins.store._faults import Faults
from papayadyke_standins.store._memory import MemoryStore, StoreService

FAULTS_PATH = "/control/v1/faults"
COUNTS_PATH = "/control/v1/counts"
LAPSE_PATH = "/control/v1/lapse"
MAX_BODY_BYTES = 2_000_000
STATUS_BY_ERROR = {
    ErrorKind.CONFLICT: b"409 Conflict",
    ErrorKind.INVALID: b"400 Bad Request",
    ErrorKind.UNAVAILABLE: b"503 Service Unavailable",
}
STATUS_OK = b"200 OK"


class ExpireLease(msgspec.Struct, forbid_unknown_fields=True):
    """Control request that expires one lease, or all leases if it names none."""

    lease: int | None = None


class StoreStandin:
    """Stand-in store that listens on the loopback interface.

    Parameters
    ----------
    service : StoreService or None, default=None
        Service to serve; None creates one.
    host : str, default="127.0.0.1"
    port : int, default=0
        Port to listen on; 0 selects a free port.
    threads : int, default=48
        Number of calls served concurrently; a waiting watch occupies a thread.

    Attributes
    ----------
    service : StoreService
        Gives access to faults and counters without the control paths.
    """

    def __init__(
        self,
        service: StoreService | None = None,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        threads: int = 48,
    ):
        self.service = service or StoreService()
        self.host = host
        self.port = port
        self.threads = threads
        self._server: HTTPServer | None = None
        self._thread: threading.Thread | None = None

    @property
    def address(self) -> str:
        """IP address and port; available after `start`."""
        if self._server is None:
            raise RuntimeError("not started")
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def start(self) -> StoreStandin:
        """Bind the port and serve calls in a background thread."""
        service = self.service

        class _BoundGateway(_StoreGateway):
            def __init__(self, req):
                super().__init__(req, service)

        server = HTTPServer(
            (self.host, self.port),
            _BoundGateway,
            minthreads=self.threads,
            maxthreads=-1,
        )
        server.max_request_body_size = MAX_BODY_BYTES
        server.shutdown_timeout = 1
        server.prepare()
        self._server = server
        self._thread = threading.Thread(
            target=server.serve, name="store-standin", daemon=True
        )
        self._thread.start()
        return self

    def stop(self) -> None:
        """Close the port and every connection."""
        if self._server is None or self._thread is None:
            return
        self.service.set_faults(Faults(down=True))
        self._server.stop()
        self._thread.join()
        self._server = None


class _StoreGateway(Gateway):
    """Handler of one HTTP request."""

    def __init__(self, req, service: StoreService):
        super().__init__(req)
        self.service = service

    def respond(self) -> None:
        path = self.req.path.decode("ascii", "replace")
        body = self.req.rfile.read() if self.req.method == b"POST" else b""
        try:
            status, answer = self._answer(path, body)
        except msgspec.DecodeError as exc:
            failure = wire.Failure(ErrorKind.INVALID, str(exc))
            status, answer = STATUS_BY_ERROR[ErrorKind.INVALID], wire.encode(failure)
        self.req.status = status
        self.req.outheaders = [(b"Content-Length", str(len(answer)).encode())]
        self.req.ensure_headers_sent()
        self.req.write(answer)

    def _answer(self, path: str, body: bytes) -> tuple[bytes, bytes]:
        if path == wire.CALL_PATH:
            return self._call(wire.call_decoder.decode(body))
        if path == FAULTS_PATH:
            self.service.set_faults(msgspec.json.decode(body, type=Faults))
            return STATUS_OK, b"{}"
        if path == COUNTS_PATH:
            return STATUS_OK, msgspec.json.encode(self.service.counts())
        if path == LAPSE_PATH:
            self.service.lapse(msgspec.json.decode(body, type=ExpireLease).lease)
            return STATUS_OK, b"{}"
        return b"404 Not Found", b""

    def _call(self, call: wire.Call) -> tuple[bytes, bytes]:
        name = self.req.inheaders.get(wire.CLIENT_HEADER.encode(), b"")
        store = MemoryStore(self.service, client=name.decode("ascii", "replace"))
        result = _execute(store, call)
        if isinstance(result, Err):
            return _failure(result.err_value)
        return STATUS_OK, wire.encode(_make_answer(call, result.ok_value))


def _failure(error: StoreError) -> tuple[bytes, bytes]:
    if error.kind is ErrorKind.UNKNOWN:
        # The server handles this as a client disconnect: it closes the connection
        # without an answer.
        raise ConnectionResetError(errno.ECONNRESET, error.detail)
    return STATUS_BY_ERROR[error.kind], wire.encode(
        wire.Failure(error.kind, error.detail)
    )


def _execute(store: MemoryStore, call: wire.Call) -> Result:
    match call:
        case wire.Revision():
            return store.revision()
        case wire.Read(key):
            return store.read(key)
        case wire.ReadPrefix(prefix, after, limit):
            return store.read_prefix(prefix, after=after, limit=limit)
        case wire.Create(key, value, lease):
            return store.create(key, value, lease=lease)
        case wire.Replace(key, value, expected, lease):
            return store.replace(key, value, expected=expected, lease=lease)
        case wire.Delete(key, expected):
            return store.delete(key, expected=expected)
        case wire.GrantLease(ttl_s):
            return store.grant_lease(ttl_s)
        case wire.RenewLease(lease):
            return store.renew_lease(lease)
        case wire.Watch(prefix, after, wait_s):
            return store.watch(prefix, after=after, wait_s=wait_s)


def _make_answer(call: wire.Call, value) -> wire.Answer:
    match call:
        case wire.Read():
            return wire.EntryAnswer(value)
        case wire.ReadPrefix():
            return wire.EntriesAnswer(value)
        case wire.Watch():
            return wire.EventsAnswer(value)
        case wire.RenewLease():
            return wire.DoneAnswer()
        case _:
            return wire.NumberAnswer(value)
