"""Measure the journal over the stand-in store, which is called over HTTP.

python benchmarks/journal.py accepts    # accepts/s and latency by commit rate
python benchmarks/journal.py writes     # store writes/s against the load
python benchmarks/journal.py replay     # time and bytes to take over, by jobs
"""

from __future__ import annotations

import argparse
import threading
import time
import tracemalloc

from papayadyke_clients.store import HttpStore, StoreSettings
from papayadyke_core.idempotency import KeyTable
from papayadyke_core.jobs import TaskDone, TaskResult
from papayadyke_core.journal import (
    Answer,
    KeyClaimed,
    KeyRecorded,
    RetainedEntries,
    WriteRateLimiter,
    encode_chunks,
)
from papayadyke_core.resources import Resources
from papayadyke_core.workloads import Kind, Workload
from papayadyke_daemon.jobs import JobHooks, JobService, JobSettings, parse_job
from papayadyke_daemon.journal import JournalSettings, JournalWriter
from papayadyke_standins.store import StoreStandin

WORKLOADS = {
    "tally": Workload("tally", Kind.BATCH, Resources(100), idempotent=True),
    "order": Workload("order", Kind.BATCH, Resources(100), idempotent=False),
}
BODY = b'{"workload": "%s", "tasks": [{"payload": "%s"}]}'
PAYLOAD_BYTES = 400


class Vm:
    """A journal and a job service whose tasks answer as soon as they are placed."""

    def __init__(self, address, *, vm_count):
        store = HttpStore(StoreSettings(address=address))
        self.journal = JournalWriter(
            store, JournalSettings(vm="vm1", incarnation="1", vm_count=vm_count)
        )
        hooks = JobHooks(
            find_workload=WORKLOADS.get,
            submit_task=self._run,
            stop_task=lambda task_id: None,
            resolve_task=lambda task_id, upstream, boot_id, on_done: None,
        )
        self.jobs = JobService(self.journal, JobSettings(append_wait_s=10.0), hooks)
        self.journal.start()
        self.jobs.start()

    def take_over(self):
        """Own partition 0."""
        replay = self.journal.take_over(0).unwrap()
        self.jobs.adopt(replay)
        return replay

    def _run(self, order, on_done):
        (task,) = order.tasks
        answer = Answer(200, "text/plain", task.payload)
        done = TaskDone(task.task_id, TaskResult.ANSWERED, answer)
        refused = TaskDone(task.task_id, TaskResult.NOT_STARTED)
        self.jobs.authorize_start(
            task.task_id,
            "u1",
            "b1",
            lambda allowed: on_done(done if allowed else refused),
        )

    def stop(self):
        """End the threads."""
        self.jobs.stop()
        self.journal.stop()


def model(workload="order"):
    return parse_job(BODY % (workload.encode(), b"x" * PAYLOAD_BYTES)).unwrap()


def load(vm, seconds, *, threads, per_s=None):
    """Submit from threads, as fast as accepted or at a rate; return latencies."""
    latencies: list[float] = []
    end = time.monotonic() + seconds
    interval = 0.0 if per_s is None else threads / per_s

    def work(index):
        due = time.monotonic() + interval * index / threads
        while time.monotonic() < end:
            time.sleep(max(0.0, due - time.monotonic()))
            due += interval
            started = time.monotonic()
            if vm.jobs.submit(model()).is_ok():
                latencies.append(time.monotonic() - started)

    workers = [threading.Thread(target=work, args=(n,)) for n in range(threads)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    return sorted(latencies)


def accepts():
    print("VMs in the cell, interval ms, threads: accepts/s, p50 ms, p99 ms, writes/s")
    for vms in (9, 30, 600):
        for threads in (1, 50, 200):
            with_standin(
                lambda standin, vms=vms, threads=threads: _accepts(
                    standin, vms, threads
                )
            )


def _accepts(standin, vms, threads, seconds=8.0):
    vm = Vm(standin.address, vm_count=vms)
    vm.take_over()
    before = standin.service.counts().total
    latencies = load(vm, seconds, threads=threads)
    calls = standin.service.counts().total - before
    interval_ms = 1000 * WriteRateLimiter(vm_count=vms).shortest_interval_s
    print(
        f"{vms:4d} {interval_ms:6.0f} {threads:4d}: {len(latencies) / seconds:8.1f} "
        f"{at(latencies, 0.5):7.0f} {at(latencies, 0.99):7.0f} {calls / seconds:6.1f}"
    )
    vm.stop()


def writes():
    print("jobs/s offered: accepted/s, p50 ms, p99 ms, store calls/s by operation")
    for per_s in (0.5, 2, 10, 50, 200):
        with_standin(lambda standin, per_s=per_s: _writes(standin, per_s))


def _writes(standin, per_s, seconds=10.0):
    vm = Vm(standin.address, vm_count=9)
    vm.take_over()
    before = standin.service.counts().operations
    latencies = load(vm, seconds, threads=100 if per_s > 20 else 10, per_s=per_s)
    after = standin.service.counts().operations
    calls = {
        name: round((count - before.get(name, 0)) / seconds, 2)
        for name, count in after.items()
    }
    print(
        f"{per_s:6.1f}: {len(latencies) / seconds:6.1f} {at(latencies, 0.5):6.0f} "
        f"{at(latencies, 0.99):6.0f} {calls}"
    )
    vm.stop()


def replay():
    print("jobs: entries, bytes in the store, take-over ms, adopt ms, heap MB")
    for jobs in (1000, 2000, 4000, 8000):
        with_standin(lambda standin, jobs=jobs: _replay(standin, jobs))


def _replay(standin, jobs):
    vm = Vm(standin.address, vm_count=9)
    vm.take_over()
    load_jobs(vm, jobs)
    vm.stop()
    stored = standin.service.state.read_prefix("", after="", limit=10**6)
    size = sum(len(entry.value) for entry in stored)
    successor = Vm(standin.address, vm_count=9)
    started = time.monotonic()
    found = successor.journal.take_over(0).unwrap()
    taken = time.monotonic()
    successor.jobs.adopt(found)
    adopted = time.monotonic()
    successor.stop()
    print(
        f"{jobs:6d}: {len(found.entries):6d} {size:9d} {1e3 * (taken - started):7.0f} "
        f"{1e3 * (adopted - taken):7.0f} {_heap_mb(standin):6.1f}"
    )


def _heap_mb(standin):
    """Return what a take-over leaves on the heap; tracing it takes time."""
    tracemalloc.start()
    vm = Vm(standin.address, vm_count=9)
    vm.take_over()
    vm.jobs.get("0000-none")
    heap = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    vm.stop()
    return heap


def keys():
    print("keys: bytes in a snapshot, heap bytes, both for each key")
    for count in (10_000, 20_000, 40_000):
        tracemalloc.start()
        table, retained = KeyTable(), RetainedEntries()
        for number in range(count):
            key, request_id = f"order-{number:032d}", f"{number:032x}"
            claim = KeyClaimed(key, "order", b"x" * 16, request_id, "hobart-vm-1")
            answer = Answer(200, "application/json", b"", False)
            for entry in (claim, KeyRecorded(key, request_id, answer)):
                table.apply(entry, 0.0)
                retained.apply(entry, 0.0)
        heap = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        size = sum(len(chunk) for chunk in encode_chunks(retained))
        print(f"{count:6d}: {size / count:6.0f} {heap / count:6.0f}")


def load_jobs(vm, count):
    """Run jobs to their end, a thousand at once."""
    ids = []
    lock = threading.Lock()

    def work(share):
        for _ in range(share):
            accepted = vm.jobs.submit(model()).unwrap()
            with lock:
                ids.append(accepted.job_id)

    workers = [threading.Thread(target=work, args=(count // 200,)) for _ in range(200)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    for job_id in ids:
        vm.jobs.get(job_id, wait_s=60.0).unwrap()


def at(latencies, fraction):
    """Return a quantile in milliseconds."""
    if not latencies:
        return float("nan")
    return 1000 * latencies[min(len(latencies) - 1, int(len(latencies) * fraction))]


def with_standin(act):
    standin = StoreStandin().start()
    try:
        act(standin)
    finally:
        standin.stop()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=["accepts", "writes", "replay", "keys"])
    runs = {"accepts": accepts, "writes": writes, "replay": replay, "keys": keys}
    runs[parser.parse_args().what]()
