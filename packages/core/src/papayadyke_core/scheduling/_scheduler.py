"""The scheduler: admission, shares, placement and refusals put together."""

from __future__ import annotations

import math

from papayadyke_core.admission import QueuedRequest
from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.refusals import RefusalLedger
from papayadyke_core.scheduling._book import Book
from papayadyke_core.scheduling._checks import (
    Objection,
    check_request,
    flood_objection,
    to_refusal,
)
from papayadyke_core.scheduling._running import SchedulingError
from papayadyke_core.scheduling._settings import DEFAULT_SETTINGS, SchedulerSettings
from papayadyke_core.scheduling._starts import start_waiting
from papayadyke_core.scheduling._state import WorkloadState
from papayadyke_core.scheduling._stops import ask_to_give_way
from papayadyke_core.scheduling._types import (
    CancelResult,
    Decision,
    LoadSummary,
    Outcome,
    Refuse,
    Request,
    RunningTask,
    WorkloadLoad,
)
from papayadyke_core.verdicts import Reason, Refusal
from papayadyke_core.workloads import Config

_HOLDERS_KEPT_S = 0.1


class Scheduler:
    """Decides which request runs next, where, and which is refused.

    It reads no clock and does no I/O. A request is named by its id and attempt:
    the same attempt is not queued twice.

    Parameters
    ----------
    settings : SchedulerSettings

    Attributes
    ----------
    refusals : RefusalLedger
        What was refused, of whom, and why.

    Examples
    --------
    >>> scheduler = Scheduler()
    >>> scheduler.decide(0.0)
    []
    """

    def __init__(self, *, settings: SchedulerSettings = DEFAULT_SETTINGS) -> None:
        self.settings = settings
        self.refusals = RefusalLedger(settings=settings.refusals)
        self._book = Book(settings=settings)
        self._config: Config | None = None
        self._pending: list[Refuse] = []
        self._more = False
        self._decisions = 0
        self._decided_at_s = -math.inf
        self._holders: tuple[str, ...] = ()
        self._holders_at_s = 0.0

    def apply_config(self, config: Config, now: float) -> None:
        """Take a configuration into force; an older revision changes nothing.

        The queues of workloads that are gone are refused with the next decision,
        but for requests of which tasks have been started: those run to the end.
        """
        if self._config is not None and config.revision < self._config.revision:
            return
        self._config = config
        for state in self._book.apply_config(config):
            self._refuse_queue(state, now)

    def add_upstream(self, spec: UpstreamSpec, now: float) -> None:
        """Take an upstream into use; again with the same name updates it."""
        self._book.add_upstream(spec, now)
        self._book.resize()

    def drain_upstream(self, name: str, now: float) -> None:
        """Start nothing more on an upstream."""
        self._book.set_usable(name, False)
        self._book.resize()

    def remove_upstream(self, name: str, now: float) -> tuple[RunningTask, ...]:
        """Forget an upstream and return the tasks that were on it."""
        tasks = self._book.remove_upstream(name, now)
        self._book.resize()
        return tasks

    def adopt(self, task: RunningTask, now: float) -> None:
        """Count a task that runs already, as found at a takeover.

        A task on an upstream that is not in use, or counted already, changes
        nothing.
        """
        self._book.adopt(task, now)

    def submit(self, req: Request, now: float) -> Refusal | None:
        """Queue a request, or say at once why not."""
        state = self._book.states.get(req.workload)
        if state is None or state.retired:
            objection = Objection(
                Reason.UNKNOWN_WORKLOAD, f"there is no workload {req.workload}"
            )
            return self._refuse(req.id, req.workload, req.attempt, objection, now)
        state.arrivals.record(req.tasks, now)
        state.flood.record_arrival(now)
        found = check_request(self._book, state, req, now)
        if found is not None:
            state.refused_total += 1
            return self._refuse(req.id, req.workload, req.attempt, found, now)
        request = QueuedRequest(
            id=req.id,
            workload=req.workload,
            deadline_s=req.deadline_s,
            tasks=req.tasks,
            attempt=req.attempt,
            avoid=req.avoid,
            queued_at_s=now,
        )
        self._book.enqueue(request, now)
        self.refusals.remove(req.id)
        return None

    def cancel(self, request_id: str, now: float) -> CancelResult:
        """Drop a queued request, or name what of it runs.

        What is named goes on holding its room until `finish` tells of its end.
        """
        queued = tuple(self._book.queued.get(request_id, ()))
        for request in queued:
            self._book.leave_queue(request)
        running = tuple(
            task.to_message() for task in self._book.running.of_request(request_id)
        )
        never_ran = bool(queued) and not running
        never_ran = never_ran and all(item.started == 0 for item in queued)
        return CancelResult(bool(queued or running), never_ran, running)

    def decide(self, now: float) -> list[Decision]:
        """Return what to start, refuse and stop now."""
        self._decisions += 1
        self._decided_at_s = now
        decisions: list[Decision] = list(self._pending)
        self._pending.clear()
        decisions.extend(self._refuse_expired(now))
        self._book.follow_health(now)
        starts, self._more = start_waiting(self._book, now)
        decisions.extend(starts)
        decisions.extend(self._refuse_floods(now))
        decisions.extend(ask_to_give_way(self._book, now))
        if self._decisions % self.settings.check_every == 0:
            self.check_invariants()
        return decisions

    def finish(
        self, task_id: str, outcome: Outcome, now: float, *, run_s: float = 0.0
    ) -> None:
        """Release what a started task held; unknown ids change nothing.

        Nothing is learned of an adopted task whose run time is not given.
        """
        task = self._book.release(task_id)
        if task is None or (task.adopted and run_s <= 0.0):
            return
        run_s = run_s if run_s > 0.0 else now - task.started_at_s
        self._book.learn(task, outcome, run_s, now)

    def next_decision_s(self, now: float) -> float | None:
        """Return the time at which `decide` has something to do, if known."""
        if self._pending or self._more:
            return now
        if not self._book.backlog:
            return None
        poll_s = now + self.settings.poll_s
        deadline_s = self._book.deadlines.next_s()
        return poll_s if deadline_s is None else min(deadline_s, poll_s)

    def summary(self, now: float) -> LoadSummary:
        """Return the load."""
        book = self._book
        return LoadSummary(
            capacity=book.fleet.capacity,
            free=book.fleet.free,
            free_slots=book.fleet.free_slots,
            slots=book.fleet.slots,
            upstreams=len(book.specs),
            workloads=tuple(_load(state) for state in book.states.values()),
        )

    def check_invariants(self) -> None:
        """Count everything anew and compare.

        Raises
        ------
        AssertionError
            If an invariant does not hold.
        """
        self._book.check_invariants()
        self._book.check_deadlines(self._decided_at_s)

    def _refuse(
        self,
        request_id: str,
        workload: str,
        attempt: int,
        objection: Objection,
        now: float,
    ) -> Refusal:
        holders = self._holders_now(now)
        # Of a later attempt, or of an adopted request, an earlier one may have run.
        may_have_run = attempt > 1 or self._book.running.has_request(request_id)
        refusal = to_refusal(objection, may_have_run=may_have_run, holders=holders)
        self.refusals.add(request_id, workload, refusal, now)
        return refusal

    def _refuse_queued(
        self, request: QueuedRequest, objection: Objection, now: float
    ) -> Refuse:
        if request.started > 0:
            raise SchedulingError(f"scheduling: {request.id} is refused but has run")
        state = self._book.states[request.workload]
        state.refused_total += 1
        self._book.leave_queue(request)
        refusal = self._refuse(
            request.id, request.workload, request.attempt, objection, now
        )
        return Refuse(request.id, refusal)

    def _refuse_expired(self, now: float) -> list[Refuse]:
        refused = []
        for request in self._book.deadlines.pop_expired(now):
            state = self._book.states[request.workload]
            waited_s = now - request.queued_at_s
            detail = f"waited {waited_s:.2f} s, kept back by {state.blocked_by}"
            objection = Objection(Reason.EXPIRED, detail)
            refused.append(self._refuse_queued(request, objection, now))
        return refused

    def _refuse_floods(self, now: float) -> list[Refuse]:
        """Refuse urgent requests that could not start, where they flood in."""
        if self._more:
            return []
        settings = self.settings.admission
        refused = []
        for state in list(self._book.backlog.values()):
            if not state.is_flooded(now):
                continue
            objection = flood_objection(state, now, settings=settings)
            patience_s = settings.flood_patience * state.workload.slo.wait_s
            for request in list(state.queue):
                left_s = request.deadline_s - request.queued_at_s
                if request.started == 0 and left_s <= patience_s:
                    refused.append(self._refuse_queued(request, objection, now))
        return refused

    def _refuse_queue(self, state: WorkloadState, now: float) -> None:
        objection = Objection(
            Reason.UNKNOWN_WORKLOAD, f"the workload {state.name} was deleted"
        )
        for request in list(state.queue):
            if request.started == 0:
                self._pending.append(self._refuse_queued(request, objection, now))

    def _holders_now(self, now: float) -> tuple[str, ...]:
        if now - self._holders_at_s >= _HOLDERS_KEPT_S or not self._holders:
            self._holders = self._book.shares.holders()
            self._holders_at_s = now
        return self._holders


def _load(state: WorkloadState) -> WorkloadLoad:
    return WorkloadLoad(
        workload=state.name,
        queued=len(state.queue),
        running=len(state.running),
        held=state.account.held,
        started_total=state.started_total,
        refused_total=state.refused_total,
    )
