"""Routing of idempotency keys to the VM that owns the partition of the key."""

from __future__ import annotations

from collections.abc import Callable

from result import Err, Ok, Result

from papayadyke_core.idempotency import ClaimKind, ClaimResult
from papayadyke_core.journal import Answer, partition_of
from papayadyke_core.verdicts import Reason, Refusal, Verdict
from papayadyke_daemon.keyed import KeyOwner
from papayadyke_daemon.peers import Handler, PeerEndpoint
from papayadyke_daemon.routing._messages import (
    ClaimKey,
    ClaimReply,
    KeptAnswer,
    PlaceKey,
    RecordKey,
    decode_refusal,
    encode_refusal,
)
from papayadyke_daemon.routing._partition_router import (
    PartitionRouter,
    Route,
    RouteKind,
)

CALL_TIMEOUT_S = 4.0
MAX_HOPS = 2
RETRY_AFTER_S = 1.0


class RoutedKeys:
    """Claim and record idempotency keys at the VM that owns their partition.

    Parameters
    ----------
    local : KeyOwner
        Serves the keys whose partitions this VM owns.
    router : PartitionRouter
    endpoint : callable
        Returns the `PeerEndpoint` for calls to peers.
    """

    def __init__(
        self,
        *,
        local: KeyOwner,
        router: PartitionRouter,
        endpoint: Callable[[], PeerEndpoint],
    ) -> None:
        self.local = local
        self.router = router
        self.endpoint = endpoint

    def make_handlers(self) -> list[Handler]:
        """Return the handlers of idempotency-key calls from peers."""
        return [
            Handler(ClaimKey, self._serve_claim, is_slow=True),
            Handler(PlaceKey, self._serve_place, is_slow=True),
            Handler(RecordKey, self._serve_record, is_slow=True),
        ]

    def claim(
        self, key: str, workload: str, body: bytes, request_id: str, *, holder: str
    ) -> Result[ClaimResult, Refusal]:
        """Claim a key; the verdict of a refusal is always `not_run`."""
        message = ClaimKey(key, workload, body, request_id, holder, MAX_HOPS)
        return self._claim(message)

    def record_placement(self, key: str, request_id: str, upstream: str) -> None:
        """Record the upstream to which the request of a key is sent."""
        self._place(PlaceKey(key, request_id, upstream, MAX_HOPS))

    def record(
        self,
        key: str,
        request_id: str,
        *,
        answer: Answer | None = None,
        refusal: Refusal | None = None,
    ) -> None:
        """Record the outcome of the first request with a key."""
        message = RecordKey(
            key=key,
            request_id=request_id,
            answer=None if answer is None else _encode_answer(answer),
            refusal=None if refusal is None else encode_refusal(refusal),
            hops=MAX_HOPS,
        )
        self._record(message)

    def _claim(self, message: ClaimKey) -> Result[ClaimResult, Refusal]:
        route = self.router.find_route(partition_of(message.key))
        if route.kind is RouteKind.LOCAL:
            return self.local.claim(
                message.key,
                message.workload,
                message.body,
                message.request_id,
                holder=message.holder,
            )
        forwarded = ClaimKey(
            message.key,
            message.workload,
            message.body,
            message.request_id,
            message.holder,
            message.hops - 1,
        )
        for vm in _list_vms(route, message.hops):
            reply = self.endpoint().call(
                vm, forwarded, ClaimReply, timeout_s=CALL_TIMEOUT_S
            )
            if isinstance(reply, Ok):
                return _decode_claim(reply.ok_value)
            if reply.err_value.verdict is Verdict.MAY_HAVE_RUN:
                # The owner may have granted the claim, but the request is not started.
                break
        return Err(_refuse_unreachable())

    def _place(self, message: PlaceKey) -> None:
        route = self.router.find_route(partition_of(message.key))
        if route.kind is RouteKind.LOCAL:
            self.local.record_placement(
                message.key, message.request_id, message.upstream
            )
            return
        forwarded = PlaceKey(
            message.key, message.request_id, message.upstream, message.hops - 1
        )
        for vm in _list_vms(route, message.hops)[:1]:
            self.endpoint().post(vm, forwarded, ClaimReply, timeout_s=CALL_TIMEOUT_S)

    def _record(self, message: RecordKey) -> None:
        route = self.router.find_route(partition_of(message.key))
        if route.kind is RouteKind.LOCAL:
            answer = message.answer
            refusal = message.refusal
            self.local.record(
                message.key,
                message.request_id,
                answer=None if answer is None else _decode_answer(answer),
                refusal=None if refusal is None else decode_refusal(refusal),
            )
            return
        forwarded = RecordKey(
            message.key,
            message.request_id,
            message.answer,
            message.refusal,
            message.hops - 1,
        )
        for vm in _list_vms(route, message.hops):
            reply = self.endpoint().call(
                vm, forwarded, ClaimReply, timeout_s=CALL_TIMEOUT_S
            )
            if isinstance(reply, Ok):
                return

    def _serve_claim(self, message: ClaimKey, sender: str) -> ClaimReply:
        return _encode_claim(self._claim(message))

    def _serve_place(self, message: PlaceKey, sender: str) -> ClaimReply:
        self._place(message)
        return ClaimReply("", message.request_id, None, None)

    def _serve_record(self, message: RecordKey, sender: str) -> ClaimReply:
        self._record(message)
        return ClaimReply("", message.request_id, None, None)


def _list_vms(route: Route, hops: int) -> tuple[str, ...]:
    return route.vms if hops > 0 else ()


def _encode_answer(answer: Answer) -> KeptAnswer:
    return KeptAnswer(answer.status, answer.content_type, answer.body, answer.kept)


def _decode_answer(message: KeptAnswer) -> Answer:
    return Answer(message.status, message.content_type, message.body, message.kept)


def _encode_claim(result: Result[ClaimResult, Refusal]) -> ClaimReply:
    if isinstance(result, Err):
        return ClaimReply("", "", None, encode_refusal(result.err_value))
    claim = result.ok_value
    return ClaimReply(
        kind=claim.kind,
        request_id=claim.request_id,
        answer=None if claim.answer is None else _encode_answer(claim.answer),
        refusal=None if claim.refusal is None else encode_refusal(claim.refusal),
    )


def _decode_claim(reply: ClaimReply) -> Result[ClaimResult, Refusal]:
    refusal = None if reply.refusal is None else decode_refusal(reply.refusal)
    if not reply.kind:
        return Err(refusal or _refuse_unreachable())
    answer = None if reply.answer is None else _decode_answer(reply.answer)
    return Ok(ClaimResult(ClaimKind(reply.kind), reply.request_id, answer, refusal))


def _refuse_unreachable() -> Refusal:
    return Refusal(
        Verdict.NOT_RUN,
        Reason.KEY_HOME_UNREACHABLE,
        "The VM that keeps this idempotency key can not be reached.",
        retry_after_s=RETRY_AFTER_S,
    )
