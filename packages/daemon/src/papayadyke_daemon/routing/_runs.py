"""Routing of synchronous requests to this VM or to a peer with capacity."""

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
    decode_refusal,
    encode_refusal,
)
from papayadyke_daemon.routing._picker import PeerPicker
from papayadyke_daemon.serving import (
    Answer,
    RunOrder,
    RunService,
    refuse_draining,
)

# Reasons that depend on the refusing VM: another VM may still run the request.
FORWARDABLE_REASONS = frozenset(
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
    """Limits on the forwarding of requests.

    Parameters
    ----------
    max_peers : int, default=2
        Maximum number of peers of the zone that are called, one after another.
    max_zone_contacts : int, default=1
        Maximum number of contacts in other zones that are called after the peers.
    local_wait_s : float, default=1.0
        Time that a request waits at this VM while another zone reports capacity,
        in seconds.
    reply_margin_s : float, default=1.0
        Time to wait for a reply past the deadline of its request, in seconds.
    """

    max_peers: int = 2
    max_zone_contacts: int = 1
    local_wait_s: float = 1.0
    reply_margin_s: float = 1.0


class RoutedRuns:
    """Run requests at this VM or at a peer, which forwards them at most once.

    Parameters
    ----------
    runs : RunService
    endpoint : callable
        Returns the `PeerEndpoint` for calls to peers.
    picker : PeerPicker
    load : callable
        Returns the latest `LoadSummary` of this VM, or None.
    guard : context manager
        Entered while a request from a peer is served, so that a shutdown waits for
        the request.
    is_draining : callable
        Returns whether this VM is draining.
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
        """Return the handlers of requests that peers forward."""
        return [Handler(ForwardRun, self._serve_forwarded, is_slow=True)]

    def run(self, order: RunOrder) -> Result[Answer, Refusal]:
        """Run a request at this VM, or at another VM with capacity for it."""
        return self._route(order, may_cross_zones=True)

    def _serve_forwarded(self, message: ForwardRun, sender: str) -> RunReply:
        with self.guard:
            if self.is_draining():
                return _encode_reply(Err(refuse_draining()))
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
        return _encode_reply(result)

    def _route(
        self, order: RunOrder, *, may_cross_zones: bool
    ) -> Result[Answer, Refusal]:
        demand = self._find_demand(order.workload)
        if demand is None:
            return self.runs.run(order)
        tried: frozenset[str] = frozenset()
        if not self._has_capacity(demand):
            peer = self._pick_peer(demand, tried)
            if peer is not None:
                tried |= {peer}
                result = self._forward(order, peer, hops=0)
                if not _is_retryable(result):
                    return result
        local_order = order
        if may_cross_zones and self.picker.pick_zone_contact(demand) is not None:
            start_by_s = self.clock() + self.settings.local_wait_s
            local_order = replace(order, start_by_s=min(start_by_s, order.deadline_s))
        result = self._run_locally(local_order)
        for _ in range(self.settings.max_peers - len(tried)):
            if not self._may_retry(order, result):
                return result
            peer = self._pick_peer(demand, tried)
            if peer is None:
                break
            tried |= {peer}
            result = self._forward(order, peer, hops=0)
        if not may_cross_zones or not self._may_retry(order, result):
            return result
        result = self._forward_across_zones(order, demand, result)
        if local_order.start_by_s is not None and self._may_retry(order, result):
            return self._run_locally(order)
        return result

    def _may_retry(self, order: RunOrder, result: Result[Answer, Refusal]) -> bool:
        return _is_retryable(result) and self.clock() < order.deadline_s

    def _pick_peer(self, demand: Resources, tried: frozenset[str]) -> str | None:
        """Return a peer with capacity, or one to queue at if this VM cannot queue."""
        peer = self.picker.pick_peer(demand, tried=tried)
        if peer is None and (self.is_draining() or self._has_no_slots()):
            return self.picker.pick_least_queued(tried=tried)
        return peer

    def _has_no_slots(self) -> bool:
        """Return whether no request can start at this VM, even after others end."""
        load = self.load()
        return load is not None and load.slots == 0

    def _run_locally(self, order: RunOrder) -> Result[Answer, Refusal]:
        if self.is_draining():
            return Err(refuse_draining())
        return self.runs.run(order)

    def _forward_across_zones(
        self, order: RunOrder, demand: Resources, result: Result[Answer, Refusal]
    ) -> Result[Answer, Refusal]:
        tried: frozenset[str] = frozenset()
        for _ in range(self.settings.max_zone_contacts):
            contact = self.picker.pick_zone_contact(demand, tried=tried)
            if contact is None or not _is_retryable(result):
                return result
            tried |= {contact}
            result = self._forward(order, contact, hops=1)
        return result

    def _forward(
        self, order: RunOrder, peer: str, *, hops: int
    ) -> Result[Answer, Refusal]:
        remaining_s = order.deadline_s - self.clock()
        if remaining_s <= 0.0:
            return Err(_refuse_unreached(peer, "the deadline has passed"))
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
            return _decode_reply(reply.ok_value)
        if reply.err_value.verdict is Verdict.NOT_RUN:
            return Err(_refuse_unreached(peer, reply.err_value.detail))
        return Err(
            Refusal(
                Verdict.MAY_HAVE_RUN,
                Reason.UPSTREAM_LOST,
                f"The request was handed to {peer}, which gave no reply.",
            )
        )

    def _find_demand(self, workload: str) -> Resources | None:
        workload_config = self.runs.config().workloads.get(workload)
        return None if workload_config is None else workload_config.demand

    def _has_capacity(self, demand: Resources) -> bool:
        load = self.load()
        if self.is_draining():
            return False
        if load is None:
            return True
        return load.free_slots > 0 and demand.fits_in(load.free)


def _is_retryable(result: Result[Answer, Refusal]) -> bool:
    """Return whether another VM may be called after this result."""
    if isinstance(result, Ok):
        return False
    refusal = result.err_value
    return refusal.verdict is Verdict.NOT_RUN and refusal.reason in FORWARDABLE_REASONS


def _refuse_unreached(peer: str, detail: str) -> Refusal:
    return Refusal(
        Verdict.NOT_RUN,
        Reason.NO_CAPACITY,
        f"{peer} did not take the request: {detail}.",
        retry_after_s=1.0,
    )


def _encode_reply(result: Result[Answer, Refusal]) -> RunReply:
    if isinstance(result, Err):
        return RunReply(None, encode_refusal(result.err_value))
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


def _decode_reply(reply: RunReply) -> Result[Answer, Refusal]:
    if reply.refusal is not None:
        return Err(decode_refusal(reply.refusal))
    answered = reply.answered
    if answered is None:
        raise ValueError("run reply has neither an answer nor a refusal")
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
