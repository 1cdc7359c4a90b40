"""Buckets and roll-ups in the store."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
from result import Err, Ok, Result

from papayadyke_clients.store import Entry, ErrorKind, Store, StoreError
from papayadyke_core.slo import (
    Bucket,
    BurnReport,
    RefusedRequest,
    Rollup,
    decode_bucket,
    decode_rollup,
    encode_bucket,
    encode_rollup,
    make_report,
    roll_up,
)

MINUTE_PREFIX = "slo/minute/"
HOUR_PREFIX = "slo/hour/"
PAGE_ENTRIES = 500
MINUTE_S = 60
HOUR_S = 3600
MINUTES_PER_HOUR = 60
LATE_MINUTES = 5
HOURS_KEPT = 24 * 31


class LevelArchive:
    """Writes buckets, rolls hours up and reads reports.

    Parameters
    ----------
    store : Store

    Notes
    -----
    A bucket stands at ``slo/minute/{minute}/{vm}-{incarnation}`` for an hour,
    and is then summed with all others of its hour at ``slo/hour/{hour}``. Which
    VM does that does not matter: the hour is written by create-if-absent, and
    its record names what it contains, so that nothing is counted twice.
    """

    def __init__(self, store: Store) -> None:
        self.store = store

    def write(self, bucket: Bucket) -> Result[None, StoreError]:
        """Write a bucket; one that is there already was written before."""
        written = self.store.create(_key_of(bucket), encode_bucket(bucket))
        if isinstance(written, Err) and written.err_value.kind is ErrorKind.CONFLICT:
            return Ok(None)
        return written.map(lambda revision: None)

    def roll_up(self, hour: int) -> Result[int, StoreError]:
        """Sum the minutes of an hour, then delete them.

        Returns
        -------
        result : Result of int or StoreError
            Number of minutes deleted.
        """
        first = hour * MINUTES_PER_HOUR
        found = self._read_minutes(first, first + MINUTES_PER_HOUR)
        if isinstance(found, Err):
            return found
        entries = found.ok_value
        if not entries:
            return Ok(0)
        summed = roll_up(_decode_buckets(entries), hour=hour)
        written = self.store.create(_hour_key(hour), encode_rollup(summed))
        if isinstance(written, Err) and written.err_value.kind is not (
            ErrorKind.CONFLICT
        ):
            return written
        return self._delete_contained(hour, entries)

    def drop_old_hours(self, hour: int) -> Result[int, StoreError]:
        """Delete the roll-ups that are past their retention."""
        found = self._read_all(HOUR_PREFIX, after="")
        if isinstance(found, Err):
            return found
        oldest = _hour_key(hour - HOURS_KEPT)
        old = [entry for entry in found.ok_value if entry.key < oldest]
        for entry in old:
            self.store.delete(entry.key, expected=entry.revision)
        return Ok(len(old))

    def read_report(self, at: float, window_s: int) -> Result[BurnReport, StoreError]:
        """Return the report on service-level burn."""
        minutes = self._read_all(MINUTE_PREFIX, after="")
        if isinstance(minutes, Err):
            return minutes
        hours = self._read_all(HOUR_PREFIX, after="")
        if isinstance(hours, Err):
            return hours
        return Ok(
            make_report(
                _decode_buckets(minutes.ok_value),
                _decode_rollups(hours.ok_value),
                at=at,
                window_s=window_s,
            )
        )

    def read_buckets(self, since: float) -> Result[list[Bucket], StoreError]:
        """Return the single minutes that are kept, from a time on.

        Parameters
        ----------
        since : float
            Wall-clock time, in seconds since the epoch.
        """
        first = int(since // MINUTE_S)
        found = self._read_all(MINUTE_PREFIX, after=_minute_prefix(first))
        return found.map(_decode_buckets)

    def read_refused(
        self, since: float, *, workload: str | None = None
    ) -> Result[list[RefusedRequest], StoreError]:
        """Return refused requests that are kept, oldest first.

        Parameters
        ----------
        since : float
            Wall-clock time, in seconds since the epoch.
        workload : str or None, default=None
            None returns those of every workload.
        """
        found = self.read_buckets(since)
        if isinstance(found, Err):
            return found
        refused = [
            item
            for bucket in found.ok_value
            for item in bucket.refused
            if item.at >= since and workload in (None, item.workload)
        ]
        return Ok(sorted(refused, key=lambda item: item.at))

    def _delete_contained(
        self, hour: int, entries: Iterable[Entry]
    ) -> Result[int, StoreError]:
        """Delete the minutes that the record in the store contains."""
        kept = self.store.read(_hour_key(hour))
        if isinstance(kept, Err):
            return kept
        if kept.ok_value is None:
            return Ok(0)
        rollup = decode_rollup(kept.ok_value.value)
        contained = {
            f"{_minute_prefix(source.minute)}{source.vm}-{source.incarnation:x}"
            for source in rollup.sources
        }
        deleted = 0
        for entry in entries:
            if entry.key in contained:
                self.store.delete(entry.key, expected=entry.revision)
                deleted += 1
        return Ok(deleted)

    def _read_minutes(self, first: int, end: int) -> Result[list[Entry], StoreError]:
        found = self._read_all(MINUTE_PREFIX, after=_minute_prefix(first))
        return found.map(
            lambda entries: [e for e in entries if e.key < _minute_prefix(end)]
        )

    def _read_all(self, prefix: str, *, after: str) -> Result[list[Entry], StoreError]:
        entries: list[Entry] = []
        while True:
            page = self.store.read_prefix(prefix, after=after, limit=PAGE_ENTRIES)
            if isinstance(page, Err):
                return page
            entries += page.ok_value
            if len(page.ok_value) < PAGE_ENTRIES:
                return Ok(entries)
            after = entries[-1].key


def _key_of(bucket: Bucket) -> str:
    return f"{_minute_prefix(bucket.minute)}{bucket.vm}-{bucket.incarnation:x}"


def _minute_prefix(minute: int) -> str:
    return f"{MINUTE_PREFIX}{minute:010d}/"


def _hour_key(hour: int) -> str:
    return f"{HOUR_PREFIX}{hour:08d}"


def _decode_buckets(entries: Iterable[Entry]) -> list[Bucket]:
    buckets = []
    for entry in entries:
        try:
            buckets.append(decode_bucket(entry.value))
        except msgspec.DecodeError:
            continue
    return buckets


def _decode_rollups(entries: Iterable[Entry]) -> list[Rollup]:
    return [decode_rollup(entry.value) for entry in entries]
