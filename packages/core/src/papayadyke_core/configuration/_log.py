"""A VM's copy of the configuration log, which only moves forward."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from papayadyke_core.configuration._changes import LogEntry
from papayadyke_core.configuration._rules import apply_entry
from papayadyke_core.configuration._state import ConfigState

MAX_CACHED_ENTRIES = 1024
MAX_WAITING_ENTRIES = 1024


class ConfigLog:
    """Follows the log from whatever comes in, in whatever order.

    An entry is taken only where it is the next one; an entry further on waits
    for those between; older ones change nothing.

    Parameters
    ----------
    state : ConfigState or None, default=None
        Where to start; None is the state before the first change.

    Attributes
    ----------
    state : ConfigState
    contradictions : int
        Entries that said something else than what was taken for their revision.
        There are none as long as all writers keep to the log of the store.
    """

    def __init__(self, state: ConfigState | None = None):
        self.state = state or ConfigState()
        self.contradictions = 0
        self._cache: deque[LogEntry] = deque(maxlen=MAX_CACHED_ENTRIES)
        self._waiting: dict[int, LogEntry] = {}

    @property
    def revision(self) -> int:
        """Revision of the configuration that is in force here."""
        return self.state.revision

    @property
    def has_gap(self) -> bool:
        """Whether entries wait for one that has not come."""
        return bool(self._waiting)

    def offer(self, entries: Iterable[LogEntry]) -> list[LogEntry]:
        """Take what follows from some entries, and from those that waited.

        Parameters
        ----------
        entries : iterable of LogEntry
            Stale, duplicate and out of order ones included.

        Returns
        -------
        taken : list of LogEntry
            Entries that are in force since this call, in order.
        """
        for entry in entries:
            self._keep(entry)
        taken: list[LogEntry] = []
        while (entry_ := self._waiting.pop(self.revision + 1, None)) is not None:
            if entry_.previous_id != self.state.last_id:
                self.contradictions += 1
                continue
            self._move(apply_entry(self.state, entry_))
            self._cache.append(entry_)
            taken.append(entry_)
        return taken

    def install(self, state: ConfigState) -> bool:
        """Take a snapshot if it is ahead; tell whether it was."""
        if state.revision <= self.revision:
            return False
        self._move(state)
        self._cache.clear()
        self._waiting = {r: e for r, e in self._waiting.items() if r > state.revision}
        return True

    def entries(self) -> tuple[LogEntry, ...]:
        """Return the last entries up to the revision in force, in order."""
        return tuple(self._cache)

    def _keep(self, entry: LogEntry) -> None:
        if entry.revision <= self.revision:
            self._check_taken(entry)
        elif entry.revision <= self.revision + MAX_WAITING_ENTRIES:
            self._waiting.setdefault(entry.revision, entry)

    def _check_taken(self, entry: LogEntry) -> None:
        if not self._cache or entry.revision < self._cache[0].revision:
            return
        taken = self._cache[entry.revision - self._cache[0].revision]
        if taken.change.id != entry.change.id:
            self.contradictions += 1

    def _move(self, state: ConfigState) -> None:
        if state.revision <= self.revision:
            raise AssertionError(f"back from {self.revision} to {state.revision}")
        self.state = state
