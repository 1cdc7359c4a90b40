"""Cache of the tickets that the advisory service issues for each step."""

from __future__ import annotations

from dataclasses import dataclass, field

from papayadyke_core.dispatch._messages import Advice
from papayadyke_core.dispatch._spec import StepId

# Seconds; covers the calls that a start needs to reach its upstream.
TICKET_EXPIRY_MARGIN_S = 0.15


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
    valid_until_s : float
        When the tickets of the last answer expire; 0 if one of them was refused.
    fleet_version : int
        Version of the fleet for which a request was last considered; -1 if none
        was yet, or if a request waits for a free slot.
    """

    tickets: dict[str, tuple[str, float]] = field(default_factory=dict)
    allowed: set[str] = field(default_factory=set)
    queried: set[str] = field(default_factory=set)
    is_request_pending: bool = False
    retry_at_s: float = 0.0
    valid_until_s: float = 0.0
    fleet_version: int = -1


class AdviceCache:
    """Cache of the tickets of every waiting step."""

    def __init__(self) -> None:
        self._steps: dict[StepId, StepAdvice] = {}
        self.pending_requests = 0

    def get_or_create(self, step: StepId) -> StepAdvice:
        """Return the entry of a step, creating an empty one if there is none."""
        step_advice = self._steps.get(step)
        if step_advice is None:
            step_advice = self._steps[step] = StepAdvice()
        return step_advice

    def begin_request(self, step: StepId, fleet_version: int) -> None:
        """Record that a request for a version of the fleet is pending."""
        step_advice = self.get_or_create(step)
        step_advice.is_request_pending = True
        step_advice.fleet_version = fleet_version
        self.pending_requests += 1

    def record_answer(self, advice: Advice) -> None:
        """Store the tickets of an answer."""
        step_advice = self._steps.get(advice.step)
        self.pending_requests -= 1
        if step_advice is None:
            return
        step_advice.is_request_pending = False
        step_advice.queried.update(advice.upstream_ids)
        expires_s = advice.answered_s + advice.valid_s - TICKET_EXPIRY_MARGIN_S
        step_advice.valid_until_s = expires_s
        for upstream_id, ticket in advice.tickets.items():
            step_advice.allowed.add(upstream_id)
            step_advice.tickets[upstream_id] = (ticket, expires_s)

    def record_failure(self, step: StepId, *, retry_at_s: float) -> None:
        """Record that a request failed, and when to retry it."""
        self.pending_requests -= 1
        step_advice = self._steps.get(step)
        if step_advice is not None:
            step_advice.is_request_pending = False
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
            step_advice.valid_until_s = 0.0

    def remove_upstream(self, upstream_id: str) -> None:
        """Invalidate all answers for an upstream that has restarted."""
        for step_advice in self._steps.values():
            step_advice.queried.discard(upstream_id)
            step_advice.allowed.discard(upstream_id)
            step_advice.tickets.pop(upstream_id, None)

    def remove_step(self, step: StepId) -> None:
        """Remove the entry of a step that no longer waits."""
        self._steps.pop(step, None)
