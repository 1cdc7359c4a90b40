"""Serve and send calls between the VMs over pynng."""

from __future__ import annotations

import contextlib
import logging
import threading
from collections.abc import Callable

import msgspec
import pynng
from result import Err, Ok, Result

from papayadyke_core.verdicts import Verdict
from papayadyke_daemon.edge._messages import Message, decode_message, encode_message
from papayadyke_daemon.peers._link import Link
from papayadyke_daemon.peers._messages import CallError
from papayadyke_daemon.peers._settings import PeerSettings
from papayadyke_daemon.peers._stats import Counters

LOG = logging.getLogger(__name__)

# Concurrent calls; one may wait for the advisory service, and `RELAY_SLOTS` of them
# for the store.
SERVING_THREADS = 12
RELAY_SLOTS = 6
CALL_TIMEOUT_S = 0.4  # seconds; VMs normally answer in a few milliseconds


class PeerServer:
    """Answer calls of other VMs.

    Parameters
    ----------
    address : str
        IP number and port to listen on.
    handle : callable
        Called with a message; returns the reply.
    """

    def __init__(self, address: str, handle: Callable[[Message], Message]) -> None:
        self.address = address
        self._handle = handle
        self._socket = pynng.Rep0()
        self._is_closed = False

    def start(self) -> None:
        """Listen, and serve calls on background threads."""
        self._socket.listen(f"tcp://{self.address}")
        for number in range(SERVING_THREADS):
            threading.Thread(
                target=self._serve, name=f"peer-{number}", daemon=True
            ).start()

    def close(self) -> None:
        """Close the socket, which ends the serving threads."""
        self._is_closed = True
        self._socket.close()

    def _serve(self) -> None:
        # Closing the context of a closed socket raises, which ends the thread too.
        with (
            contextlib.suppress(pynng.Closed),
            self._socket.new_context() as context,
        ):
            while not self._is_closed:
                try:
                    data = context.recv()
                    reply = self._handle(decode_message(data))
                    context.send(encode_message(reply))
                except pynng.Closed:
                    return
                except pynng.NNGException as exc:
                    LOG.warning(
                        "peers: receiving a call or sending its reply failed: %s", exc
                    )
                except msgspec.DecodeError as exc:
                    LOG.warning("peers: a call could not be decoded: %s", exc)
                except Exception:
                    LOG.exception("peers: handling a call failed")


class PeerClients:
    """Call other VMs, over one link to each VM that has been called."""

    def __init__(self) -> None:
        self._links: dict[str, Link] = {}
        self._lock = threading.Lock()
        self._counters = Counters()
        self._settings = PeerSettings()

    def call(
        self, address: str, message: Message, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> Result[Message, CallError]:
        """Call a VM and wait for its reply.

        After an error with the verdict `NOT_RUN` the message was not sent.
        """
        with self._lock:
            link = self._links.get(address)
            if link is None:
                link = self._links[address] = Link(
                    address, settings=self._settings, counters=self._counters
                )
        answer = link.call(encode_message(message), timeout_s=timeout_s)
        if isinstance(answer, Err):
            return answer
        try:
            return Ok(decode_message(answer.ok_value))
        except msgspec.DecodeError as exc:
            return Err(CallError(Verdict.MAY_HAVE_RUN, str(exc)))

    def keep_only(self, addresses: set[str]) -> None:
        """Close the links to all other addresses."""
        with self._lock:
            removed = [address for address in self._links if address not in addresses]
            links = [self._links.pop(address) for address in removed]
        for link in links:
            link.close()
