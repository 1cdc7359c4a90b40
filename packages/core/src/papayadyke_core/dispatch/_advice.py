"""Tickets of the advisory service, by step."""

from __future__ import annotations

from dataclasses import dataclass, field

from papayadyke_core.dispatch._messages import Advice
from papayadyke_core.dispatch._spec import StepId

TICKET_MARGIN_S = 0.15  # seconds; a start takes a few calls to reach its upstream


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
    asked: set[str] = field(default_factory=set)
    is_asking: bool = False
    retry_at_s: float = 0.0
    valid_until_s: float = 0.0
    fleet: int = -1


class AdviceBook:
    """Keeps the tickets of every step that waits."""

    def __init__(self) -> None:
        self._steps: dict[StepId, StepAdvice] = {}
        self.asking = 0

    def of(self, step: StepId) -> StepAdvice:
        """Return what is known of a step, which may be nothing."""
        known = self._steps.get(step)
        if known is None:
            known = self._steps[step] = StepAdvice()
        return known

    def begin(self, step: StepId, fleet: int) -> None:
        """Note that the service is being asked about a version of the fleet."""
        known = self.of(step)
        known.is_asking = True
        known.fleet = fleet
        self.asking += 1

    def take(self, advice: Advice) -> None:
        """Take in an answer."""
        known = self._steps.get(advice.step)
        self.asking -= 1
        if known is None:
            return
        known.is_asking = False
        known.asked.update(advice.asked)
        expires = advice.answered_s + advice.valid_s - TICKET_MARGIN_S
        known.valid_until_s = expires
        for upstream_id, ticket in advice.tickets.items():
            known.allowed.add(upstream_id)
            known.tickets[upstream_id] = (ticket, expires)

    def fail(self, step: StepId, *, retry_at_s: float) -> None:
        """Note that the service did not answer."""
        self.asking -= 1
        known = self._steps.get(step)
        if known is not None:
            known.is_asking = False
            known.retry_at_s = retry_at_s

    def ticket(self, step: StepId, upstream_id: str, now: float) -> str | None:
        """Return a ticket that is still valid."""
        known = self._steps.get(step)
        held = None if known is None else known.tickets.get(upstream_id)
        if held is None or held[1] <= now:
            return None
        return held[0]

    def valid_tickets(self, step: StepId, now: float) -> list[str]:
        """Return the upstreams for which there is a valid ticket."""
        known = self._steps.get(step)
        if known is None:
            return []
        return [name for name, held in known.tickets.items() if held[1] > now]

    def drop_ticket(self, step: StepId, upstream_id: str) -> None:
        """Forget a ticket that was refused."""
        known = self._steps.get(step)
        if known is not None:
            known.tickets.pop(upstream_id, None)
            known.valid_until_s = 0.0

    def forget_upstream(self, upstream_id: str) -> None:
        """Ask again about an upstream that began a new life."""
        for known in self._steps.values():
            known.asked.discard(upstream_id)
            known.allowed.discard(upstream_id)
            known.tickets.pop(upstream_id, None)

    def forget_step(self, step: StepId) -> None:
        """Drop what is known of a step that waits no more."""
        self._steps.pop(step, None)
