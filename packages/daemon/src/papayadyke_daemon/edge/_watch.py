"""List a prefix of the store, and watch it for changes."""

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

WATCH_WAIT_S = 1.5  # seconds; short, to detect a silent connection in time
WATCH_RETRY_S = 0.25  # seconds between two calls to a store that does not answer


def list_prefix(store: RecordStore, prefix: str) -> Result[Page, StoreError]:
    """Return all records of a prefix.

    The pages are not one snapshot. The revision is that of the first page, so a
    watch from there reports all changes made while later pages were read.
    """
    records: list[Record] = []
    revision: int | None = None
    after = ""
    while True:
        reply = store.read_prefix(prefix, after=after)
        if isinstance(reply, Err):
            return reply
        page = reply.ok_value
        revision = page.revision if revision is None else revision
        records += page.records
        if not page.has_more or not page.records:
            return Ok(Page(records, revision))
        after = page.records[-1].key


def watch_prefix(
    store: RecordStore,
    prefix: str,
    *,
    revision: int | None,
    interval_s: float,
    stopped: threading.Event,
    on_change: Callable[[Record], None],
    on_listing: Callable[[list[Record]], None],
    on_contact: Callable[[bool], None] | None = None,
) -> None:
    """Watch a prefix until `stopped` is set.

    Parameters
    ----------
    store : RecordStore
    prefix : str
    revision : int or None
        Revision after which to watch; None lists the whole prefix first.
    interval_s : float
        Least time between two calls in seconds; changes in between are batched.
    stopped : threading.Event
    on_change : callable
        Called with each change.
    on_listing : callable
        Called with all records, at first and after the history was compacted.
    on_contact : callable, optional
        Called after each call with whether the store answered.
    """
    has_lost_store_contact = False
    while not stopped.is_set():
        if revision is None:
            listing = list_prefix(store, prefix)
            if isinstance(listing, Ok):
                on_listing(listing.ok_value.records)
                revision = listing.ok_value.revision
            error = listing.err()
        else:
            changes = store.watch(prefix, after=revision, wait_s=WATCH_WAIT_S)
            if isinstance(changes, Ok):
                revision = max(revision, changes.ok_value.revision)
                for record in changes.ok_value.records:
                    on_change(record)
            error = changes.err()
        if on_contact is not None:
            on_contact(error is None)
        if error is None:
            if has_lost_store_contact:
                log_event(LOG, "store: regained", prefix=prefix)
            has_lost_store_contact = False
            stopped.wait(interval_s)
            continue
        if error.kind is StoreErrorKind.COMPACTED:
            revision = None
        elif not has_lost_store_contact:
            has_lost_store_contact = True
            log_event(LOG, "store: lost", prefix=prefix, why=error.detail)
        stopped.wait(WATCH_RETRY_S)
