"""Simple schedulers to compare with: first come first served, strict priority."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.resources import ZERO_RESOURCES, Resources
from papayadyke_core.scheduling import (
    CancelResult,
    Decision,
    LoadSummary,
    Outcome,
    Refuse,
    Request,
    RunningTask,
    Start,
)
from papayadyke_core.verdicts import Reason, Refusal, Verdict
from papayadyke_core.workloads import Config, Workload

RankOf = Callable[[Workload], int]


def rank_all_alike(workload: Workload) -> int:
    """One queue for everything: first come, first served."""
    return 0


def rank_by_urgency(workload: Workload) -> int:
    """One queue for each class of urgency, the most urgent first."""
    return -int(workload.urgency)


class BaselineScheduler:
    """Queues by rank, each served in order; the first upstream that fits.

    Parameters
    ----------
    rank_of : callable
        Gives the queue of a workload; lower goes first. A head that fits nowhere
        keeps back its own queue only.
    """

    def __init__(self, *, rank_of: RankOf) -> None:
        self.rank_of = rank_of
        self._config = Config()
        self._specs: dict[str, UpstreamSpec] = {}
        self._free: dict[str, Resources] = {}
        self._slots: dict[str, int] = {}
        self._draining: set[str] = set()
        self._queues: dict[int, deque[Request]] = {}
        self._queued: dict[str, int] = {}
        self._cancelled: set[str] = set()
        self._tasks: dict[str, RunningTask] = {}

    def apply_config(self, config: Config, now: float) -> None:
        """Take a configuration into force."""
        self._config = config

    def add_upstream(self, spec: UpstreamSpec, now: float) -> None:
        """Take an upstream into use."""
        self._specs[spec.name] = spec
        self._free[spec.name] = spec.capacity
        self._slots[spec.name] = spec.slots

    def drain_upstream(self, name: str, now: float) -> None:
        """Start nothing more on an upstream."""
        self._draining.add(name)

    def remove_upstream(self, name: str, now: float) -> tuple[RunningTask, ...]:
        """Forget an upstream and return the tasks that were on it."""
        lost = tuple(task for task in self._tasks.values() if task.upstream == name)
        for task in lost:
            del self._tasks[task.task_id]
        del self._specs[name], self._free[name], self._slots[name]
        return lost

    def adopt(self, task: RunningTask, now: float) -> None:
        """Count a task that runs already."""
        self._hold(task)

    def submit(self, req: Request, now: float) -> Refusal | None:
        """Queue a request unless the queue of its workload is full."""
        workload = self._config.workloads[req.workload]
        queued = self._queued.get(req.workload, 0)
        if queued >= workload.queue_limit:
            return _refusal(Reason.QUEUE_FULL)
        self._queued[req.workload] = queued + 1
        rank = self.rank_of(workload)
        self._queues.setdefault(rank, deque()).append(req)
        return None

    def cancel(self, request_id: str, now: float) -> CancelResult:
        """Drop a queued request, or name what of it runs."""
        running = tuple(
            task for task in self._tasks.values() if task.request_id == request_id
        )
        if not running:
            self._cancelled.add(request_id)
        return CancelResult(True, not running, running)

    def decide(self, now: float) -> list[Decision]:
        """Start heads of queues for as long as they fit."""
        decisions: list[Decision] = []
        for rank in sorted(self._queues):
            queue = self._queues[rank]
            while queue:
                req = queue[0]
                if req.id in self._cancelled:
                    self._cancelled.discard(req.id)
                elif req.deadline_s <= now:
                    decisions.append(Refuse(req.id, _refusal(Reason.EXPIRED)))
                else:
                    starts = self._place(req)
                    if starts is None:
                        break
                    decisions.extend(starts)
                queue.popleft()
                self._queued[req.workload] -= 1
        return decisions

    def finish(
        self, task_id: str, outcome: Outcome, now: float, *, run_s: float = 0.0
    ) -> None:
        """Release what a started task held."""
        task = self._tasks.pop(task_id, None)
        if task is not None:
            self._free[task.upstream] += task.demand
            self._slots[task.upstream] += 1

    def next_decision_s(self, now: float) -> float | None:
        """Return when the first deadline of a head passes."""
        heads = [queue[0].deadline_s for queue in self._queues.values() if queue]
        return min(heads, default=None)

    def summary(self, now: float) -> LoadSummary:
        """Return an empty summary; nothing asks a baseline for its load."""
        return LoadSummary(ZERO_RESOURCES, ZERO_RESOURCES, 0, 0, len(self._specs))

    def _place(self, req: Request) -> list[Start] | None:
        demand = self._config.workloads[req.workload].demand
        starts: list[Start] = []
        for index in range(req.tasks):
            upstream = self._first_fit(demand)
            if upstream is None:
                for start in starts:
                    self.finish(start.task_id, Outcome.NOT_STARTED, 0.0)
                return None
            task_id = f"{req.id}.{req.attempt}.{index}"
            self._hold(RunningTask(task_id, req.id, req.workload, upstream, demand))
            starts.append(Start(task_id, req.id, index, upstream, demand))
        return starts

    def _first_fit(self, demand: Resources) -> str | None:
        for name, free in self._free.items():
            has_slot = self._slots[name] > 0 and name not in self._draining
            if has_slot and demand.fits_in(free):
                return name
        return None

    def _hold(self, task: RunningTask) -> None:
        self._tasks[task.task_id] = task
        self._free[task.upstream] -= task.demand
        self._slots[task.upstream] -= 1


def _refusal(reason: Reason) -> Refusal:
    return Refusal(Verdict.NOT_RUN, reason, "refused by a baseline", 1.0)
