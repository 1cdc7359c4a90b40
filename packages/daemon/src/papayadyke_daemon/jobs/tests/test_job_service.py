import queue
import threading
from typing import Any

import pytest

from papayadyke_core.jobs import TaskDone, TaskResult
from papayadyke_core.journal import Answer, JobAccepted, partition_of
from papayadyke_core.resources import Resources
from papayadyke_core.verdicts import Reason, Verdict
from papayadyke_core.workloads import Kind, Workload
from papayadyke_daemon.jobs import JobHooks, JobService, JobSettings, parse_job
from papayadyke_daemon.journal import JournalSettings, JournalWriter
from papayadyke_standins.store import Faults, MemoryStore, StoreService

WORKLOADS = {
    "tally": Workload("tally", Kind.BATCH, Resources(100), idempotent=True),
    "order": Workload("order", Kind.BATCH, Resources(100), idempotent=False),
}


class _FakeTaskRunner:
    """Run each order at once, or hold its tasks while `is_held` is set."""

    def __init__(self):
        self.service: Any = None
        self.is_held = False
        self.held_tasks = []
        self.started = []
        self.resolutions = {}
        self.resolve_requests = []
        self.lock = threading.Lock()

    def hooks(self):
        return JobHooks(
            find_workload=WORKLOADS.get,
            submit_task=self.submit,
            stop_task=self.stop,
            resolve_task=self.resolve,
        )

    def submit(self, order, on_done):
        for task in order.tasks:
            if self.is_held:
                self.held_tasks.append((task, on_done))
            else:
                self.run(task, on_done)

    def run(self, task, on_done):
        def on_reply(allowed):
            if not allowed:
                on_done(TaskDone(task.task_id, TaskResult.NOT_STARTED))
                return
            self.started.append(task.task_id)
            answer = Answer(200, "application/json", task.payload)
            on_done(TaskDone(task.task_id, TaskResult.ANSWERED, answer))

        self.service.authorize_start(task.task_id, "u1", "b1", on_reply)

    def stop(self, task_id):
        for task, on_done in self.held_tasks:
            if task.task_id == task_id:
                on_done(TaskDone(task_id, TaskResult.NOT_STARTED))

    def resolve(self, task_id, upstream, boot_id, on_done):
        self.resolve_requests.append((task_id, upstream))
        on_done(self.resolutions.get(task_id, TaskDone(task_id, TaskResult.LOST)))


class _Vm:
    def __init__(self, store, name):
        self.task_runner = _FakeTaskRunner()
        self.journal = JournalWriter(
            MemoryStore(store, client=name), JournalSettings(vm=name, incarnation="1")
        )
        settings = JobSettings(append_wait_s=0.3, resolve_interval_s=0.05)
        self.jobs = JobService(self.journal, settings, self.task_runner.hooks())
        self.task_runner.service = self.jobs
        self.journal.start()
        self.jobs.start()

    def take_over(self, partition):
        self.jobs.adopt(self.journal.take_over(partition).unwrap())

    def stop(self):
        self.journal.stop()
        self.jobs.stop()


@pytest.fixture
def store():
    return StoreService()


@pytest.fixture
def vms(store):
    created = [_Vm(store, "vm1"), _Vm(store, "vm2")]
    created[0].take_over(0)
    yield created
    for vm in created:
        vm.stop()


def _model(workload="tally", tasks=2, **fields):
    extra_fields = "".join(f', "{name}": {value}' for name, value in fields.items())
    payloads = ", ".join(f'{{"payload": {{"n": {n}}}}}' for n in range(tasks))
    body = f'{{"workload": "{workload}", "tasks": [{payloads}]{extra_fields}}}'
    return parse_job(body.encode()).unwrap()


@pytest.mark.parametrize("workload", ["tally", "order"])
@pytest.mark.parametrize("gang", ["true", "false"])
def test_finished_job_shows_the_answers_of_its_tasks(vms, workload, gang):
    vm = vms[0]
    accepted = vm.jobs.submit(_model(workload, gang=gang)).unwrap()
    assert accepted.is_new
    view = vm.jobs.get(accepted.job_id, wait_s=10).unwrap().view
    assert view["state"] == "finished"
    assert [task["answer"]["json"] for task in view["tasks"]] == [{"n": 0}, {"n": 1}]
    assert len(vm.task_runner.started) == 2


def test_accepted_job_is_run_by_the_successor_of_its_vm(vms):
    vms[0].task_runner.is_held = True
    job_id = vms[0].jobs.submit(_model("order")).unwrap().job_id
    vms[1].take_over(0)
    view = vms[1].jobs.get(job_id, wait_s=10).unwrap().view
    assert view["state"] == "finished"
    # The earlier owner cannot start tasks that its successor runs.
    for task, on_done in vms[0].task_runner.held_tasks:
        vms[0].task_runner.run(task, on_done)
    vms[0].jobs.get(job_id)
    assert vms[0].task_runner.started == []


def test_successor_does_not_restart_a_non_idempotent_task(vms):
    started: queue.SimpleQueue[bool] = queue.SimpleQueue()
    vms[0].task_runner.run = lambda task, on_done: vms[0].jobs.authorize_start(
        task.task_id, "u1", "b1", lambda allowed: started.put(allowed)
    )
    job_id = vms[0].jobs.submit(_model("order", tasks=1)).unwrap().job_id
    assert started.get(timeout=10)
    vms[1].take_over(0)
    view = vms[1].jobs.get(job_id, wait_s=0.2).unwrap().view
    assert view["tasks"][0]["state"] == "running"
    assert vms[1].task_runner.started == []
    task_id, upstream = vms[1].task_runner.resolve_requests[0]
    assert upstream == "u1"
    answer = Answer(200, "text/plain", b"late")
    vms[1].task_runner.resolutions[task_id] = TaskDone(
        task_id, TaskResult.ANSWERED, answer
    )
    view = vms[1].jobs.get(job_id, wait_s=10).unwrap().view
    assert view["tasks"][0]["answer"]["text"] == "late"


def test_repeated_key_returns_the_same_job_or_a_conflict_for_another_body(vms):
    key = next(f"k{n}" for n in range(10_000) if partition_of(f"k{n}") == 0)
    model = _model(idempotency_key=f'"{key}"')
    first = vms[0].jobs.submit(model).unwrap()
    repeated = vms[0].jobs.submit(model).unwrap()
    assert (repeated.job_id, repeated.is_new) == (first.job_id, False)
    other = _model(tasks=3, idempotency_key=f'"{key}"')
    assert vms[0].jobs.submit(other).unwrap_err().reason is Reason.KEY_CONFLICT
    vms[1].take_over(0)
    assert vms[1].jobs.submit(model).unwrap().job_id == first.job_id


def test_submission_in_a_store_outage_is_refused_as_not_run(vms, store):
    store.set_faults(Faults(down=True))
    refusal = vms[0].jobs.submit(_model()).unwrap_err()
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.reason is Reason.STORE_UNAVAILABLE
    store.set_faults(Faults())
    replay = vms[1].journal.take_over(0).unwrap()
    assert not any(isinstance(t.entry, JobAccepted) for t in replay.entries)


def test_lost_store_answer_is_resolved_before_the_reply(vms, store):
    store.set_faults(Faults(lose_answers=1, prefix="log/"))
    accepted = vms[0].jobs.submit(_model()).unwrap()
    assert vms[0].jobs.get(accepted.job_id, wait_s=10).unwrap().view["state"]


def test_outage_after_a_lost_store_answer_is_refused_as_may_have_run(vms, store):
    vms[0].task_runner.is_held = True
    lost_answer = Faults(lose_answers=1, prefix="log/")
    store.set_faults(lost_answer)
    store_write = store.write

    def write(key, act):
        result = store_write(key, act)
        if result.is_err():
            store.set_faults(Faults(down=True))
        return result

    store.write = write
    refusal = vms[0].jobs.submit(_model()).unwrap_err()
    assert refusal.verdict is Verdict.MAY_HAVE_RUN


def test_cancelled_job_shows_which_tasks_had_run(vms):
    vms[0].task_runner.is_held = True
    job_id = vms[0].jobs.submit(_model("order")).unwrap().job_id
    view = vms[0].jobs.cancel(job_id, wait_s=10).unwrap().view
    assert view["state"] == "cancelled"
    assert [task["had_run"] for task in view["tasks"]] == [False, False]
    assert view["tasks"][0]["refusal"]["verdict"] == "not_run"


def test_unknown_job_and_workload_are_refused(vms):
    refusal = vms[0].jobs.submit(_model("nothing")).unwrap_err()
    assert refusal.reason is Reason.UNKNOWN_WORKLOAD
    refusal = vms[0].jobs.get("0000-none").unwrap_err()
    assert refusal.reason is Reason.UNKNOWN_REQUEST
    refusal = vms[0].jobs.get("0001-none").unwrap_err()
    assert refusal.reason is Reason.KEY_HOME_UNREACHABLE


def test_invalid_bodies_are_refused_with_a_detail():
    cases = [
        (b"{", Reason.BAD_REQUEST),
        (b'{"workload": "w", "tasks": []}', Reason.BAD_REQUEST),
        (b'{"workload": "w", "tasks": [{"payload": 1, "x": 2}]}', Reason.BAD_REQUEST),
        (b'{"workload": "w", "tasks": [{"payload": NaN}]}', Reason.BAD_REQUEST),
        (
            b'{"workload": "w", "tasks": [{"payload": ' + b"[" * 90_000,
            Reason.BAD_REQUEST,
        ),
        (b'{"workload": "w", "tasks": [{"payload": "\\ud800"}]}', Reason.BAD_REQUEST),
        (b"[]", Reason.BAD_REQUEST),
        (b"", Reason.BAD_REQUEST),
        (b"x" * 600_000, Reason.TOO_LARGE),
    ]
    for body, reason in cases:
        refusal = parse_job(body).unwrap_err()
        assert (refusal.verdict, refusal.reason) == (Verdict.NOT_RUN, reason)
        assert refusal.detail
