from dataclasses import replace

import pytest
from result import Err, Ok

from papayadyke_core.verdicts import Reason, Refusal, Verdict
from papayadyke_daemon.routing import encode_refusal
from papayadyke_daemon.routing._messages import RunAnswered, RunReply
from papayadyke_daemon.routing.tests.routing_fakes import (
    REFUSAL,
    RoutingHarness,
    make_forward,
    make_ok,
    make_order,
    no_reply_error,
    unreachable_error,
)


def make_refused_reply(reason=Reason.QUEUE_FULL, verdict=Verdict.NOT_RUN):
    refusal = replace(REFUSAL, reason=reason, verdict=verdict)
    return Ok(RunReply(None, encode_refusal(refusal)))


def make_answered_reply(upstream):
    answer = RunAnswered(200, "application/json", b"{}", upstream, 1, 0.0, 0.0)
    return Ok(RunReply(answer, None))


def test_request_runs_locally_if_there_is_capacity():
    harness = RoutingHarness(local_result=make_ok("u-here"), peers=("vm-1",))
    assert harness.run() == make_ok("u-here")
    assert harness.endpoint.sent == []


@pytest.mark.parametrize("reply", [make_refused_reply(), unreachable_error()])
def test_next_peer_is_called_after_not_run(reply):
    replies = {"vm-1": reply, "vm-2": make_answered_reply("u-2")}
    harness = RoutingHarness(
        local_result=Err(REFUSAL),
        replies=replies,
        peers=("vm-1", "vm-2"),
        has_capacity=False,
    )
    assert harness.run() == make_ok("u-2")
    assert harness.endpoint.called_peers() == ["vm-1", "vm-2"]
    assert len(harness.runs.orders) == 1


@pytest.mark.parametrize(
    "reply",
    [no_reply_error(), make_refused_reply(Reason.UPSTREAM_LOST, Verdict.MAY_HAVE_RUN)],
)
def test_no_other_vm_is_called_after_may_have_run_of_peer(reply):
    replies = {"vm-1": reply, "vm-2": make_answered_reply("u-2")}
    harness = RoutingHarness(
        local_result=make_ok("u-here"),
        replies=replies,
        peers=("vm-1", "vm-2"),
        contacts=("far-0",),
        has_capacity=False,
    )
    assert harness.run().unwrap_err().verdict is Verdict.MAY_HAVE_RUN
    assert harness.endpoint.called_peers() == ["vm-1"]
    assert harness.runs.orders == []


def test_request_that_may_have_run_locally_is_not_forwarded():
    refusal = replace(REFUSAL, verdict=Verdict.MAY_HAVE_RUN)
    harness = RoutingHarness(
        local_result=Err(refusal), peers=("vm-1",), contacts=("far-0",)
    )
    assert harness.run() == Err(refusal)
    assert harness.endpoint.sent == []


def test_request_that_can_never_run_locally_is_forwarded():
    refusal = replace(REFUSAL, reason=Reason.CAN_NEVER_RUN)
    replies = {"vm-1": make_answered_reply("u-1")}
    harness = RoutingHarness(
        local_result=Err(refusal), replies=replies, peers=("vm-1",)
    )
    assert harness.run() == make_ok("u-1")


def test_refusal_common_to_all_vms_is_not_forwarded():
    refusal = replace(REFUSAL, reason=Reason.NOT_ADMITTED)
    harness = RoutingHarness(
        local_result=Err(refusal), peers=("vm-1",), contacts=("far-0",)
    )
    assert harness.run() == Err(refusal)
    assert harness.endpoint.sent == []


def test_draining_vm_forwards_and_runs_nothing():
    replies = {"vm-1": unreachable_error(), "vm-2": make_answered_reply("u-2")}
    harness = RoutingHarness(
        local_result=make_ok("u-here"),
        replies=replies,
        peers=("vm-1", "vm-2"),
        is_draining=True,
    )
    assert harness.run() == make_ok("u-2")
    assert harness.runs.orders == []


def test_draining_vm_forwards_to_peer_without_capacity():
    replies = {"vm-1": make_answered_reply("u-1")}
    harness = RoutingHarness(
        local_result=make_ok("u-here"),
        replies=replies,
        full_peers=("vm-1",),
        is_draining=True,
    )
    assert harness.run() == make_ok("u-1")


def test_vm_without_slots_forwards_to_peer_without_capacity():
    replies = {"vm-1": make_answered_reply("u-1")}
    harness = RoutingHarness(
        local_result=Err(REFUSAL), replies=replies, full_peers=("vm-1",), slots=0
    )
    assert harness.run() == make_ok("u-1")
    assert harness.runs.orders == []


def test_vm_with_slots_does_not_call_peer_without_capacity():
    harness = RoutingHarness(local_result=Err(REFUSAL), full_peers=("vm-1",))
    harness.run()
    assert harness.endpoint.sent == []


def test_draining_vm_without_peers_refuses():
    harness = RoutingHarness(local_result=make_ok("u-here"), is_draining=True)
    refusal = harness.run().unwrap_err()
    assert (refusal.verdict, refusal.reason) == (Verdict.NOT_RUN, Reason.DRAINING)


def test_peers_are_called_before_other_zones():
    replies = {
        "vm-1": make_refused_reply(),
        "vm-2": make_refused_reply(),
        "far-0": make_answered_reply("u-far"),
    }
    harness = RoutingHarness(
        local_result=Err(REFUSAL),
        replies=replies,
        peers=("vm-1", "vm-2", "vm-3"),
        contacts=("far-0",),
    )
    assert harness.run() == make_ok("u-far")
    assert harness.endpoint.called_peers() == ["vm-1", "vm-2", "far-0"]
    hops = {peer: message.hops for peer, message in harness.endpoint.sent}
    assert hops == {"vm-1": 0, "vm-2": 0, "far-0": 1}


def test_other_zone_is_not_called_if_own_zone_answers():
    harness = RoutingHarness(
        local_result=Err(REFUSAL),
        replies={"vm-1": make_answered_reply("u-1")},
        peers=("vm-1",),
        contacts=("far-0",),
    )
    assert harness.run() == make_ok("u-1")
    assert harness.endpoint.called_peers() == ["vm-1"]


def test_peer_does_not_forward_request_without_hops():
    harness = RoutingHarness(
        local_result=Err(REFUSAL),
        peers=("vm-1",),
        contacts=("far-0",),
        has_capacity=False,
    )
    reply = harness.serve(make_forward(hops=0))
    assert reply == RunReply(None, encode_refusal(REFUSAL))
    assert harness.endpoint.sent == []


def test_request_from_other_zone_is_forwarded_only_within_zone():
    replies = {"vm-1": make_refused_reply(), "vm-2": make_refused_reply()}
    harness = RoutingHarness(
        local_result=Err(REFUSAL),
        replies=replies,
        peers=("vm-1", "vm-2"),
        contacts=("far-0",),
    )
    reply = harness.serve(make_forward(hops=1))
    assert reply.refusal.verdict == Verdict.NOT_RUN
    assert harness.endpoint.called_peers() == ["vm-1", "vm-2"]
    assert {message.hops for _, message in harness.endpoint.sent} == {0}


def test_draining_peer_refuses_forwarded_request():
    harness = RoutingHarness(local_result=make_ok("u-here"), is_draining=True)
    reply = harness.serve(make_forward(hops=0))
    assert reply.refusal.reason == Reason.DRAINING
    assert harness.runs.orders == []


def test_request_past_its_deadline_is_not_forwarded():
    harness = RoutingHarness(
        local_result=Err(REFUSAL), peers=("vm-1",), contacts=("far-0",)
    )
    refusal = harness.run(make_order(deadline_s=99.0)).unwrap_err()
    assert refusal.verdict is Verdict.NOT_RUN
    assert harness.endpoint.sent == []


def test_served_request_keeps_its_base_id_and_remaining_time():
    harness = RoutingHarness(local_result=make_ok("u-here"))
    harness.serve(make_forward(hops=0))
    (order,) = harness.runs.orders
    assert (order.base_id, order.deadline_s) == ("base", 105.0)


def test_local_wait_is_limited_while_another_zone_has_capacity():
    expired = Refusal(Verdict.NOT_RUN, Reason.EXPIRED, "waited")
    harness = RoutingHarness(
        local_result=Err(expired),
        replies={"far-0": make_answered_reply("u-far")},
        contacts=("far-0",),
    )
    assert harness.run() == make_ok("u-far")
    (order,) = harness.runs.orders
    assert order.start_by_s == 100.0 + harness.routed.settings.local_wait_s


def test_request_refused_by_all_zones_waits_locally_until_deadline():
    expired = Refusal(Verdict.NOT_RUN, Reason.EXPIRED, "waited")
    harness = RoutingHarness(
        local_result=Err(expired),
        replies={"far-0": make_refused_reply()},
        contacts=("far-0",),
    )
    assert harness.run() == Err(expired)
    first, second = harness.runs.orders
    assert first.start_by_s is not None
    assert second.start_by_s is None


def test_request_waits_until_deadline_without_other_zones():
    harness = RoutingHarness(local_result=make_ok("u-here"))
    harness.run()
    (order,) = harness.runs.orders
    assert order.start_by_s is None
