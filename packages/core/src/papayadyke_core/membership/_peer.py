"""One other member, and the judgement of its silence."""

from __future__ import annotations

from dataclasses import dataclass

from papayadyke_core.membership._messages import Beat, Load, Record, member_id
from papayadyke_core.membership._types import MembershipSettings, MemberState
from papayadyke_core.membership._zones import TENTHS_PER_S


@dataclass(slots=True)
class Peer:
    """What is known of another member; times are on the clock of this VM."""

    record: Record
    heard_s: float
    load: Load
    count: int = 0
    config_revision: int = 0
    is_suspected: bool = False
    fresh_since_s: float | None = None

    def apply_beat(self, beat: Beat, now: float) -> None:
        """Take a heartbeat that is newer than the one known."""
        if beat.count <= self.count:
            return
        self.count = beat.count
        self.heard_s = max(self.heard_s, now - max(0, beat.age_ds) / TENTHS_PER_S)
        self.load = beat.load
        self.config_revision = max(self.config_revision, beat.config_revision)

    @property
    def id(self) -> int:
        """The id by which beats name it."""
        return member_id(self.record.vm, self.record.incarnation)

    def is_superseded_by(self, record: Record) -> bool:
        """Tell whether a record is newer than the one known."""
        return (record.incarnation, record.version) > (
            self.record.incarnation,
            self.record.version,
        )


def judge_peer(
    peer: Peer,
    now: float,
    settings: MembershipSettings,
    *,
    is_leaving: bool,
    rarer: float = 1.0,
) -> MemberState:
    """Return the state of a member, and note when it falls silent or returns.

    A member that was suspected has to be heard for a while before it is live
    again, so that one on the edge does not change sides at each heartbeat. Where
    rounds are rarer by a factor, silence is borne longer by that factor.
    """
    age_s = (now - peer.heard_s) / rarer
    if age_s >= settings.suspect_s:
        peer.is_suspected = True
        peer.fresh_since_s = None
        is_dead = age_s >= settings.dead_s
        return MemberState.DEAD if is_dead else MemberState.SUSPECTED
    if peer.is_suspected and not _has_recovered(peer, now, settings):
        return MemberState.SUSPECTED
    if is_leaving:
        return MemberState.LEAVING
    return MemberState(peer.record.state)


def _has_recovered(peer: Peer, now: float, settings: MembershipSettings) -> bool:
    if peer.fresh_since_s is None:
        peer.fresh_since_s = now
    if now - peer.fresh_since_s < settings.recover_s:
        return False
    peer.is_suspected = False
    peer.fresh_since_s = None
    return True
