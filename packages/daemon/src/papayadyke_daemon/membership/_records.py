"""The thread that reads and writes the zone record in the store.

Calls to the store may take long, so they have a thread of their own; it shares
nothing with the thread of the membership but messages.
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
WAKE_S = 0.5

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class RecordKeeperSettings:
    """How the zone record is kept.

    Parameters
    ----------
    vm, availability_zone : str
    read_s : float, default=30.0
        Time between two reads of the store; peers tell of changes sooner.
    retry_s : float, default=2.0
        Time after a failed read.
    proposal : ProposalSettings, default=ProposalSettings()
    """

    vm: str
    availability_zone: str
    read_s: float = 30.0
    retry_s: float = 2.0
    proposal: ProposalSettings = field(default_factory=ProposalSettings)


class RecordKeeper:
    """Owns the zone record of this VM.

    Parameters
    ----------
    store : Store
        Belongs to the thread of the keeper.
    settings : RecordKeeperSettings
    on_record : callable
        Called by the thread of the keeper with each newer record, and whether
        this VM wrote it, so that its peers do not know it yet.
    """

    def __init__(
        self,
        store: Store,
        *,
        settings: RecordKeeperSettings,
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
        """End the thread after a call that is under way."""
        self._inbox.put(None)
        self._thread.join(JOIN_TIMEOUT_S)

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Take what is known of the members; any thread may call it."""
        self._inbox.put(snapshot)

    def apply_peer_record(self, record: ZoneRecord) -> None:
        """Take a record that a peer told; any thread may call it."""
        self._inbox.put(record)

    def _run(self) -> None:
        snapshot = None
        while True:
            try:
                item = self._inbox.get(timeout=WAKE_S)
            except queue.Empty:
                item = snapshot
            else:
                if item is None:
                    return
            if isinstance(item, ZoneRecord):
                self._learn(item, is_own=False)
            elif item is not None:
                snapshot = item
            if self._inbox.empty():
                self._work(snapshot)

    def _work(self, snapshot: Snapshot | None) -> None:
        try:
            if time.monotonic() >= self._next_read_s:
                self._read()
            if snapshot is not None and self._knows_store():
                self._propose(snapshot)
        except Exception:
            logger.exception("zone record: a step failed")

    def _knows_store(self) -> bool:
        """Tell whether the store was read since the latest record was told."""
        known = self._record.epoch if self._record is not None else 0
        return self._stored_revision is not None and self._stored_epoch == known

    def _read(self) -> None:
        self._next_read_s = time.monotonic() + self.settings.retry_s
        answer = self.store.read(self._key)
        if isinstance(answer, Err):
            logger.info("zone record: not read: %s", answer.err_value.detail)
            return
        self._next_read_s = time.monotonic() + self.settings.read_s
        entry = answer.ok_value
        if entry is None:
            # A read may be stale: what has been seen written stays known.
            if self._stored_revision is None:
                self._stored_revision = 0
            return
        decoded = decode_record(entry.value)
        if isinstance(decoded, Err):
            logger.error("zone record: not valid: %s", decoded.err_value.detail)
            return
        self._note_stored(decoded.ok_value, entry.revision)
        self._learn(decoded.ok_value, is_own=False)

    def _note_stored(self, record: ZoneRecord, revision: int) -> None:
        if self._stored_revision is None or revision > self._stored_revision:
            self._stored_revision = revision
            self._stored_epoch = record.epoch

    def _propose(self, snapshot: Snapshot) -> None:
        record = self._proposer.propose(self._record, snapshot, time.monotonic())
        if record is None or self._stored_revision is None:
            return
        value = encode_record(record)
        if self._stored_revision == 0:
            answer = self.store.create(self._key, value)
        else:
            answer = self.store.replace(
                self._key, value, expected=self._stored_revision
            )
        if isinstance(answer, Ok):
            logger.info(
                "zone record: epoch %d with %d owners",
                record.epoch,
                len(record.owners),
            )
            self._note_stored(record, answer.ok_value)
            self._learn(record, is_own=True)
            return
        # Somebody else was first, or the answer was lost after the write.
        logger.info("zone record: not written: %s", answer.err_value.detail)
        if answer.err_value.kind in (ErrorKind.CONFLICT, ErrorKind.UNKNOWN):
            self._next_read_s = float("-inf")

    def _learn(self, record: ZoneRecord, *, is_own: bool) -> None:
        if isinstance(check_record(record), Err):
            logger.warning("zone record: a peer told one that is not valid")
            return
        known = self._record.epoch if self._record is not None else 0
        if record.epoch <= known:
            return
        self._record = record
        if self._stored_epoch < record.epoch:
            # Told by a peer: the store is to be read before it is written.
            self._next_read_s = min(
                self._next_read_s, time.monotonic() + self.settings.retry_s
            )
        self.on_record(record, is_own)
