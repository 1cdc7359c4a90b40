"""Which VM owns which partition, as far as this VM can tell."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from papayadyke_core.journal import PARTITIONS
from papayadyke_core.membership import Snapshot, Zone
from papayadyke_core.ownership import Owner, assign_upstreams, available_owners

ZONE_TAKEOVER_S = 60.0


class RouteKind(StrEnum):
    """Where a partition is served."""

    HERE = "here"
    PEER = "peer"
    ZONE = "zone"
    NOWHERE = "nowhere"


@dataclass(frozen=True, slots=True)
class Route:
    """Where a partition is served, and the VMs to call."""

    kind: RouteKind
    vms: tuple[str, ...] = ()


class HomeMap:
    """Assigns the partitions of the log to zones, and within this zone to VMs.

    Every VM works this out for itself. Two that know different things may both
    hold themselves for the owner; the log then fences one of them.

    Parameters
    ----------
    vm, availability_zone : str
    zones : tuple of str
        Every zone of the cell, from the settings, alike on all VMs.
    snapshot : callable
        Returns the `Snapshot` of the membership, or None before the first.
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

    def own_partitions(self) -> frozenset[int]:
        """Return the partitions that this VM should own now."""
        snapshot = self.snapshot()
        if snapshot is None or not snapshot.is_settled or snapshot.is_superseded:
            return frozenset()
        owners = self._assign(snapshot)
        return frozenset(p for p, vm in owners.items() if vm == self.vm)

    def find_route(self, partition: int) -> Route:
        """Return where a partition is served."""
        snapshot = self.snapshot()
        if snapshot is None:
            return Route(RouteKind.NOWHERE)
        zones = {zone.availability_zone: zone for zone in snapshot.zones}
        home = self._find_zone(partition, zones)
        if home != self.availability_zone:
            contacts = tuple(contact.vm for contact in zones[home].contacts)
            return Route(RouteKind.ZONE, contacts)
        owner = self._assign(snapshot).get(partition)
        if owner is None:
            return Route(RouteKind.NOWHERE)
        if owner == self.vm:
            return Route(RouteKind.HERE)
        return Route(RouteKind.PEER, (owner,))

    def _assign(self, snapshot: Snapshot) -> Mapping[int, str]:
        weights = available_owners(snapshot)
        owners = [Owner(vm, weight) for vm, weight in sorted(weights.items())]
        if not owners:
            return {}
        zones = {zone.availability_zone: zone for zone in snapshot.zones}
        names = {
            f"partition-{partition}": partition
            for partition in range(PARTITIONS)
            if self._find_zone(partition, zones) == self.availability_zone
        }
        assigned = assign_upstreams(names, owners)
        return {names[name]: vm for name, vm in assigned.items()}

    def _find_zone(self, partition: int, zones: Mapping[str, Zone]) -> str:
        """Return the first zone in the partition's order that is not lost."""
        first = partition % len(self.zones)
        ordered = self.zones[first:] + self.zones[:first]
        for name in ordered:
            if name == self.availability_zone:
                return name
            zone = zones.get(name)
            if zone is not None and zone.members and zone.age_s < ZONE_TAKEOVER_S:
                return name
        return self.availability_zone
