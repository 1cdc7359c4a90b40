"""Receives the calls of peers and has them served."""

from __future__ import annotations

import contextlib
import functools
import logging
import operator
import queue
import threading
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor

import msgspec
import pynng
from msgspec import Struct

from papayadyke_clients.keys import Authenticator, SealFault
from papayadyke_daemon.peers._envelope import (
    Malformed,
    Opened,
    open_envelope,
    seal_envelope,
)
from papayadyke_daemon.peers._messages import Ack, Busy, Failed, Handler, Unsupported
from papayadyke_daemon.peers._settings import PeerSettings
from papayadyke_daemon.peers._stats import Counters

STOP_TIMEOUT_S = 5.0
FLUSH_S = 0.1

logger = logging.getLogger(__name__)


class PeerServer:
    """Owns the listening socket; its thread receives and serves quick calls.

    A slow call is passed with its context to a thread of a pool, which owns the
    context until the reply is sent.

    Parameters
    ----------
    handlers : sequence of Handler
        One for each type of message.
    authenticator : Authenticator
    settings : PeerSettings
    counters : Counters
    """

    def __init__(
        self,
        handlers: Sequence[Handler],
        *,
        authenticator: Authenticator,
        settings: PeerSettings,
        counters: Counters,
    ) -> None:
        self.authenticator = authenticator
        self.settings = settings
        self.counters = counters
        self._handlers: dict[type[Struct], Handler] = {}
        self.add_handlers(handlers)
        self._encoder = msgspec.msgpack.Encoder()
        self._idle: queue.SimpleQueue[pynng.Context] = queue.SimpleQueue()
        self._slow = threading.BoundedSemaphore(settings.slow_calls)
        self._pool = ThreadPoolExecutor(settings.slow_calls, "peers-slow")
        self._socket = pynng.Rep0(recv_max_size=settings.max_message_bytes)
        self._listener = self._socket.listen(f"tcp://{settings.host}:{settings.port}")
        self._is_stopping = False
        self._thread = threading.Thread(
            target=self._run, name="peers-server", daemon=True
        )

    @property
    def address(self) -> str:
        """IP number and port that peers call."""
        return str(self._listener.local_address)

    def add_handlers(self, handlers: Sequence[Handler]) -> None:
        """Serve further types of messages; only before the start."""
        self._handlers.update({handler.message: handler for handler in handlers})
        types = functools.reduce(operator.or_, self._handlers, Ack)
        self._decoder = msgspec.msgpack.Decoder(types)

    def start(self) -> None:
        """Begin to receive."""
        self._thread.start()

    def stop(self) -> None:
        """Refuse new slow calls, wait for those being served, and close.

        The listener stays open meanwhile: nng would close the connections on
        which the last replies are sent along with it.
        """
        self._is_stopping = True
        self._pool.shutdown(wait=True)
        time.sleep(FLUSH_S)
        self._socket.close()
        if self._thread.ident is not None:
            self._thread.join(STOP_TIMEOUT_S)
        while not self._idle.empty():
            _close(self._idle.get())

    def _run(self) -> None:
        while True:
            try:
                context = self._take_context()
            except pynng.Closed:
                return
            try:
                self._receive(context)
            except pynng.Closed:
                _close(context)
                return
            except pynng.NNGException as exc:
                logger.warning("peers: a call was not received: %s", exc)
                _close(context)

    def _take_context(self) -> pynng.Context:
        try:
            return self._idle.get_nowait()
        except queue.Empty:
            return self._socket.new_context()

    def _receive(self, context: pynng.Context) -> None:
        data = context.recv()
        self.counters.add(received_bytes=len(data))
        opened = open_envelope(self.authenticator, data)
        if opened.is_err():
            self._count_fault(opened.unwrap_err())
            # Nobody without a key gets a reply. A context that receives again
            # drops the call that it has.
            self._idle.put(context)
            return
        self._dispatch(context, opened.unwrap())

    def _dispatch(self, context: pynng.Context, opened: Opened) -> None:
        try:
            message = self._decoder.decode(opened.body)
        except msgspec.DecodeError:
            self.counters.add(malformed=1)
            self._reply(context, opened, Unsupported())
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            self._reply(context, opened, Unsupported())
        elif not handler.is_slow:
            self._serve(handler, message, context, opened)
        elif not self._submit(handler, message, context, opened):
            self.counters.add(busy=1)
            self._reply(context, opened, Busy())

    def _submit(
        self, handler: Handler, message: Struct, context: pynng.Context, opened: Opened
    ) -> bool:
        if self._is_stopping or not self._slow.acquire(blocking=False):
            return False
        try:
            self._pool.submit(self._serve_slow, handler, message, context, opened)
        except RuntimeError:
            # The pool was shut down meanwhile.
            self._slow.release()
            return False
        return True

    def _serve_slow(
        self, handler: Handler, message: Struct, context: pynng.Context, opened: Opened
    ) -> None:
        try:
            self._serve(handler, message, context, opened)
        finally:
            self._slow.release()

    def _serve(
        self, handler: Handler, message: Struct, context: pynng.Context, opened: Opened
    ) -> None:
        try:
            reply = handler.function(message, opened.sender) or Ack()
        except Exception:
            logger.exception("peers: a handler failed")
            reply = Failed()
        self.counters.add(served=1)
        self._reply(context, opened, reply)

    def _reply(self, context: pynng.Context, opened: Opened, reply: Struct) -> None:
        sealed = seal_envelope(
            self.authenticator,
            receiver=opened.sender,
            reply_to=opened.sequence,
            body=self._encoder.encode(reply),
        )
        try:
            context.send(sealed.data)
        except pynng.NNGException as exc:
            logger.info("peers: a reply to %s was not sent: %s", opened.sender, exc)
        else:
            self.counters.add(sent_bytes=len(sealed.data))
        self._idle.put(context)

    def _count_fault(self, fault: SealFault | Malformed) -> None:
        if fault == SealFault.FORGED:
            self.counters.add(forged=1)
        elif fault == SealFault.REPLAYED:
            self.counters.add(replayed=1)
        else:
            self.counters.add(malformed=1)


def _close(context: pynng.Context) -> None:
    with contextlib.suppress(pynng.NNGException):
        context.close()
