"""Fair sharing: the order of workloads by shares, floors and urgency, and limits."""

from papayadyke_core.sharing._accounts import (
    BlockReason,
    FleetSize,
    TeamAccount,
    WorkloadAccount,
)
from papayadyke_core.sharing._fair_shares import compute_fair_shares
from papayadyke_core.sharing._reserve import Reserve, estimate_concurrent_tasks
from papayadyke_core.sharing._settings import SharingSettings
from papayadyke_core.sharing._tree import Rank, RankPhase, ShareTree

__all__ = [
    "BlockReason",
    "FleetSize",
    "Rank",
    "RankPhase",
    "Reserve",
    "ShareTree",
    "SharingSettings",
    "TeamAccount",
    "WorkloadAccount",
    "compute_fair_shares",
    "estimate_concurrent_tasks",
]
