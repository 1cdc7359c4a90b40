"""What one VM knows of itself and of the other members of its zone."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from papayadyke_core.membership._messages import (
    Beat,
    Exchange,
    Load,
    Record,
    member_id,
)
from papayadyke_core.membership._peer import Peer, judge_peer
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
    """Records and heartbeats of a zone.

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
        self._count = 0
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
    def rarer(self) -> float:
        """Factor by which the rounds of a large zone are rarer."""
        return max(1.0, (len(self.peers) + 1) / self.settings.full_rate_members)

    def update_self(
        self,
        state: MemberState,
        *,
        config_revision: int,
        load: Load,
        unreached: Iterable[str],
    ) -> None:
        """Change what this VM says of itself."""
        if state not in SELF_STATES:
            raise ValueError(f"a VM does not say of itself that it is {state}")
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

    def beat(self) -> None:
        """Make the next heartbeat of this VM."""
        self._count += 1

    def apply(self, message: Exchange, now: float) -> tuple[int, ...]:
        """Take records and heartbeats; return the ids whose records are lacking."""
        for record in message.records:
            self._apply_record(record, now)
        by_id = {peer.id: peer for peer in self.peers.values()}
        own_id = member_id(self.identity.vm, self.identity.incarnation)
        wanted = []
        for beat in message.beats:
            peer = by_id.get(beat.id)
            if peer is not None:
                peer.apply_beat(beat, now)
            if beat.id != own_id and (
                peer is None or peer.record.version < beat.version
            ):
                wanted.append(beat.id)
        return tuple(wanted[: self.settings.records_per_exchange])

    def shift(self, paused_s: float) -> None:
        """Leave out a pause of this VM from the ages of all heartbeats."""
        for peer in self.peers.values():
            peer.heard_s += paused_s

    def forget(self, now: float) -> None:
        """Drop members that have been silent for very long."""
        limit_s = now - self.settings.forget_s
        for vm in [vm for vm, peer in self.peers.items() if peer.heard_s < limit_s]:
            del self.peers[vm]

    def states(self, now: float) -> dict[str, MemberState]:
        """Return the state of every member, this VM included."""
        states = {self.identity.vm: MemberState(self._record.state)}
        if self._is_listed_leaving(self.identity.vm):
            states[self.identity.vm] = MemberState.LEAVING
        for vm, peer in self.peers.items():
            is_leaving = self._is_listed_leaving(vm)
            states[vm] = judge_peer(
                peer, now, self.settings, is_leaving=is_leaving, rarer=self.rarer
            )
        return states

    def members(self, now: float) -> tuple[Member, ...]:
        """Return all members in order of their names."""
        return tuple(
            self._member(vm, state, now)
            for vm, state in sorted(self.states(now).items())
        )

    def beats(self, now: float, *, known: Iterable[Beat] = ()) -> tuple[Beat, ...]:
        """Return heartbeats that are newer than those known.

        They are of this VM and of every member that is not dead.
        """
        counts = {beat.id: beat.count for beat in known}
        beats = [self._own_beat()]
        beats += (_to_beat(peer, now) for peer in self._heard_peers(now))
        return tuple(beat for beat in beats if counts.get(beat.id, -1) < beat.count)

    def find_records(self, ids: Iterable[int], now: float) -> tuple[Record, ...]:
        """Return the records of these ids, as far as they are known."""
        wanted = set(ids)
        return tuple(
            record
            for record in self._records(now)
            if member_id(record.vm, record.incarnation) in wanted
        )

    def lacking_records(self, beats: Iterable[Beat], now: float) -> tuple[Record, ...]:
        """Return the records that the sender of these heartbeats lacks."""
        known = {beat.id: beat.version for beat in beats}
        return tuple(
            record
            for record in self._records(now)
            if known.get(member_id(record.vm, record.incarnation), 0) < record.version
        )

    def address(self, vm: str) -> str:
        """Return the address of a member."""
        return self.peers[vm].record.address

    def _is_listed_leaving(self, vm: str) -> bool:
        entry = self.listed.get(vm)
        return entry is not None and entry.state == ListedState.LEAVING

    def _own_beat(self) -> Beat:
        own = self._record
        return Beat(
            id=member_id(own.vm, own.incarnation),
            version=own.version,
            count=self._count,
            age_ds=0,
            config_revision=self._config_revision,
            load=self._load,
        )

    def _heard_peers(self, now: float) -> Iterator[Peer]:
        """Return those not dead: the dead would come back to who forgot them."""
        limit_s = now - self.settings.dead_s * self.rarer
        return (peer for peer in self.peers.values() if peer.heard_s > limit_s)

    def _records(self, now: float) -> Iterator[Record]:
        yield self._record
        for peer in self._heard_peers(now):
            yield peer.record

    def _apply_record(self, record: Record, now: float) -> None:
        if record.availability_zone != self.identity.availability_zone:
            return
        if record.state not in SELF_STATES or record.weight <= 0:
            return
        if record.vm == self.identity.vm:
            newer = record.incarnation > self.identity.incarnation
            self.is_superseded = self.is_superseded or newer
            return
        peer = self.peers.get(record.vm)
        if peer is None or record.incarnation > peer.record.incarnation:
            self._add(record, now, is_known=peer is not None)
        elif peer.is_superseded_by(record):
            peer.record = record

    def _add(self, record: Record, now: float, *, is_known: bool) -> None:
        if is_known or len(self.peers) < self.settings.max_members:
            # Dead until its first heartbeat, which comes with the record.
            heard_s = now - self.settings.dead_s * self.rarer
            self.peers[record.vm] = Peer(record, heard_s, Load())

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
            age_s=0.0 if peer is None else max(0.0, now - peer.heard_s),
            unreached=record.unreached,
        )


def _to_beat(peer: Peer, now: float) -> Beat:
    return Beat(
        id=peer.id,
        version=peer.record.version,
        count=peer.count,
        age_ds=to_age_ds(now - peer.heard_s),
        config_revision=peer.config_revision,
        load=peer.load,
    )
