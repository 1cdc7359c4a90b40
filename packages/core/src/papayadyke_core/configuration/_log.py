"""Local replica of the configuration log; its revision never decreases."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from papayadyke_core.configuration._changes import LogEntry
from papayadyke_core.configuration._rules import apply_entry
from papayadyke_core.configuration._state import ConfigState

MAX_CACHED_ENTRIES = 1024
MAX_PENDING_ENTRIES = 1024


class ConfigLog:
    """Replica of the configuration log that accepts entries in any order.

    The entry with the next revision is applied. Entries of later revisions are
    buffered until the missing ones arrive, and older entries have no effect.

    Parameters
    ----------
    state : ConfigState or None, default=None
        Initial state; None stands for the state before the first change.

    Attributes
    ----------
    state : ConfigState
        State at the current revision.
    conflicting_entry_count : int
        Number of entries that conflict with the applied entry of their revision
        or with the id of the last applied change. It stays 0 as long as all
        writers append only through the log in the store.
    """

    def __init__(self, state: ConfigState | None = None):
        self.state = state or ConfigState()
        self.conflicting_entry_count = 0
        self._cache: deque[LogEntry] = deque(maxlen=MAX_CACHED_ENTRIES)
        self._pending: dict[int, LogEntry] = {}

    @property
    def revision(self) -> int:
        """Configuration revision of this replica."""
        return self.state.revision

    @property
    def has_gap(self) -> bool:
        """Whether buffered entries wait for a missing one."""
        return bool(self._pending)

    def apply_entries(self, entries: Iterable[LogEntry]) -> list[LogEntry]:
        """Apply all given and buffered entries that are next in order.

        Parameters
        ----------
        entries : iterable of LogEntry
            May contain stale, duplicate and out-of-order entries.

        Returns
        -------
        applied : list of LogEntry
            Entries that this call applied, in order of revision.
        """
        for entry in entries:
            self._buffer(entry)
        applied: list[LogEntry] = []
        while (next_entry := self._pending.pop(self.revision + 1, None)) is not None:
            if next_entry.previous_id != self.state.last_id:
                self.conflicting_entry_count += 1
                continue
            self._advance(apply_entry(self.state, next_entry))
            self._cache.append(next_entry)
            applied.append(next_entry)
        return applied

    def install_snapshot(self, state: ConfigState) -> bool:
        """Install a snapshot if its revision is newer; return whether it was."""
        if state.revision <= self.revision:
            return False
        self._advance(state)
        self._cache.clear()
        self._pending = {
            revision: entry
            for revision, entry in self._pending.items()
            if revision > state.revision
        }
        return True

    def entries(self) -> tuple[LogEntry, ...]:
        """Return the cached latest entries up to the current revision, in order."""
        return tuple(self._cache)

    def _buffer(self, entry: LogEntry) -> None:
        if entry.revision <= self.revision:
            self._check_applied(entry)
        elif entry.revision <= self.revision + MAX_PENDING_ENTRIES:
            self._pending.setdefault(entry.revision, entry)

    def _check_applied(self, entry: LogEntry) -> None:
        if not self._cache or entry.revision < self._cache[0].revision:
            return
        applied = self._cache[entry.revision - self._cache[0].revision]
        if applied.change.id != entry.change.id:
            self.conflicting_entry_count += 1

    def _advance(self, state: ConfigState) -> None:
        if state.revision <= self.revision:
            raise AssertionError(
                f"revision must increase: {self.revision} to {state.revision}"
            )
        self.state = state
