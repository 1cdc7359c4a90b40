"""Processes of edge VMs: started, paused, stopped, killed and started again."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

from papayadyke_adapter_standins import VmPlan, vm_command, write_settings
from papayadyke_soak._ledger import read_now
from papayadyke_soak._proxy import LinkMode, Proxy

END_TIMEOUT_S = 20.0  # seconds that a planned stop may take


class VmProcess:
    """The program of one VM, and its links.

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
        self._log = directory / f"{plan.name}.log"
        self._popen: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the program, unless it runs."""
        self.is_wanted = True
        if self.is_running():
            return
        self.is_paused = False
        self.stop_sent_s = None
        write_settings(self.plan, self._settings)
        module, variables = vm_command(self._settings)
        with self._log.open("ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *module],
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                env={**os.environ, **variables},
            )

    def is_running(self) -> bool:
        """Tell whether the program has not ended."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Exit code, None while it runs or was never started."""
        return None if self._popen is None else self._popen.poll()

    def disturb(self) -> None:
        """Note that requests may be cut from now on."""
        self.disturbed_s = read_now()

    def kill(self) -> None:
        """End the program at once."""
        self.disturb()
        self._signal(signal.SIGKILL)
        if self._popen is not None:
            self._popen.wait(END_TIMEOUT_S)

    def pause(self) -> None:
        """Stop the program where it is."""
        self.disturb()
        self.is_paused = True
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused program go on."""
        if self.is_paused:
            self.disturb()
            self.is_paused = False
            self._signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the program to end."""
        self.stop_sent_s = read_now()
        self._signal(signal.SIGTERM)

    def reload(self) -> None:
        """Tell the program that its settings file has changed."""
        self._signal(signal.SIGHUP)

    def wait(self, timeout_s: float) -> bool:
        """Return whether the program has ended within a time."""
        if self._popen is None:
            return True
        try:
            self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return False
        return True

    def clean_up(self) -> None:
        """End the program whatever its state."""
        self.is_wanted = False
        if self.is_running():
            self._signal(signal.SIGCONT)
            self.kill()

    def heal(self) -> None:
        """End what disturbs the links."""
        self.store_link.set_mode(LinkMode.WORKS)
        self.callers_link.set_mode(LinkMode.WORKS)

    def _signal(self, number: int) -> None:
        if self._popen is not None and self.is_running():
            self._popen.send_signal(number)


def find_free_ports(host: str, count: int) -> list[int]:
    """Return ports of an address that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((host, 0))
        return [int(sock.getsockname()[1]) for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()
