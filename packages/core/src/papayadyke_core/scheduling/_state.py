"""What a scheduler keeps of one workload."""

from __future__ import annotations

import math

from papayadyke_core.admission import (
    ArrivalRate,
    FloodDetector,
    QueuedRequest,
    RunTimes,
    ServiceRate,
    WorkloadQueue,
)
from papayadyke_core.health import RetryBudget
from papayadyke_core.scheduling._running import Running
from papayadyke_core.scheduling._settings import SchedulerSettings
from papayadyke_core.sharing import Limit, WorkloadAccount
from papayadyke_core.workloads import Kind, ShareRule, Workload


class WorkloadState:
    """Queue, account and what is learned of one workload.

    Parameters
    ----------
    workload : Workload
    rule : ShareRule
        With no field left at None.
    account : WorkloadAccount
    order : int
        Settles the order of workloads that are equal otherwise.
    settings : SchedulerSettings
    """

    def __init__(
        self,
        workload: Workload,
        rule: ShareRule,
        account: WorkloadAccount,
        *,
        order: int,
        settings: SchedulerSettings,
    ) -> None:
        self.workload = workload
        self.rule = rule
        self.account = account
        self.order = order
        self.retired = False
        self.queue = WorkloadQueue()
        self.running: dict[str, Running] = {}
        admission = settings.admission
        self.arrivals = ArrivalRate(window_s=admission.arrival_window_s)
        self.flood = FloodDetector(settings=admission)
        self.service_rate = ServiceRate(
            window_s=admission.service_window_s,
            evidence_s=admission.service_evidence_s,
        )
        self.run_times = RunTimes(
            timeout_s=workload.timeout_s, evidence=admission.run_time_evidence
        )
        self.retry_budget = RetryBudget(settings=settings.retries)
        self.started_total = 0
        self.refused_total = 0
        self.last_start_s = -math.inf
        self.below_floor_since_s: float | None = None
        self.blocked_by: Limit = Limit.TURN
        self._no_room: tuple[int, int] | None = None

    @property
    def name(self) -> str:
        """Name of the workload."""
        return self.workload.name

    @property
    def takes_work(self) -> bool:
        """Whether new requests are admitted."""
        return self.rule.admit and not self.retired

    @property
    def is_gang(self) -> bool:
        """Whether all tasks of a request start at once."""
        return self.account.kind is Kind.GANG

    @property
    def queue_limit(self) -> int:
        """Requests that may wait."""
        limit = self.rule.queue_limit
        return self.workload.queue_limit if limit is None else limit

    def apply_rule(self, workload: Workload, rule: ShareRule) -> None:
        """Take another declaration and rule into force."""
        self.workload = workload
        self.rule = rule
        self.retired = False
        self.run_times.timeout_s = workload.timeout_s
        self._no_room = None

    def enqueue(self, request: QueuedRequest, now: float) -> None:
        """Queue a request."""
        if len(self.queue) == 0:
            self.service_rate.begin_queue(now)
        self.queue.append(request)

    def leave_queue(self, request: QueuedRequest) -> None:
        """Drop a request from the queue."""
        self.queue.discard(request)
        self._note_if_empty()

    def record_started(self, request: QueuedRequest, tasks: int, now: float) -> None:
        """Count tasks of a request that have been started."""
        for _ in range(tasks):
            self.service_rate.record_start(now)
            self.flood.record_start(now)
        self.queue.record_started(request, tasks)
        self._note_if_empty()
        self.started_total += tasks
        self.last_start_s = now
        if request.attempt == 1:
            self.retry_budget.record_start()

    def is_flooded(self, now: float) -> bool:
        """Tell whether requests that can't start at once are to be refused."""
        if self.is_gang or not self.account.is_urgent:
            return False
        running = len(self.running)
        return self.flood.is_flooded(queued=self.queue.tasks, running=running, now=now)

    def is_overdue(self, request: QueuedRequest, now: float, overdue_s: float) -> bool:
        """Tell whether nothing was started for as long as a request has waited.

        A workload of which tasks are started has a long queue, but doesn't starve.
        """
        return (
            now - request.queued_at_s >= overdue_s
            and now - self.last_start_s >= overdue_s
        )

    def note_no_room(self, tasks: int, room_version: int) -> None:
        """Note that no upstream had room for so many tasks at once."""
        self._no_room = (tasks, room_version)

    def has_no_room(self, tasks: int, room_version: int) -> bool:
        """Tell whether that was found already and no room has fallen free since."""
        if self._no_room is None:
            return False
        tried, version = self._no_room
        return tasks >= tried and version == room_version

    def _note_if_empty(self) -> None:
        if len(self.queue) == 0:
            self.service_rate.end_queue()
            self.below_floor_since_s = None
