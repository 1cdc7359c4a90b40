"""Synchronization of the zone record with the store, in a thread of its own.

Calls to the store can take long, so they must not block the membership thread. The
two threads share no state and exchange only messages.
"""

from __future__ import annotations

import logging
import queue
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok

from papayadyke_clients.store import ErrorKind, Store
from papayadyke_core.membership import Snapshot
from papayadyke_core.ownership import (
    ProposalSettings,
    RecordProposer,
    ZoneRecord,
    check_record,
    decode_record,
    encode_record,
)

JOIN_TIMEOUT_S = 10.0
# Maximum time between two steps while no message arrives.
STEP_INTERVAL_S = 0.5

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordSyncSettings:
    """Settings of the synchronization of the zone record.

    Parameters
    ----------
    vm, availability_zone : str
    read_interval_s : float, default=30.0
        Time in seconds between two reads of the store; peers report changes sooner.
    retry_delay_s : float, default=2.0
        Time in seconds from a failed read to the next.
    proposal : ProposalSettings, default=ProposalSettings()
    """

    vm: str
    availability_zone: str
    read_interval_s: float = 30.0
    retry_delay_s: float = 2.0
    proposal: ProposalSettings = field(default_factory=ProposalSettings)


class RecordSync:
    """Reads, proposes and writes the zone record for this VM.

    Parameters
    ----------
    store : Store
        Used only by the thread of this object.
    settings : RecordSyncSettings
    on_record : callable
        Called by the thread of this object with each newer record and a flag that
        is True if this VM wrote it, in which case the peers do not know it yet.
    """

    def __init__(
        self,
        store: Store,
        *,
        settings: RecordSyncSettings,
        on_record: Callable[[ZoneRecord, bool], None],
    ) -> None:
        self.store = store
        self.settings = settings
        self.on_record = on_record
        self._key = f"owners/{settings.availability_zone}"
        self._proposer = RecordProposer(settings.vm, settings=settings.proposal)
        self._inbox: queue.SimpleQueue[Snapshot | ZoneRecord | None] = (
            queue.SimpleQueue()
        )
        self._record: ZoneRecord | None = None
        self._stored_revision: int | None = None
        self._stored_epoch = 0
        self._next_read_s = float("-inf")
        self._thread = threading.Thread(
            target=self._run, name="zone-record", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; wait up to `JOIN_TIMEOUT_S` for a pending store call."""
        self._inbox.put(None)
        self._thread.join(JOIN_TIMEOUT_S)

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Queue a snapshot of the membership; any thread may call this."""
        self._inbox.put(snapshot)

    def apply_peer_record(self, record: ZoneRecord) -> None:
        """Queue a record received from a peer; any thread may call this."""
        self._inbox.put(record)

    def _run(self) -> None:
        snapshot = None
        while True:
            try:
                message = self._inbox.get(timeout=STEP_INTERVAL_S)
            except queue.Empty:
                message = snapshot
            else:
                if message is None:
                    return
            if isinstance(message, ZoneRecord):
                self._apply_record(message, is_own=False)
            elif message is not None:
                snapshot = message
            if self._inbox.empty():
                self._step(snapshot)

    def _step(self, snapshot: Snapshot | None) -> None:
        try:
            if time.monotonic() >= self._next_read_s:
                self._read()
            if snapshot is not None and self._matches_store():
                self._propose(snapshot)
        except Exception:
            logger.exception("zone record: a step failed")

    def _matches_store(self) -> bool:
        """Return whether the latest known record is the one last seen in the store."""
        known_epoch = self._record.epoch if self._record is not None else 0
        return self._stored_revision is not None and self._stored_epoch == known_epoch

    def _read(self) -> None:
        self._next_read_s = time.monotonic() + self.settings.retry_delay_s
        result = self.store.read(self._key)
        if isinstance(result, Err):
            logger.info(
                "zone record: could not read the store: %s", result.err_value.detail
            )
            return
        self._next_read_s = time.monotonic() + self.settings.read_interval_s
        entry = result.ok_value
        if entry is None:
            # A read may be stale, so an empty result does not reset a known revision.
            if self._stored_revision is None:
                self._stored_revision = 0
            return
        decoded = decode_record(entry.value)
        if isinstance(decoded, Err):
            logger.error(
                "zone record: the stored record is not valid: %s",
                decoded.err_value.detail,
            )
            return
        self._update_stored(decoded.ok_value, entry.revision)
        self._apply_record(decoded.ok_value, is_own=False)

    def _update_stored(self, record: ZoneRecord, revision: int) -> None:
        if self._stored_revision is None or revision > self._stored_revision:
            self._stored_revision = revision
            self._stored_epoch = record.epoch

    def _propose(self, snapshot: Snapshot) -> None:
        record = self._proposer.propose(self._record, snapshot, time.monotonic())
        if record is None or self._stored_revision is None:
            return
        value = encode_record(record)
        if self._stored_revision == 0:
            result = self.store.create(self._key, value)
        else:
            result = self.store.replace(
                self._key, value, expected=self._stored_revision
            )
        if isinstance(result, Ok):
            logger.info(
                "zone record: wrote epoch %d with %d owners",
                record.epoch,
                len(record.owners),
            )
            self._update_stored(record, result.ok_value)
            self._apply_record(record, is_own=True)
            return
        # Another VM wrote first, or the reply was lost after the write.
        logger.info("zone record: write not confirmed: %s", result.err_value.detail)
        if result.err_value.kind in (ErrorKind.CONFLICT, ErrorKind.UNKNOWN):
            self._next_read_s = float("-inf")

    def _apply_record(self, record: ZoneRecord, *, is_own: bool) -> None:
        if isinstance(check_record(record), Err):
            logger.warning("zone record: ignored an invalid record from a peer")
            return
        known_epoch = self._record.epoch if self._record is not None else 0
        if record.epoch <= known_epoch:
            return
        self._record = record
        if self._stored_epoch < record.epoch:
            # The record came from a peer: read the store before the next write.
            self._next_read_s = min(
                self._next_read_s, time.monotonic() + self.settings.retry_delay_s
            )
        self.on_record(record, is_own)
