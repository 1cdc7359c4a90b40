"""Jobs of the partitions that this VM owns, by id and by idempotency key."""

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
    is_retention_over,
)
from papayadyke_daemon.journal import Replay


@dataclass(slots=True)
class PartitionJobs:
    """The jobs of one partition.

    Parameters
    ----------
    epoch : int
        Epoch of this owner.
    at_s : float
        Log time at `monotonic_s`, in seconds.
    monotonic_s : float
        Monotonic time in seconds.
    jobs : dict of str to Job
    proved_s : float
        Latest log time in seconds at which this VM provably owned the partition.
    keys : dict of str to str
        Job ids by idempotency key.
    open_ids : dict of str to None
        Ids of unfinished jobs, the oldest first.
    """

    epoch: int
    at_s: float
    monotonic_s: float
    proved_s: float
    jobs: dict[str, Job] = field(default_factory=dict)
    keys: dict[str, str] = field(default_factory=dict)
    open_ids: dict[str, None] = field(default_factory=dict)

    def log_time_s(self, now: float) -> float:
        """Return the log time at a monotonic time, both in seconds."""
        return self.at_s + now - self.monotonic_s

    def accept(self, accepted: JobAccepted, at_s: float) -> Job:
        """Add a job whose acceptance is in the log."""
        job = Job(accepted, at_s, epoch=self.epoch)
        self.jobs[job.id] = job
        self.open_ids[job.id] = None
        if accepted.key:
            self.keys[accepted.key] = job.id
        return job

    def apply(
        self, entry: JobCancelled | TaskIntended | TaskEnded, at_s: float
    ) -> None:
        """Apply an entry from the log to its job."""
        job = self.jobs.get(entry.job_id)
        if job is None:
            return
        job.apply(entry, at_s)
        if job.is_finished:
            self.open_ids.pop(job.id, None)

    def purge(self, now_s: float) -> None:
        """Remove jobs whose retention time has passed at a log time in seconds."""
        expired = [
            job
            for job in self.jobs.values()
            if is_retention_over(job.ended_at_s, JOB_RETENTION_S, now_s)
        ]
        for job in expired:
            del self.jobs[job.id]
            self.keys.pop(job.accepted.key, None)


def rebuild_jobs(replay: Replay) -> PartitionJobs:
    """Rebuild the jobs of a partition from its replayed log.

    Parameters
    ----------
    replay : Replay
    """
    partition_jobs = PartitionJobs(
        replay.epoch, replay.at_s, replay.monotonic_s, replay.at_s
    )
    for timed in replay.entries:
        entry = timed.entry
        if isinstance(entry, JobAccepted):
            partition_jobs.accept(entry, timed.at_s)
        elif isinstance(entry, TaskIntended | TaskEnded | JobCancelled):
            partition_jobs.apply(entry, timed.at_s)
    for job in partition_jobs.jobs.values():
        job.mark_recovered(replay.at_s)
    return partition_jobs


def job_partition(job_id: str) -> int | None:
    """Return the partition encoded in a job id, or None for a malformed id."""
    digits = job_id.split("-", 1)[0]
    return int(digits) if len(digits) == 4 and digits.isdigit() else None


def new_job_id(partition: int, unique: str) -> str:
    """Return the id for a new job of a partition."""
    return f"{partition:04d}-{unique}"


@dataclass(frozen=True, slots=True)
class OwnedJob:
    """An owned job with the jobs of its partition."""

    partition_jobs: PartitionJobs
    job: Job


class JobTable:
    """All jobs that this VM owns, and which of them have changed."""

    def __init__(self) -> None:
        self.partitions: dict[int, PartitionJobs] = {}
        self._changed: dict[str, None] = {}

    @property
    def open_count(self) -> int:
        """Number of unfinished jobs."""
        return sum(
            len(partition_jobs.open_ids) for partition_jobs in self.partitions.values()
        )

    def find(self, job_id: str) -> OwnedJob | None:
        """Return a job by its id, or None if this VM does not own it."""
        partition = job_partition(job_id)
        partition_jobs = None if partition is None else self.partitions.get(partition)
        job = None if partition_jobs is None else partition_jobs.jobs.get(job_id)
        return (
            None
            if partition_jobs is None or job is None
            else OwnedJob(partition_jobs, job)
        )

    def apply(
        self, entry: JobCancelled | TaskIntended | TaskEnded, at_s: float
    ) -> None:
        """Apply an entry from the log, and mark its job as changed."""
        owned = self.find(entry.job_id)
        if owned is not None:
            owned.partition_jobs.apply(entry, at_s)
            self.mark_changed([entry.job_id])

    def mark_changed(self, job_ids: Iterable[str]) -> None:
        """Mark jobs to be advanced by the tracker."""
        self._changed.update(dict.fromkeys(job_ids))

    def pop_changed(self) -> tuple[str, ...]:
        """Remove and return the changed job ids in the order of their marking."""
        changed = tuple(self._changed)
        self._changed.clear()
        return changed
