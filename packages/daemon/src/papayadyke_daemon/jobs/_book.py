"""The jobs of this VM's partitions, by id and by idempotency key."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from papayadyke_core.jobs import Job
from papayadyke_core.journal import (
    JOB_RETENTION_S,
    JobAccepted,
    JobCancelled,
    TaskEnded,
    TaskIntended,
    is_past,
)
from papayadyke_daemon.journal import Replay


@dataclass(slots=True)
class JobPartition:
    """The jobs of one partition.

    Parameters
    ----------
    epoch : int
        Of this owner.
    at_s : float
        Log time at `since_s`.
    since_s : float
        Monotonic time.
    jobs : dict of str to Job
    proved_s : float
        Latest log time at which this VM is known to have owned the partition.
    keys : dict of str to str
        Job ids by idempotency key.
    open_ids : dict of str to None
        Jobs that are not over, the oldest first.
    """

    epoch: int
    at_s: float
    since_s: float
    proved_s: float
    jobs: dict[str, Job] = field(default_factory=dict)
    keys: dict[str, str] = field(default_factory=dict)
    open_ids: dict[str, None] = field(default_factory=dict)

    def log_time_s(self, now: float) -> float:
        """Return the log time at a monotonic time."""
        return self.at_s + now - self.since_s

    def accept(self, accepted: JobAccepted, at_s: float) -> Job:
        """Take in a job that is in the log."""
        job = Job(accepted, at_s, epoch=self.epoch)
        self.jobs[job.id] = job
        self.open_ids[job.id] = None
        if accepted.key:
            self.keys[accepted.key] = job.id
        return job

    def apply(
        self, entry: JobCancelled | TaskIntended | TaskEnded, at_s: float
    ) -> None:
        """Take in an entry of a job that is in the log."""
        job = self.jobs.get(entry.job_id)
        if job is None:
            return
        job.apply(entry, at_s)
        if job.is_over:
            self.open_ids.pop(job.id, None)

    def purge(self, now_s: float) -> None:
        """Forget jobs past their retention time, at a log time."""
        past = [
            job
            for job in self.jobs.values()
            if is_past(job.ended_at_s, JOB_RETENTION_S, now_s)
        ]
        for job in past:
            del self.jobs[job.id]
            self.keys.pop(job.accepted.key, None)


def rebuild(replay: Replay) -> JobPartition:
    """Return the jobs that a replayed log holds.

    Parameters
    ----------
    replay : Replay
    """
    part = JobPartition(replay.epoch, replay.at_s, replay.since_s, replay.at_s)
    for timed in replay.entries:
        entry = timed.entry
        if isinstance(entry, JobAccepted):
            part.accept(entry, timed.at_s)
        elif isinstance(entry, TaskIntended | TaskEnded | JobCancelled):
            part.apply(entry, timed.at_s)
    for job in part.jobs.values():
        job.mark_recovered(replay.at_s)
    return part


def job_partition(job_id: str) -> int | None:
    """Return the partition that a job id names, or None for another id."""
    head = job_id.split("-", 1)[0]
    return int(head) if len(head) == 4 and head.isdigit() else None


def new_job_id(partition: int, unique: str) -> str:
    """Return the id of a new job of a partition."""
    return f"{partition:04d}-{unique}"


@dataclass(frozen=True, slots=True)
class FoundJob:
    """A job with its partition."""

    part: JobPartition
    job: Job


class JobBook:
    """All jobs that this VM owns, and which of them have to be looked at."""

    def __init__(self) -> None:
        self.partitions: dict[int, JobPartition] = {}
        self._changed: dict[str, None] = {}

    @property
    def open_count(self) -> int:
        """Number of jobs that are not over."""
        return sum(len(part.open_ids) for part in self.partitions.values())

    def find(self, job_id: str) -> FoundJob | None:
        """Return a job that is owned here."""
        partition = job_partition(job_id)
        part = None if partition is None else self.partitions.get(partition)
        job = None if part is None else part.jobs.get(job_id)
        return None if part is None or job is None else FoundJob(part, job)

    def apply(
        self, entry: JobCancelled | TaskIntended | TaskEnded, at_s: float
    ) -> None:
        """Take in an entry that is in the log."""
        found = self.find(entry.job_id)
        if found is not None:
            found.part.apply(entry, at_s)
            self.mark_changed([entry.job_id])

    def mark_changed(self, job_ids: Iterable[str]) -> None:
        """Have jobs looked at."""
        self._changed.update(dict.fromkeys(job_ids))

    def take_changed(self) -> tuple[str, ...]:
        """Return the jobs to look at, in the order in which they were marked."""
        changed = tuple(self._changed)
        self._changed.clear()
        return changed
