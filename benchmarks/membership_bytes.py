"""Bytes, state and freshness of membership against the number of VMs.

    python benchmarks/membership_bytes.py

Drives the aggregates in one process, with every message encoded and its size
counted together with an envelope and the headers of TCP and IP. Two designs run
side by side: zones with delegates, and one flat group of all VMs.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from dataclasses import dataclass

import msgspec
import numpy as np
import typer

from papayadyke_core.membership import (
    Exchange,
    Identity,
    ListedState,
    ListedVm,
    Load,
    Membership,
    MembershipSettings,
    MemberState,
    ZoneExchange,
)

# An envelope of benchmarks/peer_calls.py with names of twenty letters, the
# frame of nng, and the headers of a segment and of its acknowledgement.
OVERHEAD_BYTES = 120 + 12 + 2 * 40
STEP_S = 0.25
ZONES_PER_REGION = 4
LOAD = Load(512_000, 2_000_000, 16, 300, 1000)


@dataclass(frozen=True)
class Result:
    """What a run of one design measured."""

    sent_median: float
    sent_max: float
    received_max: float
    state_bytes: int
    age_p99_s: float
    age_max_s: float
    cpu_us_per_vm_s: float


class Cell:
    """All VMs of a cell, whose messages arrive within the same step."""

    def __init__(self, *, zones: int, vms: int, is_flat: bool) -> None:
        self.now = 0.0
        self.rng = random.Random(1)
        self.members: dict[str, Membership] = {}
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        listed = []
        for z in range(zones):
            zone = "all" if is_flat else f"availability-zone-{z:02d}"
            region = "all" if is_flat else f"region-{z // ZONES_PER_REGION}"
            for i in range(vms):
                vm = f"entry-{z:02d}-{i:04d}-abcdef"
                address = f"10.{z}.{i // 250}.{i % 250}:7000"
                identity = Identity(vm, zone, region, 1_700_000_000 + i, address, 8)
                settings = MembershipSettings(max_members=4096)
                self.members[vm] = Membership(identity, settings=settings)
                entry = ListedVm(vm, zone, region, address, ListedState.LIVE)
                listed.append(entry)
        for membership in self.members.values():
            membership.apply_platform_list(listed)
            membership.update_self(MemberState.LIVE, config_revision=87_000, load=LOAD)

    def count(self, sender: str, receiver: str, message: msgspec.Struct) -> None:
        """Add the bytes of a message to those of both ends."""
        size = len(msgspec.msgpack.encode(message)) + OVERHEAD_BYTES
        self.sent[sender] += size
        self.received[receiver] += size

    def deliver(self, vm: str, target: str, message: Exchange | ZoneExchange) -> None:
        """Deliver a message and what it is answered by."""
        sender, receiver = self.members[vm], self.members[target]
        self.count(vm, target, message)
        if isinstance(message, ZoneExchange):
            zone_reply = receiver.apply_zone_exchange(message, self.now)
            self.count(target, vm, zone_reply)
            sender.apply_zone_reply(zone_reply, self.now)
            return
        reply = receiver.apply_exchange(message, self.now)
        self.count(target, vm, reply)
        more = sender.apply_reply(reply, self.now)
        if more is not None:
            self.count(vm, target, more)
            receiver.apply_exchange(more, self.now)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for vm, membership in self.members.items():
                for out in membership.tick(self.now, self.rng):
                    self.deliver(vm, out.vm, out.message)


def measure(cell: Cell, *, warm_s: float, run_s: float) -> Result:
    cell.run(warm_s)
    cell.sent.clear()
    cell.received.clear()
    begin_s = time.process_time()
    cell.run(run_s)
    cpu_s = time.process_time() - begin_s
    sent = [cell.sent[vm] / run_s for vm in cell.members]
    snapshots = [vm.snapshot(cell.now) for vm in cell.members.values()]
    ages = [member.age_s for snap in snapshots for member in snap.members]
    members, zones = len(snapshots[0].members), len(snapshots[0].zones)
    state = sum(
        len(msgspec.msgpack.encode(item))
        for item in (*snapshots[0].members, *snapshots[0].zones)
    )
    assert len(ages) == len(snapshots) * members
    assert zones == len(snapshots[-1].zones)
    return Result(
        sent_median=float(np.median(sent)),
        sent_max=max(sent),
        received_max=max(cell.received[vm] / run_s for vm in cell.members),
        state_bytes=state,
        age_p99_s=float(np.percentile(ages, 99)),
        age_max_s=max(ages),
        cpu_us_per_vm_s=cpu_s / run_s / len(cell.members) * 1e6,
    )


def report(design: str, zones: int, vms: int, result: Result) -> None:
    print(
        f"{design} zones={zones} vms_per_zone={vms} "
        f"sent_bytes_per_s median={result.sent_median:.0f} max={result.sent_max:.0f} "
        f"received_max={result.received_max:.0f} state_bytes={result.state_bytes} "
        f"age_s p99={result.age_p99_s:.1f} max={result.age_max_s:.1f} "
        f"cpu_us_per_s={result.cpu_us_per_vm_s:.0f}"
    )


def main(warm_s: float = 40.0, run_s: float = 20.0, flat: bool = True) -> None:
    for vms in (3, 6, 12, 24, 48, 96):
        cell = Cell(zones=1, vms=vms, is_flat=False)
        report("zone", 1, vms, measure(cell, warm_s=warm_s, run_s=run_s))
    for zones, vms in ((3, 3), (16, 3), (16, 6), (16, 12)):
        cell = Cell(zones=zones, vms=vms, is_flat=False)
        report("delegates", zones, vms, measure(cell, warm_s=warm_s, run_s=run_s))
        if flat:
            cell = Cell(zones=zones, vms=vms, is_flat=True)
            report("flat", zones, vms, measure(cell, warm_s=warm_s, run_s=run_s))


if __name__ == "__main__":
    typer.run(main)
