"""Inputs, settings and outputs of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from papayadyke_core.membership._messages import (
    Contact,
    Exchange,
    Load,
    ZoneExchange,
)


class MemberState(StrEnum):
    """State of a member, as seen by the reporting VM."""

    JOINING = "joining"
    LIVE = "live"
    LEAVING = "leaving"
    SUSPECTED = "suspected"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Identity:
    """Identity of a VM, taken from its settings."""

    vm: str
    availability_zone: str
    region: str
    incarnation: int
    address: str
    weight: int


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipSettings:
    """Periods, timeouts and limits of the membership protocol.

    Parameters
    ----------
    period_s : float, default=1.0
        Period of exchange rounds within the zone, in seconds.
    partners : int, default=2
        Number of members contacted per round.
    full_rate_members : int, default=32
        Largest zone, in members, with rounds at the full rate. In a larger zone, the
        period grows in proportion, which bounds the bytes sent per second.
    suspect_s : float, default=5.0
        Age of the last heartbeat, in seconds, from which a member is suspected.
    dead_s : float, default=10.0
        Age of the last heartbeat, in seconds, from which a member counts as dead.
    recover_s : float, default=2.0
        Time in seconds for which heartbeats of a suspected member must arrive before
        it is live again.
    pause_s : float, default=3.0
        Time in seconds without activity from which this VM counts as having been
        paused.
    rejoin_s : float, default=2.0
        Time in seconds after a start or a pause during which a VM makes no decisions
        based on its view of other members.
    remove_after_s : float, default=60.0
        Age of the last heartbeat, in seconds, from which a dead member is removed.
    retry_every_rounds : int, default=5
        Rounds between two attempts to contact a member that is dead or has not been
        heard from.
    delegates : int, default=2
        Number of members of a zone that exchange digests with other zones.
    zone_period_s : float, default=3.0
        Period of exchanges with another zone of the region, in seconds.
    region_period_s : float, default=5.0
        Period of exchanges with a zone of another region, in seconds.
    zone_lost_s : float, default=30.0
        Age of its latest digest, in seconds, from which another zone counts as
        unreachable.
    zones_per_exchange : int, default=1
        Maximum number of digests in an exchange within the zone.
    records_per_exchange : int, default=16
        Maximum number of records in an exchange, and of records requested by it.
    max_unreached : int, default=64
        Maximum number of unreachable upstreams that a VM reports.
    max_members : int, default=1024
        Maximum number of other members that a VM tracks.
    max_zones : int, default=64
        Maximum number of other zones that a VM tracks.
    """

    period_s: float = 1.0
    partners: int = 2
    full_rate_members: int = 32
    suspect_s: float = 5.0
    dead_s: float = 10.0
    recover_s: float = 2.0
    pause_s: float = 3.0
    rejoin_s: float = 2.0
    remove_after_s: float = 60.0
    retry_every_rounds: int = 5
    delegates: int = 2
    zone_period_s: float = 3.0
    region_period_s: float = 5.0
    zone_lost_s: float = 30.0
    zones_per_exchange: int = 1
    records_per_exchange: int = 16
    max_unreached: int = 64
    max_members: int = 1024
    max_zones: int = 64


class ListedState(StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedVm:
    """Entry of the platform's list of VMs, which is delayed."""

    vm: str
    availability_zone: str
    region: str
    address: str
    state: ListedState


@dataclass(frozen=True, slots=True)
class Member:
    """State of a VM of this zone; `age_s` is the age of its last heartbeat."""

    vm: str
    incarnation: int
    address: str
    weight: int
    state: MemberState
    config_revision: int
    load: Load
    age_s: float
    unreached: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Zone:
    """State of another zone; `age_s` is the age of its latest digest."""

    availability_zone: str
    region: str
    members: int
    config_revision: int
    load: Load
    contacts: tuple[Contact, ...]
    age_s: float
    is_reachable: bool


@dataclass(frozen=True, slots=True)
class Snapshot:
    """View of the membership at one point in time.

    Parameters
    ----------
    members : tuple of Member
        Members of this zone, this VM included, ordered by name.
    zones : tuple of Zone
        Other zones, ordered by name.
    is_settled : bool
        False shortly after a start or a pause, when a missing heartbeat does not
        allow any conclusion.
    is_superseded : bool
        True if a record of a later incarnation of this VM has been received, so
        that this process must stop.
    """

    members: tuple[Member, ...]
    zones: tuple[Zone, ...]
    is_settled: bool
    is_superseded: bool

    def find(self, vm: str) -> Member | None:
        """Return the member with the given name, or None."""
        return next((member for member in self.members if member.vm == vm), None)

    def live(self) -> tuple[Member, ...]:
        """Return the live members, which can receive new work."""
        return tuple(
            member for member in self.members if member.state == MemberState.LIVE
        )


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """Message to send; pass its reply to `apply_reply` or `apply_zone_reply`."""

    vm: str
    address: str
    message: Exchange | ZoneExchange
