"""The assignment of upstreams to VMs.

Each VM works it out for itself from the zone record. Weighted rendezvous hashing
moves only the upstreams of a VM that goes, and to a VM that comes only what it
gets. A bound on the share of each VM evens out the luck of the hashes, at the
cost of some more movement.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b

from papayadyke_core.ownership._record import Owner, ZoneRecord

HASH_BYTES = 8
HASH_RANGE = 2.0 ** (8 * HASH_BYTES)
# Most that a VM owns, in relation to its exact share.
SHARE_BOUND = 1.25


@dataclass(frozen=True, slots=True)
class OwnershipPlan:
    """Who is to own each upstream.

    Parameters
    ----------
    epoch : int
        Goes with every request to open a session.
    owners : mapping of str to str
        The VM for each upstream; an upstream that nobody can own is left out.
    """

    epoch: int
    owners: Mapping[str, str]

    def owned_by(self, vm: str) -> frozenset[str]:
        """Return the upstreams of one VM."""
        return frozenset(name for name, owner in self.owners.items() if owner == vm)


class Planner:
    """Works a plan out again only when what it follows from has changed.

    A plan for a large zone takes tens of milliseconds, and is asked for a few
    times a second.
    """

    def __init__(self) -> None:
        self._inputs: object = None
        self._plan: OwnershipPlan | None = None

    def plan(
        self,
        record: ZoneRecord,
        *,
        upstreams: Iterable[str],
        available: Mapping[str, int],
        unreached: Mapping[str, Collection[str]] | None = None,
    ) -> OwnershipPlan:
        """Return what `plan_ownership` returns for the same."""
        names = frozenset(upstreams)
        told = {vm: frozenset(names) for vm, names in (unreached or {}).items()}
        inputs = (record, names, dict(available), told)
        if self._plan is None or inputs != self._inputs:
            self._inputs = inputs
            self._plan = plan_ownership(
                record, upstreams=names, available=available, unreached=told
            )
        return self._plan


def plan_ownership(
    record: ZoneRecord,
    *,
    upstreams: Iterable[str],
    available: Mapping[str, int],
    unreached: Mapping[str, Collection[str]] | None = None,
) -> OwnershipPlan:
    """Work out who is to own which upstream now.

    Parameters
    ----------
    record : ZoneRecord
    upstreams : iterable of str
        Upstreams of the zone.
    available : mapping of str to int
        VMs that can own upstreams now, with their weights: neither dead nor
        leaving nor joining in the eyes of this VM.
    unreached : mapping of str to collection of str, or None, default=None
        For each VM the upstreams that it says it can't reach.

    Returns
    -------
    plan : OwnershipPlan
        An upstream whose owner by the record is not available, or can't reach
        it, goes to the next
        available VM in its order, which opens a session at the same epoch once
        that of the owner has lapsed. Where no VM of the record is available, as
        after a long outage of the store, the available ones take their places.

    Notes
    -----
    The plans of two VMs may differ while they know different things. The
    upstream then lets in one of them, so a plan needs to be the same only to be
    stable, not to be safe.
    """
    present = [owner for owner in record.owners if owner.vm in available]
    owners: Collection[Owner] = record.owners
    if not present:
        present = [Owner(vm, available[vm]) for vm in sorted(available)]
        owners = present
    if not present:
        return OwnershipPlan(record.epoch, {})
    assigned = assign_upstreams(upstreams, owners)
    plan = {
        name: _choose_owner(name, vm, present, unreached or {})
        for name, vm in assigned.items()
    }
    return OwnershipPlan(record.epoch, plan)


def _choose_owner(
    upstream: str,
    assigned: str,
    present: Collection[Owner],
    unreached: Mapping[str, Collection[str]],
) -> str:
    """Return the assigned VM where it can serve, or the next that can."""
    names = {owner.vm for owner in present}
    able = [vm for vm in names if upstream not in unreached.get(vm, ())]
    if assigned in able:
        return assigned
    # Where nobody reaches it, who owns it makes no difference.
    candidates = [owner for owner in present if owner.vm in able] or present
    return rank_owners(upstream, candidates)[0]


def assign_upstreams(
    upstreams: Iterable[str],
    owners: Collection[Owner],
    *,
    share_bound: float = SHARE_BOUND,
) -> dict[str, str]:
    """Assign each upstream to the first in its order that has room in its share."""
    names = sorted(set(upstreams), key=_hash)
    total = sum(owner.weight for owner in owners)
    room = {
        owner.vm: math.ceil(share_bound * len(names) * owner.weight / total)
        for owner in owners
    }
    assigned = {}
    for name in names:
        ranked = rank_owners(name, owners)
        vm = next(vm for vm in ranked if room[vm] > 0)
        room[vm] -= 1
        assigned[name] = vm
    return assigned


def rank_owners(upstream: str, owners: Iterable[Owner]) -> list[str]:
    """Return the VMs in the order in which they are to own an upstream.

    A VM is first for a part of all upstreams that is in proportion to its
    weight.
    """
    scored = sorted((-_score(upstream, owner), owner.vm) for owner in owners)
    return [vm for _, vm in scored]


def _score(upstream: str, owner: Owner) -> float:
    fraction = (_hash(f"{upstream}\n{owner.vm}") + 0.5) / HASH_RANGE
    return -owner.weight / math.log(fraction)


def _hash(text: str) -> int:
    digest = blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")
