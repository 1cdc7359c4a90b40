"""What is known of the other zones."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from papayadyke_core.membership._messages import ZoneDigest
from papayadyke_core.membership._types import MembershipSettings, Zone

TENTHS_PER_S = 10
# Delegates of a zone whose latest digest is remembered.
MAX_SOURCES = 16


def to_age_ds(age_s: float) -> int:
    """Return an age in tenths of a second, rounded up so that it never shrinks."""
    return max(0, math.ceil(age_s * TENTHS_PER_S))


@dataclass(slots=True)
class _Known:
    digest: ZoneDigest
    made_s: float
    sent_s: float
    counts: dict[int, int]


class ZoneTable:
    """The freshest digest of each other zone.

    Parameters
    ----------
    availability_zone : str
        The own zone, whose digests are passed over.
    settings : MembershipSettings
    """

    def __init__(self, availability_zone: str, *, settings: MembershipSettings) -> None:
        self.availability_zone = availability_zone
        self.settings = settings
        self._known: dict[str, _Known] = {}

    def apply(self, digests: Iterable[ZoneDigest], now: float) -> None:
        """Take the digests that are fresher than those known."""
        for digest in digests:
            if digest.availability_zone != self.availability_zone:
                self._apply_one(digest, now - max(0, digest.age_ds) / TENTHS_PER_S)

    def digests(self, now: float, limit: int) -> tuple[ZoneDigest, ...]:
        """Return the digests that have not been sent for longest."""
        chosen = sorted(self._known.values(), key=lambda known: known.sent_s)[:limit]
        for known in chosen:
            known.sent_s = now
        return tuple(_aged(known, now) for known in chosen)

    def newer_digests(
        self, now: float, *, known: Iterable[ZoneDigest] = ()
    ) -> tuple[ZoneDigest, ...]:
        """Return the digests that are not among those known."""
        same = {(item.availability_zone, item.source, item.count) for item in known}
        return tuple(
            _aged(own, now)
            for name, own in self._known.items()
            if (name, own.digest.source, own.digest.count) not in same
        )

    def zones(self, now: float) -> tuple[Zone, ...]:
        """Return the other zones in order of their names."""
        return tuple(self._zone(self._known[name], now) for name in sorted(self._known))

    def _apply_one(self, digest: ZoneDigest, made_s: float) -> None:
        known = self._known.get(digest.availability_zone)
        if known is None:
            if len(self._known) < self.settings.max_zones:
                counts = {digest.source: digest.count}
                known = _Known(digest, made_s, -math.inf, counts)
                self._known[digest.availability_zone] = known
            return
        if digest.count <= known.counts.get(digest.source, -1):
            return
        known.counts.pop(digest.source, None)
        known.counts[digest.source] = digest.count
        if len(known.counts) > MAX_SOURCES:
            del known.counts[next(iter(known.counts))]
        if made_s > known.made_s:
            known.digest, known.made_s = digest, made_s

    def _zone(self, known: _Known, now: float) -> Zone:
        digest = known.digest
        age_s = now - known.made_s
        return Zone(
            availability_zone=digest.availability_zone,
            region=digest.region,
            members=digest.members,
            config_revision=digest.config_revision,
            load=digest.load,
            contacts=digest.contacts,
            age_s=age_s,
            is_reachable=age_s < self.settings.zone_lost_s,
        )


def _aged(known: _Known, now: float) -> ZoneDigest:
    return msgspec.structs.replace(known.digest, age_ds=to_age_ds(now - known.made_s))
