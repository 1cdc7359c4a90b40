"""Server that receives the calls of peers and dispatches them to handlers."""

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
    OpenedMessage,
    open_envelope,
    seal_envelope,
)
from papayadyke_daemon.peers._messages import Ack, Busy, Failed, Handler, Unsupported
from papayadyke_daemon.peers._settings import PeerSettings
from papayadyke_daemon.peers._stats import Counters

STOP_TIMEOUT_S = 5.0
FLUSH_WAIT_S = 0.1  # lets nng send the last replies before the socket closes

logger = logging.getLogger(__name__)


class PeerServer:
    """Own the listening socket, receive calls and run their handlers.

    The receiving thread runs the handlers of quick calls itself. It passes a slow
    call with its context to a thread pool; the pool thread owns the context until
    the reply is sent.

    Parameters
    ----------
    handlers : sequence of Handler
        One per message type.
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
        self._idle_contexts: queue.SimpleQueue[pynng.Context] = queue.SimpleQueue()
        self._slow_slots = threading.BoundedSemaphore(settings.max_slow_calls)
        self._pool = ThreadPoolExecutor(settings.max_slow_calls, "peers-slow")
        self._socket = pynng.Rep0(recv_max_size=settings.max_message_bytes)
        self._listener = self._socket.listen(f"tcp://{settings.host}:{settings.port}")
        self._is_stopping = False
        self._thread = threading.Thread(
            target=self._run, name="peers-server", daemon=True
        )

    @property
    def address(self) -> str:
        """IP number and port on which peers reach this server."""
        return str(self._listener.local_address)

    def add_handlers(self, handlers: Sequence[Handler]) -> None:
        """Add handlers of further message types; call this before `start`."""
        self._handlers.update({handler.message: handler for handler in handlers})
        types = functools.reduce(operator.or_, self._handlers, Ack)
        self._decoder = msgspec.msgpack.Decoder(types)

    def start(self) -> None:
        """Start the receiving thread."""
        self._thread.start()

    def stop(self) -> None:
        """Refuse new slow calls, wait for the active ones, and close.

        The listener stays open until then: closing it would also close the
        connections on which the last replies are sent.
        """
        self._is_stopping = True
        self._pool.shutdown(wait=True)
        time.sleep(FLUSH_WAIT_S)
        self._socket.close()
        if self._thread.ident is not None:
            self._thread.join(STOP_TIMEOUT_S)
        while not self._idle_contexts.empty():
            _close(self._idle_contexts.get())

    def _run(self) -> None:
        while True:
            try:
                context = self._get_context()
            except pynng.Closed:
                return
            try:
                self._receive(context)
            except pynng.Closed:
                _close(context)
                return
            except pynng.NNGException as exc:
                logger.warning("peers: receiving a call failed: %s", exc)
                _close(context)

    def _get_context(self) -> pynng.Context:
        try:
            return self._idle_contexts.get_nowait()
        except queue.Empty:
            return self._socket.new_context()

    def _receive(self, context: pynng.Context) -> None:
        data = context.recv()
        self.counters.add(received_bytes=len(data))
        result = open_envelope(self.authenticator, data)
        if result.is_err():
            self._count_fault(result.unwrap_err())
            # A sender without a valid key gets no reply. A context that receives
            # again drops its pending call.
            self._idle_contexts.put(context)
            return
        self._dispatch(context, result.unwrap())

    def _dispatch(self, context: pynng.Context, request: OpenedMessage) -> None:
        try:
            message = self._decoder.decode(request.body)
        except msgspec.DecodeError:
            self.counters.add(malformed=1)
            self._reply(context, request, Unsupported())
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            self._reply(context, request, Unsupported())
        elif not handler.is_slow:
            self._serve(handler, message, context, request)
        elif not self._submit(handler, message, context, request):
            self.counters.add(busy=1)
            self._reply(context, request, Busy())

    def _submit(
        self,
        handler: Handler,
        message: Struct,
        context: pynng.Context,
        request: OpenedMessage,
    ) -> bool:
        if self._is_stopping or not self._slow_slots.acquire(blocking=False):
            return False
        try:
            self._pool.submit(self._serve_slow, handler, message, context, request)
        except RuntimeError:
            # The pool was shut down in the meantime.
            self._slow_slots.release()
            return False
        return True

    def _serve_slow(
        self,
        handler: Handler,
        message: Struct,
        context: pynng.Context,
        request: OpenedMessage,
    ) -> None:
        try:
            self._serve(handler, message, context, request)
        finally:
            self._slow_slots.release()

    def _serve(
        self,
        handler: Handler,
        message: Struct,
        context: pynng.Context,
        request: OpenedMessage,
    ) -> None:
        try:
            reply = handler.function(message, request.sender) or Ack()
        except Exception:
            logger.exception("peers: handling a call failed")
            reply = Failed()
        self.counters.add(served=1)
        self._reply(context, request, reply)

    def _reply(
        self, context: pynng.Context, request: OpenedMessage, reply: Struct
    ) -> None:
        sealed = seal_envelope(
            self.authenticator,
            receiver=request.sender,
            reply_to=request.sequence,
            body=self._encoder.encode(reply),
        )
        try:
            context.send(sealed.data)
        except pynng.NNGException as exc:
            logger.info("peers: sending a reply to %s failed: %s", request.sender, exc)
        else:
            self.counters.add(sent_bytes=len(sealed.data))
        self._idle_contexts.put(context)

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
