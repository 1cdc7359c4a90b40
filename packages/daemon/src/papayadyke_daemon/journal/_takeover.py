"""Takeover of a partition: fence the earlier writer, then replay its log."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from papayadyke_clients.store import ErrorKind, Store, StoreError
from papayadyke_core.journal import (
    Entry,
    Manifest,
    RetainedEntries,
    Segment,
    Takeover,
    TimedEntry,
    chunk_key,
    decode_chunk,
    decode_manifest,
    decode_segment,
    encode_manifest,
    encode_segment,
    log_prefix,
    manifest_key,
    segment_key,
    segment_number,
)
from papayadyke_daemon.journal._types import JournalSettings, Replay
from papayadyke_daemon.journal._verified_writes import read_existing, replace_verified

SEGMENTS_PER_PAGE = 8
MAX_ATTEMPTS = 20
MAX_TAKEOVER_S = 3600.0

_CONTENDED = StoreError(ErrorKind.CONFLICT, "another VM is taking over the partition")


@dataclass(slots=True)
class OwnedLog:
    """State that the owner of a partition keeps of its log in the store.

    Parameters
    ----------
    partition : int
    manifest : Manifest
    revision : int
        Revision of the manifest.
    next_number : int
        Number of the next segment.
    at_s : float
        Log time at `monotonic_s`, in seconds.
    monotonic_s : float
        Monotonic time in seconds.
    retained : RetainedEntries
    segments : dict of int to int
        Revisions of the segments since the snapshot, by number.
    takeovers : dict of int to float
        Log times in seconds of the segments that fence an earlier writer, by number.
    bytes_since : int
        Bytes in the segments since the snapshot.
    """

    partition: int
    manifest: Manifest
    revision: int
    next_number: int
    at_s: float
    monotonic_s: float
    retained: RetainedEntries
    segments: dict[int, int]
    takeovers: dict[int, float]
    bytes_since: int

    def log_time_s(self, now: float) -> float:
        """Return the log time at a monotonic time, both in seconds."""
        return self.at_s + max(0.0, now - self.monotonic_s)


def new_id() -> str:
    """Return a unique id for a write."""
    return uuid.uuid4().hex


def take_over(
    store: Store,
    partition: int,
    settings: JournalSettings,
    clock: Callable[[], float],
) -> Result[tuple[OwnedLog, Replay], StoreError]:
    """Make this VM the only one that can append to a partition, and replay its log.

    Parameters
    ----------
    store : Store
    partition : int
    settings : JournalSettings
    clock : callable
        Returns monotonic seconds.

    Returns
    -------
    result : Result of (OwnedLog, Replay) or StoreError

    Notes
    -----
    The manifest is replaced first, at the revision that was read: this proves that
    it is the latest one, so no segment after it has been deleted, and a segment
    number that can be created was never used. If another VM takes over in the
    meantime, its segment shows it, and the takeover starts over.
    """
    for _ in range(MAX_ATTEMPTS):
        started_s = clock()
        claimed = _claim_manifest(store, partition, settings)
        if isinstance(claimed, Err):
            if claimed.err_value.kind in (ErrorKind.CONFLICT, ErrorKind.UNKNOWN):
                continue
            return claimed
        manifest, revision = claimed.ok_value
        log = OwnedLog(
            partition=partition,
            manifest=manifest,
            revision=revision,
            next_number=manifest.through + 1,
            at_s=manifest.at_s,
            monotonic_s=started_s,
            retained=RetainedEntries(),
            segments={},
            takeovers={},
            bytes_since=0,
        )
        result = _replay(store, log, settings)
        if isinstance(result, Ok) and clock() - started_s < MAX_TAKEOVER_S:
            return Ok((log, result.ok_value))
        if isinstance(result, Err) and result.err_value is not _CONTENDED:
            return result
    return Err(
        StoreError(ErrorKind.UNAVAILABLE, "other VMs kept taking over the partition")
    )


def _claim_manifest(
    store: Store, partition: int, settings: JournalSettings
) -> Result[tuple[Manifest, int], StoreError]:
    key = manifest_key(partition)
    read = store.read(key)
    if isinstance(read, Err):
        return read
    entry = read.ok_value
    if entry is None:
        manifest = Manifest(settings.vm, settings.incarnation, new_id())
        created = store.create(key, encode_manifest(manifest))
        return created.map(lambda revision: (manifest, revision))
    claimed = msgspec.structs.replace(
        decode_manifest(entry.value),
        vm=settings.vm,
        incarnation=settings.incarnation,
        nonce=new_id(),
    )
    replaced = replace_verified(
        store, key, encode_manifest(claimed), expected=entry.revision
    )
    return replaced.map(lambda revision: (claimed, revision))


def _replay(
    store: Store, log: OwnedLog, settings: JournalSettings
) -> Result[Replay, StoreError]:
    snapshot = _load_snapshot(store, log)
    if isinstance(snapshot, Err):
        return snapshot
    entries = snapshot.ok_value
    segment_id = new_id()
    takeover = Takeover(settings.vm, settings.incarnation)
    for _ in range(MAX_ATTEMPTS):
        segments = _load_segments(store, log, segment_id)
        if isinstance(segments, Err):
            return segments
        entries += segments.ok_value.entries
        if segments.ok_value.is_own:
            return _confirm_replay(store, log, entries)
        created = store.create(
            segment_key(log.partition, log.next_number),
            encode_segment(
                Segment(
                    segment_id, settings.vm, settings.incarnation, log.at_s, (takeover,)
                )
            ),
        )
        if isinstance(created, Ok):
            _record_segment(
                log, log.next_number, created.ok_value, log.at_s, (takeover,)
            )
            return _confirm_replay(store, log, entries)
        if created.err_value.kind in (ErrorKind.UNAVAILABLE, ErrorKind.INVALID):
            return created
    return Err(_CONTENDED)


def _load_snapshot(store: Store, log: OwnedLog) -> Result[list[TimedEntry], StoreError]:
    entries: list[TimedEntry] = []
    manifest = log.manifest
    for index in range(manifest.chunks):
        key = chunk_key(log.partition, manifest.snapshot_id, index)
        chunk = read_existing(store, key)
        if chunk is None:
            return Err(_CONTENDED)
        entries += decode_chunk(chunk.value)
    for timed in entries:
        log.retained.apply(timed.entry, timed.at_s)
    return Ok(entries)


@dataclass(slots=True)
class _LoadedSegments:
    entries: list[TimedEntry]
    is_own: bool = False


def _load_segments(
    store: Store, log: OwnedLog, own_id: str
) -> Result[_LoadedSegments, StoreError]:
    """Load the next segments up to the first gap, which a stale read can show."""
    segments = _LoadedSegments([])
    prefix = log_prefix(log.partition)
    while True:
        last = log.next_number - 1
        after = segment_key(log.partition, last) if last >= 0 else ""
        page = store.read_prefix(prefix, after=after, limit=SEGMENTS_PER_PAGE)
        if isinstance(page, Err):
            return page
        before = log.next_number
        for entry in page.ok_value:
            if segment_number(entry.key) != log.next_number:
                break
            segment = decode_segment(entry.value)
            log.bytes_since += len(entry.value)
            _record_segment(
                log, log.next_number, entry.revision, segment.at_s, segment.entries
            )
            segments.entries += [TimedEntry(segment.at_s, e) for e in segment.entries]
            segments.is_own = segment.id == own_id
        if log.next_number - before < SEGMENTS_PER_PAGE:
            return Ok(segments)


def _record_segment(
    log: OwnedLog, number: int, revision: int, at_s: float, entries: tuple[Entry, ...]
) -> None:
    log.segments[number] = revision
    log.at_s = max(log.at_s, at_s)
    log.next_number = number + 1
    for entry in entries:
        log.retained.apply(entry, at_s)
        if isinstance(entry, Takeover):
            log.takeovers[number] = at_s


def _confirm_replay(
    store: Store, log: OwnedLog, entries: list[TimedEntry]
) -> Result[Replay, StoreError]:
    """Prove that no other VM replaced the manifest during the replay."""
    if isinstance(confirm_owner(store, log), Err):
        return Err(_CONTENDED)
    epoch = log.next_number - 1
    return Ok(Replay(log.partition, epoch, log.at_s, log.monotonic_s, tuple(entries)))


def confirm_owner(store: Store, log: OwnedLog) -> Result[None, StoreError]:
    """Rewrite the manifest, which fails if another VM took over."""
    return write_manifest(store, log, log.manifest)


def write_manifest(
    store: Store, log: OwnedLog, manifest: Manifest
) -> Result[None, StoreError]:
    """Replace the manifest; `CONFLICT` means that another VM took over."""
    fresh = msgspec.structs.replace(manifest, nonce=new_id())
    result = replace_verified(
        store,
        manifest_key(log.partition),
        encode_manifest(fresh),
        expected=log.revision,
    )
    if isinstance(result, Err):
        return result
    log.manifest = fresh
    log.revision = result.ok_value
    return Ok(None)
