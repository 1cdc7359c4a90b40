"""State of the scheduler and the operations that change it."""

from __future__ import annotations

import math

from papayadyke_core.admission import DeadlineQueue, QueuedRequest
from papayadyke_core.health import TaskOutcome, UpstreamHealth
from papayadyke_core.placement import Fleet, UpstreamSpec
from papayadyke_core.resources import Resources
from papayadyke_core.scheduling._capacity_hold import CapacityHold
from papayadyke_core.scheduling._preemption import PendingPreemption
from papayadyke_core.scheduling._reserves import Reserves
from papayadyke_core.scheduling._running import (
    RunningTaskIndex,
    SchedulingError,
    TrackedTask,
)
from papayadyke_core.scheduling._settings import SchedulerSettings
from papayadyke_core.scheduling._types import Outcome, RunningTask, Start
from papayadyke_core.scheduling._workload_state import WorkloadState
from papayadyke_core.sharing import ShareTree
from papayadyke_core.workloads import Config, Kind, ShareRule, Workload, effective_rule


class ClusterState:
    """Queues, accounts, reservations and running tasks, kept consistent.

    Parameters
    ----------
    settings : SchedulerSettings
    """

    def __init__(self, *, settings: SchedulerSettings) -> None:
        self.settings = settings
        self.fleet = Fleet(settings=settings.placement)
        self.health = UpstreamHealth(settings=settings.health)
        self.shares = ShareTree()
        self.reserves = Reserves(settings=settings.sharing)
        self.running = RunningTaskIndex()
        self.deadlines = DeadlineQueue()
        self.workload_states: dict[str, WorkloadState] = {}
        self.backlog: dict[str, WorkloadState] = {}
        self.queued_by_id: dict[str, list[QueuedRequest]] = {}
        self.upstream_specs: dict[str, UpstreamSpec] = {}
        self.unusable: set[str] = set()
        self._learned_limits: dict[str, int] = {}
        self.hold: CapacityHold | None = None
        self.next_hold_plan_s = -math.inf
        self.pending_preemptions: list[PendingPreemption] = []
        self.capacity_version = 0
        self._states_created = 0
        self._lost_upstreams: dict[str, tuple[float, UpstreamSpec]] = {}

    def apply_config(self, config: Config) -> list[WorkloadState]:
        """Apply a configuration and return newly retired workloads that have work.

        A workload is retired when the configuration no longer declares it.
        """
        self.shares.apply_config(config)
        for name, workload in config.workloads.items():
            rule = effective_rule(config, name)
            state = self.workload_states.get(name)
            if state is None:
                self._add_state(workload, rule)
            else:
                state.apply_rule(workload, rule)
        retired = [
            state
            for name, state in self.workload_states.items()
            if name not in config.workloads and not state.retired
        ]
        for state in retired:
            state.retired = True
            self._remove_retired_if_idle(state)
        self.reserves.invalidate()
        self.record_capacity_change()
        return [state for state in retired if state.name in self.workload_states]

    def record_capacity_change(self) -> None:
        """Record that tasks that could not be placed before may fit now."""
        self.capacity_version += 1

    def resize(self) -> None:
        """Update the accounts to the current size of the fleet."""
        self.shares.resize(self.fleet.capacity, self.fleet.slots)

    def add_upstream(self, spec: UpstreamSpec, now: float) -> None:
        """Add an upstream, or update the one of the same name."""
        self.upstream_specs[spec.name] = spec
        self.fleet.add_upstream(spec)
        self.health.add_upstream(spec.name, spec.slots, now, speed=spec.speed)
        self.set_usable(spec.name, True)

    def set_usable(self, name: str, usable: bool) -> None:
        """Allow or forbid the start of tasks on an upstream."""
        self.fleet.set_draining(name, not usable)
        if usable:
            self.unusable.discard(name)
        elif name in self.upstream_specs:
            self.unusable.add(name)
            self._release_hold_on(name)
        self.record_capacity_change()

    def remove_upstream(self, name: str, now: float) -> tuple[RunningTask, ...]:
        """Remove an upstream and return the tasks that were running on it."""
        spec = self.upstream_specs.get(name)
        if spec is not None:
            self._lost_upstreams[name] = (now, spec)
        tasks = tuple(self.running.on_upstream(name))
        for task in tasks:
            self.release(task.task_id)
        self.fleet.remove_upstream(name)
        self.health.remove_upstream(name)
        self.upstream_specs.pop(name, None)
        self._learned_limits.pop(name, None)
        self.unusable.discard(name)
        self._release_hold_on(name)
        self.record_capacity_change()
        return tuple(task.to_message() for task in tasks)

    def fits_lost_upstreams(self, demand: Resources, tasks: int, now: float) -> bool:
        """Return whether work would fit if recently removed upstreams returned.

        Upstreams removed within the last `lost_capacity_wait_s` seconds count. For
        several tasks at once, any such upstream is enough.
        """
        oldest_s = now - self.settings.admission.lost_capacity_wait_s
        self._lost_upstreams = {
            name: (removed_s, spec)
            for name, (removed_s, spec) in self._lost_upstreams.items()
            if removed_s > oldest_s and name not in self.upstream_specs
        }
        lost = [spec for _, spec in self._lost_upstreams.values()]
        if tasks > 1:
            return bool(lost)
        return any(demand.fits_in(spec.capacity) for spec in lost)

    def enqueue(self, request: QueuedRequest, now: float) -> None:
        """Add a request to the queue of its workload."""
        state = self.workload_states[request.workload]
        state.enqueue(request, now)
        self.backlog[state.name] = state
        self.queued_by_id.setdefault(request.id, []).append(request)
        self.deadlines.add(request)

    def dequeue(self, request: QueuedRequest) -> None:
        """Remove a request from the queue of its workload."""
        state = self.workload_states[request.workload]
        state.dequeue(request)
        self._unindex_request(request)

    def start(
        self, request: QueuedRequest, placed: tuple[tuple[str, str], ...], now: float
    ) -> list[Start]:
        """Record tasks of a request as running and return their start decisions.

        Parameters
        ----------
        request : QueuedRequest
        placed : tuple of (str, str)
            Task id and upstream of each task.
        now : float

        Returns
        -------
        starts : list of Start
        """
        state = self.workload_states[request.workload]
        account = state.account
        first = request.started_tasks
        gang = state.is_gang
        starts = []
        for offset, (task_id, upstream) in enumerate(placed):
            self._add_running(
                TrackedTask(
                    task_id=task_id,
                    request_id=request.id,
                    workload=request.workload,
                    upstream=upstream,
                    demand=account.demand,
                    started_at_s=now,
                    gang=gang,
                )
            )
            starts.append(
                Start(task_id, request.id, first + offset, upstream, account.demand)
            )
        state.record_started(request, len(placed), now)
        if first == 0:
            self.deadlines.record_stale_entry()
        if not request.is_queued:
            self._unindex_request(request)
        return starts

    def adopt(self, task: RunningTask, now: float) -> None:
        """Register a task that is already running on a known upstream.

        Raises
        ------
        SchedulingError
            If the task is already registered on another upstream.
        """
        existing = self.running.find(task.task_id)
        if existing is not None:
            if existing.upstream != task.upstream:
                raise SchedulingError(
                    f"scheduling: task {task.task_id} runs on {existing.upstream} and "
                    f"on {task.upstream}"
                )
            return
        if task.upstream not in self.upstream_specs:
            return
        if task.workload not in self.workload_states:
            self._add_unknown_workload(task.workload, task.demand)
        self.fleet.adopt(
            task.task_id,
            workload=task.workload,
            demand=task.demand,
            upstream=task.upstream,
        )
        self._add_running(
            TrackedTask(
                task_id=task.task_id,
                request_id=task.request_id,
                workload=task.workload,
                upstream=task.upstream,
                demand=task.demand,
                started_at_s=now,
                gang=self.workload_states[task.workload].is_gang,
                adopted=True,
            )
        )

    def release(self, task_id: str) -> TrackedTask | None:
        """Release the resources of a task and return it, or None if it is unknown."""
        task = self.running.pop(task_id)
        if task is None:
            return None
        self.fleet.release(task_id)
        state = self.workload_states[task.workload]
        del state.running[task_id]
        self.shares.add(task.workload, task.demand, -1)
        self.reserves.update_running_tasks(state.account)
        self._remove_retired_if_idle(state)
        self.record_capacity_change()
        return task

    def record_task_outcome(
        self, task: TrackedTask, outcome: Outcome, run_s: float, now: float
    ) -> None:
        """Update learned run times and upstream health with the outcome of a task."""
        state = self.workload_states.get(task.workload)
        if state is not None and outcome is Outcome.ANSWERED:
            state.run_times.record(run_s)
        self.health.record_outcome(
            task.upstream,
            task.workload,
            TaskOutcome(outcome),
            run_s,
            now,
            request_id=task.request_id,
        )

    def apply_health_changes(self, now: float) -> None:
        """Apply changed concurrency limits and speeds of upstreams to the fleet."""
        for name in self.health.pop_changed(now):
            limit = self.health.limit(name, now)
            self._learned_limits[name] = limit
            self.fleet.set_limit(name, limit)
            self.fleet.set_speed(name, self.health.speed(name))
            self.record_capacity_change()

    def release_stale_hold(self) -> None:
        """Release the capacity hold if its request is no longer queued."""
        if self.hold is not None and not self.hold.request.is_queued:
            self.hold = None
            self.record_capacity_change()

    def free_on(self, upstream: str) -> tuple[Resources, int]:
        """Return the free resources and slots of an upstream."""
        spec = self.upstream_specs[upstream]
        cpu_millis = memory_mb = accelerators = tasks = 0
        for task in self.running.on_upstream(upstream):
            demand = task.demand
            cpu_millis += demand.cpu_millis
            memory_mb += demand.memory_mb
            accelerators += demand.accelerators
            tasks += 1
        free = spec.capacity - Resources(cpu_millis, memory_mb, accelerators)
        return free, self.limit_of(upstream) - tasks

    def limit_of(self, upstream: str) -> int:
        """Return the number of tasks that may run at once on an upstream."""
        return self._learned_limits.get(upstream, self.upstream_specs[upstream].slots)

    def check_invariants(self) -> None:
        """Recompute all totals and compare them with the stored ones.

        Raises
        ------
        AssertionError
            If an invariant is violated.
        """
        self.fleet.check_invariants()
        self.health.check_invariants()
        self.shares.check_invariants()
        self.reserves.check_invariants()
        tasks = 0
        for state in self.workload_states.values():
            _check_state(state, backlogged=state.name in self.backlog)
            tasks += len(state.running)
        if tasks != len(self.running):
            raise SchedulingError(
                "scheduling: the running tasks of all workloads differ from the index"
            )

    def check_deadlines(self, last_decision_s: float) -> None:
        """Check that no request remains queued that should have expired.

        Raises
        ------
        SchedulingError
            If the deadline of a request without started tasks had passed by the
            last decision.
        """
        for requests in self.queued_by_id.values():
            for request in requests:
                if request.started_tasks == 0 and request.deadline_s <= last_decision_s:
                    raise SchedulingError(
                        f"scheduling: request {request.id} is queued past its deadline"
                    )

    def _add_running(self, task: TrackedTask) -> None:
        self.running.add(task)
        state = self.workload_states[task.workload]
        state.running[task.task_id] = task
        self.shares.add(task.workload, task.demand, 1)
        self.reserves.update_running_tasks(state.account)

    def _add_state(self, workload: Workload, rule: ShareRule) -> WorkloadState:
        self._states_created += 1
        state = WorkloadState(
            workload,
            rule,
            self.shares.account(workload.name),
            tie_breaker=self._states_created,
            settings=self.settings,
        )
        self.workload_states[workload.name] = state
        return state

    def _add_unknown_workload(self, name: str, demand: Resources) -> None:
        workload = Workload(name=name, kind=Kind.BATCH, demand=demand)
        config = Config(workloads={name: workload})
        self.shares.apply_config(config)
        state = self._add_state(workload, effective_rule(config, name))
        state.retired = True

    def _unindex_request(self, request: QueuedRequest) -> None:
        state = self.workload_states[request.workload]
        if len(state.queue) == 0:
            self.backlog.pop(state.name, None)
        if request.started_tasks == 0:
            self.deadlines.record_stale_entry()
        entries = self.queued_by_id[request.id]
        entries.remove(request)
        if not entries:
            del self.queued_by_id[request.id]
        self._remove_retired_if_idle(state)

    def _remove_retired_if_idle(self, state: WorkloadState) -> None:
        if state.retired and not state.running and len(state.queue) == 0:
            self.shares.remove(state.name)
            del self.workload_states[state.name]

    def _release_hold_on(self, upstream: str) -> None:
        if self.hold is not None and upstream in self.hold.upstreams:
            self.hold = None


def _check_state(state: WorkloadState, *, backlogged: bool) -> None:
    if backlogged != (len(state.queue) > 0):
        raise SchedulingError(
            f"scheduling: the backlog and the queue of {state.name} differ"
        )
    if state.account.tasks != len(state.running):
        raise SchedulingError(
            f"scheduling: the account and the tasks of {state.name} differ"
        )
    if not math.isfinite(state.account.dominant_share):
        raise SchedulingError(f"scheduling: the share of {state.name} is not finite")
