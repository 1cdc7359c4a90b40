"""What the delegates of a zone tell those of other zones."""

from __future__ import annotations

import random
from collections.abc import Iterable
from hashlib import blake2b

from papayadyke_core.membership._messages import (
    Contact,
    Load,
    ZoneDigest,
    member_id,
)
from papayadyke_core.membership._types import (
    Identity,
    ListedVm,
    Member,
    MembershipSettings,
    MemberState,
    Zone,
)

CONTACTS = 3


class Delegate:
    """The part of a VM as a delegate of its zone, while it is one.

    Parameters
    ----------
    identity : Identity
    settings : MembershipSettings
    """

    def __init__(self, identity: Identity, *, settings: MembershipSettings) -> None:
        self.identity = identity
        self.settings = settings
        self._count = 0
        self._next_zone_s = float("-inf")
        self._next_region_s = float("-inf")

    def is_delegate(self, members: Iterable[Member]) -> bool:
        """Tell whether this VM is among the first live ones in an agreed order."""
        first = self._ranked(members)[: self.settings.delegates]
        return any(member.vm == self.identity.vm for member in first)

    def digest(self, members: Iterable[Member]) -> ZoneDigest:
        """Return the sum of the live members of this zone."""
        live = self._ranked(members)
        self._count += 1
        return ZoneDigest(
            availability_zone=self.identity.availability_zone,
            region=self.identity.region,
            source=member_id(self.identity.vm, self.identity.incarnation),
            count=self._count,
            age_ds=0,
            members=len(live),
            config_revision=max((member.config_revision for member in live), default=0),
            load=sum((member.load for member in live), Load()),
            contacts=tuple(
                Contact(member.vm, member.address) for member in live[:CONTACTS]
            ),
        )

    def choose_contacts(
        self,
        zones: Iterable[Zone],
        listed: Iterable[ListedVm],
        now: float,
        rng: random.Random,
    ) -> list[Contact]:
        """Return whom to call now: one VM of this region, one of the others."""
        zones, listed = list(zones), list(listed)
        chosen = []
        if now >= self._next_zone_s:
            self._next_zone_s = now + self.settings.zone_period_s
            chosen += self._choose(zones, listed, rng, is_own_region=True)
        if now >= self._next_region_s:
            self._next_region_s = now + self.settings.region_period_s
            chosen += self._choose(zones, listed, rng, is_own_region=False)
        return chosen

    def _choose(
        self,
        zones: list[Zone],
        listed: list[ListedVm],
        rng: random.Random,
        *,
        is_own_region: bool,
    ) -> list[Contact]:
        """Choose a zone, each as likely as another, and one of its VMs."""
        by_zone: dict[str, list[Contact]] = {}
        for zone in zones:
            if (zone.region == self.identity.region) == is_own_region:
                by_zone[zone.availability_zone] = list(zone.contacts)
        for entry in listed:
            if entry.availability_zone == self.identity.availability_zone:
                continue
            if (entry.region == self.identity.region) == is_own_region:
                contact = Contact(entry.vm, entry.address)
                by_zone.setdefault(entry.availability_zone, []).append(contact)
        by_zone = {name: contacts for name, contacts in by_zone.items() if contacts}
        if not by_zone:
            return []
        return [rng.choice(by_zone[rng.choice(sorted(by_zone))])]

    def _ranked(self, members: Iterable[Member]) -> list[Member]:
        live = [member for member in members if member.state == MemberState.LIVE]
        return sorted(live, key=lambda member: self._rank(member.vm))

    def _rank(self, vm: str) -> bytes:
        name = f"{self.identity.availability_zone}/{vm}"
        return blake2b(name.encode(), digest_size=8).digest()
