"""Components of a daemon that work with its peers, if it has any."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from functools import reduce
from operator import add

import msgspec
from msgspec import Struct
from result import Ok

from papayadyke_clients.store import Store
from papayadyke_clients.vm_list import VmListClient, VmListSettings
from papayadyke_core.journal import PARTITIONS
from papayadyke_core.membership import (
    Identity,
    ListedState,
    ListedVm,
    Load,
    MemberState,
    Snapshot,
)
from papayadyke_core.ownership import Owner, available_owners, rank_owners
from papayadyke_core.scheduling import LoadSummary
from papayadyke_core.slo import VmUsage
from papayadyke_daemon.cell_keys import CellKeys
from papayadyke_daemon.configuration import (
    ConfigOffer,
    ConfigRequest,
    ConfigSnapshot,
    ConfigSync,
    neighbours_of,
)
from papayadyke_daemon.fleet import Fleet, FleetOwner
from papayadyke_daemon.membership import (
    MembershipService,
    MembershipServiceSettings,
    View,
)
from papayadyke_daemon.peers import (
    Ack,
    Handler,
    PeerEndpoint,
    PeerSettings,
    PeerStats,
)
from papayadyke_daemon.routing import PartitionRouter, PeerPicker
from papayadyke_daemon.serving import RequestHistory, RequestRecord
from papayadyke_daemon.settings import Settings

LOG = logging.getLogger(__name__)
CONFIG_WATCHERS = 2
CONFIG_TIMEOUT_S = 1.0
FIND_TIMEOUT_S = 1.0
WEIGHT_UNIT = 100
ALL_PARTITIONS = frozenset(range(PARTITIONS))


class FindRequest(Struct, tag="find_request", frozen=True, array_like=True):
    """Ask a peer for the outcome of a request."""

    request_id: str


class FoundRequest(Struct, tag="found_request", frozen=True, array_like=True):
    """The record of a request in JSON; empty where there is none."""

    record: bytes


class PeerParts:
    """Endpoint, membership and ownership of one daemon.

    Without an address for peers in the settings the daemon works alone: it owns
    every upstream and partition.

    Parameters
    ----------
    settings : Settings
    incarnation : int
    store : Store
    fleet : Fleet
    load : callable
        Returns the latest `LoadSummary`, or None.
    history : RequestHistory
    config_sync : callable
        Returns the `ConfigSync`.
    keys : CellKeys
    """

    def __init__(
        self,
        settings: Settings,
        *,
        incarnation: int,
        store: Store,
        fleet: Fleet,
        load: Callable[[], LoadSummary | None],
        history: RequestHistory,
        config_sync: Callable[[], ConfigSync],
        keys: CellKeys,
    ) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.fleet = fleet
        self.load = load
        self.history = history
        self.config_sync = config_sync
        self.keys = keys
        self.rng = random.Random(f"{settings.vm}/{incarnation}")
        self.router = PartitionRouter(
            vm=settings.vm,
            availability_zone=settings.availability_zone,
            zones=settings.availability_zones,
            snapshot=self.read_snapshot,
        )
        self.picker = PeerPicker(
            vm=settings.vm, snapshot=self.read_snapshot, rng=self.rng
        )
        self._view: View | None = None
        self._state = MemberState.LIVE
        self.membership = self._make_membership(store)
        self.owner = FleetOwner(
            vm=settings.vm,
            fleet=fleet,
            snapshot=self.read_snapshot,
            record=lambda: None if self._view is None else self._view.record,
        )
        self.endpoint: PeerEndpoint | None = None
        self._counted_bytes = 0

    @property
    def is_alone(self) -> bool:
        """Return whether the settings have no address for peers."""
        return self.settings.peers is None

    def start(self, handlers: list[Handler]) -> None:
        """Serve peers with the given handlers and those of this module."""
        peers = self.settings.peers
        if peers is None:
            self.fleet.own(self.fleet.list_names(), epoch=1)
            return
        self.endpoint = PeerEndpoint(
            [
                *handlers,
                *self.membership.handlers(),
                *self._make_handlers(),
            ],
            authenticator=self.keys.make_authenticator(),
            settings=PeerSettings(host=peers.address.host, port=peers.address.port),
        )
        self.endpoint.start()
        self.membership.start(self.endpoint)
        self.owner.start()

    def leave(self) -> None:
        """Announce to the peers that this VM is leaving."""
        self._state = MemberState.LEAVING

    def release(self) -> None:
        """Release all upstreams."""
        if self.is_alone:
            self.fleet.stop()
        else:
            self.owner.stop()

    def stop(self) -> None:
        """Stop the threads and close the endpoint."""
        if self.endpoint is not None:
            self.membership.stop()
            self.endpoint.stop()

    def get_endpoint(self) -> PeerEndpoint:
        """Return the endpoint, which exists once `start` was called."""
        if self.endpoint is None:
            raise RuntimeError("this daemon works alone")
        return self.endpoint

    def read_snapshot(self) -> Snapshot | None:
        """Return the known members."""
        return None if self._view is None else self._view.snapshot

    def plan_partitions(self) -> frozenset[int]:
        """Return the partitions that this VM should own."""
        return ALL_PARTITIONS if self.is_alone else self.router.owned_partitions()

    def count_vms(self) -> int:
        """Return the number of VMs of the cell, as far as is known."""
        snapshot = self.read_snapshot()
        if snapshot is None:
            return 1
        others = sum(zone.members for zone in snapshot.zones)
        return max(1, len(snapshot.members) + others)

    def covers_cell(self) -> bool:
        """Return whether this zone is the whole cell."""
        return len(self.router.zones) == 1

    @property
    def holder(self) -> str:
        """Name and incarnation of this VM, as in claims of keys."""
        return f"{self.settings.vm}/{self.incarnation}"

    def is_holder_lost(self, holder: str) -> bool:
        """Return whether a holder of a key is known to have stopped.

        A VM of another zone is not known and so not told as gone.
        """
        vm, _, incarnation = holder.rpartition("/")
        snapshot = self.read_snapshot()
        member = None if snapshot is None else snapshot.find(vm)
        if member is None or snapshot is None or not snapshot.is_settled:
            return False
        restarted = member.incarnation > int(incarnation)
        return restarted or member.state is MemberState.DEAD

    def is_watcher(self) -> bool:
        """Return whether this VM watches the configuration in the store."""
        return self._ranks_first("config", CONFIG_WATCHERS)

    def should_roll_up(self, hour: int) -> bool:
        """Return whether this VM sums the service levels of an hour."""
        return self._ranks_first(f"hour-{hour}", 1)

    def spread_config(self, offer: ConfigOffer) -> None:
        """Pass entries of the configuration on to this VM's neighbours."""
        snapshot = self.read_snapshot()
        if self.endpoint is None or snapshot is None:
            return
        members = [member.vm for member in snapshot.live()]
        for vm in neighbours_of(self.settings.vm, members):
            self.endpoint.post(vm, offer, Ack, timeout_s=CONFIG_TIMEOUT_S)

    def ask_for_config(self, request: ConfigRequest) -> None:
        """Ask a peer for the changes of the configuration that this VM lacks."""
        vm = self._choose_ahead(request.after)
        if self.endpoint is None or vm is None:
            return
        self.endpoint.post(
            vm,
            request,
            ConfigOffer | ConfigSnapshot,  # type: ignore[arg-type]
            timeout_s=CONFIG_TIMEOUT_S,
            on_result=lambda result: self._take_config(result.ok()),
        )

    def find_request(self, request_id: str) -> RequestRecord | None:
        """Return the record that a peer of the zone has of a request."""
        snapshot = self.read_snapshot()
        if self.endpoint is None or snapshot is None:
            return None
        for member in snapshot.members:
            if member.vm == self.settings.vm:
                continue
            reply = self.endpoint.call(
                member.vm,
                FindRequest(request_id),
                FoundRequest,
                timeout_s=FIND_TIMEOUT_S,
            )
            if isinstance(reply, Ok) and reply.ok_value.record:
                return msgspec.json.decode(reply.ok_value.record, type=RequestRecord)
        return None

    def read_stats(self) -> PeerStats:
        """Return the counters of the calls between daemons."""
        return PeerStats() if self.endpoint is None else self.endpoint.stats()

    def read_usage(self) -> VmUsage:
        """Return the bytes exchanged with peers since the last call."""
        if self.endpoint is None:
            return VmUsage()
        stats = self.endpoint.stats()
        total = stats.sent_bytes + stats.received_bytes
        fresh = total - self._counted_bytes
        self._counted_bytes = total
        return VmUsage(peer_bytes=fresh)

    def _make_membership(self, store: Store) -> MembershipService:
        settings = self.settings
        peers = settings.peers
        address = "" if peers is None else _join(peers.address.host, peers.address.port)
        identity = Identity(
            vm=settings.vm,
            availability_zone=settings.availability_zone,
            region=settings.region,
            incarnation=self.incarnation,
            address=address,
            weight=max(1, round(settings.weight * WEIGHT_UNIT)),
        )
        seeds = tuple(
            ListedVm(
                vm=seed.vm,
                availability_zone=seed.availability_zone,
                region=seed.region,
                address=_join(seed.address.host, seed.address.port),
                state=ListedState.LIVE,
            )
            for seed in settings.seeds
        )
        return MembershipService(
            MembershipServiceSettings(identity=identity, seeds=seeds),
            store=store,
            vm_list=_connect_vm_list(settings),
            on_view=self._take_view,
        )

    def _take_view(self, view: View) -> None:
        """Apply the latest membership, and announce the revision of this VM."""
        self._view = view
        self.membership.update_self(
            self._state,
            config_revision=self.config_sync().revision,
            load=self._read_load(),
            unreached=self.owner.list_unreached(),
        )
        revision = 0
        endpoint = self.get_endpoint()
        for member in view.snapshot.members:
            if member.vm != self.settings.vm:
                endpoint.add_peer(member.vm, member.address)
                revision = max(revision, member.config_revision)
        for zone in view.snapshot.zones:
            revision = max(revision, zone.config_revision)
            for contact in zone.contacts:
                endpoint.add_peer(contact.vm, contact.address)
        self.config_sync().observe_peer_revision(revision)

    def _read_load(self) -> Load:
        load = self.load()
        if load is None:
            return Load()
        free = load.free
        return Load(
            free_cpu_millis=free.cpu_millis,
            free_memory_mb=free.memory_mb,
            free_accelerators=free.accelerators,
            free_slots=load.free_slots,
            queued=reduce(add, (item.queued for item in load.workloads), 0),
        )

    def _make_handlers(self) -> list[Handler]:
        return [
            Handler(ConfigOffer, self._serve_config),
            Handler(ConfigRequest, self._serve_config),
            Handler(ConfigSnapshot, self._serve_config),
            Handler(FindRequest, self._serve_find),
        ]

    def _serve_config(
        self, message: ConfigOffer | ConfigRequest | ConfigSnapshot, sender: str
    ) -> Struct | None:
        return self.config_sync().handle_message(message)

    def _serve_find(self, message: FindRequest, sender: str) -> FoundRequest:
        record = self.history.find(message.request_id)
        return FoundRequest(b"" if record is None else msgspec.json.encode(record))

    def _take_config(self, reply: ConfigOffer | ConfigSnapshot | None) -> None:
        if reply is not None:
            self.config_sync().handle_message(reply)

    def _choose_ahead(self, revision: int) -> str | None:
        """Return a VM that is known to have a later revision."""
        snapshot = self.read_snapshot()
        if snapshot is None:
            return None
        ahead = [
            member.vm
            for member in snapshot.members
            if member.vm != self.settings.vm and member.config_revision > revision
        ]
        if not ahead:
            ahead = [
                contact.vm
                for zone in snapshot.zones
                if zone.config_revision > revision
                for contact in zone.contacts
            ]
        return self.rng.choice(ahead) if ahead else None

    def _ranks_first(self, name: str, places: int) -> bool:
        snapshot = self.read_snapshot()
        if self.is_alone or snapshot is None:
            return True
        owners = [Owner(vm, 1) for vm in available_owners(snapshot)]
        return self.settings.vm in rank_owners(name, owners)[:places]


def _connect_vm_list(settings: Settings) -> VmListClient | None:
    address = settings.vm_list
    if address is None:
        return None
    return VmListClient(VmListSettings(url=f"http://{address.host}:{address.port}"))


def _join(host: str, port: int) -> str:
    return f"{host}:{port}"
