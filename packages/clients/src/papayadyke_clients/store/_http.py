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
    """Address, timeouts and connection limit of an `HttpStore`.

    Parameters
    ----------
    address : str
        IP address and port, for example "127.0.0.1:7000".
    client : str, default=""
        Client name sent to the service, for example "launceston/vm-1".
    connect_timeout_s : float, default=1.0
    answer_timeout_s : float, default=2.0
        Longest wait for an answer, in seconds; a watch waits `wait_s` longer.
    connections : int, default=8
        Largest number of idle connections kept open.
    """

    address: str
    client: str = ""
    connect_timeout_s: float = 1.0
    answer_timeout_s: float = 2.0
    connections: int = 8


class HttpStore:
    """Client of the key-value service over HTTP; implements `Store`.

    Calls are not retried: after a lost answer only the calling code knows how to
    find out whether a write took effect. The client is thread-safe.

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
        """Close the idle connections."""
        self._pool.clear()

    def revision(self) -> Result[int, StoreError]:
        """Return the revision of the last write, from which a watch can start."""
        return self._read(wire.Revision(), _unpack_number)

    def read(self, key: str) -> Result[Entry | None, StoreError]:
        """Return the entry of a key, or None if the key does not exist."""
        return self._read(wire.Read(key), _unpack_entry)

    def read_prefix(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> Result[list[Entry], StoreError]:
        """Return up to `limit` entries in key order, starting after the key `after`."""
        return self._read(wire.ReadPrefix(prefix, after, limit), _unpack_entries)

    def create(
        self, key: str, value: bytes, *, lease: int | None = None
    ) -> Result[int, StoreError]:
        """Create a key that must not exist, and return its revision."""
        return self._write(wire.Create(key, value, lease), _unpack_number)

    def replace(
        self, key: str, value: bytes, *, expected: int, lease: int | None = None
    ) -> Result[int, StoreError]:
        """Overwrite a key whose revision must be `expected`; return the new one."""
        return self._write(wire.Replace(key, value, expected, lease), _unpack_number)

    def delete(self, key: str, *, expected: int) -> Result[int, StoreError]:
        """Delete a key whose revision must be `expected`."""
        return self._write(wire.Delete(key, expected), _unpack_number)

    def grant_lease(self, ttl_s: float) -> Result[int, StoreError]:
        """Return the id of a new lease; its keys are deleted when it expires."""
        return self._write(wire.GrantLease(ttl_s), _unpack_number)

    def renew_lease(self, lease: int) -> Result[None, StoreError]:
        """Extend a lease by its time to live."""
        return self._write(wire.RenewLease(lease), _unpack_done)

    def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> Result[list[Event], StoreError]:
        """Return events newer than the revision `after`, waiting for the first."""
        call = wire.Watch(prefix, after, wait_s)
        return self._read(call, _unpack_events, extra_wait_s=wait_s)

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
        lost_answer_kind: ErrorKind,
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
            # Another thread cleared the pool before the request was sent.
            return self._call(call, unpack, lost_answer_kind, extra_wait_s)
        except (NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as exc:
            return Err(StoreError(ErrorKind.UNAVAILABLE, f"no connection: {exc}"))
        except (HTTPError, OSError) as exc:
            # The idle connections may have stopped answering together with this one.
            self._pool.clear()
            return Err(StoreError(lost_answer_kind, f"answer lost: {exc}"))
        if resp.status in (HTTP_TOO_MANY_REQUESTS, HTTP_UNAVAILABLE):
            return Err(StoreError(ErrorKind.UNAVAILABLE, f"status {resp.status}"))
        return _decode_answer(resp.data, unpack, lost_answer_kind)


def _decode_answer(
    body: bytes, unpack: Callable[[wire.Answer], T], lost_answer_kind: ErrorKind
) -> Result[T, StoreError]:
    try:
        answer = wire.answer_decoder.decode(body)
        if isinstance(answer, wire.Failure):
            return Err(StoreError(answer.kind, answer.detail))
        return Ok(unpack(answer))
    except (msgspec.DecodeError, TypeError) as exc:
        return Err(StoreError(lost_answer_kind, f"answer not understood: {exc}"))


def _unpack_entry(answer: wire.Answer) -> Entry | None:
    if not isinstance(answer, wire.EntryAnswer):
        raise TypeError(type(answer).__name__)
    return answer.entry


def _unpack_entries(answer: wire.Answer) -> list[Entry]:
    if not isinstance(answer, wire.EntriesAnswer):
        raise TypeError(type(answer).__name__)
    return answer.entries


def _unpack_number(answer: wire.Answer) -> int:
    if not isinstance(answer, wire.NumberAnswer):
        raise TypeError(type(answer).__name__)
    return answer.number


def _unpack_done(answer: wire.Answer) -> None:
    if not isinstance(answer, wire.DoneAnswer):
        raise TypeError(type(answer).__name__)


def _unpack_events(answer: wire.Answer) -> list[Event]:
    if not isinstance(answer, wire.EventsAnswer):
        raise TypeError(type(answer).__name__)
    return answer.events
