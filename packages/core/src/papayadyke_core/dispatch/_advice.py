"""Cache of the tickets that the advisory service issues for each step."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple
from zlib import crc32

from papayadyke_core.dispatch._job import StepRun
from papayadyke_core.dispatch._messages import Advice
from papayadyke_core.dispatch._spec import StepId, StepSpec
from papayadyke_core.dispatch._upstream import Upstream

# Limit of the platform's interface for one advisory call.
MAX_UPSTREAMS_PER_REQUEST = 100
# Upstreams that a first call or a renewal names at least, with room or not: the users'
# objective of a job counts one call for 30 upstreams a step.
MIN_UPSTREAMS_PER_REQUEST = 30
# Multiple of a step's tasks for which a call is to find room; other steps may take some
# of it before the answer arrives.
ROOM_MARGIN = 2.0

# Seconds; covers the calls that a start needs to reach its upstream.
TICKET_EXPIRY_MARGIN_S = 0.15
INITIAL_ALLOWED_SHARE = 0.5  # until answers have shown the share of a queue
# Weight of the newest answer in the moving average of the allowed share.
SHARE_WEIGHT = 0.05


class _Candidate(NamedTuple):
    """Upstream that a request may name; the lowest rank comes first."""

    rank: tuple[int, int]
    slots: int
    name: str


@dataclass(slots=True)
class StepAdvice:
    """Tickets and request state of one step.

    Parameters
    ----------
    tickets : dict of str to (str, float)
        Ticket of each upstream, and when it expires.
    allowed, queried : set of str
        Upstreams that may run the step, and those that the service has answered
        for.
    is_request_pending : bool
    retry_at_s : float
        Time before which no request is sent, after a failed one.
    next_search_s : float
        Time before which no further upstreams are looked for.
    valid_until_s : float
        When the tickets of the last answer expire; infinite if there are none.
    has_failed : bool
        Whether the last request failed.
    """

    tickets: dict[str, tuple[str, float]] = field(default_factory=dict)
    allowed: set[str] = field(default_factory=set)
    queried: set[str] = field(default_factory=set)
    is_request_pending: bool = False
    retry_at_s: float = 0.0
    next_search_s: float = 0.0
    valid_until_s: float = math.inf
    has_failed: bool = False

    def list_missing(self, names: Iterable[str], at_s: float) -> list[str]:
        """Return those of some upstreams whose ticket is not valid at a time."""
        return [
            name
            for name in names
            if (ticket := self.tickets.get(name)) is None or ticket[1] <= at_s
        ]


class AdviceCache:
    """Cache of the tickets of every waiting step."""

    def __init__(self) -> None:
        self._steps: dict[StepId, StepAdvice] = {}
        self._allowed_shares: dict[str, float] = {}
        self.pending_requests = 0

    def get_allowed_share(self, queue: str) -> float:
        """Return the share of the named upstreams that a queue's steps may use."""
        return self._allowed_shares.get(queue, INITIAL_ALLOWED_SHARE)

    def get_or_create(self, step: StepId) -> StepAdvice:
        """Return the entry of a step, creating an empty one if there is none."""
        step_advice = self._steps.get(step)
        if step_advice is None:
            step_advice = self._steps[step] = StepAdvice()
        return step_advice

    def begin_request(self, step: StepId) -> None:
        """Record that a request is pending."""
        self.get_or_create(step).is_request_pending = True
        self.pending_requests += 1

    def record_answer(self, advice: Advice, *, queue: str = "") -> None:
        """Store the tickets of an answer.

        Parameters
        ----------
        advice : Advice
        queue : str
            Queue of the step, whose share of allowed upstreams is learned; an empty
            one is not.
        """
        if queue and advice.upstream_ids:
            share = self.get_allowed_share(queue)
            sample = len(advice.tickets) / len(advice.upstream_ids)
            self._allowed_shares[queue] = share + SHARE_WEIGHT * (sample - share)
        step_advice = self._steps.get(advice.step)
        self.pending_requests -= 1
        if step_advice is None:
            return
        step_advice.is_request_pending = step_advice.has_failed = False
        step_advice.queried.update(advice.upstream_ids)
        expires_s = advice.answered_s + advice.valid_s - TICKET_EXPIRY_MARGIN_S
        step_advice.valid_until_s = expires_s if advice.tickets else math.inf
        for upstream_id, ticket in advice.tickets.items():
            step_advice.allowed.add(upstream_id)
            step_advice.tickets[upstream_id] = (ticket, expires_s)

    def record_failure(self, step: StepId, *, retry_at_s: float) -> None:
        """Record that a request failed, and when to retry it."""
        self.pending_requests -= 1
        step_advice = self._steps.get(step)
        if step_advice is not None:
            step_advice.is_request_pending = False
            step_advice.has_failed = True
            step_advice.retry_at_s = retry_at_s

    def find_ticket(self, step: StepId, upstream_id: str, now: float) -> str | None:
        """Return the ticket for an upstream, or None if there is no valid one."""
        step_advice = self._steps.get(step)
        entry = None if step_advice is None else step_advice.tickets.get(upstream_id)
        if entry is None or entry[1] <= now:
            return None
        return entry[0]

    def list_ticketed_upstreams(self, step: StepId, now: float) -> list[str]:
        """Return the ids of the upstreams for which a valid ticket is cached."""
        step_advice = self._steps.get(step)
        if step_advice is None:
            return []
        return [name for name, entry in step_advice.tickets.items() if entry[1] > now]

    def remove_ticket(self, step: StepId, upstream_id: str) -> None:
        """Remove a ticket that an upstream refused."""
        step_advice = self._steps.get(step)
        if step_advice is not None:
            step_advice.tickets.pop(upstream_id, None)

    def remove_upstream(self, upstream_id: str) -> None:
        """Invalidate all answers for an upstream that has restarted."""
        for step_advice in self._steps.values():
            step_advice.queried.discard(upstream_id)
            step_advice.allowed.discard(upstream_id)
            step_advice.tickets.pop(upstream_id, None)

    def remove_step(self, step: StepId) -> None:
        """Remove the entry of a step that no longer waits."""
        self._steps.pop(step, None)


def choose_upstreams_to_search(
    step: StepRun,
    upstreams: Mapping[str, Upstream],
    step_advice: StepAdvice,
    *,
    allowed_share: float,
) -> tuple[str, ...]:
    """Return further upstreams to ask about for a gang that finds no room.

    The emptiest come first, until those that are expected to be allowed have room for
    the gang with a margin.

    Parameters
    ----------
    step : StepRun
        A gang.
    upstreams : mapping of str to Upstream
        Upstreams of the service that accept new runs.
    step_advice : StepAdvice
    allowed_share : float
        Expected share of upstreams that the step may use.
    """
    unknown = [
        _make_candidate(step, upstream)
        for name, upstream in upstreams.items()
        if name not in step_advice.queried
    ]
    wanted = ROOM_MARGIN * step.spec.count
    requested: list[str] = []
    for candidate in sorted(unknown, key=lambda c: c.rank):
        has_enough = wanted <= 0 and len(requested) >= MIN_UPSTREAMS_PER_REQUEST
        if has_enough or len(requested) == MAX_UPSTREAMS_PER_REQUEST:
            break
        requested.append(candidate.name)
        wanted -= allowed_share * _count_room(step.spec, candidate.slots)
    return tuple(requested)


def choose_upstreams_to_ask(
    step: StepRun,
    upstreams: Mapping[str, Upstream],
    step_advice: StepAdvice,
    *,
    allowed_share: float,
    valid_at_s: float,
    renews: bool = True,
) -> tuple[str, ...]:
    """Return the upstreams for which a step needs tickets, best first.

    Upstreams with room for the step come before others, and those that are known to be
    allowed before the rest. The rest is in another order for each step, so that the
    steps do not all ask for the same upstreams. The first call of a step and renewals
    of tickets also name upstreams without room, which may be free by then; a search for
    more does not.

    Parameters
    ----------
    step : StepRun
    upstreams : mapping of str to Upstream
        Upstreams of the service that accept new runs.
    step_advice : StepAdvice
    allowed_share : float
        Expected share of upstreams that the step may use.
    valid_at_s : float
        Time up to which a ticket must be valid to count, in seconds.
    renews : bool, default=True
        Whether upstreams that are known to be allowed are named again without room.
    """
    spec = step.spec
    missing = float(spec.count if spec.is_gang else len(step.waiting))
    known: list[_Candidate] = []
    unknown: list[_Candidate] = []
    for name, upstream in upstreams.items():
        ticket = step_advice.tickets.get(name)
        if ticket is not None and ticket[1] > valid_at_s:
            missing -= _count_room(spec, upstream.free_slots_for(spec))
        elif name in step_advice.allowed:
            if renews or upstream.free_slots_for(spec):
                known.append(_make_candidate(step, upstream))
        elif name not in step_advice.queried:
            unknown.append(_make_candidate(step, upstream))
    if missing <= 0:
        return ()
    has_room = any(candidate.slots for candidate in (*known, *unknown))
    is_search = bool(step_advice.queried) and not known
    if is_search and not has_room:
        return ()
    wanted = ROOM_MARGIN * missing
    least = 0 if is_search else MIN_UPSTREAMS_PER_REQUEST
    requested: list[str] = []
    for share, candidates in ((1.0, known), (allowed_share, unknown)):
        for candidate in sorted(candidates, key=lambda c: c.rank):
            if len(requested) == MAX_UPSTREAMS_PER_REQUEST:
                break
            has_enough = wanted <= 0 or (has_room and not candidate.slots)
            if has_enough and len(requested) >= least:
                break
            requested.append(candidate.name)
            slots = candidate.slots or upstreams[candidate.name].total_slots_for(spec)
            wanted -= share * _count_room(spec, slots)
    return tuple(requested)


def _make_candidate(step: StepRun, upstream: Upstream) -> _Candidate:
    name = upstream.upstream_id
    slots = upstream.free_slots_for(step.spec)
    # Gangs ask for the emptiest upstreams, other steps for any with room, which leaves
    # whole upstreams to the gangs.
    preferred = slots if step.spec.is_gang else min(slots, 1)
    order = crc32(f"{step.step_id.job_id}{name}".encode())
    return _Candidate((-preferred, order), slots, name)


def _count_room(spec: StepSpec, slots: int) -> int:
    return min(slots, spec.max_per_upstream) if spec.max_per_upstream else slots
