"""Cell of a store, upstreams and daemons, each in a separate process."""

from __future__ import annotations

import base64
import os
import random
import re
import socket
import time
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path
from typing import Any

import msgspec

from papayadyke_clients.http import HttpExchange, HttpReply
from papayadyke_core.journal import PARTITIONS
from papayadyke_standins.cell._load import Target
from papayadyke_standins.cell._process import ManagedProcess
from papayadyke_standins.upstream import Faults, RunRecord

HOST = "127.0.0.1"
CONNECT_TIMEOUT_S = 2.0
CONTROL_TIMEOUT_S = 10.0
MIN_ERROR_STATUS = 300
READY_TIMEOUT_S = 60.0
POLL_PERIOD_S = 0.05
PARTITION_TAKEN_OVER = re.compile(r"journal: (partition \d+) taken over")
MIN_PORT = 10_240
MAX_PORT = 32_000
SECRET = base64.b64encode(b"a secret of the tests, long enough").decode()


@dataclass(frozen=True, slots=True)
class ZonePlan:
    """Number of daemons and upstreams of one availability zone."""

    name: str
    daemons: int = 1
    upstreams: int = 2


@dataclass(frozen=True, slots=True)
class CellPlan:
    """Processes and configuration of a cell.

    Parameters
    ----------
    zones : tuple of ZonePlan
    config : dict
        JSON configuration that every daemon loads at startup.
    settings : dict
        Additional settings for each daemon.
    slots : int, default=8
        Slots of each upstream.
    work_s : float, default=0.0
        Run time in seconds of a payload that does not specify one.
    """

    zones: tuple[ZonePlan, ...]
    config: dict[str, Any]
    settings: dict[str, Any] = field(default_factory=dict)
    slots: int = 8
    work_s: float = 0.0


@dataclass(slots=True)
class DaemonProcess:
    """Daemon process and the ports of its listeners."""

    vm: str
    availability_zone: str
    process: ManagedProcess
    callers_port: int
    operators_port: int
    peers_port: int

    def send(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = CONTROL_TIMEOUT_S,
    ) -> HttpReply | None:
        """Send a request as a caller; return None if no answer arrives."""
        exchange = _connect(self.callers_port)
        result = exchange.send(
            method, path, body=body, headers=headers, timeout_s=timeout_s
        )
        return result.ok()


class Cell:
    """Cell that runs the processes of a plan and reads their records.

    Parameters
    ----------
    plan : CellPlan
    directory : Path
        Directory for settings, port files and logs.
    """

    def __init__(self, plan: CellPlan, directory: Path) -> None:
        self.plan = plan
        self.directory = directory
        self.store = ManagedProcess(
            "store", ["papayadyke_standins.store"], directory=directory
        )
        self.upstreams: dict[str, ManagedProcess] = {}
        self.upstream_ports: dict[str, int] = {}
        self.daemons: dict[str, DaemonProcess] = {}
        self._ports = _PortAllocator()

    def __enter__(self) -> Cell:
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exc: object) -> None:
        self.stop()

    def start(self) -> None:
        """Start the store, the upstreams and the daemons, in this order."""
        self.store.start()
        for zone in self.plan.zones:
            for index in range(zone.upstreams):
                self._start_upstream(zone, f"{zone.name}-upstream-{index}")
        self.store_port = self.store.wait_for_port()
        for name, process in self.upstreams.items():
            self.upstream_ports[name] = process.wait_for_port()
        self._write_common_files()
        self._plan_daemons()
        for daemon in self.daemons.values():
            daemon.process.start()
        for daemon in self.daemons.values():
            daemon.process.wait_for_port()

    def stop(self) -> None:
        """Stop every process."""
        for daemon in self.daemons.values():
            daemon.process.clean_up()
        for process in [*self.upstreams.values(), self.store]:
            process.clean_up()
        self._ports.close()

    def list_targets(self) -> list[Target]:
        """Return the callers' address of each daemon."""
        return [Target(HOST, daemon.callers_port) for daemon in self.daemons.values()]

    def wait_until_answered(self, workload: str = "rcd-check") -> None:
        """Wait until every daemon has answered a request.

        Raises
        ------
        TimeoutError
            If a daemon does not answer in time; the message names these daemons.
        """
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        pending = list(self.daemons.values())
        while pending and time.monotonic() < deadline_s:
            reply = pending[0].send("POST", f"/v1/run/{workload}", body=b"{}")
            if reply is not None and reply.status == HTTPStatus.OK:
                pending.pop(0)
            else:
                time.sleep(POLL_PERIOD_S)
        if pending:
            raise TimeoutError(", ".join(daemon.vm for daemon in pending))

    def wait_until_owned(self) -> None:
        """Wait until every partition of the journal has an owner.

        Until a VM owns a partition, it refuses jobs and keyed requests of that
        partition. On a slow VM, this takes longer than any fixed delay allows for.

        Raises
        ------
        TimeoutError
            If a partition has no owner in time; the message gives the number owned.
        """
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        owned: set[str] = set()
        while len(owned) < PARTITIONS:
            if time.monotonic() > deadline_s:
                raise TimeoutError(f"only {len(owned)} partitions have an owner")
            time.sleep(POLL_PERIOD_S)
            for daemon in self.daemons.values():
                owned |= set(
                    PARTITION_TAKEN_OVER.findall(daemon.process.log_path.read_text())
                )

    def order_faults(self, upstream: str, faults: Faults) -> None:
        """Replace the faults of an upstream."""
        self._control(upstream, "PUT", "faults", msgspec.json.encode(faults))

    def leave(self, upstream: str) -> None:
        """Make an upstream report that it is leaving."""
        self._control(upstream, "PUT", "leave")

    def read_records(self) -> dict[str, list[RunRecord]]:
        """Return the run records of each upstream that is still running."""
        return {
            name: msgspec.json.decode(
                self._control(name, "GET", "record"), type=list[RunRecord]
            )
            for name, process in self.upstreams.items()
            if process.is_running()
        }

    def read_breaches(self) -> list[str]:
        """Return the starts that would have exceeded a limit or run a task twice."""
        return [
            breach
            for name, process in self.upstreams.items()
            if process.is_running()
            for breach in msgspec.json.decode(
                self._control(name, "GET", "breaches"), type=list[str]
            )
        ]

    def order_store_faults(self, **faults: Any) -> None:
        """Replace the faults of the store; no arguments clear them."""
        result = _connect(self.store_port).send(
            "POST",
            "/control/v1/faults",
            body=msgspec.json.encode(faults),
            timeout_s=CONTROL_TIMEOUT_S,
        )
        reply = result.unwrap()
        if reply.status >= MIN_ERROR_STATUS:
            raise ValueError(repr(reply.body))

    def _control(
        self, upstream: str, method: str, resource: str, body: bytes = b""
    ) -> bytes:
        result = _connect(self.upstream_ports[upstream]).send(
            method, f"/control/{resource}", body=body, timeout_s=CONTROL_TIMEOUT_S
        )
        return result.unwrap().body

    def _start_upstream(self, zone: ZonePlan, name: str) -> None:
        rack = f"{zone.name}-rack-{len(self.upstreams) % 2}"
        command = ["papayadyke_standins.upstream", "--name", name, "--rack", rack]
        command += ["--availability-zone", zone.name]
        command += ["--slots", str(self.plan.slots)]
        command += ["--work-seconds", str(self.plan.work_s)]
        process = ManagedProcess(name, command, directory=self.directory)
        process.start()
        self.upstreams[name] = process

    def _write_common_files(self) -> None:
        key = {"id": "k1", "secret": SECRET}
        self._write("keys.json", {"keys": [key]})
        (self.directory / "keys.json").chmod(0o600)
        self._write("config.json", self.plan.config)

    def _plan_daemons(self) -> None:
        for zone in self.plan.zones:
            for index in range(zone.daemons):
                vm = f"{zone.name}-vm-{index}"
                self.daemons[vm] = self._plan_daemon(zone, vm)
        seeds = [
            {
                "vm": daemon.vm,
                "availability_zone": daemon.availability_zone,
                "host": HOST,
                "port": daemon.peers_port,
            }
            for daemon in self.daemons.values()
        ]
        for zone in self.plan.zones:
            for daemon in self.daemons.values():
                if daemon.availability_zone == zone.name:
                    settings = self._make_settings(zone, daemon, seeds)
                    self._write(f"{daemon.vm}.json", settings)

    def _plan_daemon(self, zone: ZonePlan, vm: str) -> DaemonProcess:
        command = ["papayadyke_daemon.main", "serve"]
        command += ["--settings", str(self.directory / f"{vm}.json")]
        command += ["--config", str(self.directory / "config.json")]
        return DaemonProcess(
            vm=vm,
            availability_zone=zone.name,
            process=ManagedProcess(vm, command, directory=self.directory),
            callers_port=self._ports.reserve(),
            operators_port=self._ports.reserve(),
            peers_port=self._ports.reserve(),
        )

    def _make_settings(
        self, zone: ZonePlan, daemon: DaemonProcess, seeds: list[dict[str, Any]]
    ) -> dict[str, Any]:
        peers = {"host": HOST, "port": daemon.peers_port}
        upstreams = [
            {"name": name, "port": port}
            for name, port in self.upstream_ports.items()
            if name.startswith(f"{zone.name}-")
        ]
        return {
            "vm": daemon.vm,
            "availability_zone": zone.name,
            "callers": {"port": daemon.callers_port},
            "operators": {"port": daemon.operators_port},
            "peers": peers,
            "seeds": [seed for seed in seeds if seed["vm"] != daemon.vm],
            "availability_zones": [plan.name for plan in self.plan.zones],
            "keys_file": str(self.directory / "keys.json"),
            "store": {"port": self.store_port},
            "upstreams": upstreams,
            **self.plan.settings,
        }

    def _write(self, name: str, value: Any) -> None:
        (self.directory / name).write_bytes(msgspec.json.encode(value))


class _PortAllocator:
    """Ports below the ephemeral range, reserved for this cell.

    An outgoing connection could occupy a port of the ephemeral range while its
    daemon is down. Each port is reserved by a bound socket that does not listen:
    other cells cannot choose the port, but a daemon can bind it because it sets
    SO_REUSEADDR as well.
    """

    def __init__(self) -> None:
        # Cells that run concurrently choose different ports.
        self._rng = random.Random(f"{os.getpid()}/{time.monotonic_ns()}")
        self._reserved: list[socket.socket] = []

    def reserve(self) -> int:
        while True:
            port = self._rng.randrange(MIN_PORT, MAX_PORT)
            if _is_free(port):
                self._reserved.append(_reserve(port))
                return port

    def close(self) -> None:
        for reserved in self._reserved:
            reserved.close()


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def _reserve(port: int) -> socket.socket:
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind((HOST, port))
    return reserved


def _connect(port: int) -> HttpExchange:
    return HttpExchange(HOST, port, kept=0, connect_timeout_s=CONNECT_TIMEOUT_S)
