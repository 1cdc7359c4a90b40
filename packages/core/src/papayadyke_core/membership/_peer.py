"""State of one other member, with failure detection by heartbeat age."""

from __future__ import annotations

from dataclasses import dataclass

from papayadyke_core.membership._messages import Heartbeat, Load, Record, member_id
from papayadyke_core.membership._types import MembershipSettings, MemberState
from papayadyke_core.membership._zones import TENTHS_PER_S


@dataclass(slots=True)
class Peer:
    """Local view of another member; times are in seconds on this VM's clock."""

    record: Record
    last_heard_s: float
    load: Load
    count: int = 0
    config_revision: int = 0
    is_suspected: bool = False
    recovering_since_s: float | None = None

    def apply_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Apply a heartbeat if it is newer than the latest one."""
        if heartbeat.count <= self.count:
            return
        self.count = heartbeat.count
        self.last_heard_s = max(
            self.last_heard_s, now - max(0, heartbeat.age_ds) / TENTHS_PER_S
        )
        self.load = heartbeat.load
        self.config_revision = max(self.config_revision, heartbeat.config_revision)

    @property
    def id(self) -> int:
        """Id that identifies the member in heartbeats."""
        return member_id(self.record.vm, self.record.incarnation)

    def is_superseded_by(self, record: Record) -> bool:
        """Return whether a record is newer than the stored one."""
        return (record.incarnation, record.version) > (
            self.record.incarnation,
            self.record.version,
        )


def evaluate_peer(
    peer: Peer,
    now: float,
    settings: MembershipSettings,
    *,
    is_leaving: bool,
    period_factor: float = 1.0,
) -> MemberState:
    """Return the state of a member and update its suspicion.

    Heartbeats of a suspected member must arrive for `recover_s` seconds before it is
    live again, so that a member close to the threshold does not change state with
    each heartbeat. `period_factor` scales the suspicion and death thresholds, because
    rounds are less frequent by this factor.
    """
    age_s = (now - peer.last_heard_s) / period_factor
    if age_s >= settings.suspect_s:
        peer.is_suspected = True
        peer.recovering_since_s = None
        is_dead = age_s >= settings.dead_s
        return MemberState.DEAD if is_dead else MemberState.SUSPECTED
    if peer.is_suspected and not _update_recovery(peer, now, settings):
        return MemberState.SUSPECTED
    if is_leaving:
        return MemberState.LEAVING
    return MemberState(peer.record.state)


def _update_recovery(peer: Peer, now: float, settings: MembershipSettings) -> bool:
    """Track the recovery period of a suspected member; return whether it is over."""
    if peer.recovering_since_s is None:
        peer.recovering_since_s = now
    if now - peer.recovering_since_s < settings.recover_s:
        return False
    peer.is_suspected = False
    peer.recovering_since_s = None
    return True
