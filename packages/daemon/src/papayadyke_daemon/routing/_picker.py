"""Selection of a peer or zone with free capacity for a request."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass

from papayadyke_core.membership import Load, Member, MemberState, Snapshot, Zone
from papayadyke_core.resources import Resources

# Peers sampled at random, of which the one with the most free slots is picked.
SAMPLED_PEERS = 2


@dataclass(slots=True)
class _SentRequests:
    """Number of requests sent to a peer since its last load report."""

    load: Load
    count: int = 0


class PeerPicker:
    """Pick the less loaded of two random peers with capacity, by reported load.

    Requests sent to a peer count against its free slots until its next load
    report, so that a single heartbeat does not attract a burst of requests.

    Parameters
    ----------
    vm : str
        Name of this VM, which is never picked.
    snapshot : callable
        Returns the latest `Snapshot` of the membership, or None.
    rng : random.Random
    """

    def __init__(
        self,
        *,
        vm: str,
        snapshot: Callable[[], Snapshot | None],
        rng: random.Random,
    ) -> None:
        self.vm = vm
        self.snapshot = snapshot
        self.rng = rng
        self._sent_by_vm: dict[str, _SentRequests] = {}
        self._lock = threading.Lock()

    def pick_peer(
        self, demand: Resources, *, tried: frozenset[str] = frozenset()
    ) -> str | None:
        """Return a live peer of this zone with free capacity, or None."""
        snapshot = self.snapshot()
        if snapshot is None:
            return None
        with self._lock:
            candidates = [
                member
                for member in snapshot.members
                if self._has_capacity(member, demand) and member.vm not in tried
            ]
            if not candidates:
                return None
            sampled = self.rng.sample(candidates, min(SAMPLED_PEERS, len(candidates)))
            best = max(sampled, key=self._count_free_slots)
            self._sent_by_vm[best.vm].count += 1
            return best.vm

    def pick_least_queued(self, *, tried: frozenset[str] = frozenset()) -> str | None:
        """Return the live peer with the fewest queued requests, or None."""
        snapshot = self.snapshot()
        live = () if snapshot is None else snapshot.live()
        others = [m for m in live if m.vm != self.vm and m.vm not in tried]
        chosen = min(others, key=lambda member: member.load.queued, default=None)
        return None if chosen is None else chosen.vm

    def pick_zone_contact(
        self, demand: Resources, *, tried: frozenset[str] = frozenset()
    ) -> str | None:
        """Return a contact VM of a reachable zone with free capacity, or None."""
        snapshot = self.snapshot()
        if snapshot is None:
            return None
        zones = [
            zone
            for zone in snapshot.zones
            if zone.is_reachable and zone.contacts and _fits_load(demand, zone.load)
        ]
        with self._lock:
            self.rng.shuffle(zones)
        contacts = [vm for zone in zones for vm in _list_contacts(zone)]
        return next((vm for vm in contacts if vm not in tried), None)

    def _has_capacity(self, member: Member, demand: Resources) -> bool:
        if member.vm == self.vm or member.state is not MemberState.LIVE:
            return False
        sent = self._sent_by_vm.get(member.vm)
        if sent is None or sent.load is not member.load:
            self._sent_by_vm[member.vm] = _SentRequests(member.load)
        return self._count_free_slots(member) > 0 and _fits_load(demand, member.load)

    def _count_free_slots(self, member: Member) -> int:
        return member.load.free_slots - self._sent_by_vm[member.vm].count


def _fits_load(demand: Resources, load: Load) -> bool:
    free = Resources(load.free_cpu_millis, load.free_memory_mb, load.free_accelerators)
    return load.free_slots > 0 and demand.fits_in(free)


def _list_contacts(zone: Zone) -> list[str]:
    return [contact.vm for contact in zone.contacts]
