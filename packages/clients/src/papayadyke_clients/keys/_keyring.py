"""Signatures with the keys of a cell, which can be replaced at run time."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass

from papayadyke_clients.keys._file import KeyEntry, KeyFile

MAC_BYTES = hashlib.sha256().digest_size


@dataclass(frozen=True, slots=True)
class Signature:
    """Message authentication code and the id of the key that produced it."""

    key_id: str
    mac: bytes


class Keyring:
    """Keys for signing and verification.

    The key with the latest `not_before` that has been reached signs; any key that
    has not reached its `not_after` is accepted. `replace` may be called by another
    thread at any time: a concurrent call uses either the old or the new keys.

    Parameters
    ----------
    keys : KeyFile
    """

    def __init__(self, keys: KeyFile) -> None:
        self._entries = keys.keys

    def replace(self, keys: KeyFile) -> None:
        """Replace all keys."""
        self._entries = keys.keys

    def sign(self, data: bytes, *, unix_s: float) -> Signature:
        """Sign bytes with the signing key at a Unix time in seconds.

        Raises
        ------
        LookupError
            If no key is valid for signing at that time.
        """
        entry = _signing_key(self._entries, unix_s)
        if entry is None:
            raise LookupError("no key is valid for signing at this time")
        return Signature(entry.id, _mac(entry, data))

    def verify(self, data: bytes, signature: Signature, *, unix_s: float) -> bool:
        """Return whether an accepted key produced the signature of these bytes."""
        for entry in self._entries:
            if entry.id == signature.key_id and _is_accepted(entry, unix_s):
                return hmac.compare_digest(_mac(entry, data), signature.mac)
        return False


def _mac(entry: KeyEntry, data: bytes) -> bytes:
    return hmac.digest(entry.secret_bytes, data, "sha256")


def _is_accepted(entry: KeyEntry, unix_s: float) -> bool:
    return entry.not_after is None or unix_s < entry.not_after


def _signing_key(entries: tuple[KeyEntry, ...], unix_s: float) -> KeyEntry | None:
    """Return the key that became valid last; of equals, the last one listed."""
    latest: KeyEntry | None = None
    for entry in entries:
        valid_from_s = entry.not_before or 0.0
        if not _is_accepted(entry, unix_s) or unix_s < valid_from_s:
            continue
        if latest is None or valid_from_s >= (latest.not_before or 0.0):
            latest = entry
    return latest
