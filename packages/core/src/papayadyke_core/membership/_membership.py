"""The members of a zone and the state of other zones, as one VM knows them.

Within a zone each member exchanges heartbeats with a few others in a round, and
every heartbeat it knows of goes along, so the cost of a round does not grow
with the square of the zone. Between zones only delegates exchange, and only one
digest for each zone.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from papayadyke_core.membership._delegates import Delegate
from papayadyke_core.membership._messages import (
    Beat,
    Exchange,
    Load,
    Record,
    ZoneDigest,
    ZoneExchange,
)
from papayadyke_core.membership._partners import PartnerRing
from papayadyke_core.membership._table import MemberTable
from papayadyke_core.membership._types import (
    Identity,
    ListedVm,
    MembershipSettings,
    MemberState,
    Outgoing,
    Snapshot,
)
from papayadyke_core.membership._zones import ZoneTable


class Membership:
    """Hears and tells who is there.

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
        self._ring = PartnerRing(settings=settings)
        self._delegate = Delegate(identity, settings=settings)
        self._active_s: float | None = None
        self._settled_s = float("inf")
        self._next_round_s = float("-inf")

    def update_self(
        self,
        state: MemberState,
        *,
        config_revision: int,
        load: Load,
        unreached: Iterable[str] = (),
    ) -> None:
        """Change what this VM says of itself.

        Raises
        ------
        ValueError
            Where the state is one that only others tell, or goes back from
            leaving.
        """
        self._table.update_self(
            state, config_revision=config_revision, load=load, unreached=unreached
        )

    def apply_platform_list(self, listed: Iterable[ListedVm]) -> None:
        """Take the platform's list of VMs.

        It lags, so it makes nobody live or dead: it says who is leaving, and
        whom to call who has not been heard yet.
        """
        self._table.listed = {entry.vm: entry for entry in listed}

    def tick(self, now: float, rng: random.Random) -> list[Outgoing]:
        """Return the messages that are due; call it a few times a second."""
        self._notice_pause(now)
        if now < self._next_round_s:
            return []
        self._next_round_s = now + self.settings.period_s * self._table.rarer
        self._table.forget(now)
        self._table.beat()
        partners = self._ring.choose(self._table, self._table.states(now), rng)
        outgoing = [
            Outgoing(vm, address, self._message(now, with_zones=True))
            for vm, address in partners.items()
        ]
        return outgoing + self._call_zones(now, rng)

    def apply_exchange(self, message: Exchange, now: float) -> Exchange:
        """Take an exchange of another member, and return the other half."""
        wanted = self._apply(message, now)
        records = self._table.lacking_records(message.beats, now)
        return self._message(
            now, known=message.beats, records=records, wanted=wanted, with_zones=True
        )

    def apply_reply(self, message: Exchange, now: float) -> Exchange | None:
        """Take the other half; return what the other still lacks, if anything."""
        self._apply(message, now)
        records = self._table.find_records(message.wanted, now)
        if not records:
            return None
        return self._message(now, known=message.beats, records=records)

    def apply_zone_exchange(self, message: ZoneExchange, now: float) -> ZoneExchange:
        """Take an exchange of a delegate, and return the other half."""
        self._zones.apply(message.zones, now)
        return self._zone_message(now, known=message.zones)

    def apply_zone_reply(self, message: ZoneExchange, now: float) -> None:
        """Take the other half of an exchange between delegates."""
        self._zones.apply(message.zones, now)

    def snapshot(self, now: float) -> Snapshot:
        """Return what is known now."""
        self._notice_pause(now)
        return Snapshot(
            members=self._table.members(now),
            zones=self._zones.zones(now),
            is_settled=now >= self._settled_s,
            is_superseded=self._table.is_superseded,
        )

    def _notice_pause(self, now: float) -> None:
        """Give everyone time to be heard again after a pause of this VM."""
        last_s = self._active_s
        self._active_s = now
        if last_s is None:
            self._settled_s = now + self.settings.rejoin_s
        elif now - last_s >= self.settings.pause_s:
            self._settled_s = now + self.settings.rejoin_s
            self._table.shift(now - last_s)

    def _apply(self, message: Exchange, now: float) -> tuple[int, ...]:
        self._notice_pause(now)
        if message.availability_zone != self.identity.availability_zone:
            return ()
        self._zones.apply(message.zones, now)
        return self._table.apply(message, now)

    def _message(
        self,
        now: float,
        *,
        known: tuple[Beat, ...] = (),
        records: tuple[Record, ...] = (),
        wanted: tuple[int, ...] = (),
        with_zones: bool = False,
    ) -> Exchange:
        zone_limit = self.settings.zones_per_exchange if with_zones else 0
        return Exchange(
            availability_zone=self.identity.availability_zone,
            beats=self._table.beats(now, known=known),
            records=records[: self.settings.records_per_exchange],
            wanted=wanted,
            zones=self._zones.digests(now, zone_limit),
        )

    def _call_zones(self, now: float, rng: random.Random) -> list[Outgoing]:
        if not self._delegate.is_delegate(self._table.members(now)):
            return []
        contacts = self._delegate.choose_contacts(
            self._zones.zones(now), self._table.listed.values(), now, rng
        )
        if not contacts:
            return []
        message = self._zone_message(now)
        return [Outgoing(item.vm, item.address, message) for item in contacts]

    def _zone_message(
        self, now: float, *, known: tuple[ZoneDigest, ...] = ()
    ) -> ZoneExchange:
        own = self._delegate.digest(self._table.members(now))
        return ZoneExchange((own, *self._zones.newer_digests(now, known=known)))
