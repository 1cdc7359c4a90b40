"""Scheduler that combines admission, sharing, placement and refusals."""

from __future__ import annotations

import math

from papayadyke_core.admission import QueuedRequest
from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.refusals import RefusalLedger
from papayadyke_core.scheduling._checks import (
    RefusalCause,
    check_request,
    flood_refusal_cause,
    to_refusal,
)
from papayadyke_core.scheduling._cluster_state import ClusterState
from papayadyke_core.scheduling._preemption import preempt_for_floors
from papayadyke_core.scheduling._running import SchedulingError
from papayadyke_core.scheduling._settings import DEFAULT_SETTINGS, SchedulerSettings
from papayadyke_core.scheduling._starts import start_queued_tasks
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
from papayadyke_core.scheduling._workload_state import WorkloadState
from papayadyke_core.verdicts import Reason, Refusal
from papayadyke_core.workloads import Config

_HOLDERS_CACHE_S = 0.1


class Scheduler:
    """Decides which tasks to start, on which upstreams, and which requests to refuse.

    The scheduler reads no clock and does no I/O. A request is identified by its id
    and attempt; the same attempt is never queued twice.

    Parameters
    ----------
    settings : SchedulerSettings

    Attributes
    ----------
    refusals : RefusalLedger
        Counts of refused requests and the recent refusals themselves.

    Examples
    --------
    >>> scheduler = Scheduler()
    >>> scheduler.decide(0.0)
    []
    """

    def __init__(self, *, settings: SchedulerSettings = DEFAULT_SETTINGS) -> None:
        self.settings = settings
        self.refusals = RefusalLedger(settings=settings.refusals)
        self._cluster = ClusterState(settings=settings)
        self._config: Config | None = None
        self._pending_refusals: list[Refuse] = []
        self._start_limit_reached = False
        self._decision_count = 0
        self._last_decision_s = -math.inf
        self._cached_holders: tuple[str, ...] = ()
        self._holders_cached_at_s = 0.0

    def apply_config(self, config: Config, now: float) -> None:
        """Apply a configuration, ignoring one with an older revision.

        The next decision refuses the queued requests of deleted workloads, except
        for requests with started tasks, which run to completion.
        """
        if self._config is not None and config.revision < self._config.revision:
            return
        self._config = config
        for state in self._cluster.apply_config(config):
            self._refuse_queue(state, now)

    def add_upstream(self, spec: UpstreamSpec, now: float) -> None:
        """Add an upstream, or update the one of the same name."""
        self._cluster.add_upstream(spec, now)
        self._cluster.resize()

    def drain_upstream(self, name: str, now: float) -> None:
        """Stop starting tasks on an upstream."""
        self._cluster.set_usable(name, False)
        self._cluster.resize()

    def remove_upstream(self, name: str, now: float) -> tuple[RunningTask, ...]:
        """Remove an upstream and return the tasks that were running on it."""
        tasks = self._cluster.remove_upstream(name, now)
        self._cluster.resize()
        return tasks

    def adopt(self, task: RunningTask, now: float) -> None:
        """Register a task that is already running, as found at a takeover.

        A task on an unknown upstream, or one that is already registered, is
        ignored.
        """
        self._cluster.adopt(task, now)

    def submit(self, req: Request, now: float) -> Refusal | None:
        """Queue a request, or return the reason for refusing it."""
        state = self._cluster.workload_states.get(req.workload)
        if state is None or state.retired:
            cause = RefusalCause(
                Reason.UNKNOWN_WORKLOAD, f"there is no workload {req.workload}"
            )
            return self._refuse(req.id, req.workload, req.attempt, cause, now)
        state.arrivals.record(req.tasks, now)
        state.flood.record_arrival(now)
        check_failure = check_request(self._cluster, state, req, now)
        if check_failure is not None:
            state.refused_total += 1
            return self._refuse(req.id, req.workload, req.attempt, check_failure, now)
        request = QueuedRequest(
            id=req.id,
            workload=req.workload,
            deadline_s=req.deadline_s,
            tasks=req.tasks,
            attempt=req.attempt,
            avoid=req.avoid,
            queued_at_s=now,
        )
        self._cluster.enqueue(request, now)
        self.refusals.remove(req.id)
        return None

    def cancel(self, request_id: str, now: float) -> CancelResult:
        """Remove a request from the queue and return its running tasks.

        The running tasks keep their resources until `finish` reports their end.
        """
        queued = tuple(self._cluster.queued_by_id.get(request_id, ()))
        for request in queued:
            self._cluster.dequeue(request)
        running = tuple(
            task.to_message() for task in self._cluster.running.of_request(request_id)
        )
        never_ran = bool(queued) and not running
        never_ran = never_ran and all(
            queued_request.started_tasks == 0 for queued_request in queued
        )
        return CancelResult(bool(queued or running), never_ran, running)

    def decide(self, now: float) -> list[Decision]:
        """Return the tasks to start, requests to refuse and tasks to stop now."""
        self._decision_count += 1
        self._last_decision_s = now
        decisions: list[Decision] = list(self._pending_refusals)
        self._pending_refusals.clear()
        decisions.extend(self._refuse_expired(now))
        self._cluster.apply_health_changes(now)
        starts, self._start_limit_reached = start_queued_tasks(self._cluster, now)
        decisions.extend(starts)
        decisions.extend(self._refuse_flooded_requests(now))
        decisions.extend(preempt_for_floors(self._cluster, now))
        if self._decision_count % self.settings.decisions_per_check == 0:
            self.check_invariants()
        return decisions

    def finish(
        self, task_id: str, outcome: Outcome, now: float, *, run_s: float = 0.0
    ) -> None:
        """Release the resources of an ended task, ignoring an unknown id.

        The outcome of an adopted task without a given run time does not update the
        learned run times or the upstream's health.
        """
        task = self._cluster.release(task_id)
        if task is None or (task.adopted and run_s <= 0.0):
            return
        run_s = run_s if run_s > 0.0 else now - task.started_at_s
        self._cluster.record_task_outcome(task, outcome, run_s, now)

    def next_decision_s(self, now: float) -> float | None:
        """Return when `decide` must be called next, or None if it need not be."""
        if self._pending_refusals or self._start_limit_reached:
            return now
        if not self._cluster.backlog:
            return None
        poll_s = now + self.settings.poll_s
        deadline_s = self._cluster.deadlines.next_deadline_s()
        return poll_s if deadline_s is None else min(deadline_s, poll_s)

    def summary(self, now: float) -> LoadSummary:
        """Return the current load."""
        cluster = self._cluster
        return LoadSummary(
            capacity=cluster.fleet.capacity,
            free=cluster.fleet.free,
            free_slots=cluster.fleet.free_slots,
            slots=cluster.fleet.slots,
            upstreams=len(cluster.upstream_specs),
            workloads=tuple(
                _workload_load(state) for state in cluster.workload_states.values()
            ),
        )

    def check_invariants(self) -> None:
        """Recompute all totals and check all invariants.

        Raises
        ------
        AssertionError
            If an invariant is violated.
        """
        self._cluster.check_invariants()
        self._cluster.check_deadlines(self._last_decision_s)

    def _refuse(
        self,
        request_id: str,
        workload: str,
        attempt: int,
        cause: RefusalCause,
        now: float,
    ) -> Refusal:
        holders = self._current_holders(now)
        # An earlier attempt of a retried or adopted request may have run.
        may_have_run = attempt > 1 or self._cluster.running.has_request(request_id)
        refusal = to_refusal(cause, may_have_run=may_have_run, holders=holders)
        self.refusals.add(request_id, workload, refusal, now)
        return refusal

    def _refuse_queued(
        self, request: QueuedRequest, cause: RefusalCause, now: float
    ) -> Refuse:
        if request.started_tasks > 0:
            raise SchedulingError(
                f"scheduling: refused request {request.id} has started tasks"
            )
        state = self._cluster.workload_states[request.workload]
        state.refused_total += 1
        self._cluster.dequeue(request)
        refusal = self._refuse(
            request.id, request.workload, request.attempt, cause, now
        )
        return Refuse(request.id, refusal)

    def _refuse_expired(self, now: float) -> list[Refuse]:
        refused = []
        for request in self._cluster.deadlines.pop_expired(now):
            state = self._cluster.workload_states[request.workload]
            waited_s = now - request.queued_at_s
            detail = f"waited {waited_s:.2f} s, kept back by {state.blocked_by}"
            cause = RefusalCause(Reason.EXPIRED, detail)
            refused.append(self._refuse_queued(request, cause, now))
        return refused

    def _refuse_flooded_requests(self, now: float) -> list[Refuse]:
        """Refuse queued requests of flooded workloads, except those with ample time.

        A request stays queued if the time from its queueing to its deadline exceeds
        `flood_deadline_ratio` times the waiting time of its service level.
        """
        if self._start_limit_reached:
            return []
        settings = self.settings.admission
        refused = []
        for state in list(self._cluster.backlog.values()):
            if not state.is_flooded(now):
                continue
            cause = flood_refusal_cause(state, now, settings=settings)
            max_deadline_span_s = (
                settings.flood_deadline_ratio * state.workload.slo.wait_s
            )
            for request in list(state.queue):
                deadline_span_s = request.deadline_s - request.queued_at_s
                if (
                    request.started_tasks == 0
                    and deadline_span_s <= max_deadline_span_s
                ):
                    refused.append(self._refuse_queued(request, cause, now))
        return refused

    def _refuse_queue(self, state: WorkloadState, now: float) -> None:
        cause = RefusalCause(
            Reason.UNKNOWN_WORKLOAD, f"the workload {state.name} was deleted"
        )
        for request in list(state.queue):
            if request.started_tasks == 0:
                self._pending_refusals.append(self._refuse_queued(request, cause, now))

    def _current_holders(self, now: float) -> tuple[str, ...]:
        if (
            now - self._holders_cached_at_s >= _HOLDERS_CACHE_S
            or not self._cached_holders
        ):
            self._cached_holders = self._cluster.shares.holders()
            self._holders_cached_at_s = now
        return self._cached_holders


def _workload_load(state: WorkloadState) -> WorkloadLoad:
    return WorkloadLoad(
        workload=state.name,
        queued=len(state.queue),
        running=len(state.running),
        held=state.account.held,
        started_total=state.started_total,
        refused_total=state.refused_total,
    )
