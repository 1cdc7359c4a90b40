"""Counts of one VM over one minute, as they are kept in the store."""

from __future__ import annotations

import msgspec
from hdrh.histogram import HdrHistogram

LOWEST_WAIT_US = 1
HIGHEST_WAIT_US = 24 * 3600 * 1_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000


class WorkloadCounts(msgspec.Struct, kw_only=True, omit_defaults=True):
    """What became of the requests of one workload.

    Parameters
    ----------
    answered, good : int
        Whole answers, and those among them that waited no longer than the
        target.
    refused, may_have_run : dict of str to int
        Counts by reason; exact, whatever the number of requests.
    waits : bytes
        Encoded histogram of waiting times, in microseconds.
    held_share_s : float
        Time integral of the dominant share held of the VM's capacity.
    waiting_s : float
        Seconds in which at least one request waited.
    floor_short_s : float
        Seconds in which requests waited while the share held was under the
        floor.
    target_wait_s, target_share : float
        The target in force when the minute was cut.
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
        """All requests that ended."""
        refused = sum(self.refused.values())
        return self.answered + refused + sum(self.may_have_run.values())


class RefusedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One refused request, kept so that it can be explained later."""

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
    """What control cost on the VM, and how full its upstreams were."""

    cpu_s: float = 0.0
    memory_bytes: int = 0
    peer_bytes: int = 0
    store_calls: int = 0
    used_share_s: float = 0.0
    sampled_s: float = 0.0


class Bucket(msgspec.Struct, kw_only=True, omit_defaults=True):
    """One minute of one VM.

    Parameters
    ----------
    vm : str
    incarnation : int
    minute : int
        Minutes since the epoch, on the wall clock of the VM.
    workloads : dict of str to WorkloadCounts
    refused : list of RefusedRequest
        The latest ones, within a bound; the counts are exact all the same.
    usage : VmUsage
    is_last : bool
        True where the VM stopped as planned, so that nothing is missing.
    """

    vm: str
    incarnation: int
    minute: int
    workloads: dict[str, WorkloadCounts] = msgspec.field(default_factory=dict)
    refused: list[RefusedRequest] = msgspec.field(default_factory=list)
    usage: VmUsage = msgspec.field(default_factory=VmUsage)
    is_last: bool = False


def encode_bucket(bucket: Bucket) -> bytes:
    """Return the bytes kept in the store."""
    return msgspec.msgpack.encode(bucket)


def decode_bucket(data: bytes) -> Bucket:
    """Return the bucket of bytes from the store.

    Raises
    ------
    msgspec.DecodeError
        If the bytes are of another form.
    """
    return msgspec.msgpack.decode(data, type=Bucket)


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of waiting times in microseconds."""
    return HdrHistogram(LOWEST_WAIT_US, HIGHEST_WAIT_US, SIGNIFICANT_DIGITS)


def record_wait(histogram: HdrHistogram, wait_s: float) -> None:
    """Count a waiting time; one past the range counts as the highest."""
    wait_us = round(wait_s * US_PER_S)
    histogram.record_value(min(max(wait_us, LOWEST_WAIT_US), HIGHEST_WAIT_US))


def merge_counts(into: WorkloadCounts, counts: WorkloadCounts) -> None:
    """Add counts to others; histograms are merged apart."""
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
    """Add usage to other usage; of memory the highest stays."""
    into.cpu_s += usage.cpu_s
    into.memory_bytes = max(into.memory_bytes, usage.memory_bytes)
    into.peer_bytes += usage.peer_bytes
    into.store_calls += usage.store_calls
    into.used_share_s += usage.used_share_s
    into.sampled_s += usage.sampled_s


def _merge_reasons(into: dict[str, int], counts: dict[str, int]) -> None:
    for reason, count in counts.items():
        into[reason] = into.get(reason, 0) + count
