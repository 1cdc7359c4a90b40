"""The loop that owns the scheduler."""

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
    Ask,
    Cancel,
    DrainUpstream,
    Finish,
    HandOver,
    Message,
    Placed,
    RemoveUpstream,
    Reply,
    Submit,
)

LOG = logging.getLogger("papayadyke.scheduler")
IDLE_PERIOD_S = 0.05
ASK_TIMEOUT_S = 5.0
MAX_BATCH = 256
LOAD_PERIOD_S = 0.1


class SchedulerLoop:
    """Owns a scheduler in a thread; others send messages.

    Parameters
    ----------
    scheduler : SchedulerProtocol
        Used by this thread alone once `start` was called.
    on_stop : callable, optional
        Takes each `Stop`; it must not block.
    on_fault : callable, optional
        Called when the scheduler has raised and the thread ends.
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
        self._request_of: dict[str, str] = {}
        self._tokens: dict[str, int] = {}
        self._load: LoadSummary | None = None
        self._load_due_s = float("-inf")
        self._handlers: dict[type, Callable[[Any], None]] = {
            Submit: self._submit,
            Finish: self._finish,
            Cancel: self._cancel,
            HandOver: self._hand_over,
            AddUpstream: self._add_upstream,
            DrainUpstream: self._drain_upstream,
            RemoveUpstream: self._remove_upstream,
            Adopt: self._adopt,
            ApplyConfig: self._apply_config,
            Ask: self._answer,
        }

    def start(self) -> None:
        """Decide in the background."""
        self._thread = threading.Thread(target=self._run, name="scheduler", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """End the thread."""
        self._mailbox.put(None)
        self._thread.join()

    def send(self, message: Message) -> None:
        """Send a message; it is handled in the order of sending."""
        self._mailbox.put(message)

    def cancel(self, request_id: str) -> CancelResult:
        """Drop a request and return what was found."""
        replies: queue.SimpleQueue[CancelResult] = queue.SimpleQueue()
        self.send(Cancel(request_id, replies))
        return replies.get(timeout=ASK_TIMEOUT_S)

    def ask(self, question: Callable[[SchedulerProtocol, float], Any]) -> Any:
        """Return what a function finds on the scheduler, in its thread."""
        replies: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self.send(Ask(question, replies))
        return replies.get(timeout=ASK_TIMEOUT_S)

    def read_load(self) -> LoadSummary | None:
        """Return the load as of a short time ago; any thread may call."""
        return self._load

    def _run(self) -> None:
        try:
            self._decide_until_stopped()
        except Exception:
            # What is reserved can no longer be trusted.
            LOG.critical("scheduler: an invariant is broken", exc_info=True)
            self.on_fault()

    def _decide_until_stopped(self) -> None:
        while self._take_batch():
            now = self.clock()
            for decision in self.scheduler.decide(now):
                self._deliver(decision)
            if now >= self._load_due_s:
                self._load_due_s = now + LOAD_PERIOD_S
                self._load = self.scheduler.summary(now)

    def _take_batch(self) -> bool:
        message = self._wait_for_message()
        for _ in range(MAX_BATCH):
            if message is None:
                return True
            if message is _STOP:
                return False
            self._handlers[type(message)](message)
            message = self._poll()
        return True

    def _wait_for_message(self) -> Any:
        due = self.scheduler.next_decision_s(self.clock())
        wait_s = IDLE_PERIOD_S
        if due is not None:
            wait_s = min(max(due - self.clock(), 0.0), IDLE_PERIOD_S)
        try:
            message = self._mailbox.get(timeout=wait_s)
        except queue.Empty:
            return None
        return _STOP if message is None else message

    def _poll(self) -> Any:
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
            LOG.error("scheduler: nobody waits for %s", decision.task_id)
            self.scheduler.finish(decision.task_id, Outcome.NOT_STARTED, self.clock())
            return
        self._request_of[decision.task_id] = decision.request_id
        reply(Placed(decision, self._tokens[decision.upstream]))

    def _submit(self, message: Submit) -> None:
        req = message.req
        refusal = self.scheduler.submit(req, self.clock())
        if refusal is not None:
            message.reply(Refuse(req.id, refusal))
            return
        self._replies[req.id] = message.reply

    def _finish(self, message: Finish) -> None:
        request_id = self._request_of.pop(message.task_id, "")
        self._replies.pop(request_id, None)
        self.scheduler.finish(
            message.task_id, message.outcome, self.clock(), run_s=message.run_s
        )

    def _cancel(self, message: Cancel) -> None:
        found = self.scheduler.cancel(message.request_id, self.clock())
        if found.never_ran:
            self._replies.pop(message.request_id, None)
        message.replies.put(found)

    def _hand_over(self, message: HandOver) -> None:
        started = set(self._request_of.values())
        for request_id in [name for name in self._replies if name not in started]:
            found = self.scheduler.cancel(request_id, self.clock())
            if found.never_ran:
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

    def _answer(self, message: Ask) -> None:
        message.replies.put(message.question(self.scheduler, self.clock()))


_STOP = object()
