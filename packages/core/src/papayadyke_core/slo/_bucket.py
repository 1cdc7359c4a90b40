"""Counts of one VM over one minute, in the form that the store holds."""

from __future__ import annotations

import msgspec
from hdrh.histogram import HdrHistogram

LOWEST_WAIT_US = 1
HIGHEST_WAIT_US = 24 * 3600 * 1_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000


class WorkloadCounts(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Outcomes of the requests of one workload.

    Parameters
    ----------
    answered, good : int
        Number of complete answers, and of those that waited no longer than the
        target.
    refused, may_have_run : dict of str to int
        Counts per reason; exact for any number of requests.
    waits : bytes
        Encoded histogram of waiting times in microseconds.
    held_share_s : float
        Time integral, in seconds, of the dominant share of the VM's capacity that
        the workload held.
    waiting_s : float
        Seconds during which at least one request waited.
    floor_short_s : float
        Seconds during which requests waited while the share held was below the
        floor.
    target_wait_s, target_share : float
        Target in force when the minute was closed: waiting time in seconds, and
        share of requests that must meet it.
    """

    answered: int = 0
    good: int = 0
    refused: dict[str, int] = msgspec.field(default_factory=dict)
    may_have_run: dict[str, int] = msgspec.field(default_factory=dict)
    waits: bytes = b""
    held_share_s: float = 0.0
    waiting_s: float = 0.0
    floor_short_s: float = 0.0
    target_wait_s: float = 0.0
    target_share: float = 0.0

    @property
    def total(self) -> int:
        """Number of requests that ended."""
        refused = sum(self.refused.values())
        return self.answered + refused + sum(self.may_have_run.values())


class RefusedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Refused request, stored so that the refusal can be explained later."""

    request_id: str
    workload: str
    at: float
    verdict: str
    reason: str
    detail: str
    holders: tuple[str, ...]
    preset: str
    revision: int


class VmUsage(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Resource usage of the control plane on a VM, and load of its upstreams.

    Parameters
    ----------
    cpu_s : float
        CPU time of the daemon in seconds.
    memory_bytes : int
        Highest memory usage of the daemon.
    peer_bytes : int
        Bytes exchanged with peers.
    store_calls : int
        Number of calls to the store.
    used_share_s : float
        Time integral, in seconds, of the dominant share of the capacity in use.
    sampled_s : float
        Seconds over which the usage was sampled.
    """

    cpu_s: float = 0.0
    memory_bytes: int = 0
    peer_bytes: int = 0
    store_calls: int = 0
    used_share_s: float = 0.0
    sampled_s: float = 0.0


class Bucket(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Counts of one VM over one minute.

    Parameters
    ----------
    vm : str
    incarnation : int
    minute : int
        Minutes since the Unix epoch on the wall clock of the VM.
    workloads : dict of str to WorkloadCounts
    refused : list of RefusedRequest
        Latest refused requests, up to a limit; the counts are exact regardless.
    usage : VmUsage
    is_last : bool
        Whether the VM stopped as planned after this bucket, so no later minutes
        are missing.
    """

    vm: str
    incarnation: int
    minute: int
    workloads: dict[str, WorkloadCounts] = msgspec.field(default_factory=dict)
    refused: list[RefusedRequest] = msgspec.field(default_factory=list)
    usage: VmUsage = msgspec.field(default_factory=VmUsage)
    is_last: bool = False


def encode_bucket(bucket: Bucket) -> bytes:
    """Encode a bucket for the store."""
    return msgspec.msgpack.encode(bucket)


def decode_bucket(data: bytes) -> Bucket:
    """Decode a bucket from its stored form.

    Raises
    ------
    msgspec.DecodeError
        If the bytes are not a valid bucket.
    """
    return msgspec.msgpack.decode(data, type=Bucket)


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of waiting times in microseconds."""
    return HdrHistogram(LOWEST_WAIT_US, HIGHEST_WAIT_US, SIGNIFICANT_DIGITS)


def record_wait(histogram: HdrHistogram, wait_s: float) -> None:
    """Record a waiting time in seconds, limited to the range of the histogram."""
    wait_us = round(wait_s * US_PER_S)
    histogram.record_value(min(max(wait_us, LOWEST_WAIT_US), HIGHEST_WAIT_US))


def merge_counts(into: WorkloadCounts, counts: WorkloadCounts) -> None:
    """Add counts to `into`, except the histograms, which are merged separately."""
    into.answered += counts.answered
    into.good += counts.good
    _merge_reasons(into.refused, counts.refused)
    _merge_reasons(into.may_have_run, counts.may_have_run)
    into.held_share_s += counts.held_share_s
    into.waiting_s += counts.waiting_s
    into.floor_short_s += counts.floor_short_s
    into.target_wait_s = counts.target_wait_s or into.target_wait_s
    into.target_share = counts.target_share or into.target_share


def merge_usage(into: VmUsage, usage: VmUsage) -> None:
    """Add usage to `into`; memory is the maximum of both, not the sum."""
    into.cpu_s += usage.cpu_s
    into.memory_bytes = max(into.memory_bytes, usage.memory_bytes)
    into.peer_bytes += usage.peer_bytes
    into.store_calls += usage.store_calls
    into.used_share_s += usage.used_share_s
    into.sampled_s += usage.sampled_s


def _merge_reasons(into: dict[str, int], counts: dict[str, int]) -> None:
    for reason, count in counts.items():
        into[reason] = into.get(reason, 0) + count
