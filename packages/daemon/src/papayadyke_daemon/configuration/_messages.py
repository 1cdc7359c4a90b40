"""What VMs tell one another of the configuration."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from papayadyke_core.configuration import (
    LogEntry,
    SnapshotHead,
    decode_entry,
    encode_entry,
)

FAN_OUT = 4


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


def children_of(
    vm: str, *, origin: str, members: Sequence[str], fan_out: int = FAN_OUT
) -> list[str]:
    """Return the VMs to which a VM passes on an offer.

    The members form a tree below the origin, so that no VM sends more than
    `fan_out` copies, however many members there are.

    Parameters
    ----------
    vm : str
        The VM that passes on.
    origin : str
        The VM that had the entries from the store.
    members : sequence of str
        All VMs of the zone, in any order.
    fan_out : int, default=FAN_OUT

    Returns
    -------
    children : list of str
    """
    names = sorted({*members, origin})
    if vm not in names:
        return []
    turn = names.index(origin)
    names = names[turn:] + names[:turn]
    first = names.index(vm) * fan_out + 1
    return names[first : first + fan_out]
