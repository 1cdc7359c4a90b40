"""Storage of the configuration log and its snapshots.

The log is a ring: entry `r` is stored in slot `r % LOG_SLOTS` and replaces entry
`r - LOG_SLOTS` by compare-and-swap. Slots are never deleted, so a writer that was
paused for long finds its slot taken. If old entries were deleted instead, it
could create its entry in the gap.
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
LOG_SLOTS = 4096
SNAPSHOT_INTERVAL_ENTRIES = 256
PAGE_ENTRIES = 64


@dataclass(frozen=True, slots=True)
class Tail:
    """Hold the entries that the store has after a revision.

    Parameters
    ----------
    entries : tuple of LogEntry
        The next entries, in order.
    is_overwritten : bool, default=False
        Whether the next entry has been overwritten, so that a snapshot has to be
        read.
    """

    entries: tuple[LogEntry, ...]
    is_overwritten: bool = False


class ConfigRepository:
    """Read and write the log and its snapshots.

    Parameters
    ----------
    store : Store
    slots : int, default=LOG_SLOTS
        Number of slots of the log.
    """

    def __init__(self, store: Store, *, slots: int = LOG_SLOTS):
        self.store = store
        self.slots = slots

    def append(self, entry: LogEntry) -> Result[None, StoreError]:
        """Write an entry if it is the next one of the log.

        Parameters
        ----------
        entry : LogEntry
            Already checked against the state before it.

        Returns
        -------
        result : Result of None, StoreError
            `CONFLICT` if the slot is taken, possibly by an earlier write of this
            entry; `UNKNOWN` if the entry may have been written.
        """
        key = self.entry_key(entry.revision)
        value = encode_entry(entry)
        if entry.revision <= self.slots:
            return self.store.create(key, value).map(lambda _: None)
        slot_read = self.store.read(key)
        if isinstance(slot_read, Err):
            return Err(StoreError(ErrorKind.UNAVAILABLE, slot_read.err_value.detail))
        stored = slot_read.ok_value
        previous = _parse_stored(stored)
        if stored is None or previous is None or previous.revision >= entry.revision:
            return Err(StoreError(ErrorKind.CONFLICT, f"{key} is taken"))
        replaced = self.store.replace(key, value, expected=stored.revision)
        return replaced.map(lambda _: None)

    def read_after(self, revision: int) -> Result[Tail, StoreError]:
        """Return the entries that follow a revision.

        Takes a single store read if there are none.
        """
        slot_read = self.store.read(self.entry_key(revision + 1))
        if isinstance(slot_read, Err):
            return slot_read
        first = _parse_stored(slot_read.ok_value)
        if first is None or first.revision <= revision:
            return Ok(Tail(()))
        if first.revision > revision + 1:
            return Ok(Tail((), is_overwritten=True))
        return self._read_page(first)

    def read_state(self) -> Result[ConfigState | None, StoreError]:
        """Return the state of the newest snapshot, or None if there is none."""
        head_read = self.read_head()
        if isinstance(head_read, Err):
            return head_read
        head = head_read.ok_value
        if head is None:
            return Ok(None)
        prefix = _snapshot_prefix(head)
        chunks = self.store.read_prefix(prefix, limit=MAX_CHUNKS)
        if isinstance(chunks, Err):
            return chunks
        state = read_snapshot(head, [entry.value for entry in chunks.ok_value])
        return state.map_err(lambda text: StoreError(ErrorKind.UNAVAILABLE, text))

    def read_head(self) -> Result[SnapshotHead | None, StoreError]:
        """Return the head of the newest snapshot, or None if there is none."""
        stored = self.store.read(HEAD_KEY)
        return stored.map(_parse_head)

    def write_state(self, state: ConfigState) -> Result[None, StoreError]:
        """Write a snapshot unless one as new exists, and delete older ones.

        This also deletes the chunks of an older snapshot that another writer left
        incomplete: that writer can no longer replace the head.
        """
        if state.is_partial:
            return Err(StoreError(ErrorKind.INVALID, "the state is partial"))
        head_read = self.store.read(HEAD_KEY)
        if isinstance(head_read, Err):
            return head_read
        old_head = head_read.ok_value
        if (
            old_head is not None
            and decode_head(old_head.value).revision >= state.revision
        ):
            return Ok(None)
        head, chunks = make_snapshot(state)
        for number, chunk in enumerate(chunks):
            done = self.store.create(f"{_snapshot_prefix(head)}{number:04d}", chunk)
            if isinstance(done, Err) and done.err_value.kind is not ErrorKind.CONFLICT:
                return done
        replaced = self._replace_head(head, old_head)
        if replaced.is_ok():
            self._delete_older_snapshots(head)
        return replaced

    def entry_key(self, revision: int) -> str:
        """Return the store key of the entry of a revision."""
        return f"{LOG_PREFIX}{revision % self.slots:06d}"

    def _read_page(self, first: LogEntry) -> Result[Tail, StoreError]:
        entries = [first]
        page = self.store.read_prefix(
            LOG_PREFIX, after=self.entry_key(first.revision), limit=PAGE_ENTRIES
        )
        if isinstance(page, Err):
            return Ok(Tail((first,)))
        for stored in page.ok_value:
            entry = _parse_stored(stored)
            if entry is None or entry.revision != entries[-1].revision + 1:
                break
            entries.append(entry)
        return Ok(Tail(tuple(entries)))

    def _replace_head(
        self, head: SnapshotHead, old_head: Entry | None
    ) -> Result[None, StoreError]:
        value = encode_head(head)
        if old_head is None:
            return self.store.create(HEAD_KEY, value).map(lambda _: None)
        replaced = self.store.replace(HEAD_KEY, value, expected=old_head.revision)
        return replaced.map(lambda _: None)

    def _delete_older_snapshots(self, head: SnapshotHead) -> None:
        chunks = self.store.read_prefix(SNAPSHOT_PREFIX, limit=MAX_CHUNKS)
        for chunk in chunks.unwrap_or([]):
            if chunk.key < f"{SNAPSHOT_PREFIX}{head.revision:012d}":
                self.store.delete(chunk.key, expected=chunk.revision)


def parse_entry(value: bytes) -> LogEntry | None:
    """Decode the entry in a stored value; return None if it is not valid."""
    try:
        return decode_entry(value)
    except msgspec.DecodeError:
        return None


def _parse_stored(stored: Entry | None) -> LogEntry | None:
    return None if stored is None else parse_entry(stored.value)


def _parse_head(stored: Entry | None) -> SnapshotHead | None:
    return None if stored is None else decode_head(stored.value)


def _snapshot_prefix(head: SnapshotHead) -> str:
    return f"{SNAPSHOT_PREFIX}{head.revision:012d}-{head.digest[:16]}/"
