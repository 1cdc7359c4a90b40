"""One process that a test has started and ends."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Mapping
from pathlib import Path

START_TIMEOUT_S = 60.0
END_TIMEOUT_S = 30.0
POLL_S = 0.02


class ManagedProcess:
    """A Python module run as a process.

    Parameters
    ----------
    name : str
    command : list of str
        Module and arguments, without the port file.
    directory : Path
        Gets the port file and the log.
    tells_port : bool, default=True
        Whether the module takes `--port-file` and writes its port there.
    variables : mapping of str to str, optional
        Added to the environment.
    """

    def __init__(
        self,
        name: str,
        command: list[str],
        *,
        directory: Path,
        tells_port: bool = True,
        variables: Mapping[str, str] | None = None,
    ) -> None:
        self.name = name
        self.command = command
        self.directory = directory
        self.tells_port = tells_port
        self.variables = variables or {}
        self._popen: subprocess.Popen | None = None

    @property
    def log_path(self) -> Path:
        """File with all that the process has printed."""
        return self.directory / f"{self.name}.log"

    def start(self) -> None:
        """Start the process without waiting for its port."""
        command = [sys.executable, "-m", *self.command]
        if self.tells_port:
            port_file = self._port_file()
            port_file.unlink(missing_ok=True)
            command += ["--port-file", str(port_file)]
        with self.log_path.open("ab") as log:
            self._popen = subprocess.Popen(
                command,
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
                env={**os.environ, **self.variables},
            )

    def wait_for_port(self) -> int:
        """Return the port once the process listens.

        Raises
        ------
        TimeoutError
            With the end of the log, if the process does not listen in time.
        """
        until_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until_s and self.is_running():
            text = self._read_port()
            if text:
                return int(text)
            time.sleep(POLL_S)
        raise TimeoutError(f"{self.name}: {self.log_path.read_text()[-2000:]}")

    @property
    def exit_code(self) -> int | None:
        """Exit code, None while the process runs or was never started."""
        return None if self._popen is None else self._popen.poll()

    @property
    def pid(self) -> int:
        """Process id."""
        return self._started.pid

    def is_running(self) -> bool:
        """Tell whether the process has not ended."""
        return self._popen is not None and self._popen.poll() is None

    def kill(self) -> None:
        """End the process at once."""
        self._started.send_signal(signal.SIGKILL)
        self._started.wait(END_TIMEOUT_S)

    def pause(self) -> None:
        """Stop the process where it is."""
        self._started.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        self._started.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to end."""
        self._started.send_signal(signal.SIGTERM)

    def reload(self) -> None:
        """Tell the process that its settings have changed."""
        self._started.send_signal(signal.SIGHUP)

    def wait(self, timeout_s: float = END_TIMEOUT_S) -> int:
        """Return the exit code."""
        return self._started.wait(timeout_s)

    def clean_up(self) -> None:
        """End the process whatever its state."""
        if self.is_running():
            self.resume()
            self.kill()

    @property
    def _started(self) -> subprocess.Popen:
        if self._popen is None:
            raise RuntimeError(f"{self.name} was not started")
        return self._popen

    def _port_file(self) -> Path:
        return self.directory / f"{self.name}.port"

    def _read_port(self) -> str:
        try:
            return self._port_file().read_text()
        except FileNotFoundError:
            return ""
