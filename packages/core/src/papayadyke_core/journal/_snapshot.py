"""Snapshots: a manifest, and chunks of the entries within their retention time."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from papayadyke_core.journal._entries import TimedEntry

# Below the largest value that the store accepts.
CHUNK_BYTES = 900_000


class Manifest(msgspec.Struct, frozen=True, array_like=True):
    """Start of the replay and the VM that may append to the log.

    Parameters
    ----------
    vm, incarnation : str
        Owner of the partition. A successor writes itself here before it reads the
        log, which proves that the manifest it read was the latest.
    nonce : str
        Unique for each write; shows whether a write whose answer was lost took
        effect.
    through : int, default=-1
        Number of the last segment that the snapshot covers; -1 without a snapshot.
    at_s : float, default=0.0
        Log time of that segment, in seconds.
    snapshot_id : str, default=""
        Part of the store keys of the snapshot's chunks.
    chunks : int, default=0
        Number of chunks of the snapshot.
    """

    vm: str
    incarnation: str
    nonce: str
    through: int = -1
    at_s: float = 0.0
    snapshot_id: str = ""
    chunks: int = 0


_manifest_decoder = msgspec.msgpack.Decoder(Manifest)
_chunk_decoder = msgspec.msgpack.Decoder(tuple[TimedEntry, ...])
_encoder = msgspec.msgpack.Encoder()


def encode_manifest(manifest: Manifest) -> bytes:
    """Encode a manifest for the store."""
    return _encoder.encode(manifest)


def decode_manifest(data: bytes) -> Manifest:
    """Decode a manifest from its stored form."""
    return _manifest_decoder.decode(data)


def encode_chunks(entries: Iterable[TimedEntry]) -> Iterator[bytes]:
    """Encode entries as chunks that fit into one value of the store."""
    batch: list[TimedEntry] = []
    size = 0
    for entry in entries:
        length = len(_encoder.encode(entry))
        if batch and size + length > CHUNK_BYTES:
            yield _encoder.encode(tuple(batch))
            batch, size = [], 0
        batch.append(entry)
        size += length
    if batch:
        yield _encoder.encode(tuple(batch))


def decode_chunk(data: bytes) -> tuple[TimedEntry, ...]:
    """Decode the entries of a chunk from its stored form."""
    return _chunk_decoder.decode(data)
