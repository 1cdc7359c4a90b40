"""List a prefix of the store, and watch it for changes."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable

from result import Err, Ok, Result

from papayadyke_daemon.edge._clock import read_clock
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
    watch from there reports all changes made while later pages were read. A page
    without records that is not the last one is an error: the list would be cut short.
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
        if not page.has_more:
            return Ok(Page(records, revision))
        if not page.records:
            return Err(StoreError(StoreErrorKind.UNKNOWN, "an empty page of a list"))
        after = page.records[-1].key


class PrefixWatch:
    """Position in the changes of a prefix, which are passed on to callbacks.

    Parameters
    ----------
    store : RecordStore
    prefix : str
    revision : int or None
        Revision after which to watch; None lists the whole prefix first.
    on_change : callable
        Called with each change.
    on_listing : callable
        Called with all records, at first and after the history was compacted.
    on_answered : callable, optional
        Called after each call with the time at which it was sent, in seconds on the
        clock of `read_clock`, and whether the store answered.
    """

    def __init__(
        self,
        store: RecordStore,
        prefix: str,
        *,
        revision: int | None,
        on_change: Callable[[Record], None],
        on_listing: Callable[[list[Record]], None],
        on_answered: Callable[[float, bool], None] | None = None,
    ) -> None:
        self.prefix = prefix
        self.revision = revision
        self._store = store
        self._on_change = on_change
        self._on_listing = on_listing
        self._on_answered = on_answered
        self._has_lost_contact = False

    def run(self, stopped: threading.Event, *, interval_s: float) -> None:
        """Follow the prefix until `stopped` is set.

        Parameters
        ----------
        stopped : threading.Event
        interval_s : float
            Least time between two calls in seconds; changes in between are batched.
        """
        while not stopped.is_set():
            try:
                error = self.call_once()
            except Exception:
                LOG.exception("store: watching %s failed; listing it", self.prefix)
                self.revision = None
                stopped.wait(WATCH_RETRY_S)
                continue
            stopped.wait(interval_s if error is None else WATCH_RETRY_S)

    def call_once(self) -> StoreError | None:
        """List or watch the prefix once; return the error of the store, if any."""
        sent_s = read_clock()
        error = self._list() if self.revision is None else self._watch(self.revision)
        if self._on_answered is not None:
            self._on_answered(sent_s, error is None)
        if error is None:
            if self._has_lost_contact:
                log_event(LOG, "store: regained", prefix=self.prefix)
            self._has_lost_contact = False
        elif error.kind is StoreErrorKind.COMPACTED:
            self.revision = None
        elif not self._has_lost_contact:
            self._has_lost_contact = True
            log_event(LOG, "store: lost", prefix=self.prefix, why=error.detail)
        return error

    def _list(self) -> StoreError | None:
        listing = list_prefix(self._store, self.prefix)
        if isinstance(listing, Err):
            return listing.err_value
        self._on_listing(listing.ok_value.records)
        self.revision = listing.ok_value.revision
        return None

    def _watch(self, revision: int) -> StoreError | None:
        changes = self._store.watch(self.prefix, after=revision, wait_s=WATCH_WAIT_S)
        if isinstance(changes, Err):
            return changes.err_value
        for record in changes.ok_value.records:
            self._on_change(record)
        self.revision = max(revision, changes.ok_value.revision)
        return None
