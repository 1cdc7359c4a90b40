"""Jobs that arrive in a scenario, with what only the simulation knows of them."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from papayadyke_core.dispatch import StagedJobSpec, StepSpec, TaskId
from papayadyke_experiments._scenario import Burst, Event, Kind, Scenario

HOST = "experiment"
ADVICE_UPSTREAMS = 30  # upstreams of one advisory call that count in the objective


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job that arrives.

    Parameters
    ----------
    at_s : float
        Seconds from the start of arrivals.
    kind : Kind
    spec : StagedJobSpec
    run_s : dict of TaskId to float
        True run times at speed 1, in seconds.
    objective_s : float
        Seconds from its arrival within which it is in time.
    value : float
        What it earns if it is in time.
    work_core_s : float
        True work, in core-seconds.
    """

    at_s: float
    kind: Kind
    spec: StagedJobSpec
    run_s: dict[TaskId, float]
    objective_s: float
    value: float
    work_core_s: float


def make_queue_key(kind: Kind) -> str:
    """Return the key of the queue of a kind."""
    return f"{HOST}/{kind.name}/"


def draw_arrivals(
    scenario: Scenario, events: list[Event], rng: random.Random
) -> list[Arrival]:
    """Return the jobs that arrive, in the order of time.

    Parameters
    ----------
    scenario : Scenario
    events : list of Event
        Events at their times of this seed.
    rng : random.Random
    """
    arrivals: list[Arrival] = []
    for kind in scenario.kinds:
        bursts = [e for e in events if isinstance(e, Burst) and e.kind == kind.name]
        peak = max((burst.factor for burst in bursts), default=1.0)
        rate = kind.jobs_per_s * scenario.rate_factor * max(peak, 1.0)
        at_s = 0.0
        while rate > 0:
            at_s += rng.expovariate(rate)
            if at_s >= scenario.duration_s:
                break
            factor = max(
                (b.factor for b in bursts if b.at_s <= at_s < b.at_s + b.for_s),
                default=1.0,
            )
            # Thinning: draws at the peak rate are kept by the present one.
            if rng.random() < factor / max(peak, 1.0):
                job_id = f"{len(arrivals):06x}{rng.getrandbits(40):010x}"
                arrivals.append(_draw_job(kind, job_id, at_s, rng))
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def _draw_job(kind: Kind, job_id: str, at_s: float, rng: random.Random) -> Arrival:
    steps: list[StepSpec] = []
    run_s: dict[TaskId, float] = {}
    base_s = kind.run_s.draw(rng)
    estimate_s = base_s * math.exp(rng.gauss(0.0, kind.estimate_spread))
    is_gang = rng.random() < kind.gang_share
    is_checkpointing = rng.random() < kind.checkpoint_share
    chain_s = work_core_s = 0.0
    for number in range(max(1, round(kind.steps.draw(rng)))):
        count = max(1, round(kind.width.draw(rng)))
        cpu_millis = max(1, round(kind.cpu_millis.draw(rng)))
        memory_mb = max(1, round(kind.memory_mb.draw(rng)))
        is_gang_step = is_gang and count > 1
        durations_s = [_draw_run_s(kind, base_s, rng) for _ in range(count)]
        if is_gang_step:
            durations_s = [max(durations_s)] * count
        for index, taken_s in enumerate(durations_s):
            run_s[TaskId(job_id, 0, number, index)] = taken_s
        chain_s += max(durations_s)
        work_core_s += sum(durations_s) * cpu_millis / 1000.0
        steps.append(
            StepSpec(
                count,
                cpu_millis=cpu_millis,
                memory_mb=memory_mb,
                estimate_s=estimate_s,
                after=(number - 1,) if number else (),
                is_checkpointing=is_checkpointing,
                is_gang=is_gang_step,
            )
        )
    objective_s = kind.stretch * chain_s + kind.allowance_s
    if kind.advice is not None:
        call_s = kind.advice.decide_s + ADVICE_UPSTREAMS * kind.advice.per_upstream_s
        objective_s += len(steps) * call_s
    value = kind.worth * min(0.3 + 0.7 * work_core_s / kind.work_core_s, 4.0)
    spec = StagedJobSpec(job_id, make_queue_key(kind), "p", tuple(steps), at_s)
    return Arrival(at_s, kind, spec, run_s, objective_s, value, work_core_s)


def _draw_run_s(kind: Kind, base_s: float, rng: random.Random) -> float:
    taken_s = base_s * math.exp(rng.gauss(0.0, kind.unevenness))
    return taken_s * (kind.tail_factor if rng.random() < kind.tail_share else 1.0)
