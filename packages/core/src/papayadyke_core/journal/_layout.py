"""Store keys of the log, and the mapping of keys and job ids to partitions."""

from __future__ import annotations

from hashlib import blake2b

PARTITIONS = 64
SEGMENT_DIGITS = 12
_HASH_BYTES = 8


def partition_of(key: str) -> int:
    """Return the partition that an idempotency key or a job id belongs to.

    Examples
    --------
    >>> 0 <= partition_of("order-17") < PARTITIONS
    True
    """
    digest = blake2b(key.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big") % PARTITIONS


def log_prefix(partition: int) -> str:
    """Return the store key prefix of a partition's segments and manifest."""
    return f"log/{partition:04d}/"


def segment_key(partition: int, number: int) -> str:
    """Return the store key of a segment."""
    return f"{log_prefix(partition)}{number:0{SEGMENT_DIGITS}d}"


def segment_number(key: str) -> int | None:
    """Return the segment number of a store key, or None if it names no segment."""
    last_component = key.rsplit("/", 1)[-1]
    return int(last_component) if last_component.isdigit() else None


def manifest_key(partition: int) -> str:
    """Return the store key of the manifest, which sorts after all segments."""
    return f"{log_prefix(partition)}snapshot"


def chunk_prefix(partition: int) -> str:
    """Return the store key prefix of all snapshot chunks of a partition."""
    return f"snapshots/{partition:04d}/"


def chunk_key(partition: int, snapshot_id: str, index: int) -> str:
    """Return the store key of one chunk of a snapshot."""
    return f"{chunk_prefix(partition)}{snapshot_id}/{index:04d}"
