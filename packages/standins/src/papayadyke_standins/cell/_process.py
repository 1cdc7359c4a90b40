"""Process whose lifetime a test controls."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Mapping
from pathlib import Path

START_TIMEOUT_S = 60.0
EXIT_TIMEOUT_S = 30.0
POLL_PERIOD_S = 0.02


class ManagedProcess:
    """Python module that runs as a process.

    Parameters
    ----------
    name : str
    command : list of str
        Module and arguments, without `--port-file`.
    directory : Path
        Directory for the port file and the log.
    writes_port_file : bool, default=True
        Whether the module accepts `--port-file` and writes its port there.
    variables : mapping of str to str, optional
        Additional environment variables.
    """

    def __init__(
        self,
        name: str,
        command: list[str],
        *,
        directory: Path,
        writes_port_file: bool = True,
        variables: Mapping[str, str] | None = None,
    ) -> None:
        self.name = name
        self.command = command
        self.directory = directory
        self.writes_port_file = writes_port_file
        self.variables = variables or {}
        self._popen: subprocess.Popen | None = None

    @property
    def log_path(self) -> Path:
        """File with the output of the process."""
        return self.directory / f"{self.name}.log"

    def start(self) -> None:
        """Start the process without waiting for its port."""
        command = [sys.executable, "-m", *self.command]
        if self.writes_port_file:
            port_path = self._port_path()
            port_path.unlink(missing_ok=True)
            command += ["--port-file", str(port_path)]
        with self.log_path.open("ab") as log:
            self._popen = subprocess.Popen(
                command,
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                env={**os.environ, **self.variables},
            )

    def wait_for_port(self) -> int:
        """Wait until the process listens, and return its port.

        Raises
        ------
        TimeoutError
            If the process does not listen in time or exits; the message contains the
            last 2000 characters of the log.
        """
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s and self.is_running():
            text = self._read_port()
            if text:
                return int(text)
            time.sleep(POLL_PERIOD_S)
        raise TimeoutError(f"{self.name}: {self.log_path.read_text()[-2000:]}")

    @property
    def exit_code(self) -> int | None:
        """Exit code, or None while the process runs or if it was never started."""
        return None if self._popen is None else self._popen.poll()

    @property
    def pid(self) -> int:
        """Process id."""
        return self._started.pid

    def is_running(self) -> bool:
        """Return whether the process has been started and has not exited."""
        return self._popen is not None and self._popen.poll() is None

    def kill(self) -> None:
        """Kill the process (SIGKILL) and wait for its exit."""
        self._started.send_signal(signal.SIGKILL)
        self._started.wait(EXIT_TIMEOUT_S)

    def pause(self) -> None:
        """Suspend the process (SIGSTOP)."""
        self._started.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a suspended process (SIGCONT)."""
        self._started.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request the process to terminate (SIGTERM)."""
        self._started.send_signal(signal.SIGTERM)

    def reload(self) -> None:
        """Request the process to reload its settings (SIGHUP)."""
        self._started.send_signal(signal.SIGHUP)

    def wait(self, timeout_s: float = EXIT_TIMEOUT_S) -> int:
        """Wait for the process to exit, and return its exit code."""
        return self._started.wait(timeout_s)

    def clean_up(self) -> None:
        """Kill the process if it is still running, also when it is suspended."""
        if self.is_running():
            self.resume()
            self.kill()

    @property
    def _started(self) -> subprocess.Popen:
        if self._popen is None:
            raise RuntimeError(f"{self.name} was not started")
        return self._popen

    def _port_path(self) -> Path:
        return self.directory / f"{self.name}.port"

    def _read_port(self) -> str:
        try:
            return self._port_path().read_text()
        except FileNotFoundError:
            return ""
