"""Endpoint of a daemon for calls from and to its peers."""

from __future__ import annotations

import ipaddress
import threading
from collections.abc import Callable, Sequence
from typing import TypeVar

import msgspec
from msgspec import Struct
from result import Err, Ok, Result

from papayadyke_clients.keys import Authenticator
from papayadyke_core.verdicts import Verdict
from papayadyke_daemon.peers._envelope import open_envelope, seal_envelope
from papayadyke_daemon.peers._link import Link
from papayadyke_daemon.peers._messages import (
    Ack,
    Busy,
    CallError,
    Failed,
    Handler,
    Unsupported,
)
from papayadyke_daemon.peers._post import PostThread
from papayadyke_daemon.peers._server import PeerServer
from papayadyke_daemon.peers._settings import PeerSettings
from papayadyke_daemon.peers._stats import Counters, PeerStats

JOIN_TIMEOUT_S = 2.0  # per thread that sends posted messages

R = TypeVar("R", bound=Struct)


class PeerEndpoint:
    """Serve calls of peers, and call peers.

    Parameters
    ----------
    handlers : sequence of Handler, default=()
        One per message type that is served.
    authenticator : Authenticator
        Its sender is the name of this VM.
    settings : PeerSettings
    """

    def __init__(
        self,
        handlers: Sequence[Handler] = (),
        *,
        authenticator: Authenticator,
        settings: PeerSettings,
    ) -> None:
        self.authenticator = authenticator
        self.settings = settings
        self._counters = Counters()
        self._encoder = msgspec.msgpack.Encoder()
        self._server = PeerServer(
            handlers,
            authenticator=authenticator,
            settings=settings,
            counters=self._counters,
        )
        self._lock = threading.Lock()
        self._is_stopped = False
        self._links: dict[str, Link] = {}
        self._posts: dict[str, PostThread] = {}

    @property
    def address(self) -> str:
        """IP number and port on which peers reach this endpoint."""
        return self._server.address

    def add_handlers(self, handlers: Sequence[Handler]) -> None:
        """Add handlers of further message types; call this before `start`."""
        self._server.add_handlers(handlers)

    def start(self) -> None:
        """Start to serve calls."""
        self._server.start()

    def stop(self) -> None:
        """Stop serving calls, and close the links to all peers."""
        with self._lock:
            self._is_stopped = True
            peers = list(self._links)
            posts = list(self._posts.values())
        for peer in peers:
            self.remove_peer(peer)
        for post in posts:
            post.join(JOIN_TIMEOUT_S)
        self._server.stop()

    def peers(self) -> frozenset[str]:
        """Return the names of the known peers."""
        with self._lock:
            return frozenset(self._links)

    def stats(self) -> PeerStats:
        """Return the counter totals since the start."""
        return self._counters.read()

    def add_peer(self, peer: str, address: str) -> None:
        """Add a peer, or change its address.

        Parameters
        ----------
        peer : str
        address : str
            IP number and port.

        Raises
        ------
        ValueError
            If the address is not an IP number and a port.
        """
        _validate_address(address)
        with self._lock:
            old_link = self._links.get(peer)
            is_same = old_link is not None and old_link.address == address
            if is_same or self._is_stopped:
                return
            self._links[peer] = Link(
                address, settings=self.settings, counters=self._counters
            )
        if old_link is not None:
            old_link.close()

    def remove_peer(self, peer: str) -> None:
        """Remove a peer, close its link and drop messages still queued for it."""
        with self._lock:
            link = self._links.pop(peer, None)
            post = self._posts.pop(peer, None)
        if post is not None:
            post.close()
        if link is not None:
            link.close()

    def remove_idle_peers(self, idle_s: float) -> None:
        """Remove the peers that have not been called for `idle_s` seconds.

        VMs are replaced all day, and each peer occupies a connection and a thread.
        """
        with self._lock:
            links = list(self._links.items())
        for peer, link in links:
            if link.is_idle(idle_s):
                self.remove_peer(peer)

    def call(
        self, peer: str, message: Struct, reply_type: type[R], *, timeout_s: float
    ) -> Result[R, CallError]:
        """Send a message and wait for its reply.

        Parameters
        ----------
        peer : str
        message : Struct
            Of a type for which the peer has a handler.
        reply_type : type
        timeout_s : float
            In seconds.

        Returns
        -------
        result : Result of reply_type, CallError
            The verdict of an error is `NOT_RUN` only if no handler received the
            message.
        """
        result = self._call(peer, message, reply_type, timeout_s)
        self._count(result)
        return result

    def post(
        self,
        peer: str,
        message: Struct,
        reply_type: type[R],
        *,
        timeout_s: float,
        on_result: Callable[[Result[R, CallError]], None] | None = None,
    ) -> None:
        """Send a message without waiting for its reply.

        `on_result` is called by another thread. It must return quickly, for example
        by putting the result into a queue of the caller.
        """

        def send() -> None:
            result = self.call(peer, message, reply_type, timeout_s=timeout_s)
            if on_result is not None:
                on_result(result)

        with self._lock:
            if peer not in self._links:
                return
            post = self._posts.get(peer)
            if post is None:
                post = PostThread(peer, limit=self.settings.queue)
                self._posts[peer] = post
        if not post.add(send):
            self._counters.add(dropped=1)

    def _call(
        self, peer: str, message: Struct, reply_type: type[R], timeout_s: float
    ) -> Result[R, CallError]:
        with self._lock:
            link = self._links.get(peer)
        if link is None:
            return _error(Verdict.NOT_RUN, "the peer is not known")
        body = self._encoder.encode(message)
        sealed = seal_envelope(self.authenticator, receiver=peer, reply_to=0, body=body)
        if len(sealed.data) > self.settings.max_message_bytes:
            return _error(Verdict.NOT_RUN, "the message is too large")
        answer = link.call(sealed.data, timeout_s=timeout_s)
        if isinstance(answer, Err):
            return answer
        return self._open_reply(peer, sealed.sequence, answer.ok_value, reply_type)

    def _open_reply(
        self, peer: str, sequence: int, data: bytes, reply_type: type[R]
    ) -> Result[R, CallError]:
        opened = open_envelope(self.authenticator, data)
        if isinstance(opened, Err):
            return _error(Verdict.MAY_HAVE_RUN, "the reply is not genuine")
        envelope = opened.ok_value
        if (envelope.sender, envelope.reply_to) != (peer, sequence):
            return _error(Verdict.MAY_HAVE_RUN, "the reply is to another call")
        union = reply_type | Ack | Busy | Unsupported | Failed
        try:
            reply = msgspec.msgpack.decode(envelope.body, type=union)
        except msgspec.DecodeError:
            return _error(Verdict.MAY_HAVE_RUN, "the reply is not well formed")
        if isinstance(reply, Busy):
            return _error(Verdict.NOT_RUN, "the peer is busy")
        if isinstance(reply, Unsupported):
            return _error(Verdict.NOT_RUN, "the peer does not serve the message")
        if not isinstance(reply, reply_type):
            return _error(Verdict.MAY_HAVE_RUN, "the peer failed")
        return Ok(reply)

    def _count(self, result: Result[R, CallError]) -> None:
        if isinstance(result, Ok):
            self._counters.add(calls=1)
        elif result.err_value.verdict == Verdict.NOT_RUN:
            self._counters.add(calls=1, calls_not_run=1)
        else:
            self._counters.add(calls=1, calls_may_have_run=1)


def _error(verdict: Verdict, detail: str) -> Err[CallError]:
    return Err(CallError(verdict, detail))


def _validate_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not 0 < int(port) < 2**16:
        raise ValueError(f"port {port} is out of range")
