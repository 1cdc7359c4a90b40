"""Messages by which the members of a cell learn of each other.

Heartbeats go as ages, not as times, so that no two clocks are compared. A beat
names its member by a short id, because beats are most of the bytes.
"""

from __future__ import annotations

import zlib

from msgspec import Struct


class Load(Struct, frozen=True, array_like=True):
    """What a VM could start now, and what waits there."""

    free_cpu_millis: int = 0
    free_memory_mb: int = 0
    free_accelerators: int = 0
    free_slots: int = 0
    queued: int = 0

    def __add__(self, other: Load) -> Load:
        return Load(
            self.free_cpu_millis + other.free_cpu_millis,
            self.free_memory_mb + other.free_memory_mb,
            self.free_accelerators + other.free_accelerators,
            self.free_slots + other.free_slots,
            self.queued + other.queued,
        )


class Record(Struct, frozen=True, array_like=True):
    """What a member says of itself, and seldom changes.

    Parameters
    ----------
    vm, availability_zone, region : str
    incarnation : int
        Grows with each start of the daemon.
    version : int
        Grows with each change within an incarnation.
    address : str
        IP number and port.
    weight : int
        Share of the zone's upstreams that the VM can own, relative to others.
    state : str
        `joining`, `live` or `leaving`.
    unreached : tuple of str, default=()
        Upstreams that the VM was to own but can't reach.
    """

    vm: str
    availability_zone: str
    region: str
    incarnation: int
    version: int
    address: str
    weight: int
    state: str
    unreached: tuple[str, ...] = ()


class Beat(Struct, frozen=True, array_like=True):
    """The latest that the sender knows of one member, itself included.

    Parameters
    ----------
    id : int
        `member_id` of the VM and its incarnation.
    version : int
        Version of its record.
    count : int
        Heartbeats of the member so far. Only a greater one is news: with ages
        alone, a beat handed round slowly would seem ever younger.
    age_ds : int
        Tenths of a second since the member said so.
    config_revision : int
    load : Load
    """

    id: int
    version: int
    count: int
    age_ds: int
    config_revision: int
    load: Load


class Contact(Struct, frozen=True, array_like=True):
    """A VM of another zone that can be called."""

    vm: str
    address: str


class ZoneDigest(Struct, frozen=True, array_like=True):
    """The sum of one zone, as one of its delegates knows it.

    Parameters
    ----------
    availability_zone, region : str
    source : int
        `member_id` of the delegate.
    count : int
        Grows with each digest of that delegate.
    age_ds : int
    members : int
        Live members.
    config_revision : int
        The highest that a live member has.
    load : Load
    contacts : tuple of Contact
    """

    availability_zone: str
    region: str
    source: int
    count: int
    age_ds: int
    members: int
    config_revision: int
    load: Load
    contacts: tuple[Contact, ...]


class Exchange(Struct, tag="exchange", frozen=True, array_like=True):
    """One half of an exchange between two members of a zone.

    Parameters
    ----------
    availability_zone : str
    beats : tuple of Beat
    records : tuple of Record
        What the receiver asked for or is known to lack.
    wanted : tuple of int
        Ids whose records the sender asks for.
    zones : tuple of ZoneDigest
    """

    availability_zone: str
    beats: tuple[Beat, ...]
    records: tuple[Record, ...] = ()
    wanted: tuple[int, ...] = ()
    zones: tuple[ZoneDigest, ...] = ()


class ZoneExchange(Struct, tag="zones", frozen=True, array_like=True):
    """One half of an exchange between delegates of two zones."""

    zones: tuple[ZoneDigest, ...]


def member_id(vm: str, incarnation: int) -> int:
    """Return the id by which beats name a member."""
    return zlib.crc32(f"{vm}/{incarnation}".encode())
