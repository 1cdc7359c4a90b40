"""Snapshots: a manifest, and chunks of the entries that still matter."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from papayadyke_core.journal._entries import TimedEntry

CHUNK_BYTES = 900_000


class Manifest(msgspec.Struct, frozen=True, array_like=True):
    """Where a replay begins, and who may append.

    Parameters
    ----------
    vm, incarnation : str
        The owner; a successor writes itself here before it reads the log, which
        proves that the manifest it read was the latest.
    nonce : str
        Unique for each write, so that a lost answer can be decided.
    through : int, default=-1
        Number of the last segment that the snapshot covers.
    at_s : float, default=0.0
        Log time of that segment.
    snapshot_id : str, default=""
    chunks : int, default=0
    """

    vm: str
    incarnation: str
    nonce: str
    through: int = -1
    at_s: float = 0.0
    snapshot_id: str = ""
    chunks: int = 0


_manifests = msgspec.msgpack.Decoder(Manifest)
_chunks = msgspec.msgpack.Decoder(tuple[TimedEntry, ...])
_encoder = msgspec.msgpack.Encoder()


def encode_manifest(manifest: Manifest) -> bytes:
    """Return the stored form of a manifest."""
    return _encoder.encode(manifest)


def decode_manifest(data: bytes) -> Manifest:
    """Return a manifest from its stored form."""
    return _manifests.decode(data)


def encode_chunks(entries: Iterable[TimedEntry]) -> Iterator[bytes]:
    """Yield chunks that fit in the store's largest value."""
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
    """Return the entries of a chunk."""
    return _chunks.decode(data)
