"""Exchange of zone digests between the delegates of different zones."""

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

CONTACTS_PER_DIGEST = 3


class Delegate:
    """Delegate role of a VM: summarizes its zone for the other zones.

    Parameters
    ----------
    identity : Identity
    settings : MembershipSettings
    """

    def __init__(self, identity: Identity, *, settings: MembershipSettings) -> None:
        self.identity = identity
        self.settings = settings
        self._digest_count = 0
        self._next_zone_s = float("-inf")
        self._next_region_s = float("-inf")

    def is_delegate(self, members: Iterable[Member]) -> bool:
        """Return whether this VM is among the first live members by rank.

        The rank is a hash of the name, so all VMs with the same view of the members
        agree on the delegates.
        """
        delegates = self._rank_live_members(members)[: self.settings.delegates]
        return any(member.vm == self.identity.vm for member in delegates)

    def digest(self, members: Iterable[Member]) -> ZoneDigest:
        """Return a new digest that aggregates the live members of this zone."""
        live = self._rank_live_members(members)
        self._digest_count += 1
        return ZoneDigest(
            availability_zone=self.identity.availability_zone,
            region=self.identity.region,
            source=member_id(self.identity.vm, self.identity.incarnation),
            count=self._digest_count,
            age_ds=0,
            members=len(live),
            config_revision=max((member.config_revision for member in live), default=0),
            load=sum((member.load for member in live), Load()),
            contacts=tuple(
                Contact(member.vm, member.address)
                for member in live[:CONTACTS_PER_DIGEST]
            ),
        )

    def choose_contacts(
        self,
        zones: Iterable[Zone],
        listed: Iterable[ListedVm],
        now: float,
        rng: random.Random,
    ) -> list[Contact]:
        """Choose the contacts that are due for an exchange.

        At most one contact is in another zone of this region and at most one in
        another region; each choice has its own period.
        """
        zones, listed = list(zones), list(listed)
        chosen = []
        if now >= self._next_zone_s:
            self._next_zone_s = now + self.settings.zone_period_s
            chosen += self._choose_contact(zones, listed, rng, is_own_region=True)
        if now >= self._next_region_s:
            self._next_region_s = now + self.settings.region_period_s
            chosen += self._choose_contact(zones, listed, rng, is_own_region=False)
        return chosen

    def _choose_contact(
        self,
        zones: list[Zone],
        listed: list[ListedVm],
        rng: random.Random,
        *,
        is_own_region: bool,
    ) -> list[Contact]:
        """Choose a zone uniformly at random, then one of its VMs."""
        contacts_by_zone: dict[str, list[Contact]] = {}
        for zone in zones:
            if (zone.region == self.identity.region) == is_own_region:
                contacts_by_zone[zone.availability_zone] = list(zone.contacts)
        for listed_vm in listed:
            if listed_vm.availability_zone == self.identity.availability_zone:
                continue
            if (listed_vm.region == self.identity.region) == is_own_region:
                contact = Contact(listed_vm.vm, listed_vm.address)
                contacts_by_zone.setdefault(listed_vm.availability_zone, []).append(
                    contact
                )
        contacts_by_zone = {
            name: contacts for name, contacts in contacts_by_zone.items() if contacts
        }
        if not contacts_by_zone:
            return []
        return [rng.choice(contacts_by_zone[rng.choice(sorted(contacts_by_zone))])]

    def _rank_live_members(self, members: Iterable[Member]) -> list[Member]:
        live = [member for member in members if member.state == MemberState.LIVE]
        return sorted(live, key=lambda member: self._rank_key(member.vm))

    def _rank_key(self, vm: str) -> bytes:
        qualified_name = f"{self.identity.availability_zone}/{vm}"
        return blake2b(qualified_name.encode(), digest_size=8).digest()
