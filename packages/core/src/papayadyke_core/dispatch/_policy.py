"""The choices of the dispatcher that can be exchanged, by the names in its settings."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from papayadyke_core.dispatch._job import StepRun
from papayadyke_core.dispatch._rank import (
    JobRank,
    rank_by_arrival,
    rank_by_lateness,
    rank_job,
)
from papayadyke_core.dispatch._speed_needs import (
    SpeedNeeds,
    UpstreamKey,
    prefer_fastest,
    prefer_slowest_in_time,
    spare_for_urgent,
)
from papayadyke_core.dispatch._upstream import Upstream

RankJob = Callable[..., JobRank]
OrderUpstreams = Callable[[StepRun, SpeedNeeds], Callable[[Upstream], UpstreamKey]]

# Order in which waiting jobs are placed.
JOB_RANKS: Mapping[str, RankJob] = {
    "priority": rank_job,
    "lateness": rank_by_lateness,
    "arrival": rank_by_arrival,
}
# Order in which upstreams are considered for the tasks of a step that is not urgent;
# urgent ones take the fastest.
UPSTREAM_ORDERS: Mapping[str, OrderUpstreams] = {
    "fastest": prefer_fastest,
    "spare_for_urgent": spare_for_urgent,
    "slowest_in_time": prefer_slowest_in_time,
}

__all__ = ["JOB_RANKS", "UPSTREAM_ORDERS", "OrderUpstreams", "RankJob"]
