"""View that one VM has of its zone's members and of the other zones.

In each round, a member of a zone exchanges heartbeats with a few others. Every
exchange carries all heartbeats that the sender knows, so the cost of a round does
not grow with the square of the zone's size. Between zones, only delegates exchange
messages, with a single digest per zone.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from papayadyke_core.membership._delegates import Delegate
from papayadyke_core.membership._messages import (
    Exchange,
    Heartbeat,
    Load,
    Record,
    ZoneDigest,
    ZoneExchange,
)
from papayadyke_core.membership._partners import PartnerSelector
from papayadyke_core.membership._table import MemberTable
from papayadyke_core.membership._types import (
    Identity,
    ListedVm,
    MembershipSettings,
    MemberState,
    OutgoingMessage,
    Snapshot,
)
from papayadyke_core.membership._zones import ZoneTable


class Membership:
    """Gossip protocol that tracks the members of a zone and the other zones.

    Parameters
    ----------
    identity : Identity
    settings : MembershipSettings
    """

    def __init__(self, identity: Identity, *, settings: MembershipSettings) -> None:
        self.identity = identity
        self.settings = settings
        self._table = MemberTable(identity, settings=settings)
        self._zones = ZoneTable(identity.availability_zone, settings=settings)
        self._partner_selector = PartnerSelector(settings=settings)
        self._delegate = Delegate(identity, settings=settings)
        self._last_active_s: float | None = None
        self._settled_at_s = float("inf")
        self._next_round_s = float("-inf")

    def update_self(
        self,
        state: MemberState,
        *,
        config_revision: int,
        load: Load,
        unreached: Iterable[str] = (),
    ) -> None:
        """Update the state that this VM announces for itself.

        Raises
        ------
        ValueError
            If the state is one that only other members can assign, or if a leaving
            VM would return to an earlier state.
        """
        self._table.update_self(
            state, config_revision=config_revision, load=load, unreached=unreached
        )

    def apply_platform_list(self, listed: Iterable[ListedVm]) -> None:
        """Replace the platform's list of VMs.

        The list is delayed, so it never makes a member live or dead. It only marks
        VMs as leaving and supplies addresses of VMs not yet heard from.
        """
        self._table.listed = {entry.vm: entry for entry in listed}

    def tick(self, now: float, rng: random.Random) -> list[OutgoingMessage]:
        """Return the messages that are due; to be called several times per second."""
        self._detect_pause(now)
        if now < self._next_round_s:
            return []
        self._next_round_s = now + self.settings.period_s * self._table.period_factor
        self._table.remove_expired(now)
        self._table.advance_heartbeat()
        partners = self._partner_selector.choose(
            self._table, self._table.states(now), rng
        )
        outgoing = [
            OutgoingMessage(vm, address, self._make_exchange(now, with_zones=True))
            for vm, address in partners.items()
        ]
        return outgoing + self._contact_zones(now, rng)

    def apply_exchange(self, message: Exchange, now: float) -> Exchange:
        """Apply an exchange from another member and return the reply."""
        wanted = self._apply_exchange(message, now)
        records = self._table.missing_records(message.beats, now)
        return self._make_exchange(
            now,
            known_beats=message.beats,
            records=records,
            wanted=wanted,
            with_zones=True,
        )

    def apply_reply(self, message: Exchange, now: float) -> Exchange | None:
        """Apply a reply; return a follow-up if the peer still lacks records."""
        self._apply_exchange(message, now)
        records = self._table.find_records(message.wanted, now)
        if not records:
            return None
        return self._make_exchange(now, known_beats=message.beats, records=records)

    def apply_zone_exchange(self, message: ZoneExchange, now: float) -> ZoneExchange:
        """Apply an exchange from another zone's delegate and return the reply."""
        self._zones.apply(message.zones, now)
        return self._make_zone_exchange(now, known_digests=message.zones)

    def apply_zone_reply(self, message: ZoneExchange, now: float) -> None:
        """Apply a reply from another zone's delegate."""
        self._zones.apply(message.zones, now)

    def snapshot(self, now: float) -> Snapshot:
        """Return the current view of the members and the other zones."""
        self._detect_pause(now)
        return Snapshot(
            members=self._table.members(now),
            zones=self._zones.zones(now),
            is_settled=now >= self._settled_at_s,
            is_superseded=self._table.is_superseded,
        )

    def _detect_pause(self, now: float) -> None:
        """Exclude a pause of this VM from heartbeat ages and delay decisions."""
        last_active_s = self._last_active_s
        self._last_active_s = now
        if last_active_s is None:
            self._settled_at_s = now + self.settings.rejoin_s
        elif now - last_active_s >= self.settings.pause_s:
            self._settled_at_s = now + self.settings.rejoin_s
            self._table.exclude_pause(now - last_active_s)

    def _apply_exchange(self, message: Exchange, now: float) -> tuple[int, ...]:
        self._detect_pause(now)
        if message.availability_zone != self.identity.availability_zone:
            return ()
        self._zones.apply(message.zones, now)
        return self._table.apply(message, now)

    def _make_exchange(
        self,
        now: float,
        *,
        known_beats: tuple[Heartbeat, ...] = (),
        records: tuple[Record, ...] = (),
        wanted: tuple[int, ...] = (),
        with_zones: bool = False,
    ) -> Exchange:
        zone_limit = self.settings.zones_per_exchange if with_zones else 0
        return Exchange(
            availability_zone=self.identity.availability_zone,
            beats=self._table.beats(now, known_beats=known_beats),
            records=records[: self.settings.records_per_exchange],
            wanted=wanted,
            zones=self._zones.digests(now, zone_limit),
        )

    def _contact_zones(self, now: float, rng: random.Random) -> list[OutgoingMessage]:
        if not self._delegate.is_delegate(self._table.members(now)):
            return []
        contacts = self._delegate.choose_contacts(
            self._zones.zones(now), self._table.listed.values(), now, rng
        )
        if not contacts:
            return []
        message = self._make_zone_exchange(now)
        return [
            OutgoingMessage(contact.vm, contact.address, message)
            for contact in contacts
        ]

    def _make_zone_exchange(
        self, now: float, *, known_digests: tuple[ZoneDigest, ...] = ()
    ) -> ZoneExchange:
        own_digest = self._delegate.digest(self._table.members(now))
        return ZoneExchange(
            (own_digest, *self._zones.newer_digests(now, known_digests=known_digests))
        )
