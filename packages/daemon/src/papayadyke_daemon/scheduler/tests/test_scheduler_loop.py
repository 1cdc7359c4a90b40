import queue
import threading
from typing import Any, cast

from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.resources import Resources
from papayadyke_core.scheduling import Outcome, Refuse, Request, Scheduler, Start
from papayadyke_core.verdicts import Reason, Refusal, Verdict
from papayadyke_core.workloads import ConfigModel
from papayadyke_daemon.scheduler import (
    AddUpstream,
    ApplyConfig,
    Finish,
    HandOver,
    Placed,
    SchedulerLoop,
    Submit,
)

TIMEOUT_S = 20.0
TOKEN = 7
CONFIG = ConfigModel.model_validate(
    {
        "workloads": [
            {"name": "w", "kind": "service", "demand": {"cpus": 1, "memory_mb": 1}}
        ]
    }
).to_config(revision=1)
SPEC = UpstreamSpec("u1", "z1", "r1", Resources(1000, 1000), slots=1)
LEAVING = Refusal(Verdict.NOT_RUN, Reason.DRAINING, "stopping")


class BrokenScheduler:
    """Scheduler whose first call raises an exception."""

    def next_decision_s(self, now):
        raise AssertionError("a sum differs")


class OrphanScheduler:
    """Scheduler that decides one start without a waiting request."""

    def __init__(self):
        self.finished: queue.SimpleQueue[tuple[str, Outcome]] = queue.SimpleQueue()
        self.starts = [Start("t1", "nobody", 0, "u1", Resources(1, 1))]

    def next_decision_s(self, now):
        return None

    def decide(self, now):
        starts, self.starts = self.starts, []
        return starts

    def finish(self, task_id, outcome, now, *, run_s=0.0):
        self.finished.put((task_id, outcome))

    def summary(self, now):
        return None


def start_loop():
    loop = SchedulerLoop(Scheduler())
    loop.start()
    loop.send(ApplyConfig(CONFIG))
    loop.send(AddUpstream(SPEC, TOKEN))
    return loop


def submit(loop, request_id):
    replies: queue.SimpleQueue[Placed | Refuse] = queue.SimpleQueue()
    req = Request(request_id, "w", loop.clock() + TIMEOUT_S)
    loop.send(Submit(req, replies.put))
    return replies


def test_start_carries_the_token_under_which_it_was_decided():
    loop = start_loop()
    placed = submit(loop, "r1").get(timeout=TIMEOUT_S)
    assert (placed.start.upstream, placed.token) == ("u1", TOKEN)
    loop.stop()


def test_hand_over_refuses_queued_requests_but_not_started_ones():
    loop = start_loop()
    first = submit(loop, "r1")
    placed = first.get(timeout=TIMEOUT_S)
    second = submit(loop, "r2")
    loop.send(HandOver(LEAVING))
    assert second.get(timeout=TIMEOUT_S) == Refuse("r2", LEAVING)
    assert first.empty()
    loop.send(Finish(placed.start.task_id, Outcome.ANSWERED, 0.1))
    assert isinstance(submit(loop, "r3").get(timeout=TIMEOUT_S), Placed)
    loop.stop()


def test_broken_invariant_calls_on_fault_and_ends_the_thread():
    faults = threading.Event()
    loop = SchedulerLoop(cast(Any, BrokenScheduler()), on_fault=faults.set)
    loop.start()
    assert faults.wait(TIMEOUT_S)
    loop.stop()


def test_start_without_a_waiting_request_is_finished_as_not_started():
    scheduler = OrphanScheduler()
    loop = SchedulerLoop(cast(Any, scheduler))
    loop.start()
    finished_task = scheduler.finished.get(timeout=TIMEOUT_S)
    assert finished_task == ("t1", Outcome.NOT_STARTED)
    loop.stop()
