"""The thread that exchanges heartbeats and knows the members."""

from __future__ import annotations

import logging
import random
import threading
import time
from collections.abc import Callable, Sequence

from msgspec import Struct
from result import Ok, Result

from papayadyke_core.membership import (
    Exchange,
    Identity,
    ListedVm,
    Load,
    Membership,
    MembershipSettings,
    MemberState,
    Outgoing,
    Snapshot,
    ZoneExchange,
)
from papayadyke_daemon.peers import CallError, Handler, PeerEndpoint
from papayadyke_platform.vm_list import VmListClient

LOG = logging.getLogger(__name__)
STEP_S = 0.2
CALL_TIMEOUT_S = 1.0
LIST_PERIOD_S = 5.0


class MembershipService:
    """Exchanges heartbeats with the peers and tells who is there.

    The aggregate is guarded by a lock, because peers' messages are answered in
    the threads that receive them.

    Parameters
    ----------
    identity : Identity
    seeds : sequence of ListedVm
        Members to call before any was heard, from the settings.
    vm_list : VmListClient or None
        The platform's list, which goes before the seeds.
    load : callable
        Returns the `Load` of this VM.
    config_revision : callable
        Returns the revision in force here.
    hear_revision : callable
        Takes the highest revision that a peer has told.
    settings : MembershipSettings
    rng : random.Random
    clock : callable, default=time.monotonic
    """

    def __init__(
        self,
        identity: Identity,
        *,
        seeds: Sequence[ListedVm],
        vm_list: VmListClient | None,
        load: Callable[[], Load],
        config_revision: Callable[[], int],
        hear_revision: Callable[[int], None],
        settings: MembershipSettings,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.identity = identity
        self.seeds = tuple(seeds)
        self.vm_list = vm_list
        self.load = load
        self.config_revision = config_revision
        self.hear_revision = hear_revision
        self.rng = rng
        self.clock = clock
        self._membership = Membership(identity, settings=settings)
        self._membership.apply_platform_list(self.seeds)
        self._lock = threading.Lock()
        self._state = MemberState.LIVE
        self._snapshot: Snapshot | None = None
        self._stopping = threading.Event()

    def make_handlers(self) -> list[Handler]:
        """Return what serves the exchanges of peers."""
        return [
            Handler(Exchange, self._serve_exchange),
            Handler(ZoneExchange, self._serve_zones),
        ]

    def start(self, endpoint: PeerEndpoint) -> None:
        """Exchange heartbeats in the background."""
        self._endpoint = endpoint
        self._threads = [threading.Thread(target=self._run, name="membership")]
        if self.vm_list is not None:
            self._threads.append(
                threading.Thread(target=self._follow_list, name="vm-list")
            )
        for thread in self._threads:
            thread.daemon = True
            thread.start()

    def leave(self) -> None:
        """Tell the peers that this VM is leaving."""
        self._state = MemberState.LEAVING

    def stop(self) -> None:
        """End the threads."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def read_snapshot(self) -> Snapshot | None:
        """Return what is known, as of the last step."""
        return self._snapshot

    def step(self, now: float) -> list[Outgoing]:
        """Return the messages that are due, and renew the snapshot."""
        with self._lock:
            self._membership.update_self(
                self._state,
                config_revision=self.config_revision(),
                load=self.load(),
            )
            outgoing = self._membership.tick(now, self.rng)
            self._snapshot = self._membership.snapshot(now)
        return outgoing

    def _run(self) -> None:
        while not self._stopping.wait(STEP_S):
            for out in self.step(self.clock()):
                self._send(out)
            self._follow_snapshot()

    def _send(self, out: Outgoing) -> None:
        self._endpoint.add_peer(out.vm, out.address)
        if isinstance(out.message, Exchange):
            self._endpoint.post(
                out.vm,
                out.message,
                Exchange,
                timeout_s=CALL_TIMEOUT_S,
                on_result=lambda result: self._take_reply(out, result),
            )
            return
        self._endpoint.post(
            out.vm,
            out.message,
            ZoneExchange,
            timeout_s=CALL_TIMEOUT_S,
            on_result=self._take_zones,
        )

    def _take_reply(self, out: Outgoing, result: Result[Exchange, CallError]) -> None:
        if not isinstance(result, Ok):
            return
        with self._lock:
            more = self._membership.apply_reply(result.ok_value, self.clock())
        if more is not None:
            self._endpoint.post(out.vm, more, Exchange, timeout_s=CALL_TIMEOUT_S)

    def _take_zones(self, result: Result[ZoneExchange, CallError]) -> None:
        if isinstance(result, Ok):
            with self._lock:
                self._membership.apply_zone_reply(result.ok_value, self.clock())

    def _serve_exchange(self, message: Exchange, sender: str) -> Struct:
        with self._lock:
            return self._membership.apply_exchange(message, self.clock())

    def _serve_zones(self, message: ZoneExchange, sender: str) -> Struct:
        with self._lock:
            return self._membership.apply_zone_exchange(message, self.clock())

    def _follow_snapshot(self) -> None:
        """Learn addresses and revisions from what is known now."""
        snapshot = self._snapshot
        if snapshot is None:
            return
        revision = 0
        for member in snapshot.members:
            if member.vm != self.identity.vm:
                self._endpoint.add_peer(member.vm, member.address)
                revision = max(revision, member.config_revision)
        for zone in snapshot.zones:
            revision = max(revision, zone.config_revision)
            for contact in zone.contacts:
                self._endpoint.add_peer(contact.vm, contact.address)
        self.hear_revision(revision)

    def _follow_list(self) -> None:
        assert self.vm_list is not None
        while not self._stopping.is_set():
            result = self.vm_list.read()
            if isinstance(result, Ok):
                with self._lock:
                    self._membership.apply_platform_list(result.ok_value)
            self._stopping.wait(LIST_PERIOD_S)
