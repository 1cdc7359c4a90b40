"""Storage of minute buckets and hourly roll-ups of service levels."""

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
# Wait after the end of an hour, so that delayed buckets are included.
ROLL_UP_DELAY_MINUTES = 5
RETENTION_HOURS = 24 * 31


class LevelArchive:
    """Write minute buckets, roll up hours and read reports.

    Parameters
    ----------
    store : Store

    Notes
    -----
    A bucket is stored under ``slo/minute/{minute}/{vm}-{incarnation}`` for an
    hour, and is then summed with all other buckets of its hour into the roll-up
    ``slo/hour/{hour}``. Any VM may write the roll-up: it is created only if
    absent, and lists the buckets that it contains, so that no bucket is counted
    twice.
    """

    def __init__(self, store: Store) -> None:
        self.store = store

    def write(self, bucket: Bucket) -> Result[None, StoreError]:
        """Write a bucket; an existing record counts as success, from an earlier try."""
        written = self.store.create(_minute_key(bucket), encode_bucket(bucket))
        if isinstance(written, Err) and written.err_value.kind is ErrorKind.CONFLICT:
            return Ok(None)
        return written.map(lambda revision: None)

    def roll_up(self, hour: int) -> Result[int, StoreError]:
        """Sum the minute buckets of an hour, then delete them.

        Returns
        -------
        result : Result of int or StoreError
            Number of minute buckets deleted.
        """
        first = hour * MINUTES_PER_HOUR
        minutes = self._read_minutes(first, first + MINUTES_PER_HOUR)
        if isinstance(minutes, Err):
            return minutes
        entries = minutes.ok_value
        if not entries:
            return Ok(0)
        rollup = roll_up(_decode_buckets(entries), hour=hour)
        written = self.store.create(_hour_key(hour), encode_rollup(rollup))
        if isinstance(written, Err) and written.err_value.kind is not (
            ErrorKind.CONFLICT
        ):
            return written
        return self._delete_rolled_up(hour, entries)

    def delete_old_rollups(self, hour: int) -> Result[int, StoreError]:
        """Delete and count the roll-ups older than the retention period."""
        hours = self._read_all(HOUR_PREFIX, after="")
        if isinstance(hours, Err):
            return hours
        oldest_key = _hour_key(hour - RETENTION_HOURS)
        expired = [entry for entry in hours.ok_value if entry.key < oldest_key]
        for entry in expired:
            self.store.delete(entry.key, expected=entry.revision)
        return Ok(len(expired))

    def read_report(self, at: float, window_s: int) -> Result[BurnReport, StoreError]:
        """Return the burn report for the last `window_s` seconds before `at`."""
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
        """Return the stored minute buckets since a time, without roll-ups.

        Parameters
        ----------
        since : float
            Wall-clock time, in seconds since the epoch.
        """
        first = int(since // MINUTE_S)
        minutes = self._read_all(MINUTE_PREFIX, after=_minute_prefix(first))
        return minutes.map(_decode_buckets)

    def read_refused(
        self, since: float, *, workload: str | None = None
    ) -> Result[list[RefusedRequest], StoreError]:
        """Return the stored refused requests since a time, oldest first.

        Parameters
        ----------
        since : float
            Wall-clock time, in seconds since the epoch.
        workload : str or None, default=None
            None selects all workloads.
        """
        buckets = self.read_buckets(since)
        if isinstance(buckets, Err):
            return buckets
        refused = [
            request
            for bucket in buckets.ok_value
            for request in bucket.refused
            if request.at >= since and workload in (None, request.workload)
        ]
        return Ok(sorted(refused, key=lambda request: request.at))

    def _delete_rolled_up(
        self, hour: int, entries: Iterable[Entry]
    ) -> Result[int, StoreError]:
        """Delete the minute buckets that the stored roll-up contains."""
        stored = self.store.read(_hour_key(hour))
        if isinstance(stored, Err):
            return stored
        if stored.ok_value is None:
            return Ok(0)
        rollup = decode_rollup(stored.ok_value.value)
        contained_keys = {
            f"{_minute_prefix(source.minute)}{source.vm}-{source.incarnation:x}"
            for source in rollup.sources
        }
        deleted = 0
        for entry in entries:
            if entry.key in contained_keys:
                self.store.delete(entry.key, expected=entry.revision)
                deleted += 1
        return Ok(deleted)

    def _read_minutes(self, first: int, end: int) -> Result[list[Entry], StoreError]:
        minutes = self._read_all(MINUTE_PREFIX, after=_minute_prefix(first))
        return minutes.map(
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


def _minute_key(bucket: Bucket) -> str:
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
