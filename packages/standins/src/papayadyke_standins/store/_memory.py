"""The stand-in store in memory, with faults on command."""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from papayadyke_clients.store import Entry, ErrorKind, Event, StoreError
from papayadyke_standins.store._faults import Counts, Faults, RateLimit
from papayadyke_standins.store._state import StoreState

T = TypeVar("T")

MAX_WATCH_S = 60.0
LOST_DETAIL = "answer lost"


class StoreService:
    """The state, faults and counters that all clients share.

    Parameters
    ----------
    clock : callable, default=time.monotonic
    sleep : callable, default=time.sleep
        How a call is held; takes seconds.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ):
        self.clock = clock
        self.sleep = sleep
        self.state = StoreState()
        self.changed = threading.Condition()
        self._faults = Faults()
        self._limits: dict[bool, RateLimit | None] = {True: None, False: None}
        self._operations: Counter[str] = Counter()
        self._refused = 0
        self._lost = 0

    @property
    def faults(self) -> Faults:
        """The faults that are still to come."""
        with self.changed:
            return self._faults

    def set_faults(self, faults: Faults) -> None:
        """Show these faults, and none but these, from now on."""
        with self.changed:
            self._faults = faults
            self.changed.notify_all()
            now = self.clock()
            rates = {True: faults.writes_per_s, False: faults.reads_per_s}
            for is_write, rate in rates.items():
                limit = None if rate is None else RateLimit(rate, now)
                self._limits[is_write] = limit

    def counts(self) -> Counts:
        """Return the calls since the start."""
        with self.changed:
            return Counts(dict(self._operations), self._refused, self._lost)

    def lapse(self, lease: int | None = None) -> None:
        """Let one lease, or every lease, lapse now."""
        with self.changed:
            leases = self.state.leases() if lease is None else [lease]
            for item in leases:
                self.state.lapse(item)
            self.changed.notify_all()

    def admit(
        self, operation: str, client: str, *, is_write: bool
    ) -> Result[None, StoreError]:
        """Count a call, hold it if the service is slow, refuse it if need be."""
        with self.changed:
            self._operations[operation] += 1
            delay_s = self._faults.delay_s
            limit = self._limits[is_write]
            if limit is not None and not limit.take(self.clock()):
                return self._refuse("over the rate")
            if self._is_cut(client):
                return self._refuse("down")
        if delay_s > 0.0:
            self.sleep(delay_s)
        return Ok(None)

    def write(
        self, key: str, act: Callable[[float], Result[T, StoreError]]
    ) -> Result[T, StoreError]:
        """Let a write take effect, unless a fault has it lost."""
        with self.changed:
            now = self.clock()
            self.state.expire(now)
            if self._use_up("lose_writes", key):
                return self._lose()
            done = act(now)
            self.changed.notify_all()
            if self._use_up("lose_answers", key):
                return self._lose()
            return done

    def read(self, key: str, act: Callable[[int], T]) -> Result[T, StoreError]:
        """Read, from an older state if a fault says so."""
        with self.changed:
            self.state.expire(self.clock())
            behind = self._faults.stale_changes
            if not self._use_up("stale_reads", key):
                behind = 0
            return Ok(act(behind))

    def watch(
        self, client: str, prefix: str, *, after: int, wait_s: float
    ) -> Result[list[Event], StoreError]:
        """Wait for events; a service that goes down ends the waiting."""
        end = self.clock() + min(wait_s, MAX_WATCH_S)
        with self.changed:
            while True:
                if self.state.expire(self.clock()):
                    self.changed.notify_all()
                if self._is_cut(client):
                    return self._refuse("down")
                found = self.state.events(prefix, after)
                left_s = end - self.clock()
                if found.is_err() or found.unwrap() or left_s <= 0.0:
                    return found
                self.changed.wait(min(left_s, self._next_look_s()))

    def _next_look_s(self) -> float:
        lapse = self.state.next_lapse()
        return 0.5 if lapse is None else min(max(lapse - self.clock(), 0.001), 0.5)

    def _is_cut(self, client: str) -> bool:
        cut = self._faults.cut_clients
        return self._faults.down or any(client.startswith(name) for name in cut)

    def _use_up(self, name: str, key: str) -> bool:
        count = getattr(self._faults, name)
        if count <= 0 or not key.startswith(self._faults.prefix):
            return False
        self._faults = msgspec.structs.replace(self._faults, **{name: count - 1})
        return True

    def _refuse(self, detail: str) -> Err[StoreError]:
        self._refused += 1
        return Err(StoreError(ErrorKind.UNAVAILABLE, detail))

    def _lose(self) -> Err[StoreError]:
        self._lost += 1
        return Err(StoreError(ErrorKind.UNKNOWN, LOST_DETAIL))


class MemoryStore:
    """A client of the stand-in store in the same process; satisfies `Store`.

    Parameters
    ----------
    service : StoreService or None, default=None
        Shared by the clients; None makes one.
    client : str, default=""
        Name of the client, for `Faults.cut_clients`.
    """

    def __init__(self, service: StoreService | None = None, *, client: str = ""):
        self.service = service or StoreService()
        self.client = client

    def revision(self) -> Result[int, StoreError]:
        """Return the revision of the last write, as a start for a watch."""
        state = self.service.state
        admitted = self.service.admit("revision", self.client, is_write=False)
        if isinstance(admitted, Err):
            return admitted
        return self.service.read("", lambda behind: max(state.revision - behind, 0))

    def read(self, key: str) -> Result[Entry | None, StoreError]:
        """Return the entry of a key, or None."""
        state = self.service.state
        admitted = self.service.admit("read", self.client, is_write=False)
        if isinstance(admitted, Err):
            return admitted
        return self.service.read(key, lambda behind: state.read(key, behind=behind))

    def read_prefix(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> Result[list[Entry], StoreError]:
        """Return entries in order of their keys, from behind the key `after`."""
        state = self.service.state
        admitted = self.service.admit("read_prefix", self.client, is_write=False)
        if isinstance(admitted, Err):
            return admitted
        return self.service.read(
            prefix,
            lambda behind: state.read_prefix(
                prefix, after=after, limit=limit, behind=behind
            ),
        )

    def create(
        self, key: str, value: bytes, *, lease: int | None = None
    ) -> Result[int, StoreError]:
        """Write a key that must not exist; return its revision."""
        state = self.service.state
        return self._write(
            "create", key, lambda now: state.create(key, value, lease=lease)
        )

    def replace(
        self, key: str, value: bytes, *, expected: int, lease: int | None = None
    ) -> Result[int, StoreError]:
        """Write a key that must stand at the revision `expected`."""
        state = self.service.state
        return self._write(
            "replace",
            key,
            lambda now: state.replace(key, value, expected=expected, lease=lease),
        )

    def delete(self, key: str, *, expected: int) -> Result[int, StoreError]:
        """Delete a key that must stand at the revision `expected`."""
        state = self.service.state
        return self._write(
            "delete", key, lambda now: state.delete(key, expected=expected)
        )

    def grant_lease(self, ttl_s: float) -> Result[int, StoreError]:
        """Return the id of a new lease; its keys go when it lapses."""
        state = self.service.state
        return self._write("grant_lease", "", lambda now: state.grant_lease(ttl_s, now))

    def renew_lease(self, lease: int) -> Result[None, StoreError]:
        """Keep a lease for another time to live."""
        state = self.service.state
        return self._write("renew_lease", "", lambda now: state.renew_lease(lease, now))

    def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> Result[list[Event], StoreError]:
        """Return events past the revision `after`, waiting for the first."""
        admitted = self.service.admit("watch", self.client, is_write=False)
        if isinstance(admitted, Err):
            return admitted
        return self.service.watch(self.client, prefix, after=after, wait_s=wait_s)

    def _write(
        self, operation: str, key: str, act: Callable[[float], Result[T, StoreError]]
    ) -> Result[T, StoreError]:
        admitted = self.service.admit(operation, self.client, is_write=True)
        if isinstance(admitted, Err):
            return admitted
        return self.service.write(key, act)
