"""Partition ownership by VM, derived from this VM's view of the membership."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from papayadyke_core.journal import PARTITIONS
from papayadyke_core.membership import Snapshot, Zone
from papayadyke_core.ownership import Owner, assign_upstreams, available_owners

# Age of a zone's membership report at which other zones take over its partitions.
ZONE_TAKEOVER_S = 60.0


class RouteKind(StrEnum):
    """Location of the owner of a partition, relative to this VM."""

    LOCAL = "here"
    PEER = "peer"
    ZONE = "zone"
    UNAVAILABLE = "nowhere"


@dataclass(frozen=True, slots=True)
class Route:
    """Location of the owner of a partition, and the VMs to call for it."""

    kind: RouteKind
    vms: tuple[str, ...] = ()


class PartitionRouter:
    """Assign the partitions of the log to zones, and those of this zone to VMs.

    Every VM computes the assignment on its own. Two VMs with different views of
    the membership may both consider themselves the owner of a partition; the log
    then fences one of them.

    Parameters
    ----------
    vm, availability_zone : str
    zones : tuple of str
        All zones of the cell, from the settings; the same on every VM.
    snapshot : callable
        Returns the latest `Snapshot` of the membership, or None before the first one.
    """

    def __init__(
        self,
        *,
        vm: str,
        availability_zone: str,
        zones: tuple[str, ...],
        snapshot: Callable[[], Snapshot | None],
    ) -> None:
        self.vm = vm
        self.availability_zone = availability_zone
        self.zones = tuple(sorted({*zones, availability_zone}))
        self.snapshot = snapshot

    def owned_partitions(self) -> frozenset[int]:
        """Return the partitions that this VM should own in the current membership."""
        snapshot = self.snapshot()
        if snapshot is None or not snapshot.is_settled or snapshot.is_superseded:
            return frozenset()
        owners = self._assign_partitions(snapshot)
        return frozenset(p for p, vm in owners.items() if vm == self.vm)

    def find_route(self, partition: int) -> Route:
        """Return the route to the owner of a partition."""
        snapshot = self.snapshot()
        if snapshot is None:
            return Route(RouteKind.UNAVAILABLE)
        zones = {zone.availability_zone: zone for zone in snapshot.zones}
        owner_zone = self._find_owner_zone(partition, zones)
        if owner_zone != self.availability_zone:
            contacts = tuple(contact.vm for contact in zones[owner_zone].contacts)
            return Route(RouteKind.ZONE, contacts)
        owner = self._assign_partitions(snapshot).get(partition)
        if owner is None:
            return Route(RouteKind.UNAVAILABLE)
        if owner == self.vm:
            return Route(RouteKind.LOCAL)
        return Route(RouteKind.PEER, (owner,))

    def _assign_partitions(self, snapshot: Snapshot) -> Mapping[int, str]:
        weights = available_owners(snapshot)
        owners = [Owner(vm, weight) for vm, weight in sorted(weights.items())]
        if not owners:
            return {}
        zones = {zone.availability_zone: zone for zone in snapshot.zones}
        names = {
            f"partition-{partition}": partition
            for partition in range(PARTITIONS)
            if self._find_owner_zone(partition, zones) == self.availability_zone
        }
        assigned = assign_upstreams(names, owners)
        return {names[name]: vm for name, vm in assigned.items()}

    def _find_owner_zone(self, partition: int, zones: Mapping[str, Zone]) -> str:
        """Return the first available zone in the preference order of a partition."""
        first = partition % len(self.zones)
        ordered = self.zones[first:] + self.zones[:first]
        for name in ordered:
            if name == self.availability_zone:
                return name
            zone = zones.get(name)
            if zone is not None and zone.members and zone.age_s < ZONE_TAKEOVER_S:
                return name
        return self.availability_zone
