"""When the zone record is to change, and who changes it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from papayadyke_core.membership import MemberState, Snapshot
from papayadyke_core.ownership._plan import rank_owners
from papayadyke_core.ownership._record import Owner, ZoneRecord

TURN_NAME = "record"


@dataclass(frozen=True, slots=True, kw_only=True)
class ProposalSettings:
    """Times that bound how often the zone record changes.

    Parameters
    ----------
    stable_s : float, default=3.0
        Time for which the members have to stay the same before a change.
    max_wait_s : float, default=30.0
        Time after which the record changes although they do not.
    interval_s : float, default=10.0
        Least time between two changes.
    max_interval_s : float, default=300.0
        The time doubles up to this while VMs undo each other's changes.
    turn_s : float, default=2.0
        Time by which each further VM waits for those before it to make the
        change.
    contested_s : float, default=60.0
        Time to wait before a change that takes out half of the owners or more
        without their leaving: it may be this VM that is cut off.
    """

    stable_s: float = 3.0
    max_wait_s: float = 30.0
    interval_s: float = 10.0
    max_interval_s: float = 300.0
    turn_s: float = 2.0
    contested_s: float = 60.0


def available_owners(snapshot: Snapshot) -> dict[str, int]:
    """Return the VMs that can own upstreams now, with their weights.

    One that is only suspected keeps what it has.
    """
    states = (MemberState.LIVE, MemberState.SUSPECTED)
    return {
        member.vm: member.weight
        for member in snapshot.members
        if member.state in states
    }


def unreached_upstreams(snapshot: Snapshot) -> dict[str, tuple[str, ...]]:
    """Return for each VM the upstreams that it says it can't reach."""
    return {
        member.vm: member.unreached for member in snapshot.members if member.unreached
    }


class RecordProposer:
    """Decides when this VM is to write the next zone record.

    Parameters
    ----------
    vm : str
    settings : ProposalSettings
    """

    def __init__(self, vm: str, *, settings: ProposalSettings) -> None:
        self.vm = vm
        self.settings = settings
        self._epoch = 0
        self._interval_s = settings.interval_s
        self._changed_s = float("-inf")
        self._wanted: tuple[Owner, ...] = ()
        self._stable_since_s = 0.0
        self._differs_since_s: float | None = None

    def propose(
        self, record: ZoneRecord | None, snapshot: Snapshot, now: float
    ) -> ZoneRecord | None:
        """Return the record to write now, if any.

        Parameters
        ----------
        record : ZoneRecord or None
            The latest known; None where the store is known to have none.
        snapshot : Snapshot
        now : float
        """
        wanted = _wanted_owners(record, snapshot)
        self._note_change(record, now)
        current = record.owners if record is not None else ()
        if not wanted or wanted == current or not snapshot.is_settled:
            self._differs_since_s = None
            self._wanted = wanted
            return None
        if self._differs_since_s is None or wanted != self._wanted:
            self._wanted = wanted
            self._stable_since_s = now
        if self._differs_since_s is None:
            self._differs_since_s = now
        if not self._is_due(record, snapshot, now):
            return None
        # Where the write gets no answer, it is not tried again at once.
        self._stable_since_s = now
        return ZoneRecord(self._epoch + 1, wanted)

    def _note_change(self, record: ZoneRecord | None, now: float) -> None:
        epoch = record.epoch if record is not None else 0
        if record is None or epoch <= self._epoch:
            return
        is_first = self._epoch == 0
        is_undone = not is_first and record.owners != self._wanted
        since_s = now - self._changed_s
        if is_undone and since_s < 2 * self._interval_s:
            doubled_s = 2 * self._interval_s
            self._interval_s = min(doubled_s, self.settings.max_interval_s)
        elif since_s >= 2 * self._interval_s:
            self._interval_s = self.settings.interval_s
        self._epoch = epoch
        self._changed_s = now
        self._differs_since_s = None

    def _is_due(
        self, record: ZoneRecord | None, snapshot: Snapshot, now: float
    ) -> bool:
        assert self._differs_since_s is not None
        differs_s = now - self._differs_since_s
        if now - self._changed_s < self._interval_s:
            return False
        if record is not None and _takes_out_half(record, self._wanted, snapshot):
            return differs_s >= self.settings.contested_s + self._turn_s()
        wait_s = self.settings.stable_s + self._turn_s()
        is_stable = now - self._stable_since_s >= wait_s
        return is_stable or differs_s >= self.settings.max_wait_s + self._turn_s()

    def _turn_s(self) -> float:
        ranked = rank_owners(TURN_NAME, self._wanted)
        turn = ranked.index(self.vm) if self.vm in ranked else len(ranked)
        return turn * self.settings.turn_s


def _wanted_owners(record: ZoneRecord | None, snapshot: Snapshot) -> tuple[Owner, ...]:
    """Return the live VMs, and the suspected ones that are owners already."""
    present = {owner.vm for owner in record.owners} if record is not None else set()
    wanted = [
        Owner(member.vm, member.weight)
        for member in snapshot.members
        if member.state == MemberState.LIVE
        or (member.state == MemberState.SUSPECTED and member.vm in present)
    ]
    return tuple(sorted(wanted))


def _takes_out_half(
    record: ZoneRecord, wanted: Iterable[Owner], snapshot: Snapshot
) -> bool:
    kept = {owner.vm for owner in wanted}
    leaving = {
        member.vm for member in snapshot.members if member.state == MemberState.LEAVING
    }
    lost = [
        owner
        for owner in record.owners
        if owner.vm not in kept and owner.vm not in leaving
    ]
    return 2 * len(lost) >= len(record.owners) > 0 and len(lost) > 0
