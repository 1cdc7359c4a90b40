"""Many minutes of many VMs in one record, so that long windows stay small."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from papayadyke_core.slo._bucket import (
    Bucket,
    VmUsage,
    WorkloadCounts,
    make_histogram,
    merge_counts,
    merge_usage,
)

MINUTES_PER_HOUR = 60


class Source(msgspec.Struct, frozen=True, order=True):
    """A minute of a VM that a roll-up contains."""

    vm: str
    incarnation: int
    minute: int
    is_last: bool = False


class Rollup(msgspec.Struct, kw_only=True):
    """The sum of some buckets, and which ones they were.

    Parameters
    ----------
    hour : int
        Hours since the epoch.
    sources : list of Source
    workloads : dict of str to WorkloadCounts
    usage : VmUsage
    """

    hour: int
    sources: list[Source] = msgspec.field(default_factory=list)
    workloads: dict[str, WorkloadCounts] = msgspec.field(default_factory=dict)
    usage: VmUsage = msgspec.field(default_factory=VmUsage)


def encode_rollup(rollup: Rollup) -> bytes:
    """Return the bytes kept in the store."""
    return msgspec.msgpack.encode(rollup)


def decode_rollup(data: bytes) -> Rollup:
    """Return the roll-up of bytes from the store."""
    return msgspec.msgpack.decode(data, type=Rollup)


def roll_up(buckets: Iterable[Bucket], *, hour: int) -> Rollup:
    """Return the sum of buckets; one that comes twice is counted once.

    Parameters
    ----------
    buckets : iterable of Bucket
    hour : int
        Hours since the epoch, for the name of the record.
    """
    rollup = Rollup(hour=hour)
    seen: set[tuple[str, int, int]] = set()
    waits: dict[str, list[bytes]] = {}
    for bucket in buckets:
        key = (bucket.vm, bucket.incarnation, bucket.minute)
        if key in seen:
            continue
        seen.add(key)
        rollup.sources.append(Source(*key, bucket.is_last))
        merge_usage(rollup.usage, bucket.usage)
        for name, counts in bucket.workloads.items():
            merge_counts(rollup.workloads.setdefault(name, WorkloadCounts()), counts)
            waits.setdefault(name, []).append(counts.waits)
    for name, encoded in waits.items():
        rollup.workloads[name].waits = merge_waits(encoded)
    rollup.sources.sort()
    return rollup


def merge_waits(encoded: Iterable[bytes]) -> bytes:
    """Return the encoded sum of encoded histograms."""
    whole = make_histogram()
    for part in encoded:
        if part:
            whole.decode_and_add(part)
    return bytes(whole.encode()) if whole.get_total_count() else b""
