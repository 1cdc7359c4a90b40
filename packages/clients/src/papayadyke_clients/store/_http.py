"""Client of the key-value service over HTTP."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import msgspec
import urllib3
from result import Err, Ok, Result
from urllib3.exceptions import ClosedPoolError, HTTPError, NewConnectionError

from papayadyke_clients.store import _wire as wire
from papayadyke_clients.store._types import Entry, ErrorKind, Event, StoreError

T = TypeVar("T")

HTTP_TOO_MANY_REQUESTS = 429
HTTP_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """How a client reaches the key-value service.

    Parameters
    ----------
    address : str
        IP number and port, as in "127.0.0.1:7000".
    client : str, default=""
        Name that the service sees, as in "launceston/vm-1".
    connect_timeout_s : float, default=1.0
    answer_timeout_s : float, default=2.0
        Longest wait for an answer; a watch may take `wait_s` more.
    connections : int, default=8
        Connections that are kept open.
    """

    address: str
    client: str = ""
    connect_timeout_s: float = 1.0
    answer_timeout_s: float = 2.0
    connections: int = 8


class HttpStore:
    """The key-value service over HTTP; satisfies `Store`.

    A call is sent once and never again by itself: after a lost answer only the
    one who called knows how to find out whether a write took effect. Several
    threads may share a client.

    Parameters
    ----------
    settings : StoreSettings
    """

    def __init__(self, settings: StoreSettings):
        self.settings = settings
        self._url = f"http://{settings.address}{wire.CALL_PATH}"
        self._headers = {wire.CLIENT_HEADER: settings.client}
        self._pool = urllib3.PoolManager(
            maxsize=settings.connections, block=False, retries=False
        )

    def close(self) -> None:
        """Close the connections that stand idle."""
        self._pool.clear()

    def revision(self) -> Result[int, StoreError]:
        """Return the revision of the last write, as a start for a watch."""
        return self._read(wire.Revision(), _number)

    def read(self, key: str) -> Result[Entry | None, StoreError]:
        """Return the entry of a key, or None."""
        return self._read(wire.Read(key), _entry)

    def read_prefix(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> Result[list[Entry], StoreError]:
        """Return entries in order of their keys, from behind the key `after`."""
        return self._read(wire.ReadPrefix(prefix, after, limit), _entries)

    def create(
        self, key: str, value: bytes, *, lease: int | None = None
    ) -> Result[int, StoreError]:
        """Write a key that must not exist; return its revision."""
        return self._write(wire.Create(key, value, lease), _number)

    def replace(
        self, key: str, value: bytes, *, expected: int, lease: int | None = None
    ) -> Result[int, StoreError]:
        """Write a key that must stand at the revision `expected`."""
        return self._write(wire.Replace(key, value, expected, lease), _number)

    def delete(self, key: str, *, expected: int) -> Result[int, StoreError]:
        """Delete a key that must stand at the revision `expected`."""
        return self._write(wire.Delete(key, expected), _number)

    def grant_lease(self, ttl_s: float) -> Result[int, StoreError]:
        """Return the id of a new lease; its keys go when it lapses."""
        return self._write(wire.GrantLease(ttl_s), _number)

    def renew_lease(self, lease: int) -> Result[None, StoreError]:
        """Keep a lease for another time to live."""
        return self._write(wire.RenewLease(lease), _done)

    def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> Result[list[Event], StoreError]:
        """Return events past the revision `after`, waiting for the first."""
        call = wire.Watch(prefix, after, wait_s)
        return self._read(call, _events, extra_wait_s=wait_s)

    def _read(
        self,
        call: wire.Call,
        unpack: Callable[[wire.Answer], T],
        *,
        extra_wait_s: float = 0.0,
    ) -> Result[T, StoreError]:
        return self._call(call, unpack, ErrorKind.UNAVAILABLE, extra_wait_s)

    def _write(
        self, call: wire.Call, unpack: Callable[[wire.Answer], T]
    ) -> Result[T, StoreError]:
        return self._call(call, unpack, ErrorKind.UNKNOWN, 0.0)

    def _call(
        self,
        call: wire.Call,
        unpack: Callable[[wire.Answer], T],
        if_lost: ErrorKind,
        extra_wait_s: float,
    ) -> Result[T, StoreError]:
        timeout = urllib3.Timeout(
            connect=self.settings.connect_timeout_s,
            read=self.settings.answer_timeout_s + extra_wait_s,
        )
        try:
            resp = self._pool.request(
                "POST",
                self._url,
                body=wire.encode(call),
                headers=self._headers,
                timeout=timeout,
                retries=False,
            )
        except ClosedPoolError:
            # Another call has dropped the idle connections; nothing was sent.
            return self._call(call, unpack, if_lost, extra_wait_s)
        except (NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as exc:
            return Err(StoreError(ErrorKind.UNAVAILABLE, f"no connection: {exc}"))
        except (HTTPError, OSError) as exc:
            # The idle connections may have gone silent together with this one.
            self._pool.clear()
            return Err(StoreError(if_lost, f"answer lost: {exc}"))
        if resp.status in (HTTP_TOO_MANY_REQUESTS, HTTP_UNAVAILABLE):
            return Err(StoreError(ErrorKind.UNAVAILABLE, f"status {resp.status}"))
        return _unpack(resp.data, unpack, if_lost)


def _unpack(
    body: bytes, unpack: Callable[[wire.Answer], T], if_lost: ErrorKind
) -> Result[T, StoreError]:
    try:
        answer = wire.answer_decoder.decode(body)
        if isinstance(answer, wire.Failure):
            return Err(StoreError(answer.kind, answer.detail))
        return Ok(unpack(answer))
    except (msgspec.DecodeError, TypeError) as exc:
        return Err(StoreError(if_lost, f"answer not understood: {exc}"))


def _entry(answer: wire.Answer) -> Entry | None:
    if not isinstance(answer, wire.EntryAnswer):
        raise TypeError(type(answer).__name__)
    return answer.entry


def _entries(answer: wire.Answer) -> list[Entry]:
    if not isinstance(answer, wire.EntriesAnswer):
        raise TypeError(type(answer).__name__)
    return answer.entries


def _number(answer: wire.Answer) -> int:
    if not isinstance(answer, wire.NumberAnswer):
        raise TypeError(type(answer).__name__)
    return answer.number


def _done(answer: wire.Answer) -> None:
    if not isinstance(answer, wire.DoneAnswer):
        raise TypeError(type(answer).__name__)


def _events(answer: wire.Answer) -> list[Event]:
    if not isinstance(answer, wire.EventsAnswer):
        raise TypeError(type(answer).__name__)
    return answer.events
