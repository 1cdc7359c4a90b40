"""What membership is told and what it tells."""

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
    """Where a member stands, in the eyes of the VM that tells it."""

    JOINING = "joining"
    LIVE = "live"
    LEAVING = "leaving"
    SUSPECTED = "suspected"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Identity:
    """What a VM learns of itself from its settings."""

    vm: str
    availability_zone: str
    region: str
    incarnation: int
    address: str
    weight: int


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipSettings:
    """Times and limits of membership.

    Parameters
    ----------
    period_s : float, default=1.0
        Time between two rounds of exchanges in the zone.
    partners : int, default=2
        Members that are called in a round.
    full_rate_members : int, default=32
        In a larger zone the rounds grow rarer in proportion, which bounds the
        bytes a second.
    suspect_s : float, default=5.0
        Age of the last heartbeat from which a member is suspected.
    dead_s : float, default=10.0
        Age of the last heartbeat from which a member counts as dead.
    recover_s : float, default=2.0
        Time for which a suspected member has to be heard to be live again.
    pause_s : float, default=3.0
        Time between two rounds from which this VM has been paused.
    rejoin_s : float, default=2.0
        Time after a start or a pause for which a VM decides nothing on what it
        knows of others.
    forget_s : float, default=60.0
        Age from which a dead member is forgotten.
    retry_every : int, default=5
        Rounds between two calls to a dead or unheard member.
    delegates : int, default=2
        Members of a zone that exchange with other zones.
    zone_period_s : float, default=3.0
        Time between two exchanges with another zone of the region.
    region_period_s : float, default=5.0
        Time between two exchanges with a zone of another region.
    zone_lost_s : float, default=30.0
        Age of its digest from which another zone counts as cut off.
    zones_per_exchange : int, default=1
        Digests that go with an exchange inside the zone.
    records_per_exchange : int, default=16
    max_unreached : int, default=64
        Upstreams that a VM tells it can't reach.
    max_members : int, default=1024
    max_zones : int, default=64
    """

    period_s: float = 1.0
    partners: int = 2
    full_rate_members: int = 32
    suspect_s: float = 5.0
    dead_s: float = 10.0
    recover_s: float = 2.0
    pause_s: float = 3.0
    rejoin_s: float = 2.0
    forget_s: float = 60.0
    retry_every: int = 5
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
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedVm:
    """An entry of the platform's list of VMs, which lags."""

    vm: str
    availability_zone: str
    region: str
    address: str
    state: ListedState


@dataclass(frozen=True, slots=True)
class Member:
    """A VM of this zone."""

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
    """Another zone."""

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
    """What a VM knows at one moment.

    Parameters
    ----------
    members : tuple of Member
        This VM included, in order of their names.
    zones : tuple of Zone
    is_settled : bool
        False shortly after a start or a pause, when nothing may be concluded
        from what has not been heard.
    is_superseded : bool
        True where a later incarnation of this VM has been heard: this process
        has to stop.
    """

    members: tuple[Member, ...]
    zones: tuple[Zone, ...]
    is_settled: bool
    is_superseded: bool

    def find(self, vm: str) -> Member | None:
        """Return a member by its name."""
        return next((member for member in self.members if member.vm == vm), None)

    def live(self) -> tuple[Member, ...]:
        """Return the members that may get new work."""
        return tuple(
            member for member in self.members if member.state == MemberState.LIVE
        )


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message to send, whose reply goes to `apply_reply`."""

    vm: str
    address: str
    message: Exchange | ZoneExchange
