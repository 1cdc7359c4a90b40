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
    StopWay,
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
        workloads={item.name: item for item in workloads},
        presets={"ordinary": Preset("ordinary", rules=rules)},
    )


def scheduler_of(*workloads, upstreams=1, capacity=CAPACITY, **rules):
    scheduler = Scheduler()
    scheduler.apply_config(config(*workloads, **rules), 0.0)
    for number in range(upstreams):
        spec = UpstreamSpec(f"u{number}", "hobart", f"r{number % 3}", capacity)
        scheduler.add_upstream(spec, 0.0)
    return scheduler


IDS = count()


def submit(scheduler, name, now, *, times=1, tasks=1, deadline_s=1000.0, **options):
    refusals = []
    for _ in range(times):
        req = Request(f"q{next(IDS)}", name, deadline_s, tasks=tasks, **options)
        refusals.append(scheduler.submit(req, now))
    return refusals


def started(decisions, scheduler=None):
    return [item for item in decisions if isinstance(item, Start)]


def running(scheduler, name, now=0.0):
    loads = {load.workload: load for load in scheduler.summary(now).workloads}
    return loads[name].running


def finish_all(scheduler, starts, now, run_s=1.0):
    for start in starts:
        scheduler.finish(start.task_id, Outcome.ANSWERED, now, run_s=run_s)


def test_scheduler_satisfies_its_protocol():
    scheduler: SchedulerProtocol = Scheduler()
    assert scheduler.decide(0.0) == []


def test_waiting_work_starts_up_to_the_slots_and_follows_as_they_fall_free():
    scheduler = scheduler_of(workload("tally", Kind.BATCH))
    assert submit(scheduler, "tally", 0.0, times=10) == [None] * 10
    starts = started(scheduler.decide(0.0))
    assert len(starts) == 8
    assert started(scheduler.decide(0.0)) == []
    finish_all(scheduler, starts[:1], 1.0)
    assert len(started(scheduler.decide(1.0))) == 1
    scheduler.check_invariants()


def test_shares_follow_the_weights():
    scheduler = scheduler_of(workload("a"), workload("b", weight=3.0))
    submit(scheduler, "a", 0.0, times=20)
    submit(scheduler, "b", 0.0, times=20)
    scheduler.decide(0.0)
    assert (running(scheduler, "a"), running(scheduler, "b")) == (2, 6)


def test_queue_limit_refuses_with_holders_and_a_retry_hint():
    scheduler = scheduler_of(workload("a", queue_limit=2))
    submit(scheduler, "a", 0.0, times=2)
    scheduler.decide(0.0)
    refusal = submit(scheduler, "a", 0.0, times=3)[2]
    assert refusal.reason is Reason.QUEUE_FULL
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.holders == ("a",)
    assert refusal.retry_after_s > 0.0
    (counted,) = scheduler.refusals.counts()
    assert (counted.workload, counted.requests) == ("a", 1)


def test_demand_that_no_upstream_holds_can_never_run():
    large = Workload("large", Kind.BATCH, Resources(9000, 1))
    scheduler = scheduler_of(large)
    assert submit(scheduler, "large", 0.0)[0].reason is Reason.CAN_NEVER_RUN


def test_work_that_fitted_a_lost_upstream_waits_for_it():
    large = Workload("large", Kind.BATCH, Resources(9000, 1))
    scheduler = scheduler_of(large)
    scheduler.add_upstream(UpstreamSpec("big", "z", "r", CAPACITY * 2), 0.0)
    scheduler.remove_upstream("big", 1.0)
    assert submit(scheduler, "large", 2.0) == [None]
    assert submit(scheduler, "large", 302.0)[0].reason is Reason.CAN_NEVER_RUN


def test_expired_request_is_refused_as_not_run():
    scheduler = scheduler_of(workload("a"))
    submit(scheduler, "a", 0.0, times=9, deadline_s=5.0)
    scheduler.decide(0.0)
    assert scheduler.next_decision_s(4.99) == 5.0
    (refuse,) = scheduler.decide(5.0)
    assert isinstance(refuse, Refuse)
    assert refuse.refusal.reason is Reason.EXPIRED
    assert refuse.refusal.verdict is Verdict.NOT_RUN
    assert scheduler.refusals.find(refuse.request_id) == refuse.refusal


def test_deadline_that_the_learned_rate_cannot_meet_is_refused_at_once():
    scheduler = scheduler_of(workload("a"))
    submit(scheduler, "a", 0.0, times=100)
    starts = started(scheduler.decide(0.0))
    for second in range(1, 4):
        finish_all(scheduler, starts, float(second))
        starts = started(scheduler.decide(float(second)))
    refusal = submit(scheduler, "a", 3.0, deadline_s=5.0)[0]
    assert refusal.reason is Reason.DEADLINE_UNREACHABLE
    # 68 tasks wait and about 8 start each second.
    assert 3.0 < refusal.retry_after_s < 8.0
    assert submit(scheduler, "a", 3.0, deadline_s=30.0) == [None]


def test_preset_that_does_not_admit_refuses_new_requests_only():
    scheduler = scheduler_of(workload("a"))
    submit(scheduler, "a", 0.0)
    closed = config(workload("a"), revision=2, a=ShareRule(admit=False))
    scheduler.apply_config(closed, 0.0)
    assert submit(scheduler, "a", 0.0)[0].reason is Reason.NOT_ADMITTED
    assert len(started(scheduler.decide(0.0))) == 1


def test_queue_of_a_deleted_workload_is_refused_and_what_runs_is_kept():
    scheduler = scheduler_of(workload("a"))
    submit(scheduler, "a", 0.0, times=10)
    starts = started(scheduler.decide(0.0))
    scheduler.apply_config(config(workload("b"), revision=2), 1.0)
    assert scheduler.next_decision_s(1.0) == 1.0
    refused = scheduler.decide(1.0)
    assert [item.refusal.reason for item in refused] == [Reason.UNKNOWN_WORKLOAD] * 2
    assert running(scheduler, "a") == 8
    finish_all(scheduler, starts, 2.0)
    assert {load.workload for load in scheduler.summary(2.0).workloads} == {"b"}
    scheduler.check_invariants()


def test_older_configuration_changes_nothing():
    scheduler = scheduler_of(workload("a"))
    scheduler.apply_config(config(workload("b"), revision=0), 0.0)
    assert submit(scheduler, "a", 0.0) == [None]


def test_cancelled_request_never_starts_and_running_tasks_are_named():
    scheduler = scheduler_of(workload("a"))
    submit(scheduler, "a", 0.0, times=9)
    starts = started(scheduler.decide(0.0))
    last = f"q{next(IDS) - 1}"
    found = scheduler.cancel(last, 0.0)
    assert (found.found, found.was_queued, found.running) == (True, True, ())
    found = scheduler.cancel(starts[0].request_id, 0.0)
    assert (found.found, found.was_queued) == (True, False)
    assert [task.task_id for task in found.running] == [starts[0].task_id]
    assert not scheduler.cancel("unknown", 0.0).found
    finish_all(scheduler, starts, 1.0)
    assert scheduler.decide(1.0) == []


def test_ceiling_holds_on_an_idle_fleet():
    scheduler = scheduler_of(workload("a", ceiling=0.5))
    submit(scheduler, "a", 0.0, times=10)
    assert len(started(scheduler.decide(0.0))) == 4


def test_floor_of_the_least_urgent_goes_before_the_most_urgent():
    floored = workload("tally", Kind.BATCH, floor=0.5, urgency=Urgency.DEFERRABLE)
    scheduler = scheduler_of(floored, workload("checks", urgency=Urgency.URGENT))
    submit(scheduler, "checks", 0.0, times=20)
    submit(scheduler, "tally", 0.0, times=20)
    scheduler.decide(0.0)
    assert (running(scheduler, "tally"), running(scheduler, "checks")) == (4, 4)


def test_lent_floor_comes_back_by_stopping_preemptible_tasks():
    lender = workload("orders", floor=0.5)
    borrower = workload("tally", Kind.BATCH, preemptible=True, idempotent=True)
    scheduler = scheduler_of(lender, borrower)
    submit(scheduler, "tally", 0.0, times=20)
    assert len(started(scheduler.decide(0.0))) == 8
    submit(scheduler, "orders", 1.0, times=10)
    assert scheduler.decide(1.0) == []
    stops = [item for item in scheduler.decide(1.5) if isinstance(item, Stop)]
    assert [stop.way for stop in stops] == [StopWay.STOP] * 4
    assert scheduler.decide(1.6) == []
    for stop in stops:
        scheduler.finish(stop.task_id, Outcome.STOPPED, 1.7)
    scheduler.decide(1.7)
    assert (running(scheduler, "orders"), running(scheduler, "tally")) == (4, 4)


def test_work_that_is_not_idempotent_is_checkpointed_and_never_stopped():
    borrower = workload("tally", Kind.BATCH, preemptible=True)
    scheduler = scheduler_of(workload("orders", floor=0.5), borrower)
    submit(scheduler, "tally", 0.0, times=20)
    scheduler.decide(0.0)
    submit(scheduler, "orders", 1.0)
    scheduler.decide(1.0)
    (stop,) = scheduler.decide(2.0)
    assert stop.way is StopWay.CHECKPOINT


def test_gang_starts_whole_or_not_at_all():
    scheduler = scheduler_of(workload("gang", Kind.GANG), upstreams=2)
    submit(scheduler, "gang", 0.0, tasks=10)
    submit(scheduler, "gang", 0.0, tasks=7)
    starts = started(scheduler.decide(0.0))
    assert len({start.request_id for start in starts}) == 1
    assert [start.index for start in starts] == list(range(10))


def test_gang_of_the_whole_fleet_starts_under_a_flood_of_singles():
    gang = workload("gang", Kind.GANG, timeout_s=10.0)
    flood = workload("flood", weight=100.0, timeout_s=10.0, queue_limit=100_000)
    scheduler = scheduler_of(gang, flood, upstreams=3)
    submit(scheduler, "flood", 0.0, times=2000)
    ends = {
        start.task_id: 1.0 + 0.01 * n
        for n, start in enumerate(started(scheduler.decide(0.0)))
    }
    submit(scheduler, "gang", 0.0, tasks=24)
    now = 0.0
    while running(scheduler, "gang") == 0:
        now += 0.05
        assert now < 1.0 + 2 * 10.0
        for task_id in [key for key, end in ends.items() if end <= now]:
            del ends[task_id]
            scheduler.finish(task_id, Outcome.ANSWERED, now, run_s=1.0)
        for start in started(scheduler.decide(now)):
            ends[start.task_id] = now + 1.0
    assert running(scheduler, "gang") == 24


def test_two_gangs_of_more_than_half_the_fleet_both_run():
    scheduler = scheduler_of(
        workload("g1", Kind.GANG), workload("g2", Kind.GANG), upstreams=2
    )
    submit(scheduler, "g1", 0.0, tasks=10)
    submit(scheduler, "g2", 0.0, tasks=10)
    first = started(scheduler.decide(0.0))
    assert len(first) == 10
    assert started(scheduler.decide(2.0)) == []
    finish_all(scheduler, first, 3.0)
    assert len(started(scheduler.decide(3.0))) == 10


def test_request_that_waited_too_long_goes_before_urgent_work():
    slow = workload("slow", urgency=Urgency.DEFERRABLE)
    scheduler = scheduler_of(slow, workload("checks", urgency=Urgency.URGENT))
    submit(scheduler, "checks", 0.0, times=500)
    submit(scheduler, "slow", 0.0, times=5)
    starts = started(scheduler.decide(0.0))
    for second in range(1, 31):
        finish_all(scheduler, starts, float(second))
        starts = started(scheduler.decide(float(second)))
    assert running(scheduler, "slow") == 1


def test_urgent_work_finds_room_during_a_flood_of_other_work():
    checks = workload("checks", urgency=Urgency.URGENT)
    scheduler = scheduler_of(checks, workload("flood", queue_limit=9999), upstreams=6)
    submit(scheduler, "checks", 0.0)
    finish_all(scheduler, started(scheduler.decide(0.0)), 0.1, run_s=0.1)
    submit(scheduler, "flood", 0.1, times=1000)
    scheduler.decide(0.1)
    submit(scheduler, "checks", 0.2)
    assert len(started(scheduler.decide(0.2))) == 1


def test_adopted_task_holds_room_and_is_not_counted_twice():
    scheduler = scheduler_of(workload("a"))
    task = RunningTask("t", "q", "a", "u0", DEMAND)
    scheduler.adopt(task, 0.0)
    scheduler.adopt(task, 0.0)
    assert running(scheduler, "a") == 1
    assert scheduler.summary(0.0).free_slots == 7
    other = RunningTask("t", "q", "a", "u1", DEMAND)
    with pytest.raises(SchedulingError):
        scheduler.adopt(other, 0.0)


def test_adopted_task_of_an_unknown_workload_holds_room_until_it_ends():
    scheduler = scheduler_of(workload("a"))
    scheduler.adopt(RunningTask("t", "q", "gone", "u0", DEMAND), 0.0)
    assert submit(scheduler, "gone", 0.0)[0].reason is Reason.UNKNOWN_WORKLOAD
    scheduler.finish("t", Outcome.LOST, 1.0)
    assert scheduler.summary(1.0).free_slots == 8


def test_removed_upstream_returns_its_tasks_and_their_ends_change_nothing():
    scheduler = scheduler_of(workload("a"), upstreams=2)
    submit(scheduler, "a", 0.0, times=16)
    starts = started(scheduler.decide(0.0))
    lost = scheduler.remove_upstream("u0", 1.0)
    assert len(lost) == 8
    finish_all(scheduler, starts, 2.0)
    assert scheduler.summary(2.0).free_slots == 8
    scheduler.check_invariants()


def test_drained_upstream_gets_nothing_more_until_it_is_added_again():
    scheduler = scheduler_of(workload("a"), upstreams=1)
    scheduler.drain_upstream("u0", 0.0)
    submit(scheduler, "a", 0.0)
    assert started(scheduler.decide(0.0)) == []
    scheduler.add_upstream(UpstreamSpec("u0", "hobart", "r0", CAPACITY), 1.0)
    assert len(started(scheduler.decide(1.0))) == 1


def test_retries_stop_when_their_budget_is_used_up():
    scheduler = scheduler_of(workload("a"))
    refusals = submit(scheduler, "a", 0.0, times=101, attempt=2)
    assert refusals[:100] == [None] * 100
    assert refusals[100].reason is Reason.NO_CAPACITY
    assert refusals[100].verdict is Verdict.MAY_HAVE_RUN


def test_failed_attempt_avoids_the_upstream_that_failed_it():
    scheduler = scheduler_of(workload("a"), upstreams=2)
    submit(scheduler, "a", 0.0, attempt=2, avoid=("u0",))
    (start,) = started(scheduler.decide(0.0))
    assert start.upstream == "u1"


def test_batch_request_of_several_tasks_starts_them_one_by_one():
    scheduler = scheduler_of(workload("tally", Kind.BATCH))
    submit(scheduler, "tally", 0.0, tasks=10, deadline_s=2.0)
    starts = started(scheduler.decide(0.0))
    assert [start.index for start in starts] == list(range(8))
    assert scheduler.decide(3.0) == []
    finish_all(scheduler, starts, 4.0)
    assert [start.index for start in started(scheduler.decide(4.0))] == [8, 9]


def flood(scheduler, name, *, per_ms, left_s, until_s=0.6, actions=None):
    """Submit a number each millisecond and return waits of starts and refusals."""
    waits, refused, begun = [], [], {}
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
            req = Request(f"f{next(IDS)}", name, now + left_s)
            begun[req.id] = now
            if scheduler.submit(req, now) is not None:
                refused.append(now)
        for decision in scheduler.decide(now):
            if isinstance(decision, Start):
                waits.append((now, now - begun.get(decision.request_id, now)))
                ends[decision.task_id] = now + run_s
            elif isinstance(decision, Refuse):
                refused.append(now)
                assert decision.refusal.verdict is Verdict.NOT_RUN
                hint_s = decision.refusal.retry_after_s
                assert hint_s is not None
                assert 0.0 < hint_s <= 10.0
    return waits, refused


def test_flood_of_urgent_work_is_refused_at_once_and_the_rest_starts_at_once():
    checks = workload("checks", urgency=Urgency.URGENT, queue_limit=10_000)
    scheduler = scheduler_of(checks, upstreams=6)
    waits, refused = flood(scheduler, "checks", per_ms=2, left_s=3.0)
    assert all(wait_s == 0.0 for now, wait_s in waits if now > 1.25)
    assert len(waits) >= 48 * 2
    assert len(refused) > 800


def test_flood_of_work_that_is_not_urgent_is_queued():
    orders = workload("orders", queue_limit=10_000)
    _, refused = flood(
        scheduler_of(orders, upstreams=6), "orders", per_ms=2, left_s=3.0
    )
    assert refused == []


def test_flood_of_urgent_work_with_distant_deadlines_is_queued():
    checks = workload("checks", urgency=Urgency.URGENT, queue_limit=10_000)
    scheduler = scheduler_of(checks, upstreams=6)
    assert flood(scheduler, "checks", per_ms=2, left_s=60.0)[1] == []


def test_gang_within_its_floor_waits_for_room_while_singles_flood():
    tally = workload("tally", Kind.GANG, floor=0.25, timeout_s=10.0)
    checks = workload("checks", urgency=Urgency.URGENT, queue_limit=10_000)
    scheduler = scheduler_of(tally, checks, upstreams=6)
    actions = {400: lambda now: submit(scheduler, "tally", now, tasks=12)}
    flood(scheduler, "checks", per_ms=2, left_s=60.0, until_s=0.5, actions=actions)
    assert running(scheduler, "tally") == 12


def test_refusal_of_a_request_that_was_adopted_too_says_that_it_may_have_run():
    scheduler = scheduler_of(workload("a", queue_limit=0))
    scheduler.adopt(RunningTask("t", "q", "a", "u0", DEMAND), 0.0)
    refusal = scheduler.submit(Request("q", "a", 10.0), 0.0)
    assert refusal is not None
    assert refusal.verdict is Verdict.MAY_HAVE_RUN


def test_deleted_workload_that_is_idle_is_forgotten():
    scheduler = scheduler_of(workload("a"))
    scheduler.apply_config(config(workload("b"), revision=2), 1.0)
    assert [load.workload for load in scheduler.summary(1.0).workloads] == ["b"]
    scheduler.check_invariants()


def test_request_that_is_taken_in_later_counts_as_refused_no_more():
    scheduler = scheduler_of(workload("a", queue_limit=1))
    submit(scheduler, "a", 0.0)
    req = Request("again", "a", 100.0)
    assert scheduler.submit(req, 0.0) is not None
    scheduler.decide(0.0)
    assert scheduler.submit(req, 0.0) is None
    assert scheduler.refusals.find("again") is None


def test_no_room_is_reserved_for_a_workload_that_is_not_admitted():
    checks = workload("checks", urgency=Urgency.URGENT, floor=0.5)
    scheduler = scheduler_of(checks, workload("a"), checks=ShareRule(admit=False))
    submit(scheduler, "checks", 0.0, times=20)
    submit(scheduler, "a", 0.0, times=20)
    assert len(started(scheduler.decide(0.0))) == 8


def test_no_room_is_reserved_for_a_workload_whose_team_is_at_its_quota():
    checks = workload("checks", urgency=Urgency.URGENT, floor=0.5, team="t")
    both = config(checks, workload("a"))
    scheduler = scheduler_of()
    quota = replace(both, revision=2, teams={"t": Team("t", quota=0.25)})
    scheduler.apply_config(quota, 0.0)
    submit(scheduler, "checks", 0.0, times=20)
    assert len(started(scheduler.decide(0.0))) == 2
    submit(scheduler, "a", 0.5, times=20)
    assert len(started(scheduler.decide(0.5))) == 6


def test_requests_wait_while_no_upstream_is_in_use():
    scheduler = scheduler_of(workload("a"), upstreams=0)
    submit(scheduler, "a", 0.0, times=10, deadline_s=4.0)
    scheduler.decide(0.0)
    assert submit(scheduler, "a", 2.0, deadline_s=6.0) == [None]


def test_nothing_is_learned_of_adopted_tasks_without_a_run_time():
    scheduler = scheduler_of(workload("a", timeout_s=30.0))
    for number in range(5):
        task = RunningTask(f"t{number}", f"r{number}", "a", "u0", DEMAND)
        scheduler.adopt(task, 0.0)
        scheduler.finish(task.task_id, Outcome.ANSWERED, 0.01)
    assert scheduler._book.states["a"].run_times.typical_s == 30.0
