"""Assignment of upstreams to VMs by weighted rendezvous hashing.

Each VM computes the assignment for itself from the zone record. When a VM leaves,
rendezvous hashing moves only its upstreams; when one joins, only those that it
becomes the owner of. A bound on the share of each VM evens out the imbalance of
the hashes, at the cost of moving some more upstreams.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b

from papayadyke_core.ownership._record import Owner, ZoneRecord

HASH_BYTES = 8
HASH_RANGE = 2.0 ** (8 * HASH_BYTES)
# Largest number of upstreams of a VM, as a ratio of its exact share.
SHARE_BOUND = 1.25


@dataclass(frozen=True, slots=True)
class OwnershipPlan:
    """Planned owner of each upstream.

    Parameters
    ----------
    epoch : int
        Epoch of the zone record, sent with every request to open a session.
    owners : mapping of str to str
        Owner by upstream; an upstream that no VM can own is left out.
    """

    epoch: int
    owners: Mapping[str, str]

    def owned_by(self, vm: str) -> frozenset[str]:
        """Return the upstreams planned for one VM."""
        return frozenset(name for name, owner in self.owners.items() if owner == vm)


class Planner:
    """Caches the ownership plan until one of its inputs changes.

    Computing the plan of a large zone takes tens of milliseconds, and the plan is
    requested a few times per second.
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
        """Return the result of `plan_ownership` for the same arguments."""
        names = frozenset(upstreams)
        unreached_sets = {
            vm: frozenset(missing) for vm, missing in (unreached or {}).items()
        }
        inputs = (record, names, dict(available), unreached_sets)
        if self._plan is None or inputs != self._inputs:
            self._inputs = inputs
            self._plan = plan_ownership(
                record, upstreams=names, available=available, unreached=unreached_sets
            )
        return self._plan


def plan_ownership(
    record: ZoneRecord,
    *,
    upstreams: Iterable[str],
    available: Mapping[str, int],
    unreached: Mapping[str, Collection[str]] | None = None,
) -> OwnershipPlan:
    """Compute the current owner of each upstream.

    Parameters
    ----------
    record : ZoneRecord
        Zone record that the plan follows.
    upstreams : iterable of str
        Upstreams of the zone.
    available : mapping of str to int
        Weights of the VMs that can own upstreams now: those that this VM sees
        as neither dead nor leaving nor joining.
    unreached : mapping of str to collection of str, or None, default=None
        For each VM, the upstreams that it reports as unreachable.

    Returns
    -------
    plan : OwnershipPlan
        If the owner by the record is not available or cannot reach the upstream,
        the upstream goes to the next available VM in its rank order. That VM
        opens a session at the same epoch once the session of the owner has
        expired. If no VM of the record is available, as after a long outage of
        the store, the upstreams are shared among the available VMs instead.

    Notes
    -----
    The plans of two VMs may differ while their views of the zone differ. The
    upstream then grants a session to only one of them, so identical plans are
    needed for stability but not for safety.
    """
    eligible = [owner for owner in record.owners if owner.vm in available]
    owners: Collection[Owner] = record.owners
    if not eligible:
        eligible = [Owner(vm, available[vm]) for vm in sorted(available)]
        owners = eligible
    if not eligible:
        return OwnershipPlan(record.epoch, {})
    assigned = assign_upstreams(upstreams, owners)
    plan = {
        name: _choose_owner(name, vm, eligible, unreached or {})
        for name, vm in assigned.items()
    }
    return OwnershipPlan(record.epoch, plan)


def _choose_owner(
    upstream: str,
    assigned: str,
    eligible: Collection[Owner],
    unreached: Mapping[str, Collection[str]],
) -> str:
    """Return the assigned VM if it reaches the upstream, or the next that does."""
    eligible_vms = {owner.vm for owner in eligible}
    reaching = [vm for vm in eligible_vms if upstream not in unreached.get(vm, ())]
    if assigned in reaching:
        return assigned
    # If no VM reaches the upstream, any of them may own it.
    candidates = [owner for owner in eligible if owner.vm in reaching] or eligible
    return rank_owners(upstream, candidates)[0]


def assign_upstreams(
    upstreams: Iterable[str],
    owners: Collection[Owner],
    *,
    share_bound: float = SHARE_BOUND,
) -> dict[str, str]:
    """Assign each upstream to its highest-ranked VM whose share is not full."""
    names = sorted(set(upstreams), key=_hash)
    total = sum(owner.weight for owner in owners)
    remaining = {
        owner.vm: math.ceil(share_bound * len(names) * owner.weight / total)
        for owner in owners
    }
    assigned = {}
    for name in names:
        ranked = rank_owners(name, owners)
        vm = next(vm for vm in ranked if remaining[vm] > 0)
        remaining[vm] -= 1
        assigned[name] = vm
    return assigned


def rank_owners(upstream: str, owners: Iterable[Owner]) -> list[str]:
    """Return the VMs in order of preference as owner of an upstream.

    The fraction of all upstreams for which a VM ranks first is proportional to
    its weight.
    """
    scored = sorted((-_score(upstream, owner), owner.vm) for owner in owners)
    return [vm for _, vm in scored]


def _score(upstream: str, owner: Owner) -> float:
    fraction = (_hash(f"{upstream}\n{owner.vm}") + 0.5) / HASH_RANGE
    return -owner.weight / math.log(fraction)


def _hash(text: str) -> int:
    digest = blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")
