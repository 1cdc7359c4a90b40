"""Seeded loads for the two deployments that the policies are measured on."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.resources import Resources
from papayadyke_core.workloads import Config, Kind, Urgency, Workload

DURATION_S = 60.0
WARM_UP_S = 10.0
FLOOD = (15.0, 45.0)
FLOOD_FACTOR = 10.0
PEAK_FACTOR = 1.7
SPEEDS = (1.0, 0.7, 1.3)
FAILING_UPSTREAM = "u5"
LOST_RACK = "rack1"


@dataclass(frozen=True, slots=True)
class Demand:
    """How a workload arrives and runs on an ordinary day.

    Parameters
    ----------
    workload : Workload
    rate : float
        Requests per second.
    run_s : float
        Median run time of a task at speed 1.
    sigma : float
        Of the logarithm of the run time.
    deadline_s : float
        Time from arrival by which the first task has to start.
    gang_sizes : tuple of int
        Tasks of a request, drawn evenly.
    """

    workload: Workload
    rate: float
    run_s: float
    sigma: float
    deadline_s: float
    gang_sizes: tuple[int, ...] = (1,)


@dataclass(frozen=True, slots=True)
class Deployment:
    """A fleet and what arrives at it, most urgent workload first."""

    name: str
    upstreams: tuple[UpstreamSpec, ...]
    demands: tuple[Demand, ...]

    @property
    def config(self) -> Config:
        """The configuration that the scheduler is given."""
        return Config(
            revision=1,
            workloads={item.workload.name: item.workload for item in self.demands},
        )


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request as it arrives."""

    at_s: float
    request_id: str
    workload: str
    deadline_s: float
    base_runs_s: tuple[float, ...]
    is_poison: bool = False


Factor = Callable[[int, float], float]


def _ordinary(index: int, at_s: float) -> float:
    return 1.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """What differs from an ordinary day.

    Parameters
    ----------
    name : str
    factor : callable
        Gives the factor on the rate, from the index of the workload counted from
        the most urgent (0) to the least (-1) and the time.
    flooding : tuple of int
        Indices of the workloads that flood.
    run_factor : tuple of float, default=(1.0,)
        True run times are multiplied by one of these.
    poison : float, default=0.0
        Part of the requests that fails wherever it runs.
    fails, loses_rack, hides_speeds : bool, default=False
        With hidden speeds every upstream is declared as an ordinary one.
    cancels_at_s : tuple of float, default=()
        When four of five requests of the least urgent workload are cancelled.
    """

    name: str
    factor: Factor = _ordinary
    flooding: tuple[int, ...] = ()
    run_factor: tuple[float, ...] = (1.0,)
    poison: float = 0.0
    fails: bool = False
    loses_rack: bool = False
    hides_speeds: bool = False
    cancels_at_s: tuple[float, ...] = field(default=())


def _flood(index: int, start_s: float, end_s: float, height: float) -> Factor:
    def factor(which: int, at_s: float) -> float:
        return height if which == index and start_s <= at_s < end_s else 1.0

    return factor


def _flood_both(which: int, at_s: float) -> float:
    start_s, end_s = FLOOD
    middle_s = (start_s + end_s) / 2
    least = _flood(-1, start_s, middle_s, FLOOD_FACTOR)
    most = _flood(0, middle_s, end_s, FLOOD_FACTOR)
    return least(which, at_s) * most(which, at_s)


SCENARIOS = (
    Scenario("ordinary"),
    Scenario("peak", lambda which, at_s: PEAK_FACTOR),
    Scenario("flood-least", _flood(-1, *FLOOD, FLOOD_FACTOR), (-1,)),
    Scenario("flood-most", _flood(0, *FLOOD, FLOOD_FACTOR), (0,)),
    Scenario("flood-both", _flood_both, (-1, 0)),
    Scenario(
        "wrong-declarations",
        lambda which, at_s: PEAK_FACTOR,
        run_factor=(0.2, 0.5, 1.0, 2.0),
        poison=0.01,
        hides_speeds=True,
    ),
    Scenario("failing-upstream", fails=True),
    Scenario("lost-rack", loses_rack=True),
    Scenario(
        "cancellation-wave", _flood(-1, *FLOOD, 4.0), (-1,), cancels_at_s=(25.0, 35.0)
    ),
)


def _fleet(memory_gb: int) -> tuple[UpstreamSpec, ...]:
    capacity = Resources(64_000, memory_gb * 1024)
    return tuple(
        UpstreamSpec(
            f"u{number}",
            f"zone{number // 8}",
            f"rack{number // 8}",
            capacity,
            speed=SPEEDS[number % len(SPEEDS)],
        )
        for number in range(24)
    )


def _workload(name: str, kind: Kind, cores: float, gb: float, **more) -> Workload:
    demand = Resources(int(cores * 1000), int(gb * 1024))
    return Workload(name=name, kind=kind, demand=demand, **more)


BRANNOCK = Deployment(
    "brannock",
    _fleet(256),
    (
        Demand(
            _workload(
                "rcd-check",
                Kind.SERVICE,
                1,
                1,
                urgency=Urgency.URGENT,
                idempotent=True,
                timeout_s=5.0,
                floor=0.2,
            ),
            rate=150.0,
            run_s=0.2,
            sigma=0.4,
            deadline_s=3.0,
        ),
        Demand(
            _workload("add-on-quote", Kind.SERVICE, 4, 16, timeout_s=20.0, floor=0.25),
            rate=50.0,
            run_s=0.8,
            sigma=0.5,
            deadline_s=15.0,
        ),
        Demand(
            _workload(
                "board-upgrade",
                Kind.BATCH,
                24,
                96,
                urgency=Urgency.DEFERRABLE,
                idempotent=True,
                timeout_s=60.0,
                floor=0.3,
                preemptible=True,
            ),
            rate=3.0,
            run_s=6.0,
            sigma=0.5,
            deadline_s=60.0,
        ),
    ),
)

LIMONADIKOULU = Deployment(
    "limonadikoulu",
    _fleet(128),
    (
        Demand(
            _workload(
                "parent-sign-up",
                Kind.SERVICE,
                0.5,
                0.5,
                urgency=Urgency.URGENT,
                idempotent=True,
                timeout_s=5.0,
                floor=0.2,
            ),
            rate=180.0,
            run_s=0.15,
            sigma=0.4,
            deadline_s=3.0,
        ),
        Demand(
            _workload("school-order", Kind.SERVICE, 2, 4, timeout_s=10.0, floor=0.3),
            rate=80.0,
            run_s=0.5,
            sigma=0.5,
            deadline_s=10.0,
        ),
        Demand(
            _workload(
                "season-tally",
                Kind.GANG,
                4,
                8,
                urgency=Urgency.DEFERRABLE,
                idempotent=True,
                timeout_s=60.0,
                floor=0.25,
            ),
            rate=0.8,
            run_s=4.0,
            sigma=0.4,
            deadline_s=60.0,
            gang_sizes=(4, 8, 12),
        ),
    ),
)


def owned_part(deployment: Deployment) -> Deployment:
    """Return what one of eight owners has: three upstreams, an eighth of the load."""
    names = ("u3", "u4", FAILING_UPSTREAM)
    return Deployment(
        f"{deployment.name}-owner",
        tuple(spec for spec in deployment.upstreams if spec.name in names),
        tuple(replace(item, rate=item.rate / 8) for item in deployment.demands),
    )


DEPLOYMENTS = (
    BRANNOCK,
    LIMONADIKOULU,
    owned_part(BRANNOCK),
    owned_part(LIMONADIKOULU),
)


def concerns(scenario: Scenario, deployment: Deployment) -> bool:
    """Return whether a scenario changes anything in a deployment."""
    racks = {spec.rack for spec in deployment.upstreams}
    return not scenario.loses_rack or LOST_RACK in racks


def draw_arrivals(
    deployment: Deployment, scenario: Scenario, seed: int
) -> list[Arrival]:
    """Draw all requests of a run, in order of time.

    Every workload has its own stream, and what a scenario adds comes from another
    one: the ordinary part is the same in all scenarios of a seed, but for the one
    with wrong declarations.
    """
    arrivals: list[Arrival] = []
    for index, demand in enumerate(deployment.demands):
        which = -1 if index == len(deployment.demands) - 1 else index
        ordinary = random.Random(f"{seed}/{demand.workload.name}")
        arrivals += _stream(demand, scenario, ordinary, "o", 1.0, lambda at_s: 1.0)
        extra = random.Random(f"{seed}/{demand.workload.name}/extra")
        kept = _extra_part(scenario, which)
        arrivals += _stream(demand, scenario, extra, "x", FLOOD_FACTOR - 1.0, kept)
    return sorted(arrivals, key=lambda item: item.at_s)


def _extra_part(scenario: Scenario, which: int) -> Callable[[float], float]:
    def kept(at_s: float) -> float:
        return (scenario.factor(which, at_s) - 1.0) / (FLOOD_FACTOR - 1.0)

    return kept


def _stream(
    demand: Demand,
    scenario: Scenario,
    rng: random.Random,
    mark: str,
    height: float,
    kept_part: Callable[[float], float],
) -> list[Arrival]:
    found = []
    at_s = rng.expovariate(demand.rate * height)
    while at_s < DURATION_S:
        size = rng.choice(demand.gang_sizes)
        factor = rng.choice(scenario.run_factor)
        runs_s = tuple(
            demand.run_s * factor * rng.lognormvariate(0.0, demand.sigma)
            for _ in range(size)
        )
        is_poison = rng.random() < scenario.poison
        is_kept = rng.random() < kept_part(at_s)
        if is_kept:
            name = demand.workload.name
            request_id = f"{name}-{mark}{len(found)}"
            deadline_s = at_s + demand.deadline_s
            found.append(Arrival(at_s, request_id, name, deadline_s, runs_s, is_poison))
        at_s += rng.expovariate(demand.rate * height)
    return found
