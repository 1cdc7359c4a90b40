"""Requests of callers and their answers, by job."""

from __future__ import annotations

import threading
from dataclasses import dataclass, field

from papayadyke_core.dispatch import FINAL_STATES, JobState, StagedJobSpec


@dataclass(slots=True)
class JobRecord:
    """One job as seen by its caller. Times are in seconds.

    Parameters
    ----------
    spec : StagedJobSpec
    can_succeed : bool
    tries, refusals : int
        Submissions, and those that were told to have had no effect.
    accepted_s, cancel_sent_s, cancelled_s : float or None
    state : JobState or None
        The last that the caller received.
    is_forged : bool
        Whether the caller sends a key that no configuration has held.
    """

    spec: StagedJobSpec
    can_succeed: bool
    tries: int = 0
    refusals: int = 0
    accepted_s: float | None = None
    cancel_sent_s: float | None = None
    cancelled_s: float | None = None
    state: JobState | None = None
    is_forged: bool = False

    @property
    def is_ended(self) -> bool:
        """Return whether the caller received a final state."""
        return self.state in FINAL_STATES

    @property
    def is_refused(self) -> bool:
        """Return whether every submission was answered as not accepted."""
        return self.tries > 0 and self.tries == self.refusals

    @property
    def is_owed(self) -> bool:
        """Return whether the job must end."""
        return self.accepted_s is not None and self.cancel_sent_s is None


@dataclass(slots=True)
class Ledger:
    """All jobs, by id."""

    jobs: dict[str, JobRecord] = field(default_factory=dict)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def add(self, record: JobRecord) -> None:
        """Record a job before its first submission."""
        with self.lock:
            self.jobs[record.spec.job_id] = record

    def snapshot(self) -> list[JobRecord]:
        """Return all jobs."""
        with self.lock:
            return list(self.jobs.values())

    def find(self, job_id: str) -> JobRecord | None:
        """Return a job."""
        with self.lock:
            return self.jobs.get(job_id)
