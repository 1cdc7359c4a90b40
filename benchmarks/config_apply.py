"""Processor time, bytes and memory of changes against the configuration's size."""

from __future__ import annotations

import time
import tracemalloc

from papayadyke_core.configuration import (
    ConfigState,
    LogEntry,
    PutWorkload,
    ReplaceConfig,
    apply_entry,
    check_change,
    encode_entry,
    make_snapshot,
    read_snapshot,
)
from papayadyke_core.workloads import ConfigModel

TEAMS = 61
PRESETS = 5
RULES = 20
CHANGES = 40
BYTES_PER_KB = 1000.0
US_PER_S = 1e6
MS_PER_S = 1e3


def make_workload(number: int) -> dict:
    return {
        "name": f"workload-{number}",
        "kind": "service",
        "team": f"team-{number % TEAMS}",
        "demand": {"cpus": 1, "memory_mb": 512},
        "floor": 0.0001,
    }


def make_state(workloads: int) -> ConfigState:
    rules = {
        f"workload-{number}": {"ceiling": 0.5}
        for number in range(min(RULES, workloads))
    }
    presets = [{"name": f"preset-{n}", "rules": rules} for n in range(PRESETS)]
    body = {
        "workloads": [make_workload(number) for number in range(workloads)],
        "teams": [{"name": f"team-{number}"} for number in range(TEAMS)],
        "presets": [*presets, {"name": "ordinary"}],
    }
    config = ConfigModel.model_validate(body)
    change = ReplaceConfig(id="first", author="op", config=config)
    return apply_entry(ConfigState(), LogEntry(1, "", change))


def measure(workloads: int) -> str:
    tracemalloc.start()
    state = make_state(workloads)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    model = next(iter(state.workloads.values())).model
    checked = applied = 0.0
    size = 0
    for number in range(CHANGES):
        change = PutWorkload(
            id=f"{number:032x}", author="operator", expected=None, workload=model
        )
        started = time.process_time()
        check_change(state, change).unwrap()
        checked += time.process_time() - started
        entry = LogEntry(state.revision + 1, state.last_id, change)
        size = len(encode_entry(entry))
        started = time.process_time()
        state = apply_entry(state, entry)
        state.to_config()
        applied += time.process_time() - started
    started = time.process_time()
    head, chunks = make_snapshot(state)
    packed = time.process_time() - started
    started = time.process_time()
    read_snapshot(head, chunks).unwrap()
    unpacked = time.process_time() - started
    return (
        f"{workloads:9d} {checked / CHANGES * US_PER_S:9.0f} "
        f"{applied / CHANGES * US_PER_S:9.0f} {size:11d} "
        f"{sum(map(len, chunks)) / BYTES_PER_KB:11.1f} {packed * MS_PER_S:8.1f} "
        f"{unpacked * MS_PER_S:8.1f} {held / BYTES_PER_KB / BYTES_PER_KB:8.2f}"
    )


def main() -> None:
    print(
        "workloads  check us  apply us  entry bytes snapshot KB  pack ms  read ms  "
        "held MB"
    )
    for workloads in (10, 100, 1000, 5000):
        print(measure(workloads), flush=True)


if __name__ == "__main__":
    main()
