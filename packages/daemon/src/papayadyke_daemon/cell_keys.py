"""The keys that peers and operators share with this daemon."""

from __future__ import annotations

import time

from result import Err

from papayadyke_clients.keys import (
    Authenticator,
    KeyFileWatch,
    Keyring,
    load_key_file,
)
from papayadyke_daemon.settings import Settings


class KeysError(Exception):
    """The key file can not be used."""


class CellKeys:
    """The keyring of the settings' key file, read again while the daemon runs.

    Parameters
    ----------
    settings : Settings
    incarnation : int

    Raises
    ------
    KeysError
        If peers or operators are listened to and the key file can not be used.
    """

    def __init__(self, settings: Settings, *, incarnation: int) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self._watch: KeyFileWatch | None = None
        self._keyring: Keyring | None = None
        path = settings.keys_file
        if path is None:
            return
        loaded = load_key_file(path)
        if isinstance(loaded, Err):
            raise KeysError(f"{loaded.err_value.path}: {loaded.err_value.detail}")
        self._keyring = Keyring(loaded.ok_value)
        self._watch = KeyFileWatch(self._keyring, path)

    def start(self) -> None:
        """Take changed key files into use from now on."""
        if self._watch is not None:
            self._watch.start()

    def stop(self) -> None:
        """Stop watching the key file."""
        if self._watch is not None:
            self._watch.stop()

    def make_authenticator(self) -> Authenticator:
        """Return what signs and checks the messages of one listener."""
        if self._keyring is None:
            raise KeysError("the settings name no keys_file")
        return Authenticator(
            self._keyring,
            sender=self.settings.vm,
            incarnation=self.incarnation,
            started_unix_s=time.time(),
        )
