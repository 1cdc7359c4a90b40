"""Settings of the journal and the result of a replay."""

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
    vm_count : int, default=1
        Number of VMs that share the store, until `set_vm_count` changes it.
    compact_bytes : int, default=1_000_000
        Bytes of segments since the last snapshot at which a new one is written.
    compact_segments : int, default=256
        Segments since the last snapshot at which a new one is written.
    """

    vm: str
    incarnation: str
    vm_count: int = 1
    compact_bytes: int = 1_000_000
    compact_segments: int = 256


@dataclass(frozen=True, slots=True)
class Replay:
    """The log of a partition as its new owner replayed it.

    Parameters
    ----------
    partition : int
    epoch : int
        Number of the segment that records the takeover; increases with each owner.
    at_s : float
        Log time of the end of the log, in seconds.
    monotonic_s : float
        Monotonic time of this process at log time `at_s`, in seconds.
    entries : tuple of TimedEntry
        The entries in the order in which they were appended.
    """

    partition: int
    epoch: int
    at_s: float
    monotonic_s: float
    entries: tuple[TimedEntry, ...]
