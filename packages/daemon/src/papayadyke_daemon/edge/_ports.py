"""Define the interfaces that a platform implements for the edge daemon."""

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
    """Kind of failure of a call to the store.

    After `NOT_DONE` the call had no effect. After `UNKNOWN` it may have taken
    effect, or may still do so later. After `CONFLICT` it had no effect, because a
    key was not at the expected revision. After `REJECTED` it had no effect, nor would
    it have any if it were repeated, such as one with a value that is too large.
    `NO_LEASE` means that the lease has ended, `COMPACTED` that the store no longer
    keeps the changes after a revision.
    """

    NOT_DONE = "not_done"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"
    REJECTED = "rejected"
    NO_LEASE = "no_lease"
    COMPACTED = "compacted"


@dataclass(frozen=True, slots=True)
class Record:
    """Key of the store with its value, which is None if the key was removed."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class StoreError:
    """Failure of a call to the store.

    Parameters
    ----------
    kind : StoreErrorKind
    detail : str
    current_records : tuple of Record
        After a conflict, the current records of the keys in the condition.
    """

    kind: StoreErrorKind
    detail: str = ""
    current_records: tuple[Record, ...] = ()


@dataclass(frozen=True, slots=True)
class Page:
    """Records or changes of a prefix, and the revision after which to watch."""

    records: list[Record]
    revision: int
    has_more: bool = False


@dataclass(frozen=True, slots=True)
class Write:
    """Key to write; it has no lease if `lease` is 0."""

    key: str
    value: bytes
    lease: int = 0


class RecordStore(Protocol):
    """Client of the platform's key-value service."""

    def read(
        self, key: str, *, timeout_s: float | None = None
    ) -> Result[Record | None, StoreError]:
        """Return the record of a key, or None if there is none."""

    def read_prefix(self, prefix: str, *, after: str = "") -> Result[Page, StoreError]:
        """Return a page of the records of a prefix whose keys follow `after`."""

    def watch(
        self, prefix: str, *, after: int, wait_s: float
    ) -> Result[Page, StoreError]:
        """Return changes of a prefix after a revision; wait for the first if none."""

    def write(
        self,
        writes: Sequence[Write],
        *,
        expected: Sequence[tuple[str, int]] = (),
        removed: Sequence[str] = (),
        timeout_s: float | None = None,
    ) -> Result[int, StoreError]:
        """Apply all changes atomically if the expected revisions match.

        An expected revision of 0 means that the key does not exist. Returns the
        revision of the write.
        """

    def grant_lease(self, ttl_s: float) -> Result[int, StoreError]:
        """Return the id of a new lease."""

    def renew_lease(
        self, lease: int, *, timeout_s: float | None = None
    ) -> Result[None, StoreError]:
        """Extend a lease by its time to live."""

    def end_lease(self, lease: int) -> Result[None, StoreError]:
        """End a lease; its keys are removed at once."""


class UpstreamClient(Protocol):
    """Client of one upstream."""

    def is_connected(self) -> bool:
        """Return whether the connection on which a poll was answered is open.

        An upstream that restarts does not answer on a connection from before.
        """

    def poll(
        self,
        *,
        token: int,
        acknowledged_end: int,
        lease_until_s: float | None,
        wait_s: float,
    ) -> Result[UpstreamReport, str]:
        """Extend the leases of all runs, and list the running and ended ones.

        Parameters
        ----------
        token : int
            Fencing token of the decider.
        acknowledged_end : int
            Last end of a run that is stored; the upstream may forget it and all
            before it.
        lease_until_s : float or None
            End of the new lease in seconds, on the clock of `read_clock`; None
            extends no lease. A poll that extends leases is sent on the connection on
            which one was answered, or not at all.
        wait_s : float
            Longest time in seconds to wait for the end of a run.

        Raises
        ------
        FencedError
            If the upstream follows a later decider.
        """

    def start(
        self, order: StartOrder, *, token: int, lease_until_s: float
    ) -> StartOutcome:
        """Start a run, whose lease ends as that of a poll does."""

    def stop(self, order: StopOrder, *, token: int) -> bool:
        """Stop a run; return whether the upstream has accepted the order."""

    def close(self) -> None:
        """Close idle connections."""


class FencedError(Exception):
    """Raised when an upstream has seen an order of a later decider."""


@dataclass(frozen=True, slots=True)
class EdgePorts:
    """Interfaces of the daemon to the platform.

    Parameters
    ----------
    store : RecordStore
        Client of the store, for short calls.
    connect_upstream : callable
        Returns the client of an upstream.
    request_advice : callable
        Asks the advisory service which of the given upstreams may run a step.
    decode_catalog : callable
        Decodes a stored configuration; returns None if it is unreadable.
    decode_upstream : callable
        Decodes a registry entry; the error tells why it names no upstream.
    catalog_key, registry_prefix : str
    """

    store: RecordStore
    connect_upstream: Callable[[UpstreamEntry], UpstreamClient]
    request_advice: Callable[[StepId, Sequence[str]], Result[Advice, str]]
    decode_catalog: Callable[[bytes], Catalog | None]
    decode_upstream: Callable[[str, bytes], Result[UpstreamEntry, str]]
    catalog_key: str
    registry_prefix: str


# A decider that uses a whole core sends and receives 3,000 polls and starts per
# second, of about 1 kB each.
LINK_MBPS_PER_CORE = 25.0


def measure_strength(*, cores: float, link_mbps: float) -> float:
    """Return the capacity of a VM as a decider, in cores.

    Parameters
    ----------
    cores : float
        Processor time that the VM may use, in cores.
    link_mbps : float
        Bandwidth of its link, in megabits per second.
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
        IP address of the VM.
    callers_port, readiness_port, peers_port, metrics_port : int
    strength : float
        Result of `measure_strength`; stronger VMs are preferred as the decider.
    decider_ttl_s : float
        Time to live of the decider's lease; without a renewal the decider is
        replaced.
    renew_s : float
        Interval between renewals of the decider's lease.
    lease_s : float
        Lease of runs at upstreams.
    max_hold_s : float
        Longest lease that an upstream grants.
    late_call_s : float
        Longest time after which an upstream carries out a call that it has not
        answered.
    lapse_s : float
        Time of silence after which the registry removes an upstream.
    stop_s : float
        Longest time that an upstream takes to stop a run.
    drain_s : float
        Time for which a stopping VM continues to serve, until the platform's load
        balancer has detected the stop.
    grace_s : float
        Time after which the platform ends a stopping VM.
    hello_s : float
        Interval between heartbeats to the decider.
    status_kept_s : float
        Time for which the state of an ended job is kept.
    look_gap_s : float
        Least time between two polls of an upstream; with a longer time more ends
        share a poll.
    looks_per_s : float
        Maximum number of polls per second, of all upstreams together; in a large
        fleet each upstream is polled less often.
    revoke_s : float or None
        Longest time since the configuration was confirmed for which keys are relied
        on, in seconds; None if the last configuration stays in force.
    urgent_share : float
        Fraction of a service's CPU, at most, that is kept free for urgent work.
    quota_overrun : float
        Fraction of a team's limit by which the platform tolerates an excess.
    learns_run_times : bool
        Whether the decider learns run times by queue and step, and speeds by upstream.
    job_bytes : int or None
        Memory that jobs may take on the VM that decides; None for no limit.
    max_value_bytes : int
        Most bytes of a value in the store.
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
    max_hold_s: float = 10.0
    late_call_s: float = 12.0
    lapse_s: float = 4.5
    stop_s: float = 0.4
    drain_s: float = 3.0
    grace_s: float = 6.0
    hello_s: float = 0.5
    status_kept_s: float = 120.0
    look_gap_s: float = 0.03
    looks_per_s: float = 1600.0
    revoke_s: float | None = None
    urgent_share: float = 0.0
    quota_overrun: float = 0.1
    log_level: str = field(default="INFO")
    learns_run_times: bool = True
    job_bytes: int | None = None
    max_value_bytes: int = 786_432
