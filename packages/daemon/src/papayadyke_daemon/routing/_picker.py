"""Choosing a peer that has room for a request."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass

from papayadyke_core.membership import Load, Member, MemberState, Snapshot, Zone
from papayadyke_core.resources import Resources

CHOICES = 2


@dataclass(slots=True)
class _Sent:
    """Requests sent to a peer since its load was heard last."""

    load: Load
    count: int = 0


class PeerPicker:
    """Picks the better of two peers with room, by the load they tell.

    What is sent on counts against a peer's free slots until it is heard again,
    so that one heartbeat does not draw a crowd.

    Parameters
    ----------
    vm : str
        This VM, which is never picked.
    snapshot : callable
        Returns the `Snapshot` of the membership, or None.
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
        self._sent: dict[str, _Sent] = {}
        self._lock = threading.Lock()

    def pick_peer(
        self, demand: Resources, *, tried: frozenset[str] = frozenset()
    ) -> str | None:
        """Return a live peer of this zone with room, or None."""
        snapshot = self.snapshot()
        if snapshot is None:
            return None
        with self._lock:
            roomy = [
                member
                for member in snapshot.members
                if self._has_room(member, demand) and member.vm not in tried
            ]
            if not roomy:
                return None
            drawn = self.rng.sample(roomy, min(CHOICES, len(roomy)))
            best = max(drawn, key=self._count_free)
            self._sent[best.vm].count += 1
            return best.vm

    def pick_zone(
        self, demand: Resources, *, tried: frozenset[str] = frozenset()
    ) -> str | None:
        """Return a contact in a reachable zone with room, or None."""
        snapshot = self.snapshot()
        if snapshot is None:
            return None
        zones = [
            zone
            for zone in snapshot.zones
            if zone.is_reachable and zone.contacts and _fits(demand, zone.load)
        ]
        with self._lock:
            self.rng.shuffle(zones)
        contacts = [vm for zone in zones for vm in _list_contacts(zone)]
        return next((vm for vm in contacts if vm not in tried), None)

    def _has_room(self, member: Member, demand: Resources) -> bool:
        if member.vm == self.vm or member.state is not MemberState.LIVE:
            return False
        sent = self._sent.get(member.vm)
        if sent is None or sent.load is not member.load:
            self._sent[member.vm] = _Sent(member.load)
        return self._count_free(member) > 0 and _fits(demand, member.load)

    def _count_free(self, member: Member) -> int:
        return member.load.free_slots - self._sent[member.vm].count


def _fits(demand: Resources, load: Load) -> bool:
    free = Resources(load.free_cpu_millis, load.free_memory_mb, load.free_accelerators)
    return load.free_slots > 0 and demand.fits_in(free)


def _list_contacts(zone: Zone) -> list[str]:
    return [contact.vm for contact in zone.contacts]
