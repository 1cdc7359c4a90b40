"""The state of a scheduler, and the few ways in which it changes."""

from __future__ import annotations

import math

from papayadyke_core.admission import DeadlineQueue, QueuedRequest
from papayadyke_core.health import TaskOutcome, UpstreamHealth
from papayadyke_core.placement import Fleet, UpstreamSpec
from papayadyke_core.resources import Resources
from papayadyke_core.scheduling._reserves import Reserves
from papayadyke_core.scheduling._room_hold import RoomHold
from papayadyke_core.scheduling._running import Running, RunningTasks, SchedulingError
from papayadyke_core.scheduling._settings import SchedulerSettings
from papayadyke_core.scheduling._state import WorkloadState
from papayadyke_core.scheduling._stops import PendingReturn
from papayadyke_core.scheduling._types import Outcome, RunningTask, Start
from papayadyke_core.sharing import ShareTree
from papayadyke_core.workloads import Config, Kind, ShareRule, Workload, effective_rule


class Book:
    """Queues, accounts, reservations and running tasks, changed together.

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
        self.running = RunningTasks()
        self.deadlines = DeadlineQueue()
        self.states: dict[str, WorkloadState] = {}
        self.backlog: dict[str, WorkloadState] = {}
        self.queued: dict[str, list[QueuedRequest]] = {}
        self.specs: dict[str, UpstreamSpec] = {}
        self.unusable: set[str] = set()
        self._limits: dict[str, int] = {}
        self.hold: RoomHold | None = None
        self.next_hold_s = -math.inf
        self.returns: list[PendingReturn] = []
        self.room_version = 0
        self._states_made = 0
        self._removed: dict[str, tuple[float, UpstreamSpec]] = {}

    def apply_config(self, config: Config) -> list[WorkloadState]:
        """Take a configuration into force and return what it retires with work."""
        self.shares.apply_config(config)
        for name, workload in config.workloads.items():
            rule = effective_rule(config, name)
            state = self.states.get(name)
            if state is None:
                self._add_state(workload, rule)
            else:
                state.apply_rule(workload, rule)
        retired = [
            state
            for name, state in self.states.items()
            if name not in config.workloads and not state.retired
        ]
        for state in retired:
            state.retired = True
            self._drop_if_done(state)
        self.reserves.forget()
        self.note_room()
        return [state for state in retired if state.name in self.states]

    def note_room(self) -> None:
        """Note that there may be room where there was none before."""
        self.room_version += 1

    def resize(self) -> None:
        """Tell the accounts how large the fleet is."""
        self.shares.resize(self.fleet.capacity, self.fleet.slots)

    def add_upstream(self, spec: UpstreamSpec, now: float) -> None:
        """Take an upstream into use, or update it."""
        self.specs[spec.name] = spec
        self.fleet.add_upstream(spec)
        self.health.add_upstream(spec.name, spec.slots, now, speed=spec.speed)
        self.set_usable(spec.name, True)

    def set_usable(self, name: str, usable: bool) -> None:
        """Start nothing more on an upstream, or allow it again."""
        self.fleet.set_draining(name, not usable)
        if usable:
            self.unusable.discard(name)
        elif name in self.specs:
            self.unusable.add(name)
            self._drop_hold_on(name)
        self.note_room()

    def remove_upstream(self, name: str, now: float) -> tuple[RunningTask, ...]:
        """Forget an upstream and what runs on it."""
        spec = self.specs.get(name)
        if spec is not None:
            self._removed[name] = (now, spec)
        tasks = tuple(self.running.on_upstream(name))
        for task in tasks:
            self.release(task.task_id)
        self.fleet.remove_upstream(name)
        self.health.remove_upstream(name)
        self.specs.pop(name, None)
        self._limits.pop(name, None)
        self.unusable.discard(name)
        self._drop_hold_on(name)
        self.note_room()
        return tuple(task.to_message() for task in tasks)

    def fitted_lately(self, demand: Resources, tasks: int, now: float) -> bool:
        """Tell whether work would fit if the upstreams lost lately came back."""
        oldest_s = now - self.settings.admission.lost_capacity_s
        self._removed = {
            name: (removed_s, spec)
            for name, (removed_s, spec) in self._removed.items()
            if removed_s > oldest_s and name not in self.specs
        }
        lost = [spec for _, spec in self._removed.values()]
        if tasks > 1:
            return bool(lost)
        return any(demand.fits_in(spec.capacity) for spec in lost)

    def enqueue(self, request: QueuedRequest, now: float) -> None:
        """Queue a request."""
        state = self.states[request.workload]
        state.enqueue(request, now)
        self.backlog[state.name] = state
        self.queued.setdefault(request.id, []).append(request)
        self.deadlines.add(request)

    def leave_queue(self, request: QueuedRequest) -> None:
        """Drop a request from its queue."""
        state = self.states[request.workload]
        state.leave_queue(request)
        self._forget_queued(request)

    def start(
        self, request: QueuedRequest, placed: tuple[tuple[str, str], ...], now: float
    ) -> list[Start]:
        """Count tasks of a request, with their upstreams, as running."""
        state = self.states[request.workload]
        account = state.account
        first = request.started
        gang = state.is_gang
        starts = []
        for offset, (task_id, upstream) in enumerate(placed):
            self._add_running(
                Running(
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
            self.deadlines.note_left()
        if not request.live:
            self._forget_queued(request)
        return starts

    def adopt(self, task: RunningTask, now: float) -> None:
        """Count a task that runs already on a known upstream."""
        known = self.running.find(task.task_id)
        if known is not None:
            if known.upstream != task.upstream:
                raise SchedulingError(
                    f"scheduling: {task.task_id} runs on {known.upstream} and on "
                    f"{task.upstream}"
                )
            return
        if task.upstream not in self.specs:
            return
        if task.workload not in self.states:
            self._add_unknown_workload(task.workload, task.demand)
        self.fleet.adopt(
            task.task_id,
            workload=task.workload,
            demand=task.demand,
            upstream=task.upstream,
        )
        self._add_running(
            Running(
                task_id=task.task_id,
                request_id=task.request_id,
                workload=task.workload,
                upstream=task.upstream,
                demand=task.demand,
                started_at_s=now,
                gang=self.states[task.workload].is_gang,
                adopted=True,
            )
        )

    def release(self, task_id: str) -> Running | None:
        """Give back what a task holds; None where it is unknown."""
        task = self.running.pop(task_id)
        if task is None:
            return None
        self.fleet.release(task_id)
        state = self.states[task.workload]
        del state.running[task_id]
        self.shares.add(task.workload, task.demand, -1)
        self.reserves.note_held(state.account)
        self._drop_if_done(state)
        self.note_room()
        return task

    def learn(self, task: Running, outcome: Outcome, run_s: float, now: float) -> None:
        """Learn from how a task ended."""
        state = self.states.get(task.workload)
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

    def follow_health(self, now: float) -> None:
        """Take learned limits and speeds of upstreams into force."""
        for name in self.health.changed(now):
            limit = self.health.limit(name, now)
            self._limits[name] = limit
            self.fleet.set_limit(name, limit)
            self.fleet.set_speed(name, self.health.speed(name))
            self.note_room()

    def drop_stale_hold(self) -> None:
        """Hold no room for a request that is gone."""
        if self.hold is not None and not self.hold.request.live:
            self.hold = None
            self.note_room()

    def free_on(self, upstream: str) -> tuple[Resources, int]:
        """Return the free resources and slots of an upstream."""
        spec = self.specs[upstream]
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
        """Return how many tasks may run at once on an upstream."""
        return self._limits.get(upstream, self.specs[upstream].slots)

    def check_invariants(self) -> None:
        """Count everything anew and compare.

        Raises
        ------
        AssertionError
            If an invariant does not hold.
        """
        self.fleet.check_invariants()
        self.health.check_invariants()
        self.shares.check_invariants()
        self.reserves.check_invariants()
        tasks = 0
        for state in self.states.values():
            _check_state(state, backlogged=state.name in self.backlog)
            tasks += len(state.running)
        if tasks != len(self.running):
            raise SchedulingError("scheduling: running tasks differ")

    def check_deadlines(self, decided_at_s: float) -> None:
        """Check that nothing waits on that should have been refused as expired.

        Raises
        ------
        SchedulingError
        """
        for requests in self.queued.values():
            for request in requests:
                if request.started == 0 and request.deadline_s <= decided_at_s:
                    raise SchedulingError(f"scheduling: {request.id} waits too long")

    def _add_running(self, task: Running) -> None:
        self.running.add(task)
        state = self.states[task.workload]
        state.running[task.task_id] = task
        self.shares.add(task.workload, task.demand, 1)
        self.reserves.note_held(state.account)

    def _add_state(self, workload: Workload, rule: ShareRule) -> WorkloadState:
        self._states_made += 1
        state = WorkloadState(
            workload,
            rule,
            self.shares.account(workload.name),
            order=self._states_made,
            settings=self.settings,
        )
        self.states[workload.name] = state
        return state

    def _add_unknown_workload(self, name: str, demand: Resources) -> None:
        workload = Workload(name=name, kind=Kind.BATCH, demand=demand)
        config = Config(workloads={name: workload})
        self.shares.apply_config(config)
        state = self._add_state(workload, effective_rule(config, name))
        state.retired = True

    def _forget_queued(self, request: QueuedRequest) -> None:
        state = self.states[request.workload]
        if len(state.queue) == 0:
            self.backlog.pop(state.name, None)
        if request.started == 0:
            self.deadlines.note_left()
        entries = self.queued[request.id]
        entries.remove(request)
        if not entries:
            del self.queued[request.id]
        self._drop_if_done(state)

    def _drop_if_done(self, state: WorkloadState) -> None:
        if state.retired and not state.running and len(state.queue) == 0:
            self.shares.remove(state.name)
            del self.states[state.name]

    def _drop_hold_on(self, upstream: str) -> None:
        if self.hold is not None and upstream in self.hold.upstreams:
            self.hold = None


def _check_state(state: WorkloadState, *, backlogged: bool) -> None:
    if backlogged != (len(state.queue) > 0):
        raise SchedulingError(f"scheduling: the backlog of {state.name} differs")
    if state.account.tasks != len(state.running):
        raise SchedulingError(f"scheduling: the account of {state.name} differs")
    if not math.isfinite(state.account.share_):
        raise SchedulingError(f"scheduling: the share of {state.name} is unbounded")
