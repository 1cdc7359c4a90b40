"""Time of one step of the dispatcher, by the number of teams and of waiting tasks.

The fleet is full, and a few runs end before each tick. Prints the mean processor time
of a tick and that of the slowest, and the same without teams.
"""

from __future__ import annotations

import time

import typer

from papayadyke_core.dispatch import (
    Catalog,
    Dispatcher,
    DispatchSettings,
    EndedRun,
    QueuePolicy,
    RunEnd,
    RunningRun,
    StagedJobSpec,
    StartOutcome,
    StepSpec,
    TaskId,
    UpstreamEntry,
    UpstreamReport,
)
from papayadyke_core.resources import Resources
from papayadyke_core.teams import TeamPolicy

UPSTREAMS = 1000
CORES = 16
TASK_CORES = 2
TICKS = 60
SETTLING_TICKS = 3  # fill the fleet as far as the limits allow
ENDS_PER_TICK = 10
TEAMS = (0, 20, 61, 500)
# Waiting jobs, and tasks of each.
LOADS = ((2000, 1), (2000, 10), (20_000, 1))
QUEUES = (
    QueuePolicy("check", "h", "/check/", "s", 0, 2, 1.5, 0.25),
    QueuePolicy("batch", "h", "/batch/", "s", 1, 2, 4.0, 60.0),
)


class Fleet:
    """A dispatcher with a full fleet, and what runs on each upstream.

    Parameters
    ----------
    teams : int
        0 for a configuration without teams.
    jobs, tasks : int
        Waiting jobs, and the tasks of each.
    """

    def __init__(self, teams: int, jobs: int, tasks: int) -> None:
        self.teams = teams
        self.jobs = 0
        self.dispatcher = Dispatcher(DispatchSettings(lease_s=60.0))
        # Half of the teams have a limit that binds.
        share = UPSTREAMS * CORES * 1000 // max(teams, 1)
        policies = {
            f"t{number}": TeamPolicy(
                f"t{number}", 1.0 + number % 3, Resources(share * (1 + number % 2))
            )
            for number in range(teams)
        }
        queues = {queue.key: queue for queue in QUEUES}
        self.dispatcher.set_catalog(Catalog(1, queues, teams=policies or None))
        self.running: dict[str, dict[TaskId, int]] = {}
        self.ends: dict[str, int] = {}
        for number in range(UPSTREAMS):
            name = f"u{number}"
            entry = UpstreamEntry(name, "s", "a:1", "z", CORES * 1000, 128_000)
            self.dispatcher.add_or_update_upstream(entry)
            self.dispatcher.process_report(name, UpstreamReport(1, 0.0, 0.0), 0.0)
            self.running[name], self.ends[name] = {}, 0
        for _ in range(UPSTREAMS * CORES // TASK_CORES // 10):
            self.submit(10)
        self.start(0.0)
        for _ in range(jobs):
            self.submit(tasks)
        for _ in range(SETTLING_TICKS):
            self.start(0.5)

    def submit(self, tasks: int) -> None:
        """Add a job; the first team has half of all."""
        number = self.jobs
        self.jobs += 1
        team = ""
        if self.teams:
            team = f"t{0 if number % 2 else number // 2 % self.teams}"
        queue = QUEUES[number % 4 != 0].key
        steps = (StepSpec(tasks, TASK_CORES * 1000, 1000, 0, 2.0),)
        spec = StagedJobSpec(f"{number:016x}", queue, "p", steps, team=team)
        self.dispatcher.submit(spec, now=0.0)

    def start(self, now: float) -> float:
        """Tick, start what is ordered, and return the tick's processor time in s."""
        begun = time.thread_time()
        orders = self.dispatcher.tick(now, now)
        tick_s = time.thread_time() - begun
        for order in orders.starts:
            self.dispatcher.process_start_outcome(order, StartOutcome.STARTED, now)
            self.running[order.upstream_id][order.task] = order.attempt
        return tick_s

    def end_some(self, turn: int, now: float) -> None:
        """End one run at each of a few upstreams."""
        for number in range(ENDS_PER_TICK):
            name = f"u{(turn * ENDS_PER_TICK + number) % UPSTREAMS}"
            running = self.running[name]
            if not running:
                continue
            task, attempt = running.popitem()
            self.ends[name] += 1
            ended = [EndedRun(self.ends[name], task, attempt, RunEnd.DONE)]
            listed = [RunningRun(t, a) for t, a in running.items()]
            report = UpstreamReport(1, now, now, listed, ended)
            self.dispatcher.process_report(name, report, now)


def measure(teams: int, jobs: int, tasks: int) -> tuple[float, float]:
    """Return the mean and the largest time of a tick, in seconds."""
    fleet = Fleet(teams, jobs, tasks)
    times_s = []
    for turn in range(TICKS):
        now = 1.0 + turn * 0.01
        fleet.end_some(turn, now)
        times_s.append(fleet.start(now))
    return sum(times_s) / TICKS, max(times_s)


def main() -> None:
    for jobs, tasks in LOADS:
        for teams in TEAMS:
            mean_s, max_s = measure(teams, jobs, tasks)
            typer.echo(
                f"{jobs} waiting jobs of {tasks} tasks, {teams} teams: "
                f"tick {mean_s * 1e3:.2f} ms, at most {max_s * 1e3:.2f} ms"
            )


if __name__ == "__main__":
    typer.run(main)
