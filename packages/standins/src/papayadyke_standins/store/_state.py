"""Keys, leases and change history of the stand-in store.

Locking and fault injection are left to the caller.
"""

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
    previous_entry: Entry | None


class StoreState:
    """Data of the store; the caller passes the time and holds the lock.

    Parameters
    ----------
    history_limit : int, default=20000
        Number of changes retained for watches and stale reads.
    """

    def __init__(self, *, history_limit: int = 20_000):
        self.history_limit = history_limit
        self.revision = 0
        self._entries: dict[str, Entry] = {}
        self._keys: list[str] = []
        self._lease_by_key: dict[str, int] = {}
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1
        self._history: deque[_Change] = deque(maxlen=history_limit)
        self._compacted_revision = 0

    def read(self, key: str, *, behind: int = 0) -> Entry | None:
        """Return the entry of a key as of `behind` changes ago."""
        entry = self._entries.get(key)
        for change in self._last_changes(behind):
            if change.event.key == key:
                entry = change.previous_entry
        return entry

    def read_prefix(
        self, prefix: str, *, after: str, limit: int, behind: int = 0
    ) -> list[Entry]:
        """Return the entries under a prefix as of `behind` changes ago."""
        if behind == 0:
            return self._read_current(prefix, after, limit)
        view = {k: e for k, e in self._entries.items() if k.startswith(prefix)}
        for change in self._last_changes(behind):
            key = change.event.key
            view.pop(key, None)
            if change.previous_entry is not None and key.startswith(prefix):
                view[key] = change.previous_entry
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
        """Write a key whose current revision must be `expected`."""
        if not self._is_at_revision(key, expected):
            return _conflict(f"{key} is not at {expected}")
        return self._write(key, value, lease)

    def delete(self, key: str, *, expected: int) -> Result[int, StoreError]:
        """Delete a key whose current revision must be `expected`."""
        if not self._is_at_revision(key, expected):
            return _conflict(f"{key} is not at {expected}")
        return Ok(self._remove(key, self.revision + 1))

    def commit(
        self,
        writes: Sequence[tuple[str, bytes, int | None]],
        *,
        expected: Sequence[tuple[str, int]],
        removed: Sequence[str],
    ) -> Result[int, StoreError]:
        """Write and delete keys atomically at one revision.

        Parameters
        ----------
        writes : sequence of (str, bytes, int or None)
            Key, value and lease of each write.
        expected : sequence of (str, int)
            Keys and their required revisions; 0 for a key that must not exist.
        removed : sequence of str
            Keys to delete; missing keys are ignored.
        """
        for key, revision in expected:
            entry = self._entries.get(key)
            if (0 if entry is None else entry.revision) != revision:
                return _conflict(f"{key} is not at {revision}")
        for key, value, lease in writes:
            refusal = self._check(key, value, lease)
            if refusal is not None:
                return refusal
        revision = self.revision + 1
        for key, value, lease in writes:
            self._put(key, value, lease, revision)
        for key in removed:
            if key in self._entries:
                self._remove(key, revision)
        self.revision = revision
        return Ok(revision)

    def forget_history(self) -> None:
        """Discard the history; watches from an earlier revision are refused."""
        self._history.clear()
        self._compacted_revision = self.revision

    def grant_lease(self, ttl_s: float, now: float) -> Result[int, StoreError]:
        """Return the id of a new lease."""
        if not 0.0 < ttl_s <= MAX_LEASE_S:
            return _invalid(f"a lease of {ttl_s} s")
        lease = self._next_lease
        self._next_lease += 1
        self._leases[lease] = _Lease(ttl_s, now + ttl_s)
        return Ok(lease)

    def renew_lease(self, lease: int, now: float) -> Result[None, StoreError]:
        """Extend a lease by its time to live."""
        entry = self._leases.get(lease)
        if entry is None:
            return _conflict(f"no lease {lease}")
        entry.expires_at = now + entry.ttl_s
        return Ok(None)

    def expire(self, now: float) -> bool:
        """Remove the leases whose time to live has passed; return whether any had."""
        expired = [i for i, lease in self._leases.items() if lease.expires_at <= now]
        for lease in expired:
            self.lapse(lease)
        return bool(expired)

    def lapse(self, lease: int) -> None:
        """Expire a lease immediately and delete its keys."""
        entry = self._leases.pop(lease, None)
        for key in sorted(entry.keys if entry else ()):
            self._remove(key, self.revision + 1)

    def leases(self) -> list[int]:
        """Return the ids of the unexpired leases."""
        return list(self._leases)

    def next_expiry(self) -> float | None:
        """Return the time at which the next lease expires, or None."""
        return min((lease.expires_at for lease in self._leases.values()), default=None)

    def events(self, prefix: str, after: int) -> Result[list[Event], StoreError]:
        """Return the events after a revision, oldest first."""
        oldest = self._compacted_revision + 1
        if self._history:
            oldest = self._history[0].event.revision
        if after < oldest - 1:
            return _invalid(f"the history starts at {oldest}")
        events: list[Event] = []
        for change in reversed(self._history):
            if change.event.revision <= after:
                break
            if change.event.key.startswith(prefix):
                events.append(change.event)
        events.reverse()
        return Ok(events[:MAX_EVENTS_PER_WATCH])

    def _read_current(self, prefix: str, after: str, limit: int) -> list[Entry]:
        start = bisect_right(self._keys, after)
        if after < prefix:
            start = bisect_right(self._keys, prefix)
            if prefix in self._entries:
                start -= 1
        entries: list[Entry] = []
        for key in self._keys[start : start + limit]:
            if not key.startswith(prefix):
                break
            entries.append(self._entries[key])
        return entries

    def _write(
        self, key: str, value: bytes, lease: int | None
    ) -> Result[int, StoreError]:
        refusal = self._check(key, value, lease)
        if refusal is not None:
            return refusal
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
        previous_entry = self._entries.get(key)
        if previous_entry is None:
            insort(self._keys, key)
        self._attach_lease(key, lease)
        self._entries[key] = Entry(key, value, revision)
        return self._append_event(Event(key, value, revision), previous_entry)

    def _remove(self, key: str, revision: int) -> int:
        previous_entry = self._entries.pop(key)
        self._keys.remove(key)
        self._attach_lease(key, None)
        return self._append_event(Event(key, None, revision), previous_entry)

    def _append_event(self, event: Event, previous_entry: Entry | None) -> int:
        self.revision = event.revision
        self._history.append(_Change(event, previous_entry))
        return event.revision

    def _attach_lease(self, key: str, lease: int | None) -> None:
        old = self._lease_by_key.pop(key, None)
        if old in self._leases:
            self._leases[old].keys.discard(key)
        if lease is not None:
            self._lease_by_key[key] = lease
            self._leases[lease].keys.add(key)

    def _is_at_revision(self, key: str, expected: int) -> bool:
        entry = self._entries.get(key)
        return entry is not None and entry.revision == expected

    def _last_changes(self, count: int) -> list[_Change]:
        newest_first = reversed(self._history)
        return [change for change, _ in zip(newest_first, range(count), strict=False)]


def _conflict(detail: str) -> Err[StoreError]:
    return Err(StoreError(ErrorKind.CONFLICT, detail))


def _invalid(detail: str) -> Err[StoreError]:
    return Err(StoreError(ErrorKind.INVALID, detail))
