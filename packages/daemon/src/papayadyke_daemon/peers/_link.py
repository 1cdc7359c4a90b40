"""Link to one peer, whose connection is replaced if the peer stops replying.

Each call owns a context of the socket, which is how `pynng` lets several calls
share a connection. A retired connection stays open until the calls on it have
ended, while new calls use its successor.
"""

from __future__ import annotations

import contextlib
import logging
import math
import threading
import time

import pynng
from result import Err, Ok, Result

from papayadyke_core.verdicts import Verdict
from papayadyke_daemon.peers._messages import CallError
from papayadyke_daemon.peers._settings import PeerSettings
from papayadyke_daemon.peers._stats import Counters

RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 500
SEND_TIMEOUT_MS = 300
NO_RESEND = -1
NEVER_S = float("-inf")

logger = logging.getLogger(__name__)


class _Connection:
    """Socket and call state of one connection.

    Callers hold the lock of the link while they change its fields.
    """

    def __init__(self, address: str) -> None:
        self.active_calls = 0
        self.is_retired = False
        self.created_s = time.monotonic()
        self.last_reply_s = NEVER_S
        self.unanswered_calls = 0
        self.connected = threading.Event()
        # A request that nng resent by itself could not be distinguished from a
        # replayed one, and a broken connection must end its calls at once.
        self.socket = pynng.Req0(
            resend_time=NO_RESEND,
            send_timeout=SEND_TIMEOUT_MS,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        self.socket.add_post_pipe_connect_cb(lambda _: self.connected.set())
        self.socket.add_post_pipe_remove_cb(lambda _: self.connected.clear())
        self.socket.dial(f"tcp://{address}", block=False)

    def open_context(self, timeout_s: float) -> pynng.Context:
        """Open a context with a receive timeout in seconds."""
        # A context copies its timeouts from the socket when it is opened.
        self.socket.recv_timeout = max(1, math.ceil(timeout_s * 1000))
        return self.socket.new_context()


class Link:
    """Make calls to one peer; the methods may be called from any thread.

    Parameters
    ----------
    address : str
        IP number and port of the peer.
    settings : PeerSettings
    counters : Counters
    """

    def __init__(
        self, address: str, *, settings: PeerSettings, counters: Counters
    ) -> None:
        self.address = address
        self.settings = settings
        self.counters = counters
        self._lock = threading.Lock()
        self._is_closed = False
        self._last_call_s = time.monotonic()
        self._connection: _Connection | None = None

    def is_idle(self, idle_s: float) -> bool:
        """Return whether no call is active and none began in the last `idle_s` s."""
        with self._lock:
            connection = self._connection
            is_busy = connection is not None and connection.active_calls > 0
            return not is_busy and time.monotonic() - self._last_call_s >= idle_s

    def call(self, data: bytes, *, timeout_s: float) -> Result[bytes, CallError]:
        """Send a message and wait for its reply, at most `timeout_s` seconds."""
        deadline_s = time.monotonic() + timeout_s
        connection = self._acquire()
        if connection is None:
            return Err(CallError(Verdict.NOT_RUN, "the link is closed"))
        try:
            return self._call(connection, data, deadline_s)
        finally:
            self._release(connection)

    def close(self) -> None:
        """Refuse new calls; active calls continue until they end."""
        with self._lock:
            self._is_closed = True
            connection = self._connection
        if connection is not None:
            self._retire(connection)

    def _call(
        self, connection: _Connection, data: bytes, deadline_s: float
    ) -> Result[bytes, CallError]:
        wait_s = min(self.settings.connect_timeout_s, deadline_s - time.monotonic())
        if not connection.connected.wait(wait_s):
            self._retire_if_old(connection)
            return Err(CallError(Verdict.NOT_RUN, "no connection"))
        try:
            with self._lock:
                context = connection.open_context(deadline_s - time.monotonic())
        except pynng.NNGException as exc:
            return Err(CallError(Verdict.NOT_RUN, str(exc)))
        try:
            return self._exchange(connection, context, data)
        finally:
            with contextlib.suppress(pynng.NNGException):
                context.close()

    def _exchange(
        self, connection: _Connection, context: pynng.Context, data: bytes
    ) -> Result[bytes, CallError]:
        sent_s = time.monotonic()
        try:
            context.send(data)
        except pynng.NNGException as exc:
            # nng did not pass the message to a connection.
            return Err(CallError(Verdict.NOT_RUN, f"not sent: {exc}"))
        self.counters.add(sent_bytes=len(data))
        try:
            reply = context.recv()
        except pynng.Timeout:
            self._record_timeout(connection, sent_s)
            return Err(CallError(Verdict.MAY_HAVE_RUN, "no reply in time"))
        except pynng.NNGException as exc:
            return Err(CallError(Verdict.MAY_HAVE_RUN, f"no reply: {exc}"))
        with self._lock:
            connection.last_reply_s = time.monotonic()
            connection.unanswered_calls = 0
        self.counters.add(received_bytes=len(reply))
        return Ok(reply)

    def _acquire(self) -> _Connection | None:
        with self._lock:
            if self._is_closed:
                return None
            self._last_call_s = time.monotonic()
            if self._connection is None:
                self._connection = _Connection(self.address)
            self._connection.active_calls += 1
            return self._connection

    def _release(self, connection: _Connection) -> None:
        with self._lock:
            connection.active_calls -= 1
            is_done = connection.is_retired and connection.active_calls == 0
        if is_done:
            connection.socket.close()

    def _record_timeout(self, connection: _Connection, sent_s: float) -> None:
        with self._lock:
            if connection.last_reply_s >= sent_s:
                return
            connection.unanswered_calls += 1
            must_replace = connection.unanswered_calls >= self.settings.max_silent_calls
        if must_replace:
            logger.warning(
                "peers: %s does not reply, opening a new connection", self.address
            )
            self._retire(connection)

    def _retire_if_old(self, connection: _Connection) -> None:
        """Retire a connection attempt that is old, as its retries have become rare."""
        if time.monotonic() - connection.created_s >= self.settings.reconnect_after_s:
            self._retire(connection)

    def _retire(self, connection: _Connection) -> None:
        with self._lock:
            if connection.is_retired:
                return
            connection.is_retired = True
            if self._connection is connection:
                self._connection = None
            is_idle = connection.active_calls == 0
        self.counters.add(replaced=1)
        if is_idle:
            connection.socket.close()
