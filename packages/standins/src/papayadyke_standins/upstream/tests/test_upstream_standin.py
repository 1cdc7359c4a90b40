import contextlib
import threading

import msgspec
import pytest

from papayadyke_clients.upstream import (
    Answered,
    Failed,
    Lost,
    NotStarted,
    OpenMessage,
    Restarted,
    Running,
    Stopped,
    TaskCall,
    UpstreamClient,
)
from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.resources import Resources
from papayadyke_standins.upstream import Faults, UpstreamStandin
from papayadyke_standins.upstream._execution import LaggingUsage

SPEC = UpstreamSpec(
    name="quote-1",
    availability_zone="hobart",
    rack="rack-1",
    capacity=Resources(4000, 4096),
    slots=2,
)
SHORT_S = 0.3
LONG_S = 20.0


@pytest.fixture
def upstream():
    standin = UpstreamStandin(SPEC)
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def client(upstream):
    client = UpstreamClient(*upstream.address, connections=4)
    yield client
    client.close()


def open_session(client, *, vm="vm-1", epoch=1, ttl_s=60.0):
    return client.open(OpenMessage(vm=vm, incarnation=1, epoch=epoch, ttl_s=ttl_s))


def make_call(report, task_id="r1/0/1", *, work_s=0.0, **changes):
    fields = {
        "task_id": task_id,
        "request_id": task_id.partition("/")[0],
        "workload": "rcd-check",
        "demand": Resources(1000, 512),
        "token": report.token,
        "start_before_s": report.clock_s + 30.0,
        "lease_s": 30.0,
        "payload": msgspec.json.encode({"work_seconds": work_s}),
    }
    return TaskCall(**(fields | changes))


@contextlib.contextmanager
def run_in_background(client, call, timeout_s=LONG_S):
    results = []
    thread = threading.Thread(
        target=lambda: results.append(client.run(call, timeout_s=timeout_s))
    )
    thread.start()
    yield results
    thread.join()


def wait_until(condition):
    for _ in range(2000):
        if condition():
            return
        threading.Event().wait(0.005)
    raise AssertionError("condition did not become true within 10 s")


def test_answer_is_computed_from_the_payload(client):
    report = open_session(client).unwrap()
    payload = b'{"items": [{"quantity": 2, "unit_price": 10.5}], "status": 201}'
    answer = client.run(make_call(report, payload=payload), timeout_s=LONG_S)
    assert isinstance(answer, Answered)
    assert answer.status == 201
    assert msgspec.json.decode(answer.body)["total"] == 21.0


def test_session_is_held_by_one_vm_until_a_higher_epoch(client):
    first = open_session(client).unwrap()
    assert open_session(client, vm="vm-2").unwrap_err().holder == "vm-1"
    open_session(client, vm="vm-2", epoch=2).unwrap()
    outcome = client.run(make_call(first), timeout_s=LONG_S)
    assert outcome == NotStarted("stale_token")


def test_start_after_its_deadline_is_refused(client):
    report = open_session(client).unwrap()
    call = make_call(report, start_before_s=report.clock_s - 1.0)
    assert client.run(call, timeout_s=LONG_S) == NotStarted("too_late")


def test_task_resolved_as_never_started_cannot_start_later(client):
    report = open_session(client).unwrap()
    assert isinstance(client.resolve("r1/0/1", boot_id=report.boot_id), NotStarted)
    outcome = client.run(make_call(report), timeout_s=LONG_S)
    assert outcome == NotStarted("resolved_before")


# Each start of a former life was told to have never been received.
@pytest.mark.parametrize("has_run", [False, True])
def test_restarted_upstream_does_not_know_the_starts_of_its_former_life(has_run):
    former = UpstreamStandin(SPEC)
    former.start()
    client = UpstreamClient(*former.address, connections=4)
    report = open_session(client).unwrap()
    if has_run:
        assert isinstance(client.run(make_call(report), timeout_s=LONG_S), Answered)
    client.close()
    former.stop()
    restarted = UpstreamStandin(SPEC)
    restarted.start()
    client = UpstreamClient(*restarted.address, connections=4)
    try:
        assert client.resolve("r1/0/1", boot_id=report.boot_id) == Restarted()
        assert client.resolve("r1/0/1", boot_id="") == Restarted()
        outcome = client.resolve("r1/0/1", boot_id=restarted.boot_id)
        assert isinstance(outcome, NotStarted)
    finally:
        client.close()
        restarted.stop()


def test_resolving_returns_a_lost_answer(client, upstream):
    report = open_session(client).unwrap()
    upstream.order_faults(Faults(lose_answers=True))
    assert isinstance(client.run(make_call(report), timeout_s=LONG_S), Lost)
    assert isinstance(client.resolve("r1/0/1", boot_id=report.boot_id), Answered)


def test_new_connection_works_after_an_old_one_goes_silent(client, upstream):
    report = open_session(client).unwrap()
    client.run(make_call(report, "r0/0/1"), timeout_s=LONG_S)
    upstream.order_faults(Faults(silent_old=True))
    assert isinstance(client.run(make_call(report), timeout_s=SHORT_S), Lost)
    assert isinstance(client.resolve("r1/0/1", boot_id=report.boot_id), NotStarted)


def test_running_task_is_listed_and_reported_stopped_after_a_stop(client, upstream):
    report = open_session(client).unwrap()
    with run_in_background(client, make_call(report, work_s=LONG_S)) as results:
        wait_until(upstream.registry.list_running)
        assert isinstance(client.resolve("r1/0/1", boot_id=report.boot_id), Running)
        renewed = client.renew(report.token).unwrap()
        assert [task.task_id for task in renewed.running] == ["r1/0/1"]
        assert client.stop("r1/0/1")
    assert results == [Stopped()]


def test_start_over_capacity_is_refused_and_recorded(client, upstream):
    report = open_session(client).unwrap()
    call = make_call(report, demand=Resources(5000, 1))
    assert client.run(call, timeout_s=LONG_S) == NotStarted("over_capacity")
    assert upstream.registry.breaches == ["r1/0/1: over_capacity"]


def test_second_attempt_of_a_running_task_is_refused(client, upstream):
    report = open_session(client).unwrap()
    with run_in_background(client, make_call(report, work_s=LONG_S)):
        wait_until(upstream.registry.list_running)
        outcome = client.run(make_call(report, "r1/0/2"), timeout_s=LONG_S)
        assert outcome == NotStarted("runs_already")
        client.stop("r1/0/1")


def test_failing_upstream_reports_failed_tasks(client, upstream):
    report = open_session(client).unwrap()
    upstream.order_faults(Faults(fail_all=True))
    outcome = client.run(make_call(report), timeout_s=LONG_S)
    assert isinstance(outcome, Failed)


def test_task_stops_when_its_lease_is_not_renewed(client, upstream):
    report = open_session(client).unwrap()
    call = make_call(report, work_s=LONG_S, lease_s=SHORT_S)
    assert client.run(call, timeout_s=LONG_S) == Stopped()


def test_refused_connection_means_the_task_was_not_started():
    client = UpstreamClient("127.0.0.1", 1)
    report = type("Report", (), {"token": 1, "clock_s": 0.0})()
    assert isinstance(client.run(make_call(report), timeout_s=SHORT_S), NotStarted)


def test_checkpointed_task_resumes_from_its_checkpoint(client, upstream):
    report = open_session(client).unwrap()
    with run_in_background(client, make_call(report, work_s=LONG_S)) as results:
        wait_until(upstream.registry.list_running)
        assert client.stop("r1/0/1", way="checkpoint")
    assert results == [Stopped()]
    remaining_s = upstream.checkpoints.pop(upstream.registry.find("r1/0/1"), LONG_S)
    assert 0.0 < remaining_s <= LONG_S
    upstream.checkpoints.save(upstream.registry.find("r1/0/1"), SHORT_S)
    next_attempt = make_call(report, "r1/0/2", work_s=LONG_S)
    assert isinstance(client.run(next_attempt, timeout_s=LONG_S), Answered)


def test_throttled_task_continues_more_slowly(client, upstream):
    report = open_session(client).unwrap()
    with run_in_background(client, make_call(report, work_s=LONG_S)):
        wait_until(upstream.registry.list_running)
        assert client.stop("r1/0/1", way="throttle")
        assert upstream.registry.find("r1/0/1").throttle > 1.0
        assert isinstance(client.resolve("r1/0/1", boot_id=report.boot_id), Running)
        client.stop("r1/0/1")


def test_usage_is_reported_with_a_lag():
    usage = LaggingUsage(lag_s=1.0)
    usage.sample(Resources(5, 5), 10.0)
    usage.sample(Resources(7, 7), 10.8)
    assert usage.read(10.9) == Resources()
    assert usage.read(11.1) == Resources(5, 5)
    assert usage.read(20.0) == Resources(7, 7)


def test_stop_of_an_unknown_task_returns_false(client):
    assert not client.stop("none/0/1")
