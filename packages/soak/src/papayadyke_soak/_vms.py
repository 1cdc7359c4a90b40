"""Processes of edge VMs, which can be paused, stopped, killed and restarted."""

from __future__ import annotations

import socket
import subprocess
from pathlib import Path

from papayadyke_adapter_standins import VmPlan, vm_command, write_settings
from papayadyke_daemon.edge import read_clock
from papayadyke_soak._proxy import LinkMode, Proxy
from papayadyke_standins.cell import ManagedProcess


class VmProcess:
    """Process of one VM, its links, and the faults of both.

    Parameters
    ----------
    plan : VmPlan
    store_link, callers_link : Proxy
    directory : Path
        Gets the settings file and the log.
    """

    def __init__(
        self, plan: VmPlan, *, store_link: Proxy, callers_link: Proxy, directory: Path
    ) -> None:
        self.plan = plan
        self.store_link = store_link
        self.callers_link = callers_link
        self.is_wanted = False
        self.is_paused = False
        self.stop_sent_s: float | None = None
        self.disturbed_s = 0.0
        self._settings = directory / f"{plan.name}.conf"
        module, variables = vm_command(self._settings)
        self._process = ManagedProcess(
            plan.name,
            module,
            directory=directory,
            writes_port_file=False,
            variables=variables,
        )

    def start(self) -> None:
        """Start the process unless it is running."""
        self.is_wanted = True
        if self.is_running():
            return
        self.is_paused = False
        self.stop_sent_s = None
        write_settings(self.plan, self._settings)
        self._process.start()

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self._process.is_running()

    @property
    def exit_code(self) -> int | None:
        """Exit code; None while running or before the first start."""
        return self._process.exit_code

    def disturb(self) -> None:
        """Record that requests may be cut from now on."""
        self.disturbed_s = read_clock()

    def kill(self) -> None:
        """Kill the process."""
        self.disturb()
        self._process.kill()

    def pause(self) -> None:
        """Pause the process."""
        self.disturb()
        self.is_paused = True
        self._process.pause()

    def resume(self) -> None:
        """Resume a paused process."""
        if self.is_paused:
            self.disturb()
            self.is_paused = False
            self._process.resume()

    def terminate(self) -> None:
        """Ask the process to stop."""
        self.stop_sent_s = read_clock()
        self._process.terminate()

    def reload(self) -> None:
        """Signal that the settings file has changed."""
        self._process.reload()

    def wait(self, timeout_s: float) -> bool:
        """Return whether the process has ended within a time."""
        try:
            self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return False
        return True

    def clean_up(self) -> None:
        """Kill the process in any state."""
        self.is_wanted = False
        self._process.clean_up()

    def heal(self) -> None:
        """End the faults of the links."""
        self.store_link.set_mode(LinkMode.WORKS)
        self.callers_link.set_mode(LinkMode.WORKS)


def find_free_ports(host: str, count: int) -> list[int]:
    """Return free ports on a loopback address that only this run uses."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((host, 0))
        return [int(sock.getsockname()[1]) for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()
