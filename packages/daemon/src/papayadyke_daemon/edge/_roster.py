"""Store which upstreams a successor must ask for runs.

These are the upstreams that may have any: an upstream gets no work before it has
answered and the stored roster names it. Once a takeover has waited for those that are
silent, they run nothing and are left out until they answer.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Mapping

import msgspec
from result import Err, Result

from papayadyke_core.dispatch import Upstream, UpstreamEntry
from papayadyke_daemon.edge._clock import read_clock
from papayadyke_daemon.edge._keys import (
    DECIDER_KEY,
    ROSTER_KEY,
    RosterRecord,
    encode_roster,
)
from papayadyke_daemon.edge._logs import log_event
from papayadyke_daemon.edge._metrics import METRICS
from papayadyke_daemon.edge._ports import (
    RecordStore,
    StoreError,
    StoreErrorKind,
    Write,
)

LOG = logging.getLogger(__name__)

# Bytes of a row of an encoded roster in addition to the id and the address, and of its
# other fields.
ROW_BYTES, OTHER_BYTES = 6, 4_096
ROSTER_RETRY_S = 0.15  # seconds before a roster that could not be stored is retried


class Term(msgspec.Struct, frozen=True):
    """Term of one decider.

    Parameters
    ----------
    token : int
        Fencing token: revision at which this VM became the decider.
    number : int
        Number of terms before this one, of any VM.
    roster : RosterRecord
        Upstreams that earlier deciders recorded.
    """

    token: int
    number: int
    roster: RosterRecord


class RosterWriter:
    """Write the roster when upstreams answer or leave, on the decider's condition.

    All methods must be called on the decider's thread.

    Parameters
    ----------
    store : RecordStore
    term : Term
    max_bytes : int
        Most bytes of a value in the store. Upstreams that the roster has no room for
        get no work.
    post : callable
        Schedules a function on the decider's thread.
    on_stored : callable
        Called after a newer roster was stored.
    """

    def __init__(
        self,
        store: RecordStore,
        *,
        term: Term,
        max_bytes: int,
        post: Callable[[Callable[[], None]], None],
        on_stored: Callable[[], None],
    ) -> None:
        self._store = store
        self._max_bytes = max_bytes
        self._token = term.token
        self._terms = term.number + 1
        self._post = post
        self._on_stored = on_stored
        # Rows that the stored roster holds, also if the write in progress succeeds.
        self._stored = dict(term.roster.upstreams)
        # The roster was written in the same transaction as the decider's key.
        self._revision = term.token
        self._is_outdated = False
        self._is_write_active = False
        self._next_s = 0.0
        self._left_out = 0

    def names(self, entry: UpstreamEntry) -> bool:
        """Return whether the stored roster names an upstream as it is listed."""
        return self._stored.get(entry.upstream_id) == _make_row(entry)

    def mark_outdated(self) -> None:
        """Have the roster written again."""
        self._is_outdated = True

    def update(self, upstreams: Mapping[str, Upstream], now: float) -> None:
        """Store the roster in the background if it is outdated."""
        if not self._is_outdated or self._is_write_active or now < self._next_s:
            return
        self._is_outdated = False
        self._is_write_active = True
        rows = {
            name: _make_row(upstream.entry)
            for name, upstream in upstreams.items()
            if upstream.is_recorded or upstream.may_have_runs
        }
        rows = self._fit(rows)
        self._keep_stored(rows)
        threading.Thread(
            target=self.write, args=(rows,), name="roster", daemon=True
        ).start()

    def write(self, rows: dict[str, tuple[str, str]]) -> None:
        """Store a roster; the result is handled on the decider's thread."""
        record = RosterRecord(self._terms, rows)
        stored: Result[int, StoreError] = Err(StoreError(StoreErrorKind.UNKNOWN))
        try:
            # The second condition keeps an earlier write that is carried out late from
            # replacing this one.
            stored = self._store.write(
                [Write(ROSTER_KEY, encode_roster(record, self._max_bytes))],
                expected=[(DECIDER_KEY, self._token), (ROSTER_KEY, self._revision)],
            )
        finally:
            self._post(lambda: self._handle_result(rows, stored))

    def _fit(self, rows: dict[str, tuple[str, str]]) -> dict[str, tuple[str, str]]:
        """Return the rows that fit; those that are stored already come first."""
        room = self._max_bytes - OTHER_BYTES
        fitting = {}
        for name in sorted(rows, key=lambda name: name not in self._stored):
            room -= len(name) + len(rows[name][0]) + ROW_BYTES
            if room < 0:
                break
            fitting[name] = rows[name]
        left_out = len(rows) - len(fitting)
        if left_out != self._left_out:
            self._left_out = left_out
            log_event(LOG, "decider: upstreams not in the roster", left_out=left_out)
            METRICS.set_gauge("papayadyke_upstreams_without_room", left_out)
        return fitting

    def _keep_stored(self, rows: Mapping[str, tuple[str, str]]) -> None:
        """Forget the rows that a write removes, as its answer may be lost."""
        self._stored = {
            name: row for name, row in self._stored.items() if rows.get(name) == row
        }

    def _handle_result(
        self, rows: dict[str, tuple[str, str]], stored: Result[int, StoreError]
    ) -> None:
        self._is_write_active = False
        if isinstance(stored, Err):
            error = stored.err_value
            log_event(LOG, "decider: roster not stored", why=error.kind)
            for record in error.current_records:
                if record.key == ROSTER_KEY:
                    self._revision = record.revision
            self._is_outdated = True
            self._next_s = read_clock() + ROSTER_RETRY_S
            return
        self._revision = stored.ok_value
        self._stored = rows
        self._on_stored()


def _make_row(entry: UpstreamEntry) -> tuple[str, str]:
    """Return what the roster holds of an upstream."""
    return entry.address, entry.service
