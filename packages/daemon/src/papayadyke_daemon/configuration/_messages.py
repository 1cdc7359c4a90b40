"""What VMs tell one another of the configuration."""

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
    """Entries that others may not have yet.

    Parameters
    ----------
    origin : str
        The VM that had them from the store.
    entries : list of bytes
        Encoded entries, in order.
    """

    origin: str
    entries: list[bytes]

    def decode(self) -> list[LogEntry]:
        """Return the entries.

        Raises
        ------
        msgspec.DecodeError
            Where one of them is none.
        """
        return [decode_entry(data) for data in self.entries]


class ConfigRequest(msgspec.Struct, tag="config_request", frozen=True, array_like=True):
    """Asks a peer for the entries that follow a revision."""

    after: int


class ConfigSnapshot(
    msgspec.Struct, tag="config_snapshot", frozen=True, array_like=True
):
    """A whole configuration, for a VM that is too far behind for entries."""

    head: SnapshotHead
    chunks: list[bytes]


ConfigMessage = ConfigOffer | ConfigRequest | ConfigSnapshot

_decoder = msgspec.msgpack.Decoder(ConfigMessage)


def make_offer(origin: str, entries: Sequence[LogEntry]) -> ConfigOffer:
    """Return the message that carries some entries."""
    return ConfigOffer(origin, [encode_entry(entry) for entry in entries])


def encode_message(message: ConfigMessage) -> bytes:
    """Return the bytes of a message."""
    return msgspec.msgpack.encode(message)


def decode_message(data: bytes) -> ConfigMessage:
    """Return the message of some bytes.

    Raises
    ------
    msgspec.DecodeError
        Where the bytes hold none.
    """
    return _decoder.decode(data)


def neighbours_of(vm: str, members: Sequence[str]) -> list[str]:
    """Return the VMs to which a VM passes on an offer that was new to it.

    Every VM passes on to the next one in the order of names, and to the one
    about a square root of their number further on. Whatever VMs have the offer
    first, and however many, it reaches all the others, also when any one of
    them is lost.

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
    turn = names.index(vm)
    steps = (1, max(2, math.isqrt(len(names))))
    found = dict.fromkeys(names[(turn + step) % len(names)] for step in steps)
    return [name for name in found if name != vm]
