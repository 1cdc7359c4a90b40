from dataclasses import replace
from itertools import count

import pytest

from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.resources import Resources
from papayadyke_core.scheduling import (
    Outcome,
    Refuse,
    Request,
    RunningTask,
    Scheduler,
    SchedulerProtocol,
    SchedulingError,
    Start,
    Stop,
    StopMode,
)
from papayadyke_core.verdicts import Reason, Verdict
from papayadyke_core.workloads import (
    Config,
    Kind,
    Preset,
    ShareRule,
    Team,
    Urgency,
    Workload,
)

DEMAND = Resources(1000, 100)
CAPACITY = Resources(8000, 8000)


def workload(name, kind=Kind.SERVICE, **options):
    return Workload(name=name, kind=kind, demand=DEMAND, **options)


def config(*workloads, revision=1, **rules):
    return Config(
        revision=revision,
        workloads={declared.name: declared for declared in workloads},
        presets={"ordinary": Preset("ordinary", rules=rules)},
    )


def make_scheduler(*workloads, upstreams=1, capacity=CAPACITY, **rules):
    scheduler = Scheduler()
    scheduler.apply_config(config(*workloads, **rules), 0.0)
    for number in range(upstreams):
        spec = UpstreamSpec(f"u{number}", "hobart", f"r{number % 3}", capacity)
        scheduler.add_upstream(spec, 0.0)
    return scheduler


REQUEST_NUMBERS = count()


def submit(scheduler, name, now, *, times=1, tasks=1, deadline_s=1000.0, **options):
    refusals = []
    for _ in range(times):
        req = Request(
            f"q{next(REQUEST_NUMBERS)}", name, deadline_s, tasks=tasks, **options
        )
        refusals.append(scheduler.submit(req, now))
    return refusals


def start_decisions(decisions, scheduler=None):
    return [decision for decision in decisions if isinstance(decision, Start)]


def running_count(scheduler, name, now=0.0):
    loads = {load.workload: load for load in scheduler.summary(now).workloads}
    return loads[name].running


def finish_all(scheduler, starts, now, run_s=1.0):
    for start in starts:
        scheduler.finish(start.task_id, Outcome.ANSWERED, now, run_s=run_s)


def test_scheduler_implements_protocol():
    scheduler: SchedulerProtocol = Scheduler()
    assert scheduler.decide(0.0) == []


def test_queued_tasks_start_as_slots_become_free():
    scheduler = make_scheduler(workload("tally", Kind.BATCH))
    assert submit(scheduler, "tally", 0.0, times=10) == [None] * 10
    starts = start_decisions(scheduler.decide(0.0))
    assert len(starts) == 8
    assert start_decisions(scheduler.decide(0.0)) == []
    finish_all(scheduler, starts[:1], 1.0)
    assert len(start_decisions(scheduler.decide(1.0))) == 1
    scheduler.check_invariants()


def test_shares_are_proportional_to_weights():
    scheduler = make_scheduler(workload("a"), workload("b", weight=3.0))
    submit(scheduler, "a", 0.0, times=20)
    submit(scheduler, "b", 0.0, times=20)
    scheduler.decide(0.0)
    assert (running_count(scheduler, "a"), running_count(scheduler, "b")) == (2, 6)


def test_full_queue_refuses_with_holders_and_retry_hint():
    scheduler = make_scheduler(workload("a", queue_limit=2))
    submit(scheduler, "a", 0.0, times=2)
    scheduler.decide(0.0)
    refusal = submit(scheduler, "a", 0.0, times=3)[2]
    assert refusal.reason is Reason.QUEUE_FULL
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.holders == ("a",)
    assert refusal.retry_after_s > 0.0
    (counted,) = scheduler.refusals.counts()
    assert (counted.workload, counted.requests) == ("a", 1)


def test_demand_larger_than_any_upstream_can_never_run():
    large = Workload("large", Kind.BATCH, Resources(9000, 1))
    scheduler = make_scheduler(large)
    assert submit(scheduler, "large", 0.0)[0].reason is Reason.CAN_NEVER_RUN


def test_request_waits_for_recently_removed_upstream():
    large = Workload("large", Kind.BATCH, Resources(9000, 1))
    scheduler = make_scheduler(large)
    scheduler.add_upstream(UpstreamSpec("big", "z", "r", CAPACITY * 2), 0.0)
    scheduler.remove_upstream("big", 1.0)
    assert submit(scheduler, "large", 2.0) == [None]
    assert submit(scheduler, "large", 302.0)[0].reason is Reason.CAN_NEVER_RUN


def test_expired_request_is_refused_as_not_run():
    scheduler = make_scheduler(workload("a"))
    submit(scheduler, "a", 0.0, times=9, deadline_s=5.0)
    scheduler.decide(0.0)
    assert scheduler.next_decision_s(4.99) == 5.0
    (refuse,) = scheduler.decide(5.0)
    assert isinstance(refuse, Refuse)
    assert refuse.refusal.reason is Reason.EXPIRED
    assert refuse.refusal.verdict is Verdict.NOT_RUN
    assert scheduler.refusals.find(refuse.request_id) == refuse.refusal


def test_unreachable_deadline_is_refused_on_submission():
    scheduler = make_scheduler(workload("a"))
    submit(scheduler, "a", 0.0, times=100)
    starts = start_decisions(scheduler.decide(0.0))
    for second in range(1, 4):
        finish_all(scheduler, starts, float(second))
        starts = start_decisions(scheduler.decide(float(second)))
    refusal = submit(scheduler, "a", 3.0, deadline_s=5.0)[0]
    assert refusal.reason is Reason.DEADLINE_UNREACHABLE
    # 68 tasks wait and about 8 start each second.
    assert 3.0 < refusal.retry_after_s < 8.0
    assert submit(scheduler, "a", 3.0, deadline_s=30.0) == [None]


def test_preset_without_admission_refuses_new_requests_only():
    scheduler = make_scheduler(workload("a"))
    submit(scheduler, "a", 0.0)
    closed = config(workload("a"), revision=2, a=ShareRule(admit=False))
    scheduler.apply_config(closed, 0.0)
    assert submit(scheduler, "a", 0.0)[0].reason is Reason.NOT_ADMITTED
    assert len(start_decisions(scheduler.decide(0.0))) == 1


def test_deleting_workload_refuses_queue_and_keeps_running_tasks():
    scheduler = make_scheduler(workload("a"))
    submit(scheduler, "a", 0.0, times=10)
    starts = start_decisions(scheduler.decide(0.0))
    scheduler.apply_config(config(workload("b"), revision=2), 1.0)
    assert scheduler.next_decision_s(1.0) == 1.0
    refused = scheduler.decide(1.0)
    assert [refuse.refusal.reason for refuse in refused] == [
        Reason.UNKNOWN_WORKLOAD
    ] * 2
    assert running_count(scheduler, "a") == 8
    finish_all(scheduler, starts, 2.0)
    assert {load.workload for load in scheduler.summary(2.0).workloads} == {"b"}
    scheduler.check_invariants()


def test_older_configuration_is_ignored():
    scheduler = make_scheduler(workload("a"))
    scheduler.apply_config(config(workload("b"), revision=0), 0.0)
    assert submit(scheduler, "a", 0.0) == [None]


def test_cancel_removes_queued_request_and_returns_running_tasks():
    scheduler = make_scheduler(workload("a"))
    submit(scheduler, "a", 0.0, times=9)
    starts = start_decisions(scheduler.decide(0.0))
    last = f"q{next(REQUEST_NUMBERS) - 1}"
    result = scheduler.cancel(last, 0.0)
    assert (result.found, result.never_ran, result.running) == (True, True, ())
    result = scheduler.cancel(starts[0].request_id, 0.0)
    assert (result.found, result.never_ran) == (True, False)
    assert [task.task_id for task in result.running] == [starts[0].task_id]
    assert not scheduler.cancel("unknown", 0.0).found
    finish_all(scheduler, starts, 1.0)
    assert scheduler.decide(1.0) == []


def test_ceiling_applies_on_idle_fleet():
    scheduler = make_scheduler(workload("a", ceiling=0.5))
    submit(scheduler, "a", 0.0, times=10)
    assert len(start_decisions(scheduler.decide(0.0))) == 4


def test_floor_takes_precedence_over_urgency():
    floored = workload("tally", Kind.BATCH, floor=0.5, urgency=Urgency.DEFERRABLE)
    scheduler = make_scheduler(floored, workload("checks", urgency=Urgency.URGENT))
    submit(scheduler, "checks", 0.0, times=20)
    submit(scheduler, "tally", 0.0, times=20)
    scheduler.decide(0.0)
    assert (running_count(scheduler, "tally"), running_count(scheduler, "checks")) == (
        4,
        4,
    )


def test_floor_is_reclaimed_by_preempting_tasks():
    lender = workload("orders", floor=0.5)
    borrower = workload("tally", Kind.BATCH, preemptible=True, idempotent=True)
    scheduler = make_scheduler(lender, borrower)
    submit(scheduler, "tally", 0.0, times=20)
    assert len(start_decisions(scheduler.decide(0.0))) == 8
    submit(scheduler, "orders", 1.0, times=10)
    assert scheduler.decide(1.0) == []
    stops = [
        decision for decision in scheduler.decide(1.5) if isinstance(decision, Stop)
    ]
    assert [stop.mode for stop in stops] == [StopMode.STOP] * 4
    assert scheduler.decide(1.6) == []
    for stop in stops:
        scheduler.finish(stop.task_id, Outcome.STOPPED, 1.7)
    scheduler.decide(1.7)
    assert (running_count(scheduler, "orders"), running_count(scheduler, "tally")) == (
        4,
        4,
    )


def test_non_idempotent_tasks_are_checkpointed_not_stopped():
    borrower = workload("tally", Kind.BATCH, preemptible=True)
    scheduler = make_scheduler(workload("orders", floor=0.5), borrower)
    submit(scheduler, "tally", 0.0, times=20)
    scheduler.decide(0.0)
    submit(scheduler, "orders", 1.0)
    scheduler.decide(1.0)
    (stop,) = scheduler.decide(2.0)
    assert stop.mode is StopMode.CHECKPOINT


def test_gang_starts_completely_or_not_at_all():
    scheduler = make_scheduler(workload("gang", Kind.GANG), upstreams=2)
    submit(scheduler, "gang", 0.0, tasks=10)
    submit(scheduler, "gang", 0.0, tasks=7)
    starts = start_decisions(scheduler.decide(0.0))
    assert len({start.request_id for start in starts}) == 1
    assert [start.index for start in starts] == list(range(10))


def test_gang_of_fleet_size_starts_during_flood_of_single_tasks():
    gang = workload("gang", Kind.GANG, timeout_s=10.0)
    flood = workload("flood", weight=100.0, timeout_s=10.0, queue_limit=100_000)
    scheduler = make_scheduler(gang, flood, upstreams=3)
    submit(scheduler, "flood", 0.0, times=2000)
    ends = {
        start.task_id: 1.0 + 0.01 * n
        for n, start in enumerate(start_decisions(scheduler.decide(0.0)))
    }
    submit(scheduler, "gang", 0.0, tasks=24)
    now = 0.0
    while running_count(scheduler, "gang") == 0:
        now += 0.05
        assert now < 1.0 + 2 * 10.0
        for task_id in [key for key, end in ends.items() if end <= now]:
            del ends[task_id]
            scheduler.finish(task_id, Outcome.ANSWERED, now, run_s=1.0)
        for start in start_decisions(scheduler.decide(now)):
            ends[start.task_id] = now + 1.0
    assert running_count(scheduler, "gang") == 24


def test_two_gangs_larger_than_half_the_fleet_both_run():
    scheduler = make_scheduler(
        workload("g1", Kind.GANG), workload("g2", Kind.GANG), upstreams=2
    )
    submit(scheduler, "g1", 0.0, tasks=10)
    submit(scheduler, "g2", 0.0, tasks=10)
    first = start_decisions(scheduler.decide(0.0))
    assert len(first) == 10
    assert start_decisions(scheduler.decide(2.0)) == []
    finish_all(scheduler, first, 3.0)
    assert len(start_decisions(scheduler.decide(3.0))) == 10


def test_overdue_request_takes_precedence_over_urgent_work():
    slow = workload("slow", urgency=Urgency.DEFERRABLE)
    scheduler = make_scheduler(slow, workload("checks", urgency=Urgency.URGENT))
    submit(scheduler, "checks", 0.0, times=500)
    submit(scheduler, "slow", 0.0, times=5)
    starts = start_decisions(scheduler.decide(0.0))
    for second in range(1, 31):
        finish_all(scheduler, starts, float(second))
        starts = start_decisions(scheduler.decide(float(second)))
    assert running_count(scheduler, "slow") == 1


def test_urgent_task_starts_during_flood_of_other_work():
    checks = workload("checks", urgency=Urgency.URGENT)
    scheduler = make_scheduler(checks, workload("flood", queue_limit=9999), upstreams=6)
    submit(scheduler, "checks", 0.0)
    finish_all(scheduler, start_decisions(scheduler.decide(0.0)), 0.1, run_s=0.1)
    submit(scheduler, "flood", 0.1, times=1000)
    scheduler.decide(0.1)
    submit(scheduler, "checks", 0.2)
    assert len(start_decisions(scheduler.decide(0.2))) == 1


def test_adopted_task_holds_capacity_once():
    scheduler = make_scheduler(workload("a"))
    task = RunningTask("t", "q", "a", "u0", DEMAND)
    scheduler.adopt(task, 0.0)
    scheduler.adopt(task, 0.0)
    assert running_count(scheduler, "a") == 1
    assert scheduler.summary(0.0).free_slots == 7
    other = RunningTask("t", "q", "a", "u1", DEMAND)
    with pytest.raises(SchedulingError):
        scheduler.adopt(other, 0.0)


def test_adopted_task_of_unknown_workload_holds_capacity_until_it_ends():
    scheduler = make_scheduler(workload("a"))
    scheduler.adopt(RunningTask("t", "q", "gone", "u0", DEMAND), 0.0)
    assert submit(scheduler, "gone", 0.0)[0].reason is Reason.UNKNOWN_WORKLOAD
    scheduler.finish("t", Outcome.LOST, 1.0)
    assert scheduler.summary(1.0).free_slots == 8


def test_removing_upstream_returns_tasks_and_ignores_their_end():
    scheduler = make_scheduler(workload("a"), upstreams=2)
    submit(scheduler, "a", 0.0, times=16)
    starts = start_decisions(scheduler.decide(0.0))
    lost = scheduler.remove_upstream("u0", 1.0)
    assert len(lost) == 8
    finish_all(scheduler, starts, 2.0)
    assert scheduler.summary(2.0).free_slots == 8
    scheduler.check_invariants()


def test_drained_upstream_starts_no_tasks_until_added_again():
    scheduler = make_scheduler(workload("a"), upstreams=1)
    scheduler.drain_upstream("u0", 0.0)
    submit(scheduler, "a", 0.0)
    assert start_decisions(scheduler.decide(0.0)) == []
    scheduler.add_upstream(UpstreamSpec("u0", "hobart", "r0", CAPACITY), 1.0)
    assert len(start_decisions(scheduler.decide(1.0))) == 1


def test_retries_are_refused_when_budget_is_exhausted():
    scheduler = make_scheduler(workload("a"))
    refusals = submit(scheduler, "a", 0.0, times=101, attempt=2)
    assert refusals[:100] == [None] * 100
    assert refusals[100].reason is Reason.NO_CAPACITY
    assert refusals[100].verdict is Verdict.MAY_HAVE_RUN


def test_retry_avoids_upstream_of_failed_attempt():
    scheduler = make_scheduler(workload("a"), upstreams=2)
    submit(scheduler, "a", 0.0, attempt=2, avoid=("u0",))
    (start,) = start_decisions(scheduler.decide(0.0))
    assert start.upstream == "u1"


def test_batch_request_starts_its_tasks_individually():
    scheduler = make_scheduler(workload("tally", Kind.BATCH))
    submit(scheduler, "tally", 0.0, tasks=10, deadline_s=2.0)
    starts = start_decisions(scheduler.decide(0.0))
    assert [start.index for start in starts] == list(range(8))
    assert scheduler.decide(3.0) == []
    finish_all(scheduler, starts, 4.0)
    assert [start.index for start in start_decisions(scheduler.decide(4.0))] == [8, 9]


def run_flood(scheduler, name, *, per_ms, left_s, until_s=0.6, actions=None):
    """Submit `per_ms` requests each millisecond and return waits and refusals.

    Parameters
    ----------
    scheduler : Scheduler
    name : str
        Workload of the requests.
    per_ms : int
        Requests per millisecond.
    left_s : float
        Time from the submission of a request to its deadline.
    until_s : float, default=0.6
        Duration of the flood.
    actions : mapping of int to callable, optional
        Called with the current time, by the millisecond at which they are due.

    Returns
    -------
    waits : list of (float, float)
        Time of each start and the time that its request had waited.
    refused : list of float
        Time of each refusal.
    """
    waits, refused, submitted_at_s = [], [], {}
    ends: dict[str, float] = {}
    run_s = 0.2
    for step in range(int(until_s * 1000)):
        now = 1.0 + step / 1000
        if actions is not None and step in actions:
            actions[step](now)
        for task_id in [key for key, end_s in ends.items() if end_s <= now]:
            del ends[task_id]
            scheduler.finish(task_id, Outcome.ANSWERED, now, run_s=run_s)
        for _ in range(per_ms):
            req = Request(f"f{next(REQUEST_NUMBERS)}", name, now + left_s)
            submitted_at_s[req.id] = now
            if scheduler.submit(req, now) is not None:
                refused.append(now)
        for decision in scheduler.decide(now):
            if isinstance(decision, Start):
                waits.append((now, now - submitted_at_s.get(decision.request_id, now)))
                ends[decision.task_id] = now + run_s
            elif isinstance(decision, Refuse):
                refused.append(now)
                assert decision.refusal.verdict is Verdict.NOT_RUN
                hint_s = decision.refusal.retry_after_s
                assert hint_s is not None
                assert 0.0 < hint_s <= 10.0
    return waits, refused


def test_urgent_flood_requests_start_at_once_or_are_refused():
    checks = workload("checks", urgency=Urgency.URGENT, queue_limit=10_000)
    scheduler = make_scheduler(checks, upstreams=6)
    waits, refused = run_flood(scheduler, "checks", per_ms=2, left_s=3.0)
    assert all(wait_s == 0.0 for now, wait_s in waits if now > 1.25)
    assert len(waits) >= 48 * 2
    assert len(refused) > 800


def test_non_urgent_flood_is_queued():
    orders = workload("orders", queue_limit=10_000)
    _, refused = run_flood(
        make_scheduler(orders, upstreams=6), "orders", per_ms=2, left_s=3.0
    )
    assert refused == []


def test_urgent_flood_with_distant_deadlines_is_queued():
    checks = workload("checks", urgency=Urgency.URGENT, queue_limit=10_000)
    scheduler = make_scheduler(checks, upstreams=6)
    assert run_flood(scheduler, "checks", per_ms=2, left_s=60.0)[1] == []


def test_gang_within_floor_starts_during_flood_of_single_tasks():
    tally = workload("tally", Kind.GANG, floor=0.25, timeout_s=10.0)
    checks = workload("checks", urgency=Urgency.URGENT, queue_limit=10_000)
    scheduler = make_scheduler(tally, checks, upstreams=6)
    actions = {400: lambda now: submit(scheduler, "tally", now, tasks=12)}
    run_flood(scheduler, "checks", per_ms=2, left_s=60.0, until_s=0.5, actions=actions)
    assert running_count(scheduler, "tally") == 12


def test_refusal_of_adopted_request_says_it_may_have_run():
    scheduler = make_scheduler(workload("a", queue_limit=0))
    scheduler.adopt(RunningTask("t", "q", "a", "u0", DEMAND), 0.0)
    refusal = scheduler.submit(Request("q", "a", 10.0), 0.0)
    assert refusal is not None
    assert refusal.verdict is Verdict.MAY_HAVE_RUN


def test_idle_deleted_workload_is_removed():
    scheduler = make_scheduler(workload("a"))
    scheduler.apply_config(config(workload("b"), revision=2), 1.0)
    assert [load.workload for load in scheduler.summary(1.0).workloads] == ["b"]
    scheduler.check_invariants()


def test_admitted_request_is_removed_from_refusals():
    scheduler = make_scheduler(workload("a", queue_limit=1))
    submit(scheduler, "a", 0.0)
    req = Request("again", "a", 100.0)
    assert scheduler.submit(req, 0.0) is not None
    scheduler.decide(0.0)
    assert scheduler.submit(req, 0.0) is None
    assert scheduler.refusals.find("again") is None


def test_no_capacity_is_reserved_for_unadmitted_workload():
    checks = workload("checks", urgency=Urgency.URGENT, floor=0.5)
    scheduler = make_scheduler(checks, workload("a"), checks=ShareRule(admit=False))
    submit(scheduler, "checks", 0.0, times=20)
    submit(scheduler, "a", 0.0, times=20)
    assert len(start_decisions(scheduler.decide(0.0))) == 8


def test_no_capacity_is_reserved_for_workload_at_team_quota():
    checks = workload("checks", urgency=Urgency.URGENT, floor=0.5, team="t")
    both = config(checks, workload("a"))
    scheduler = make_scheduler()
    quota = replace(both, revision=2, teams={"t": Team("t", quota=0.25)})
    scheduler.apply_config(quota, 0.0)
    submit(scheduler, "checks", 0.0, times=20)
    assert len(start_decisions(scheduler.decide(0.0))) == 2
    submit(scheduler, "a", 0.5, times=20)
    assert len(start_decisions(scheduler.decide(0.5))) == 6


def test_requests_are_queued_without_any_upstream():
    scheduler = make_scheduler(workload("a"), upstreams=0)
    submit(scheduler, "a", 0.0, times=10, deadline_s=4.0)
    scheduler.decide(0.0)
    assert submit(scheduler, "a", 2.0, deadline_s=6.0) == [None]


def test_adopted_tasks_without_run_time_do_not_update_estimates():
    scheduler = make_scheduler(workload("a", timeout_s=30.0))
    for number in range(5):
        task = RunningTask(f"t{number}", f"r{number}", "a", "u0", DEMAND)
        scheduler.adopt(task, 0.0)
        scheduler.finish(task.task_id, Outcome.ANSWERED, 0.01)
    assert scheduler._cluster.workload_states["a"].run_times.mean_estimate_s == 30.0
