from dataclasses import replace

import pytest
from result import Err, Ok

from papayadyke_core.verdicts import Reason, Refusal, Verdict
from papayadyke_daemon.routing import write_refusal
from papayadyke_daemon.routing._messages import RunAnswered, RunReply
from papayadyke_daemon.routing.tests.routing_fakes import (
    REFUSED,
    Routing,
    answered,
    lost,
    make_forward,
    make_order,
    unreached,
)


def reply_refused(reason=Reason.QUEUE_FULL, verdict=Verdict.NOT_RUN):
    refusal = replace(REFUSED, reason=reason, verdict=verdict)
    return Ok(RunReply(None, write_refusal(refusal)))


def reply_answered(upstream):
    answer = RunAnswered(200, "application/json", b"{}", upstream, 1, 0.0, 0.0)
    return Ok(RunReply(answer, None))


def test_request_runs_here_where_there_is_room():
    routing = Routing(here=answered("u-here"), peers=("vm-1",))
    assert routing.run() == answered("u-here")
    assert routing.endpoint.sent == []


@pytest.mark.parametrize("reply", [reply_refused(), unreached()])
def test_not_run_of_a_peer_lets_the_next_be_asked(reply):
    replies = {"vm-1": reply, "vm-2": reply_answered("u-2")}
    routing = Routing(
        here=Err(REFUSED), replies=replies, peers=("vm-1", "vm-2"), has_room=False
    )
    assert routing.run() == answered("u-2")
    assert routing.endpoint.asked() == ["vm-1", "vm-2"]
    assert len(routing.runs.orders) == 1


@pytest.mark.parametrize(
    "reply", [lost(), reply_refused(Reason.UPSTREAM_LOST, Verdict.MAY_HAVE_RUN)]
)
def test_peer_that_may_have_run_it_is_the_last_to_be_asked(reply):
    replies = {"vm-1": reply, "vm-2": reply_answered("u-2")}
    routing = Routing(
        here=answered("u-here"),
        replies=replies,
        peers=("vm-1", "vm-2"),
        contacts=("far-0",),
        has_room=False,
    )
    assert routing.run().unwrap_err().verdict is Verdict.MAY_HAVE_RUN
    assert routing.endpoint.asked() == ["vm-1"]
    assert routing.runs.orders == []


def test_what_may_have_run_here_is_not_handed_on():
    refusal = replace(REFUSED, verdict=Verdict.MAY_HAVE_RUN)
    routing = Routing(here=Err(refusal), peers=("vm-1",), contacts=("far-0",))
    assert routing.run() == Err(refusal)
    assert routing.endpoint.sent == []


def test_what_can_never_run_here_is_tried_at_a_peer():
    refusal = replace(REFUSED, reason=Reason.CAN_NEVER_RUN)
    replies = {"vm-1": reply_answered("u-1")}
    routing = Routing(here=Err(refusal), replies=replies, peers=("vm-1",))
    assert routing.run() == answered("u-1")


def test_what_would_be_refused_anywhere_is_not_handed_on():
    refusal = replace(REFUSED, reason=Reason.NOT_ADMITTED)
    routing = Routing(here=Err(refusal), peers=("vm-1",), contacts=("far-0",))
    assert routing.run() == Err(refusal)
    assert routing.endpoint.sent == []


def test_draining_vm_hands_over_and_runs_nothing():
    replies = {"vm-1": unreached(), "vm-2": reply_answered("u-2")}
    routing = Routing(
        here=answered("u-here"),
        replies=replies,
        peers=("vm-1", "vm-2"),
        is_draining=True,
    )
    assert routing.run() == answered("u-2")
    assert routing.runs.orders == []


def test_draining_vm_hands_over_to_a_peer_without_room():
    replies = {"vm-1": reply_answered("u-1")}
    routing = Routing(
        here=answered("u-here"),
        replies=replies,
        full_peers=("vm-1",),
        is_draining=True,
    )
    assert routing.run() == answered("u-1")


def test_vm_without_any_slot_has_its_requests_wait_at_a_peer():
    replies = {"vm-1": reply_answered("u-1")}
    routing = Routing(here=Err(REFUSED), replies=replies, full_peers=("vm-1",), slots=0)
    assert routing.run() == answered("u-1")
    assert routing.runs.orders == []


def test_peer_without_room_is_asked_only_while_draining():
    routing = Routing(here=Err(REFUSED), full_peers=("vm-1",))
    routing.run()
    assert routing.endpoint.sent == []


def test_draining_vm_without_peers_refuses():
    routing = Routing(here=answered("u-here"), is_draining=True)
    refusal = routing.run().unwrap_err()
    assert (refusal.verdict, refusal.reason) == (Verdict.NOT_RUN, Reason.DRAINING)


def test_peers_are_asked_before_a_zone_is_crossed():
    replies = {
        "vm-1": reply_refused(),
        "vm-2": reply_refused(),
        "far-0": reply_answered("u-far"),
    }
    routing = Routing(
        here=Err(REFUSED),
        replies=replies,
        peers=("vm-1", "vm-2", "vm-3"),
        contacts=("far-0",),
    )
    assert routing.run() == answered("u-far")
    assert routing.endpoint.asked() == ["vm-1", "vm-2", "far-0"]
    hops = {peer: message.hops for peer, message in routing.endpoint.sent}
    assert hops == {"vm-1": 0, "vm-2": 0, "far-0": 1}


def test_zone_is_not_crossed_where_the_own_zone_answers():
    routing = Routing(
        here=Err(REFUSED),
        replies={"vm-1": reply_answered("u-1")},
        peers=("vm-1",),
        contacts=("far-0",),
    )
    assert routing.run() == answered("u-1")
    assert routing.endpoint.asked() == ["vm-1"]


def test_request_without_hops_is_not_handed_on_by_a_peer():
    routing = Routing(
        here=Err(REFUSED), peers=("vm-1",), contacts=("far-0",), has_room=False
    )
    reply = routing.serve(make_forward(hops=0))
    assert reply == RunReply(None, write_refusal(REFUSED))
    assert routing.endpoint.sent == []


def test_request_from_another_zone_is_handed_on_once_and_crosses_none():
    replies = {"vm-1": reply_refused(), "vm-2": reply_refused()}
    routing = Routing(
        here=Err(REFUSED),
        replies=replies,
        peers=("vm-1", "vm-2"),
        contacts=("far-0",),
    )
    reply = routing.serve(make_forward(hops=1))
    assert reply.refusal.verdict == Verdict.NOT_RUN
    assert routing.endpoint.asked() == ["vm-1", "vm-2"]
    assert {message.hops for _, message in routing.endpoint.sent} == {0}


def test_draining_peer_serves_no_request():
    routing = Routing(here=answered("u-here"), is_draining=True)
    reply = routing.serve(make_forward(hops=0))
    assert reply.refusal.reason == Reason.DRAINING
    assert routing.runs.orders == []


def test_request_past_its_deadline_is_sent_to_nobody():
    routing = Routing(here=Err(REFUSED), peers=("vm-1",), contacts=("far-0",))
    refusal = routing.run(make_order(deadline_s=99.0)).unwrap_err()
    assert refusal.verdict is Verdict.NOT_RUN
    assert routing.endpoint.sent == []


def test_served_request_keeps_its_base_id_and_remaining_time():
    routing = Routing(here=answered("u-here"))
    routing.serve(make_forward(hops=0))
    (order,) = routing.runs.orders
    assert (order.base_id, order.deadline_s) == ("base", 105.0)


def test_request_waits_a_short_time_here_while_another_zone_has_room():
    expired = Refusal(Verdict.NOT_RUN, Reason.EXPIRED, "waited")
    routing = Routing(
        here=Err(expired),
        replies={"far-0": reply_answered("u-far")},
        contacts=("far-0",),
    )
    assert routing.run() == answered("u-far")
    (order,) = routing.runs.orders
    assert order.start_by_s == 100.0 + routing.routed.settings.cross_after_s


def test_request_that_no_zone_takes_waits_here_to_its_deadline():
    expired = Refusal(Verdict.NOT_RUN, Reason.EXPIRED, "waited")
    routing = Routing(
        here=Err(expired),
        replies={"far-0": reply_refused()},
        contacts=("far-0",),
    )
    assert routing.run() == Err(expired)
    first, second = routing.runs.orders
    assert first.start_by_s is not None
    assert second.start_by_s is None


def test_request_waits_to_its_deadline_where_there_is_no_other_zone():
    routing = Routing(here=answered("u-here"))
    routing.run()
    (order,) = routing.runs.orders
    assert order.start_by_s is None
