"""What comes into the mailbox of the membership."""

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
from papayadyke_daemon.membership._messages import RecordNews, RecordPull


@dataclass(frozen=True, slots=True)
class Ask:
    """A peer's message, and where its answer goes."""

    message: PeerMessage
    answer: queue.SimpleQueue[PeerAnswer | None]


@dataclass(frozen=True, slots=True)
class Reply:
    """A peer's answer to a message of this VM."""

    vm: str
    message: PeerAnswer


@dataclass(frozen=True, slots=True)
class SelfUpdate:
    """What this VM is to say of itself."""

    state: MemberState
    config_revision: int
    load: Load
    unreached: frozenset[str]


@dataclass(frozen=True, slots=True)
class Listed:
    """The platform's list."""

    listed: tuple[ListedVm, ...]


@dataclass(frozen=True, slots=True)
class NewRecord:
    """A newer zone record, and whether this VM wrote it."""

    record: ZoneRecord
    is_own: bool


class Stop:
    """Ends the thread."""


PeerMessage = Exchange | ZoneExchange | RecordPull | RecordNews
PeerAnswer = Exchange | ZoneExchange | RecordNews
Item = Ask | Reply | SelfUpdate | Listed | NewRecord | Stop
