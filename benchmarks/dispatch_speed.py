"""Time of one step of the dispatcher, by the size of the fleet.

Prints the mean time of a tick and of a report, and the ratio to the smallest
fleet. Half the room is taken and a backlog waits for tickets and for room.
"""

from __future__ import annotations

import time

import typer

from papayadyke_core.dispatch import (
    Advice,
    AdvicePolicy,
    Catalog,
    Dispatcher,
    DispatchSettings,
    QueuePolicy,
    RunningRun,
    StagedJobSpec,
    StartOutcome,
    StepSpec,
    UpstreamEntry,
    UpstreamReport,
)

TICKS = 200
FLEETS = (24, 100, 270, 1000)


def build(upstreams: int) -> tuple[Dispatcher, dict[str, list[RunningRun]]]:
    """Return a dispatcher with a full fleet and a backlog, and what runs."""
    advice = AdvicePolicy(0.01, 0.0001, 2.0)
    queue = QueuePolicy("q", "h", "/q/", "s", 0, 2, 1.5, 0.25, advice)
    made = Dispatcher(DispatchSettings(lease_s=5.0, advice_slots=30))
    made.set_catalog(Catalog(1, {queue.key: queue}))
    for number in range(upstreams):
        name = f"u{number}"
        made.add_or_update_upstream(
            UpstreamEntry(name, "s", "a:1", "z", 64_000, 256_000)
        )
        made.process_report(name, UpstreamReport(1, 0.0, 0.0), 0.0)
    for number in range(upstreams * 2):
        steps = (StepSpec(12, 4_000, 8_000, 0, 3.4, is_gang=number % 3 == 0),)
        made.submit(StagedJobSpec(f"{number:016x}", queue.key, "p", steps), now=0.0)
    runs: dict[str, list[RunningRun]] = {}
    for step in range(200):
        now = step * 0.01
        orders = made.tick(now, now)
        for ask in orders.advice:
            tickets = dict.fromkeys(ask.upstream_ids[::2], "t")
            made.process_advice(Advice(ask.step, ask.upstream_ids, tickets, 60.0, now))
        for order in orders.starts:
            made.process_start_outcome(order, StartOutcome.STARTED, now)
            runs.setdefault(order.upstream_id, []).append(
                RunningRun(order.task, order.attempt)
            )
    return made, runs


def measure(upstreams: int) -> tuple[float, float]:
    """Return seconds for a tick and for a report."""
    made, runs = build(upstreams)
    begun = time.perf_counter()
    for step in range(TICKS):
        # Something changes before each tick, as it does under load.
        made.set_catalog(Catalog(step + 2, made.catalog.queues))
        made.tick(3.0 + step * 0.001, 3.0)
    tick_s = (time.perf_counter() - begun) / TICKS
    begun = time.perf_counter()
    for name, running in runs.items():
        made.process_report(name, UpstreamReport(1, 3.0, 3.0, running), 3.0)
    return tick_s, (time.perf_counter() - begun) / max(len(runs), 1)


def main() -> None:
    first = None
    for upstreams in FLEETS:
        tick_s, report_s = measure(upstreams)
        first = first or tick_s
        typer.echo(
            f"{upstreams} upstreams: tick {tick_s * 1e3:.2f} ms "
            f"(x{tick_s / first:.1f}), report {report_s * 1e6:.0f} us"
        )


if __name__ == "__main__":
    typer.run(main)
