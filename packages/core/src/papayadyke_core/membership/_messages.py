"""Messages of the membership protocol.

Heartbeats carry ages instead of timestamps, so that clocks of different VMs are
never compared. A heartbeat identifies its member by a short id, because heartbeats
make up most of the bytes sent.
"""

from __future__ import annotations

import zlib

from msgspec import Struct


class Load(Struct, frozen=True, array_like=True):
    """Free capacity of a VM or zone and the number of its queued requests."""

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
    """Rarely changing data that a member announces about itself.

    Parameters
    ----------
    vm, availability_zone, region : str
    incarnation : int
        Increases with each start of the daemon.
    version : int
        Increases with each change of the record within an incarnation.
    address : str
        IP address and port.
    weight : int
        Share of the zone's upstreams that the VM can own, relative to others.
    state : str
        `joining`, `live` or `leaving`.
    unreached : tuple of str, default=()
        Upstreams assigned to the VM that it cannot reach.
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


class Heartbeat(Struct, frozen=True, array_like=True):
    """Latest heartbeat known to the sender of one member, possibly itself.

    Parameters
    ----------
    id : int
        `member_id` of the VM and its incarnation.
    version : int
        Version of the member's record.
    count : int
        Sequence number of the heartbeat. Receivers only accept a higher one,
        because with ages alone, a heartbeat that is forwarded slowly would keep
        appearing younger.
    age_ds : int
        Time since the member emitted the heartbeat, in tenths of a second.
    config_revision : int
        Configuration revision of the member.
    load : Load
    """

    id: int
    version: int
    count: int
    age_ds: int
    config_revision: int
    load: Load


class Contact(Struct, frozen=True, array_like=True):
    """Name and address of a VM of another zone."""

    vm: str
    address: str


class ZoneDigest(Struct, frozen=True, array_like=True):
    """Aggregate state of one zone, as seen by one of its delegates.

    Parameters
    ----------
    availability_zone, region : str
    source : int
        `member_id` of the delegate.
    count : int
        Sequence number of the digest, per delegate.
    age_ds : int
        Age of the digest, in tenths of a second.
    members : int
        Number of live members.
    config_revision : int
        Highest configuration revision of a live member.
    load : Load
        Sum over the live members.
    contacts : tuple of Contact
        Live members that other zones can send exchanges to.
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
    """Request, reply or follow-up of an exchange between two members of a zone.

    Parameters
    ----------
    availability_zone : str
    beats : tuple of Heartbeat
    records : tuple of Record
        Records that the receiver requested or is known to lack.
    wanted : tuple of int
        Member ids whose records the sender requests.
    zones : tuple of ZoneDigest
    """

    availability_zone: str
    beats: tuple[Heartbeat, ...]
    records: tuple[Record, ...] = ()
    wanted: tuple[int, ...] = ()
    zones: tuple[ZoneDigest, ...] = ()


class ZoneExchange(Struct, tag="zones", frozen=True, array_like=True):
    """Request or reply of an exchange between delegates of two zones."""

    zones: tuple[ZoneDigest, ...]


def member_id(vm: str, incarnation: int) -> int:
    """Return the id that identifies a member in heartbeats."""
    return zlib.crc32(f"{vm}/{incarnation}".encode())
