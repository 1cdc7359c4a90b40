"""Goodput kept while an owner, the store or a zone is lost, and time to take over.

    python benchmarks/takeover.py

Real processes on loopback under a steady load of two workloads. Each case runs in
a cell of its own: answers a second before the fault, in the worst second after it,
and as a mean from the fault to the end; and the longest time for which an upstream
ran nothing.
"""

from __future__ import annotations

import itertools
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from papayadyke_standins.cell import Cell, CellPlan, Load, Mix, ZonePlan

BEFORE_S = 6.0
AFTER_S = 20.0
QUICK = Mix("rcd-check", work_s=0.02, timeout_s=5.0, clients=12)
ORDERS = Mix("school-order", work_s=0.02, timeout_s=5.0, clients=8)
DEMAND = {"cpus": 1, "memory_mb": 256}
CONFIG = {
    "workloads": [
        {
            "name": "rcd-check",
            "kind": "service",
            "urgency": "urgent",
            "idempotent": True,
            "demand": DEMAND,
            "floor": 0.3,
        },
        {"name": "school-order", "kind": "service", "demand": DEMAND, "floor": 0.3},
    ]
}


def kill_owner(cell: Cell) -> None:
    next(iter(cell.daemons.values())).process.kill()


def pause_owner(cell: Cell) -> None:
    next(iter(cell.daemons.values())).process.pause()


def stop_owner(cell: Cell) -> None:
    next(iter(cell.daemons.values())).process.terminate()


def lose_store(cell: Cell) -> None:
    cell.order_store_faults(down=True)


def lose_store_and_owner(cell: Cell) -> None:
    lose_store(cell)
    kill_owner(cell)


def lose_rack(cell: Cell) -> None:
    for name, process in list(cell.upstreams.items())[::2]:
        process.kill()
        del cell.upstreams[name]


def find_longest_idle(cell: Cell, since_s: float, until_s: float) -> float:
    """Return the longest time for which any upstream ran nothing."""
    longest = 0.0
    for records in cell.read_records().values():
        times = sorted(
            record.started_s for record in records if since_s < record.started_s
        )
        marks = [since_s, *times, until_s]
        gaps = [b - a for a, b in itertools.pairwise(marks)]
        longest = max(longest, *gaps)
    return longest


def measure(name: str, fault: Callable[[Cell], None]) -> None:
    plan = CellPlan((ZonePlan("hobart", daemons=3, upstreams=4),), config=CONFIG)
    with (
        tempfile.TemporaryDirectory() as directory,
        Cell(plan, Path(directory)) as cell,
    ):
        cell.wait_until_answered()
        with Load(cell.list_targets(), [QUICK, ORDERS], seed=1) as load:
            time.sleep(BEFORE_S)
            faulted_s = time.monotonic()
            fault(cell)
            time.sleep(AFTER_S)
            ended_s = time.monotonic()
        report(
            name, load, faulted_s, ended_s, find_longest_idle(cell, faulted_s, ended_s)
        )


def report(
    name: str, load: Load, faulted_s: float, ended_s: float, idle_s: float
) -> None:
    answered = [item for item in load.ledger.sent if item.outcome == "answered"]
    for workload in ("rcd-check", "school-order"):
        seconds = Counter(
            int(item.at_s - faulted_s + BEFORE_S)
            for item in answered
            if item.workload == workload
        )
        before = sum(seconds[s] for s in range(2, int(BEFORE_S))) / (BEFORE_S - 2)
        after = [seconds[s] for s in range(int(BEFORE_S), int(BEFORE_S + AFTER_S))]
        lost = Counter(
            item.outcome
            for item in load.ledger.sent
            if item.workload == workload and item.outcome != "answered"
        )
        print(
            f"| {name} | {workload} | {before:.0f} | {min(after) / before:.2f} "
            f"| {sum(after) / len(after) / before:.2f} | {idle_s:.1f} "
            f"| {dict(lost) or '-'} |",
            flush=True,
        )


def main() -> None:
    print(
        "| fault | workload | answers/s before | worst second | mean after "
        "| longest idle upstream s | not answered |"
    )
    print("|---|---|---|---|---|---|---|")
    cases = {
        "owner killed": kill_owner,
        "owner stopped as planned": stop_owner,
        "owner paused": pause_owner,
        "store down": lose_store,
        "store down, owner killed": lose_store_and_owner,
        "rack lost": lose_rack,
    }
    for name, fault in cases.items():
        measure(name, fault)


if __name__ == "__main__":
    main()
