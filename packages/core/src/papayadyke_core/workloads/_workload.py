"""Workloads and teams, as declared by operators."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, StrEnum

from papayadyke_core.resources import Resources


class Kind(StrEnum):
    """Kind of a workload; each kind has its own placement policy."""

    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"


class Urgency(IntEnum):
    """Urgency of a workload; higher values are scheduled first."""

    DEFERRABLE = 0
    NORMAL = 1
    URGENT = 2


@dataclass(frozen=True, slots=True)
class SloTarget:
    """Service level objective of a workload.

    Parameters
    ----------
    wait_s : float
        Maximum waiting time, in seconds, of a request that counts as good.
    answered_share : float
        Fraction of requests that must be good, between 0 and 1.
    """

    wait_s: float = 1.0
    answered_share: float = 0.99


@dataclass(frozen=True, slots=True)
class Team:
    """Team with its weight and quota.

    Parameters
    ----------
    name : str
    weight : float, default=1.0
        Weight of the team's share, relative to the weights of the other teams.
    quota : float, default=1.0
        Maximum fraction of the fleet that the team may use, between 0 and 1.
    """

    name: str
    weight: float = 1.0
    quota: float = 1.0


@dataclass(frozen=True, slots=True)
class Workload:
    """Workload, as declared by operators.

    Parameters
    ----------
    name : str
    kind : Kind
    demand : Resources
        Resources that one task requires.
    team : str, default="default"
    urgency : Urgency, default=Urgency.NORMAL
    idempotent : bool, default=False
        Whether a task may be restarted when its outcome is unknown.
    timeout_s : float, default=30.0
        Maximum run time of one task, in seconds.
    weight : float, default=1.0
        Weight of the workload's share, relative to the weights of other workloads.
    floor : float, default=0.0
        Guaranteed fraction of the fleet, between 0 and 1.
    ceiling : float, default=1.0
        Maximum fraction of the fleet that the workload may use, between 0 and 1.
    queue_limit : int, default=1000
        Maximum number of requests queued at one VM.
    max_attempts : int, default=3
        Maximum number of starts of one task, including the first.
    preemptible : bool, default=False
        Whether a running task may be checkpointed, throttled or stopped to
        make room for other work.
    slo : SloTarget, default=SloTarget()
    """

    name: str
    kind: Kind
    demand: Resources
    team: str = "default"
    urgency: Urgency = Urgency.NORMAL
    idempotent: bool = False
    timeout_s: float = 30.0
    weight: float = 1.0
    floor: float = 0.0
    ceiling: float = 1.0
    queue_limit: int = 1000
    max_attempts: int = 3
    preemptible: bool = False
    slo: SloTarget = SloTarget()
