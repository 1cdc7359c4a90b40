"""Starts whose answer is lost because the upstream restarts under its name."""

import socket
import time
from types import SimpleNamespace
from typing import Any, cast

import pytest

from papayadyke_clients.upstream import Lost
from papayadyke_core.jobs import TaskOrder, TaskResult, TaskSpec
from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.resources import Resources
from papayadyke_core.scheduling import Outcome, Start
from papayadyke_core.verdicts import Verdict
from papayadyke_core.workloads import Kind, Workload
from papayadyke_daemon.fleet import Holder, UpstreamAgent
from papayadyke_daemon.scheduler import AddUpstream, Finish, Placed, Submit
from papayadyke_daemon.serving import IdSource, RunOrder, RunService, TaskRunner
from papayadyke_daemon.settings import Address, FleetSettings, UpstreamAddress
from papayadyke_standins.upstream import UpstreamStandin

TIMEOUT_S = 60.0
DEMAND = Resources(1000, 512)
SPEC = UpstreamSpec(
    name="quote-1",
    availability_zone="hobart",
    rack="rack-1",
    capacity=Resources(4000, 4096),
)
SETTINGS = FleetSettings(session_ttl_s=3.0, expiry_margin_s=0.3)


def wait_until(condition):
    deadline_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s, "the condition did not hold in time"
        time.sleep(0.01)


def find_free_port():
    # A server that has chosen its port itself does not let another one bind it.
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class RestartingUpstream:
    """Upstream that can restart at its address; it keeps the records of all lives."""

    def __init__(self):
        self.lives = []
        self.address = ("127.0.0.1", find_free_port())
        self.start()

    def start(self):
        self.lives.append(UpstreamStandin(SPEC, port=self.address[1]))
        self.lives[-1].start()

    def restart(self):
        self.lives[-1].stop()
        self.start()

    def list_runs(self):
        return [
            [record.request_id for record in life.registry.list_records()]
            for life in self.lives
        ]


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
        self.upstream = RestartingUpstream()
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
        self.upstream.lives[-1].stop()

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
            authorize=lambda task_id, upstream, allow: allow(True),
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
