from typing import Any

import pytest
from result import Err, Ok

from papayadyke_core.idempotency import ClaimKind, ClaimResult
from papayadyke_core.journal import Answer
from papayadyke_core.verdicts import Reason, Verdict
from papayadyke_daemon.jobs import JobModel, JobStatus
from papayadyke_daemon.routing import (
    Route,
    RoutedJobs,
    RoutedKeys,
    RouteKind,
    encode_refusal,
)
from papayadyke_daemon.routing._messages import (
    ClaimKey,
    ClaimReply,
    JobReply,
    ShowJob,
)
from papayadyke_daemon.routing.tests.routing_fakes import (
    REFUSAL,
    FakeEndpoint,
    make_member,
    make_snapshot,
    no_reply_error,
    unreachable_error,
)

REMOTE = Route(RouteKind.ZONE, ("far-0", "far-1"))
LOCAL = Route(RouteKind.LOCAL)
JOB_ID = "0003-abc"
JOB = JobStatus(JOB_ID, {"state": "queued"}, is_new=True)
MODEL = JobModel.model_validate({"workload": "tally", "tasks": [{"payload": {}}]})


class FakePartitionRouter:
    """Return the same route for every partition."""

    vm = "vm-0"

    def __init__(self, route):
        self.route = route

    def find_route(self, partition):
        return self.route

    def owned_partitions(self):
        return frozenset({3}) if self.route is LOCAL else frozenset()

    def snapshot(self):
        return make_snapshot([make_member(vm) for vm in ("vm-0", "far-0", "far-1")])


class FakeLocal:
    """Fake local service of keys and jobs that records its calls."""

    def __init__(self):
        self.calls: list[Any] = []

    def claim(self, key, workload, body, request_id, *, holder):
        self.calls.append(("claim", key))
        return Ok(ClaimResult(ClaimKind.FIRST, request_id))

    def record(self, key, request_id, *, answer=None, refusal=None):
        self.calls.append(("record", key, answer))

    def submit(self, model):
        self.calls.append(("submit", model))
        return Ok(JOB)

    def get(self, job_id, *, wait_s=0.0):
        self.calls.append(("get", job_id))
        return Ok(JOB)


class RoutingHarness:
    """`RoutedKeys` and `RoutedJobs` of one VM with fake collaborators."""

    def __init__(self, route, **replies):
        self.endpoint = FakeEndpoint(
            {vm.replace("_", "-"): reply for vm, reply in replies.items()}
        )
        self.local = FakeLocal()
        router = FakePartitionRouter(route)
        arguments: dict[str, Any] = {
            "local": self.local,
            "router": router,
            "endpoint": lambda: self.endpoint,
        }
        self.keys = RoutedKeys(**arguments)
        self.jobs = RoutedJobs(**arguments)

    def claim(self):
        return self.keys.claim("k", "order", b"{}", "r1", holder="vm-0")


def serve(handlers, message):
    handler = next(h for h in handlers if h.message is type(message))
    return handler.function(message, "vm-9")


def test_key_owned_by_this_vm_is_claimed_locally():
    harness = RoutingHarness(LOCAL)
    assert harness.claim() == Ok(ClaimResult(ClaimKind.FIRST, "r1"))
    assert harness.endpoint.sent == []


def test_key_is_claimed_at_owner_with_one_hop_less():
    harness = RoutingHarness(REMOTE, far_0=Ok(ClaimReply("first", "r1", None, None)))
    assert harness.claim() == Ok(ClaimResult(ClaimKind.FIRST, "r1"))
    ((vm, message),) = harness.endpoint.sent
    assert (vm, message.hops) == ("far-0", 1)


def test_next_contact_is_called_if_first_is_unreachable():
    reply = Ok(ClaimReply("first", "r1", None, None))
    harness = RoutingHarness(REMOTE, far_0=unreachable_error(), far_1=reply)
    assert harness.claim().is_ok()


@pytest.mark.parametrize(
    ("replies", "called"),
    [
        (
            {"far_0": unreachable_error(), "far_1": unreachable_error()},
            ["far-0", "far-1"],
        ),
        ({"far_0": no_reply_error(), "far_1": no_reply_error()}, ["far-0"]),
    ],
)
def test_key_with_unreachable_owner_is_refused_as_not_run(replies, called):
    harness = RoutingHarness(REMOTE, **replies)
    refusal = harness.claim().unwrap_err()
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.reason is Reason.KEY_HOME_UNREACHABLE
    assert harness.endpoint.called_peers() == called


def test_claim_without_hops_left_is_not_forwarded():
    harness = RoutingHarness(REMOTE)
    message = ClaimKey("k", "order", b"{}", "r1", "vm-9", 0)
    reply = serve(harness.keys.make_handlers(), message)
    assert reply.refusal.reason == Reason.KEY_HOME_UNREACHABLE
    assert harness.endpoint.sent == []


def test_answer_is_recorded_at_owner():
    answer = Answer(200, "application/json", b"{}")
    harness = RoutingHarness(
        REMOTE, far_0=unreachable_error(), far_1=Ok(ClaimReply("", "", None, None))
    )
    harness.keys.record("k", "r1", answer=answer)
    (_, (_, message)) = harness.endpoint.sent
    owner = RoutingHarness(LOCAL)
    serve(owner.keys.make_handlers(), message)
    assert owner.local.calls == [("record", "k", answer)]


def test_job_is_accepted_locally_if_this_vm_owns_partitions():
    harness = RoutingHarness(LOCAL)
    assert harness.jobs.submit(MODEL) == Ok(JOB)
    assert harness.endpoint.sent == []


def test_job_is_forwarded_if_this_vm_owns_no_partition():
    reply = Ok(JobReply(JOB_ID, b'{"state":"queued"}', True, None))
    harness = RoutingHarness(REMOTE, far_0=reply)
    assert harness.jobs.submit(MODEL) == Ok(JOB)
    assert harness.local.calls == []


@pytest.mark.parametrize(
    ("reply", "verdict"),
    [(unreachable_error(), Verdict.NOT_RUN), (no_reply_error(), Verdict.MAY_HAVE_RUN)],
)
def test_job_submission_without_reply_is_refused_with_verdict_of_call(reply, verdict):
    harness = RoutingHarness(REMOTE, far_0=reply, far_1=reply)
    refusal = harness.jobs.submit(MODEL).unwrap_err()
    assert (refusal.verdict, refusal.reason) == (verdict, Reason.KEY_HOME_UNREACHABLE)


def test_job_with_unreachable_owner_is_refused_as_may_have_run():
    harness = RoutingHarness(
        REMOTE, far_0=unreachable_error(), far_1=unreachable_error()
    )
    refusal = harness.jobs.get(JOB_ID).unwrap_err()
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    assert harness.endpoint.called_peers() == ["far-0", "far-1"]


def test_job_query_without_hops_left_is_not_forwarded():
    harness = RoutingHarness(REMOTE)
    reply = serve(harness.jobs.make_handlers(), ShowJob(JOB_ID, 0.0, 0))
    assert reply.refusal.reason == Reason.KEY_HOME_UNREACHABLE
    assert harness.endpoint.sent == []


def test_forwarded_job_query_has_one_hop_less():
    reply = Ok(JobReply(JOB_ID, b'{"state":"queued"}', True, None))
    harness = RoutingHarness(REMOTE, far_0=reply)
    serve(harness.jobs.make_handlers(), ShowJob(JOB_ID, 0.0, 1))
    assert harness.endpoint.sent == [("far-0", ShowJob(JOB_ID, 0.0, 0))]


def test_malformed_job_id_is_answered_locally():
    harness = RoutingHarness(REMOTE)
    assert harness.jobs.get("nonsense").is_ok()
    assert harness.endpoint.sent == []


def test_refusal_of_owner_is_returned():
    harness = RoutingHarness(
        REMOTE, far_0=Ok(JobReply("", b"", False, encode_refusal(REFUSAL)))
    )
    assert harness.jobs.submit(MODEL) == Err(REFUSAL)
