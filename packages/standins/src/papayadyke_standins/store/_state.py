"""Keys, leases and history of the stand-in store, without locks or faults."""

from __future__ import annotations

from bisect import bisect_right, insort
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from result import Err, Ok, Result

from papayadyke_clients.store import (
    MAX_VALUE_BYTES,
    Entry,
    ErrorKind,
    Event,
    StoreError,
)

MAX_KEY_CHARS = 512
MAX_EVENTS_PER_WATCH = 1000
MAX_LEASE_S = 3600.0


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    expires_at: float
    keys: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class _Change:
    event: Event
    before: Entry | None


class StoreState:
    """The service's data; the caller passes the time and holds the lock.

    Parameters
    ----------
    history_limit : int, default=20000
        Changes that watches and stale reads can still see.
    """

    def __init__(self, *, history_limit: int = 20_000):
        self.history_limit = history_limit
        self.revision = 0
        self._entries: dict[str, Entry] = {}
        self._keys: list[str] = []
        self._lease_of: dict[str, int] = {}
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1
        self._history: deque[_Change] = deque(maxlen=history_limit)
        self._forgotten = 0

    def read(self, key: str, *, behind: int = 0) -> Entry | None:
        """Return an entry as it was `behind` changes ago."""
        entry = self._entries.get(key)
        for change in self._last_changes(behind):
            if change.event.key == key:
                entry = change.before
        return entry

    def read_prefix(
        self, prefix: str, *, after: str, limit: int, behind: int = 0
    ) -> list[Entry]:
        """Return entries under a prefix as they were `behind` changes ago."""
        if behind == 0:
            return self._read_present(prefix, after, limit)
        view = {k: e for k, e in self._entries.items() if k.startswith(prefix)}
        for change in self._last_changes(behind):
            key = change.event.key
            view.pop(key, None)
            if change.before is not None and key.startswith(prefix):
                view[key] = change.before
        return [view[key] for key in sorted(view) if key > after][:limit]

    def create(
        self, key: str, value: bytes, *, lease: int | None
    ) -> Result[int, StoreError]:
        """Write a key that must not exist."""
        if key in self._entries:
            return _conflict(f"{key} exists")
        return self._write(key, value, lease)

    def replace(
        self, key: str, value: bytes, *, expected: int, lease: int | None
    ) -> Result[int, StoreError]:
        """Write a key that must stand at a revision."""
        if not self._stands_at(key, expected):
            return _conflict(f"{key} is not at {expected}")
        return self._write(key, value, lease)

    def delete(self, key: str, *, expected: int) -> Result[int, StoreError]:
        """Delete a key that must stand at a revision."""
        if not self._stands_at(key, expected):
            return _conflict(f"{key} is not at {expected}")
        return Ok(self._remove(key, self.revision + 1))

    def commit(
        self,
        writes: Sequence[tuple[str, bytes, int | None]],
        *,
        expected: Sequence[tuple[str, int]],
        removed: Sequence[str],
    ) -> Result[int, StoreError]:
        """Write and delete keys at one revision, or change nothing.

        Parameters
        ----------
        writes : sequence of (str, bytes, int or None)
            Key, value and lease.
        expected : sequence of (str, int)
            Keys and their revisions; 0 for a key that must not exist.
        removed : sequence of str
            Keys that need not exist.
        """
        for key, revision in expected:
            entry = self._entries.get(key)
            if (0 if entry is None else entry.revision) != revision:
                return _conflict(f"{key} is not at {revision}")
        for key, value, lease in writes:
            refused = self._check(key, value, lease)
            if refused is not None:
                return refused
        revision = self.revision + 1
        for key, value, lease in writes:
            self._put(key, value, lease, revision)
        for key in removed:
            if key in self._entries:
                self._remove(key, revision)
        self.revision = revision
        return Ok(revision)

    def forget_history(self) -> None:
        """Drop the changes so far; watches from before them are refused."""
        self._history.clear()
        self._forgotten = self.revision

    def grant_lease(self, ttl_s: float, now: float) -> Result[int, StoreError]:
        """Return the id of a new lease."""
        if not 0.0 < ttl_s <= MAX_LEASE_S:
            return _invalid(f"a lease of {ttl_s} s")
        lease = self._next_lease
        self._next_lease += 1
        self._leases[lease] = _Lease(ttl_s, now + ttl_s)
        return Ok(lease)

    def renew_lease(self, lease: int, now: float) -> Result[None, StoreError]:
        """Keep a lease."""
        found = self._leases.get(lease)
        if found is None:
            return _conflict(f"no lease {lease}")
        found.expires_at = now + found.ttl_s
        return Ok(None)

    def expire(self, now: float) -> bool:
        """Let the leases lapse whose time is over; tell whether any did."""
        over = [i for i, lease in self._leases.items() if lease.expires_at <= now]
        for lease in over:
            self.lapse(lease)
        return bool(over)

    def lapse(self, lease: int) -> None:
        """Let a lease lapse now."""
        found = self._leases.pop(lease, None)
        for key in sorted(found.keys if found else ()):
            self._remove(key, self.revision + 1)

    def leases(self) -> list[int]:
        """Return the leases that stand."""
        return list(self._leases)

    def next_lapse(self) -> float | None:
        """Return the time at which the next lease lapses."""
        return min((item.expires_at for item in self._leases.values()), default=None)

    def events(self, prefix: str, after: int) -> Result[list[Event], StoreError]:
        """Return events past a revision, oldest first."""
        oldest = self._forgotten + 1
        if self._history:
            oldest = self._history[0].event.revision
        if after < oldest - 1:
            return _invalid(f"the history starts at {oldest}")
        found: list[Event] = []
        for change in reversed(self._history):
            if change.event.revision <= after:
                break
            if change.event.key.startswith(prefix):
                found.append(change.event)
        found.reverse()
        return Ok(found[:MAX_EVENTS_PER_WATCH])

    def _read_present(self, prefix: str, after: str, limit: int) -> list[Entry]:
        start = bisect_right(self._keys, after)
        if after < prefix:
            start = bisect_right(self._keys, prefix)
            if prefix in self._entries:
                start -= 1
        found: list[Entry] = []
        for key in self._keys[start : start + limit]:
            if not key.startswith(prefix):
                break
            found.append(self._entries[key])
        return found

    def _write(
        self, key: str, value: bytes, lease: int | None
    ) -> Result[int, StoreError]:
        refused = self._check(key, value, lease)
        if refused is not None:
            return refused
        return Ok(self._put(key, value, lease, self.revision + 1))

    def _check(
        self, key: str, value: bytes, lease: int | None
    ) -> Err[StoreError] | None:
        if not 0 < len(key) <= MAX_KEY_CHARS:
            return _invalid(f"a key of {len(key)} characters")
        if len(value) > MAX_VALUE_BYTES:
            return _invalid(f"a value of {len(value)} bytes")
        if lease is not None and lease not in self._leases:
            return _conflict(f"no lease {lease}")
        return None

    def _put(self, key: str, value: bytes, lease: int | None, revision: int) -> int:
        before = self._entries.get(key)
        if before is None:
            insort(self._keys, key)
        self._bind(key, lease)
        self._entries[key] = Entry(key, value, revision)
        return self._record(Event(key, value, revision), before)

    def _remove(self, key: str, revision: int) -> int:
        before = self._entries.pop(key)
        self._keys.remove(key)
        self._bind(key, None)
        return self._record(Event(key, None, revision), before)

    def _record(self, event: Event, before: Entry | None) -> int:
        self.revision = event.revision
        self._history.append(_Change(event, before))
        return event.revision

    def _bind(self, key: str, lease: int | None) -> None:
        old = self._lease_of.pop(key, None)
        if old in self._leases:
            self._leases[old].keys.discard(key)
        if lease is not None:
            self._lease_of[key] = lease
            self._leases[lease].keys.add(key)

    def _stands_at(self, key: str, expected: int) -> bool:
        entry = self._entries.get(key)
        return entry is not None and entry.revision == expected

    def _last_changes(self, count: int) -> list[_Change]:
        newest_first = reversed(self._history)
        return [change for change, _ in zip(newest_first, range(count), strict=False)]


def _conflict(detail: str) -> Err[StoreError]:
    return Err(StoreError(ErrorKind.CONFLICT, detail))


def _invalid(detail: str) -> Err[StoreError]:
    return Err(StoreError(ErrorKind.INVALID, detail))
