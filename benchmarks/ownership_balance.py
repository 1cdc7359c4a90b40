"""Balance and movement of the assignment of upstreams to VMs.

    python benchmarks/ownership_balance.py

Compares plain weighted rendezvous hashing with a bound on each VM's share, for
zones of unlike VMs. A load of 1 is the exact share of a VM by its weight.
"""

from __future__ import annotations

import time
from collections import Counter

import numpy as np
import typer

from papayadyke_core.ownership import Owner, assign_upstreams

UNLIKE_WEIGHTS = (2, 4, 4, 8, 16)


def make_owners(count: int) -> list[Owner]:
    return [
        Owner(f"vm-{i:03d}", UNLIKE_WEIGHTS[i % len(UNLIKE_WEIGHTS)])
        for i in range(count)
    ]


def loads(assigned: dict[str, str], owners: list[Owner]) -> list[float]:
    counts = Counter(assigned.values())
    total = sum(owner.weight for owner in owners)
    return [
        counts[owner.vm] * total / (len(assigned) * owner.weight) for owner in owners
    ]


def run(upstreams: int, vms: int, bound: float) -> None:
    names = [f"upstream-{i:05d}" for i in range(upstreams)]
    owners = make_owners(vms)
    begin_s = time.perf_counter()
    before = assign_upstreams(names, owners, share_bound=bound)
    took_ms = (time.perf_counter() - begin_s) * 1000
    load = loads(before, owners)
    moved = []
    for gone in owners:
        rest = [owner for owner in owners if owner != gone]
        after = assign_upstreams(names, rest, share_bound=bound)
        changed = sum(before[name] != after[name] for name in names)
        needed = sum(vm == gone.vm for vm in before.values())
        moved.append(changed / max(1, needed))
    print(
        f"upstreams={upstreams} vms={vms} bound={bound} "
        f"load min={min(load):.2f} max={max(load):.2f} std={np.std(load):.2f} "
        f"moved_per_needed mean={np.mean(moved):.2f} max={max(moved):.2f} "
        f"ms={took_ms:.1f}"
    )


def main() -> None:
    for upstreams, vms in ((8, 3), (24, 9), (1125, 6), (1125, 24)):
        for bound in (float(upstreams), 1.5, 1.25, 1.1):
            run(upstreams, vms, bound)


if __name__ == "__main__":
    typer.run(main)
