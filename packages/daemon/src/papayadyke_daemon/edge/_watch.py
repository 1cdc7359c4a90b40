"""Reading a prefix of the store whole, and following its changes."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable

from result import Err, Ok, Result

from papayadyke_daemon.edge._logs import log_event
from papayadyke_daemon.edge._ports import (
    Page,
    Record,
    RecordStore,
    StoreError,
    StoreErrorKind,
)

LOG = logging.getLogger(__name__)

WATCH_WAIT_S = 1.5  # seconds; short, so that a silent connection is noticed in time
RETRY_S = 0.25  # seconds between two calls to a store that does not answer


def list_prefix(store: RecordStore, prefix: str) -> Result[Page, StoreError]:
    """Return all records of a prefix.

    The revision is that of the first page: the pages are no snapshot, and changes
    from there on are seen again by a watch.
    """
    records: list[Record] = []
    revision: int | None = None
    after = ""
    while True:
        page = store.read_prefix(prefix, after=after)
        if isinstance(page, Err):
            return page
        found = page.ok_value
        revision = found.revision if revision is None else revision
        records += found.records
        if not found.has_more or not found.records:
            return Ok(Page(records, revision))
        after = found.records[-1].key


def watch_prefix(
    store: RecordStore,
    prefix: str,
    *,
    revision: int | None,
    interval_s: float,
    stopped: threading.Event,
    take: Callable[[Record], None],
    relist: Callable[[list[Record]], None],
    heard: Callable[[bool], None] | None = None,
) -> None:
    """Follow a prefix until `stopped` is set.

    Parameters
    ----------
    store : RecordStore
    prefix : str
    revision : int or None
        Where to go on from; None reads the whole prefix first.
    interval_s : float
        Least time between two calls, in seconds; changes gather meanwhile.
    stopped : threading.Event
    take : callable
        Called with each change.
    relist : callable
        Called with all records, first and after the history was lost.
    heard : callable, optional
        Called with whether the store answered.
    """
    is_lost = False
    while not stopped.is_set():
        if revision is None:
            whole = list_prefix(store, prefix)
            if isinstance(whole, Ok):
                relist(whole.ok_value.records)
                revision = whole.ok_value.revision
            error = whole.err()
        else:
            changes = store.watch(prefix, after=revision, wait_s=WATCH_WAIT_S)
            if isinstance(changes, Ok):
                revision = max(revision, changes.ok_value.revision)
                for record in changes.ok_value.records:
                    take(record)
            error = changes.err()
        if heard is not None:
            heard(error is None)
        if error is None:
            if is_lost:
                log_event(LOG, "store: regained", prefix=prefix)
            is_lost = False
            stopped.wait(interval_s)
            continue
        if error.kind is StoreErrorKind.COMPACTED:
            revision = None
        elif not is_lost:
            is_lost = True
            log_event(LOG, "store: lost", prefix=prefix, why=error.detail)
        stopped.wait(RETRY_S)
