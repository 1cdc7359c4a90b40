"""Events that are queued for the membership thread."""

from __future__ import annotations

import queue
from dataclasses import dataclass

from papayadyke_core.membership import (
    Exchange,
    ListedVm,
    Load,
    MemberState,
    ZoneExchange,
)
from papayadyke_core.ownership import ZoneRecord
from papayadyke_daemon.membership._messages import RecordPull, RecordUpdate


@dataclass(frozen=True, slots=True)
class IncomingMessage:
    """Message from a peer, with the queue for the reply."""

    message: PeerMessage
    reply_queue: queue.SimpleQueue[PeerReply | None]


@dataclass(frozen=True, slots=True)
class IncomingReply:
    """Reply of a peer to a message of this VM."""

    vm: str
    message: PeerReply


@dataclass(frozen=True, slots=True)
class SelfUpdate:
    """State that this VM is to announce for itself."""

    state: MemberState
    config_revision: int
    load: Load
    unreached: frozenset[str]


@dataclass(frozen=True, slots=True)
class PlatformList:
    """List of VMs read from the platform."""

    listed: tuple[ListedVm, ...]


@dataclass(frozen=True, slots=True)
class NewRecord:
    """Newer zone record, with a flag for a record that this VM wrote."""

    record: ZoneRecord
    is_own: bool


class Stop:
    """Request to end the membership thread."""


PeerMessage = Exchange | ZoneExchange | RecordPull | RecordUpdate
PeerReply = Exchange | ZoneExchange | RecordUpdate
InboxEvent = (
    IncomingMessage | IncomingReply | SelfUpdate | PlatformList | NewRecord | Stop
)
