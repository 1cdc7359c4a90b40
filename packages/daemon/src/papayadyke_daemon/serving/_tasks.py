"""Running the tasks of jobs: placed, authorized, started, followed, stopped."""

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
START_LIMIT_S = 10.0

OnDone = Callable[[TaskDone], None]
Authorize = Callable[[str, str, Callable[[bool], None]], None]

_RESULTS: dict[type, TaskResult] = {
    Answered: TaskResult.ANSWERED,
    Failed: TaskResult.FAILED,
    NotStarted: TaskResult.NOT_STARTED,
    Stopped: TaskResult.STOPPED,
    Running: TaskResult.RUNNING,
    Lost: TaskResult.LOST,
}
_OUTCOMES: dict[TaskResult, Outcome] = {
    TaskResult.ANSWERED: Outcome.ANSWERED,
    TaskResult.FAILED: Outcome.FAILED,
    TaskResult.NOT_STARTED: Outcome.NOT_STARTED,
    TaskResult.STOPPED: Outcome.STOPPED,
}


@dataclass(slots=True)
class _Attempt:
    """One attempt of one task of an order."""

    order: TaskOrder
    spec: TaskSpec
    on_done: OnDone
    placed: Placed | None = None
    asked_s: float = 0.0
    started_s: float = 0.0
    is_started: bool = False


@dataclass(slots=True)
class _Open:
    """An order whose attempts have not all been placed."""

    order: TaskOrder
    waiting: dict[int, _Attempt] = field(default_factory=dict)


class TaskRunner:
    """Runs the attempts that jobs order; its state belongs to one thread.

    Parameters
    ----------
    loop : SchedulerLoop
    fleet : Fleet
    authorize : callable
        Asks whether a placed attempt may be sent; see `JobService`.
    task_lease_s : float
        Lease of each task, in seconds.
    covers_cell : callable
        Tells whether the upstreams of this zone are all of the cell.
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
        self._open: dict[str, _Open] = {}
        self._attempts: dict[str, _Attempt] = {}
        self._by_start: dict[str, _Attempt] = {}
        self._mailbox = Mailbox("tasks", lambda now: None, clock=clock)
        self._calls = ThreadPoolExecutor(CALL_THREADS, thread_name_prefix="tasks")

    def start(self) -> None:
        """Start the thread."""
        self._mailbox.start()

    def stop(self) -> None:
        """End the threads; started tasks run on at their upstreams."""
        self._mailbox.stop()
        self._calls.shutdown(wait=False, cancel_futures=True)

    def submit(self, order: TaskOrder, on_done: OnDone) -> None:
        """Have the attempts of an order scheduled and started."""
        self._mailbox.post(lambda: self._submit(order, on_done))

    def cancel(self, task_id: str) -> None:
        """Drop an attempt from the queue, or stop it at its upstream."""
        self._mailbox.post(lambda: self._cancel(task_id))

    def give_way(self, stop: Stop) -> None:
        """Carry out a decision of the scheduler to make a task give way."""
        self._mailbox.post(lambda: self._give_way(stop))

    def resolve(self, task_id: str, upstream: str | None, on_done: OnDone) -> None:
        """Ask one upstream, or all, what became of an attempt.

        `NOT_STARTED` is told only where every upstream on which the attempt may
        have been started has refused it for good.
        """
        if upstream is None and not self.covers_cell():
            on_done(TaskDone(task_id, TaskResult.LOST))
            return
        names = self.fleet.list_names() if upstream is None else [upstream]
        self._calls.submit(self._resolve_at, task_id, names, on_done)

    def _submit(self, order: TaskOrder, on_done: OnDone) -> None:
        opened = _Open(order)
        for spec in order.tasks:
            attempt = _Attempt(order, spec, on_done)
            opened.waiting[len(opened.waiting)] = attempt
            self._attempts[spec.task_id] = attempt
        self._open[order.request_id] = opened
        req = Request(
            id=order.request_id,
            workload=order.workload,
            deadline_s=order.deadline_s,
            tasks=len(order.tasks),
            avoid=order.avoid,
        )
        self.loop.send(
            Submit(req, lambda reply: self._mailbox.post(lambda: self._take(reply)))
        )

    def _take(self, reply: Placed | Refuse) -> None:
        if isinstance(reply, Refuse):
            self._refuse(reply)
            return
        start = reply.start
        opened = self._open[start.request_id]
        attempt = opened.waiting.pop(start.index)
        if not opened.waiting:
            del self._open[start.request_id]
        attempt.placed = reply
        attempt.asked_s = self.clock()
        self._by_start[start.task_id] = attempt
        self.authorize(
            attempt.spec.task_id,
            start.upstream,
            lambda allowed: self._mailbox.post(lambda: self._send(attempt, allowed)),
        )

    def _refuse(self, reply: Refuse) -> None:
        opened = self._open.pop(reply.request_id, None)
        if opened is None:
            return
        for attempt in opened.waiting.values():
            del self._attempts[attempt.spec.task_id]
            done = TaskDone(
                attempt.spec.task_id, TaskResult.NOT_STARTED, refusal=reply.refusal
            )
            attempt.on_done(done)

    def _send(self, attempt: _Attempt, allowed: bool) -> None:
        if not allowed:
            self._end(attempt, NotStarted("not authorized"))
            return
        attempt.started_s = self.clock()
        self._calls.submit(self._call_start, attempt)

    def _call_start(self, attempt: _Attempt) -> None:
        """Send the start from a thread for calls."""
        placed = attempt.placed
        assert placed is not None
        if self.clock() - attempt.asked_s > START_LIMIT_S:
            # A successor may have let the attempt lapse by now.
            self._post_result(attempt, NotStarted("authorized too long ago"))
            return
        agent = self.fleet.find(placed.start.upstream)
        permit = None if agent is None else agent.permit_start(placed.token)
        if agent is None or permit is None:
            self._post_result(attempt, NotStarted("the session has ended"))
            return
        task_id = attempt.spec.task_id
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
            outcome = agent.client.resolve(task_id, wait_s=RESOLVE_WAIT_S)
        if isinstance(outcome, Lost):
            # The reservation stays until the agent has seen the task's end.
            agent.watch(placed.start.task_id, call.start_before_s)
        if isinstance(outcome, NotStarted):
            agent.record_start_refusal(permit.token, outcome.detail)
        self._post_result(attempt, outcome)

    def _post_result(self, attempt: _Attempt, outcome: CallResult) -> None:
        self._mailbox.post(lambda: self._take_result(attempt, outcome))

    def _take_result(self, attempt: _Attempt, outcome: CallResult) -> None:
        if not isinstance(outcome, Running):
            self._end(attempt, outcome)
            return
        attempt.is_started = True
        placed = attempt.placed
        assert placed is not None
        agent = self.fleet.find(placed.start.upstream)
        if agent is None:
            self._end(attempt, Lost("the upstream is another VM's"))
            return
        agent.follow(
            attempt.spec.task_id,
            lambda task_id: self._fetch(attempt),
        )

    def _fetch(self, attempt: _Attempt) -> None:
        self._calls.submit(self._call_fetch, attempt)

    def _call_fetch(self, attempt: _Attempt) -> None:
        """Fetch the answer of a task that has ended, or find it running on."""
        placed = attempt.placed
        assert placed is not None
        agent = self.fleet.find(placed.start.upstream)
        outcome: CallResult = Lost("the upstream is another VM's")
        if agent is not None:
            outcome = agent.client.resolve(attempt.spec.task_id)
        if isinstance(outcome, Running):
            outcome = Lost("it runs on without a session")
        self._mailbox.post(lambda: self._end(attempt, outcome))

    def _end(self, attempt: _Attempt, outcome: CallResult) -> None:
        result = _RESULTS[type(outcome)]
        placed = attempt.placed
        assert placed is not None
        self._by_start.pop(placed.start.task_id, None)
        if self._attempts.pop(attempt.spec.task_id, None) is None:
            return
        if result in _OUTCOMES:
            run_s = self.clock() - attempt.started_s if attempt.is_started else 0.0
            self.loop.send(Finish(placed.start.task_id, _OUTCOMES[result], run_s))
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
        found = self.loop.cancel(attempt.order.request_id)
        if found.never_ran:
            self._mailbox.post(lambda: self._drop(attempt.order.request_id))

    def _drop(self, request_id: str) -> None:
        opened = self._open.pop(request_id, None)
        if opened is None:
            return
        for attempt in opened.waiting.values():
            task_id = attempt.spec.task_id
            del self._attempts[task_id]
            attempt.on_done(TaskDone(task_id, TaskResult.NOT_STARTED))

    def _give_way(self, stop: Stop) -> None:
        attempt = self._by_start.get(stop.task_id)
        task_id = stop.task_id if attempt is None else attempt.spec.task_id
        LOG.info("tasks: %s gives way at %s", task_id, stop.upstream)
        self._calls.submit(self._call_stop, task_id, stop.upstream, stop.mode.value)

    def _call_stop(self, task_id: str, upstream: str, way: str = "stop") -> None:
        agent = self.fleet.find(upstream)
        if agent is not None:
            agent.client.stop(task_id, way=way)

    def _resolve_at(self, task_id: str, names: Iterable[str], on_done: OnDone) -> None:
        outcome: CallResult = NotStarted("no upstream has seen it")
        for name in names:
            found = self.fleet.resolve(name, task_id)
            if not isinstance(found, NotStarted | Lost):
                on_done(_make_done(task_id, found, name))
                return
            if isinstance(found, Lost):
                outcome = found
        on_done(_make_done(task_id, outcome, None))


def _make_done(task_id: str, outcome: CallResult, upstream: str | None) -> TaskDone:
    answer = None
    if isinstance(outcome, Answered):
        answer = Answer(outcome.status, outcome.content_type, outcome.body)
    return TaskDone(task_id, _RESULTS[type(outcome)], answer=answer, upstream=upstream)
