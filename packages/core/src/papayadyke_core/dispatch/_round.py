"""One placement pass over the waiting steps: start orders and advice requests."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Set

from papayadyke_core.dispatch._advice import MAX_UPSTREAMS_PER_REQUEST, AdviceCache
from papayadyke_core.dispatch._advice_round import AdviceRound
from papayadyke_core.dispatch._delays import DelayCause
from papayadyke_core.dispatch._job import StepRun
from papayadyke_core.dispatch._messages import AdviceRequest, StartOrder
from papayadyke_core.dispatch._placement import (
    choose_upstream_apart,
    count_room,
    list_candidates,
    place_gang,
    place_independent_tasks,
)
from papayadyke_core.dispatch._policy import UPSTREAM_ORDERS
from papayadyke_core.dispatch._pool import Pool, group_by_service
from papayadyke_core.dispatch._preemption import (
    STOP_REPORT_S,
    Claims,
    choose_victims,
    find_room,
)
from papayadyke_core.dispatch._reservation_round import ReservationRound
from papayadyke_core.dispatch._reservations import (
    Reservation,
    Reservations,
    find_idle_s,
    list_slot_times,
)
from papayadyke_core.dispatch._run import PRIME_SUSPECT_LOSSES, Run, RunPhase
from papayadyke_core.dispatch._settings import DispatchSettings
from papayadyke_core.dispatch._spec import QueuePolicy, StepId
from papayadyke_core.dispatch._speed_needs import (
    ANY_SPEED,
    SpeedNeeds,
    find_left_to_urgent,
    find_min_speed,
    keep_fast_enough,
    prefer_fastest,
)
from papayadyke_core.dispatch._team_round import TeamRound
from papayadyke_core.dispatch._unanswered import UnansweredStarts
from papayadyke_core.dispatch._upstream import Upstream
from papayadyke_core.resources import Resources

# Seconds for which a prime suspect waits for an idle upstream; then it starts beside
# other tasks.
MAX_ALONE_WAIT_S = 30.0


class PlacementRound:
    """Place steps one by one, each on the resources that earlier steps leave free.

    Parameters
    ----------
    settings : DispatchSettings
    advice_cache : AdviceCache
    upstreams : dict of str to Upstream
    advice_slots : int
        Maximum number of concurrent calls to the advisory service.
    attempt_floor : int
        Attempt numbers of this term are higher.
    unstored_jobs : set of str
        Jobs with losses of upstreams that are not stored yet.
    teams : TeamRound
        Limits of the teams.
    claims : Claims
        Upstreams that are kept for gangs for which runs were stopped.
    reservations : Reservations
        Reservations of the last placement pass.
    unanswered_starts : UnansweredStarts
        Tasks that may start at one upstream only.
    may_preempt : callable
        Returns whether a run may be stopped for a queue of a given priority.
    urgent_cpu_millis : mapping of str to float
        CPU that urgent work is expected to need and that is kept free, by service.
    fast_cpu_millis : mapping of str to float
        CPU on the fastest upstreams that is left to urgent work while there is other
        room, by service.
    now : float
        Seconds, on the dispatcher's clock.

    Attributes
    ----------
    victims : list of (Run, StepId)
        Runs to stop, each with the gang that needs its room.
    wait_cause : DelayCause
        Why tasks of the step that was placed last still wait, if any do.
    """

    def __init__(
        self,
        settings: DispatchSettings,
        *,
        advice_cache: AdviceCache,
        upstreams: dict[str, Upstream],
        advice_slots: int,
        attempt_floor: int,
        unstored_jobs: Set[str],
        teams: TeamRound,
        claims: Claims,
        reservations: Reservations,
        unanswered_starts: UnansweredStarts,
        may_preempt: Callable[[Run, int], bool],
        urgent_cpu_millis: Mapping[str, float],
        fast_cpu_millis: Mapping[str, float],
        now: float,
    ) -> None:
        self.wait_cause = DelayCause.ROOM
        self.starts: list[StartOrder] = []
        self.victims: list[tuple[Run, StepId]] = []
        self._settings = settings
        self._advice_cache = advice_cache
        self._advice_slots = advice_slots
        self._advice = AdviceRound(settings, advice_cache, slots=advice_slots, now=now)
        self._attempt_floor = attempt_floor
        self._unstored_jobs = unstored_jobs
        self._teams = teams
        self._claims = claims
        self._unanswered_starts = unanswered_starts
        self._may_preempt = may_preempt
        self._urgent_cpu_millis = urgent_cpu_millis
        self._fast_cpu_millis = fast_cpu_millis
        self._order_upstreams = UPSTREAM_ORDERS[settings.upstream_order]
        self._now = now
        self._pools = group_by_service(upstreams, now, settings.alone_share)
        self._reserved = ReservationRound(settings, reservations, now=now)
        self._position = -1

    @property
    def advice(self) -> list[AdviceRequest]:
        """Requests to the advisory service."""
        return self._advice.requests

    @property
    def reservations(self) -> list[Reservation]:
        """Upstreams that are kept for gangs."""
        return self._reserved.reservations

    @property
    def capacity(self) -> dict[str, Resources]:
        """Capacity of the upstreams of each service that accept new runs."""
        return {
            service: Resources(pool.cpu_millis, pool.memory_mb, pool.accelerators)
            for service, pool in self._pools.items()
        }

    def place_alone(self, step: StepRun, queue: QueuePolicy, *, factor: float) -> bool:
        """Start the prime suspects of a step on idle upstreams; return if any started.

        Must be called for all steps before `place`. An upstream that is not idle yet
        gets no other task in this round. One that runs only tasks that last counts as
        idle, since they do not end.
        """
        pool = self._pools.get(queue.service)
        if pool is None or step.spec.is_gang:
            return False
        has_started = False
        bound = self._unanswered_starts.find_upstreams(step.step_id)
        for index in sorted(self._find_held_tasks(step) - bound.keys()):
            if not self._may_try_again(step, index):
                continue
            if not self._teams.count_allowed(step):
                break
            step.waiting_alone_s.setdefault(index, self._now)
            if pool.max_alone <= 0:
                continue
            chosen = self._choose_alone(step, queue, pool, index)
            if chosen is None:
                continue
            pool.max_alone -= 1
            step.kept_free[index] = chosen.upstream_id
            idle_s = find_idle_s(chosen, self._now)
            if idle_s > self._now or not chosen.free_slots_for(step.spec):
                self._reserved.keep_idle(chosen.upstream_id, idle_s)
                continue
            pool.remove(chosen.upstream_id)
            self._start_task(step, queue, index, chosen, factor=factor)
            has_started = True
        return has_started

    def _choose_alone(
        self, step: StepRun, queue: QueuePolicy, pool: Pool, index: int
    ) -> Upstream | None:
        """Return the upstream that is, or will be in time, idle for a prime suspect."""
        until_s = step.waiting_alone_s[index] + MAX_ALONE_WAIT_S
        # Room that tasks hold which last does not become free.
        eligible = [
            upstream
            for upstream in self._list_eligible(step, queue, pool)
            if upstream.upstream_id not in self._reserved.idle_until_s
            and find_idle_s(upstream, self._now) <= until_s
            and list_slot_times(step, upstream, self._now)
        ]
        candidates = list_candidates(step, eligible, reserved=set(), is_idle=True)
        return choose_upstream_apart(step, index, candidates)

    def place(
        self, step: StepRun, queue: QueuePolicy, *, factor: float, max_tasks: int
    ) -> bool:
        """Start the tasks of a step that fit; return whether any was started.

        Steps must be passed in the order in which they are to be placed.

        Parameters
        ----------
        step : StepRun
        queue : QueuePolicy
        factor : float
            Learned ratio of run time to estimate.
        max_tasks : int
            Most tasks to start, unless the step is a gang.
        """
        self._position += 1
        pool = self._pools.get(queue.service)
        if pool is None:
            self.wait_cause = DelayCause.NO_UPSTREAM
            return False
        if step.spec.is_gang and step.live:
            self.wait_cause = DelayCause.BROKEN_GANG
            return False
        if step.spec.is_gang and not self._may_reach_bound(step, pool):
            self.wait_cause = DelayCause.UNANSWERED_START
            return False
        self.wait_cause = DelayCause.ROOM
        fits_somewhere = pool.may_fit(step.spec)
        if not fits_somewhere and queue.advice is None and not step.spec.is_gang:
            return False
        allowed = min(max_tasks, self._teams.count_allowed(step))
        max_tasks = min(allowed, self._count_outside_reserve(step, queue, pool))
        if max_tasks <= 0 < allowed and self._is_kept_out_of_reserve(step, pool):
            max_tasks = 1
        if max_tasks <= 0:
            self.wait_cause = (
                DelayCause.TEAM_LIMIT if allowed <= 0 else DelayCause.RESERVED_ROOM
            )
        if (
            max_tasks > 0
            and fits_somewhere
            and self._place_step(step, queue, pool, factor, max_tasks)
        ):
            return True
        # Room that this round has used up may be free again when tickets arrive.
        may_fit = max_tasks > 0 and (
            step.spec.fills_spare or step.spec.cpu_millis <= pool.max_free_cpu_millis
        )
        # A gang that its team's limit holds back must not hold back others.
        may_reserve = (
            max_tasks > 0 and step.spec.is_gang and self._reserved.may_reserve(pool)
        )
        # The steps of the highest rank get tickets even before they fit.
        may_ask = may_fit or self._position < self._advice_slots
        is_large = len(pool.members) > MAX_UPSTREAMS_PER_REQUEST and step.spec.is_gang
        if queue.advice is not None and may_ask and not is_large:
            self._advice.request(
                step, queue, queue.advice, pool, may_reserve=may_reserve
            )
        if step.spec.is_gang and max_tasks > 0:
            self._preempt(step, queue, pool, factor)
        if is_large and may_ask:
            self._request_for_gang(step, queue, pool, factor)
        if may_reserve:
            self._reserve(step, queue, pool)
        return False

    def search_ahead(self, step: StepRun, queue: QueuePolicy) -> None:
        """Look for upstreams of a step that may not start before a takeover ends."""
        pool = self._pools.get(queue.service)
        if pool is None or queue.advice is None or not step.spec.is_gang:
            return
        if len(pool.members) > MAX_UPSTREAMS_PER_REQUEST:
            self._advice.search_ahead(step, queue, queue.advice, pool)

    def _preempt(
        self, step: StepRun, queue: QueuePolicy, pool: Pool, factor: float
    ) -> None:
        """Stop less urgent runs that can resume, if a gang then fits and is in time."""
        if not self._settings.preempts or self._claims.has_claim(step.step_id):
            return
        if self._find_held_tasks(step):
            return
        if self._unanswered_starts.find_upstreams(step.step_id):
            return
        min_speed = find_min_speed(step.job, queue, factor=factor, now=self._now)
        if math.isinf(min_speed):
            return
        lead_s = self._settings.stop_s + STOP_REPORT_S
        claimed = self._claims.list_claimed(except_for=step.step_id)
        usable = [
            upstream
            for upstream in self._list_eligible(step, queue, pool, lead_s=lead_s)
            if upstream.upstream_id not in claimed
            and upstream.upstream_id not in self._reserved.upstream_ids
        ]
        chosen = choose_victims(
            step,
            usable,
            may_stop=lambda run: self._may_preempt(run, queue.priority),
            now=self._now,
        )
        if chosen is None:
            return
        victims, upstream_ids = chosen
        self.victims += [(run, step.step_id) for run in victims]
        self._claims.add(step.step_id, upstream_ids, until_s=self._now + lead_s)

    def _request_for_gang(
        self, step: StepRun, queue: QueuePolicy, pool: Pool, factor: float
    ) -> None:
        """Request tickets for a gang whose upstreams one call may not cover."""
        policy = queue.advice
        # A gang with a claim has the tickets, and its room is being made.
        has_claim = self._claims.has_claim(step.step_id)
        if policy is None or has_claim or not self._advice.may_request(step, policy):
            return
        allowed = self._advice_cache.get_or_create(step.step_id).allowed
        taken = self._claims.list_claimed(except_for=step.step_id)
        taken |= self._reserved.upstream_ids
        usable = [
            upstream
            for name, upstream in pool.members.items()
            if name in allowed and name not in taken
        ]
        min_speed = find_min_speed(step.job, queue, factor=factor, now=self._now)
        may_preempt = self._settings.preempts and not math.isinf(min_speed)
        names = find_room(
            step,
            usable,
            may_stop=lambda run: may_preempt and self._may_preempt(run, queue.priority),
            now=self._now,
        )
        self._advice.request_for_gang(step, queue, policy, pool, names)

    def _count_outside_reserve(
        self, step: StepRun, queue: QueuePolicy, pool: Pool
    ) -> int:
        """Return how many tasks may start beside what is kept for urgent work."""
        spec = step.spec
        expected = self._urgent_cpu_millis.get(queue.service, 0.0)
        if not expected or not spec.cpu_millis or spec.fills_spare:
            return spec.count
        # On a full fleet a gang gets room only by reserving upstreams.
        if queue.is_urgent or spec.is_gang:
            return spec.count
        kept = min(expected, self._settings.urgent_share * pool.cpu_millis)
        free = pool.free_cpu_millis - max(0.0, kept - pool.urgent_cpu_millis)
        return max(0, int(free // spec.cpu_millis))

    def _is_kept_out_of_reserve(self, step: StepRun, pool: Pool) -> bool:
        """Return whether room for urgent work has kept a step out for too long."""
        needed = self._reserved.count_needed(step) * step.spec.cpu_millis
        return pool.free_cpu_millis >= needed and self._reserved.may_use_kept_room(step)

    def _place_step(
        self,
        step: StepRun,
        queue: QueuePolicy,
        pool: Pool,
        factor: float,
        max_tasks: int,
    ) -> bool:
        eligible = self._list_eligible(step, queue, pool, needs_room=True)
        held = self._find_held_tasks(step)
        bound = self._unanswered_starts.find_upstreams(step.step_id)
        claimed = self._claims.list_claimed(except_for=step.step_id)
        blocked = self._reserved.find_blocked(step, factor)
        needs = self._find_speed_needs(step, queue, pool, factor)
        order = prefer_fastest if queue.is_urgent else self._order_upstreams
        key = order(step, needs)
        candidates = list_candidates(
            step, eligible, reserved=claimed | blocked, key=key
        )
        is_kept_out = blocked and not _has_room(step, candidates)
        if is_kept_out and self._reserved.is_look_due(step):
            needed = self._reserved.count_needed(step)
            kept_out = blocked - claimed
            kept = [u for u in eligible if u.upstream_id in kept_out]
            room = sum(slots for _, slots in candidates)
            room += count_room(step, kept, most=needed)
            if room >= needed and self._reserved.may_use_kept_room(step):
                candidates = list_candidates(step, eligible, reserved=claimed, key=key)
                max_tasks = 1
        self.wait_cause = self._find_wait_cause(step, queue, pool, candidates, eligible)
        if self._may_wait_for_speed(queue):
            usable = self._list_eligible(step, queue, pool)
            fast = keep_fast_enough(candidates, usable, needs)
            if len(fast) < len(candidates):
                candidates, self.wait_cause = fast, DelayCause.FASTER_UPSTREAM
        if step.spec.is_gang:
            cfg = self._settings
            evens_speed = cfg.learns_run_times and cfg.evens_gang_speeds
            placed = (
                None
                if held
                else place_gang(step, candidates, bound=bound, evens_speed=evens_speed)
            )
        else:
            placed = place_independent_tasks(
                step, candidates, held=held, bound=bound, max_tasks=max_tasks
            )
        if not placed and all(index in bound for index in step.waiting):
            self.wait_cause = DelayCause.UNANSWERED_START
        for index, upstream in placed or ():
            self._start_task(step, queue, index, upstream, factor=factor)
            pool.record_start(upstream, step.spec)
        if placed and step.spec.is_gang:
            self._claims.remove(step.step_id)
        return bool(placed)

    def _find_speed_needs(
        self, step: StepRun, queue: QueuePolicy, pool: Pool, factor: float
    ) -> SpeedNeeds:
        if not self._settings.learns_run_times:
            return ANY_SPEED
        min_speed = find_min_speed(step.job, queue, factor=factor, now=self._now)
        expected = self._fast_cpu_millis.get(queue.service, 0.0)
        if queue.is_urgent or not expected:
            return SpeedNeeds(min_speed)
        if pool.left_to_urgent is None:
            pool.left_to_urgent = find_left_to_urgent(pool.members.values(), expected)
        return SpeedNeeds(min_speed, pool.left_to_urgent)

    def _may_reach_bound(self, step: StepRun, pool: Pool) -> bool:
        """Return whether all upstreams that tasks of a step are bound to are usable."""
        bound = self._unanswered_starts.find_upstreams(step.step_id)
        return all(name in pool.members for name in bound.values())

    def _may_wait_for_speed(self, queue: QueuePolicy) -> bool:
        speed_waits = self._settings.speed_waits
        return speed_waits == "all" or (speed_waits == "urgent" and queue.is_urgent)

    def _find_wait_cause(
        self,
        step: StepRun,
        queue: QueuePolicy,
        pool: Pool,
        candidates: list[tuple[Upstream, int]],
        eligible: list[Upstream],
    ) -> DelayCause:
        """Return why tasks of a step wait that find no room on the candidates."""
        spec = step.spec
        missing = spec.count if spec.is_gang else 1
        if queue.advice is not None and (
            missing * spec.cpu_millis <= pool.free_cpu_millis
            if spec.is_gang
            else not eligible
        ):
            return DelayCause.TICKET
        if self._reserved.upstream_ids and not candidates and eligible:
            return DelayCause.RESERVED_ROOM
        return DelayCause.ROOM

    def _list_eligible(
        self,
        step: StepRun,
        queue: QueuePolicy,
        pool: Pool,
        *,
        needs_room: bool = False,
        lead_s: float = 0.0,
    ) -> list[Upstream]:
        """Return the upstreams that a step may use, now and for `lead_s` seconds."""
        members = pool.members
        if needs_room and step.spec.cpu_millis and not step.spec.fills_spare:
            members = pool.with_free_cpu
        if queue.advice is None:
            return list(members.values())
        ticketed = self._advice_cache.list_ticketed_upstreams(
            step.step_id, self._now + lead_s
        )
        return [members[name] for name in ticketed if name in members]

    def _find_held_tasks(self, step: StepRun) -> set[int]:
        """Return the waiting tasks that may not start beside others, or not yet."""
        return {
            index
            for index in step.suspects
            if index in step.waiting
            and step.count_losses(index) >= PRIME_SUSPECT_LOSSES
            and not (
                self._may_try_again(step, index)
                and (step.spec.is_gang or self._has_waited_alone(step, index))
            )
        }

    def _has_waited_alone(self, step: StepRun, index: int) -> bool:
        """Return whether a prime suspect has waited long enough for an upstream."""
        since_s = step.waiting_alone_s.get(index, self._now)
        return self._now - since_s > MAX_ALONE_WAIT_S

    def _may_try_again(self, step: StepRun, index: int) -> bool:
        """Return whether a prime suspect may start.

        It waits until the losses of upstreams under it are stored. It also waits while
        so many are lost that it would be given up if all of them had crashed.
        """
        return (
            step.job.job_id not in self._unstored_jobs
            and step.count_losses(index) < self._settings.max_crashes
        )

    def _start_task(
        self,
        step: StepRun,
        queue: QueuePolicy,
        index: int,
        upstream: Upstream,
        *,
        factor: float,
    ) -> None:
        task = step.task_id(index)
        name = upstream.upstream_id
        if step.spec.is_gang and step.live:
            attempt = next(iter(step.live.values())).attempt
        else:
            attempt = step.next_attempt(index, self._attempt_floor)
        now = self._now
        run = Run(
            task,
            attempt,
            name,
            step.spec,
            RunPhase.ORDERED,
            now,
            now,
            upstream.incarnation,
            earlier_losses=step.count_losses(index),
            is_urgent=queue.is_urgent,
            team=step.job.spec.team,
            expected_s=step.spec.estimate_s * factor / upstream.speed,
        )
        upstream.add(run)
        self._teams.check_start(step)
        if not upstream.free_slots_for(step.spec) >= 0 or (
            not step.spec.fills_spare
            and upstream.used_cpu_millis > upstream.entry.cpu_millis
        ):
            raise AssertionError(f"start on upstream {name} would exceed its capacity")
        step.record_attempt(index, attempt)
        step.live[index] = run
        step.waiting.discard(index)
        step.waiting_alone_s.pop(index, None)
        step.kept_free.pop(index, None)
        ticket = self._advice_cache.find_ticket(step.step_id, name, now) or ""
        checkpoint = step.checkpoints.get(index, "")
        if step.spec.is_gang:
            checkpoint = max(step.checkpoints.values(), default="", key=len)
        payload = step.job.spec.payload
        self.starts.append(
            StartOrder(
                name,
                task,
                attempt,
                payload,
                checkpoint,
                ticket,
                now,
                upstream.incarnation,
            )
        )

    def _reserve(self, step: StepRun, queue: QueuePolicy, pool: Pool) -> None:
        """Keep upstreams for a gang unless something else than room holds it back."""
        if self._find_held_tasks(step):
            return
        if self._unanswered_starts.find_upstreams(step.step_id):
            return
        taken = self._claims.list_claimed(except_for=step.step_id)
        taken |= self._reserved.upstream_ids
        self._reserved.reserve(
            step,
            [
                upstream
                for upstream in self._list_allowed(step, queue, pool)
                if upstream.upstream_id not in taken
            ],
        )

    def _list_allowed(
        self, step: StepRun, queue: QueuePolicy, pool: Pool
    ) -> list[Upstream]:
        """Return the upstreams for which a step has tickets or can get them."""
        if queue.advice is None:
            return list(pool.members.values())
        step_advice = self._advice_cache.get_or_create(step.step_id)
        if step_advice.has_failed:
            return self._list_eligible(step, queue, pool)
        return [u for name, u in pool.members.items() if name in step_advice.allowed]


def _has_room(step: StepRun, candidates: list[tuple[Upstream, int]]) -> bool:
    """Return whether a task of a step, or the whole gang, fits on the candidates."""
    needed = step.spec.count if step.spec.is_gang else 1
    return sum(slots for _, slots in candidates) >= needed
