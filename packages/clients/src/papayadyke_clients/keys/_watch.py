"""Takes changes of the key file into use while the process runs."""

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
    """Take the content of a key file into use; a faulty one changes nothing."""
    loaded = load_key_file(path)
    if isinstance(loaded, Err):
        return loaded
    keyring.replace(loaded.ok_value)
    return Ok(None)


class KeyFileWatch:
    """Reads the key file again and again, in a thread.

    Parameters
    ----------
    keyring : Keyring
    path : str or Path
    period_s : float, default=5.0
    """

    def __init__(
        self, keyring: Keyring, path: str | Path, *, period_s: float = 5.0
    ) -> None:
        self.keyring = keyring
        self.path = path
        self.period_s = period_s
        self._stopping = threading.Event()
        self._is_faulty = False
        self._thread = threading.Thread(target=self._run, name="keys", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread."""
        self._stopping.set()
        self._thread.join(JOIN_TIMEOUT_S)

    def _run(self) -> None:
        while not self._stopping.wait(self.period_s):
            self._reload()

    def _reload(self) -> None:
        answer = reload_keys(self.keyring, self.path)
        is_faulty = isinstance(answer, Err)
        if is_faulty and not self._is_faulty:
            detail = answer.unwrap_err().detail
            logger.error("keys: the file is faulty, the keys stay: %s", detail)
        self._is_faulty = is_faulty
