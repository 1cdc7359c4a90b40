"""Room is kept for a gang only while it can start there, at a time that can be told.

Regression (review case 9): a gang that had lost an upstream of its kind for good kept
the whole idle fleet from other jobs, since upstreams that it may not use counted.
"""

import pytest
from dispatch_world import (
    URGENT_QUEUE,
    World,
    make_catalog,
    make_entry,
    make_job,
    make_step,
)

from papayadyke_core.dispatch import (
    Advice,
    AdvicePolicy,
    Catalog,
    Dispatcher,
    DispatchSettings,
    EndedRun,
    QueuePolicy,
    RunEnd,
    StagedJobSpec,
    StartOutcome,
    StepId,
    UpstreamReport,
)
from papayadyke_core.dispatch._progress import LostContact
from papayadyke_core.dispatch._reservations import list_slot_times

GANGS, BATCH = "h/gangs/", "h/batch/"
MEMBERS = 7
# Seconds; longer than what may start on upstreams that are kept for a gang anyway.
LONG_S = 9.0


def make_dispatcher(*, advice=None, **settings):
    """Return a dispatcher with a small upstream of kind a, and seven of kind b."""
    queues = {
        GANGS: QueuePolicy("g", "h", "/gangs/", "service", 1, 3, 9.0, 60.0, advice),
        BATCH: QueuePolicy("b", "h", "/batch/", "service", 2, 3, 9.0, 60.0),
    }
    dispatcher = Dispatcher(DispatchSettings(lease_s=5.0, **settings))
    dispatcher.set_catalog(Catalog(1, queues))
    for number in range(MEMBERS + 1):
        label = "b" if number else "a"
        add_upstream(dispatcher, f"u{number}", label)
    return dispatcher


def add_upstream(dispatcher, name, label, **changes):
    entry = make_entry(name, labels=frozenset({label}), **changes)
    dispatcher.add_or_update_upstream(entry, 0.0)
    dispatcher.process_report(name, UpstreamReport(1, 0.0, 0.0), 0.0)


def submit(dispatcher, name, queue, count, *, now=0.0, **changes):
    step = make_step(count, **{"estimate_s": LONG_S, **changes})
    dispatcher.submit(StagedJobSpec(name, queue, "p", (step,)), now=now)


def submit_gang(dispatcher, name="gang", *, count=MEMBERS, **changes):
    values = {"cpu_millis": 4000, "label": "b", "is_gang": True, **changes}
    submit(dispatcher, name, GANGS, count, **values)


def list_started(dispatcher, now):
    return {order.task.job_id for order in dispatcher.tick(now, now).starts}


def lose(dispatcher):
    dispatcher.mark_unreachable("u7")


def drain(dispatcher):
    entry = make_entry("u7", labels=frozenset("b"), is_draining=True, remaining_s=9.0)
    dispatcher.add_or_update_upstream(entry, 0.0)


def set_aside(dispatcher):
    dispatcher.upstreams["u7"].set_aside_until_s = 60.0


def shrink(dispatcher):
    dispatcher.add_or_update_upstream(
        make_entry("u7", cores=3, labels=frozenset("b")), 0.0
    )


def run_service(dispatcher):
    """Fill one upstream of kind b in part with a task that lasts."""
    submit(dispatcher, "service", BATCH, 1, label="b", is_long_running=True)
    assert list_started(dispatcher, 0.05) == {"service"}


@pytest.mark.parametrize(
    "hinder", [lose, drain, set_aside, shrink, run_service], ids=lambda f: f.__name__
)
def test_gang_that_fits_nowhere_keeps_no_room(hinder):
    """Guards against an idle fleet that is kept for work which cannot start."""
    dispatcher = make_dispatcher()
    hinder(dispatcher)
    submit_gang(dispatcher)
    submit(dispatcher, "other", BATCH, 2, cpu_millis=4000)
    assert list_started(dispatcher, 0.1) == {"other"}
    assert dispatcher.list_reservations() == []


@pytest.mark.parametrize(
    "needs",
    [
        {"count": MEMBERS + 1},
        {"count": 2 * MEMBERS, "cpu_millis": 1000, "max_per_upstream": 1},
        {"accelerators": 1},
        {"memory_mb": 100_001},
        {"label": "c"},
        {"label": "", "count": 9},
    ],
    ids=["kind", "per upstream", "accelerators", "memory", "label", "too many"],
)
def test_gang_that_never_fits_keeps_no_room(needs):
    dispatcher = make_dispatcher()
    submit_gang(dispatcher, **needs)
    submit(dispatcher, "other", BATCH, 2, cpu_millis=4000)
    assert list_started(dispatcher, 0.1) == {"other"}
    assert dispatcher.list_reservations() == []


def test_gang_with_an_unanswered_start_keeps_no_room():
    """Guards against an idle fleet while a member may start at one upstream only."""
    dispatcher = make_dispatcher()
    submit_gang(dispatcher)
    orders = dispatcher.tick(0.1, 0.1).starts
    for order in orders:
        outcome = StartOutcome.STARTED
        if order.task.number == 0:
            outcome, silent = StartOutcome.UNKNOWN, order.upstream_id
        dispatcher.process_start_outcome(order, outcome, 0.2)
    for order in orders:
        if order.upstream_id != silent:
            end = EndedRun(1, order.task, order.attempt, RunEnd.BROKEN)
            report = UpstreamReport(1, 0.3, 0.3, [], [end])
            dispatcher.process_report(order.upstream_id, report, 0.3)
    submit(dispatcher, "other", BATCH, 3, cpu_millis=4000, now=0.3)
    assert "other" in list_started(dispatcher, 0.4)
    assert dispatcher.list_reservations() == []


def test_gang_whose_tickets_cannot_be_had_keeps_no_room():
    """Guards against an idle fleet while the advisory service is away."""
    policy = AdvicePolicy(0.1, 0.0, 2.0)
    dispatcher = make_dispatcher(advice=policy)
    dispatcher.advice_slots = 4
    submit_gang(dispatcher)
    step = StepId("gang", 0, 0)
    (request,) = dispatcher.tick(0.1, 0.1).advice
    tickets = dict.fromkeys(request.upstream_ids, "t")
    run_service(dispatcher)
    dispatcher.process_advice(Advice(step, request.upstream_ids, tickets, 2.0, 0.1))
    # Its tickets have expired, and new ones cannot be had.
    for at_s in (2.1, 2.5, 2.9):
        if dispatcher.tick(at_s, at_s).advice:
            dispatcher.process_advice_failure(step, at_s)
    submit(dispatcher, "other", BATCH, 2, cpu_millis=4000, now=3.0)
    assert list_started(dispatcher, 3.0) == {"other"}
    assert dispatcher.list_reservations() == []


def fill(dispatcher, *, estimate_s):
    """Fill one upstream of kind b for some seconds."""
    submit(
        dispatcher,
        "filler",
        BATCH,
        1,
        cpu_millis=4000,
        label="b",
        estimate_s=estimate_s,
    )
    assert list_started(dispatcher, 0.0) == {"filler"}


def test_gang_that_fits_once_a_run_ends_keeps_its_room_until_then():
    """Guards against a gang that never starts beside a stream of other work."""
    dispatcher = make_dispatcher()
    fill(dispatcher, estimate_s=5.0)
    submit_gang(dispatcher)
    submit(dispatcher, "other", BATCH, 8, cpu_millis=4000)
    starts = dispatcher.tick(0.1, 0.1).starts
    assert {order.upstream_id for order in starts} == {"u0"}
    (held,) = dispatcher.list_reservations()
    assert (held.step_id.job_id, held.members) == ("gang", MEMBERS)
    assert held.upstream_ids == {f"u{number}" for number in range(1, MEMBERS + 1)}
    assert held.starts_s == pytest.approx(5.0, rel=0.1)
    assert held.since_s == 0.1
    dispatcher.tick(0.3, 0.3)
    (held,) = dispatcher.list_reservations()
    assert held.since_s == 0.1


def test_task_that_lasts_does_not_start_in_kept_room_by_its_short_estimate():
    """Guards against a gang that never starts: the task does not end."""
    dispatcher = make_dispatcher()
    fill(dispatcher, estimate_s=5.0)
    submit_gang(dispatcher)
    submit(dispatcher, "s", BATCH, 1, estimate_s=0.5, label="b", is_long_running=True)
    assert list_started(dispatcher, 0.1) == set()


def test_run_that_stands_still_ends_the_reservation():
    """Guards against room that is kept for good, beside a task that never ends."""
    dispatcher = make_dispatcher()
    fill(dispatcher, estimate_s=2.0)
    submit_gang(dispatcher)
    submit(dispatcher, "other", BATCH, 8, estimate_s=4.0)
    dispatcher.tick(0.1, 0.1)
    assert dispatcher.list_reservations()[0].starts_s == pytest.approx(2.0, rel=0.1)
    dispatcher.tick(8.0, 8.0)
    assert dispatcher.list_reservations()[0].starts_s == pytest.approx(14.0, rel=0.1)


@pytest.mark.parametrize("is_long_running", [False, True])
def test_job_that_runs_nothing_is_not_kept_out_for_long(is_long_running):
    """Guards against a job that waits for seconds beside room for it twice over."""
    catalog = make_catalog(priority=1)
    world = World(catalog, *(make_entry(f"u{number}") for number in range(4)))
    world.submit(make_job("filler", make_step(1, cpu_millis=4000, estimate_s=60.0)))
    world.run(0.3, after_s=60.0)
    gang = make_step(4, cpu_millis=4000, is_gang=True, estimate_s=60.0)
    world.submit(make_job("gang", gang, queue=URGENT_QUEUE))
    step = make_step(2, estimate_s=90.0, is_long_running=is_long_running)
    world.submit(make_job("other", step))
    world.run(1.0, after_s=60.0)
    assert {task.job_id for _, task, _ in world.running()} == {"filler"}
    world.run(1.0, after_s=60.0)
    assert {task.job_id for _, task, _ in world.running()} == {"filler", "other"}
    # One task of a job is enough; each task that lasts must run.
    others = [task for _, task, _ in world.running() if task.job_id == "other"]
    assert len(others) == (2 if is_long_running else 1)


def test_reservation_that_is_not_made_leaves_its_turn_to_another_gang():
    """Guards against gangs that cannot start, before one that could."""
    dispatcher = make_dispatcher(reserving_gangs=1, reserved_share=0.0)
    fill(dispatcher, estimate_s=60.0)
    submit_gang(dispatcher, "a-never", count=MEMBERS + 1)
    submit_gang(dispatcher, "gang")
    dispatcher.tick(0.1, 0.1)
    (held,) = dispatcher.list_reservations()
    assert held.step_id.job_id == "gang"


def test_successor_keeps_no_room_for_a_gang_that_cannot_start():
    """Guards against an idle fleet after a change of the decider."""
    world = World(
        make_catalog(),
        make_entry("a", labels=frozenset("a")),
        *(make_entry(f"b{number}", labels=frozenset("b")) for number in range(3)),
    )
    gang = make_step(3, cpu_millis=4000, is_gang=True, label="b", estimate_s=60.0)
    world.submit(make_job("gang", gang))
    world.run(1.0, after_s=60.0)
    del world.upstreams["b2"]
    world.dispatcher.mark_upstream_unlisted("b2")
    world.take_over()
    world.submit(make_job("other", make_step(2, estimate_s=4.0)))
    world.run(20.0, after_s=4.0)
    assert world.get_state("other").value == "complete"
    assert world.dispatcher.list_reservations() == []


def test_slots_are_free_once_enough_runs_have_ended():
    dispatcher = make_dispatcher()
    for name, seconds in (("first", 2.0), ("second", 6.0)):
        submit(dispatcher, name, BATCH, 1, cpu_millis=1000, estimate_s=seconds)
        dispatcher.tick(0.0, 0.0)
    (name,) = {
        run.upstream_id
        for u in dispatcher.upstreams.values()
        for run in u.runs.values()
    }
    submit_gang(dispatcher, label="", cpu_millis=2000)
    step = dispatcher.jobs["gang"].steps[0, 0]
    times_s = list_slot_times(step, dispatcher.upstreams[name], 0.0)
    assert times_s == [pytest.approx(0.0), pytest.approx(6.0, rel=0.1)]


def test_no_upstream_is_kept_idle_for_a_suspect_that_never_fits_there():
    """Guards against an upstream that idles beside a task that lasts, for a suspect."""
    dispatcher = make_dispatcher()
    lasting = {"is_long_running": True, "max_per_upstream": 1}
    submit(dispatcher, "s", BATCH, MEMBERS, label="b", **lasting)
    assert list_started(dispatcher, 0.05) == {"s"}
    submit(dispatcher, "suspect", BATCH, 1, cpu_millis=4000, label="b", now=0.1)
    step = dispatcher.jobs["suspect"].steps[0, 0]
    step.crashes[0] = [LostContact("x", 1), LostContact("y", 1)]
    submit(dispatcher, "other", BATCH, 21, label="b", now=0.1)
    orders = dispatcher.tick(0.2, 0.2).starts
    assert [order.task.job_id for order in orders] == ["other"] * 21


def test_short_work_runs_on_an_upstream_that_is_kept_for_a_suspect():
    """Guards against room that idles while the suspect waits for other runs to end."""
    dispatcher = make_dispatcher()
    running = {"cpu_millis": 3000, "label": "b", "estimate_s": 20.0}
    submit(dispatcher, "long", BATCH, MEMBERS, **running)
    assert list_started(dispatcher, 0.05) == {"long"}
    submit(dispatcher, "suspect", BATCH, 1, label="b", now=0.1)
    step = dispatcher.jobs["suspect"].steps[0, 0]
    step.crashes[0] = [LostContact("x", 1), LostContact("y", 1)]
    submit(dispatcher, "other", BATCH, MEMBERS, label="b", estimate_s=5.0, now=0.1)
    submit(dispatcher, "later", BATCH, MEMBERS, label="b", estimate_s=40.0, now=0.1)
    orders = dispatcher.tick(0.2, 0.2).starts
    assert [order.task.job_id for order in orders] == ["other"] * MEMBERS


def test_no_upstream_is_kept_for_a_suspect_beside_runs_that_outlast_its_wait():
    """Guards against an upstream that is kept for 30 s and then is not idle either."""
    dispatcher = make_dispatcher()
    running = {"cpu_millis": 3000, "label": "b", "estimate_s": 60.0}
    submit(dispatcher, "long", BATCH, MEMBERS, **running)
    assert list_started(dispatcher, 0.05) == {"long"}
    submit(dispatcher, "suspect", BATCH, 1, label="b", now=0.1)
    step = dispatcher.jobs["suspect"].steps[0, 0]
    step.crashes[0] = [LostContact("x", 1), LostContact("y", 1)]
    submit(dispatcher, "other", BATCH, MEMBERS, label="b", estimate_s=90.0, now=0.1)
    orders = dispatcher.tick(0.2, 0.2).starts
    assert [order.task.job_id for order in orders] == ["other"] * MEMBERS
