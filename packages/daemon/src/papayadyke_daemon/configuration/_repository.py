"""The log of the configuration in the store.

Entry `r` stands under the slot `r % SLOTS`, and takes the place of entry
`r - SLOTS` by compare-and-swap. Slots are never deleted: a writer that was
paused for long finds its slot taken, where a log that is cut by deletion would
let it write into the hole.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from papayadyke_clients.store import Entry, ErrorKind, Store, StoreError
from papayadyke_core.configuration import (
    MAX_CHUNKS,
    ConfigState,
    LogEntry,
    SnapshotHead,
    decode_entry,
    decode_head,
    encode_entry,
    encode_head,
    make_snapshot,
    read_snapshot,
)

LOG_PREFIX = "config/log/"
HEAD_KEY = "config/snapshot-head"
SNAPSHOT_PREFIX = "config/snapshot/"
SLOTS = 4096
SNAPSHOT_EVERY = 256
PAGE_ENTRIES = 64


@dataclass(frozen=True, slots=True)
class Tail:
    """What the store holds past a revision.

    Parameters
    ----------
    entries : tuple of LogEntry
        The next entries, in order.
    is_overwritten : bool, default=False
        Whether the next entry is gone, so that a snapshot has to be read.
    """

    entries: tuple[LogEntry, ...]
    is_overwritten: bool = False


class ConfigRepository:
    """Reads and writes the log and its snapshots.

    Parameters
    ----------
    store : Store
    slots : int, default=SLOTS
    """

    def __init__(self, store: Store, *, slots: int = SLOTS):
        self.store = store
        self.slots = slots

    def append(self, entry: LogEntry) -> Result[None, StoreError]:
        """Write an entry if the log ends just before it.

        Parameters
        ----------
        entry : LogEntry
            Checked against the state before it.

        Returns
        -------
        result : Result of None, StoreError
            `CONFLICT` where its place is taken, by itself perhaps; `UNKNOWN`
            where it may be.
        """
        key = self.key_of(entry.revision)
        value = encode_entry(entry)
        if entry.revision <= self.slots:
            return self.store.create(key, value).map(lambda _: None)
        found = self.store.read(key)
        if isinstance(found, Err):
            return Err(StoreError(ErrorKind.UNAVAILABLE, found.err_value.detail))
        old = found.ok_value
        before = _parse(old)
        if old is None or before is None or before.revision >= entry.revision:
            return Err(StoreError(ErrorKind.CONFLICT, f"{key} is taken"))
        done = self.store.replace(key, value, expected=old.revision)
        return done.map(lambda _: None)

    def read_after(self, revision: int) -> Result[Tail, StoreError]:
        """Return the entries that follow a revision; one read where none does."""
        found = self.store.read(self.key_of(revision + 1))
        if isinstance(found, Err):
            return found
        first = _parse(found.ok_value)
        if first is None or first.revision <= revision:
            return Ok(Tail(()))
        if first.revision > revision + 1:
            return Ok(Tail((), is_overwritten=True))
        return self._read_page(first)

    def read_state(self) -> Result[ConfigState | None, StoreError]:
        """Return the newest snapshot, or None."""
        found = self.read_head()
        if isinstance(found, Err):
            return found
        head = found.ok_value
        if head is None:
            return Ok(None)
        prefix = _snapshot_prefix(head)
        chunks = self.store.read_prefix(prefix, limit=MAX_CHUNKS)
        if isinstance(chunks, Err):
            return chunks
        state = read_snapshot(head, [entry.value for entry in chunks.ok_value])
        return state.map_err(lambda text: StoreError(ErrorKind.UNAVAILABLE, text))

    def read_head(self) -> Result[SnapshotHead | None, StoreError]:
        """Return the head of the newest snapshot, or None."""
        found = self.store.read(HEAD_KEY)
        return found.map(_parse_head)

    def write_state(self, state: ConfigState) -> Result[None, StoreError]:
        """Write a snapshot unless there is one as new, and drop those before.

        Chunks that another writer left half written go with them: its head can
        no longer be moved.
        """
        if state.is_partial:
            return Err(StoreError(ErrorKind.INVALID, "the state is partial"))
        found = self.store.read(HEAD_KEY)
        if isinstance(found, Err):
            return found
        old = found.ok_value
        if old is not None and decode_head(old.value).revision >= state.revision:
            return Ok(None)
        head, chunks = make_snapshot(state)
        for number, chunk in enumerate(chunks):
            done = self.store.create(f"{_snapshot_prefix(head)}{number:04d}", chunk)
            if isinstance(done, Err) and done.err_value.kind is not ErrorKind.CONFLICT:
                return done
        moved = self._move_head(head, old)
        if moved.is_ok():
            self._drop_before(head)
        return moved

    def key_of(self, revision: int) -> str:
        """Return the key under which an entry stands."""
        return f"{LOG_PREFIX}{revision % self.slots:06d}"

    def _read_page(self, first: LogEntry) -> Result[Tail, StoreError]:
        entries = [first]
        page = self.store.read_prefix(
            LOG_PREFIX, after=self.key_of(first.revision), limit=PAGE_ENTRIES
        )
        if isinstance(page, Err):
            return Ok(Tail((first,)))
        for found in page.ok_value:
            entry = _parse(found)
            if entry is None or entry.revision != entries[-1].revision + 1:
                break
            entries.append(entry)
        return Ok(Tail(tuple(entries)))

    def _move_head(
        self, head: SnapshotHead, old: Entry | None
    ) -> Result[None, StoreError]:
        value = encode_head(head)
        if old is None:
            return self.store.create(HEAD_KEY, value).map(lambda _: None)
        done = self.store.replace(HEAD_KEY, value, expected=old.revision)
        return done.map(lambda _: None)

    def _drop_before(self, head: SnapshotHead) -> None:
        found = self.store.read_prefix(SNAPSHOT_PREFIX, limit=MAX_CHUNKS)
        for entry in found.unwrap_or([]):
            if entry.key < f"{SNAPSHOT_PREFIX}{head.revision:012d}":
                self.store.delete(entry.key, expected=entry.revision)


def parse_entry(value: bytes) -> LogEntry | None:
    """Return the entry of a value, or None where it holds none."""
    try:
        return decode_entry(value)
    except msgspec.DecodeError:
        return None


def _parse(found: Entry | None) -> LogEntry | None:
    return None if found is None else parse_entry(found.value)


def _parse_head(found: Entry | None) -> SnapshotHead | None:
    return None if found is None else decode_head(found.value)


def _snapshot_prefix(head: SnapshotHead) -> str:
    return f"{SNAPSHOT_PREFIX}{head.revision:012d}-{head.digest[:16]}/"
