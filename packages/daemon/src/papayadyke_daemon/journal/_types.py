"""Settings of the journal, and what a replay gives."""

from __future__ import annotations

from dataclasses import dataclass

from papayadyke_core.journal import TimedEntry


@dataclass(frozen=True, slots=True, kw_only=True)
class JournalSettings:
    """Settings of the journal of one VM.

    Parameters
    ----------
    vm : str
        Name of the VM.
    incarnation : str
        Unique for each start of the process.
    vms : int, default=1
        VMs that share the store, until `set_vms` tells otherwise.
    compact_bytes : int, default=1_000_000
        Bytes of segments after which a snapshot is written.
    compact_segments : int, default=256
        Segments after which a snapshot is written.
    """

    vm: str
    incarnation: str
    vms: int = 1
    compact_bytes: int = 1_000_000
    compact_segments: int = 256


@dataclass(frozen=True, slots=True)
class Replay:
    """The log of a partition as its new owner found it.

    Parameters
    ----------
    partition : int
    epoch : int
        Number of the segment by which it was taken over; grows with each owner.
    at_s : float
        Log time at which the log ends.
    since_s : float
        Monotonic time of this process at that log time.
    entries : tuple of TimedEntry
        In the order in which they were appended.
    """

    partition: int
    epoch: int
    at_s: float
    since_s: float
    entries: tuple[TimedEntry, ...]
