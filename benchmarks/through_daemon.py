"""Requests through one daemon against the stand-in upstreams called directly.

Run as ``python benchmarks/through_daemon.py``. The upstreams, the daemon and the
load are processes of their own on loopback. The same requests go first straight
to the upstreams and then through the daemon, and the ratios are printed.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass
from pathlib import Path

import urllib3
from hdrh.histogram import HdrHistogram

from papayadyke_clients.upstream import OpenMessage, TaskCall, UpstreamClient
from papayadyke_core.resources import Resources

UPSTREAMS = 6
START_TIMEOUT_S = 30.0
POLL_S = 0.05
MAX_LATENCY_US = 60_000_000
US_PER_S = 1_000_000
BODY = json.dumps({"items": [{"quantity": 3, "unit_price": 41.5}]}).encode()


@dataclass(frozen=True, slots=True)
class Figures:
    """What one run gave."""

    per_second: float
    p50_ms: float
    p99_ms: float
    failed: int


@dataclass(frozen=True, slots=True)
class Place:
    """A directory with the port files, and the processes started."""

    directory: Path
    processes: list[subprocess.Popen]

    def start(self, name: str, *command: str) -> int:
        port_file = self.directory / name
        self.processes.append(
            subprocess.Popen([sys.executable, "-m", *command], stdout=None)
        )
        until_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until_s:
            if port_file.exists() and port_file.read_text():
                return int(port_file.read_text())
            time.sleep(POLL_S)
        raise TimeoutError(name)

    def stop(self) -> None:
        for process in self.processes:
            process.send_signal(signal.SIGTERM)
        for process in self.processes:
            process.wait(timeout=START_TIMEOUT_S)


def start_upstreams(place: Place, work_s: float) -> list[int]:
    ports = []
    for number in range(UPSTREAMS):
        name = f"upstream-{number}"
        ports.append(
            place.start(
                name,
                "papayadyke_standins.upstream",
                "--name",
                name,
                "--work-seconds",
                str(work_s),
                "--port-file",
                str(place.directory / name),
            )
        )
    return ports


def start_daemon(place: Place, ports: list[int]) -> int:
    settings = {
        "vm": "bench-1",
        "availability_zone": "loopback",
        "callers": {"port": 0, "threads": 256},
        "upstreams": [
            {"name": f"upstream-{number}", "port": port}
            for number, port in enumerate(ports)
        ],
    }
    config = {
        "workloads": [
            {
                "name": "rcd-check",
                "kind": "service",
                "idempotent": True,
                "urgency": "urgent",
                "demand": {"cpus": 1, "memory_mb": 256},
            }
        ]
    }
    (place.directory / "settings.json").write_text(json.dumps(settings))
    (place.directory / "config.json").write_text(json.dumps(config))
    return place.start(
        "daemon",
        "papayadyke_daemon.main",
        "serve",
        "--settings",
        str(place.directory / "settings.json"),
        "--config",
        str(place.directory / "config.json"),
        "--port-file",
        str(place.directory / "daemon"),
    )


def run_load(send, *, connections: int, seconds: float) -> Figures:
    """Call `send(worker, number)` in a closed loop on every connection."""
    until_s = time.monotonic() + seconds
    histograms = [HdrHistogram(1, MAX_LATENCY_US, 3) for _ in range(connections)]
    failed = [0] * connections

    def work(worker: int) -> None:
        number = 0
        while time.monotonic() < until_s:
            begun_s = time.perf_counter()
            number += 1
            if not send(worker, number):
                failed[worker] += 1
            spent_us = (time.perf_counter() - begun_s) * US_PER_S
            histograms[worker].record_value(max(1, int(spent_us)))

    threads = [threading.Thread(target=work, args=(n,)) for n in range(connections)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    whole = HdrHistogram(1, MAX_LATENCY_US, 3)
    for histogram in histograms:
        whole.add(histogram)
    return Figures(
        per_second=whole.get_total_count() / seconds,
        p50_ms=whole.get_value_at_percentile(50) / 1000,
        p99_ms=whole.get_value_at_percentile(99) / 1000,
        failed=sum(failed),
    )


def make_direct_sender(ports: list[int], connections: int):
    clients = [UpstreamClient("127.0.0.1", port) for port in ports]
    opened = OpenMessage(vm="direct", incarnation=time.time_ns(), epoch=0, ttl_s=120)
    reports = [client.open(opened).unwrap() for client in clients]

    def send(worker: int, number: int) -> bool:
        which = worker % len(clients)
        report = reports[which]
        call = TaskCall(
            task_id=f"d{connections}w{worker}n{number}/0/1",
            request_id=f"d{worker}-{number}",
            workload="rcd-check",
            demand=Resources(1000, 256),
            token=report.token,
            start_before_s=report.clock_s + 1000,
            lease_s=60.0,
            payload=BODY,
        )
        return getattr(clients[which].run(call, timeout_s=30), "status", 0) == 200

    def release() -> None:
        for client, report in zip(clients, reports, strict=True):
            client.release(report.token)

    return send, release


def make_daemon_sender(port: int, connections: int):
    pool = urllib3.HTTPConnectionPool("127.0.0.1", port, maxsize=connections)

    def send(worker: int, number: int) -> bool:
        return pool.request("POST", "/v1/run/rcd-check", body=BODY).status == 200

    return send


def read_memory_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def wait_until_ready(port: int) -> None:
    pool = urllib3.HTTPConnectionPool("127.0.0.1", port)
    until_s = time.monotonic() + START_TIMEOUT_S
    while pool.request("POST", "/v1/run/rcd-check", body=BODY).status != 200:
        if time.monotonic() > until_s:
            raise TimeoutError("daemon")
        time.sleep(POLL_S)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--work-seconds", type=float, default=0.0)
    parser.add_argument("--connections", type=int, nargs="*", default=[1, 8, 32])
    options = parser.parse_args()
    os.environ.setdefault("PYTHONUNBUFFERED", "1")
    with tempfile.TemporaryDirectory() as directory:
        place = Place(Path(directory), [])
        try:
            measure(place, options)
        finally:
            place.stop()


def measure(place: Place, options: argparse.Namespace) -> None:
    ports = start_upstreams(place, options.work_seconds)
    rows = []
    for connections in options.connections:
        send, release = make_direct_sender(ports, connections)
        rows.append(run_load(send, connections=connections, seconds=options.seconds))
        release()
    port = start_daemon(place, ports)
    wait_until_ready(port)
    pid = place.processes[-1].pid
    print(f"daemon memory idle {read_memory_mb(pid):.0f} MB")
    print(
        "| connections | direct/s | daemon/s | ratio | added p50 ms "
        "| added p99 ms | failed |"
    )
    print("|---|---|---|---|---|---|---|")
    for connections, direct in zip(options.connections, rows, strict=True):
        send = make_daemon_sender(port, connections)
        through = run_load(send, connections=connections, seconds=options.seconds)
        print(
            f"| {connections} | {direct.per_second:.0f} | {through.per_second:.0f} "
            f"| {through.per_second / direct.per_second:.2f} "
            f"| {through.p50_ms - direct.p50_ms:.2f} "
            f"| {through.p99_ms - direct.p99_ms:.2f} "
            f"| {direct.failed + through.failed} |"
        )
    print(f"daemon memory loaded {read_memory_mb(pid):.0f} MB")


if __name__ == "__main__":
    main()
