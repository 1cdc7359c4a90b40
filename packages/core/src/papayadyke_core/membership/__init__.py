"""Gossip-based membership: members of a zone and the state of other zones."""

from papayadyke_core.membership._membership import Membership
from papayadyke_core.membership._messages import (
    Contact,
    Exchange,
    Heartbeat,
    Load,
    Record,
    ZoneDigest,
    ZoneExchange,
)
from papayadyke_core.membership._types import (
    Identity,
    ListedState,
    ListedVm,
    Member,
    MembershipSettings,
    MemberState,
    OutgoingMessage,
    Snapshot,
    Zone,
)

__all__ = [
    "Contact",
    "Exchange",
    "Heartbeat",
    "Identity",
    "ListedState",
    "ListedVm",
    "Load",
    "Member",
    "MemberState",
    "Membership",
    "MembershipSettings",
    "OutgoingMessage",
    "Record",
    "Snapshot",
    "Zone",
    "ZoneDigest",
    "ZoneExchange",
]
