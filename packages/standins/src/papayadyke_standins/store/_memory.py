"""In-memory implementation of the stand-in store, with fault injection."""

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
ANSWER_LOST_DETAIL = "answer lost"


class StoreService:
    """State, faults and counters shared by all clients.

    Parameters
    ----------
    clock : callable, default=time.monotonic
        Returns the time in seconds.
    sleep : callable, default=time.sleep
        Delays a call; its argument is in seconds.
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
        self._rate_limits: dict[bool, RateLimit | None] = {True: None, False: None}
        self._operations: Counter[str] = Counter()
        self._refused = 0
        self._lost = 0

    @property
    def faults(self) -> Faults:
        """Faults in effect, with the counts that remain."""
        with self.changed:
            return self._faults

    def set_faults(self, faults: Faults) -> None:
        """Replace all faults in effect by the given ones."""
        with self.changed:
            self._faults = faults
            self.changed.notify_all()
            now = self.clock()
            rates = {True: faults.writes_per_s, False: faults.reads_per_s}
            for is_write, rate in rates.items():
                limit = None if rate is None else RateLimit(rate, now)
                self._rate_limits[is_write] = limit

    def counts(self) -> Counts:
        """Return the counters of the calls since the service was created."""
        with self.changed:
            return Counts(dict(self._operations), self._refused, self._lost)

    def lapse(self, lease: int | None = None) -> None:
        """Expire one lease, or every lease if None, immediately."""
        with self.changed:
            leases = self.state.leases() if lease is None else [lease]
            for lease_id in leases:
                self.state.lapse(lease_id)
            self.changed.notify_all()

    def admit(
        self, operation: str, client: str, *, is_write: bool
    ) -> Result[None, StoreError]:
        """Count a call, then refuse or delay it according to the faults."""
        with self.changed:
            self._operations[operation] += 1
            delay_s = self._faults.delay_s
            limit = self._rate_limits[is_write]
            if limit is not None and not limit.try_acquire(self.clock()):
                return self._refuse("over the rate")
            if self._is_unreachable(client):
                return self._refuse("down")
        if delay_s > 0.0:
            self.sleep(delay_s)
        return Ok(None)

    def write(
        self, key: str, apply: Callable[[float], Result[T, StoreError]]
    ) -> Result[T, StoreError]:
        """Apply a write, unless a fault drops the write or its answer."""
        with self.changed:
            now = self.clock()
            self.state.expire(now)
            if self._consume_fault("lose_writes", key):
                return self._lose_answer()
            result = apply(now)
            self.changed.notify_all()
            if self._consume_fault("lose_answers", key):
                return self._lose_answer()
            return result

    def read(self, key: str, apply: Callable[[int], T]) -> Result[T, StoreError]:
        """Read the current state, or an older one if a fault applies."""
        with self.changed:
            self.state.expire(self.clock())
            behind = self._faults.stale_changes
            if not self._consume_fault("stale_reads", key):
                behind = 0
            return Ok(apply(behind))

    def watch(
        self, client: str, prefix: str, *, after: int, wait_s: float
    ) -> Result[list[Event], StoreError]:
        """Wait for events; stop waiting when the service goes down."""
        deadline = self.clock() + min(wait_s, MAX_WATCH_S)
        with self.changed:
            while True:
                if self.state.expire(self.clock()):
                    self.changed.notify_all()
                if self._is_unreachable(client):
                    return self._refuse("down")
                events = self.state.events(prefix, after)
                remaining_s = deadline - self.clock()
                if events.is_err() or events.unwrap() or remaining_s <= 0.0:
                    return events
                self.changed.wait(min(remaining_s, self._expiry_wait_s()))

    def _expiry_wait_s(self) -> float:
        expiry = self.state.next_expiry()
        return 0.5 if expiry is None else min(max(expiry - self.clock(), 0.001), 0.5)

    def _is_unreachable(self, client: str) -> bool:
        cut = self._faults.cut_clients
        return self._faults.down or any(client.startswith(name) for name in cut)

    def _consume_fault(self, name: str, key: str) -> bool:
        count = getattr(self._faults, name)
        if count <= 0 or not key.startswith(self._faults.prefix):
            return False
        self._faults = msgspec.structs.replace(self._faults, **{name: count - 1})
        return True

    def _refuse(self, detail: str) -> Err[StoreError]:
        self._refused += 1
        return Err(StoreError(ErrorKind.UNAVAILABLE, detail))

    def _lose_answer(self) -> Err[StoreError]:
        self._lost += 1
        return Err(StoreError(ErrorKind.UNKNOWN, ANSWER_LOST_DETAIL))


class MemoryStore:
    """Client of a stand-in store in the same process; implements `Store`.

    Parameters
    ----------
    service : StoreService or None, default=None
        Service shared by the clients; None creates one.
    client : str, default=""
        Name of the client, which `Faults.cut_clients` is matched against.
    """

    def __init__(self, service: StoreService | None = None, *, client: str = ""):
        self.service = service or StoreService()
        self.client = client

    def revision(self) -> Result[int, StoreError]:
        """Return the revision of the last write, from which a watch can start."""
        state = self.service.state
        admitted = self.service.admit("revision", self.client, is_write=False)
        if isinstance(admitted, Err):
            return admitted
        return self.service.read("", lambda behind: max(state.revision - behind, 0))

    def read(self, key: str) -> Result[Entry | None, StoreError]:
        """Return the entry of a key, or None if the key does not exist."""
        state = self.service.state
        admitted = self.service.admit("read", self.client, is_write=False)
        if isinstance(admitted, Err):
            return admitted
        return self.service.read(key, lambda behind: state.read(key, behind=behind))

    def read_prefix(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> Result[list[Entry], StoreError]:
        """Return the entries whose key is greater than `after`, in key order."""
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
        """Write a key that must not exist, and return its revision."""
        state = self.service.state
        return self._write(
            "create", key, lambda now: state.create(key, value, lease=lease)
        )

    def replace(
        self, key: str, value: bytes, *, expected: int, lease: int | None = None
    ) -> Result[int, StoreError]:
        """Write a key whose current revision must be `expected`."""
        state = self.service.state
        return self._write(
            "replace",
            key,
            lambda now: state.replace(key, value, expected=expected, lease=lease),
        )

    def delete(self, key: str, *, expected: int) -> Result[int, StoreError]:
        """Delete a key whose current revision must be `expected`."""
        state = self.service.state
        return self._write(
            "delete", key, lambda now: state.delete(key, expected=expected)
        )

    def grant_lease(self, ttl_s: float) -> Result[int, StoreError]:
        """Return the id of a new lease; its keys are deleted when it expires."""
        state = self.service.state
        return self._write("grant_lease", "", lambda now: state.grant_lease(ttl_s, now))

    def renew_lease(self, lease: int) -> Result[None, StoreError]:
        """Extend a lease by its time to live."""
        state = self.service.state
        return self._write("renew_lease", "", lambda now: state.renew_lease(lease, now))

    def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> Result[list[Event], StoreError]:
        """Return the events after the revision `after`; wait for the first one."""
        admitted = self.service.admit("watch", self.client, is_write=False)
        if isinstance(admitted, Err):
            return admitted
        return self.service.watch(self.client, prefix, after=after, wait_s=wait_s)

    def _write(
        self, operation: str, key: str, apply: Callable[[float], Result[T, StoreError]]
    ) -> Result[T, StoreError]:
        admitted = self.service.admit(operation, self.client, is_write=True)
        if isinstance(admitted, Err):
            return admitted
        return self.service.write(key, apply)
