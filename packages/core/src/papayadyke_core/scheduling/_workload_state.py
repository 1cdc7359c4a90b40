"""Scheduling state of one workload."""

from __future__ import annotations

import math

from papayadyke_core.admission import (
    ArrivalRate,
    FloodDetector,
    QueuedRequest,
    RunTimeEstimator,
    ServiceRate,
    WorkloadQueue,
)
from papayadyke_core.health import RetryBudget
from papayadyke_core.scheduling._running import TrackedTask
from papayadyke_core.scheduling._settings import SchedulerSettings
from papayadyke_core.sharing import BlockReason, WorkloadAccount
from papayadyke_core.workloads import Kind, ShareRule, Workload


class WorkloadState:
    """Queue, account, running tasks and learned rates of one workload.

    Parameters
    ----------
    workload : Workload
    rule : ShareRule
        Effective rule, in which no field is None.
    account : WorkloadAccount
    tie_breaker : int
        Orders workloads that rank equally otherwise; a lower value goes first.
    settings : SchedulerSettings
    """

    def __init__(
        self,
        workload: Workload,
        rule: ShareRule,
        account: WorkloadAccount,
        *,
        tie_breaker: int,
        settings: SchedulerSettings,
    ) -> None:
        self.workload = workload
        self.rule = rule
        self.account = account
        self.tie_breaker = tie_breaker
        self.retired = False
        self.queue = WorkloadQueue()
        self.running: dict[str, TrackedTask] = {}
        admission = settings.admission
        self.arrivals = ArrivalRate(window_s=admission.arrival_window_s)
        self.flood = FloodDetector(settings=admission)
        self.service_rate = ServiceRate(
            window_s=admission.service_window_s,
            min_queue_age_s=admission.min_queue_age_s,
        )
        self.run_times = RunTimeEstimator(
            timeout_s=workload.timeout_s,
            min_finished_tasks=admission.min_finished_tasks,
        )
        self.retry_budget = RetryBudget(settings=settings.retries)
        self.started_total = 0
        self.refused_total = 0
        self.last_start_s = -math.inf
        self.below_floor_since_s: float | None = None
        self.blocked_by: BlockReason = BlockReason.BEHIND_OTHER_WORK
        self._failed_placement: tuple[int, int] | None = None

    @property
    def name(self) -> str:
        """Name of the workload."""
        return self.workload.name

    @property
    def admits_requests(self) -> bool:
        """Whether new requests of the workload are admitted."""
        return self.rule.admit and not self.retired

    @property
    def is_gang(self) -> bool:
        """Whether all tasks of a request must start at once."""
        return self.account.kind is Kind.GANG

    @property
    def queue_limit(self) -> int:
        """Maximum number of queued requests."""
        limit = self.rule.queue_limit
        return self.workload.queue_limit if limit is None else limit

    def apply_rule(self, workload: Workload, rule: ShareRule) -> None:
        """Apply a changed declaration and share rule."""
        self.workload = workload
        self.rule = rule
        self.retired = False
        self.run_times.timeout_s = workload.timeout_s
        self._failed_placement = None

    def enqueue(self, request: QueuedRequest, now: float) -> None:
        """Append a request to the queue."""
        if len(self.queue) == 0:
            self.service_rate.begin_queue(now)
        self.queue.append(request)

    def dequeue(self, request: QueuedRequest) -> None:
        """Remove a request from the queue."""
        self.queue.discard(request)
        self._reset_if_queue_empty()

    def record_started(self, request: QueuedRequest, tasks: int, now: float) -> None:
        """Update the queue and the learned rates for started tasks of a request."""
        for _ in range(tasks):
            self.service_rate.record_start(now)
            self.flood.record_start(now)
        self.queue.record_started(request, tasks)
        self._reset_if_queue_empty()
        self.started_total += tasks
        self.last_start_s = now
        if request.attempt == 1:
            self.retry_budget.record_start()

    def is_flooded(self, now: float) -> bool:
        """Return whether to refuse requests that cannot start immediately."""
        if self.is_gang or not self.account.is_urgent:
            return False
        running = len(self.running)
        return self.flood.is_flooded(queued=self.queue.tasks, running=running, now=now)

    def is_overdue(
        self, request: QueuedRequest, now: float, overdue_after_s: float
    ) -> bool:
        """Return whether the workload starves, judged by its oldest request.

        The request must have waited for at least `overdue_after_s` seconds, with no
        task of the workload started in the last `overdue_after_s` seconds. A workload
        with a long queue does not starve as long as some of its tasks are started.
        """
        return (
            now - request.queued_at_s >= overdue_after_s
            and now - self.last_start_s >= overdue_after_s
        )

    def record_placement_failure(self, tasks: int, capacity_version: int) -> None:
        """Record that no upstreams had the capacity to start `tasks` at once."""
        self._failed_placement = (tasks, capacity_version)

    def is_known_unplaceable(self, tasks: int, capacity_version: int) -> bool:
        """Return whether placing so many tasks has failed at this capacity version."""
        if self._failed_placement is None:
            return False
        failed_tasks, failed_version = self._failed_placement
        return tasks >= failed_tasks and failed_version == capacity_version

    def _reset_if_queue_empty(self) -> None:
        if len(self.queue) == 0:
            self.service_rate.end_queue()
            self.below_floor_since_s = None
