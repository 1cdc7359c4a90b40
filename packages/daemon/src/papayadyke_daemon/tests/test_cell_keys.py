"""A key that was withdrawn stays withdrawn, also after a restart of the daemon."""

import json
import time
from base64 import b64encode
from types import SimpleNamespace
from typing import cast

import pytest

from papayadyke_clients.keys import Authenticator, KeyFile, Keyring, SealFault
from papayadyke_daemon.cell_keys import CellKeys, KeysError
from papayadyke_daemon.settings import Settings

OLD = {"id": "old", "secret": b64encode(b"o" * 32).decode()}
NEW = {"id": "new", "secret": b64encode(b"n" * 32).decode()}


def write_keys(path, *keys):
    path.write_text(json.dumps({"keys": keys}))


def start_daemon(path):
    """Return the authenticator of a daemon that has just read the key file."""
    settings = cast(Settings, SimpleNamespace(keys_file=str(path), vm="vm"))
    return CellKeys(settings, incarnation=1).make_authenticator()


def seal_with(key):
    """Return a message sealed by a sender that still has a key."""
    keyring = Keyring(KeyFile.model_validate({"keys": [key]}))
    sender = Authenticator(
        keyring, sender="sender", incarnation=1, started_unix_s=time.time()
    )
    return sender.seal(b"data", unix_s=time.time() + 1)


def test_withdrawn_key_is_refused_after_a_restart(tmp_path):
    path = tmp_path / "keys.json"
    write_keys(path, OLD, NEW)
    before = start_daemon(path)
    assert before.check(b"data", seal_with(OLD), unix_s=time.time() + 1) is None
    write_keys(path, NEW)
    after = start_daemon(path)
    fault = after.check(b"data", seal_with(OLD), unix_s=time.time() + 1)
    assert fault is SealFault.FORGED
    assert after.check(b"data", seal_with(NEW), unix_s=time.time() + 1) is None


def test_daemon_does_not_start_with_an_unreadable_key_file(tmp_path):
    path = tmp_path / "keys.json"
    path.write_text("{")
    with pytest.raises(KeysError):
        start_daemon(path)
