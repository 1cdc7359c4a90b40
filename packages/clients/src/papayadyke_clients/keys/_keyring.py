"""Signatures by the keys of a cell, which are replaced without a stop."""

from __future__ import annotations

import hashlib
import hmac
from dataclasses import dataclass

from papayadyke_clients.keys._file import KeyEntry, KeyFile

MAC_BYTES = hashlib.sha256().digest_size


@dataclass(frozen=True, slots=True)
class Signature:
    """A message authentication code and the id of the key that made it."""

    key_id: str
    mac: bytes


class Keyring:
    """The keys that sign and the keys that are accepted.

    The newest key whose `not_before` has come signs; any key that has not
    passed its `not_after` is accepted. `replace` may be called by another
    thread at any time: a call works with the keys before it or after it.

    Parameters
    ----------
    keys : KeyFile
    """

    def __init__(self, keys: KeyFile) -> None:
        self._entries = keys.keys

    def replace(self, keys: KeyFile) -> None:
        """Take other keys into use."""
        self._entries = keys.keys

    def sign(self, data: bytes, *, unix_s: float) -> Signature:
        """Sign bytes with the key in use at a time.

        Raises
        ------
        LookupError
            Where no key may sign at that time.
        """
        entry = _signing_key(self._entries, unix_s)
        if entry is None:
            raise LookupError("no key may sign at this time")
        return Signature(entry.id, _mac(entry, data))

    def verify(self, data: bytes, signature: Signature, *, unix_s: float) -> bool:
        """Tell whether an accepted key made the signature of exactly these bytes."""
        for entry in self._entries:
            if entry.id == signature.key_id and _is_accepted(entry, unix_s):
                return hmac.compare_digest(_mac(entry, data), signature.mac)
        return False


def _mac(entry: KeyEntry, data: bytes) -> bytes:
    return hmac.digest(entry.secret_bytes, data, "sha256")


def _is_accepted(entry: KeyEntry, unix_s: float) -> bool:
    return entry.not_after is None or unix_s < entry.not_after


def _signing_key(entries: tuple[KeyEntry, ...], unix_s: float) -> KeyEntry | None:
    """Return the latest key to have become valid; of equals, the last listed."""
    best: KeyEntry | None = None
    for entry in entries:
        start = entry.not_before or 0.0
        if not _is_accepted(entry, unix_s) or unix_s < start:
            continue
        if best is None or start >= (best.not_before or 0.0):
            best = entry
    return best
