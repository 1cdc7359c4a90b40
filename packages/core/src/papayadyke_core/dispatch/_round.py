"""One pass over the waiting steps: who starts where, and who asks for advice."""

from __future__ import annotations

from dataclasses import dataclass, field

from papayadyke_core.dispatch._advice import AdviceBook
from papayadyke_core.dispatch._job import StepRun
from papayadyke_core.dispatch._messages import AdviceRequest, StartOrder
from papayadyke_core.dispatch._placement import (
    list_candidates,
    place_gang,
    place_singles,
    reserve_for_gang,
)
from papayadyke_core.dispatch._run import Run, RunPhase
from papayadyke_core.dispatch._settings import DispatchSettings
from papayadyke_core.dispatch._spec import AdvicePolicy, QueuePolicy
from papayadyke_core.dispatch._upstream import Upstream

MAX_ASKED = 100  # upstreams of one advisory call, by the platform's interface


@dataclass(slots=True)
class _Pool:
    """Upstreams of a service that may get work now."""

    members: dict[str, Upstream] = field(default_factory=dict)
    free_cpu: int = 0


class PlacementRound:
    """Places steps one by one; each takes room that the next does not see.

    Parameters
    ----------
    settings : DispatchSettings
    book : AdviceBook
    upstreams : dict of str to Upstream
    fleet : int
        Changes whenever an upstream comes or is reached again.
    advice_slots : int
        Calls to the advisory service at a time.
    attempt_floor : int
        Attempts of this term are higher.
    now : float
    """

    def __init__(
        self,
        settings: DispatchSettings,
        *,
        book: AdviceBook,
        upstreams: dict[str, Upstream],
        fleet: int,
        advice_slots: int,
        attempt_floor: int,
        now: float,
    ) -> None:
        self.starts: list[StartOrder] = []
        self.advice: list[AdviceRequest] = []
        self._settings = settings
        self._book = book
        self._fleet = fleet
        self._advice_slots = advice_slots
        self._attempt_floor = attempt_floor
        self._now = now
        self._pools = _pool_upstreams(upstreams, now)
        self._blocked: set[str] = set()
        self._reserving = 0
        self._rank = -1

    def place(self, step: StepRun, queue: QueuePolicy, *, factor: float) -> bool:
        """Start what fits of the next step in rank; return whether any did.

        Parameters
        ----------
        step : StepRun
        queue : QueuePolicy
        factor : float
            Learned ratio of run time to estimate.
        """
        self._rank += 1
        pool = self._pools.get(queue.service)
        if pool is None or (step.spec.is_gang and step.live):
            return False
        fits = step.spec.fills_spare or step.spec.cpu_millis <= pool.free_cpu
        if queue.advice is not None and (fits or self._rank < self._advice_slots):
            self._ask(step, queue.advice, pool)
        if fits and self._place_step(step, queue, pool, factor):
            return True
        if step.spec.is_gang and self._may_reserve(pool):
            self._reserving += 1
            self._blocked |= self._reserve(step, queue, pool)
        return False

    def _may_reserve(self, pool: _Pool) -> bool:
        if self._reserving < self._settings.reserving_gangs:
            return True
        most = self._settings.reserved_share * len(pool.members)
        return len(self._blocked) < most

    def _place_step(
        self, step: StepRun, queue: QueuePolicy, pool: _Pool, factor: float
    ) -> bool:
        if queue.advice is None:
            able = list(pool.members.values())
        else:
            names = self._book.valid_tickets(step.step_id, self._now)
            able = [pool.members[name] for name in names if name in pool.members]
        is_short = step.spec.estimate_s * factor <= self._settings.short_task_s
        blocked = set() if is_short else self._blocked
        candidates = list_candidates(step, able, blocked=blocked)
        if step.spec.is_gang:
            placed = place_gang(step, candidates)
        else:
            placed = place_singles(step, candidates)
        for index, upstream in placed or ():
            self._start(step, index, upstream)
        return bool(placed)

    def _start(self, step: StepRun, index: int, upstream: Upstream) -> None:
        task = step.task_id(index)
        name = upstream.upstream_id
        if step.spec.is_gang and step.live:
            attempt = next(iter(step.live.values())).attempt
        else:
            attempt = step.next_attempt(index, self._attempt_floor)
        now = self._now
        upstream.add(Run(task, attempt, name, step.spec, RunPhase.ORDERED, now, now))
        if not upstream.slots_for(step.spec) >= 0 or (
            not step.spec.fills_spare and upstream.cpu_used > upstream.entry.cpu_millis
        ):
            raise AssertionError(f"upstream {name} would be over its capacity")
        step.note_attempt(index, attempt)
        step.live[index] = upstream.runs[(task, attempt)]
        step.waiting.discard(index)
        ticket = self._book.ticket(step.step_id, name, now) or ""
        checkpoint = step.checkpoints.get(index, "")
        if step.spec.is_gang:
            checkpoint = max(step.checkpoints.values(), default="", key=len)
        payload = step.job.spec.payload
        self.starts.append(
            StartOrder(name, task, attempt, payload, checkpoint, ticket, now)
        )

    def _ask(self, step: StepRun, policy: AdvicePolicy, pool: _Pool) -> None:
        """Ask the advisory service where tickets are missing or run out soon."""
        known = self._book.of(step.step_id)
        if known.is_asking or self._now < known.retry_at_s:
            return
        soonest_s = policy.decide_s + policy.per_upstream_s * len(known.allowed)
        until_s = self._now + soonest_s
        if known.fleet == self._fleet and until_s < known.valid_until_s:
            return
        fresh = [name for name in pool.members if name not in known.asked]
        stale = [
            name
            for name in pool.members
            if name in known.allowed
            and self._book.ticket(step.step_id, name, until_s) is None
        ]
        wanted = tuple((fresh + stale)[:MAX_ASKED])
        known.fleet = self._fleet
        if not wanted:
            return
        cost_s = policy.decide_s + policy.per_upstream_s * len(wanted)
        free = self._advice_slots - self._book.asking
        if cost_s > self._settings.slow_advice_s:
            free -= min(self._settings.quick_advice_slots, self._advice_slots - 1)
        if free <= 0:
            known.fleet = -1
            return
        self._book.begin(step.step_id, self._fleet)
        self.advice.append(AdviceRequest(step.step_id, wanted, cost_s))

    def _reserve(self, step: StepRun, queue: QueuePolicy, pool: _Pool) -> set[str]:
        known = self._book.of(step.step_id)
        able = [
            item
            for name, item in pool.members.items()
            if name not in self._blocked
            and (queue.advice is None or name in known.allowed)
        ]
        return reserve_for_gang(step, able)


def _pool_upstreams(upstreams: dict[str, Upstream], now: float) -> dict[str, _Pool]:
    pools: dict[str, _Pool] = {}
    for name, item in upstreams.items():
        if item.may_start(now):
            pool = pools.setdefault(item.entry.service, _Pool())
            pool.members[name] = item
            pool.free_cpu = max(pool.free_cpu, item.free_cpu)
    return pools
