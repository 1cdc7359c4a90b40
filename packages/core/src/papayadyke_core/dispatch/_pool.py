"""Upstreams of a service that accept new runs, during one placement pass."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from papayadyke_core.dispatch._spec import StepSpec
from papayadyke_core.dispatch._upstream import Upstream


@dataclass(slots=True)
class Pool:
    """Upstreams of a service that accept new runs.

    Parameters
    ----------
    members : dict of str to Upstream
    with_free_cpu : dict of str to Upstream
        Those of them that have free CPU.
    max_free_cpu_millis : int
        Largest free CPU among them when the round began, in thousandths of a core.
    left_cpu_millis : int or None
        Largest free CPU among them now; None if it must be found again.
    max_alone : int
        How many more of them may be kept for single tasks.
    cpu_millis, memory_mb, accelerators : int
        Capacity of the upstreams.
    free_cpu_millis : int
        Unused CPU of the members.
    urgent_cpu_millis : int
        CPU that runs of urgent queues use.
    left_to_urgent : frozenset of str or None
        Fast members that are left to urgent work; None if not determined yet.
    """

    members: dict[str, Upstream] = field(default_factory=dict)
    with_free_cpu: dict[str, Upstream] = field(default_factory=dict)
    max_free_cpu_millis: int = 0
    left_cpu_millis: int | None = None
    max_alone: int = 0
    cpu_millis: int = 0
    free_cpu_millis: int = 0
    urgent_cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    left_to_urgent: frozenset[str] | None = None

    def may_fit(self, step: StepSpec) -> bool:
        """Return whether an upstream may have room for a task of a step."""
        if step.fills_spare or not step.cpu_millis:
            return True
        if self.left_cpu_millis is None:
            self.left_cpu_millis = max(
                (u.free_cpu_millis for u in self.with_free_cpu.values()), default=0
            )
        return step.cpu_millis <= self.left_cpu_millis

    def record_start(self, upstream: Upstream, step: StepSpec) -> None:
        """Record that a task was started on a member."""
        if step.fills_spare:
            return
        self.free_cpu_millis -= step.cpu_millis
        free_cpu_millis = upstream.free_cpu_millis
        if free_cpu_millis + step.cpu_millis >= (self.left_cpu_millis or 0):
            self.left_cpu_millis = None
        if free_cpu_millis <= 0:
            self.with_free_cpu.pop(upstream.upstream_id, None)

    def remove(self, upstream_id: str) -> None:
        """Remove a member that gets no other task in this round."""
        del self.members[upstream_id]
        self.with_free_cpu.pop(upstream_id, None)


def group_by_service(
    upstreams: dict[str, Upstream], now: float, alone_share: float
) -> dict[str, Pool]:
    """Return the upstreams that accept new runs, by service.

    Parameters
    ----------
    upstreams : dict of str to Upstream
    now : float
        Seconds, on the dispatcher's clock.
    alone_share : float
        Fraction of a pool that may be kept for single tasks.
    """
    pools: dict[str, Pool] = {}
    taken_alone: Counter[str] = Counter()
    for name, upstream in upstreams.items():
        service = upstream.entry.service
        if not upstream.may_start(now):
            continue
        pool = pools.setdefault(service, Pool())
        pool.cpu_millis += upstream.entry.cpu_millis
        pool.memory_mb += upstream.entry.memory_mb
        pool.accelerators += upstream.entry.accelerators
        if upstream.is_taken_alone(now):
            taken_alone[service] += 1
            continue
        pool.members[name] = upstream
        pool.urgent_cpu_millis += upstream.urgent_cpu_millis
        free_cpu_millis = upstream.free_cpu_millis
        if free_cpu_millis > 0:
            pool.free_cpu_millis += free_cpu_millis
            pool.with_free_cpu[name] = upstream
            pool.max_free_cpu_millis = max(pool.max_free_cpu_millis, free_cpu_millis)
    for service, pool in pools.items():
        taken = taken_alone[service]
        share = int(alone_share * (len(pool.members) + taken))
        pool.max_alone = max(share, 1) - taken
    return pools
