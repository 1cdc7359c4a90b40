"""In-memory store whose calls can be made to fail."""

from __future__ import annotations

import threading
from collections.abc import Callable

from result import Err, Ok

from papayadyke_daemon.edge import (
    EdgePorts,
    Page,
    Record,
    StoreError,
    StoreErrorKind,
)


class FakeStore:
    """Keep records as the platform's service does.

    While `fault` is set, every call returns an error of that kind. A write that
    fails so still takes effect if `takes_effect` is set. `lose_next_answer` loses the
    answer to one write that takes effect. Values of more than `max_value_bytes` are
    rejected.
    """

    def __init__(self):
        self.records: dict[str, Record] = {}
        self.revision = 1
        self.leases: dict[int, list[str]] = {}
        self.fault: StoreErrorKind | None = None
        self.takes_effect = False
        self.lose_next_answer = False
        self.max_value_bytes = 1_048_576
        self.calls = 0
        # A watch must not see the revision of a write without its records.
        self._lock = threading.Lock()
        # Hooks, each called once, before or after the next call of that kind.
        self.before_watch: Callable[[], object] | None = None
        self.before_write: Callable[[], object] | None = None
        self.after_read: Callable[[], object] | None = None

    def read(self, key, *, timeout_s=None):
        self.calls += 1
        reply = self._error() or Ok(self.records.get(key))
        hook, self.after_read = self.after_read, None
        if hook is not None:
            hook()
        return reply

    def read_prefix(self, prefix, *, after=""):
        self.calls += 1
        records = [
            record for key, record in sorted(self.records.items()) if key > after
        ]
        records = [record for record in records if record.key.startswith(prefix)]
        return self._error() or Ok(Page(records, self.revision))

    def watch(self, prefix, *, after, wait_s):
        self.calls += 1
        hook, self.before_watch = self.before_watch, None
        if hook is not None:
            hook()
        with self._lock:
            records = [
                record
                for record in self.records.values()
                if record.revision > after and record.key.startswith(prefix)
            ]
            return self._error() or Ok(Page(records, self.revision))

    def write(self, writes, *, expected=(), removed=(), timeout_s=None):
        self.calls += 1
        hook, self.before_write = self.before_write, None
        if hook is not None:
            hook()
        is_lost, self.lose_next_answer = self.lose_next_answer, False
        with self._lock:
            reply = self._write(writes, expected, removed)
        return Err(StoreError(StoreErrorKind.UNKNOWN)) if is_lost else reply

    def _write(self, writes, expected, removed):
        if self.fault is not None and not self.takes_effect:
            return self._error()
        if any(len(write.value) > self.max_value_bytes for write in writes):
            return Err(StoreError(StoreErrorKind.REJECTED))
        for key, revision in expected:
            record = self.records.get(key)
            if (record.revision if record else 0) != revision:
                current = (record,) if record else ()
                return Err(StoreError(StoreErrorKind.CONFLICT, "", current))
        self.revision += 1
        for write in writes:
            self.records[write.key] = Record(write.key, write.value, self.revision)
            if write.lease:
                self.leases[write.lease].append(write.key)
        for key in removed:
            self.records.pop(key, None)
        return self._error() or Ok(self.revision)

    def grant_lease(self, ttl_s):
        self.leases[len(self.leases) + 1] = []
        return self._error() or Ok(len(self.leases))

    def renew_lease(self, lease, *, timeout_s=None):
        if self.fault is None and lease not in self.leases:
            return Err(StoreError(StoreErrorKind.NO_LEASE))
        return self._error() or Ok(None)

    def end_lease(self, lease):
        for key in self.leases.pop(lease, []):
            self.records.pop(key, None)
        return self._error() or Ok(None)

    def _error(self):
        return None if self.fault is None else Err(StoreError(self.fault))


def fail_to_connect(entry):
    raise AssertionError("no upstream may be called")


def make_ports(store):
    """Return ports with a store, and no upstreams or advisory service."""
    return EdgePorts(
        store=store,
        connect_upstream=fail_to_connect,
        request_advice=lambda step, names: Err("no advisory service"),
        decode_catalog=lambda data: None,
        decode_upstream=lambda name, data: Err("no upstream"),
        catalog_key="config",
        registry_prefix="upstreams/",
    )
