"""Fair sharing: the order of workloads by shares, floors and urgency, and limits."""

from papayadyke_core.sharing._accounts import (
    FleetSize,
    Limit,
    TeamAccount,
    WorkloadAccount,
)
from papayadyke_core.sharing._reserve import Reserve, needed_tasks
from papayadyke_core.sharing._settings import SharingSettings
from papayadyke_core.sharing._tree import Phase, Rank, ShareTree

__all__ = [
    "FleetSize",
    "Limit",
    "Phase",
    "Rank",
    "Reserve",
    "ShareTree",
    "SharingSettings",
    "TeamAccount",
    "WorkloadAccount",
    "needed_tasks",
]
