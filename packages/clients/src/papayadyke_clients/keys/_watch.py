"""Reloading of the key file while the process runs."""

from __future__ import annotations

import logging
import threading
from pathlib import Path

from result import Err, Ok, Result

from papayadyke_clients.keys._file import KeyFileError, load_key_file
from papayadyke_clients.keys._keyring import Keyring

JOIN_TIMEOUT_S = 5.0

logger = logging.getLogger(__name__)


def reload_keys(keyring: Keyring, path: str | Path) -> Result[None, KeyFileError]:
    """Load a key file into the keyring; an invalid file leaves it unchanged."""
    load_result = load_key_file(path)
    if isinstance(load_result, Err):
        return load_result
    keyring.replace(load_result.ok_value)
    return Ok(None)


class KeyFileWatch:
    """Reloads the key file periodically, in a background thread.

    Parameters
    ----------
    keyring : Keyring
    path : str or Path
    period_s : float, default=5.0
        Interval between reloads, in seconds.
    """

    def __init__(
        self, keyring: Keyring, path: str | Path, *, period_s: float = 5.0
    ) -> None:
        self.keyring = keyring
        self.path = path
        self.period_s = period_s
        self._stopping = threading.Event()
        self._was_invalid = False
        self._thread = threading.Thread(target=self._run, name="keys", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopping.set()
        self._thread.join(JOIN_TIMEOUT_S)

    def _run(self) -> None:
        while not self._stopping.wait(self.period_s):
            self._reload()

    def _reload(self) -> None:
        result = reload_keys(self.keyring, self.path)
        is_invalid = isinstance(result, Err)
        if is_invalid and not self._was_invalid:
            detail = result.unwrap_err().detail
            logger.error(
                "keys: key file is invalid, keeping the current keys: %s", detail
            )
        self._was_invalid = is_invalid
