"""A cell: store, upstreams and daemons, each a process of its own."""

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
LOWEST_BAD_STATUS = 300
READY_TIMEOUT_S = 60.0
POLL_S = 0.05
TAKEN_OVER = re.compile(r"journal: (partition \d+) taken over")
LOWEST_PORT = 10_240
HIGHEST_PORT = 32_000
SECRET = base64.b64encode(b"a secret of the tests, long enough").decode()


@dataclass(frozen=True, slots=True)
class ZonePlan:
    """What one availability zone has."""

    name: str
    daemons: int = 1
    upstreams: int = 2


@dataclass(frozen=True, slots=True)
class CellPlan:
    """What a cell has.

    Parameters
    ----------
    zones : tuple of ZonePlan
    config : dict
        A configuration in JSON, loaded by every daemon at its start.
    settings : dict
        Settings added to those of each daemon.
    slots : int, default=8
        Slots of each upstream.
    work_s : float, default=0.0
        Run time of a payload that names none.
    """

    zones: tuple[ZonePlan, ...]
    config: dict[str, Any]
    settings: dict[str, Any] = field(default_factory=dict)
    slots: int = 8
    work_s: float = 0.0


@dataclass(slots=True)
class DaemonProcess:
    """One daemon and where its listeners are."""

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
        """Send a caller's request; None where no answer came."""
        exchange = _connect(self.callers_port)
        result = exchange.send(
            method, path, body=body, headers=headers, timeout_s=timeout_s
        )
        return result.ok()


class Cell:
    """Starts the processes of a plan and reads what they did.

    Parameters
    ----------
    plan : CellPlan
    directory : Path
        Gets settings, port files and logs.
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
        self._free_ports = _FreePorts()

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
            for number in range(zone.upstreams):
                self._start_upstream(zone, f"{zone.name}-upstream-{number}")
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
        """End every process."""
        for daemon in self.daemons.values():
            daemon.process.clean_up()
        for process in [*self.upstreams.values(), self.store]:
            process.clean_up()
        self._free_ports.close()

    def list_targets(self) -> list[Target]:
        """Return where callers reach each daemon."""
        return [Target(HOST, daemon.callers_port) for daemon in self.daemons.values()]

    def wait_until_answered(self, workload: str = "rcd-check") -> None:
        """Wait until every daemon has answered a request.

        Raises
        ------
        TimeoutError
            With the names of those that have not in time.
        """
        until_s = time.monotonic() + READY_TIMEOUT_S
        waiting = list(self.daemons.values())
        while waiting and time.monotonic() < until_s:
            reply = waiting[0].send("POST", f"/v1/run/{workload}", body=b"{}")
            if reply is not None and reply.status == HTTPStatus.OK:
                waiting.pop(0)
            else:
                time.sleep(POLL_S)
        if waiting:
            raise TimeoutError(", ".join(daemon.vm for daemon in waiting))

    def wait_until_owned(self) -> None:
        """Wait until every partition of the journal has an owner.

        A VM refuses jobs and keyed requests of a partition before, and a slow VM
        takes its own later than any fixed time allows for.

        Raises
        ------
        TimeoutError
            With the number of those that have none in time.
        """
        until_s = time.monotonic() + READY_TIMEOUT_S
        taken: set[str] = set()
        while len(taken) < PARTITIONS:
            if time.monotonic() > until_s:
                raise TimeoutError(f"only {len(taken)} partitions have an owner")
            time.sleep(POLL_S)
            for daemon in self.daemons.values():
                taken |= set(TAKEN_OVER.findall(daemon.process.log_path.read_text()))

    def order_faults(self, upstream: str, faults: Faults) -> None:
        """Order faults from an upstream."""
        self._control(upstream, "PUT", "faults", msgspec.json.encode(faults))

    def leave(self, upstream: str) -> None:
        """Have an upstream say that it is leaving."""
        self._control(upstream, "PUT", "leave")

    def read_records(self) -> dict[str, list[RunRecord]]:
        """Return what each upstream that still runs has run."""
        return {
            name: msgspec.json.decode(
                self._control(name, "GET", "record"), type=list[RunRecord]
            )
            for name, process in self.upstreams.items()
            if process.is_running()
        }

    def read_breaches(self) -> list[str]:
        """Return every start that would have been over capacity or double."""
        return [
            breach
            for name, process in self.upstreams.items()
            if process.is_running()
            for breach in msgspec.json.decode(
                self._control(name, "GET", "breaches"), type=list[str]
            )
        ]

    def order_store_faults(self, **faults: Any) -> None:
        """Order faults from the store; none takes them back."""
        result = _connect(self.store_port).send(
            "POST",
            "/control/v1/faults",
            body=msgspec.json.encode(faults),
            timeout_s=CONTROL_TIMEOUT_S,
        )
        reply = result.unwrap()
        if reply.status >= LOWEST_BAD_STATUS:
            raise ValueError(repr(reply.body))

    def _control(
        self, upstream: str, method: str, what: str, body: bytes = b""
    ) -> bytes:
        result = _connect(self.upstream_ports[upstream]).send(
            method, f"/control/{what}", body=body, timeout_s=CONTROL_TIMEOUT_S
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
            for number in range(zone.daemons):
                vm = f"{zone.name}-vm-{number}"
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
            callers_port=self._free_ports.take(),
            operators_port=self._free_ports.take(),
            peers_port=self._free_ports.take(),
        )

    def _make_settings(
        self, zone: ZonePlan, daemon: DaemonProcess, seeds: list[dict[str, Any]]
    ) -> dict[str, Any]:
        own = {"host": HOST, "port": daemon.peers_port}
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
            "peers": own,
            "seeds": [seed for seed in seeds if seed["vm"] != daemon.vm],
            "availability_zones": [plan.name for plan in self.plan.zones],
            "keys_file": str(self.directory / "keys.json"),
            "store": {"port": self.store_port},
            "upstreams": upstreams,
            **self.plan.settings,
        }

    def _write(self, name: str, value: Any) -> None:
        (self.directory / name).write_bytes(msgspec.json.encode(value))


class _FreePorts:
    """Ports below the range of outgoing connections, held for this cell.

    A port of that range could be taken by a connection while its daemon is
    down. Each is held by a socket that does not listen, which keeps other cells
    away and lets in a daemon, since that sets SO_REUSEADDR as well.
    """

    def __init__(self) -> None:
        # Cells that run side by side draw differently.
        self._rng = random.Random(f"{os.getpid()}/{time.monotonic_ns()}")
        self._held: list[socket.socket] = []

    def take(self) -> int:
        while True:
            port = self._rng.randrange(LOWEST_PORT, HIGHEST_PORT)
            if _is_free(port):
                self._held.append(_hold(port))
                return port

    def close(self) -> None:
        for held in self._held:
            held.close()


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def _hold(port: int) -> socket.socket:
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind((HOST, port))
    return held


def _connect(port: int) -> HttpExchange:
    return HttpExchange(HOST, port, kept=0, connect_timeout_s=CONNECT_TIMEOUT_S)
