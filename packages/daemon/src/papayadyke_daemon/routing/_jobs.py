"""Routing of job calls to the VM that owns the partition of the job."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from msgspec import Struct
from result import Err, Ok, Result

from papayadyke_core.journal import partition_of
from papayadyke_core.verdicts import Reason, Refusal, Verdict
from papayadyke_daemon.callers import JobOwner
from papayadyke_daemon.jobs import JobModel, JobStatus, job_partition
from papayadyke_daemon.peers import Handler, PeerEndpoint
from papayadyke_daemon.routing._messages import (
    CancelJob,
    JobReply,
    ShowJob,
    SubmitJob,
    decode_refusal,
    encode_refusal,
)
from papayadyke_daemon.routing._partition_router import (
    PartitionRouter,
    Route,
    RouteKind,
)

CALL_TIMEOUT_S = 5.0
MAX_HOPS = 2
RETRY_AFTER_S = 1.0

JobResult = Result[JobStatus, Refusal]


class RoutedJobs:
    """Accept, show and cancel jobs at the VM that owns their partition.

    Parameters
    ----------
    local : JobOwner
        Serves the jobs whose partitions this VM owns.
    router : PartitionRouter
    endpoint : callable
        Returns the `PeerEndpoint` for calls to peers.
    """

    def __init__(
        self,
        *,
        local: JobOwner,
        router: PartitionRouter,
        endpoint: Callable[[], PeerEndpoint],
    ) -> None:
        self.local = local
        self.router = router
        self.endpoint = endpoint

    def make_handlers(self) -> list[Handler]:
        """Return the handlers of job calls from peers."""
        return [
            Handler(SubmitJob, self._serve_submit, is_slow=True),
            Handler(ShowJob, self._serve_show, is_slow=True),
            Handler(CancelJob, self._serve_cancel, is_slow=True),
        ]

    def submit(self, model: JobModel) -> JobResult:
        """Submit a job, and return once it is durable."""
        return self._submit(model, MAX_HOPS)

    def get(self, job_id: str, *, wait_s: float = 0.0) -> JobResult:
        """Return a job, waiting up to `wait_s` seconds for its end."""
        return self._show(ShowJob(job_id, wait_s, MAX_HOPS))

    def cancel(self, job_id: str, *, wait_s: float = 0.0) -> JobResult:
        """Cancel a job, and return it with the tasks that had run."""
        return self._cancel(CancelJob(job_id, wait_s, MAX_HOPS))

    def _submit(self, model: JobModel, hops: int) -> JobResult:
        route = self._route_submission(model)
        if route.kind is RouteKind.LOCAL:
            return self.local.submit(model)
        message = SubmitJob(model.model_dump_json().encode(), hops - 1)
        return self._call(route, message, hops, 0.0, Verdict.NOT_RUN)

    def _show(self, message: ShowJob) -> JobResult:
        route = self._route_job(message.job_id)
        if route is None:
            return self.local.get(message.job_id)
        if route.kind is RouteKind.LOCAL:
            return self.local.get(message.job_id, wait_s=message.wait_s)
        forwarded = ShowJob(message.job_id, message.wait_s, message.hops - 1)
        return self._call(
            route, forwarded, message.hops, message.wait_s, Verdict.MAY_HAVE_RUN
        )

    def _cancel(self, message: CancelJob) -> JobResult:
        route = self._route_job(message.job_id)
        if route is None:
            return self.local.cancel(message.job_id)
        if route.kind is RouteKind.LOCAL:
            return self.local.cancel(message.job_id, wait_s=message.wait_s)
        forwarded = CancelJob(message.job_id, message.wait_s, message.hops - 1)
        return self._call(
            route, forwarded, message.hops, message.wait_s, Verdict.MAY_HAVE_RUN
        )

    def _route_submission(self, model: JobModel) -> Route:
        if model.idempotency_key is not None:
            return self.router.find_route(partition_of(model.idempotency_key))
        if self.router.owned_partitions():
            return Route(RouteKind.LOCAL)
        snapshot = self.router.snapshot()
        live = () if snapshot is None else snapshot.live()
        vms = tuple(member.vm for member in live if member.vm != self.router.vm)
        return Route(RouteKind.PEER, vms[:MAX_HOPS])

    def _route_job(self, job_id: str) -> Route | None:
        partition = job_partition(job_id)
        return None if partition is None else self.router.find_route(partition)

    def _call(
        self,
        route: Route,
        message: Struct,
        hops: int,
        wait_s: float,
        unreached_verdict: Verdict,
    ) -> JobResult:
        for vm in route.vms if hops > 0 else ():
            reply = self.endpoint().call(
                vm, message, JobReply, timeout_s=CALL_TIMEOUT_S + wait_s
            )
            if isinstance(reply, Ok):
                return _decode_reply(reply.ok_value)
            if reply.err_value.verdict is Verdict.MAY_HAVE_RUN:
                return Err(_refuse_unreachable(Verdict.MAY_HAVE_RUN))
        return Err(_refuse_unreachable(unreached_verdict))

    def _serve_submit(self, message: SubmitJob, sender: str) -> JobReply:
        model = JobModel.model_validate_json(message.model)
        return _encode_reply(self._submit(model, message.hops))

    def _serve_show(self, message: ShowJob, sender: str) -> JobReply:
        return _encode_reply(self._show(message))

    def _serve_cancel(self, message: CancelJob, sender: str) -> JobReply:
        return _encode_reply(self._cancel(message))


def _encode_reply(result: JobResult) -> JobReply:
    if isinstance(result, Err):
        return JobReply("", b"", False, encode_refusal(result.err_value))
    job = result.ok_value
    return JobReply(job.job_id, msgspec.json.encode(job.view), job.is_new, None)


def _decode_reply(reply: JobReply) -> JobResult:
    if reply.refusal is not None:
        return Err(decode_refusal(reply.refusal))
    view = msgspec.json.decode(reply.view)
    return Ok(JobStatus(reply.job_id, view, is_new=reply.is_new))


def _refuse_unreachable(verdict: Verdict) -> Refusal:
    return Refusal(
        verdict,
        Reason.KEY_HOME_UNREACHABLE,
        "The VM that keeps this job can not be reached.",
        retry_after_s=RETRY_AFTER_S,
    )
