"""A job on its way into the log, and whoever waits for it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from result import Result

from papayadyke_core.idempotency import body_digest
from papayadyke_core.journal import JobAccepted
from papayadyke_core.verdicts import Refusal
from papayadyke_core.workloads import Workload
from papayadyke_daemon.jobs._models import JobModel
from papayadyke_daemon.jobs._types import JobAnswer

JobResult = Result[JobAnswer, Refusal]
Reply = Callable[[JobResult], None]


@dataclass(slots=True)
class Submission:
    """A job whose append is not settled."""

    accepted: JobAccepted
    replies: list[Reply] = field(default_factory=list)

    def tell(self, result: JobResult) -> None:
        """Reply to everyone who waits, once."""
        replies, self.replies = self.replies, []
        for reply in replies:
            reply(result)


@dataclass(slots=True)
class Waiter:
    """A caller that waits for a job to end, until a monotonic time."""

    job_id: str
    due_s: float
    reply: Reply


def make_accepted(
    model: JobModel, workload: Workload, job_id: str, epoch: int
) -> JobAccepted:
    """Return the entry that accepts a job."""
    payloads = model.payloads()
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
        digest=job_digest(model, payloads),
    )


def job_digest(model: JobModel, payloads: tuple[bytes, ...]) -> bytes:
    """Return the digest by which a repeated job is recognised."""
    body = msgspec.msgpack.encode((payloads, model.gang, model.deadline_seconds))
    return body_digest(model.workload, body)
