from typing import Any

import pytest
from result import Err, Ok

from papayadyke_core.idempotency import Claim, ClaimKind
from papayadyke_core.journal import Answer
from papayadyke_core.verdicts import Reason, Verdict
from papayadyke_daemon.jobs import JobAnswer, JobModel
from papayadyke_daemon.routing import (
    Route,
    RoutedJobs,
    RoutedKeys,
    RouteKind,
    write_refusal,
)
from papayadyke_daemon.routing._messages import (
    ClaimKey,
    ClaimReply,
    JobReply,
    ShowJob,
)
from papayadyke_daemon.routing.tests.routing_fakes import (
    REFUSED,
    FakeEndpoint,
    lost,
    make_member,
    make_snapshot,
    unreached,
)

AWAY = Route(RouteKind.ZONE, ("far-0", "far-1"))
HERE = Route(RouteKind.HERE)
JOB_ID = "0003-abc"
JOB = JobAnswer(JOB_ID, {"state": "queued"}, is_new=True)
MODEL = JobModel.model_validate({"workload": "tally", "tasks": [{"payload": {}}]})


class FakeHomes:
    """Sends every partition the same way."""

    vm = "vm-0"

    def __init__(self, route):
        self.route = route

    def find_route(self, partition):
        return self.route

    def own_partitions(self):
        return frozenset({3}) if self.route is HERE else frozenset()

    def snapshot(self):
        return make_snapshot([make_member(vm) for vm in ("vm-0", "far-0", "far-1")])


class FakeLocal:
    """Keys and jobs of this VM; notes what it is asked."""

    def __init__(self):
        self.asked: list[Any] = []

    def claim(self, key, workload, body, request_id, *, holder):
        self.asked.append(("claim", key))
        return Ok(Claim(ClaimKind.FIRST, request_id))

    def record(self, key, request_id, *, answer=None, refusal=None):
        self.asked.append(("record", key, answer))

    def submit(self, model):
        self.asked.append(("submit", model))
        return Ok(JOB)

    def get(self, job_id, *, wait_s=0.0):
        self.asked.append(("get", job_id))
        return Ok(JOB)


class Routed:
    """Keys and jobs of one VM over fakes."""

    def __init__(self, route, **replies):
        self.endpoint = FakeEndpoint(
            {vm.replace("_", "-"): reply for vm, reply in replies.items()}
        )
        self.local = FakeLocal()
        homes = FakeHomes(route)
        arguments: dict[str, Any] = {
            "local": self.local,
            "homes": homes,
            "endpoint": lambda: self.endpoint,
        }
        self.keys = RoutedKeys(**arguments)
        self.jobs = RoutedJobs(**arguments)

    def claim(self):
        return self.keys.claim("k", "order", b"{}", "r1", holder="vm-0")


def serve(handlers, message):
    handler = next(item for item in handlers if item.message is type(message))
    return handler.function(message, "vm-9")


def test_key_of_this_vm_is_claimed_here():
    routed = Routed(HERE)
    assert routed.claim() == Ok(Claim(ClaimKind.FIRST, "r1"))
    assert routed.endpoint.sent == []


def test_key_is_claimed_at_its_home_with_one_hop_less():
    routed = Routed(AWAY, far_0=Ok(ClaimReply("first", "r1", None, None)))
    assert routed.claim() == Ok(Claim(ClaimKind.FIRST, "r1"))
    ((vm, message),) = routed.endpoint.sent
    assert (vm, message.hops) == ("far-0", 1)


def test_next_contact_is_asked_where_the_first_is_not_reached():
    reply = Ok(ClaimReply("first", "r1", None, None))
    routed = Routed(AWAY, far_0=unreached(), far_1=reply)
    assert routed.claim().is_ok()


@pytest.mark.parametrize(
    ("replies", "asked"),
    [
        ({"far_0": unreached(), "far_1": unreached()}, ["far-0", "far-1"]),
        ({"far_0": lost(), "far_1": lost()}, ["far-0"]),
    ],
)
def test_key_whose_home_is_unreachable_is_refused_as_not_run(replies, asked):
    routed = Routed(AWAY, **replies)
    refusal = routed.claim().unwrap_err()
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.reason is Reason.KEY_HOME_UNREACHABLE
    assert routed.endpoint.asked() == asked


def test_claim_without_hops_left_is_sent_to_nobody():
    routed = Routed(AWAY)
    message = ClaimKey("k", "order", b"{}", "r1", "vm-9", 0)
    reply = serve(routed.keys.make_handlers(), message)
    assert reply.refusal.reason == Reason.KEY_HOME_UNREACHABLE
    assert routed.endpoint.sent == []


def test_answer_recorded_at_a_peer_comes_back_with_the_claim():
    answer = Answer(200, "application/json", b"{}")
    routed = Routed(AWAY, far_0=unreached(), far_1=Ok(ClaimReply("", "", None, None)))
    routed.keys.record("k", "r1", answer=answer)
    (_, (_, message)) = routed.endpoint.sent
    home = Routed(HERE)
    serve(home.keys.make_handlers(), message)
    assert home.local.asked == [("record", "k", answer)]


def test_job_is_accepted_here_where_this_vm_owns_partitions():
    routed = Routed(HERE)
    assert routed.jobs.submit(MODEL) == Ok(JOB)
    assert routed.endpoint.sent == []


def test_job_goes_to_a_peer_where_this_vm_owns_no_partition():
    reply = Ok(JobReply(JOB_ID, b'{"state":"queued"}', True, None))
    routed = Routed(AWAY, far_0=reply)
    assert routed.jobs.submit(MODEL) == Ok(JOB)
    assert routed.local.asked == []


@pytest.mark.parametrize(
    ("reply", "verdict"),
    [(unreached(), Verdict.NOT_RUN), (lost(), Verdict.MAY_HAVE_RUN)],
)
def test_job_whose_home_gives_no_reply_gets_a_true_verdict(reply, verdict):
    routed = Routed(AWAY, far_0=reply, far_1=reply)
    refusal = routed.jobs.submit(MODEL).unwrap_err()
    assert (refusal.verdict, refusal.reason) == (verdict, Reason.KEY_HOME_UNREACHABLE)


def test_job_that_can_not_be_shown_may_have_run():
    routed = Routed(AWAY, far_0=unreached(), far_1=unreached())
    refusal = routed.jobs.get(JOB_ID).unwrap_err()
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    assert routed.endpoint.asked() == ["far-0", "far-1"]


def test_question_for_a_job_without_hops_left_is_sent_to_nobody():
    routed = Routed(AWAY)
    reply = serve(routed.jobs.make_handlers(), ShowJob(JOB_ID, 0.0, 0))
    assert reply.refusal.reason == Reason.KEY_HOME_UNREACHABLE
    assert routed.endpoint.sent == []


def test_hops_of_a_question_go_down_by_one():
    reply = Ok(JobReply(JOB_ID, b'{"state":"queued"}', True, None))
    routed = Routed(AWAY, far_0=reply)
    serve(routed.jobs.make_handlers(), ShowJob(JOB_ID, 0.0, 1))
    assert routed.endpoint.sent == [("far-0", ShowJob(JOB_ID, 0.0, 0))]


def test_unknown_form_of_job_id_is_answered_here():
    routed = Routed(AWAY)
    assert routed.jobs.get("nonsense").is_ok()
    assert routed.endpoint.sent == []


def test_refusal_of_the_home_is_passed_on():
    routed = Routed(AWAY, far_0=Ok(JobReply("", b"", False, write_refusal(REFUSED))))
    assert routed.jobs.submit(MODEL) == Err(REFUSED)
