"""Requests to the advisory service during one placement pass."""

from __future__ import annotations

import math
from collections.abc import Set

from papayadyke_core.dispatch._advice import (
    MAX_UPSTREAMS_PER_REQUEST,
    AdviceCache,
    choose_upstreams_to_ask,
    choose_upstreams_to_search,
)
from papayadyke_core.dispatch._job import StepRun
from papayadyke_core.dispatch._messages import AdviceRequest
from papayadyke_core.dispatch._pool import Pool
from papayadyke_core.dispatch._settings import DispatchSettings
from papayadyke_core.dispatch._spec import AdvicePolicy, QueuePolicy

ADVICE_SEARCH_INTERVAL_S = 0.25  # seconds between two searches for a waiting step
# Fraction of the advisory calls that may be in progress while steps without room renew
# their tickets.
SPARE_ADVICE_SHARE = 0.25
# Searches per pass; each looks at every upstream of a service.
MAX_ADVICE_SEARCHES = 40
# Multiple of a gang's tasks for which the upstreams that are looked for ahead have room
# if idle.
AHEAD_MARGIN = 3.0


class AdviceRound:
    """Decide for which steps tickets are requested now.

    Parameters
    ----------
    settings : DispatchSettings
    cache : AdviceCache
    slots : int
        Maximum number of concurrent calls to the advisory service.
    now : float
        Seconds, on the dispatcher's clock.
    """

    def __init__(
        self, settings: DispatchSettings, cache: AdviceCache, *, slots: int, now: float
    ) -> None:
        self.requests: list[AdviceRequest] = []
        self._settings = settings
        self._cache = cache
        self._slots = slots
        self._now = now
        self._searches_left = MAX_ADVICE_SEARCHES

    def request(
        self,
        step: StepRun,
        queue: QueuePolicy,
        policy: AdvicePolicy,
        pool: Pool,
        *,
        may_reserve: bool,
    ) -> None:
        """Request tickets for a step that has too few upstreams with room.

        Parameters
        ----------
        step : StepRun
        queue : QueuePolicy
        policy : AdvicePolicy
        pool : Pool
        may_reserve : bool
            Whether upstreams are reserved for the step.
        """
        step_advice = self._cache.get_or_create(step.step_id)
        refresh_s = policy.decide_s + policy.per_upstream_s * len(step_advice.allowed)
        refreshed_at_s = self._now + refresh_s
        needs_renewal = refreshed_at_s >= step_advice.valid_until_s and (
            not self.is_scarce
            or may_reserve
            or _has_room(step, step_advice.allowed, pool)
        )
        if (
            not (needs_renewal or self._now >= step_advice.next_search_s)
            or step_advice.is_request_pending
            or self._now < step_advice.retry_at_s
            or self._searches_left <= 0
            or self._count_free_slots(policy) <= 0
        ):
            return
        self._searches_left -= 1
        step_advice.next_search_s = self._now + ADVICE_SEARCH_INTERVAL_S
        requested = choose_upstreams_to_ask(
            step,
            pool.members,
            step_advice,
            allowed_share=self._cache.get_allowed_share(queue.key),
            # Tickets that expire before this request is answered do not count.
            valid_at_s=refreshed_at_s,
            renews=needs_renewal or not step_advice.queried,
        )
        if requested:
            self._send(step, policy, requested)
        elif needs_renewal:
            # Nothing is left to renew, so only the next search is due.
            step_advice.valid_until_s = math.inf

    def may_request(self, step: StepRun, policy: AdvicePolicy) -> bool:
        """Return whether a call for a step may be sent now."""
        step_advice = self._cache.get_or_create(step.step_id)
        return (
            not step_advice.is_request_pending
            and self._now >= max(step_advice.retry_at_s, step_advice.next_search_s)
            and self._searches_left > 0
            and self._count_free_slots(policy) > 0
        )

    def request_for_gang(
        self,
        step: StepRun,
        queue: QueuePolicy,
        policy: AdvicePolicy,
        pool: Pool,
        names: Set[str],
    ) -> None:
        """Request the tickets of a gang; see `may_request`.

        Parameters
        ----------
        step : StepRun
            A gang.
        queue : QueuePolicy
        policy : AdvicePolicy
        pool : Pool
        names : set of str
            Upstreams on which it fits; empty if it does not fit on those that it may
            use, so that more are looked for.
        """
        self._searches_left -= 1
        step_advice = self._cache.get_or_create(step.step_id)
        step_advice.next_search_s = self._now + ADVICE_SEARCH_INTERVAL_S
        allowed_share = self._cache.get_allowed_share(queue.key)
        if names:
            expected_s = policy.decide_s + policy.per_upstream_s * len(names)
            missing = step_advice.list_missing(sorted(names), self._now + expected_s)
            if missing and len(names) <= MAX_UPSTREAMS_PER_REQUEST:
                # Tickets of one answer expire together.
                missing = sorted(names)
            if missing:
                self._send(step, policy, tuple(missing[:MAX_UPSTREAMS_PER_REQUEST]))
            return
        if step_advice.queried:
            requested = choose_upstreams_to_search(
                step, pool.members, step_advice, allowed_share=allowed_share
            )
        else:
            requested = choose_upstreams_to_ask(
                step,
                pool.members,
                step_advice,
                allowed_share=allowed_share,
                valid_at_s=self._now,
            )
        if requested:
            self._send(step, policy, requested)

    def search_ahead(
        self, step: StepRun, queue: QueuePolicy, policy: AdvicePolicy, pool: Pool
    ) -> None:
        """Look for upstreams of a gang that may not start before a takeover ends.

        Which upstreams it may use stays valid, unlike the tickets. Otherwise all gangs
        of the earlier decider ask for the first time at the same moment. Nothing is
        requested while steps that may start compete for calls.
        """
        if self.is_scarce:
            return
        allowed = self._cache.get_or_create(step.step_id).allowed
        slots = sum(
            pool.members[name].total_slots_for(step.spec)
            for name in allowed
            if name in pool.members
        )
        if slots < AHEAD_MARGIN * step.spec.count and self.may_request(step, policy):
            self.request_for_gang(step, queue, policy, pool, frozenset())

    def _send(
        self, step: StepRun, policy: AdvicePolicy, names: tuple[str, ...]
    ) -> None:
        expected_s = policy.decide_s + policy.per_upstream_s * len(names)
        self._cache.begin_request(step.step_id)
        self.requests.append(AdviceRequest(step.step_id, names, expected_s))

    @property
    def is_scarce(self) -> bool:
        """Whether steps compete for advisory calls.

        Then only those renew their tickets that have room to start, or gangs for which
        room is reserved. In a flood the renewals of steps without room took most of the
        calls, and urgent steps waited for their first one.
        """
        pending = self._cache.pending_requests
        return pending >= SPARE_ADVICE_SHARE * self._slots

    def _count_free_slots(self, policy: AdvicePolicy) -> int:
        free_slots = self._slots - self._cache.pending_requests
        if policy.decide_s > self._settings.slow_advice_s:
            free_slots -= min(self._settings.quick_advice_slots, self._slots - 1)
        return free_slots


def _has_room(step: StepRun, names: Set[str], pool: Pool) -> bool:
    """Return whether a gang, or a task of another step, fits on some upstreams."""
    missing = step.spec.count if step.spec.is_gang else 1
    for name in names:
        upstream = pool.members.get(name)
        if upstream is not None:
            missing -= upstream.free_slots_for(step.spec)
            if missing <= 0:
                return True
    return False
