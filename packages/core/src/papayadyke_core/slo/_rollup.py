"""Roll-ups: minutes of several VMs summed into one record for long windows."""

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
    """Minute of a VM that a roll-up contains."""

    vm: str
    incarnation: int
    minute: int
    is_last: bool = False


class Rollup(msgspec.Struct, kw_only=True):
    """Sum of several buckets, with the list of its sources.

    Parameters
    ----------
    hour : int
        Hours since the Unix epoch.
    sources : list of Source
    workloads : dict of str to WorkloadCounts
    usage : VmUsage
    """

    hour: int
    sources: list[Source] = msgspec.field(default_factory=list)
    workloads: dict[str, WorkloadCounts] = msgspec.field(default_factory=dict)
    usage: VmUsage = msgspec.field(default_factory=VmUsage)


def encode_rollup(rollup: Rollup) -> bytes:
    """Encode a roll-up for the store."""
    return msgspec.msgpack.encode(rollup)


def decode_rollup(data: bytes) -> Rollup:
    """Decode a roll-up from its stored form."""
    return msgspec.msgpack.decode(data, type=Rollup)


def roll_up(buckets: Iterable[Bucket], *, hour: int) -> Rollup:
    """Return the sum of buckets; a bucket given more than once is counted once.

    Parameters
    ----------
    buckets : iterable of Bucket
    hour : int
        Hours since the Unix epoch; part of the store key of the record.
    """
    rollup = Rollup(hour=hour)
    counted: set[tuple[str, int, int]] = set()
    waits: dict[str, list[bytes]] = {}
    for bucket in buckets:
        key = (bucket.vm, bucket.incarnation, bucket.minute)
        if key in counted:
            continue
        counted.add(key)
        rollup.sources.append(Source(*key, bucket.is_last))
        merge_usage(rollup.usage, bucket.usage)
        for name, counts in bucket.workloads.items():
            merge_counts(rollup.workloads.setdefault(name, WorkloadCounts()), counts)
            waits.setdefault(name, []).append(counts.waits)
    for name, encoded_histograms in waits.items():
        rollup.workloads[name].waits = merge_waits(encoded_histograms)
    rollup.sources.sort()
    return rollup


def merge_waits(encoded_histograms: Iterable[bytes]) -> bytes:
    """Merge encoded histograms and return the encoded sum, empty without waits."""
    merged = make_histogram()
    for histogram in encoded_histograms:
        if histogram:
            merged.decode_and_add(histogram)
    return bytes(merged.encode()) if merged.get_total_count() else b""
