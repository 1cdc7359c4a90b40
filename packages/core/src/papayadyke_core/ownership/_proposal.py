"""Rules for when the zone record changes and which VM writes the change."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from papayadyke_core.membership import MemberState, Snapshot
from papayadyke_core.ownership._plan import rank_owners
from papayadyke_core.ownership._record import Owner, ZoneRecord

# Key by which the VMs are ranked for writing the record.
PROPOSER_RANK_KEY = "record"


@dataclass(frozen=True, slots=True, kw_only=True)
class ProposalSettings:
    """Times in seconds that limit how often the zone record changes.

    Parameters
    ----------
    stable_s : float, default=3.0
        Time for which the target owners must stay the same before a change.
    max_wait_s : float, default=30.0
        Time after which the record changes even if the target owners keep changing.
    min_interval_s : float, default=10.0
        Minimum time between two changes.
    max_interval_s : float, default=300.0
        Upper limit of the interval, which doubles while VMs revert each other's
        changes.
    stagger_s : float, default=2.0
        Additional wait per rank, so that the VMs ranked higher write the change
        first.
    mass_removal_wait_s : float, default=60.0
        Time to wait before a change that removes at least half of the owners, not
        counting VMs that are leaving, because this VM itself may be the one that is
        cut off.
    """

    stable_s: float = 3.0
    max_wait_s: float = 30.0
    min_interval_s: float = 10.0
    max_interval_s: float = 300.0
    stagger_s: float = 2.0
    mass_removal_wait_s: float = 60.0


def available_owners(snapshot: Snapshot) -> dict[str, int]:
    """Return the weights of the VMs that can own upstreams now.

    A suspected VM is included, so that it keeps its upstreams.
    """
    states = (MemberState.LIVE, MemberState.SUSPECTED)
    return {
        member.vm: member.weight
        for member in snapshot.members
        if member.state in states
    }


def unreached_upstreams(snapshot: Snapshot) -> dict[str, tuple[str, ...]]:
    """Return for each VM the upstreams that it reports as unreachable."""
    return {
        member.vm: member.unreached for member in snapshot.members if member.unreached
    }


class RecordProposer:
    """Decides when this VM writes the next zone record.

    Parameters
    ----------
    vm : str
        Name of this VM.
    settings : ProposalSettings
    """

    def __init__(self, vm: str, *, settings: ProposalSettings) -> None:
        self.vm = vm
        self.settings = settings
        self._epoch = 0
        self._interval_s = settings.min_interval_s
        self._last_change_s = float("-inf")
        self._target: tuple[Owner, ...] = ()
        self._stable_since_s = 0.0
        self._differs_since_s: float | None = None

    def propose(
        self, record: ZoneRecord | None, snapshot: Snapshot, now: float
    ) -> ZoneRecord | None:
        """Return the zone record to write now, if any.

        Parameters
        ----------
        record : ZoneRecord or None
            Latest known record; None if the store is known to hold none.
        snapshot : Snapshot
            Members of the zone as this VM sees them.
        now : float
            Current time in seconds.
        """
        target = _target_owners(record, snapshot)
        self._observe_record(record, now)
        current = record.owners if record is not None else ()
        if not target or target == current or not snapshot.is_settled:
            self._differs_since_s = None
            self._target = target
            return None
        if self._differs_since_s is None or target != self._target:
            self._target = target
            self._stable_since_s = now
        if self._differs_since_s is None:
            self._differs_since_s = now
        if not self._is_due(record, snapshot, now):
            return None
        # A write that gets no answer is retried only after another wait.
        self._stable_since_s = now
        return ZoneRecord(self._epoch + 1, target)

    def _observe_record(self, record: ZoneRecord | None, now: float) -> None:
        epoch = record.epoch if record is not None else 0
        if record is None or epoch <= self._epoch:
            return
        is_first = self._epoch == 0
        is_reverted = not is_first and record.owners != self._target
        elapsed_s = now - self._last_change_s
        if is_reverted and elapsed_s < 2 * self._interval_s:
            doubled_s = 2 * self._interval_s
            self._interval_s = min(doubled_s, self.settings.max_interval_s)
        elif elapsed_s >= 2 * self._interval_s:
            self._interval_s = self.settings.min_interval_s
        self._epoch = epoch
        self._last_change_s = now
        self._differs_since_s = None

    def _is_due(
        self, record: ZoneRecord | None, snapshot: Snapshot, now: float
    ) -> bool:
        assert self._differs_since_s is not None
        differs_s = now - self._differs_since_s
        if now - self._last_change_s < self._interval_s:
            return False
        if record is not None and _drops_half(record, self._target, snapshot):
            return (
                differs_s >= self.settings.mass_removal_wait_s + self._stagger_delay_s()
            )
        wait_s = self.settings.stable_s + self._stagger_delay_s()
        is_stable = now - self._stable_since_s >= wait_s
        return (
            is_stable or differs_s >= self.settings.max_wait_s + self._stagger_delay_s()
        )

    def _stagger_delay_s(self) -> float:
        ranked = rank_owners(PROPOSER_RANK_KEY, self._target)
        rank = ranked.index(self.vm) if self.vm in ranked else len(ranked)
        return rank * self.settings.stagger_s


def _target_owners(record: ZoneRecord | None, snapshot: Snapshot) -> tuple[Owner, ...]:
    """Return the live VMs and the suspected VMs that are owners already."""
    current_vms = {owner.vm for owner in record.owners} if record is not None else set()
    target = [
        Owner(member.vm, member.weight)
        for member in snapshot.members
        if member.state == MemberState.LIVE
        or (member.state == MemberState.SUSPECTED and member.vm in current_vms)
    ]
    return tuple(sorted(target))


def _drops_half(
    record: ZoneRecord, target: Iterable[Owner], snapshot: Snapshot
) -> bool:
    kept = {owner.vm for owner in target}
    leaving = {
        member.vm for member in snapshot.members if member.state == MemberState.LEAVING
    }
    dropped = [
        owner
        for owner in record.owners
        if owner.vm not in kept and owner.vm not in leaving
    ]
    return 2 * len(dropped) >= len(record.owners) > 0 and len(dropped) > 0
