"""The embedded mode: a daemon with stand-ins of the platform, in one process."""

from __future__ import annotations

from pathlib import Path

import msgspec

from papayadyke_clients.keys import generate_key_file
from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.resources import Resources
from papayadyke_core.workloads import ConfigModel
from papayadyke_daemon.daemon import Daemon
from papayadyke_daemon.settings import (
    Address,
    CallersSettings,
    ListenerSettings,
    LogSettings,
    Settings,
    StoreAddress,
    UpstreamAddress,
)
from papayadyke_standins.store import StoreStandin
from papayadyke_standins.upstream import UpstreamStandin

UPSTREAMS = 6
RACKS = 2
CPU_MILLIS = 64_000
MEMORY_MB = 262_144
ACCELERATORS = 2
WORK_S = 0.02
CONFIG_TIMEOUT_S = 5.0
KEYS_NAME = "keys.json"

CONFIG = {
    "teams": [{"name": "quotes", "weight": 2}, {"name": "kits"}],
    "workloads": [
        {
            "name": "rcd-check",
            "team": "quotes",
            "kind": "service",
            "urgency": "urgent",
            "idempotent": True,
            "demand": {"cpus": 1, "memory_mb": 512},
            "timeout_seconds": 5,
            "floor": 0.3,
            "slo": {"wait_seconds": 0.25, "answered_share": 0.999},
        },
        {
            "name": "board-upgrade",
            "team": "quotes",
            "kind": "batch",
            "idempotent": True,
            "preemptible": True,
            "demand": {"cpus": 8, "memory_mb": 16_384},
            "timeout_seconds": 600,
            "floor": 0.2,
        },
        {
            "name": "school-order",
            "team": "kits",
            "kind": "service",
            "demand": {"cpus": 1, "memory_mb": 512},
            "timeout_seconds": 10,
            "floor": 0.2,
        },
        {
            "name": "season-tally",
            "team": "kits",
            "kind": "gang",
            "urgency": "deferrable",
            "idempotent": True,
            "demand": {"cpus": 4, "memory_mb": 8_192},
            "timeout_seconds": 600,
            "floor": 0.1,
        },
    ],
    "presets": [
        {"name": "ordinary", "description": "An ordinary day"},
        {
            "name": "peak",
            "description": "Quick checks and orders first",
            "rules": {
                "board-upgrade": {"floor": 0.1},
                "season-tally": {"floor": 0.05, "ceiling": 0.25},
                "rcd-check": {"floor": 0.5},
            },
        },
        {
            "name": "maintenance",
            "description": "No new long work",
            "rules": {
                "board-upgrade": {"admit": False},
                "season-tally": {"admit": False},
            },
        },
    ],
}


class Embedded:
    """A daemon and a small fleet of stand-in upstreams on loopback.

    Parameters
    ----------
    directory : Path
        Gets a new key file and, once started, the settings of the operators'
        command line.
    port : int, default=0
        Port of the callers' listener; zero lets the system choose.
    """

    def __init__(self, directory: Path, *, port: int = 0) -> None:
        self.directory = directory
        self.port = port
        self.store = StoreStandin()
        self.upstreams = [_make_upstream(number) for number in range(UPSTREAMS)]

    @property
    def operator_settings(self) -> Path:
        """Settings file for the operators' command line."""
        return self.directory / "operator.json"

    def start(self) -> None:
        """Start the stand-ins, then the daemon."""
        generate_key_file(self.directory / KEYS_NAME)
        self.store.start()
        for upstream in self.upstreams:
            upstream.start()
        self.daemon = Daemon(self._make_settings())
        self.daemon.start()
        self.daemon.load_first_config(ConfigModel.model_validate(CONFIG))
        self.daemon.wait_for_config(CONFIG_TIMEOUT_S)
        self._write_operator_settings()

    def stop(self) -> bool:
        """Drain the daemon, then stop everything; return whether it drained."""
        drained = self.daemon.drain()
        self.daemon.stop()
        for upstream in self.upstreams:
            upstream.stop()
        self.store.stop()
        return drained

    def _write_operator_settings(self) -> None:
        assert self.daemon.operators is not None
        settings = {
            "operators": [{"port": self.daemon.operators.port}],
            "callers": [{"port": self.daemon.callers.port}],
            "keys_file": KEYS_NAME,
        }
        self.operator_settings.write_bytes(msgspec.json.encode(settings))

    def _make_settings(self) -> Settings:
        return Settings(
            vm="embedded",
            availability_zone="loopback",
            callers=CallersSettings(address=Address("127.0.0.1", self.port)),
            upstreams=tuple(
                UpstreamAddress(item.spec.name, Address(*item.address))
                for item in self.upstreams
            ),
            operators=ListenerSettings(Address("127.0.0.1", 0)),
            keys_file=str(self.directory / KEYS_NAME),
            store=StoreAddress(_parse_address(self.store.address)),
            log=LogSettings(),
            drain_settle_s=0.0,
        )


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


def _make_upstream(number: int) -> UpstreamStandin:
    spec = UpstreamSpec(
        name=f"upstream-{number}",
        availability_zone="loopback",
        rack=f"rack-{number % RACKS}",
        capacity=Resources(CPU_MILLIS, MEMORY_MB, ACCELERATORS),
    )
    return UpstreamStandin(spec, default_work_s=WORK_S)
