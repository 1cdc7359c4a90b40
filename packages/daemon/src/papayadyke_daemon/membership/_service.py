"""Service that runs the membership protocol in a thread of its own."""

from __future__ import annotations

import functools
import logging
import queue
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok

from papayadyke_clients.store import Store
from papayadyke_clients.vm_list import VmListClient
from papayadyke_core.membership import (
    Exchange,
    Identity,
    ListedVm,
    Load,
    Membership,
    MembershipSettings,
    MemberState,
    OutgoingMessage,
    Snapshot,
    ZoneExchange,
)
from papayadyke_core.ownership import ZoneRecord
from papayadyke_daemon.membership._inbox import (
    InboxEvent,
    IncomingMessage,
    IncomingReply,
    NewRecord,
    PeerMessage,
    PeerReply,
    PlatformList,
    SelfUpdate,
    Stop,
)
from papayadyke_daemon.membership._messages import RecordPull, RecordUpdate
from papayadyke_daemon.membership._records import RecordSync, RecordSyncSettings
from papayadyke_daemon.membership._view import View
from papayadyke_daemon.peers import Ack, CallError, Handler, PeerEndpoint

JOIN_TIMEOUT_S = 5.0
# Maximum time that a handler waits for the membership thread.
HANDLER_TIMEOUT_S = 1.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipServiceSettings:
    """Settings of the membership service; times are in seconds.

    Parameters
    ----------
    identity : Identity
    seeds : tuple of ListedVm, default=()
        VMs to contact until the platform's list has been read.
    membership : MembershipSettings, default=MembershipSettings()
    record : RecordSyncSettings or None, default=None
        If None, defaults with the VM and availability zone of the identity.
    tick_interval_s : float, default=0.2
        Time between two ticks of the membership protocol.
    call_timeout_s : float, default=1.0
        Timeout of a call to a peer.
    list_interval_s : float, default=5.0
        Time between two reads of the platform's list.
    pull_interval_s : float, default=3.0
        Time between two requests for the zone record, each to a random peer.
    peer_idle_timeout_s : float, default=300.0
        Time without a call after which a peer is removed.
    """

    identity: Identity
    seeds: tuple[ListedVm, ...] = ()
    membership: MembershipSettings = field(default_factory=MembershipSettings)
    record: RecordSyncSettings | None = None
    tick_interval_s: float = 0.2
    call_timeout_s: float = 1.0
    list_interval_s: float = 5.0
    pull_interval_s: float = 3.0
    peer_idle_timeout_s: float = 300.0


class MembershipService:
    """Exchange heartbeats with peers, and publish views of the membership.

    Add the handlers that `handlers` returns to the peer endpoint, then call
    `start` with that endpoint.

    Parameters
    ----------
    settings : MembershipServiceSettings
    store : Store or None
        Store of the zone record, used only by a thread of this service. If None,
        the service reads and writes no zone record.
    vm_list : VmListClient or None
        Client of the platform's list, used only by a thread of this service.
    on_view : callable
        Called by the membership thread with a new view several times per second.
    """

    def __init__(
        self,
        settings: MembershipServiceSettings,
        *,
        store: Store | None,
        vm_list: VmListClient | None,
        on_view: Callable[[View], None],
    ) -> None:
        self.settings = settings
        self.on_view = on_view
        self._vm_list = vm_list
        self._inbox: queue.SimpleQueue[InboxEvent] = queue.SimpleQueue()
        self._membership = Membership(settings.identity, settings=settings.membership)
        self._membership.apply_platform_list(settings.seeds)
        self._record: ZoneRecord | None = None
        self._next_pull_s = float("-inf")
        # Not seeded, so that VMs that start together choose different peers.
        self._rng = random.Random()
        self._record_sync = self._make_record_sync(store) if store is not None else None
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="membership", daemon=True
        )
        self._poll_thread = threading.Thread(
            target=self._poll_list, name="vm-list", daemon=True
        )

    def handlers(self) -> tuple[Handler, ...]:
        """Return the handlers for messages of peers."""
        message_types = (Exchange, ZoneExchange, RecordPull, RecordUpdate)
        return tuple(Handler(message, self._handle) for message in message_types)

    def start(self, peers: PeerEndpoint) -> None:
        """Start the threads."""
        self._peers = peers
        self._thread.start()
        if self._record_sync is not None:
            self._record_sync.start()
        if self._vm_list is not None:
            self._poll_thread.start()

    def stop(self) -> None:
        """Stop the threads."""
        self._stopping.set()
        self._inbox.put(Stop())
        self._thread.join(JOIN_TIMEOUT_S)
        if self._record_sync is not None:
            self._record_sync.stop()
        if self._vm_list is not None:
            self._poll_thread.join(JOIN_TIMEOUT_S)
            self._vm_list.close()

    def update_self(
        self,
        state: MemberState,
        *,
        config_revision: int,
        load: Load,
        unreached: frozenset[str] = frozenset(),
    ) -> None:
        """Update the state that this VM announces; any thread may call this."""
        self._inbox.put(SelfUpdate(state, config_revision, load, unreached))

    def _make_record_sync(self, store: Store) -> RecordSync:
        identity = self.settings.identity
        settings = self.settings.record or RecordSyncSettings(
            vm=identity.vm, availability_zone=identity.availability_zone
        )
        return RecordSync(
            store,
            settings=settings,
            on_record=lambda record, is_own: self._inbox.put(NewRecord(record, is_own)),
        )

    def _handle(
        self,
        message: PeerMessage,
        _sender: str,
    ) -> PeerReply | None:
        """Pass a message to the membership thread and wait for its reply."""
        if self._stopping.is_set():
            return None
        incoming = IncomingMessage(message, queue.SimpleQueue())
        self._inbox.put(incoming)
        try:
            return incoming.reply_queue.get(timeout=HANDLER_TIMEOUT_S)
        except queue.Empty:
            logger.warning(
                "membership: no reply to a message of a peer within the time limit"
            )
            return None

    def _run(self) -> None:
        next_tick_s = time.monotonic()
        while True:
            wait_s = max(0.0, next_tick_s - time.monotonic())
            try:
                event = self._inbox.get(timeout=wait_s)
            except queue.Empty:
                next_tick_s = time.monotonic() + self.settings.tick_interval_s
                self._run_step(self._tick)
                continue
            if isinstance(event, Stop):
                return
            self._run_step(functools.partial(self._apply_event, event))

    def _run_step(self, step: Callable[[], None]) -> None:
        try:
            step()
        except Exception:
            logger.exception("membership: a step failed")

    def _tick(self) -> None:
        now = time.monotonic()
        for outgoing in self._membership.tick(now, self._rng):
            self._send(outgoing)
        snapshot = self._membership.snapshot(now)
        if snapshot.is_superseded:
            logger.error(
                "membership: a later process of this VM has superseded this one"
            )
        self._pull_record(snapshot, now)
        self._peers.remove_idle_peers(self.settings.peer_idle_timeout_s)
        if self._record_sync is not None:
            self._record_sync.apply_snapshot(snapshot)
        self.on_view(View(snapshot, self._record))

    def _send(self, outgoing: OutgoingMessage) -> None:
        self._peers.add_peer(outgoing.vm, outgoing.address)
        self._peers.post(
            outgoing.vm,
            outgoing.message,
            type(outgoing.message),
            timeout_s=self.settings.call_timeout_s,
            on_result=lambda result: self._enqueue_reply(outgoing.vm, result),
        )

    def _enqueue_reply(
        self,
        vm: str,
        result: Ok[Exchange | ZoneExchange] | Ok[RecordUpdate] | Err[CallError],
    ) -> None:
        if isinstance(result, Ok):
            self._inbox.put(IncomingReply(vm, result.ok_value))

    def _apply_event(self, event: InboxEvent) -> None:
        now = time.monotonic()
        if isinstance(event, IncomingMessage):
            event.reply_queue.put(self._apply_message(event.message, now))
        elif isinstance(event, IncomingReply):
            self._apply_reply(event, now)
        elif isinstance(event, SelfUpdate):
            self._membership.update_self(
                event.state,
                config_revision=event.config_revision,
                load=event.load,
                unreached=event.unreached,
            )
        elif isinstance(event, PlatformList):
            self._membership.apply_platform_list(event.listed)
        elif isinstance(event, NewRecord):
            self._apply_new_record(event)

    def _apply_message(self, message: PeerMessage, now: float) -> PeerReply | None:
        if isinstance(message, Exchange):
            return self._membership.apply_exchange(message, now)
        if isinstance(message, ZoneExchange):
            return self._membership.apply_zone_exchange(message, now)
        if isinstance(message, RecordUpdate):
            self._apply_record_update(message)
            return None
        zone = self.settings.identity.availability_zone
        is_newer = (
            self._known_epoch() > message.epoch and message.availability_zone == zone
        )
        return RecordUpdate(zone, self._record if is_newer else None)

    def _apply_reply(self, reply: IncomingReply, now: float) -> None:
        message = reply.message
        if isinstance(message, ZoneExchange):
            self._membership.apply_zone_reply(message, now)
        elif isinstance(message, RecordUpdate):
            self._apply_record_update(message)
        else:
            follow_up = self._membership.apply_reply(message, now)
            if follow_up is not None:
                timeout_s = self.settings.call_timeout_s
                self._peers.post(reply.vm, follow_up, Exchange, timeout_s=timeout_s)

    def _apply_record_update(self, update: RecordUpdate) -> None:
        zone = self.settings.identity.availability_zone
        if update.record is None or update.availability_zone != zone:
            return
        if self._record_sync is not None and update.record.epoch > self._known_epoch():
            self._record_sync.apply_peer_record(update.record)

    def _apply_new_record(self, event: NewRecord) -> None:
        self._record = event.record
        if not event.is_own:
            return
        update = RecordUpdate(self.settings.identity.availability_zone, event.record)
        for member in self._membership.snapshot(time.monotonic()).members:
            if member.vm != self.settings.identity.vm:
                self._peers.add_peer(member.vm, member.address)
                timeout_s = self.settings.call_timeout_s
                self._peers.post(member.vm, update, Ack, timeout_s=timeout_s)

    def _pull_record(self, snapshot: Snapshot, now: float) -> None:
        """Request the record from a random member, since an update can be lost."""
        candidates = [
            member
            for member in snapshot.members
            if member.vm != self.settings.identity.vm
            and member.state != MemberState.DEAD
        ]
        if now < self._next_pull_s or not candidates:
            return
        self._next_pull_s = now + self.settings.pull_interval_s
        peer = self._rng.choice(candidates)
        self._peers.add_peer(peer.vm, peer.address)
        self._peers.post(
            peer.vm,
            RecordPull(self.settings.identity.availability_zone, self._known_epoch()),
            RecordUpdate,
            timeout_s=self.settings.call_timeout_s,
            on_result=lambda result: self._enqueue_reply(peer.vm, result),
        )

    def _known_epoch(self) -> int:
        return self._record.epoch if self._record is not None else 0

    def _poll_list(self) -> None:
        assert self._vm_list is not None
        while not self._stopping.is_set():
            result = self._vm_list.read()
            if isinstance(result, Err):
                logger.info(
                    "membership: could not read the list of VMs: %s",
                    result.err_value.detail,
                )
            else:
                self._inbox.put(PlatformList(result.ok_value))
            self._stopping.wait(self.settings.list_interval_s)
