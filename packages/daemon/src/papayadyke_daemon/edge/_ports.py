"""What the edge daemon needs of a platform, in the product's own words."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from result import Result

from papayadyke_core.dispatch import (
    Advice,
    Catalog,
    StartOrder,
    StartOutcome,
    StepId,
    StopOrder,
    UpstreamEntry,
    UpstreamReport,
)


class StoreErrorKind(StrEnum):
    """What went wrong with a call to the store.

    `NOT_DONE` had no effect. `UNKNOWN` may have had its effect, or may have it
    later. `CONFLICT` had none because a key was not at the expected revision.
    """

    NOT_DONE = "not_done"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"
    NO_LEASE = "no_lease"
    COMPACTED = "compacted"


@dataclass(frozen=True, slots=True)
class Record:
    """A key of the store; `value` is None for a key that was removed."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class StoreError:
    """Why a call to the store failed.

    Parameters
    ----------
    kind : StoreErrorKind
    detail : str
    found : tuple of Record
        After a conflict, the keys that the condition named, as they stand.
    """

    kind: StoreErrorKind
    detail: str = ""
    found: tuple[Record, ...] = ()


@dataclass(frozen=True, slots=True)
class Page:
    """Records of a prefix, or changes of it, and the revision to go on from."""

    records: list[Record]
    revision: int
    has_more: bool = False


@dataclass(frozen=True, slots=True)
class Write:
    """One key to be written; `lease` 0 means that it stays."""

    key: str
    value: bytes
    lease: int = 0


class RecordStore(Protocol):
    """The platform's key-value service."""

    def read(self, key: str) -> Result[Record | None, StoreError]:
        """Return a key, or None."""

    def read_prefix(self, prefix: str, *, after: str = "") -> Result[Page, StoreError]:
        """Return a page of the keys of a prefix, from behind a key."""

    def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> Result[Page, StoreError]:
        """Return the changes of a prefix past a revision, waiting for the first."""

    def write(
        self,
        writes: Sequence[Write],
        *,
        expected: Sequence[tuple[str, int]] = (),
        removed: Sequence[str] = (),
        timeout_s: float | None = None,
    ) -> Result[int, StoreError]:
        """Write all or nothing; revision 0 expects that a key does not exist."""

    def grant_lease(self, ttl_s: float) -> Result[int, StoreError]:
        """Return a new lease."""

    def renew_lease(
        self, lease: int, *, timeout_s: float | None = None
    ) -> Result[None, StoreError]:
        """Keep a lease for another time to live."""

    def end_lease(self, lease: int) -> Result[None, StoreError]:
        """End a lease; its keys go at once."""


class UpstreamClient(Protocol):
    """Calls to one upstream."""

    def look(
        self, *, token: int, noted_end: int, lease_s: float | None, wait_s: float
    ) -> Result[UpstreamReport, str]:
        """Extend the lease of what runs, and return what runs and has ended."""

    def start(self, order: StartOrder, *, token: int, lease_s: float) -> StartOutcome:
        """Start a run."""

    def stop(self, order: StopOrder, *, token: int) -> bool:
        """Stop a run; return whether the upstream has taken the order."""

    def close(self) -> None:
        """Close idle connections."""


class FencedError(Exception):
    """An upstream has seen the order of a later decider."""


@dataclass(frozen=True, slots=True)
class EdgePorts:
    """Everything outside the daemon.

    Parameters
    ----------
    store : RecordStore
        For short calls.
    connect_upstream : callable
    advise : callable
        Asks the advisory service about a step and upstreams.
    read_catalog : callable
        Reads a stored configuration; None where it can not be read.
    read_upstream : callable
        Reads an entry of the registry; None where it names no upstream.
    catalog_key, registry_prefix : str
    """

    store: RecordStore
    connect_upstream: Callable[[UpstreamEntry], UpstreamClient]
    advise: Callable[[StepId, Sequence[str]], Result[Advice, str]]
    read_catalog: Callable[[bytes], Catalog | None]
    read_upstream: Callable[[str, bytes], UpstreamEntry | None]
    catalog_key: str
    registry_prefix: str


# A decider that is busy for a whole core sends and receives looks and starts of
# about a kilobyte each, 3,000 a second.
LINK_MBPS_PER_CORE = 25.0


def measure_strength(*, cores: float, link_mbps: float) -> float:
    """Return how many cores' worth of deciding a VM can carry.

    Parameters
    ----------
    cores : float
        Processor time that the VM may use, in cores.
    link_mbps : float
        Bandwidth of its link, in megabits a second.
    """
    return min(cores, link_mbps / LINK_MBPS_PER_CORE)


@dataclass(frozen=True, slots=True, kw_only=True)
class EdgeSettings:
    """Settings of one VM. Times are in seconds.

    Parameters
    ----------
    vm : str
        Name of the VM.
    availability_zone : str
    host : str
        IP number of the VM.
    callers_port, readiness_port, peers_port, metrics_port : int
    strength : float
        As of `measure_strength`; a strong VM becomes the decider.
    decider_ttl_s : float
        A decider that does not renew for this long is replaced.
    renew_s : float
    lease_s : float
        Lease of what runs at upstreams.
    stop_s : float
        How long a stop of a run may take at an upstream.
    drain_s : float
        Time that a VM that was told to stop goes on serving, until the
        platform's balancer has noticed.
    grace_s : float
        Time after which a VM that was told to stop is ended.
    hello_s : float
        Interval of the messages to the decider.
    status_kept_s : float
    look_gap_s : float
        Least time between two looks at an upstream; more ends share each.
    looks_per_s : float
        Looks at all upstreams together; a large fleet has a longer gap.
    """

    vm: str
    availability_zone: str
    host: str
    callers_port: int
    readiness_port: int
    peers_port: int
    metrics_port: int = 0
    strength: float = 1.0
    decider_ttl_s: float = 1.0
    renew_s: float = 0.25
    lease_s: float = 5.0
    stop_s: float = 0.4
    drain_s: float = 3.0
    grace_s: float = 6.0
    hello_s: float = 0.5
    status_kept_s: float = 120.0
    look_gap_s: float = 0.03
    looks_per_s: float = 1600.0
    log_level: str = field(default="INFO")
