"""Seals: a stamp and a signature that authenticate a message."""

from __future__ import annotations

import struct
import threading
from dataclasses import dataclass
from enum import StrEnum

from papayadyke_clients.keys._keyring import MAC_BYTES, Keyring, Signature
from papayadyke_clients.keys._replay import ReplayGuard, ReplaySettings, Stamp

MAX_NAME_CHARS = 128
MAX_COUNTER = 2**63 - 1
_SEPARATOR = ";"
_FIELD_COUNT = 6


@dataclass(frozen=True, slots=True)
class Seal:
    """Proof of the sender of a message that also guards against replay."""

    stamp: Stamp
    signature: Signature


class SealFault(StrEnum):
    """Cause for refusing a sealed message."""

    FORGED = "forged"
    REPLAYED = "replayed"


class Authenticator:
    """Seals messages of one process and verifies those of other processes.

    Instances are thread-safe.

    Parameters
    ----------
    keyring : Keyring
    sender : str
        Name of this process, unique among the processes running at the same time.
    incarnation : int
        Grows with each start, for example `time.time_ns()`.
    started_unix_s : float
        Unix time of the start of the process, in seconds.
    settings : ReplaySettings, default=ReplaySettings()

    Examples
    --------
    >>> seal = authenticator.seal(b"text", unix_s=time.time())  # doctest: +SKIP
    >>> other.check(b"text", seal, unix_s=time.time())  # doctest: +SKIP
    """

    def __init__(
        self,
        keyring: Keyring,
        *,
        sender: str,
        incarnation: int,
        started_unix_s: float,
        settings: ReplaySettings | None = None,
    ) -> None:
        self.keyring = keyring
        self.sender = sender
        self.incarnation = incarnation
        self._sequence = 0
        self._lock = threading.Lock()
        self._guard = ReplayGuard(
            settings or ReplaySettings(), started_unix_s=started_unix_s
        )

    def seal(self, data: bytes, *, unix_s: float) -> Seal:
        """Return a seal for one transmission of these bytes."""
        with self._lock:
            self._sequence += 1
            sequence = self._sequence
        stamp = Stamp(self.sender, self.incarnation, sequence, unix_s)
        return Seal(stamp, self.keyring.sign(_signed_bytes(stamp, data), unix_s=unix_s))

    def check(self, data: bytes, seal: Seal, *, unix_s: float) -> SealFault | None:
        """Return None once for a genuine message, and a `SealFault` otherwise.

        A refused message changes no state. One with an invalid signature never
        reaches the replay guard, so that nobody without a key can fill or shift its
        memory.
        """
        if not is_seal_valid(seal):
            return SealFault.FORGED
        signed = _signed_bytes(seal.stamp, data)
        if not self.keyring.verify(signed, seal.signature, unix_s=unix_s):
            return SealFault.FORGED
        with self._lock:
            is_accepted = self._guard.accept(seal.stamp, unix_s=unix_s)
        return None if is_accepted else SealFault.REPLAYED


def format_seal(seal: Seal) -> str:
    """Format a seal as an HTTP header value."""
    stamp = seal.stamp
    fields = (
        stamp.sender,
        str(stamp.incarnation),
        str(stamp.sequence),
        repr(stamp.sent_unix_s),
        seal.signature.key_id,
        seal.signature.mac.hex(),
    )
    return _SEPARATOR.join(fields)


def parse_seal(text: str) -> Seal | None:
    """Parse the output of `format_seal`; return None for any other text."""
    fields = text.split(_SEPARATOR)
    if len(fields) != _FIELD_COUNT:
        return None
    sender, incarnation, sequence, sent_unix_s, key_id, mac = fields
    try:
        stamp = Stamp(sender, int(incarnation), int(sequence), float(sent_unix_s))
        signature = Signature(key_id, bytes.fromhex(mac))
    except ValueError:
        return None
    seal = Seal(stamp, signature)
    return seal if is_seal_valid(seal) else None


def is_seal_valid(seal: Seal) -> bool:
    """Return whether the fields of a received seal are within their bounds."""
    stamp = seal.stamp
    counters = (stamp.incarnation, stamp.sequence)
    return (
        0 < len(stamp.sender) <= MAX_NAME_CHARS
        and stamp.sender.isascii()
        and stamp.sender.isprintable()
        and all(0 <= counter <= MAX_COUNTER for counter in counters)
        and len(seal.signature.mac) == MAC_BYTES
    )


def _signed_bytes(stamp: Stamp, data: bytes) -> bytes:
    """Return the bytes to sign, with lengths first so that the encoding is unique."""
    sender = stamp.sender.encode()
    header = struct.pack(
        ">HQQdI",
        len(sender),
        stamp.incarnation,
        stamp.sequence,
        stamp.sent_unix_s,
        len(data),
    )
    return header + sender + data
