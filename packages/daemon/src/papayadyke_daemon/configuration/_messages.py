"""Messages between VMs that replicate the configuration."""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

from papayadyke_core.configuration import (
    LogEntry,
    SnapshotHead,
    decode_entry,
    encode_entry,
)

FAN_OUT = 2


class ConfigOffer(msgspec.Struct, tag="config_offer", frozen=True, array_like=True):
    """Offer entries that other VMs may not have yet.

    Parameters
    ----------
    origin : str
        The VM that read them from the store.
    entries : list of bytes
        Encoded entries, in order.
    """

    origin: str
    entries: list[bytes]

    def decode(self) -> list[LogEntry]:
        """Decode the entries.

        Raises
        ------
        msgspec.DecodeError
            If one of them is not a valid entry.
        """
        return [decode_entry(data) for data in self.entries]


class ConfigRequest(msgspec.Struct, tag="config_request", frozen=True, array_like=True):
    """Request the entries that follow revision `after`."""

    after: int


class ConfigSnapshot(
    msgspec.Struct, tag="config_snapshot", frozen=True, array_like=True
):
    """Carry the whole configuration to a VM that is too far behind for entries."""

    head: SnapshotHead
    chunks: list[bytes]


ConfigMessage = ConfigOffer | ConfigRequest | ConfigSnapshot

_decoder = msgspec.msgpack.Decoder(ConfigMessage)


def make_offer(origin: str, entries: Sequence[LogEntry]) -> ConfigOffer:
    """Return the offer of some entries."""
    return ConfigOffer(origin, [encode_entry(entry) for entry in entries])


def encode_message(message: ConfigMessage) -> bytes:
    """Encode a message as MessagePack."""
    return msgspec.msgpack.encode(message)


def decode_message(data: bytes) -> ConfigMessage:
    """Decode a message from MessagePack.

    Raises
    ------
    msgspec.DecodeError
        If the data is not a valid message.
    """
    return _decoder.decode(data)


def neighbours_of(vm: str, members: Sequence[str]) -> list[str]:
    """Return the VMs to which a VM forwards an offer that was new to it.

    With `n` VMs sorted by name in a ring, each VM forwards to the next one and to
    the one about `sqrt(n)` positions further on. Whichever VMs have the offer
    first, and however many, it reaches all the others, even if any one VM is
    lost.

    Parameters
    ----------
    vm : str
    members : sequence of str
        All VMs of the zone, in any order.

    Returns
    -------
    neighbours : list of str
        At most `FAN_OUT`.
    """
    names = sorted({*members, vm})
    position = names.index(vm)
    steps = (1, max(2, math.isqrt(len(names))))
    targets = dict.fromkeys(names[(position + step) % len(names)] for step in steps)
    return [name for name in targets if name != vm]
