"""A store in memory, whose answers can be taken away."""

from __future__ import annotations

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
    """Keeps records as the platform's service does.

    `fault` is the kind of error that every call gets; after UNKNOWN the write has
    its effect where `takes_effect` is set.
    """

    def __init__(self):
        self.records: dict[str, Record] = {}
        self.revision = 1
        self.leases: dict[int, list[str]] = {}
        self.fault: StoreErrorKind | None = None
        self.takes_effect = False
        self.calls = 0
        # Called once, before or after the next call of a kind.
        self.before_watch: Callable[[], object] | None = None
        self.before_write: Callable[[], object] | None = None
        self.after_read: Callable[[], object] | None = None

    def read(self, key):
        self.calls += 1
        found = self._failed() or Ok(self.records.get(key))
        act, self.after_read = self.after_read, None
        if act is not None:
            act()
        return found

    def read_prefix(self, prefix, *, after=""):
        self.calls += 1
        found = [item for key, item in sorted(self.records.items()) if key > after]
        found = [item for item in found if item.key.startswith(prefix)]
        return self._failed() or Ok(Page(found, self.revision))

    def watch(self, prefix, *, after, wait_s):
        self.calls += 1
        act, self.before_watch = self.before_watch, None
        if act is not None:
            act()
        found = [item for item in self.records.values() if item.revision > after]
        found = [item for item in found if item.key.startswith(prefix)]
        return self._failed() or Ok(Page(found, self.revision))

    def write(self, writes, *, expected=(), removed=(), timeout_s=None):
        self.calls += 1
        act, self.before_write = self.before_write, None
        if act is not None:
            act()
        if self.fault is not None and not self.takes_effect:
            return self._failed()
        for key, revision in expected:
            item = self.records.get(key)
            if (item.revision if item else 0) != revision:
                found = (item,) if item else ()
                return Err(StoreError(StoreErrorKind.CONFLICT, "", found))
        self.revision += 1
        for item in writes:
            self.records[item.key] = Record(item.key, item.value, self.revision)
            if item.lease:
                self.leases[item.lease].append(item.key)
        for key in removed:
            self.records.pop(key, None)
        return self._failed() or Ok(self.revision)

    def grant_lease(self, ttl_s):
        self.leases[len(self.leases) + 1] = []
        return self._failed() or Ok(len(self.leases))

    def renew_lease(self, lease, *, timeout_s=None):
        if self.fault is None and lease not in self.leases:
            return Err(StoreError(StoreErrorKind.NO_LEASE))
        return self._failed() or Ok(None)

    def end_lease(self, lease):
        for key in self.leases.pop(lease, []):
            self.records.pop(key, None)
        return self._failed() or Ok(None)

    def _failed(self):
        return None if self.fault is None else Err(StoreError(self.fault))


def connect_nowhere(entry):
    raise AssertionError("no upstream is to be called")


def make_ports(store):
    """Return ports with a store and nothing else."""
    return EdgePorts(
        store=store,
        connect_upstream=connect_nowhere,
        advise=lambda step, names: Err("no advisory service"),
        read_catalog=lambda data: None,
        read_upstream=lambda name, data: None,
        catalog_key="config",
        registry_prefix="upstreams/",
    )
