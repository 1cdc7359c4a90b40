"""Time from an accepted change to in force everywhere, and store calls for it.

Followers run in threads over the stand-in store's HTTP. One VM of each zone
watches; the others get the change from their neighbours, here by direct calls in
place of the peers' connections.
"""

from __future__ import annotations

import argparse
import random
import statistics
import threading
import time
from dataclasses import dataclass

from papayadyke_clients.store import HttpStore, StoreSettings
from papayadyke_core.configuration import ConfigLog, PutPreset, SwitchPreset
from papayadyke_core.workloads import PresetModel
from papayadyke_daemon.configuration import (
    ConfigOffer,
    ConfigRepository,
    ConfigRequest,
    ConfigSync,
    ConfigSyncSettings,
    ConfigWriter,
    neighbours_of,
)
from papayadyke_standins.store import Faults, StoreStandin

ZONES = 3
LOAD_TIMEOUT_S = 30.0
CHANGE_TIMEOUT_S = 60.0
IDLE_S = 12.0
MS_PER_S = 1000.0
TARGET_S = 4.0


@dataclass(frozen=True, slots=True)
class Case:
    """One row of the table.

    Parameters
    ----------
    name : str
    followers : int
    watchers : int
    delay_s : float
        For which the store holds each call.
    loss : float
        Fraction of the peers' messages that are lost.
    """

    name: str
    followers: int
    watchers: int
    delay_s: float = 0.0
    loss: float = 0.0


class Fleet:
    """Followers with their watchers and peers."""

    def __init__(self, case: Case, address: str, rng: random.Random):
        self.case = case
        self.rng = rng
        self.names = [f"vm-{number:03d}" for number in range(case.followers)]
        self.changed = threading.Condition()
        self.syncs = {
            name: self._make_sync(name, number, address)
            for number, name in enumerate(self.names)
        }
        for sync in self.syncs.values():
            sync.start()
        for sync in self.syncs.values():
            if not sync.wait_loaded(LOAD_TIMEOUT_S):
                raise RuntimeError("a follower has not loaded the configuration")

    def wait_all(self, revision: int) -> float:
        """Return the monotonic time at which the last follower is there."""
        with self.changed:
            done = self.changed.wait_for(
                lambda: all(s.revision >= revision for s in self.syncs.values()),
                CHANGE_TIMEOUT_S,
            )
        if not done:
            raise RuntimeError(f"revision {revision} is not in force everywhere")
        return time.monotonic()

    def heartbeat(self) -> None:
        """Tell every follower the revision of two others, as heartbeats do."""
        for sync in self.syncs.values():
            for name in self.rng.sample(self.names, min(2, len(self.names))):
                sync.observe_peer_revision(self.syncs[name].revision)

    def stop(self) -> None:
        """Stop the followers."""
        for sync in self.syncs.values():
            sync.stop()

    def _make_sync(self, name: str, number: int, address: str) -> ConfigSync:
        store = HttpStore(StoreSettings(address=address, client=name))
        return ConfigSync(
            ConfigRepository(store),
            settings=ConfigSyncSettings(vm=name),
            on_config=lambda _: self._note(),
            is_watcher=lambda: number < self.case.watchers,
            forward_offer=lambda offer: self._spread(name, offer),
            send_request=lambda request: self._ask(name, request),
            rng=random.Random(number),
        )

    def _note(self) -> None:
        with self.changed:
            self.changed.notify_all()

    def _spread(self, name: str, offer: ConfigOffer) -> None:
        for other in neighbours_of(name, self.names):
            if self.rng.random() >= self.case.loss:
                self.syncs[other].handle_message(offer)

    def _ask(self, name: str, request: ConfigRequest) -> None:
        other = self.rng.choice([item for item in self.names if item != name])
        answer = self.syncs[other].handle_message(request)
        if answer is not None:
            self.syncs[name].handle_message(answer)


def measure(case: Case, switches: int, seed: int) -> str:
    standin = StoreStandin(threads=2 * case.followers + 16).start()
    writer_store = HttpStore(StoreSettings(address=standin.address))
    writer = make_writer(writer_store)
    for name in ("ordinary", "peak"):
        put = PutPreset(id=f"put-{name}", author="op", preset=PresetModel(name=name))
        writer.submit(put).unwrap()
    fleet = Fleet(case, standin.address, random.Random(seed))
    standin.service.set_faults(Faults(delay_s=case.delay_s))
    stopped = threading.Event()
    beats = threading.Thread(target=beat, args=(fleet, stopped))
    beats.start()
    before = standin.service.counts().total
    took = [switch(writer, fleet, number) for number in range(switches)]
    calls = (standin.service.counts().total - before) / switches
    before, started = standin.service.counts().total, time.monotonic()
    time.sleep(IDLE_S)
    idle = (standin.service.counts().total - before) / (time.monotonic() - started)
    stopped.set()
    beats.join()
    standin.service.set_faults(Faults(down=True))
    fleet.stop()
    standin.stop()
    took.sort()
    p50, worst = statistics.median(took), took[-1]
    return (
        f"{case.name:34} {case.followers:9d} {case.watchers:8d} "
        f"{p50 * MS_PER_S:8.1f} {worst * MS_PER_S:8.1f} {calls:11.1f} {idle:9.2f}"
        f"  {'met' if worst <= TARGET_S else 'MISSED'}"
    )


def make_writer(store: HttpStore) -> ConfigWriter:
    log = ConfigLog()
    return ConfigWriter(
        ConfigRepository(store),
        get_state=lambda: log.state,
        on_entries=log.apply_entries,
    )


def beat(fleet: Fleet, stopped: threading.Event) -> None:
    while not stopped.wait(1.0):
        fleet.heartbeat()


def switch(writer: ConfigWriter, fleet: Fleet, number: int) -> float:
    preset = ("peak", "ordinary")[number % 2]
    change = SwitchPreset(id=f"s{number}", author="op", preset=preset)
    revision = writer.submit(change).unwrap().revision
    accepted_at = time.monotonic()
    return max(fleet.wait_all(revision) - accepted_at, 0.0)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--switches", type=int, default=40)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    cases = [
        Case("9 VMs, one watches per zone", 9, ZONES),
        Case("9 VMs, all watch", 9, 9),
        Case("store holds calls 200 ms", 9, ZONES, delay_s=0.2),
        Case("half of peers' messages lost", 9, ZONES, loss=0.5),
        Case("all offers lost, heartbeats stay", 9, ZONES, loss=1.0),
        Case("18 VMs", 18, ZONES),
        Case("36 VMs", 36, ZONES),
        Case("72 VMs", 72, ZONES),
    ]
    print(f"{args.switches} switches, seed {args.seed}, target {TARGET_S} s")
    print(
        f"{'case':34} {'followers':>9} {'watchers':>8} {'p50 ms':>8} {'worst ms':>8} "
        f"{'calls/change':>11} {'idle/s':>9}"
    )
    for case in cases:
        print(measure(case, args.switches, args.seed), flush=True)


if __name__ == "__main__":
    main()
