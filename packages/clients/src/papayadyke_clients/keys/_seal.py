"""A seal: the stamp and signature that go with a message."""

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
_PARTS = 6


@dataclass(frozen=True, slots=True)
class Seal:
    """Proof of who sent a message, and that it is no copy of an earlier one."""

    stamp: Stamp
    signature: Signature


class SealFault(StrEnum):
    """Why a message is refused."""

    FORGED = "forged"
    REPLAYED = "replayed"


class Authenticator:
    """Seals messages of one process and checks those of others.

    May be shared by threads.

    Parameters
    ----------
    keyring : Keyring
    sender : str
        Name of this process, unlike that of any process running beside it.
    incarnation : int
        Grows with each start, for example `time.time_ns()`.
    started_unix_s : float
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
        """Return a seal of these bytes, to be sent once."""
        with self._lock:
            self._sequence += 1
            sequence = self._sequence
        stamp = Stamp(self.sender, self.incarnation, sequence, unix_s)
        return Seal(stamp, self.keyring.sign(_signed_bytes(stamp, data), unix_s=unix_s))

    def check(self, data: bytes, seal: Seal, *, unix_s: float) -> SealFault | None:
        """Return None once for a genuine message, and a fault otherwise.

        A faulty message leaves no trace: one with a bad signature is not even
        remembered, so that nobody without a key fills or moves the memory.
        """
        if not is_seal_valid(seal):
            return SealFault.FORGED
        signed = _signed_bytes(seal.stamp, data)
        if not self.keyring.verify(signed, seal.signature, unix_s=unix_s):
            return SealFault.FORGED
        with self._lock:
            accepted = self._guard.accept(seal.stamp, unix_s=unix_s)
        return None if accepted else SealFault.REPLAYED


def format_seal(seal: Seal) -> str:
    """Write a seal as one HTTP header value."""
    stamp = seal.stamp
    parts = (
        stamp.sender,
        str(stamp.incarnation),
        str(stamp.sequence),
        repr(stamp.sent_unix_s),
        seal.signature.key_id,
        seal.signature.mac.hex(),
    )
    return _SEPARATOR.join(parts)


def parse_seal(text: str) -> Seal | None:
    """Read what `format_seal` wrote; None for anything else."""
    parts = text.split(_SEPARATOR)
    if len(parts) != _PARTS:
        return None
    sender, incarnation, sequence, sent, key_id, mac = parts
    try:
        stamp = Stamp(sender, int(incarnation), int(sequence), float(sent))
        signature = Signature(key_id, bytes.fromhex(mac))
    except ValueError:
        return None
    seal = Seal(stamp, signature)
    return seal if is_seal_valid(seal) else None


def is_seal_valid(seal: Seal) -> bool:
    """Tell whether the fields of a received seal are within their bounds."""
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
    """Return what is signed; lengths go first, so that no two messages agree."""
    sender = stamp.sender.encode()
    head = struct.pack(
        ">HQQdI",
        len(sender),
        stamp.incarnation,
        stamp.sequence,
        stamp.sent_unix_s,
        len(data),
    )
    return head + sender + data
