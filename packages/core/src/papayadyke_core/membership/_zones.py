"""Local table of the other zones."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from papayadyke_core.membership._messages import ZoneDigest
from papayadyke_core.membership._types import MembershipSettings, Zone

TENTHS_PER_S = 10
# Delegates per zone whose latest digest count is kept.
MAX_SOURCES = 16


def to_age_ds(age_s: float) -> int:
    """Convert an age to tenths of a second, rounded up so that it never decreases."""
    return max(0, math.ceil(age_s * TENTHS_PER_S))


@dataclass(slots=True)
class _ZoneEntry:
    digest: ZoneDigest
    created_s: float
    sent_s: float
    counts: dict[int, int]


class ZoneTable:
    """Newest digest of each other zone.

    Parameters
    ----------
    availability_zone : str
        Own zone, whose digests are ignored.
    settings : MembershipSettings
    """

    def __init__(self, availability_zone: str, *, settings: MembershipSettings) -> None:
        self.availability_zone = availability_zone
        self.settings = settings
        self._entries: dict[str, _ZoneEntry] = {}

    def apply(self, digests: Iterable[ZoneDigest], now: float) -> None:
        """Apply the digests that are newer than the stored ones."""
        for digest in digests:
            if digest.availability_zone != self.availability_zone:
                self._apply_one(digest, now - max(0, digest.age_ds) / TENTHS_PER_S)

    def digests(self, now: float, limit: int) -> tuple[ZoneDigest, ...]:
        """Return the least recently sent digests and mark them as sent."""
        selected = sorted(self._entries.values(), key=lambda entry: entry.sent_s)[
            :limit
        ]
        for entry in selected:
            entry.sent_s = now
        return tuple(_with_current_age(entry, now) for entry in selected)

    def newer_digests(
        self, now: float, *, known_digests: Iterable[ZoneDigest] = ()
    ) -> tuple[ZoneDigest, ...]:
        """Return the stored digests that are not among the known ones."""
        known_keys = {
            (digest.availability_zone, digest.source, digest.count)
            for digest in known_digests
        }
        return tuple(
            _with_current_age(entry, now)
            for name, entry in self._entries.items()
            if (name, entry.digest.source, entry.digest.count) not in known_keys
        )

    def zones(self, now: float) -> tuple[Zone, ...]:
        """Return the other zones, ordered by name."""
        return tuple(
            self._zone(self._entries[name], now) for name in sorted(self._entries)
        )

    def _apply_one(self, digest: ZoneDigest, created_s: float) -> None:
        entry = self._entries.get(digest.availability_zone)
        if entry is None:
            if len(self._entries) < self.settings.max_zones:
                counts = {digest.source: digest.count}
                entry = _ZoneEntry(digest, created_s, -math.inf, counts)
                self._entries[digest.availability_zone] = entry
            return
        if digest.count <= entry.counts.get(digest.source, -1):
            return
        entry.counts.pop(digest.source, None)
        entry.counts[digest.source] = digest.count
        if len(entry.counts) > MAX_SOURCES:
            del entry.counts[next(iter(entry.counts))]
        if created_s > entry.created_s:
            entry.digest, entry.created_s = digest, created_s

    def _zone(self, entry: _ZoneEntry, now: float) -> Zone:
        digest = entry.digest
        age_s = now - entry.created_s
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


def _with_current_age(entry: _ZoneEntry, now: float) -> ZoneDigest:
    return msgspec.structs.replace(
        entry.digest, age_ds=to_age_ds(now - entry.created_s)
    )
