"""Compaction: write a snapshot, then delete the segments that it covers."""

from __future__ import annotations

import logging
from collections.abc import Iterator

import msgspec
from result import Err, Ok

from papayadyke_clients.store import Entry, ErrorKind, Store
from papayadyke_core.journal import (
    SEGMENT_DIGITS,
    Takeover,
    chunk_key,
    chunk_prefix,
    decode_segment,
    encode_chunks,
    log_prefix,
    segment_key,
    segment_number,
)
from papayadyke_daemon.journal._takeover import OwnedLog, new_id, write_manifest
from papayadyke_daemon.journal._types import JournalSettings

TAKEOVER_RETENTION_S = 24 * 3600.0
ORPHAN_PAGE_ENTRIES = 4

logger = logging.getLogger(__name__)


class OwnershipLostError(Exception):
    """Another VM took over the partition."""


def is_compaction_due(log: OwnedLog, settings: JournalSettings) -> bool:
    """Return whether enough was appended since the last snapshot for a new one."""
    return (
        log.bytes_since >= settings.compact_bytes
        or len(log.segments) >= settings.compact_segments
    )


def compact(store: Store, log: OwnedLog, now_s: float) -> Iterator[None]:
    """Write a snapshot and delete what it covers; yield after each store call.

    Parameters
    ----------
    store : Store
    log : OwnedLog
    now_s : float
        Log time in seconds.

    Raises
    ------
    OwnershipLostError
        If another VM took over the partition.

    Notes
    -----
    A segment that holds a takeover is retained for `TAKEOVER_RETENTION_S`, so that
    the next append of an earlier writer that was paused conflicts with it. A
    failed call ends the compaction, and the next one deletes what it left behind.
    """
    log.retained.remove_expired(now_s)
    through = log.next_number - 1
    at_s = log.at_s
    covered = dict(log.segments)
    covered_bytes = log.bytes_since
    snapshot_id = f"{through:0{SEGMENT_DIGITS}d}-{new_id()}"
    chunks = list(encode_chunks(log.retained))
    for index, data in enumerate(chunks):
        created = store.create(chunk_key(log.partition, snapshot_id, index), data)
        yield
        if isinstance(created, Err):
            return
    manifest = msgspec.structs.replace(
        log.manifest,
        through=through,
        at_s=at_s,
        snapshot_id=snapshot_id,
        chunks=len(chunks),
    )
    written = write_manifest(store, log, manifest)
    yield
    if isinstance(written, Err):
        if written.err_value.kind is ErrorKind.CONFLICT:
            raise OwnershipLostError
        return
    log.segments = {n: r for n, r in log.segments.items() if n not in covered}
    log.bytes_since -= covered_bytes
    logger.info(
        "journal: partition %d: snapshot written through segment %d",
        log.partition,
        through,
    )
    yield from _delete_segments(store, log, covered, now_s)
    yield from _delete_orphans(store, log, now_s)


def _delete_segments(
    store: Store, log: OwnedLog, covered: dict[int, int], now_s: float
) -> Iterator[None]:
    for number, revision in covered.items():
        if _is_retained(log, number, now_s):
            continue
        store.delete(segment_key(log.partition, number), expected=revision)
        yield


def _is_retained(log: OwnedLog, number: int, now_s: float) -> bool:
    takeover_s = log.takeovers.get(number)
    return takeover_s is not None and now_s - takeover_s <= TAKEOVER_RETENTION_S


def _delete_orphans(store: Store, log: OwnedLog, now_s: float) -> Iterator[None]:
    """Delete segments and chunks that an interrupted compaction left behind.

    Only what is older than the manifest written by this VM is deleted: this VM may
    have been paused since then, and a successor may have written a later manifest.
    """
    for entry in _list_all(store, log_prefix(log.partition)):
        number = segment_number(entry.key)
        if number is None or number > log.manifest.through:
            break
        _record_takeover(log, number, entry)
        if not _is_retained(log, number, now_s):
            store.delete(entry.key, expected=entry.revision)
            yield
    through = f"{log.manifest.through:0{SEGMENT_DIGITS}d}"
    oldest_kept = f"{chunk_prefix(log.partition)}{through}"
    for entry in _list_all(store, chunk_prefix(log.partition)):
        if entry.key >= oldest_kept:
            break
        store.delete(entry.key, expected=entry.revision)
        yield


def _record_takeover(log: OwnedLog, number: int, entry: Entry) -> None:
    """Record a takeover by an earlier owner, whose segment is retained as well."""
    segment = decode_segment(entry.value)
    if any(isinstance(segment_entry, Takeover) for segment_entry in segment.entries):
        log.takeovers[number] = segment.at_s


def _list_all(store: Store, prefix: str) -> Iterator[Entry]:
    after = ""
    while True:
        page = store.read_prefix(prefix, after=after, limit=ORPHAN_PAGE_ENTRIES)
        if not isinstance(page, Ok) or not page.ok_value:
            return
        yield from page.ok_value
        after = page.ok_value[-1].key
