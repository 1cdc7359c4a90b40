"""Whether the memory of the deciding VM has room for another job."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable

from papayadyke_core.dispatch import StagedJobSpec, estimate_job_bytes
from papayadyke_daemon.edge._clock import read_clock
from papayadyke_daemon.edge._decider import Decider
from papayadyke_daemon.edge._job_room import JobRoom

# Seconds after which the decider's heartbeat counts a job that was accepted.
REPORT_DELAY_S = 1.0


class JobMemory:
    """Room for jobs on the VM that decides, as known to a VM that accepts jobs.

    Each job must fit on every VM, since any of them may become the decider. The decider
    tells with each heartbeat how much room is left; jobs that this VM has accepted
    since are subtracted. Safe to use from any thread.

    Parameters
    ----------
    own_decider : callable
        Returns the decider of this VM, or None if another VM is the decider.
    """

    def __init__(self, own_decider: Callable[[], Decider | None]) -> None:
        self._own_decider = own_decider
        self._lock = threading.Lock()
        self._room: JobRoom | None = None
        # Time and size of the jobs that the decider may not count yet.
        self._accepted: deque[tuple[float, int]] = deque()
        self._accepted_bytes = 0

    def record_reply(self, free_bytes: int | None, later_bytes: int | None) -> None:
        """Record the room that the decider tells, in bytes; None if unlimited."""
        with self._lock:
            self._room = None
            if free_bytes is not None:
                later_bytes = free_bytes if later_bytes is None else later_bytes
                self._room = JobRoom(free_bytes, later_bytes)

    def has_room(self, spec: StagedJobSpec) -> bool:
        """Return whether a job fits beside those that are accepted."""
        is_later = spec.repeat is not None
        return self.has_bytes(estimate_job_bytes(spec), is_later=is_later)

    def has_bytes(self, size: int, *, is_later: bool = False) -> bool:
        """Return whether a record fits beside the accepted jobs.

        Parameters
        ----------
        size : int
            Memory that it takes, in bytes.
        is_later : bool, default=False
            Whether it is that of a job that is due at later times.
        """
        decider = self._own_decider()
        room = self._room if decider is None else decider.find_job_room()
        if room is None:
            return True
        free_bytes = min(room) if is_later else room.all_jobs
        return size + self._count_accepted() <= free_bytes

    def record_accepted(self, spec: StagedJobSpec) -> None:
        """Record that a job was accepted of which the decider may not have heard."""
        self.record_bytes(estimate_job_bytes(spec))

    def record_bytes(self, size: int) -> None:
        """Record that the decider may not count some memory yet, in bytes."""
        with self._lock:
            self._accepted.append((read_clock(), size))
            self._accepted_bytes += size

    def _count_accepted(self) -> int:
        cutoff_s = read_clock() - REPORT_DELAY_S
        with self._lock:
            while self._accepted and self._accepted[0][0] < cutoff_s:
                self._accepted_bytes -= self._accepted.popleft()[1]
            return self._accepted_bytes
