"""Fake memberships, peers and services for the tests of routing."""

from contextlib import nullcontext
from types import SimpleNamespace
from typing import Any, cast

from result import Err, Ok

from papayadyke_core.membership import (
    Contact,
    Load,
    Member,
    MemberState,
    Snapshot,
    Zone,
)
from papayadyke_core.resources import Resources
from papayadyke_core.scheduling import LoadSummary
from papayadyke_core.verdicts import Reason, Refusal, Verdict
from papayadyke_core.workloads import Kind, Workload
from papayadyke_daemon.peers import CallError
from papayadyke_daemon.routing import ForwardRun, RoutedRuns
from papayadyke_daemon.serving import Answer, RunOrder

FREE_LOAD = Load(4000, 4096, 0, 4, 0)
FULL_LOAD = Load(0, 0, 0, 0, 9)
DEMAND = Resources(1000, 512)
REFUSAL = Refusal(Verdict.NOT_RUN, Reason.QUEUE_FULL, "The queue is full.")


def make_member(vm, *, state=MemberState.LIVE, load=FREE_LOAD):
    return Member(vm, 1, "127.0.0.1:1", 1, state, 0, load, 0.0)


def make_zone(name, *, age_s=0.0, load=FREE_LOAD, is_reachable=True):
    contacts = (Contact(f"{name}-0", "127.0.0.1:1"),)
    return Zone(name, "apple-isle", 1, 0, load, contacts, age_s, is_reachable)


def make_snapshot(members=(), zones=(), *, is_settled=True, is_superseded=False):
    return Snapshot(tuple(members), tuple(zones), is_settled, is_superseded)


def make_answer(upstream):
    return Answer(200, "application/json", b"{}", upstream, 1, 0.0, 0.0)


def no_reply_error():
    return Err(CallError(Verdict.MAY_HAVE_RUN, "no reply"))


def unreachable_error():
    return Err(CallError(Verdict.NOT_RUN, "not connected"))


class FakeEndpoint:
    """Return one preset reply per peer, and record the messages sent."""

    def __init__(self, replies):
        self.replies = replies
        self.sent: list[Any] = []

    def call(self, peer, message, reply_type, *, timeout_s):
        self.sent.append((peer, message))
        return self.replies[peer]

    def post(self, peer, message, reply_type, *, timeout_s):
        self.sent.append((peer, message))

    def called_peers(self):
        return [peer for peer, _ in self.sent]


class FakePicker:
    """Pick peers and contacts in a fixed order."""

    def __init__(self, peers=(), contacts=(), full_peers=()):
        self.peers = peers
        self.contacts = contacts
        self.full_peers = full_peers

    def pick_peer(self, demand, *, tried=frozenset()):
        return next((vm for vm in self.peers if vm not in tried), None)

    def pick_least_queued(self, *, tried=frozenset()):
        live = (*self.peers, *self.full_peers)
        return next((vm for vm in live if vm not in tried), None)

    def pick_zone_contact(self, demand, *, tried=frozenset()):
        return next((vm for vm in self.contacts if vm not in tried), None)


class FakeRuns:
    """Record orders without running them, and return a preset result."""

    def __init__(self, result):
        self.result = result
        self.ids = None
        self.clock = lambda: 100.0
        self.orders: list[Any] = []

    def config(self):
        workload = Workload("check", Kind.SERVICE, DEMAND)
        return SimpleNamespace(workloads={"check": workload})

    def run(self, order):
        self.orders.append(order)
        return self.result


def make_order(deadline_s=110.0):
    return RunOrder("r1", "check", b"{}", "application/json", deadline_s)


def make_forward(hops):
    return ForwardRun("r1", "check", b"{}", "application/json", 5.0, "base", hops)


class RoutingHarness:
    """A `RoutedRuns` with fake collaborators."""

    def __init__(
        self,
        *,
        local_result,
        replies=None,
        peers=(),
        contacts=(),
        full_peers=(),
        has_capacity=True,
        slots=4,
        is_draining=False,
    ):
        self.runs = FakeRuns(local_result)
        self.endpoint = FakeEndpoint(replies or {})
        free = Resources(4000, 4096) if has_capacity else Resources(0, 0)
        summary = LoadSummary(
            Resources(4000, 4096), free, slots if has_capacity else 0, slots, 1
        )
        self.routed = RoutedRuns(
            runs=cast(Any, self.runs),
            endpoint=lambda: cast(Any, self.endpoint),
            picker=cast(Any, FakePicker(peers, contacts, full_peers)),
            load=lambda: summary,
            guard=nullcontext(),
            is_draining=lambda: is_draining,
        )

    def run(self, order=None):
        return self.routed.run(order or make_order())

    def serve(self, message):
        handler = self.routed.make_handlers()[0]
        return handler.function(message, "vm-9")


def make_ok(upstream):
    return Ok(make_answer(upstream))
