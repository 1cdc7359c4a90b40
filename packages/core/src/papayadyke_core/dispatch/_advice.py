"""Tickets of the advisory service, by step."""

from __future__ import annotations

from dataclasses import dataclass, field

from papayadyke_core.dispatch._messages import Advice
from papayadyke_core.dispatch._spec import StepId

TICKET_EXPIRY_MARGIN_S = (
    0.15  # seconds; a start takes a few calls to reach its upstream
)


@dataclass(slots=True)
class StepAdvice:
    """What is known of one step.

    Parameters
    ----------
    tickets : dict of str to (str, float)
        Ticket of each upstream and when it expires.
    allowed, asked : set of str
        Upstreams that may run the step, and those whose answer is known.
    is_asking : bool
    retry_at_s : float
    valid_until_s : float
        When the first tickets of the last answer expire.
    fleet : int
        Version of the fleet that the last question was about.
    """

    tickets: dict[str, tuple[str, float]] = field(default_factory=dict)
    allowed: set[str] = field(default_factory=set)
    queried: set[str] = field(default_factory=set)
    is_request_pending: bool = False
    retry_at_s: float = 0.0
    valid_until_s: float = 0.0
    fleet_version: int = -1


class AdviceCache:
    """Keeps the tickets of every step that waits."""

    def __init__(self) -> None:
        self._steps: dict[StepId, StepAdvice] = {}
        self.pending_requests = 0

    def get_or_create(self, step: StepId) -> StepAdvice:
        """Return what is known of a step, which may be nothing."""
        step_advice = self._steps.get(step)
        if step_advice is None:
            step_advice = self._steps[step] = StepAdvice()
        return step_advice

    def begin_request(self, step: StepId, fleet_version: int) -> None:
        """Note that the service is being asked about a version of the fleet."""
        step_advice = self.get_or_create(step)
        step_advice.is_request_pending = True
        step_advice.fleet_version = fleet_version
        self.pending_requests += 1

    def record_answer(self, advice: Advice) -> None:
        """Take in an answer."""
        step_advice = self._steps.get(advice.step)
        self.pending_requests -= 1
        if step_advice is None:
            return
        step_advice.is_request_pending = False
        step_advice.queried.update(advice.upstream_ids)
        expires = advice.answered_s + advice.valid_s - TICKET_EXPIRY_MARGIN_S
        step_advice.valid_until_s = expires
        for upstream_id, ticket in advice.tickets.items():
            step_advice.allowed.add(upstream_id)
            step_advice.tickets[upstream_id] = (ticket, expires)

    def record_failure(self, step: StepId, *, retry_at_s: float) -> None:
        """Note that the service did not answer."""
        self.pending_requests -= 1
        step_advice = self._steps.get(step)
        if step_advice is not None:
            step_advice.is_request_pending = False
            step_advice.retry_at_s = retry_at_s

    def find_ticket(self, step: StepId, upstream_id: str, now: float) -> str | None:
        """Return a ticket that is still valid."""
        step_advice = self._steps.get(step)
        entry = None if step_advice is None else step_advice.tickets.get(upstream_id)
        if entry is None or entry[1] <= now:
            return None
        return entry[0]

    def list_ticketed_upstreams(self, step: StepId, now: float) -> list[str]:
        """Return the upstreams for which there is a valid ticket."""
        step_advice = self._steps.get(step)
        if step_advice is None:
            return []
        return [name for name, entry in step_advice.tickets.items() if entry[1] > now]

    def remove_ticket(self, step: StepId, upstream_id: str) -> None:
        """Forget a ticket that was refused."""
        step_advice = self._steps.get(step)
        if step_advice is not None:
            step_advice.tickets.pop(upstream_id, None)
            step_advice.valid_until_s = 0.0

    def remove_upstream(self, upstream_id: str) -> None:
        """Ask again about an upstream that began a new life."""
        for step_advice in self._steps.values():
            step_advice.queried.discard(upstream_id)
            step_advice.allowed.discard(upstream_id)
            step_advice.tickets.pop(upstream_id, None)

    def remove_step(self, step: StepId) -> None:
        """Drop what is known of a step that waits no more."""
        self._steps.pop(step, None)
