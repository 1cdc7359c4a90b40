"""Measure every slope that docs/CAPACITY.md works with, and print its table.

    python benchmarks/slopes.py

Each line is a straight line fitted through a few points: what one more unit
costs, what is spent without any, the range that was measured, and how well the
line fits (R2). Processor time is of one process; the stand-ins run in it or
beside it, on loopback.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from pathlib import Path

import capacity
import config_apply
import decide_speed
import journal
import membership_bytes
import msgspec
import numpy as np

from papayadyke_clients.upstream import OpenMessage, TaskCall, UpstreamClient
from papayadyke_core.membership import MembershipSettings
from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.resources import Resources
from papayadyke_core.scheduling import Request
from papayadyke_core.slo import Observation, Recorder, encode_bucket
from papayadyke_core.workloads import SloTarget
from papayadyke_standins.cell import Cell, CellPlan, Load, Mix, ZonePlan
from papayadyke_standins.upstream import UpstreamStandin

US = 1e6
HTTP_OVERHEAD_BYTES = 420
LONG_TASK_S = 600
RENEWALS = 200
APPLIES = 20
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class Slope:
    """A fitted line."""

    name: str
    unit: str
    per: str
    xs: tuple[float, ...]
    ys: tuple[float, ...]

    def fit(self) -> tuple[float, float, float]:
        """Return slope, intercept and R2."""
        slope, intercept = np.polyfit(self.xs, self.ys, 1)
        rest = np.array(self.ys) - (slope * np.array(self.xs) + intercept)
        total = np.array(self.ys) - np.mean(self.ys)
        spread = float(np.sum(total**2))
        fit = 1.0 - float(np.sum(rest**2)) / spread if spread else 1.0
        return float(slope), float(intercept), fit


def measure(
    name: str, unit: str, per: str, xs: Sequence[float], value: Callable[[float], float]
) -> Slope:
    return Slope(name, unit, per, tuple(xs), tuple(value(x) for x in xs))


def start_cost(upstreams: float) -> float:
    """Return microseconds of a submission, a decision and an end together."""
    found = decide_speed.measure(int(upstreams), 12, 4, 1500, 1)
    parts = (found.submit, found.decide, found.finish)
    return float(sum(np.mean(part) for part in parts))


def heap_of(make: Callable[[], object]) -> float:
    """Return the bytes that an object holds."""
    tracemalloc.start()
    held = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del held
    return float(size)


def queue_bytes(requests: float) -> float:
    config = decide_speed.make_config(12, random.Random(1))

    def make() -> object:
        scheduler = decide_speed.make_scheduler(1, config)
        for number in range(int(requests)):
            scheduler.submit(Request(f"vm-1-abc-{number:x}", "w1", 1e9), 0.0)
        return scheduler

    return heap_of(make)


def fleet_bytes(upstreams: float) -> float:
    config = decide_speed.make_config(12, random.Random(1))
    return heap_of(lambda: decide_speed.make_scheduler(int(upstreams), config))


class Renewals:
    """A session at a stand-in upstream on which a number of tasks runs."""

    def __init__(self, tasks: int) -> None:
        spec = UpstreamSpec("u1", "z1", "r1", Resources(10**6, 10**6), slots=200)
        self.standin = UpstreamStandin(spec)
        self.standin.start()
        self.client = UpstreamClient(*self.standin.address)
        opened = OpenMessage(vm="vm", incarnation=1, epoch=1, ttl_s=300.0)
        self.report = self.client.open(opened).unwrap()
        for number in range(tasks):
            self._start_task(f"launceston-1-1a23f3df226-{number:x}")

    def read_cost(self) -> float:
        """Return microseconds of the owner for one renewal."""
        begun_s = time.thread_time()
        for _ in range(RENEWALS):
            self.client.renew(self.report.token).unwrap()
        return (time.thread_time() - begun_s) / RENEWALS * US

    def read_size(self) -> float:
        """Return the bytes of one renewal and its answer."""
        report = self.client.renew(self.report.token).unwrap()
        return len(msgspec.json.encode(report)) + HTTP_OVERHEAD_BYTES

    def stop(self) -> None:
        self.standin.stop()

    def _start_task(self, name: str) -> None:
        call = TaskCall(
            task_id=f"{name}.0.1",
            request_id=name,
            workload="board-upgrade",
            demand=Resources(1, 1),
            token=self.report.token,
            start_before_s=self.report.clock_s + 1000.0,
            lease_s=300.0,
            payload=json.dumps({"work_seconds": LONG_TASK_S}).encode(),
        )
        self.client.start(call)


def renewal_cost(tasks: float) -> float:
    renewals = Renewals(int(tasks))
    cost = renewals.read_cost()
    renewals.stop()
    return cost


def renewal_bytes(tasks: float) -> float:
    renewals = Renewals(int(tasks))
    size = renewals.read_size()
    renewals.stop()
    return size


def apply_cost(workloads: float) -> float:
    """Return microseconds for the scheduler to take a change into force."""
    config = decide_speed.make_config(int(workloads), random.Random(1))
    scheduler = decide_speed.make_scheduler(24, config)
    begun_s = time.process_time()
    for revision in range(2, 2 + APPLIES):
        scheduler.apply_config(replace(config, revision=revision), 1.0)
    return (time.process_time() - begun_s) / APPLIES * US


def member_bytes(vms: float) -> float:
    cell = membership_bytes.Cell(zones=1, vms=int(vms), is_flat=False)
    return membership_bytes.measure(cell, warm_s=20.0, run_s=10.0).sent_max


def member_cost(vms: float) -> float:
    cell = membership_bytes.Cell(zones=1, vms=int(vms), is_flat=False)
    return membership_bytes.measure(cell, warm_s=10.0, run_s=10.0).cpu_us_per_vm_s


def zone_bytes(zones: float) -> float:
    cell = membership_bytes.Cell(zones=int(zones), vms=6, is_flat=False)
    return membership_bytes.measure(cell, warm_s=20.0, run_s=10.0).sent_max


def config_cost(workloads: float) -> float:
    """Return microseconds to apply one change."""
    return float(config_apply.measure(int(workloads)).split()[2])


def config_heap(workloads: float) -> float:
    """Return the bytes that a configuration holds."""
    return float(config_apply.measure(int(workloads)).split()[7]) * 1e6


def bucket_bytes(workloads: float) -> float:
    recorder = Recorder("launceston-1", 1)
    for number in range(int(workloads)):
        for wait_ms in (1, 2, 5, 9, 30):
            recorder.observe(
                Observation(
                    request_id="r",
                    workload=f"workload-{number}",
                    at=1.8e9,
                    wait_s=wait_ms / 1000,
                    refusal=None,
                    target=SloTarget(),
                    preset="p",
                    revision=1,
                )
            )
    return float(
        len(encode_bucket(recorder.take_closed_buckets(1.8e9, is_last=True)[0]))
    )


def job_cost(accepted: float) -> float:
    """Return milliseconds of processor time for so many accepted jobs."""
    used: list[float] = []

    def run(standin) -> None:
        vm = journal.Vm(standin.address, vms=9)
        vm.take_over()
        begun_s = time.process_time()
        journal.load_jobs(vm, int(accepted))
        used.append((time.process_time() - begun_s) * 1000)
        vm.stop()

    journal.with_standin(run)
    return used[0]


def job_bytes(accepted: float) -> float:
    """Return the bytes in the store of so many finished jobs."""
    sizes: list[float] = []

    def run(standin) -> None:
        vm = journal.Vm(standin.address, vms=9)
        vm.take_over()
        journal.load_jobs(vm, int(accepted))
        vm.stop()
        stored = standin.service.state.read_prefix("", after="", limit=10**6)
        sizes.append(float(sum(len(entry.value) for entry in stored)))

    journal.with_standin(run)
    return sizes[0]


CONFIG = {
    "workloads": [
        {
            "name": "rcd-check",
            "kind": "service",
            "idempotent": True,
            "demand": {"cpus": 1, "memory_mb": 256},
        }
    ]
}


def read_cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_memory_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def measure_daemon(seconds: float) -> list[Slope]:
    """Return what requests cost a daemon of its own, and its memory."""
    rates, cpu, memory = [], [], []
    plan = CellPlan((ZonePlan("hobart", daemons=1, upstreams=6),), config=CONFIG)
    with (
        tempfile.TemporaryDirectory() as directory,
        Cell(plan, Path(directory)) as cell,
    ):
        pid = cell.daemons["hobart-vm-0"].process.pid
        cell.wait_until_answered()
        for clients in (0, 1, 2, 4, 8, 16):
            mixes = [Mix("rcd-check", clients=clients)]
            load = Load(cell.list_targets(), mixes, seed=clients)
            begun_s = read_cpu_s(pid)
            with load:
                time.sleep(seconds)
            cpu.append((read_cpu_s(pid) - begun_s) / seconds * 1000)
            rates.append(len(load.ledger.sent) / seconds)
            memory.append(read_memory_mb(pid))
    return [
        Slope("daemon, synchronous requests", "ms/s", "request/s", (*rates,), (*cpu,)),
        Slope("daemon, memory", "MB", "request/s", (*rates,), (*memory,)),
    ]


def measure_all(seconds: float) -> list[Slope]:
    tasks = (0, 4, 16, 64)
    slopes = [
        measure("scheduler, start", "us", "upstream", (8, 24, 48, 96, 192), start_cost),
        measure("scheduler, queue", "bytes", "request", (500, 2000, 8000), queue_bytes),
        measure("scheduler, fleet", "bytes", "upstream", (24, 96, 384), fleet_bytes),
        measure("session, renewal", "us", "running task", tasks, renewal_cost),
        measure("session, renewal", "bytes", "running task", tasks, renewal_bytes),
        measure("membership, zone", "bytes/s", "VM", (3, 6, 12, 24), member_bytes),
        measure("membership, zone", "us/s", "VM", (3, 6, 12, 24), member_cost),
        measure("membership, zones", "bytes/s", "zone", (2, 4, 8, 16), zone_bytes),
        measure("configuration, change", "us", "workload", (50, 200, 800), config_cost),
        measure("scheduler, change", "us", "workload", (50, 200, 800), apply_cost),
        measure("configuration", "bytes", "workload", (50, 200, 800), config_heap),
        measure("levels, minute", "bytes", "workload", (1, 10, 50, 200), bucket_bytes),
        measure("journal, job", "ms", "job", (200, 600, 1200), job_cost),
        measure("journal, job", "bytes", "job", (200, 600, 1200), job_bytes),
    ]
    return slopes + measure_daemon(seconds)


def print_table(slopes: Sequence[Slope]) -> None:
    print("| what | unit | slope | per | without any | range | R2 |")
    print("|---|---|---|---|---|---|---|")
    for slope in slopes:
        value, intercept, fit = slope.fit()
        span = f"{min(slope.xs):.4g} to {max(slope.xs):.4g}"
        print(
            f"| {slope.name} | {slope.unit} | {value:.4g} | {slope.per} "
            f"| {intercept:.4g} | {span} | {fit:.3f} |"
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    begun_s = time.monotonic()
    slopes = measure_all(options.seconds)
    print_table(slopes)
    print()
    capacity.print_roles({(s.name, s.unit): s.fit()[:2] for s in slopes})
    print()
    if options.json:
        print(json.dumps([[s.name, s.unit, s.xs, s.ys] for s in slopes]))
    settings = MembershipSettings()
    print(
        f"heartbeats every {settings.period_s:g} s, to other zones every "
        f"{settings.zone_period_s:g} s, to other regions every "
        f"{settings.region_period_s:g} s; took {time.monotonic() - begun_s:.0f} s"
    )


if __name__ == "__main__":
    main()
