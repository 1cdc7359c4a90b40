"""Presets: named overrides of the share and limits of workloads."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from papayadyke_core.workloads._workload import Urgency


@dataclass(frozen=True, slots=True)
class ShareRule:
    """Share and limits of one workload; None keeps the workload's own value.

    Parameters
    ----------
    admit : bool, default=True
        Whether new requests are accepted.
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
    """Named set of rules, keyed by workload name.

    Parameters
    ----------
    name : str
    rules : mapping of str to ShareRule
        Workloads without a rule keep their own share and limits.
    description : str, default=""
    """

    name: str
    rules: Mapping[str, ShareRule] = field(default_factory=dict)
    description: str = ""
