"""Local table of the members of a zone, this VM included."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from papayadyke_core.membership._messages import (
    Exchange,
    Heartbeat,
    Load,
    Record,
    member_id,
)
from papayadyke_core.membership._peer import Peer, evaluate_peer
from papayadyke_core.membership._types import (
    Identity,
    ListedState,
    ListedVm,
    Member,
    MembershipSettings,
    MemberState,
)
from papayadyke_core.membership._zones import to_age_ds

SELF_STATES = (MemberState.JOINING, MemberState.LIVE, MemberState.LEAVING)


class MemberTable:
    """Records and heartbeats of the members of a zone.

    Parameters
    ----------
    identity : Identity
    settings : MembershipSettings
    """

    def __init__(self, identity: Identity, *, settings: MembershipSettings) -> None:
        self.identity = identity
        self.settings = settings
        self.peers: dict[str, Peer] = {}
        self.listed: dict[str, ListedVm] = {}
        self.is_superseded = False
        self._heartbeat_count = 0
        self._load = Load()
        self._config_revision = 0
        self._record = Record(
            vm=identity.vm,
            availability_zone=identity.availability_zone,
            region=identity.region,
            incarnation=identity.incarnation,
            version=1,
            address=identity.address,
            weight=identity.weight,
            state=MemberState.JOINING.value,
        )

    @property
    def period_factor(self) -> float:
        """Factor by which the round period is extended in a large zone."""
        return max(1.0, (len(self.peers) + 1) / self.settings.full_rate_members)

    def update_self(
        self,
        state: MemberState,
        *,
        config_revision: int,
        load: Load,
        unreached: Iterable[str],
    ) -> None:
        """Update the state that this VM announces for itself."""
        if state not in SELF_STATES:
            raise ValueError(f"a VM cannot announce the state {state} for itself")
        if self._record.state == MemberState.LEAVING != state:
            raise ValueError("a leaving VM stays leaving")
        names = tuple(sorted(unreached))[: self.settings.max_unreached]
        if (state, names) != (self._record.state, self._record.unreached):
            self._record = msgspec.structs.replace(
                self._record,
                version=self._record.version + 1,
                state=state.value,
                unreached=names,
            )
        self._config_revision = max(self._config_revision, config_revision)
        self._load = load

    def advance_heartbeat(self) -> None:
        """Advance to the next heartbeat of this VM."""
        self._heartbeat_count += 1

    def apply(self, message: Exchange, now: float) -> tuple[int, ...]:
        """Apply records and heartbeats; return the ids of missing or stale records."""
        for record in message.records:
            self._apply_record(record, now)
        peers_by_id = {peer.id: peer for peer in self.peers.values()}
        own_id = member_id(self.identity.vm, self.identity.incarnation)
        wanted = []
        for heartbeat in message.beats:
            peer = peers_by_id.get(heartbeat.id)
            if peer is not None:
                peer.apply_heartbeat(heartbeat, now)
            if heartbeat.id != own_id and (
                peer is None or peer.record.version < heartbeat.version
            ):
                wanted.append(heartbeat.id)
        return tuple(wanted[: self.settings.records_per_exchange])

    def exclude_pause(self, paused_s: float) -> None:
        """Exclude a pause of this VM from the ages of all heartbeats."""
        for peer in self.peers.values():
            peer.last_heard_s += paused_s

    def remove_expired(self, now: float) -> None:
        """Remove members whose last heartbeat is older than `remove_after_s`."""
        oldest_s = now - self.settings.remove_after_s
        for vm in [
            vm for vm, peer in self.peers.items() if peer.last_heard_s < oldest_s
        ]:
            del self.peers[vm]

    def states(self, now: float) -> dict[str, MemberState]:
        """Return the state of every member, this VM included."""
        states = {self.identity.vm: MemberState(self._record.state)}
        if self._is_listed_leaving(self.identity.vm):
            states[self.identity.vm] = MemberState.LEAVING
        for vm, peer in self.peers.items():
            is_leaving = self._is_listed_leaving(vm)
            states[vm] = evaluate_peer(
                peer,
                now,
                self.settings,
                is_leaving=is_leaving,
                period_factor=self.period_factor,
            )
        return states

    def members(self, now: float) -> tuple[Member, ...]:
        """Return all members, ordered by name."""
        return tuple(
            self._member(vm, state, now)
            for vm, state in sorted(self.states(now).items())
        )

    def beats(
        self, now: float, *, known_beats: Iterable[Heartbeat] = ()
    ) -> tuple[Heartbeat, ...]:
        """Return the heartbeats that are newer than the known ones.

        The result covers this VM and every member that is not dead.
        """
        known_counts = {heartbeat.id: heartbeat.count for heartbeat in known_beats}
        beats = [self._own_heartbeat()]
        beats += (_to_heartbeat(peer, now) for peer in self._peers_not_dead(now))
        return tuple(
            heartbeat
            for heartbeat in beats
            if known_counts.get(heartbeat.id, -1) < heartbeat.count
        )

    def find_records(self, ids: Iterable[int], now: float) -> tuple[Record, ...]:
        """Return the available records of the given member ids."""
        wanted = set(ids)
        return tuple(
            record
            for record in self._records(now)
            if member_id(record.vm, record.incarnation) in wanted
        )

    def missing_records(
        self, beats: Iterable[Heartbeat], now: float
    ) -> tuple[Record, ...]:
        """Return the records that the sender of the given heartbeats lacks."""
        known_versions = {heartbeat.id: heartbeat.version for heartbeat in beats}
        return tuple(
            record
            for record in self._records(now)
            if known_versions.get(member_id(record.vm, record.incarnation), 0)
            < record.version
        )

    def address(self, vm: str) -> str:
        """Return the address of a member."""
        return self.peers[vm].record.address

    def _is_listed_leaving(self, vm: str) -> bool:
        entry = self.listed.get(vm)
        return entry is not None and entry.state == ListedState.LEAVING

    def _own_heartbeat(self) -> Heartbeat:
        own = self._record
        return Heartbeat(
            id=member_id(own.vm, own.incarnation),
            version=own.version,
            count=self._heartbeat_count,
            age_ds=0,
            config_revision=self._config_revision,
            load=self._load,
        )

    def _peers_not_dead(self, now: float) -> Iterator[Peer]:
        """Return the peers that are not dead.

        Sending a dead peer would make it reappear at members that have already removed
        it.
        """
        oldest_s = now - self.settings.dead_s * self.period_factor
        return (peer for peer in self.peers.values() if peer.last_heard_s > oldest_s)

    def _records(self, now: float) -> Iterator[Record]:
        yield self._record
        for peer in self._peers_not_dead(now):
            yield peer.record

    def _apply_record(self, record: Record, now: float) -> None:
        if record.availability_zone != self.identity.availability_zone:
            return
        if record.state not in SELF_STATES or record.weight <= 0:
            return
        if record.vm == self.identity.vm:
            is_newer = record.incarnation > self.identity.incarnation
            self.is_superseded = self.is_superseded or is_newer
            return
        peer = self.peers.get(record.vm)
        if peer is None or record.incarnation > peer.record.incarnation:
            self._add(record, now, is_known=peer is not None)
        elif peer.is_superseded_by(record):
            peer.record = record

    def _add(self, record: Record, now: float, *, is_known: bool) -> None:
        if is_known or len(self.peers) < self.settings.max_members:
            # Counts as dead until its first heartbeat, which accompanies the record.
            last_heard_s = now - self.settings.dead_s * self.period_factor
            self.peers[record.vm] = Peer(record, last_heard_s, Load())

    def _member(self, vm: str, state: MemberState, now: float) -> Member:
        peer = self.peers.get(vm)
        record = self._record if peer is None else peer.record
        return Member(
            vm=vm,
            incarnation=record.incarnation,
            address=record.address,
            weight=record.weight,
            state=state,
            config_revision=(
                self._config_revision if peer is None else peer.config_revision
            ),
            load=self._load if peer is None else peer.load,
            age_s=0.0 if peer is None else max(0.0, now - peer.last_heard_s),
            unreached=record.unreached,
        )


def _to_heartbeat(peer: Peer, now: float) -> Heartbeat:
    return Heartbeat(
        id=peer.id,
        version=peer.record.version,
        count=peer.count,
        age_ds=to_age_ds(now - peer.last_heard_s),
        config_revision=peer.config_revision,
        load=peer.load,
    )
