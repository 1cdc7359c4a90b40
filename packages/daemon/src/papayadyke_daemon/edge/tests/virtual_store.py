"""Store in virtual time, seen by each VM through a client whose calls can fail."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from result import Err, Ok

from papayadyke_daemon.edge import Page, Record, StoreError, StoreErrorKind
from papayadyke_daemon.edge._keys import DECIDER_KEY
from papayadyke_standins.store import StoreState

PAGE_RECORDS = 3  # small, so that a listing takes several calls


class CallFault(Enum):
    """Fault of one call."""

    NOT_DONE = "refused, and not carried out"
    LOST = "carried out, and not answered"
    LATE = "carried out later, and not answered"
    RESTARTED = "an upstream restarts just before the call arrives"
    PAUSED = "the caller is paused before the call is sent"


@dataclass
class VirtualStore:
    """The store itself: one for all VMs, without faults.

    Parameters
    ----------
    on_commit : callable
        Called with the writes and the removed keys of each transaction.
    """

    on_commit: Callable[[list, list], None]
    now: float = 0.0
    is_down: bool = False
    expires_leases: bool = True
    state: StoreState = field(default_factory=StoreState)
    late_calls: list[tuple[float, Callable[[], object]]] = field(default_factory=list)

    def __post_init__(self):
        self.state.revision = 1

    def advance(self, now):
        """Carry out late calls that are due, and expire leases."""
        self.now = now
        due = [call for due_s, call in self.late_calls if due_s <= now]
        self.late_calls = [row for row in self.late_calls if row[0] > now]
        for call in due:
            call()
        if not self.is_down or self.expires_leases:
            self.state.expire(now)

    def read(self, key):
        return Ok(_convert(self.state.read(key)))

    def read_prefix(self, prefix, after):
        entries = self.state.read_prefix(prefix, after=after, limit=PAGE_RECORDS + 1)
        records = [_convert(entry) for entry in entries[:PAGE_RECORDS]]
        return Ok(Page(records, self.state.revision, len(entries) > PAGE_RECORDS))

    def watch(self, prefix, after):
        events = self.state.events(prefix, after)
        if isinstance(events, Err):
            return Err(StoreError(StoreErrorKind.COMPACTED))
        records = [
            Record(event.key, event.value, event.revision) for event in events.ok_value
        ]
        return Ok(Page(records, self.state.revision))

    def write(self, writes, expected, removed):
        stored = self.state.commit(
            [(write.key, write.value, write.lease or None) for write in writes],
            expected=expected,
            removed=removed,
        )
        if isinstance(stored, Ok):
            self.on_commit(writes, removed)
            return stored
        leases = self.state.leases()
        if any(write.lease and write.lease not in leases for write in writes):
            return Err(StoreError(StoreErrorKind.NO_LEASE))
        current = [_convert(self.state.read(key)) for key, _ in expected]
        records = tuple(record for record in current if record is not None)
        return Err(StoreError(StoreErrorKind.CONFLICT, "", records))

    def grant_lease(self, ttl_s):
        return self.state.grant_lease(ttl_s, self.now)

    def renew_lease(self, lease):
        renewed = self.state.renew_lease(lease, self.now)
        return Ok(None) if renewed.is_ok() else Err(StoreError(StoreErrorKind.NO_LEASE))

    def end_lease(self, lease):
        self.state.lapse(lease)
        return Ok(None)


class StoreClient:
    """The store as one VM reaches it.

    Parameters
    ----------
    store : VirtualStore
    next_fault : callable
        Returns the fault of the next call, or None.
    pause : callable
        Pauses the VM of this client.
    """

    def __init__(self, store, *, next_fault, pause):
        self.is_cut = False
        self._store = store
        self._next_fault = next_fault
        self._pause = pause

    def read(self, key, *, timeout_s=None):
        return self._call(lambda: self._store.read(key))

    def read_prefix(self, prefix, *, after=""):
        return self._call(lambda: self._store.read_prefix(prefix, after))

    def watch(self, prefix, *, after, wait_s):
        page = self._call(lambda: self._store.watch(prefix, after))
        if prefix == DECIDER_KEY and isinstance(page, Ok) and not page.ok_value.records:
            # A VM would go on waiting; this error ends its turn without any effect.
            return Err(StoreError(StoreErrorKind.COMPACTED))
        return page

    def write(self, writes, *, expected=(), removed=(), timeout_s=None):
        return self._call(
            lambda: self._store.write(writes, list(expected), list(removed)),
            changes=True,
        )

    def grant_lease(self, ttl_s):
        return self._call(lambda: self._store.grant_lease(ttl_s))

    def renew_lease(self, lease, *, timeout_s=None):
        return self._call(lambda: self._store.renew_lease(lease), changes=True)

    def end_lease(self, lease):
        return self._call(lambda: self._store.end_lease(lease), changes=True)

    def _call(self, call, *, changes=False):
        fault = self._next_fault()
        if fault is CallFault.PAUSED:
            self._pause()
        if self.is_cut or self._store.is_down or fault is CallFault.NOT_DONE:
            return Err(StoreError(StoreErrorKind.NOT_DONE))
        if changes and fault is CallFault.LATE:
            self._store.late_calls.append((self._store.now + 3.0, call))
            return Err(StoreError(StoreErrorKind.UNKNOWN))
        reply = call()
        if fault is CallFault.LOST:
            return Err(StoreError(StoreErrorKind.UNKNOWN))
        return reply


def _convert(entry):
    return None if entry is None else Record(entry.key, entry.value, entry.revision)
