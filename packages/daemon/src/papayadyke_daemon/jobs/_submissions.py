"""Jobs on their way into the log, and whoever waits for them."""

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
from papayadyke_daemon.jobs._book import JobBook, job_partition, new_job_id
from papayadyke_daemon.jobs._models import JobModel
from papayadyke_daemon.jobs._types import JobAnswer

JobResult = Result[JobAnswer, Refusal]
Reply = Callable[[JobResult], None]


@dataclass(slots=True)
class _Submission:
    accepted: JobAccepted
    replies: list[Reply] = field(default_factory=list)

    def tell(self, result: JobResult) -> None:
        """Reply to everyone who waits, once."""
        replies, self.replies = self.replies, []
        for reply in replies:
            reply(result)


class Submissions:
    """The jobs whose append is not settled.

    Parameters
    ----------
    book : JobBook
    appender : Appender
    find_workload : callable
    max_jobs : int
        Unfinished jobs that this VM takes.
    """

    def __init__(
        self,
        book: JobBook,
        appender: Appender,
        find_workload: Callable[[str], Workload | None],
        max_jobs: int,
    ) -> None:
        self._book = book
        self._appender = appender
        self._find_workload = find_workload
        self._max_jobs = max_jobs
        self._waiting: dict[str, _Submission] = {}

    def submit(self, model: JobModel, reply: Reply) -> None:
        """Have a job appended; reply once what is known of it can be told."""
        workload = self._find_workload(model.workload)
        if workload is None:
            reply(Err(refusals.unknown_workload(model.workload)))
            return
        partition = self._choose_partition(model.idempotency_key)
        if partition is None:
            reply(Err(refusals.no_home(Verdict.NOT_RUN)))
            return
        epoch = self._book.partitions[partition].epoch
        job_id = new_job_id(partition, uuid.uuid4().hex)
        accepted = _accepted(model, workload, job_id, epoch)
        if accepted.key and self._is_repeat(partition, accepted, reply):
            return
        if entry_size(accepted) > MAX_ENTRIES_BYTES:
            reply(Err(refusals.too_large(MAX_ENTRIES_BYTES)))
        elif self._book.open_count + len(self._waiting) >= self._max_jobs:
            reply(Err(refusals.too_many()))
        else:
            self._append(partition, accepted, reply)

    def drop(self, partition: int) -> None:
        """Forget the jobs of a partition; reply that they may be in its log."""
        for name, submission in list(self._waiting.items()):
            if job_partition(submission.accepted.job_id) == partition:
                del self._waiting[name]
                submission.tell(Err(refusals.may_be_stored()))

    def drop_all(self) -> None:
        """Forget all jobs; reply that they may be in the log."""
        for submission in self._waiting.values():
            submission.tell(Err(refusals.may_be_stored()))
        self._waiting.clear()

    def _choose_partition(self, key: str | None) -> int | None:
        partitions = self._book.partitions
        if key is not None:
            partition = partition_of(key)
            return partition if partition in partitions else None
        # One partition for all jobs without a key: their appends share segments.
        return min(partitions, default=None)

    def _is_repeat(self, partition: int, accepted: JobAccepted, reply: Reply) -> bool:
        """Reply to a job whose key was seen before."""
        part = self._book.partitions[partition]
        known = part.jobs.get(part.keys.get(accepted.key, ""))
        if known is not None:
            shown = Ok(JobAnswer(known.id, job_view(known)))
            same = known.accepted.digest == accepted.digest
            reply(shown if same else Err(refusals.key_conflict()))
            return True
        pending = self._waiting.get(accepted.key)
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
        self._waiting[accepted.key or accepted.job_id] = submission
        self._appender.append(
            partition,
            (accepted,),
            lambda result, at_s: self._settled(partition, submission, result, at_s),
            gives_up=True,
        )

    def _settled(
        self,
        partition: int,
        submission: _Submission,
        result: AppendResult,
        at_s: float,
    ) -> None:
        if result is AppendResult.UNKNOWN:
            submission.tell(Err(refusals.may_be_stored()))
            return
        accepted = submission.accepted
        self._waiting.pop(accepted.key or accepted.job_id, None)
        if result is not AppendResult.DURABLE:
            submission.tell(Err(refusals.not_stored()))
            return
        part = self._book.partitions.get(partition)
        if part is None:
            # It is in the log, and the successor runs it.
            submission.tell(Err(refusals.may_be_stored()))
            return
        job = part.accept(accepted, at_s)
        self._book.mark_changed([job.id])
        submission.tell(Ok(JobAnswer(job.id, job_view(job), is_new=True)))


def _accepted(
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
