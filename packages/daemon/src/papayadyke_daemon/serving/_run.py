"""Execution of a synchronous request, with its retries and its verdict."""

from __future__ import annotations

import logging
import queue
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from result import Err, Ok, Result

from papayadyke_clients.upstream import (
    Answered,
    CallResult,
    Failed,
    Lost,
    NotStarted,
    Restarted,
    Running,
    Stopped,
    TaskCall,
)
from papayadyke_core.ownership import StartPermit
from papayadyke_core.scheduling import Outcome, Refuse, Request
from papayadyke_core.verdicts import Refusal, Verdict
from papayadyke_core.workloads import Config, Workload
from papayadyke_daemon.fleet import Fleet, UpstreamAgent
from papayadyke_daemon.scheduler import Finish, Placed, SchedulerLoop, Submit
from papayadyke_daemon.serving import _refusals as refusals
from papayadyke_daemon.serving._ids import IdSource

LOG = logging.getLogger("papayadyke.serving")
# Time without an answer after which the outcome is queried on a new connection.
RESOLVE_AFTER_S = 2.0
MAX_ATTEMPTS = 8
RESOLVE_WAIT_S = 5.0
STOP_GRACE_S = 2.0
RESOLVE_PAUSE_S = 0.1


def _ignore_placement(upstream: str) -> None:
    """Do nothing."""


@dataclass(frozen=True, slots=True)
class RunOrder:
    """One validated synchronous request.

    Parameters
    ----------
    request_id : str
        Id given by the caller, or a generated one.
    workload : str
    payload : bytes
    content_type : str
    deadline_s : float
        Time on this VM's monotonic clock by which the caller wants its answer.
    start_by_s : float or None, default=None
        Time on this VM's monotonic clock by which the request has to start here,
        if that is before its deadline; after it, the request is refused as expired.
    base_id : str, default=""
        Unique id from which the ids of the attempts are derived; generated if
        empty.
    on_placed : callable, optional
        Called before each start is sent, with the name of the upstream.
    """

    request_id: str
    workload: str
    payload: bytes
    content_type: str
    deadline_s: float
    start_by_s: float | None = None
    base_id: str = ""
    on_placed: Callable[[str], None] = _ignore_placement


@dataclass(frozen=True, slots=True)
class Answer:
    """Complete answer of an upstream, with the attempts and times that it took.

    Parameters
    ----------
    status : int
        HTTP status.
    content_type : str
    body : bytes
    upstream : str
    attempts : int
        Number of starts that were not refused.
    wait_s : float
        Time in seconds before the last attempt was sent, with earlier attempts.
    run_s : float
        Time in seconds that the last attempt took.
    """

    status: int
    content_type: str
    body: bytes
    upstream: str
    attempts: int
    wait_s: float
    run_s: float


class Runner(Protocol):
    """Interface for running a synchronous request, on this VM or another."""

    ids: IdSource
    clock: Callable[[], float]

    def run(self, order: RunOrder) -> Result[Answer, Refusal]:
        """Run a request until its complete answer, or return a refusal."""


@dataclass(slots=True)
class _Progress:
    """Progress of a request over its attempts."""

    req: Request
    workload: Workload
    started_s: float
    attempts: int = 0
    may_have_run: bool = False
    upstream: str = ""
    run_s: float = 0.0
    limit_s: float = 0.0
    avoid: tuple[str, ...] = ()


class RunService:
    """Run synchronous requests; `run` is called from the listener's threads.

    Parameters
    ----------
    loop : SchedulerLoop
    fleet : Fleet
    ids : IdSource
    config : callable
        Returns the current configuration.
    task_lease_s : float
        Lease of each task, in seconds.
    clock : callable, default=time.monotonic
    """

    def __init__(
        self,
        *,
        loop: SchedulerLoop,
        fleet: Fleet,
        ids: IdSource,
        config: Callable[[], Config],
        task_lease_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.loop = loop
        self.fleet = fleet
        self.ids = ids
        self.config = config
        self.task_lease_s = task_lease_s
        self.clock = clock

    def run(self, order: RunOrder) -> Result[Answer, Refusal]:
        """Run a request until its complete answer, or return a refusal.

        Parameters
        ----------
        order : RunOrder

        Returns
        -------
        result : Result of Answer or Refusal
            The verdict of a refusal is `NOT_RUN` only if no start of the
            request has taken or will take effect.
        """
        workload = self.config().workloads.get(order.workload)
        if workload is None:
            return Err(refusals.refuse_unknown(order.workload))
        req = Request(
            id=order.base_id or self.ids.make(),
            workload=order.workload,
            deadline_s=(
                order.deadline_s if order.start_by_s is None else order.start_by_s
            ),
        )
        progress = _Progress(req=req, workload=workload, started_s=self.clock())
        while True:
            result = self._attempt(order, progress)
            if result is not None:
                return result
            retry = replace(
                progress.req,
                attempt=progress.req.attempt + 1,
                avoid=progress.avoid,
            )
            progress.req = retry

    def _attempt(
        self, order: RunOrder, progress: _Progress
    ) -> Result[Answer, Refusal] | None:
        """Make one attempt; return None if another one has to follow."""
        placed = self._wait_for_placement(progress)
        if isinstance(placed, Refusal):
            return Err(_set_verdict(placed, progress))
        progress.upstream = placed.start.upstream
        call_started_s = self.clock()
        outcome = self._call(order, progress, placed)
        progress.run_s = self.clock() - call_started_s
        return self._conclude(placed, progress, outcome)

    def _wait_for_placement(self, progress: _Progress) -> Placed | Refusal:
        req = progress.req
        replies: queue.SimpleQueue[Placed | Refuse] = queue.SimpleQueue()
        self.loop.send(Submit(req, replies.put))
        try:
            reply = replies.get(timeout=max(req.deadline_s - self.clock(), 0.0))
        except queue.Empty:
            cancel_result = self.loop.cancel(req.id)
            if cancel_result.never_ran:
                return refusals.refuse_expired()
            reply = replies.get()
        return reply.refusal if isinstance(reply, Refuse) else reply

    def _call(self, order: RunOrder, progress: _Progress, placed: Placed) -> CallResult:
        remaining_s = order.deadline_s - self.clock()
        if remaining_s <= 0.0:
            return NotStarted("the deadline has passed")
        limit_s = min(remaining_s, progress.workload.timeout_s)
        progress.limit_s = limit_s
        resolve_until_s = self.clock() + limit_s
        agent = self.fleet.find(placed.start.upstream)
        permit = None if agent is None else agent.permit_start(placed.token)
        if agent is None or permit is None:
            return NotStarted("the session at the upstream has ended")
        order.on_placed(placed.start.upstream)
        call = self._make_call(order, permit, placed)
        outcome = agent.client.run(call, timeout_s=min(limit_s, RESOLVE_AFTER_S))
        if isinstance(outcome, Lost):
            outcome = self._resolve(agent, call, permit.boot_id, resolve_until_s)
        if isinstance(outcome, NotStarted):
            agent.record_start_refusal(permit.token, outcome.detail)
        return outcome

    def _make_call(
        self, order: RunOrder, permit: StartPermit, placed: Placed
    ) -> TaskCall:
        return TaskCall(
            task_id=placed.start.task_id,
            request_id=order.request_id,
            workload=order.workload,
            demand=placed.start.demand,
            token=permit.token,
            start_before_s=permit.start_before_s,
            lease_s=self.task_lease_s,
            payload=order.payload,
            content_type=order.content_type,
        )

    def _resolve(
        self,
        agent: UpstreamAgent,
        call: TaskCall,
        boot_id: str,
        resolve_until_s: float,
    ) -> CallResult:
        """Query the outcome of a start that got no answer on its connection."""
        outcome: CallResult = Lost("not resolved")
        while True:
            wait_s = min(max(resolve_until_s - self.clock(), 0.0), RESOLVE_WAIT_S)
            outcome = agent.client.resolve(call.task_id, boot_id=boot_id, wait_s=wait_s)
            if not isinstance(outcome, Running | Lost):
                # A new connection got the answer that the old ones did not.
                agent.client.replace_connections()
                return outcome
            if self.clock() >= resolve_until_s:
                break
            if isinstance(outcome, Lost):
                time.sleep(RESOLVE_PAUSE_S)
        if isinstance(outcome, Running):
            agent.client.stop(call.task_id)
            outcome = agent.client.resolve(
                call.task_id, boot_id=boot_id, wait_s=STOP_GRACE_S
            )
        if isinstance(outcome, Running | Lost):
            agent.track_unresolved(call.task_id, call.token, call.start_before_s)
            return Lost("no answer about the task")
        return outcome

    def _conclude(
        self, placed: Placed, progress: _Progress, outcome: CallResult
    ) -> Result[Answer, Refusal] | None:
        task_id = placed.start.task_id
        if not isinstance(outcome, NotStarted):
            progress.attempts += 1
        if isinstance(outcome, Answered):
            self.loop.send(Finish(task_id, Outcome.ANSWERED, progress.run_s))
            return Ok(self._make_answer(progress, outcome))
        if isinstance(outcome, Lost):
            # The reservation stays until the task neither runs nor can start.
            progress.may_have_run = True
            return Err(refusals.refuse_lost(progress.upstream))
        if isinstance(outcome, NotStarted):
            self.loop.send(Finish(task_id, Outcome.NOT_STARTED))
            return self._retry_or_refuse(
                progress, refusals.refuse_no_start(outcome.detail)
            )
        progress.may_have_run = True
        if isinstance(outcome, Stopped):
            self.loop.send(Finish(task_id, Outcome.STOPPED, progress.run_s))
            return self._conclude_stopped(progress)
        progress.avoid = (*progress.avoid, progress.upstream)
        if isinstance(outcome, Restarted):
            self.loop.send(Finish(task_id, Outcome.LOST, progress.run_s))
            refusal = refusals.refuse_lost(progress.upstream)
        else:
            assert isinstance(outcome, Failed)
            self.loop.send(Finish(task_id, Outcome.FAILED, progress.run_s))
            refusal = refusals.refuse_failed(progress.upstream, outcome.detail)
        if not progress.workload.idempotent:
            return Err(refusal)
        return self._retry_or_refuse(progress, refusal)

    def _conclude_stopped(self, progress: _Progress) -> Result[Answer, Refusal] | None:
        if progress.run_s >= progress.limit_s:
            return Err(refusals.refuse_timed_out(progress.upstream))
        refusal = refusals.refuse_stopped(progress.upstream)
        if not progress.workload.idempotent:
            return Err(refusal)
        return self._retry_or_refuse(progress, refusal)

    def _retry_or_refuse(
        self, progress: _Progress, refusal: Refusal
    ) -> Result[Answer, Refusal] | None:
        is_exhausted = (
            progress.attempts >= progress.workload.max_attempts
            or progress.req.attempt >= MAX_ATTEMPTS
        )
        if is_exhausted or self.clock() >= progress.req.deadline_s:
            return Err(_set_verdict(refusal, progress))
        return None

    def _make_answer(self, progress: _Progress, outcome: Answered) -> Answer:
        elapsed_s = self.clock() - progress.started_s
        return Answer(
            status=outcome.status,
            content_type=outcome.content_type,
            body=outcome.body,
            upstream=progress.upstream,
            attempts=progress.attempts,
            wait_s=max(elapsed_s - progress.run_s, 0.0),
            run_s=progress.run_s,
        )


def _set_verdict(refusal: Refusal, progress: _Progress) -> Refusal:
    """Set the verdict of a refusal to that of the request over all attempts.

    The scheduler does not know the outcomes of earlier attempts, so its own verdict
    has to assume that they may have run.
    """
    may_have_run = progress.may_have_run
    verdict = Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN
    return replace(refusal, verdict=verdict)
