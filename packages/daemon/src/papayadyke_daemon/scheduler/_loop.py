"""Thread that owns the scheduler and runs its decisions."""

from __future__ import annotations

import logging
import queue
import threading
import time
from collections.abc import Callable
from typing import Any

from papayadyke_core.scheduling import (
    CancelResult,
    Decision,
    LoadSummary,
    Outcome,
    Refuse,
    SchedulerProtocol,
    Stop,
)
from papayadyke_daemon.scheduler._messages import (
    AddUpstream,
    Adopt,
    ApplyConfig,
    Cancel,
    DrainUpstream,
    Finish,
    HandOver,
    Message,
    Placed,
    Query,
    RemoveUpstream,
    Reply,
    Submit,
)

LOG = logging.getLogger("papayadyke.scheduler")
MAX_IDLE_S = 0.05
REPLY_TIMEOUT_S = 5.0
MAX_BATCH = 256
LOAD_PERIOD_S = 0.1


class SchedulerLoop:
    """Own a scheduler in one thread, which handles messages from other threads.

    Parameters
    ----------
    scheduler : SchedulerProtocol
        Used only by the loop's thread once `start` has been called.
    on_stop : callable, optional
        Called with each `Stop`; must not block.
    on_fault : callable, optional
        Called when the scheduler raised an exception and the thread ends.
    clock : callable, default=time.monotonic
    """

    def __init__(
        self,
        scheduler: SchedulerProtocol,
        *,
        on_stop: Callable[[Stop], None] = lambda stop: None,
        on_fault: Callable[[], None] = lambda: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.scheduler = scheduler
        self.on_stop = on_stop
        self.on_fault = on_fault
        self.clock = clock
        self._mailbox: queue.SimpleQueue[Message | None] = queue.SimpleQueue()
        self._replies: dict[str, Reply] = {}
        self._request_id_by_task: dict[str, str] = {}
        self._tokens: dict[str, int] = {}
        self._load: LoadSummary | None = None
        self._load_due_s = float("-inf")
        self._handlers: dict[type, Callable[[Any], None]] = {
            Submit: self._submit,
            Finish: self._finish,
            Cancel: self._cancel,
            HandOver: self._refuse_queued,
            AddUpstream: self._add_upstream,
            DrainUpstream: self._drain_upstream,
            RemoveUpstream: self._remove_upstream,
            Adopt: self._adopt,
            ApplyConfig: self._apply_config,
            Query: self._run_query,
        }

    def start(self) -> None:
        """Start the thread."""
        self._thread = threading.Thread(target=self._run, name="scheduler", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """End the thread and wait for it."""
        self._mailbox.put(None)
        self._thread.join()

    def send(self, message: Message) -> None:
        """Send a message; messages are handled in the order of sending."""
        self._mailbox.put(message)

    def cancel(self, request_id: str) -> CancelResult:
        """Cancel a request and return the scheduler's result."""
        replies: queue.SimpleQueue[CancelResult] = queue.SimpleQueue()
        self.send(Cancel(request_id, replies))
        return replies.get(timeout=REPLY_TIMEOUT_S)

    def ask(self, query: Callable[[SchedulerProtocol, float], Any]) -> Any:
        """Call a function with the scheduler in its thread; return the result."""
        replies: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self.send(Query(query, replies))
        return replies.get(timeout=REPLY_TIMEOUT_S)

    def read_load(self) -> LoadSummary | None:
        """Return the load, at most about `LOAD_PERIOD_S` old; thread-safe."""
        return self._load

    def _run(self) -> None:
        try:
            self._decide_until_stopped()
        except Exception:
            # The reservations can no longer be trusted.
            LOG.critical(
                "scheduler: an invariant was violated; the thread ends",
                exc_info=True,
            )
            self.on_fault()

    def _decide_until_stopped(self) -> None:
        while self._process_batch():
            now = self.clock()
            for decision in self.scheduler.decide(now):
                self._deliver(decision)
            if now >= self._load_due_s:
                self._load_due_s = now + LOAD_PERIOD_S
                self._load = self.scheduler.summary(now)

    def _process_batch(self) -> bool:
        message = self._wait_for_message()
        for _ in range(MAX_BATCH):
            if message is None:
                return True
            if message is _STOP:
                return False
            self._handlers[type(message)](message)
            message = self._poll_message()
        return True

    def _wait_for_message(self) -> Any:
        due_s = self.scheduler.next_decision_s(self.clock())
        wait_s = MAX_IDLE_S
        if due_s is not None:
            wait_s = min(max(due_s - self.clock(), 0.0), MAX_IDLE_S)
        try:
            message = self._mailbox.get(timeout=wait_s)
        except queue.Empty:
            return None
        return _STOP if message is None else message

    def _poll_message(self) -> Any:
        try:
            message = self._mailbox.get_nowait()
        except queue.Empty:
            return None
        return _STOP if message is None else message

    def _deliver(self, decision: Decision) -> None:
        if isinstance(decision, Stop):
            self.on_stop(decision)
            return
        reply = self._replies.get(decision.request_id)
        if isinstance(decision, Refuse):
            self._replies.pop(decision.request_id, None)
            if reply is not None:
                reply(decision)
            return
        if reply is None:
            LOG.error("scheduler: no request waits for task %s", decision.task_id)
            self.scheduler.finish(decision.task_id, Outcome.NOT_STARTED, self.clock())
            return
        self._request_id_by_task[decision.task_id] = decision.request_id
        reply(Placed(decision, self._tokens[decision.upstream]))

    def _submit(self, message: Submit) -> None:
        req = message.req
        refusal = self.scheduler.submit(req, self.clock())
        if refusal is not None:
            message.reply(Refuse(req.id, refusal))
            return
        self._replies[req.id] = message.reply

    def _finish(self, message: Finish) -> None:
        request_id = self._request_id_by_task.pop(message.task_id, "")
        self._replies.pop(request_id, None)
        self.scheduler.finish(
            message.task_id, message.outcome, self.clock(), run_s=message.run_s
        )

    def _cancel(self, message: Cancel) -> None:
        cancel_result = self.scheduler.cancel(message.request_id, self.clock())
        if cancel_result.never_ran:
            self._replies.pop(message.request_id, None)
        message.replies.put(cancel_result)

    def _refuse_queued(self, message: HandOver) -> None:
        started_ids = set(self._request_id_by_task.values())
        for request_id in [name for name in self._replies if name not in started_ids]:
            cancel_result = self.scheduler.cancel(request_id, self.clock())
            if cancel_result.never_ran:
                reply = self._replies.pop(request_id)
                reply(Refuse(request_id, message.refusal))

    def _add_upstream(self, message: AddUpstream) -> None:
        self._tokens[message.spec.name] = message.token
        self.scheduler.add_upstream(message.spec, self.clock())

    def _drain_upstream(self, message: DrainUpstream) -> None:
        self.scheduler.drain_upstream(message.name, self.clock())

    def _remove_upstream(self, message: RemoveUpstream) -> None:
        self.scheduler.remove_upstream(message.name, self.clock())

    def _adopt(self, message: Adopt) -> None:
        self.scheduler.adopt(message.task, self.clock())

    def _apply_config(self, message: ApplyConfig) -> None:
        self.scheduler.apply_config(message.config, self.clock())

    def _run_query(self, message: Query) -> None:
        message.replies.put(message.query(self.scheduler, self.clock()))


_STOP = object()
