"""Time from an accepted switch of the preset to in force on 9 real daemons.

    python benchmarks/config_daemons.py --switches 20

Three daemons in each of three zones, the stand-in store and upstreams, each a
process on loopback. A thread per daemon asks its operators' listener which
revision is in force, so a figure is up to one question too long.
"""

from __future__ import annotations

import argparse
import statistics
import tempfile
import threading
import time
from pathlib import Path

from papayadyke_clients.keys import KeyFile, load_key_file
from papayadyke_clients.operators import OperatorsClient, OperatorsSettings
from papayadyke_core.configuration import PutPreset, SwitchPreset
from papayadyke_core.workloads import PresetModel
from papayadyke_standins.cell import Cell, CellPlan, ZonePlan

ZONES = ("hobart", "launceston", "devonport")
TARGET_S = 4.0
TIMEOUT_S = 60.0
PAUSE_S = 0.01
MS_PER_S = 1000.0
CONFIG = {
    "workloads": [
        {
            "name": "rcd-check",
            "kind": "service",
            "demand": {"cpus": 1, "memory_mb": 256},
        }
    ],
    "presets": [{"name": "ordinary"}],
}


def connect(port: int, keys: KeyFile) -> OperatorsClient:
    settings = OperatorsSettings(addresses=(("127.0.0.1", port),), keys=keys)
    return OperatorsClient(settings)


class Observer:
    """Follows one daemon's revision in a thread."""

    def __init__(self, client: OperatorsClient):
        self.client = client
        self.reached: dict[int, float] = {}
        self.revision = -1
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.follow)
        self.thread.start()

    def follow(self) -> None:
        while not self.stopped.wait(PAUSE_S):
            found = self.client.read_config()
            now = time.monotonic()
            if found.is_err():
                continue
            revision = found.unwrap().revision
            if revision < self.revision:
                raise AssertionError(f"back from {self.revision} to {revision}")
            for passed in range(self.revision + 1, revision + 1):
                self.reached[passed] = now
            self.revision = revision

    def wait(self, revision: int) -> float:
        until_s = time.monotonic() + TIMEOUT_S
        while revision not in self.reached:
            if time.monotonic() > until_s:
                raise RuntimeError(f"revision {revision} is not in force")
            time.sleep(PAUSE_S)
        return self.reached[revision]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--switches", type=int, default=20)
    args = parser.parse_args()
    zones = tuple(ZonePlan(name, daemons=3, upstreams=1) for name in ZONES)
    plan = CellPlan(zones=zones, config=CONFIG)
    with (
        tempfile.TemporaryDirectory() as directory,
        Cell(plan, Path(directory)) as cell,
    ):
        keys = load_key_file(Path(directory) / "keys.json").unwrap()
        took = run(cell, keys, args.switches)
    took.sort()
    print(
        f"9 daemons, {len(took)} switches: p50 "
        f"{statistics.median(took) * MS_PER_S:.0f} ms, worst "
        f"{took[-1] * MS_PER_S:.0f} ms, target {TARGET_S} s: "
        f"{'met' if took[-1] <= TARGET_S else 'MISSED'}"
    )


def run(cell: Cell, keys: KeyFile, switches: int) -> list[float]:
    ports = [daemon.operators_port for daemon in cell.daemons.values()]
    observers = [Observer(connect(port, keys)) for port in ports]
    clients = [connect(port, keys) for port in ports]
    try:
        put = PutPreset(id="peak", author="op", preset=PresetModel(name="peak"))
        clients[0].submit(put).unwrap()
        return [
            switch(clients[number % len(clients)], observers, number)
            for number in range(switches)
        ]
    finally:
        for observer in observers:
            observer.stopped.set()


def switch(client: OperatorsClient, observers: list[Observer], number: int) -> float:
    preset = ("peak", "ordinary")[number % 2]
    change = SwitchPreset(id=f"s{number}", author="op", preset=preset)
    revision = client.submit(change).unwrap().revision
    accepted_at = time.monotonic()
    last = max(observer.wait(revision) for observer in observers)
    return max(last - accepted_at, 0.0)


if __name__ == "__main__":
    main()
