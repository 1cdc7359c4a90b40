"""Decode the jobs that the store holds when a term begins."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from papayadyke_core.dispatch import (
    FINAL_STATES,
    JobProgress,
    StagedJobSpec,
    decode_progress,
)
from papayadyke_daemon.edge._early_cancels import decode_cancel
from papayadyke_daemon.edge._keys import (
    CANCEL_PREFIX,
    JOB_PREFIX,
    PROGRESS_PREFIX,
    decode_job,
)
from papayadyke_daemon.edge._logs import log_event
from papayadyke_daemon.edge._ports import Record

LOG = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class StoredJob:
    """A stored job that has not ended.

    Parameters
    ----------
    spec : StagedJobSpec
    progress : JobProgress or None
        None if no progress is stored yet.
    is_cancelled : bool
    """

    spec: StagedJobSpec
    progress: JobProgress | None
    is_cancelled: bool


@dataclass(slots=True)
class StoredJobs:
    """What the store holds of all jobs.

    Parameters
    ----------
    open_jobs : list of StoredJob
    ended : dict of str to JobProgress
        Final progress of the jobs that have ended.
    revisions : dict of str to int
        Revision of the progress of each open job that has some.
    """

    open_jobs: list[StoredJob] = field(default_factory=list)
    ended: dict[str, JobProgress] = field(default_factory=dict)
    revisions: dict[str, int] = field(default_factory=dict)


def read_stored_jobs(
    intake: Iterable[Record], progress: Iterable[Record]
) -> StoredJobs:
    """Decode the records of accepted jobs, cancellations and progress.

    A job whose progress is unreadable is left out, since its tasks may be done.

    Parameters
    ----------
    intake, progress : iterable of Record
    """
    stored = StoredJobs()
    progress_by_job: dict[str, JobProgress] = {}
    unreadable: set[str] = set()
    for record in progress:
        job_id = record.key.removeprefix(PROGRESS_PREFIX)
        try:
            job_progress = decode_progress(record.value or b"")
        except (msgspec.DecodeError, ValueError) as exc:
            unreadable.add(job_id)
            log_event(
                LOG,
                "decider: unreadable progress; the job is not run",
                request=job_id,
                why=str(exc),
            )
            continue
        if job_progress.state in FINAL_STATES:
            stored.ended[job_id] = job_progress
        else:
            stored.revisions[job_id] = record.revision
            progress_by_job[job_id] = job_progress
    records = list(intake)
    cancels = {
        record.key.removeprefix(CANCEL_PREFIX): decode_cancel(record)
        for record in records
        if record.key.startswith(CANCEL_PREFIX)
    }
    for record in records:
        if not record.key.startswith(JOB_PREFIX):
            continue
        job_id = record.key.removeprefix(JOB_PREFIX)
        if job_id in stored.ended or job_id in unreadable:
            continue
        spec = decode_job_record(record)
        if spec is not None:
            cancel = cancels.get(spec.job_id)
            is_cancelled = cancel is not None and cancel.covers(spec.team)
            stored.open_jobs.append(
                StoredJob(spec, progress_by_job.get(spec.job_id), is_cancelled)
            )
    return stored


def decode_job_record(record: Record) -> StagedJobSpec | None:
    """Return the job in a record; None, and a log line, if it is unreadable."""
    try:
        return decode_job(record.value or b"")
    except (msgspec.DecodeError, ValueError) as exc:
        log_event(
            LOG,
            "decider: unreadable job; it is not run",
            request=record.key.removeprefix(JOB_PREFIX),
            revision=record.revision,
            why=str(exc),
        )
        return None
