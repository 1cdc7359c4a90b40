"""Submitted jobs until their append to the log is settled."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from papayadyke_core.idempotency import body_digest
from papayadyke_core.jobs import job_view
from papayadyke_core.journal import (
    MAX_ENTRIES_BYTES,
    AppendResult,
    JobAccepted,
    entry_size,
    partition_of,
)
from papayadyke_core.verdicts import Refusal, Verdict
from papayadyke_core.workloads import Workload
from papayadyke_daemon.jobs import _refusals as refusals
from papayadyke_daemon.jobs._appender import Appender
from papayadyke_daemon.jobs._models import JobModel
from papayadyke_daemon.jobs._table import JobTable, job_partition, new_job_id
from papayadyke_daemon.jobs._types import JobStatus

JobResult = Result[JobStatus, Refusal]
Reply = Callable[[JobResult], None]


@dataclass(slots=True)
class _Submission:
    accepted: JobAccepted
    replies: list[Reply] = field(default_factory=list)

    def reply_to_all(self, result: JobResult) -> None:
        """Send the result to all waiting callers, once."""
        replies, self.replies = self.replies, []
        for reply in replies:
            reply(result)


class Submissions:
    """Submitted jobs whose append is not settled yet.

    Parameters
    ----------
    table : JobTable
    appender : Appender
    find_workload : callable
    max_jobs : int
        Maximum number of unfinished jobs on this VM.
    """

    def __init__(
        self,
        table: JobTable,
        appender: Appender,
        find_workload: Callable[[str], Workload | None],
        max_jobs: int,
    ) -> None:
        self._table = table
        self._appender = appender
        self._find_workload = find_workload
        self._max_jobs = max_jobs
        self._pending: dict[str, _Submission] = {}

    def submit(self, model: JobModel, reply: Reply) -> None:
        """Append a job to the log; reply with the job or a refusal."""
        workload = self._find_workload(model.workload)
        if workload is None:
            reply(Err(refusals.unknown_workload(model.workload)))
            return
        partition = self._choose_partition(model.idempotency_key)
        if partition is None:
            reply(Err(refusals.owner_unreachable(Verdict.NOT_RUN)))
            return
        epoch = self._table.partitions[partition].epoch
        job_id = new_job_id(partition, uuid.uuid4().hex)
        accepted = _build_accepted(model, workload, job_id, epoch)
        if accepted.key and self._reply_if_repeated(partition, accepted, reply):
            return
        if entry_size(accepted) > MAX_ENTRIES_BYTES:
            reply(Err(refusals.too_large(MAX_ENTRIES_BYTES)))
        elif self._table.open_count + len(self._pending) >= self._max_jobs:
            reply(Err(refusals.too_many_jobs()))
        else:
            self._append(partition, accepted, reply)

    def drop(self, partition: int) -> None:
        """Discard the submissions to a partition; reply that they may be stored."""
        for submission_id, submission in list(self._pending.items()):
            if job_partition(submission.accepted.job_id) == partition:
                del self._pending[submission_id]
                submission.reply_to_all(Err(refusals.may_be_stored()))

    def drop_all(self) -> None:
        """Discard all submissions; reply that they may be stored."""
        for submission in self._pending.values():
            submission.reply_to_all(Err(refusals.may_be_stored()))
        self._pending.clear()

    def _choose_partition(self, key: str | None) -> int | None:
        partitions = self._table.partitions
        if key is not None:
            partition = partition_of(key)
            return partition if partition in partitions else None
        # All jobs without a key use one partition, so their appends share segments.
        return min(partitions, default=None)

    def _reply_if_repeated(
        self, partition: int, accepted: JobAccepted, reply: Reply
    ) -> bool:
        """Reply to a job whose key was used before; return whether it was."""
        partition_jobs = self._table.partitions[partition]
        existing = partition_jobs.jobs.get(partition_jobs.keys.get(accepted.key, ""))
        if existing is not None:
            answer = Ok(JobStatus(existing.id, job_view(existing)))
            is_same_body = existing.accepted.digest == accepted.digest
            reply(answer if is_same_body else Err(refusals.key_conflict()))
            return True
        pending = self._pending.get(accepted.key)
        if pending is None:
            return False
        if pending.accepted.digest != accepted.digest:
            reply(Err(refusals.key_conflict()))
        elif pending.replies:
            pending.replies.append(reply)
        else:
            reply(Err(refusals.may_be_stored()))
        return True

    def _append(self, partition: int, accepted: JobAccepted, reply: Reply) -> None:
        submission = _Submission(accepted, [reply])
        self._pending[accepted.key or accepted.job_id] = submission
        self._appender.append(
            partition,
            (accepted,),
            lambda result, at_s: self._settled(partition, submission, result, at_s),
            may_expire=True,
        )

    def _settled(
        self,
        partition: int,
        submission: _Submission,
        result: AppendResult,
        at_s: float,
    ) -> None:
        if result is AppendResult.UNKNOWN:
            submission.reply_to_all(Err(refusals.may_be_stored()))
            return
        accepted = submission.accepted
        self._pending.pop(accepted.key or accepted.job_id, None)
        if result is not AppendResult.DURABLE:
            submission.reply_to_all(Err(refusals.not_stored()))
            return
        partition_jobs = self._table.partitions.get(partition)
        if partition_jobs is None:
            # The job is in the log, so the successor runs it.
            submission.reply_to_all(Err(refusals.may_be_stored()))
            return
        job = partition_jobs.accept(accepted, at_s)
        self._table.mark_changed([job.id])
        submission.reply_to_all(Ok(JobStatus(job.id, job_view(job), is_new=True)))


def _build_accepted(
    model: JobModel, workload: Workload, job_id: str, epoch: int
) -> JobAccepted:
    payloads = model.payloads()
    body = msgspec.msgpack.encode((payloads, model.gang, model.deadline_seconds))
    return JobAccepted(
        job_id=job_id,
        workload=workload.name,
        payloads=payloads,
        gang=model.gang,
        deadline_s=model.deadline_seconds,
        idempotent=workload.idempotent,
        max_attempts=workload.max_attempts,
        epoch=epoch,
        key=model.idempotency_key or "",
        digest=body_digest(model.workload, body),
    )
