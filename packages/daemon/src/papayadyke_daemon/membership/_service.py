"""The thread that owns the membership."""

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
    Ask,
    Item,
    Listed,
    NewRecord,
    PeerAnswer,
    PeerMessage,
    Reply,
    SelfUpdate,
    Stop,
)
from papayadyke_daemon.membership._messages import RecordNews, RecordPull
from papayadyke_daemon.membership._records import RecordKeeper, RecordKeeperSettings
from papayadyke_daemon.membership._view import View
from papayadyke_daemon.peers import Ack, CallError, Handler, PeerEndpoint

JOIN_TIMEOUT_S = 5.0
# A handler waits no longer for the thread of the membership.
HANDLER_TIMEOUT_S = 1.0

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipServiceSettings:
    """What the thread of the membership needs to know.

    Parameters
    ----------
    identity : Identity
    seeds : tuple of ListedVm, default=()
        VMs to call before the platform's list has been read.
    membership : MembershipSettings, default=MembershipSettings()
    record : RecordKeeperSettings or None, default=None
        None for those that follow from the identity.
    tick_s : float, default=0.2
        Time between two looks at the clock.
    call_timeout_s : float, default=1.0
    list_s : float, default=5.0
        Time between two reads of the platform's list.
    pull_s : float, default=3.0
        Time between two requests for the zone record of some peer.
    idle_peer_s : float, default=300.0
        Time after which a peer that nobody calls is forgotten.
    """

    identity: Identity
    seeds: tuple[ListedVm, ...] = ()
    membership: MembershipSettings = field(default_factory=MembershipSettings)
    record: RecordKeeperSettings | None = None
    tick_s: float = 0.2
    call_timeout_s: float = 1.0
    list_s: float = 5.0
    pull_s: float = 3.0
    idle_peer_s: float = 300.0


class MembershipService:
    """Exchanges heartbeats with peers, and tells the other parts what it knows.

    Construct it first, hand `handlers()` to the peer endpoint, then call
    `start` with that endpoint.

    Parameters
    ----------
    settings : MembershipServiceSettings
    store : Store or None
        For the zone record; belongs to a thread of this service. None where no
        zone record is kept.
    vm_list : VmListClient or None
        Belongs to a thread of this service.
    on_view : callable
        Called by the thread of the membership a few times a second.
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
        self._inbox: queue.SimpleQueue[Item] = queue.SimpleQueue()
        self._membership = Membership(settings.identity, settings=settings.membership)
        self._membership.apply_platform_list(settings.seeds)
        self._record: ZoneRecord | None = None
        self._next_pull_s = float("-inf")
        # Unpredictable on purpose: VMs that start together choose differently.
        self._rng = random.Random()
        self._keeper = self._make_keeper(store) if store is not None else None
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="membership", daemon=True
        )
        self._list_thread = threading.Thread(
            target=self._read_lists, name="vm-list", daemon=True
        )

    def handlers(self) -> tuple[Handler, ...]:
        """Return what serves the messages of peers."""
        types = (Exchange, ZoneExchange, RecordPull, RecordNews)
        return tuple(Handler(message, self._handle) for message in types)

    def start(self, peers: PeerEndpoint) -> None:
        """Start the threads."""
        self._peers = peers
        self._thread.start()
        if self._keeper is not None:
            self._keeper.start()
        if self._vm_list is not None:
            self._list_thread.start()

    def stop(self) -> None:
        """End the threads."""
        self._stopping.set()
        self._inbox.put(Stop())
        self._thread.join(JOIN_TIMEOUT_S)
        if self._keeper is not None:
            self._keeper.stop()
        if self._vm_list is not None:
            self._list_thread.join(JOIN_TIMEOUT_S)
            self._vm_list.close()

    def update_self(
        self,
        state: MemberState,
        *,
        config_revision: int,
        load: Load,
        unreached: frozenset[str] = frozenset(),
    ) -> None:
        """Change what this VM says of itself; any thread may call it."""
        self._inbox.put(SelfUpdate(state, config_revision, load, unreached))

    def _make_keeper(self, store: Store) -> RecordKeeper:
        identity = self.settings.identity
        settings = self.settings.record or RecordKeeperSettings(
            vm=identity.vm, availability_zone=identity.availability_zone
        )
        return RecordKeeper(
            store,
            settings=settings,
            on_record=lambda record, own: self._inbox.put(NewRecord(record, own)),
        )

    def _handle(
        self,
        message: PeerMessage,
        _sender: str,
    ) -> PeerAnswer | None:
        """Have a message answered by the thread of the membership."""
        if self._stopping.is_set():
            return None
        ask = Ask(message, queue.SimpleQueue())
        self._inbox.put(ask)
        try:
            return ask.answer.get(timeout=HANDLER_TIMEOUT_S)
        except queue.Empty:
            logger.warning("membership: a message of a peer was not answered in time")
            return None

    def _run(self) -> None:
        next_tick_s = time.monotonic()
        while True:
            wait_s = max(0.0, next_tick_s - time.monotonic())
            try:
                item = self._inbox.get(timeout=wait_s)
            except queue.Empty:
                next_tick_s = time.monotonic() + self.settings.tick_s
                self._guard(self._tick)
                continue
            if isinstance(item, Stop):
                return
            self._guard(functools.partial(self._apply, item))

    def _guard(self, step: Callable[[], None]) -> None:
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
            logger.error("membership: another process runs as this VM")
        self._pull_record(snapshot, now)
        self._peers.remove_idle_peers(self.settings.idle_peer_s)
        if self._keeper is not None:
            self._keeper.apply_snapshot(snapshot)
        self.on_view(View(snapshot, self._record))

    def _send(self, outgoing: OutgoingMessage) -> None:
        self._peers.add_peer(outgoing.vm, outgoing.address)
        self._peers.post(
            outgoing.vm,
            outgoing.message,
            type(outgoing.message),
            timeout_s=self.settings.call_timeout_s,
            on_result=lambda result: self._take_reply(outgoing.vm, result),
        )

    def _take_reply(
        self,
        vm: str,
        result: Ok[Exchange | ZoneExchange] | Ok[RecordNews] | Err[CallError],
    ) -> None:
        if isinstance(result, Ok):
            self._inbox.put(Reply(vm, result.ok_value))

    def _apply(self, item: Item) -> None:
        now = time.monotonic()
        if isinstance(item, Ask):
            item.answer.put(self._answer(item.message, now))
        elif isinstance(item, Reply):
            self._apply_reply(item, now)
        elif isinstance(item, SelfUpdate):
            self._membership.update_self(
                item.state,
                config_revision=item.config_revision,
                load=item.load,
                unreached=item.unreached,
            )
        elif isinstance(item, Listed):
            self._membership.apply_platform_list(item.listed)
        elif isinstance(item, NewRecord):
            self._apply_record(item)

    def _answer(self, message: PeerMessage, now: float) -> PeerAnswer | None:
        if isinstance(message, Exchange):
            return self._membership.apply_exchange(message, now)
        if isinstance(message, ZoneExchange):
            return self._membership.apply_zone_exchange(message, now)
        if isinstance(message, RecordNews):
            self._take_news(message)
            return None
        zone = self.settings.identity.availability_zone
        is_news = self._epoch() > message.epoch and message.availability_zone == zone
        return RecordNews(zone, self._record if is_news else None)

    def _apply_reply(self, reply: Reply, now: float) -> None:
        message = reply.message
        if isinstance(message, ZoneExchange):
            self._membership.apply_zone_reply(message, now)
        elif isinstance(message, RecordNews):
            self._take_news(message)
        else:
            more = self._membership.apply_reply(message, now)
            if more is not None:
                timeout_s = self.settings.call_timeout_s
                self._peers.post(reply.vm, more, Exchange, timeout_s=timeout_s)

    def _take_news(self, news: RecordNews) -> None:
        zone = self.settings.identity.availability_zone
        if news.record is None or news.availability_zone != zone:
            return
        if self._keeper is not None and news.record.epoch > self._epoch():
            self._keeper.apply_peer_record(news.record)

    def _apply_record(self, item: NewRecord) -> None:
        self._record = item.record
        if not item.is_own:
            return
        news = RecordNews(self.settings.identity.availability_zone, item.record)
        for member in self._membership.snapshot(time.monotonic()).members:
            if member.vm != self.settings.identity.vm:
                self._peers.add_peer(member.vm, member.address)
                timeout_s = self.settings.call_timeout_s
                self._peers.post(member.vm, news, Ack, timeout_s=timeout_s)

    def _pull_record(self, snapshot: Snapshot, now: float) -> None:
        """Ask some member for the record, in case its news was lost."""
        others = [
            member
            for member in snapshot.members
            if member.vm != self.settings.identity.vm
            and member.state != MemberState.DEAD
        ]
        if now < self._next_pull_s or not others:
            return
        self._next_pull_s = now + self.settings.pull_s
        chosen = self._rng.choice(others)
        self._peers.add_peer(chosen.vm, chosen.address)
        self._peers.post(
            chosen.vm,
            RecordPull(self.settings.identity.availability_zone, self._epoch()),
            RecordNews,
            timeout_s=self.settings.call_timeout_s,
            on_result=lambda result: self._take_reply(chosen.vm, result),
        )

    def _epoch(self) -> int:
        return self._record.epoch if self._record is not None else 0

    def _read_lists(self) -> None:
        assert self._vm_list is not None
        while not self._stopping.is_set():
            answer = self._vm_list.read()
            if isinstance(answer, Err):
                logger.info("membership: list not read: %s", answer.err_value.detail)
            else:
                self._inbox.put(Listed(answer.ok_value))
            self._stopping.wait(self.settings.list_s)
