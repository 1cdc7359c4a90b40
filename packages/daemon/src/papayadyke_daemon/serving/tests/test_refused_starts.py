"""The agent gets the reason of each refused start, as it may end the session."""

import time
from types import SimpleNamespace
from typing import Any, cast

import pytest

from papayadyke_clients.upstream import Failed, Lost, NotStarted, Restarted, Running
from papayadyke_core.jobs import TaskOrder, TaskResult, TaskSpec
from papayadyke_core.ownership import StartPermit
from papayadyke_core.resources import Resources
from papayadyke_core.scheduling import Refuse, Start
from papayadyke_core.verdicts import Reason, Refusal, Verdict
from papayadyke_core.workloads import Kind, Workload
from papayadyke_daemon.scheduler import Finish, Placed, Submit
from papayadyke_daemon.serving import IdSource, RunOrder, RunService, TaskRunner

DEMAND = Resources(1000, 512)
TOKEN = 7
FULL = Refusal(Verdict.NOT_RUN, Reason.QUEUE_FULL, "The queue is full.")


class FakeLoop:
    """Scheduler loop that places the first request and refuses all later ones."""

    def __init__(self):
        self.submitted = 0

    def send(self, message):
        if not isinstance(message, Submit):
            assert isinstance(message, Finish)
            return
        self.submitted += 1
        if self.submitted > 1:
            message.reply(Refuse(message.req.id, FULL))
            return
        start = Start(
            task_id=f"{message.req.id}/0/1",
            request_id=message.req.id,
            index=0,
            upstream="u-1",
            demand=DEMAND,
        )
        message.reply(Placed(start, TOKEN))


class FakeAgent:
    """Agent with the same outcome for each start; it records the refusals."""

    def __init__(self, outcome, resolved=None):
        self.refusals: list[Any] = []
        self.client = SimpleNamespace(
            run=lambda call, *, timeout_s: outcome,
            start=lambda call: outcome,
            resolve=lambda task_id, *, boot_id, wait_s=0.0: resolved,
            replace_connections=lambda: None,
        )

    def find_boot_id(self, token):
        return "b1"

    def permit_start(self, token):
        return StartPermit(token, 100.0, 200.0)

    def record_start_refusal(self, token, detail):
        self.refusals.append((token, detail))

    def subscribe_to_end(self, task_id, on_end):
        on_end(task_id)

    def track_unresolved(self, task_id, token, start_before_s):
        raise AssertionError(
            "a start with a known outcome was passed to track_unresolved()"
        )


def run_request(agent):
    workload = Workload("check", Kind.SERVICE, DEMAND)
    service = RunService(
        loop=cast(Any, FakeLoop()),
        fleet=cast(Any, SimpleNamespace(find=lambda name: agent)),
        ids=IdSource("vm-0", 1),
        config=lambda: cast(Any, SimpleNamespace(workloads={"check": workload})),
        task_lease_s=30.0,
        clock=lambda: 100.0,
    )
    order = RunOrder("r1", "check", b"{}", "application/json", 105.0)
    return service.run(order)


def run_task(agent):
    runner = TaskRunner(
        loop=cast(Any, FakeLoop()),
        fleet=cast(Any, SimpleNamespace(find=lambda name: agent)),
        authorize=lambda task_id, upstream, boot_id, allow: allow(True),
        task_lease_s=30.0,
        covers_cell=lambda: True,
    )
    done: list[Any] = []
    spec = TaskSpec(task_id="job/0/1", index=0, attempt=1, payload=b"{}")
    order = TaskOrder(
        request_id="job/0/1.1",
        job_id="job",
        workload="check",
        tasks=(spec,),
        deadline_s=1e9,
        avoid=(),
    )
    runner.start()
    runner.submit(order, done.append)
    wait_until(lambda: done)
    runner.stop()
    return done


def wait_until(condition):
    deadline_s = time.monotonic() + 60.0
    while not condition():
        assert time.monotonic() < deadline_s, "the condition did not hold in time"
        time.sleep(0.01)


@pytest.mark.parametrize("run", [run_request, run_task])
@pytest.mark.parametrize("detail", ["stale_token", "lapsed"])
def test_agent_gets_the_reason_of_a_refused_start(run, detail):
    agent = FakeAgent(NotStarted(detail))
    run(agent)
    assert agent.refusals == [(TOKEN, detail)]


@pytest.mark.parametrize("run", [run_request, run_task])
def test_agent_gets_the_reason_of_a_refusal_found_by_resolve(run):
    agent = FakeAgent(Lost("no answer"), resolved=NotStarted("stale_token"))
    run(agent)
    assert agent.refusals == [(TOKEN, "stale_token")]


@pytest.mark.parametrize("run", [run_request, run_task])
def test_failed_task_is_not_recorded_as_a_refusal(run):
    agent = FakeAgent(Failed("failed on command"))
    run(agent)
    assert agent.refusals == []


# A task that crashed its upstream was told to have never run, and was started again
# without counting: an upstream that has restarted knows nothing of its tasks.
@pytest.mark.parametrize(
    "resolved", [NotStarted("resolved as never started"), Restarted()]
)
def test_running_task_that_its_upstream_no_longer_knows_has_failed(resolved):
    agent = FakeAgent(Running(), resolved=resolved)
    (done,) = run_task(agent)
    assert done.result is TaskResult.FAILED
