"""Presets: what a workload's share and limits are while one is in force."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from papayadyke_core.workloads._workload import Urgency


@dataclass(frozen=True, slots=True)
class ShareRule:
    """The share and limits of one workload; None takes the workload's own.

    Parameters
    ----------
    admit : bool, default=True
        Whether new requests are taken at all.
    weight, floor, ceiling : float or None
        As in `Workload`.
    urgency : Urgency or None
    queue_limit : int or None
    """

    admit: bool = True
    weight: float | None = None
    floor: float | None = None
    ceiling: float | None = None
    urgency: Urgency | None = None
    queue_limit: int | None = None


@dataclass(frozen=True, slots=True)
class Preset:
    """A named set of rules, by workload name.

    Parameters
    ----------
    name : str
    rules : mapping of str to ShareRule
        Workloads that are not named keep their own share and limits.
    description : str, default=""
    """

    name: str
    rules: Mapping[str, ShareRule] = field(default_factory=dict)
    description: str = ""
