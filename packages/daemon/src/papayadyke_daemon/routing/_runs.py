"""Synchronous requests: run here, or handed to a peer with room."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from papayadyke_core.resources import Resources
from papayadyke_core.scheduling import LoadSummary
from papayadyke_core.verdicts import Reason, Refusal, Verdict
from papayadyke_daemon.peers import Handler, PeerEndpoint
from papayadyke_daemon.routing._messages import (
    ForwardRun,
    RunAnswered,
    RunReply,
    read_refusal,
    write_refusal,
)
from papayadyke_daemon.routing._picker import PeerPicker
from papayadyke_daemon.serving import (
    Answer,
    RunOrder,
    RunService,
    refuse_draining,
)

# A refusal for one of these says nothing of what a peer could do.
FORWARDABLE = frozenset(
    {
        Reason.QUEUE_FULL,
        Reason.DEADLINE_UNREACHABLE,
        Reason.NO_CAPACITY,
        Reason.CAN_NEVER_RUN,
        Reason.DRAINING,
        Reason.EXPIRED,
    }
)


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """Limits of handing requests on.

    Parameters
    ----------
    peers_tried : int, default=2
        Peers of the zone that are asked, one after the other.
    zones_tried : int, default=1
        Contacts in other zones that are asked after them.
    cross_after_s : float, default=1.0
        Time for which a request waits in its own zone while another zone tells
        of room.
    reply_margin_s : float, default=1.0
        Time past a request's deadline for which its reply is waited for.
    """

    peers_tried: int = 2
    zones_tried: int = 1
    cross_after_s: float = 1.0
    reply_margin_s: float = 1.0


class RoutedRuns:
    """Runs requests here or at a peer, which hands them on once at most.

    Parameters
    ----------
    runs : RunService
    endpoint : callable
        Returns the `PeerEndpoint`.
    picker : PeerPicker
    load : callable
        Returns the latest `LoadSummary` of this VM, or None.
    guard : context manager
        Entered while a request of a peer is served, so that a stop waits for it.
    is_draining : callable
    settings : RoutingSettings, default=RoutingSettings()
    """

    def __init__(
        self,
        *,
        runs: RunService,
        endpoint: Callable[[], PeerEndpoint],
        picker: PeerPicker,
        load: Callable[[], LoadSummary | None],
        guard: AbstractContextManager[None],
        is_draining: Callable[[], bool],
        settings: RoutingSettings | None = None,
    ) -> None:
        self.runs = runs
        self.ids = runs.ids
        self.clock = runs.clock
        self.endpoint = endpoint
        self.picker = picker
        self.load = load
        self.guard = guard
        self.is_draining = is_draining
        self.settings = settings or RoutingSettings()

    def make_handlers(self) -> list[Handler]:
        """Return what serves the requests that peers hand over."""
        return [Handler(ForwardRun, self._serve, is_slow=True)]

    def run(self, order: RunOrder) -> Result[Answer, Refusal]:
        """Run a request where there is room for it."""
        return self._route(order, may_cross_zones=True)

    def _serve(self, message: ForwardRun, sender: str) -> RunReply:
        with self.guard:
            if self.is_draining():
                return _write_reply(Err(refuse_draining()))
            return self._serve_run(message)

    def _serve_run(self, message: ForwardRun) -> RunReply:
        order = RunOrder(
            request_id=message.request_id,
            workload=message.workload,
            payload=message.payload,
            content_type=message.content_type,
            deadline_s=self.clock() + message.remaining_s,
            base_id=message.base_id,
        )
        if message.hops > 0:
            result = self._route(order, may_cross_zones=False)
        else:
            result = self.runs.run(order)
        return _write_reply(result)

    def _route(
        self, order: RunOrder, *, may_cross_zones: bool
    ) -> Result[Answer, Refusal]:
        demand = self._find_demand(order.workload)
        if demand is None:
            return self.runs.run(order)
        tried: frozenset[str] = frozenset()
        if not self._has_room(demand):
            peer = self._pick(demand, tried)
            if peer is not None:
                tried |= {peer}
                result = self._forward(order, peer, hops=0)
                if not _may_go_on(result):
                    return result
        here = order
        if may_cross_zones and self.picker.pick_zone(demand) is not None:
            wait_s = self.clock() + self.settings.cross_after_s
            here = replace(order, start_by_s=min(wait_s, order.deadline_s))
        result = self._run_here(here)
        for _ in range(self.settings.peers_tried - len(tried)):
            if not self._may_wait_on(order, result):
                return result
            peer = self._pick(demand, tried)
            if peer is None:
                break
            tried |= {peer}
            result = self._forward(order, peer, hops=0)
        if not may_cross_zones or not self._may_wait_on(order, result):
            return result
        result = self._cross_zones(order, demand, result)
        if here.start_by_s is not None and self._may_wait_on(order, result):
            return self._run_here(order)
        return result

    def _may_wait_on(self, order: RunOrder, result: Result[Answer, Refusal]) -> bool:
        return _may_go_on(result) and self.clock() < order.deadline_s

    def _pick(self, demand: Resources, tried: frozenset[str]) -> str | None:
        """Return a peer with room, or one where it can wait if it can not here."""
        peer = self.picker.pick_peer(demand, tried=tried)
        if peer is None and (self.is_draining() or self._has_no_slots()):
            return self.picker.pick_any(tried=tried)
        return peer

    def _has_no_slots(self) -> bool:
        """Tell whether nothing could start here, now or after others end."""
        load = self.load()
        return load is not None and load.slots == 0

    def _run_here(self, order: RunOrder) -> Result[Answer, Refusal]:
        if self.is_draining():
            return Err(refuse_draining())
        return self.runs.run(order)

    def _cross_zones(
        self, order: RunOrder, demand: Resources, result: Result[Answer, Refusal]
    ) -> Result[Answer, Refusal]:
        tried: frozenset[str] = frozenset()
        for _ in range(self.settings.zones_tried):
            contact = self.picker.pick_zone(demand, tried=tried)
            if contact is None or not _may_go_on(result):
                return result
            tried |= {contact}
            result = self._forward(order, contact, hops=1)
        return result

    def _forward(
        self, order: RunOrder, peer: str, *, hops: int
    ) -> Result[Answer, Refusal]:
        remaining_s = order.deadline_s - self.clock()
        if remaining_s <= 0.0:
            return Err(_refuse_unheard(peer, "the deadline has passed"))
        message = ForwardRun(
            request_id=order.request_id,
            workload=order.workload,
            payload=order.payload,
            content_type=order.content_type,
            remaining_s=remaining_s,
            base_id=order.base_id,
            hops=hops,
        )
        order.on_placed(f"vm:{peer}")
        reply = self.endpoint().call(
            peer,
            message,
            RunReply,
            timeout_s=remaining_s + self.settings.reply_margin_s,
        )
        if isinstance(reply, Ok):
            return _read_reply(reply.ok_value)
        if reply.err_value.verdict is Verdict.NOT_RUN:
            return Err(_refuse_unheard(peer, reply.err_value.detail))
        return Err(
            Refusal(
                Verdict.MAY_HAVE_RUN,
                Reason.UPSTREAM_LOST,
                f"The request was handed to {peer}, which gave no reply.",
            )
        )

    def _find_demand(self, workload: str) -> Resources | None:
        found = self.runs.config().workloads.get(workload)
        return None if found is None else found.demand

    def _has_room(self, demand: Resources) -> bool:
        load = self.load()
        if self.is_draining():
            return False
        if load is None:
            return True
        return load.free_slots > 0 and demand.fits_in(load.free)


def _may_go_on(result: Result[Answer, Refusal]) -> bool:
    """Tell whether another VM may be asked after this result."""
    if isinstance(result, Ok):
        return False
    refusal = result.err_value
    return refusal.verdict is Verdict.NOT_RUN and refusal.reason in FORWARDABLE


def _refuse_unheard(peer: str, detail: str) -> Refusal:
    return Refusal(
        Verdict.NOT_RUN,
        Reason.NO_CAPACITY,
        f"{peer} did not take the request: {detail}.",
        retry_after_s=1.0,
    )


def _write_reply(result: Result[Answer, Refusal]) -> RunReply:
    if isinstance(result, Err):
        return RunReply(None, write_refusal(result.err_value))
    answer = result.ok_value
    answered = RunAnswered(
        status=answer.status,
        content_type=answer.content_type,
        body=answer.body,
        upstream=answer.upstream,
        attempts=answer.attempts,
        wait_s=answer.wait_s,
        run_s=answer.run_s,
    )
    return RunReply(answered, None)


def _read_reply(reply: RunReply) -> Result[Answer, Refusal]:
    if reply.refusal is not None:
        return Err(read_refusal(reply.refusal))
    answered = reply.answered
    if answered is None:
        raise ValueError("a reply without an answer or a refusal")
    return Ok(
        Answer(
            status=answered.status,
            content_type=answered.content_type,
            body=answered.body,
            upstream=answered.upstream,
            attempts=answered.attempts,
            wait_s=answered.wait_s,
            run_s=answered.run_s,
        )
    )
