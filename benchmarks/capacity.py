"""What each role needs at the size of the users' first letter.

Works the figures of docs/CAPACITY.md out from the slopes that slopes.py
measures; it measures nothing itself.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

WORKERS = 18_000
ZONES = 16
JOBS_A_DAY = 180_000
STARTS_PER_S = 3_600
RUNNING = 170_000
CONFIG_CHANGES_A_DAY = 87_000
VM_REPLACEMENTS_A_DAY = 3_400
DAY_S = 86_400
WORKLOADS = 1_000
ACTIVE_WORKLOADS = 50
QUEUED_A_VM = 10_000
RENEW_PERIOD_S = 2.0
ENDS_PERIOD_S = 2.0
WATCHERS_A_ZONE = 2
MINUTE_S = 60
CONFIG_ENTRY_BYTES = 439
PEER_OVERHEAD_BYTES = 212
NEIGHBOURS = 2
THREAD_BYTES = 60_000
BUSY_SHARE = 0.5

Fits = Mapping[tuple[str, str], tuple[float, float]]


@dataclass(frozen=True, slots=True)
class Need:
    """What one part of a role needs, for each VM."""

    part: str
    cpu_ms_per_s: float
    memory_mb: float
    bytes_per_s: float


def line(fits: Fits, name: str, unit: str, x: float) -> float:
    """Return the fitted line at a point."""
    slope, intercept = fits[name, unit]
    return slope * x + intercept


def work_out(fits: Fits, vms_a_zone: int) -> list[Need]:
    vms = vms_a_zone * ZONES
    upstreams = WORKERS / vms
    tasks = RUNNING / WORKERS
    renewals = upstreams / RENEW_PERIOD_S
    polls = upstreams / ENDS_PERIOD_S
    renew_us = line(fits, "session, renewal", "us", tasks)
    renew_bytes = line(fits, "session, renewal", "bytes", tasks)
    changes = CONFIG_CHANGES_A_DAY / DAY_S
    change_us = line(fits, "configuration, change", "us", WORKLOADS)
    change_us += line(fits, "scheduler, change", "us", WORKLOADS)
    offer = CONFIG_ENTRY_BYTES + PEER_OVERHEAD_BYTES
    zone_us = line(fits, "membership, zone", "us/s", vms_a_zone)
    zone_bytes = line(fits, "membership, zone", "bytes/s", vms_a_zone)
    delegate_bytes = line(fits, "membership, zones", "bytes/s", ZONES) - line(
        fits, "membership, zones", "bytes/s", 1
    )
    request_ms = fits["daemon, synchronous requests", "ms/s"][0]
    jobs_per_s = JOBS_A_DAY / DAY_S / vms
    job_ms = fits["journal, job", "ms"][0]
    fleet_mb = fits["scheduler, fleet", "bytes"][0] * upstreams / 1e6
    queue_mb = fits["scheduler, queue", "bytes"][0] * QUEUED_A_VM / 1e6
    config_mb = line(fits, "configuration", "bytes", WORKLOADS) / 1e6
    base_mb = fits["daemon, memory", "MB"][1]
    minute = line(fits, "levels, minute", "bytes", ACTIVE_WORKLOADS)
    return [
        Need("process at rest", 0.0, base_mb, 0.0),
        Need("requests at the peak", request_ms * STARTS_PER_S / vms, queue_mb, 0.0),
        Need(
            "sessions of its upstreams",
            renewals * renew_us / 1000,
            fleet_mb + upstreams * THREAD_BYTES / 1e6,
            renewals * renew_bytes,
        ),
        Need("ends of its tasks", polls * renew_us / 1000, 0.0, polls * 500.0),
        Need("heartbeats in the zone", zone_us / 1000, 0.0, 2 * zone_bytes),
        Need("delegate to other zones", 0.0, 0.0, 2 * delegate_bytes),
        Need(
            "configuration",
            changes * change_us / 1000,
            config_mb,
            changes * offer * 2 * NEIGHBOURS,
        ),
        Need("jobs and keys", jobs_per_s * job_ms, 0.0, 0.0),
        Need("levels", 0.0, 0.0, minute / MINUTE_S),
    ]


def print_roles(fits: Fits) -> None:
    for vms_a_zone in (12, 24):
        print_role(fits, vms_a_zone)
        print()
    print_store(fits)


def print_role(fits: Fits, vms_a_zone: int) -> None:
    vms = vms_a_zone * ZONES
    print(
        f"{vms_a_zone} entry VMs a zone, {vms} in all, {WORKERS / vms:.1f} upstreams "
        f"and {STARTS_PER_S / vms:.1f} starts/s each"
    )
    print("| part | processor, % of a core | memory, MB | KB/s |")
    print("|---|---|---|---|")
    needs = work_out(fits, vms_a_zone)
    for need in needs:
        print(
            f"| {need.part} | {need.cpu_ms_per_s / 10:.2f} | {need.memory_mb:.1f} "
            f"| {need.bytes_per_s / 1000:.2f} |"
        )
    control = [need for need in needs if need.part != "requests at the peak"]
    cpu = sum(need.cpu_ms_per_s for need in control) / 10
    memory = sum(need.memory_mb for need in needs)
    sent = sum(need.bytes_per_s for need in control) / 1000
    print(f"| control, without requests | {cpu:.2f} | {memory:.1f} | {sent:.2f} |")
    share = vms / WORKERS
    print(f"| control for each worker | {cpu * share:.4f} | - | {sent * share:.3f} |")


def print_store(fits: Fits) -> None:
    vms = 12 * ZONES
    jobs = JOBS_A_DAY / DAY_S
    changes = CONFIG_CHANGES_A_DAY / DAY_S
    rows = [
        ("jobs and keys, group commit", min(150.0, 3 * jobs), 0.0),
        ("configuration", 2 * changes, changes * WATCHERS_A_ZONE * ZONES),
        ("configuration, waiting watches", 0.0, WATCHERS_A_ZONE * ZONES / 10.0),
        ("zone records", 2 * VM_REPLACEMENTS_A_DAY / DAY_S, vms / 30.0),
        ("levels", vms / MINUTE_S + vms / 3600, vms * MINUTE_S / 3600 / 60),
        ("partitions taken over", VM_REPLACEMENTS_A_DAY / DAY_S, 0.1),
    ]
    print(f"the key-value service, {vms} entry VMs")
    print("| part | writes/s | reads/s |")
    print("|---|---|---|")
    for name, writes, reads in rows:
        print(f"| {name} | {writes:.2f} | {reads:.2f} |")
    writes = sum(row[1] for row in rows)
    reads = sum(row[2] for row in rows)
    print(f"| all | {writes:.1f} | {reads:.1f} |")
    minute = line(fits, "levels, minute", "bytes", ACTIVE_WORKLOADS)
    kept_mb = minute * vms * MINUTE_S / 1e6
    job_mb = fits["journal, job", "bytes"][0] * JOBS_A_DAY / 1e6
    print(f"kept: levels {kept_mb:.0f} MB, jobs of a day {job_mb:.0f} MB")
