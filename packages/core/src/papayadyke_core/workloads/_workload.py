"""What an operator declares of a workload and of a team."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, StrEnum

from papayadyke_core.resources import Resources


class Kind(StrEnum):
    """The kind of a workload; each has its own placement policy."""

    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"


class Urgency(IntEnum):
    """How urgent a workload is; a higher value goes first."""

    DEFERRABLE = 0
    NORMAL = 1
    URGENT = 2


@dataclass(frozen=True, slots=True)
class SloTarget:
    """The service level that a workload is held to.

    Parameters
    ----------
    wait_s : float
        Longest waiting time, in seconds, of a request that counts as good.
    answered_share : float
        Fraction of the requests that have to be good, between 0 and 1.
    """

    wait_s: float = 1.0
    answered_share: float = 0.99


@dataclass(frozen=True, slots=True)
class Team:
    """A team and its quota.

    Parameters
    ----------
    name : str
    weight : float, default=1.0
        Share of the team among all teams, relative to the others' weights.
    quota : float, default=1.0
        Largest fraction of the fleet that the team may hold, between 0 and 1.
    """

    name: str
    weight: float = 1.0
    quota: float = 1.0


@dataclass(frozen=True, slots=True)
class Workload:
    """A workload as the operators created it.

    Parameters
    ----------
    name : str
    kind : Kind
    demand : Resources
        What one task needs.
    team : str, default="default"
    urgency : Urgency, default=Urgency.NORMAL
    idempotent : bool, default=False
        Whether a task may be started again after its outcome was lost.
    timeout_s : float, default=30.0
        Longest run time of one task, in seconds.
    weight : float, default=1.0
        Share of the workload relative to the others' weights.
    floor : float, default=0.0
        Fraction of the fleet that the workload is guaranteed, between 0 and 1.
    ceiling : float, default=1.0
        Largest fraction of the fleet that the workload may hold.
    queue_limit : int, default=1000
        Requests that may wait at one VM.
    max_attempts : int, default=3
        Starts of one task, the first included.
    preemptible : bool, default=False
        Whether a running task may be checkpointed, throttled or stopped for
        other work.
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
