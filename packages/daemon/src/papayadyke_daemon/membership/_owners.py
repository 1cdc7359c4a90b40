"""The thread that keeps the zone record and follows the plan of ownership."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from msgspec import Struct
from result import Err, Ok

from papayadyke_core.membership import Snapshot
from papayadyke_core.ownership import (
    OwnershipPlan,
    ProposalSettings,
    RecordProposer,
    ZoneRecord,
    available_owners,
    decode_record,
    encode_record,
    plan_ownership,
)
from papayadyke_daemon.peers import Handler, PeerEndpoint
from papayadyke_platform.store import Store

LOG = logging.getLogger(__name__)
RECORD_PREFIX = "owners/"


class ReadRecord(Struct, tag="read_record", frozen=True, array_like=True):
    """Ask a peer for the zone record that it knows."""


class RecordReply(Struct, tag="record_reply", frozen=True, array_like=True):
    """The record's bytes; empty where none is known."""

    record: bytes


@dataclass(frozen=True, slots=True)
class OwnersSettings:
    """Times of the thread.

    Parameters
    ----------
    period_s : float, default=0.5
    store_period_s : float, default=10.0
        Time between two readings of the record in the store.
    peer_period_s : float, default=3.0
        Time between two questions to a peer while the store does not answer.
    first_wait_s : float, default=4.0
        Time after the start for which a record is waited for. Past it the VM
        goes on as if the record were older than any other.
    call_timeout_s : float, default=1.0
    """

    period_s: float = 0.5
    store_period_s: float = 10.0
    peer_period_s: float = 3.0
    first_wait_s: float = 4.0
    call_timeout_s: float = 1.0


class OwnersThread:
    """Reads, proposes and follows the zone record.

    Parameters
    ----------
    vm, availability_zone : str
    upstreams : iterable of str
        All upstreams of the zone.
    store : Store
    snapshot : callable
        Returns the `Snapshot` of the membership, or None.
    follow : callable
        Takes the names of this VM's upstreams and the epoch; may block.
    settings : OwnersSettings, default=OwnersSettings()
    proposal : ProposalSettings, default=ProposalSettings()
    clock : callable, default=time.monotonic
    """

    def __init__(
        self,
        *,
        vm: str,
        availability_zone: str,
        upstreams: Iterable[str],
        store: Store,
        snapshot: Callable[[], Snapshot | None],
        follow: Callable[[frozenset[str], int], None],
        settings: OwnersSettings | None = None,
        proposal: ProposalSettings | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.vm = vm
        self.key = f"{RECORD_PREFIX}{availability_zone}"
        self.upstreams = tuple(upstreams)
        self.store = store
        self.snapshot = snapshot
        self.follow = follow
        self.settings = settings or OwnersSettings()
        self.clock = clock
        self._proposer = RecordProposer(vm, settings=proposal or ProposalSettings())
        self._record: ZoneRecord | None = None
        self._revision: int | None = None
        self._has_read = False
        self._read_due_s = float("-inf")
        self._ask_due_s = float("-inf")
        self._started_s = clock()
        self._plan: OwnershipPlan | None = None
        self._is_leaving = False
        self._stopping = threading.Event()

    def make_handlers(self) -> list[Handler]:
        """Return what serves peers that ask for the record."""
        return [Handler(ReadRecord, self._serve)]

    def start(self, endpoint: PeerEndpoint) -> None:
        """Follow the record in the background."""
        self._endpoint = endpoint
        self._thread = threading.Thread(target=self._run, name="owners", daemon=True)
        self._thread.start()

    def leave(self) -> None:
        """Give up every upstream at the next step."""
        self._is_leaving = True

    def stop(self) -> None:
        """End the thread."""
        self._stopping.set()
        self._thread.join()

    def read_plan(self) -> OwnershipPlan | None:
        """Return the plan that this VM follows."""
        return self._plan

    def step(self, now: float) -> None:
        """Learn the record, change it if it is this VM's turn, and follow it."""
        snapshot = self.snapshot()
        if snapshot is None:
            return
        if now >= self._read_due_s:
            self._read_store(now)
        if not self._has_read and now >= self._ask_due_s:
            self._ask_peer(snapshot, now)
        self._propose(snapshot, now)
        self._follow_plan(snapshot, now)

    def _run(self) -> None:
        while not self._stopping.wait(self.settings.period_s):
            self.step(self.clock())

    def _read_store(self, now: float) -> None:
        self._read_due_s = now + self.settings.store_period_s
        found = self.store.read(self.key)
        if isinstance(found, Err):
            self._has_read = False
            self._read_due_s = now + self.settings.peer_period_s
            return
        self._has_read = True
        entry = found.ok_value
        if entry is None:
            self._revision = None
            return
        record = decode_record(entry.value)
        if isinstance(record, Ok):
            self._revision = entry.revision
            self._learn(record.ok_value)

    def _learn(self, record: ZoneRecord) -> None:
        if self._record is None or record.epoch > self._record.epoch:
            self._record = record

    def _ask_peer(self, snapshot: Snapshot, now: float) -> None:
        self._ask_due_s = now + self.settings.peer_period_s
        for member in snapshot.live():
            if member.vm == self.vm:
                continue
            reply = self._endpoint.call(
                member.vm,
                ReadRecord(),
                RecordReply,
                timeout_s=self.settings.call_timeout_s,
            )
            if isinstance(reply, Ok) and reply.ok_value.record:
                record = decode_record(reply.ok_value.record)
                if isinstance(record, Ok):
                    self._learn(record.ok_value)
                    return

    def _serve(self, message: ReadRecord, sender: str) -> RecordReply:
        record = self._record
        return RecordReply(b"" if record is None else encode_record(record))

    def _propose(self, snapshot: Snapshot, now: float) -> None:
        if not self._has_read:
            return
        record = self._proposer.propose(self._record, snapshot, now)
        if record is None:
            return
        value = encode_record(record)
        if self._revision is None:
            written = self.store.create(self.key, value)
        else:
            written = self.store.replace(self.key, value, expected=self._revision)
        if isinstance(written, Ok):
            LOG.info("owners: epoch %d, %d VMs", record.epoch, len(record.owners))
            self._revision = written.ok_value
            self._learn(record)
        else:
            # Whoever was faster, or the lost answer, is read at the next step.
            self._read_due_s = now

    def _follow_plan(self, snapshot: Snapshot, now: float) -> None:
        if self._is_leaving or snapshot.is_superseded:
            self.follow(frozenset(), 0)
            return
        record = self._find_record(now)
        if record is None or not snapshot.is_settled:
            return
        plan = plan_ownership(
            record, upstreams=self.upstreams, available=available_owners(snapshot)
        )
        if plan != self._plan:
            self._plan = plan
            self.follow(plan.owned_by(self.vm), plan.epoch)

    def _find_record(self, now: float) -> ZoneRecord | None:
        if self._record is not None:
            return self._record
        if now - self._started_s < self.settings.first_wait_s:
            return None
        return ZoneRecord(0, ())
