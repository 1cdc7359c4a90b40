"""Scenarios: a fleet, the kinds of jobs that arrive, and what fails, from JSON."""

from __future__ import annotations

import math
import random
from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

Share = Annotated[float, Field(ge=0.0, le=1.0)]
Positive = Annotated[float, Field(gt=0.0)]
NonNegative = Annotated[float, Field(ge=0.0)]


class ScenarioError(ValueError):
    """A scenario file cannot be read or is invalid."""


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class LogNormal(_Model):
    """A log-normal quantity.

    Parameters
    ----------
    mean : float
        Mean before the limit is applied.
    spread : float
        Standard deviation of the logarithm.
    max : float or None
        Larger draws are set to it.
    """

    mean: Positive
    spread: NonNegative = 0.0
    max: Positive | None = None

    def draw(self, rng: random.Random) -> float:
        """Return a draw."""
        log_mean = math.log(self.mean) - self.spread**2 / 2
        drawn = math.exp(rng.gauss(log_mean, self.spread))
        return drawn if self.max is None else min(drawn, self.max)


class Advice(_Model):
    """The advisory service of a kind: its times in seconds, and what it allows.

    Parameters
    ----------
    decide_s, per_upstream_s, valid_s : float
    allowed_share : float
        Share of the upstreams that may run a step.
    """

    decide_s: NonNegative
    per_upstream_s: NonNegative
    valid_s: Positive = 1.5
    allowed_share: Share = 1.0


class Kind(_Model):
    """A kind of job; each has a queue of its own.

    Parameters
    ----------
    name : str
    priority : int
    jobs_per_s : float
    worth : float
        What a job of mean work that is in time earns.
    run_s : LogNormal
        True run time of the tasks of a job at speed 1, in seconds.
    steps, width : LogNormal
        Number of steps, one after the other, and of tasks of a step; both are rounded
        and at least 1.
    cpu_millis, memory_mb : LogNormal
        Needs of a task.
    gang_share : float
        Share of the jobs whose steps are gangs.
    checkpoint_share : float
        Share of the jobs whose tasks save checkpoints.
    unevenness : float
        Standard deviation of the logarithm of run times within a step.
    estimate_spread : float
        Standard deviation of the logarithm of estimate to run time between jobs.
    tail_share, tail_factor : float
        Share of the tasks that take longer than their like, and how much longer.
    error_share : float
        Share of the runs that fail at their end.
    stretch, allowance_s : float
        Objective: multiple of the true chain of work, and seconds more.
    max_attempts, retries : int
        Runs of a task that may fail, and attempts of a caller after a refusal.
    advice : Advice or None
    """

    name: str
    priority: int = 1
    jobs_per_s: NonNegative
    worth: Positive = 1.0
    run_s: LogNormal
    steps: LogNormal = LogNormal(mean=1.0)
    width: LogNormal = LogNormal(mean=1.0)
    cpu_millis: LogNormal = LogNormal(mean=1000.0)
    memory_mb: LogNormal = LogNormal(mean=100.0)
    gang_share: Share = 0.0
    checkpoint_share: Share = 0.0
    unevenness: NonNegative = 0.1
    estimate_spread: NonNegative = 0.0
    tail_share: Share = 0.03
    tail_factor: Positive = 7.0
    error_share: Share = 0.0
    stretch: Positive = 2.0
    allowance_s: NonNegative = 0.25
    max_attempts: Annotated[int, Field(ge=1)] = 3
    retries: Annotated[int, Field(ge=0)] = 4
    advice: Advice | None = None

    @property
    def work_core_s(self) -> float:
        """Mean work of a job, in core-seconds, by the means of its quantities."""
        tail = 1.0 + self.tail_share * (self.tail_factor - 1.0)
        cores = self.cpu_millis.mean / 1000.0
        return self.run_s.mean * self.steps.mean * self.width.mean * cores * tail


class Fleet(_Model):
    """Upstreams of one service, equal but for their speeds.

    Parameters
    ----------
    upstreams : int
    cores, memory_mb : int
        Of each upstream.
    speeds : tuple of float
        Work per second, given to the upstreams in turn.
    rack_size : int
    """

    upstreams: Annotated[int, Field(ge=1)]
    cores: Annotated[int, Field(ge=1)]
    memory_mb: Annotated[int, Field(ge=1)] = 10**9
    speeds: Annotated[tuple[Positive, ...], Field(min_length=1)] = (1.0,)
    rack_size: Annotated[int, Field(ge=1)] = 8


class _Event(_Model):
    """Something that happens at a time, in seconds from the start of arrivals."""

    at_s: NonNegative


class Takeover(_Event):
    """The decider dies; its successor begins `pause_s` seconds later."""

    type: Literal["takeover"] = "takeover"
    pause_s: NonNegative = 1.5


class StoreOutage(_Event):
    """The store stores nothing for some seconds."""

    type: Literal["store_outage"] = "store_outage"
    for_s: Positive


class Burst(_Event):
    """A kind arrives more often by a factor for some seconds."""

    type: Literal["burst"] = "burst"
    for_s: Positive
    kind: str
    factor: Positive


class Crash(_Event):
    """Upstreams crash, and are back empty after some seconds."""

    type: Literal["crash"] = "crash"
    for_s: Positive
    share: Share


class Silence(_Event):
    """Upstreams cannot be reached for some seconds; their tasks run on."""

    type: Literal["silence"] = "silence"
    for_s: Positive
    share: Share


class Slowdown(_Event):
    """Runs that begin on some upstreams take longer by a factor for some seconds."""

    type: Literal["slowdown"] = "slowdown"
    for_s: Positive
    share: Share
    factor: Positive


Event = Annotated[
    Takeover | StoreOutage | Burst | Crash | Silence | Slowdown,
    Field(discriminator="type"),
]


class Scenario(_Model):
    """What happens in an experiment.

    Parameters
    ----------
    name : str
    fleet : Fleet
    kinds : tuple of Kind
    events : tuple of Event
    duration_s, drain_s : float
        Seconds in which jobs arrive, and seconds after them until all must have ended.
    load : float or None
        Arriving work as a share of what the fleet can do; the arrival rates are scaled
        to it. None leaves them as they are.
    advice_slots : int
        Concurrent calls of the advisory service.
    call_s, commit_s : float
        Seconds that a call to an upstream and one to the store take.
    poll_s : float
        Seconds between two reports of an upstream without ends.
    event_jitter_s : float
        Events are moved by up to that many seconds either way, by the seed.
    """

    name: str
    fleet: Fleet
    kinds: Annotated[tuple[Kind, ...], Field(min_length=1)]
    events: tuple[Event, ...] = ()
    duration_s: Positive = 30.0
    drain_s: Positive = 40.0
    load: Positive | None = None
    advice_slots: Annotated[int, Field(ge=1)] = 9
    call_s: NonNegative = 0.02
    commit_s: NonNegative = 0.02
    poll_s: Positive = 0.5
    event_jitter_s: NonNegative = 0.0

    @property
    def rate_factor(self) -> float:
        """Factor of the arrival rates that yields the load."""
        if self.load is None:
            return 1.0
        fleet = self.fleet
        speed = sum(fleet.speeds) / len(fleet.speeds)
        capacity = fleet.upstreams * fleet.cores * speed
        work = sum(kind.jobs_per_s * kind.work_core_s for kind in self.kinds)
        return self.load * capacity / work


def read_scenario(path: Path) -> Scenario:
    """Return the scenario in a JSON file.

    Raises
    ------
    ScenarioError
        If the file cannot be read, is invalid, or an event names an unknown kind.
    """
    try:
        scenario = Scenario.model_validate_json(path.read_bytes())
    except OSError as exc:
        raise ScenarioError(f"{path}: {exc.strerror}") from exc
    except ValidationError as exc:
        first = exc.errors()[0]
        place = ".".join(str(part) for part in first["loc"])
        raise ScenarioError(f"{path}: {place}: {first['msg']}") from exc
    names = {kind.name for kind in scenario.kinds}
    for event in scenario.events:
        if isinstance(event, Burst) and event.kind not in names:
            raise ScenarioError(f"{path}: a burst names the unknown kind {event.kind}")
    return scenario
