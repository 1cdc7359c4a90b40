"""Execution of the tasks of jobs, from their placement to their results."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

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
from papayadyke_core.jobs import TaskDone, TaskOrder, TaskResult, TaskSpec
from papayadyke_core.journal import Answer
from papayadyke_core.scheduling import Outcome, Refuse, Request, Stop
from papayadyke_daemon.fleet import Fleet
from papayadyke_daemon.mailbox import Mailbox
from papayadyke_daemon.scheduler import Finish, Placed, SchedulerLoop, Submit

LOG = logging.getLogger(__name__)
CALL_THREADS = 16
RESOLVE_WAIT_S = 0.2
# Longest time between the request for an authorization and the start.
MAX_START_DELAY_S = 10.0

OnDone = Callable[[TaskDone], None]
Authorize = Callable[[str, str, str, Callable[[bool], None]], None]

_RESULT_BY_OUTCOME: dict[type, TaskResult] = {
    Answered: TaskResult.ANSWERED,
    Failed: TaskResult.FAILED,
    NotStarted: TaskResult.NOT_STARTED,
    Restarted: TaskResult.LAPSED,
    Stopped: TaskResult.STOPPED,
    Running: TaskResult.RUNNING,
    Lost: TaskResult.LOST,
}
_OUTCOME_BY_RESULT: dict[TaskResult, Outcome] = {
    TaskResult.ANSWERED: Outcome.ANSWERED,
    TaskResult.FAILED: Outcome.FAILED,
    TaskResult.NOT_STARTED: Outcome.NOT_STARTED,
    TaskResult.STOPPED: Outcome.STOPPED,
    TaskResult.LAPSED: Outcome.LOST,
}


@dataclass(slots=True)
class _Attempt:
    """One attempt of one task of an order."""

    order: TaskOrder
    spec: TaskSpec
    on_done: OnDone
    placed: Placed | None = None
    boot_id: str = ""
    authorization_requested_s: float = 0.0
    started_s: float = 0.0
    is_started: bool = False


@dataclass(slots=True)
class _OpenOrder:
    """Order of which some attempts have not been placed; these are `waiting`."""

    order: TaskOrder
    waiting: dict[int, _Attempt] = field(default_factory=dict)


class TaskRunner:
    """Run the attempts that jobs order; all state belongs to one thread.

    Parameters
    ----------
    loop : SchedulerLoop
    fleet : Fleet
    authorize : callable
        Requests permission to send a placed attempt; see `JobService`.
    task_lease_s : float
        Lease of each task, in seconds.
    covers_cell : callable
        Returns whether this zone has all upstreams of the cell.
    clock : callable, default=time.monotonic
    """

    def __init__(
        self,
        *,
        loop: SchedulerLoop,
        fleet: Fleet,
        authorize: Authorize,
        task_lease_s: float,
        covers_cell: Callable[[], bool],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.loop = loop
        self.fleet = fleet
        self.authorize = authorize
        self.task_lease_s = task_lease_s
        self.covers_cell = covers_cell
        self.clock = clock
        self._open_orders: dict[str, _OpenOrder] = {}
        self._attempts: dict[str, _Attempt] = {}
        self._attempts_by_start: dict[str, _Attempt] = {}
        self._mailbox = Mailbox("tasks", lambda now: None, clock=clock)
        self._calls = ThreadPoolExecutor(CALL_THREADS, thread_name_prefix="tasks")

    def start(self) -> None:
        """Start the thread that owns the state."""
        self._mailbox.start()

    def stop(self) -> None:
        """End the threads; started tasks continue at their upstreams."""
        self._mailbox.stop()
        self._calls.shutdown(wait=False, cancel_futures=True)

    def submit(self, order: TaskOrder, on_done: OnDone) -> None:
        """Schedule and start the attempts of an order."""
        self._mailbox.post(lambda: self._submit(order, on_done))

    def cancel(self, task_id: str) -> None:
        """Remove an attempt from the queue, or stop it at its upstream."""
        self._mailbox.post(lambda: self._cancel(task_id))

    def give_way(self, stop: Stop) -> None:
        """Apply a decision of the scheduler to preempt a task."""
        self._mailbox.post(lambda: self._preempt(stop))

    def resolve(
        self, task_id: str, upstream: str | None, boot_id: str, on_done: OnDone
    ) -> None:
        """Query the outcome of an attempt at one upstream, or at all if None.

        The result is `NOT_STARTED` only if every upstream on which the attempt may
        have been started refuses it from then on, and none has restarted since. If
        one may have restarted, the result is `LAPSED`.

        Parameters
        ----------
        task_id : str
        upstream : str or None
        boot_id : str
            Boot id of the upstream in the session of the start; empty if it is
            unknown.
        on_done : callable
        """
        if upstream is None and not self.covers_cell():
            on_done(TaskDone(task_id, TaskResult.LOST))
            return
        names = self.fleet.list_names() if upstream is None else [upstream]
        self._calls.submit(self._resolve_at, task_id, names, boot_id, on_done)

    def _submit(self, order: TaskOrder, on_done: OnDone) -> None:
        open_order = _OpenOrder(order)
        for spec in order.tasks:
            attempt = _Attempt(order, spec, on_done)
            open_order.waiting[len(open_order.waiting)] = attempt
            self._attempts[spec.task_id] = attempt
        self._open_orders[order.request_id] = open_order
        req = Request(
            id=order.request_id,
            workload=order.workload,
            deadline_s=order.deadline_s,
            tasks=len(order.tasks),
            avoid=order.avoid,
        )
        self.loop.send(
            Submit(
                req, lambda reply: self._mailbox.post(lambda: self._apply_reply(reply))
            )
        )

    def _apply_reply(self, reply: Placed | Refuse) -> None:
        if isinstance(reply, Refuse):
            self._refuse(reply)
            return
        start = reply.start
        open_order = self._open_orders[start.request_id]
        attempt = open_order.waiting.pop(start.index)
        if not open_order.waiting:
            del self._open_orders[start.request_id]
        attempt.placed = reply
        attempt.authorization_requested_s = self.clock()
        self._attempts_by_start[start.task_id] = attempt
        agent = self.fleet.find(start.upstream)
        self.authorize(
            attempt.spec.task_id,
            start.upstream,
            "" if agent is None else agent.find_boot_id(reply.token),
            lambda allowed: self._mailbox.post(lambda: self._send(attempt, allowed)),
        )

    def _refuse(self, reply: Refuse) -> None:
        open_order = self._open_orders.pop(reply.request_id, None)
        if open_order is None:
            return
        for attempt in open_order.waiting.values():
            del self._attempts[attempt.spec.task_id]
            done = TaskDone(
                attempt.spec.task_id, TaskResult.NOT_STARTED, refusal=reply.refusal
            )
            attempt.on_done(done)

    def _send(self, attempt: _Attempt, allowed: bool) -> None:
        if not allowed:
            self._end_attempt(attempt, NotStarted("not authorized"))
            return
        attempt.started_s = self.clock()
        self._calls.submit(self._call_start, attempt)

    def _call_start(self, attempt: _Attempt) -> None:
        """Send the start; runs in a thread of the pool for calls."""
        placed = attempt.placed
        assert placed is not None
        if self.clock() - attempt.authorization_requested_s > MAX_START_DELAY_S:
            # A successor may have treated the attempt as expired by now.
            self._post_result(attempt, NotStarted("authorized too long ago"))
            return
        agent = self.fleet.find(placed.start.upstream)
        permit = None if agent is None else agent.permit_start(placed.token)
        if agent is None or permit is None:
            self._post_result(attempt, NotStarted("the session has ended"))
            return
        task_id = attempt.spec.task_id
        attempt.boot_id = permit.boot_id
        call = TaskCall(
            task_id=task_id,
            request_id=f"{attempt.order.job_id}.{attempt.spec.index}",
            workload=attempt.order.workload,
            demand=placed.start.demand,
            token=permit.token,
            start_before_s=permit.start_before_s,
            lease_s=self.task_lease_s,
            payload=attempt.spec.payload,
        )
        outcome = agent.client.start(call)
        if isinstance(outcome, Lost):
            outcome = agent.client.resolve(
                task_id, boot_id=permit.boot_id, wait_s=RESOLVE_WAIT_S
            )
        if isinstance(outcome, Lost):
            # The reservation stays until the task neither runs nor can start.
            agent.track_unresolved(
                placed.start.task_id, call.token, call.start_before_s
            )
        if isinstance(outcome, NotStarted):
            agent.record_start_refusal(permit.token, outcome.detail)
        self._post_result(attempt, outcome)

    def _post_result(self, attempt: _Attempt, outcome: CallResult) -> None:
        self._mailbox.post(lambda: self._apply_result(attempt, outcome))

    def _apply_result(self, attempt: _Attempt, outcome: CallResult) -> None:
        if not isinstance(outcome, Running):
            self._end_attempt(attempt, outcome)
            return
        attempt.is_started = True
        placed = attempt.placed
        assert placed is not None
        agent = self.fleet.find(placed.start.upstream)
        if agent is None:
            self._end_attempt(attempt, Lost("the upstream is another VM's"))
            return
        agent.subscribe_to_end(
            attempt.spec.task_id,
            lambda task_id: self._fetch(attempt),
        )

    def _fetch(self, attempt: _Attempt) -> None:
        self._calls.submit(self._call_fetch, attempt)

    def _call_fetch(self, attempt: _Attempt) -> None:
        """Fetch the result of an ended task; a task that still runs counts as lost."""
        placed = attempt.placed
        assert placed is not None
        agent = self.fleet.find(placed.start.upstream)
        outcome: CallResult = Lost("the upstream is another VM's")
        if agent is not None:
            outcome = agent.client.resolve(
                attempt.spec.task_id, boot_id=attempt.boot_id
            )
        if isinstance(outcome, Running):
            outcome = Lost("it runs on without a session")
        if isinstance(outcome, NotStarted | Restarted):
            # It was running there, so the upstream has restarted since.
            outcome = Failed("the upstream has restarted")
        self._mailbox.post(lambda: self._end_attempt(attempt, outcome))

    def _end_attempt(self, attempt: _Attempt, outcome: CallResult) -> None:
        result = _RESULT_BY_OUTCOME[type(outcome)]
        placed = attempt.placed
        assert placed is not None
        self._attempts_by_start.pop(placed.start.task_id, None)
        if self._attempts.pop(attempt.spec.task_id, None) is None:
            return
        if result in _OUTCOME_BY_RESULT:
            run_s = self.clock() - attempt.started_s if attempt.is_started else 0.0
            self.loop.send(
                Finish(placed.start.task_id, _OUTCOME_BY_RESULT[result], run_s)
            )
        attempt.on_done(
            _make_done(attempt.spec.task_id, outcome, placed.start.upstream)
        )

    def _cancel(self, task_id: str) -> None:
        attempt = self._attempts.get(task_id)
        if attempt is None:
            return
        if attempt.placed is None:
            self._calls.submit(self._call_cancel, attempt)
            return
        self._calls.submit(self._call_stop, task_id, attempt.placed.start.upstream)

    def _call_cancel(self, attempt: _Attempt) -> None:
        cancel_result = self.loop.cancel(attempt.order.request_id)
        if cancel_result.never_ran:
            self._mailbox.post(lambda: self._drop_order(attempt.order.request_id))

    def _drop_order(self, request_id: str) -> None:
        open_order = self._open_orders.pop(request_id, None)
        if open_order is None:
            return
        for attempt in open_order.waiting.values():
            task_id = attempt.spec.task_id
            del self._attempts[task_id]
            attempt.on_done(TaskDone(task_id, TaskResult.NOT_STARTED))

    def _preempt(self, stop: Stop) -> None:
        attempt = self._attempts_by_start.get(stop.task_id)
        task_id = stop.task_id if attempt is None else attempt.spec.task_id
        LOG.info("tasks: preempting %s at %s", task_id, stop.upstream)
        self._calls.submit(self._call_stop, task_id, stop.upstream, stop.mode.value)

    def _call_stop(self, task_id: str, upstream: str, mode: str = "stop") -> None:
        agent = self.fleet.find(upstream)
        if agent is not None:
            agent.client.stop(task_id, way=mode)

    def _resolve_at(
        self, task_id: str, names: Iterable[str], boot_id: str, on_done: OnDone
    ) -> None:
        outcome: CallResult = NotStarted("no upstream has seen it")
        for name in names:
            reported = self.fleet.resolve(name, task_id, boot_id=boot_id)
            if not isinstance(reported, NotStarted | Restarted | Lost):
                on_done(_make_done(task_id, reported, name))
                return
            may_still_run = isinstance(outcome, Lost)
            if not isinstance(reported, NotStarted) and not may_still_run:
                outcome = reported
        on_done(_make_done(task_id, outcome, None))


def _make_done(task_id: str, outcome: CallResult, upstream: str | None) -> TaskDone:
    answer = None
    if isinstance(outcome, Answered):
        answer = Answer(outcome.status, outcome.content_type, outcome.body)
    return TaskDone(
        task_id, _RESULT_BY_OUTCOME[type(outcome)], answer=answer, upstream=upstream
    )
