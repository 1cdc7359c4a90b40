"""Starts whose answer is lost because the upstream restarts under its name."""

import itertools
import threading
import time
from types import SimpleNamespace
from typing import Any, cast

import pytest

from papayadyke_clients.upstream import Answered, Lost, TaskCall
from papayadyke_core.idempotency import ClaimKind
from papayadyke_core.jobs import TaskOrder, TaskResult, TaskSpec, make_task_id
from papayadyke_core.journal import partition_of
from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.resources import Resources
from papayadyke_core.scheduling import Outcome, Start
from papayadyke_core.verdicts import Verdict
from papayadyke_core.workloads import Kind, Workload
from papayadyke_daemon.durable import DurableParts
from papayadyke_daemon.fleet import Fleet, Holder, UpstreamAgent
from papayadyke_daemon.fleet.tests.restarting_upstream import RestartingUpstream
from papayadyke_daemon.jobs import parse_job
from papayadyke_daemon.scheduler import AddUpstream, Finish, Placed, Submit
from papayadyke_daemon.serving import IdSource, RunOrder, RunService, TaskRunner
from papayadyke_daemon.settings import Address, FleetSettings, UpstreamAddress
from papayadyke_standins.store import MemoryStore, StoreService

TIMEOUT_S = 60.0
DEMAND = Resources(1000, 512)
SPEC = UpstreamSpec(
    name="quote-1",
    availability_zone="hobart",
    rack="rack-1",
    capacity=Resources(4000, 4096),
)
WORKLOADS = {
    "order": Workload("order", Kind.BATCH, DEMAND, idempotent=False),
    "tally": Workload("tally", Kind.BATCH, DEMAND, idempotent=True),
}
SETTINGS = FleetSettings(session_ttl_s=3.0, expiry_margin_s=0.3)


def wait_until(condition):
    deadline_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s, "the condition did not hold in time"
        time.sleep(0.01)


class LosingClient:
    """Client that loses the first answer of a task, whose upstream then restarts."""

    def __init__(self, client, on_answer):
        self.client = client
        self.on_answer = on_answer

    def __getattr__(self, name):
        return getattr(self.client, name)

    def run(self, call, *, timeout_s):
        return self.lose(self.client.run(call, timeout_s=timeout_s))

    def start(self, call):
        return self.lose(self.client.start(call))

    def lose(self, outcome):
        if self.on_answer is None:
            return outcome
        on_answer, self.on_answer = self.on_answer, None
        on_answer()
        return Lost("no answer")


class PlacingLoop:
    """Scheduler loop that places each request at the session open by then."""

    def __init__(self):
        self.messages: list[Any] = []
        self.submitted: list[Any] = []
        self.used_tokens: set[int] = set()

    def send(self, message):
        self.messages.append(message)
        if not isinstance(message, Submit):
            return
        self.submitted.append(message)
        wait_until(lambda: self.find_token() not in {None, *self.used_tokens})
        token = self.find_token()
        self.used_tokens.add(token)
        start = Start(
            task_id=f"{message.req.id}/0/{message.req.attempt}",
            request_id=message.req.id,
            index=0,
            upstream=SPEC.name,
            demand=DEMAND,
        )
        message.reply(Placed(start, token))

    def find_token(self):
        return next(
            (
                message.token
                for message in reversed(self.messages)
                if isinstance(message, AddUpstream)
            ),
            None,
        )

    def list_outcomes(self):
        return [
            message.outcome for message in self.messages if isinstance(message, Finish)
        ]


class Harness:
    """Agent of an upstream that restarts after it has run the first task."""

    def __init__(self):
        self.upstream = RestartingUpstream(SPEC)
        self.loop = PlacingLoop()
        self.agent = UpstreamAgent(
            UpstreamAddress(SPEC.name, Address(*self.upstream.address)),
            holder=Holder("a", 1),
            settings=SETTINGS,
            send=self.loop.send,
        )
        client = LosingClient(self.agent.client, self.restart)
        self.agent.client = cast(Any, client)
        self.agent.start(1)
        self.fleet = cast(Any, SimpleNamespace(find=lambda name: self.agent))

    def restart(self):
        wait_until(lambda: self.upstream.list_runs()[-1])
        self.upstream.restart()

    def stop(self):
        self.agent.begin_stop()
        self.agent.join()
        self.upstream.stop()

    def run_request(self, *, idempotent):
        workload = Workload("check", Kind.SERVICE, DEMAND, idempotent=idempotent)
        service = RunService(
            loop=cast(Any, self.loop),
            fleet=self.fleet,
            ids=IdSource("vm-0", 1),
            config=lambda: cast(Any, SimpleNamespace(workloads={"check": workload})),
            task_lease_s=30.0,
        )
        deadline_s = time.monotonic() + TIMEOUT_S
        order = RunOrder("r1", "check", b"{}", "application/json", deadline_s)
        return service.run(order)

    def run_task(self):
        runner = TaskRunner(
            loop=cast(Any, self.loop),
            fleet=self.fleet,
            authorize=lambda task_id, upstream, boot_id, allow: allow(True),
            task_lease_s=30.0,
            covers_cell=lambda: True,
        )
        spec = TaskSpec(task_id="job.0.1", index=0, attempt=1, payload=b"{}")
        order = TaskOrder(
            request_id="job.0.1.1",
            job_id="job",
            workload="check",
            tasks=(spec,),
            deadline_s=time.monotonic() + TIMEOUT_S,
        )
        done: list[Any] = []
        runner.start()
        runner.submit(order, done.append)
        wait_until(lambda: done)
        runner.stop()
        return done


class Vm:
    """VM that runs the jobs of partition 0 while its plan contains it."""

    def __init__(self, store, name, *, epoch, upstream):
        self.plan: frozenset[int] = frozenset()
        self.lost_holders: set[str] = set()
        self.loop = PlacingLoop()
        self.fleet = Fleet(
            holder=Holder(name, 1),
            settings=SETTINGS,
            upstreams=[UpstreamAddress(SPEC.name, Address(*upstream.address))],
            send=self.loop.send,
        )
        self.fleet.own([SPEC.name], epoch=epoch)
        self.parts = DurableParts(
            store=MemoryStore(store, client=name),
            vm=name,
            incarnation=1,
            loop=cast(Any, self.loop),
            fleet=self.fleet,
            find_workload=WORKLOADS.get,
            plan=lambda: self.plan,
            covers_cell=lambda: True,
            is_holder_lost=self.lost_holders.__contains__,
            task_lease_s=30.0,
            count_vms=lambda: 2,
        )
        self.parts.start()

    def submit(self, workload):
        body = f'{{"workload": "{workload}", "tasks": [{{"payload": {{}}}}]}}'
        model = parse_job(body.encode()).unwrap()
        submitted = []

        def is_accepted():
            submitted.append(self.parts.jobs.submit(model))
            return submitted[-1].is_ok()

        wait_until(is_accepted)
        return submitted[-1].unwrap().job_id

    def wait_for_end(self, job_id):
        def is_finished():
            status = self.parts.jobs.get(job_id, wait_s=1.0)
            return status.is_ok() and status.unwrap().view["state"] == "finished"

        wait_until(is_finished)
        return self.parts.jobs.get(job_id).unwrap().view

    def claim(self, key, request_id, *, holder):
        """Claim a key until it is known whether its request has run."""
        claims = []

        def is_known():
            claim = self.parts.keys.claim(key, "order", b"", request_id, holder=holder)
            claims.append(claim)
            if claim.is_err():
                return False
            return claim.unwrap().kind in (ClaimKind.FIRST, ClaimKind.ENDED)

        wait_until(is_known)
        return claims[-1].unwrap()

    def run_task(self, task_id, request_id):
        wait_until(self.loop.find_token)
        agent = cast(Any, self.fleet.find(SPEC.name))
        permit = agent.permit_start(self.loop.find_token())
        call = TaskCall(
            task_id=task_id,
            request_id=request_id,
            workload="order",
            demand=DEMAND,
            token=permit.token,
            start_before_s=permit.start_before_s,
            lease_s=30.0,
            payload=b"{}",
        )
        return agent.client.run(call, timeout_s=TIMEOUT_S)

    def stop(self):
        self.parts.stop()
        self.fleet.stop()


class SuccessorHarness:
    """VM that is lost at its first start, and its successor."""

    def __init__(self):
        self.upstream = RestartingUpstream(SPEC)
        self.store = StoreService()
        self.has_died = threading.Event()
        self.may_end = threading.Event()
        self.vms = [Vm(self.store, "a", epoch=1, upstream=self.upstream)]

    def run_until_death(self, workload, *, is_sent):
        """Submit a job, and lose the VM after or before it sends the start."""
        (vm,) = self.vms
        agent = cast(Any, vm.fleet.find(SPEC.name))
        client = agent.client
        agent.client = SimpleNamespace(
            open=client.open,
            renew=client.renew,
            release=client.release,
            wait_for_ends=client.wait_for_ends,
            resolve=client.resolve,
            close=client.close,
            start=lambda call: self.die(client.start, call, is_sent=is_sent),
        )
        vm.plan = frozenset({0})
        job_id = vm.submit(workload)
        assert self.has_died.wait(TIMEOUT_S)
        return job_id

    def die(self, start, call, *, is_sent):
        if is_sent:
            start(call)
            wait_until(lambda: self.upstream.list_runs()[0])
        self.vms[0].plan = frozenset()
        self.has_died.set()
        self.may_end.wait()
        return Lost("no answer")

    def take_over(self):
        successor = Vm(self.store, "b", epoch=2, upstream=self.upstream)
        successor.plan = frozenset({0})
        self.vms.append(successor)
        return successor

    def stop(self):
        self.may_end.set()
        for vm in self.vms:
            vm.stop()
        self.upstream.stop()


@pytest.fixture
def successor_harness():
    harness = SuccessorHarness()
    yield harness
    harness.stop()


@pytest.fixture
def harness():
    harness = Harness()
    yield harness
    harness.stop()


# A restarted upstream knows nothing of the tasks of its former life, and its answer
# was taken for the proof that they had not run.
def test_request_that_ran_before_a_restart_may_have_run(harness):
    started_s = time.monotonic()
    refusal = harness.run_request(idempotent=False).unwrap_err()
    assert time.monotonic() - started_s < TIMEOUT_S / 2
    assert refusal.verdict is Verdict.MAY_HAVE_RUN
    assert harness.upstream.list_runs() == [["r1"], []]
    assert len(harness.loop.submitted) == 1
    assert harness.loop.list_outcomes() == [Outcome.LOST]


def test_idempotent_request_that_ran_before_a_restart_counts_as_an_attempt(harness):
    answer = harness.run_request(idempotent=True).unwrap()
    assert answer.attempts == 2
    assert harness.upstream.list_runs() == [["r1"], ["r1"]]
    assert harness.loop.list_outcomes() == [Outcome.LOST, Outcome.ANSWERED]


def test_task_of_a_job_that_ran_before_a_restart_has_not_remained_unstarted(harness):
    (done,) = harness.run_task()
    assert done.result is TaskResult.LAPSED
    assert harness.upstream.list_runs() == [["job.0"], []]
    assert harness.loop.list_outcomes() == [Outcome.LOST]


# An attempt whose intent is not in the log may have been started at any upstream, in
# any of its former lives.
@pytest.mark.parametrize("upstream", [None, SPEC.name])
def test_attempt_of_an_unknown_boot_is_not_resolved_as_never_started(upstream):
    restarting = RestartingUpstream(SPEC)
    vm = Vm(StoreService(), "a", epoch=1, upstream=restarting)
    done: list[Any] = []
    try:
        restarting.restart()
        vm.parts.tasks.resolve("job.0.1", upstream, "", done.append)
        wait_until(lambda: done)
    finally:
        vm.stop()
        restarting.stop()
    assert [end.result for end in done] == [TaskResult.LAPSED]


# The key of a request that ran before a restart was released, so that its repeat ran
# again.
@pytest.mark.parametrize("attempt", [1, 2])
@pytest.mark.parametrize("is_restarted", [True, False])
def test_key_of_a_lost_vm_is_not_released_after_a_restart(attempt, is_restarted):
    restarting = RestartingUpstream(SPEC)
    vm = Vm(StoreService(), "a", epoch=1, upstream=restarting)
    key = next(name for name in map(str, itertools.count()) if partition_of(name) == 0)
    try:
        vm.plan = frozenset({0})
        assert vm.claim(key, "r1", holder="b").kind is ClaimKind.FIRST
        task_id = make_task_id("r1", 0, attempt)
        assert isinstance(vm.run_task(task_id, "r1"), Answered)
        if is_restarted:
            restarting.restart()
        vm.lost_holders.add("b")
        claim = vm.claim(key, "r2", holder="a")
    finally:
        vm.stop()
        restarting.stop()
    assert claim.kind is ClaimKind.ENDED
    if is_restarted:
        assert claim.refusal.verdict is Verdict.MAY_HAVE_RUN
    else:
        assert claim.answer.status == 200


# The successor of a VM was told by a restarted upstream that a task which had run was
# never started, and ran it again.
def test_successor_does_not_repeat_a_task_that_ran_before_a_restart(successor_harness):
    harness = successor_harness
    job_id = harness.run_until_death("order", is_sent=True)
    harness.upstream.restart()
    view = harness.take_over().wait_for_end(job_id)
    assert [task["state"] for task in view["tasks"]] == ["may_have_run"]
    assert harness.upstream.list_runs() == [[f"{job_id}.0"], []]


# The boot id of the start is known from the log, so that a task which was not sent
# is not given up.
def test_successor_runs_a_task_that_was_not_sent(successor_harness):
    harness = successor_harness
    job_id = harness.run_until_death("order", is_sent=False)
    view = harness.take_over().wait_for_end(job_id)
    assert [task["state"] for task in view["tasks"]] == ["answered"]
    assert harness.upstream.list_runs() == [[f"{job_id}.0"]]
