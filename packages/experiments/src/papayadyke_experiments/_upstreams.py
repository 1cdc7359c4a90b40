"""Simulated upstreams: they start, run and end tasks, and report to the dispatcher."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from papayadyke_core.dispatch import (
    EndedRun,
    RunEnd,
    RunningRun,
    StartOrder,
    StartOutcome,
    StepId,
    StepSpec,
    StopOrder,
    TaskId,
    UpstreamEntry,
    UpstreamReport,
)

SERVICE = "service"
RESTORE_S = 0.5  # seconds to resume from a checkpoint


@dataclass(slots=True)
class SimulatedRun:
    """A run.

    Parameters
    ----------
    attempt : int
    end : RunEnd
        How it will end.
    taken_s : float
        Seconds that it works; for the member of a gang, that it would by itself.
    end_s : float
        When it ends; infinite for a member whose gang is not complete.
    share : float
        Share of the task that is left when it starts; the rest is in a checkpoint.
    is_checkpointing : bool
    """

    attempt: int
    end: RunEnd
    taken_s: float
    end_s: float
    share: float = 1.0
    is_checkpointing: bool = False

    def find_left_share(self, now: float) -> float:
        """Return the share of the task that is left now."""
        left_s = min(max(self.end_s - now, 0.0), self.taken_s)
        return self.share * left_s / self.taken_s


@dataclass(slots=True)
class SimulatedUpstream:
    """An upstream.

    Parameters
    ----------
    entry : UpstreamEntry
    speed : float
    incarnation : int
    runs : dict of TaskId to SimulatedRun
    ended : list of EndedRun
        Ends that are not acknowledged yet.
    end_count : int
    down_until_s, silent_until_s, slow_until_s : float
        Until when it is crashed, cannot be reached, or is slower by `slow_factor`.
    next_report_s : float
    """

    entry: UpstreamEntry
    speed: float
    incarnation: int = 1
    runs: dict[TaskId, SimulatedRun] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    end_count: int = 0
    down_until_s: float = 0.0
    silent_until_s: float = 0.0
    slow_until_s: float = 0.0
    slow_factor: float = 1.0
    next_report_s: float = 0.0

    @property
    def name(self) -> str:
        """Id of the upstream."""
        return self.entry.upstream_id

    def is_reachable(self, now: float) -> bool:
        """Return whether calls to the upstream are answered."""
        return now >= self.down_until_s and now >= self.silent_until_s

    def crash(self, now: float, for_s: float) -> None:
        """Lose all runs and unacknowledged ends, and be away for some seconds."""
        self.incarnation += 1
        self.runs.clear()
        self.ended.clear()
        self.end_count = 0
        self.down_until_s = now + for_s

    def list_end(self, task: TaskId, end: RunEnd, *, checkpoint: str = "") -> None:
        """End a run and list its end."""
        run = self.runs.pop(task)
        self.end_count += 1
        self.ended.append(EndedRun(self.end_count, task, run.attempt, end, checkpoint))

    def make_report(self, now: float, call_s: float) -> UpstreamReport:
        """Return what the upstream reports now to a call of that length."""
        running = [RunningRun(task, run.attempt) for task, run in self.runs.items()]
        return UpstreamReport(
            self.incarnation, now - call_s, now, running, list(self.ended)
        )


class SimulatedFleet:
    """All upstreams, and the gangs that run on them.

    Parameters
    ----------
    upstreams : list of SimulatedUpstream
    run_s : callable
        Returns the true run time of a task at speed 1, in seconds.
    get_step : callable
        Returns the step of a task.
    draw_end : callable
        Returns whether a run is done or fails at its end.
    """

    def __init__(
        self,
        upstreams: list[SimulatedUpstream],
        *,
        run_s: Callable[[TaskId], float],
        get_step: Callable[[TaskId], StepSpec],
        draw_end: Callable[[TaskId, int], RunEnd],
    ) -> None:
        self.upstreams = {upstream.name: upstream for upstream in upstreams}
        self._run_s = run_s
        self._get_step = get_step
        self._draw_end = draw_end
        self._gangs: dict[tuple[StepId, int], list[tuple[str, TaskId]]] = {}

    def start(self, order: StartOrder, now: float) -> StartOutcome:
        """Carry out a start order."""
        upstream = self.upstreams[order.upstream_id]
        if not upstream.is_reachable(now):
            return StartOutcome.UNKNOWN
        if order.task in upstream.runs:
            return StartOutcome.STARTED
        slowness = upstream.slow_factor if now < upstream.slow_until_s else 1.0
        taken_s = self._run_s(order.task) * slowness / upstream.speed
        share = float(order.checkpoint or 1.0)
        if order.checkpoint:
            taken_s = taken_s * share + RESTORE_S
        end = self._draw_end(order.task, order.attempt)
        step = self._get_step(order.task)
        run = SimulatedRun(
            order.attempt, end, taken_s, now + taken_s, share, step.is_checkpointing
        )
        upstream.runs[order.task] = run
        members = self._count_members(order.task)
        if members > 1:
            self._join_gang(order, run, members, now)
        return StartOutcome.STARTED

    def _join_gang(
        self, order: StartOrder, run: SimulatedRun, members: int, now: float
    ) -> None:
        """Let a gang work from the moment when all of its members are there."""
        key = StepId(*order.task[:3]), order.attempt
        gang = self._gangs.setdefault(key, [])
        gang.append((order.upstream_id, order.task))
        run.end_s = math.inf
        if len(gang) < members:
            return
        runs = [
            member
            for name, task in self._gangs.pop(key)
            if (member := self.upstreams[name].runs.get(task)) is not None
        ]
        end_s = now + max(member.taken_s for member in runs)
        has_failed = runs[0].end is RunEnd.FAILED
        for number, member in enumerate(runs):
            member.end_s = end_s
            member.end = RunEnd.BROKEN if has_failed and number else runs[0].end

    def _count_members(self, task: TaskId) -> int:
        """Return the number of members of the gang of a task; 1 if it has none."""
        step = self._get_step(task)
        return step.count if step.is_gang else 1

    def stop(self, order: StopOrder, now: float) -> bool:
        """Carry out a stop order; return whether it was answered."""
        upstream = self.upstreams[order.upstream_id]
        if not upstream.is_reachable(now):
            return False
        run = upstream.runs.get(order.task)
        if run is not None and run.attempt == order.attempt:
            left_share = run.find_left_share(now)
            is_saved = run.is_checkpointing and left_share < run.share
            checkpoint = f"{left_share:.6f}" if is_saved else ""
            upstream.list_end(order.task, RunEnd.STOPPED, checkpoint=checkpoint)
        return True

    def end_due(self, now: float) -> set[str]:
        """End the runs that are due; return the upstreams that list new ends."""
        changed = set()
        for name, upstream in self.upstreams.items():
            due = [task for task, run in upstream.runs.items() if run.end_s <= now]
            for task in due:
                upstream.list_end(task, upstream.runs[task].end)
                changed.add(name)
        return changed

    def crash(self, name: str, now: float, for_s: float) -> None:
        """Crash an upstream and break the gangs that ran on it."""
        upstream = self.upstreams[name]
        steps = {
            StepId(*task[:3]) for task in upstream.runs if self._count_members(task) > 1
        }
        upstream.crash(now, for_s)
        for other in self.upstreams.values():
            for task in list(other.runs):
                if StepId(*task[:3]) in steps:
                    other.list_end(task, RunEnd.BROKEN)


def make_upstreams(
    count: int,
    *,
    cores: int,
    memory_mb: int,
    speeds: tuple[float, ...],
    rack_size: int,
    rng: random.Random,
) -> list[SimulatedUpstream]:
    """Return upstreams whose speeds are dealt out at random."""
    dealt = [speeds[number % len(speeds)] for number in range(count)]
    rng.shuffle(dealt)
    return [
        SimulatedUpstream(
            UpstreamEntry(
                f"u{number:03d}",
                SERVICE,
                f"u{number:03d}:1",
                "zone",
                cores * 1000,
                memory_mb,
                rack=f"r{number // rack_size}",
            ),
            speed,
        )
        for number, speed in enumerate(dealt)
    ]
