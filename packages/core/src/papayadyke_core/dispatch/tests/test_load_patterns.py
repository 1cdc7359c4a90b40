"""Who waits and who goes first, by the load that makes it matter."""

from dispatch_world import QUEUE, World, make_catalog, make_entry, make_job, make_step

from papayadyke_core.dispatch import (
    Advice,
    AdvicePolicy,
    Catalog,
    Dispatcher,
    DispatchSettings,
    JobState,
    QueuePolicy,
    StagedJobSpec,
    UpstreamReport,
    choose_retry_after,
)

URGENT, BATCH = "h/urgent/", "h/batch/"


def make_dispatcher(*, upstreams=2, cores=4, advice=None, **settings):
    queues = {
        URGENT: QueuePolicy("u", "h", "/urgent/", "service", 0, 2, 1.5, 0.25, advice),
        BATCH: QueuePolicy("b", "h", "/batch/", "service", 1, 2, 4.0, 3.0, advice),
    }
    made = Dispatcher(DispatchSettings(lease_s=5.0, **settings))
    made.set_catalog(Catalog(1, queues))
    for number in range(upstreams):
        made.list_upstream(make_entry(f"u{number}", cores=cores))
        made.report(f"u{number}", UpstreamReport(1, 0.0, 0.0), 0.0)
    return made


def submit(made, name, queue, *steps, now=0.0, age_s=0.0):
    made.submit(StagedJobSpec(name, queue, "p", steps), now=now, age_s=age_s)


def started(orders):
    return [order.task.job_id for order in orders.starts]


def test_flood_of_batch_work_urgent_jobs_go_first():
    made = make_dispatcher()
    for number in range(20):
        submit(made, f"batch{number}", BATCH, make_step(4))
    submit(made, "check", URGENT, make_step(2))
    assert started(made.tick(0.1, 0.1))[:2] == ["check", "check"]


def test_overload_of_one_queue_the_least_work_goes_first():
    made = make_dispatcher(upstreams=1)
    submit(made, "a-large", BATCH, make_step(4, estimate_s=5.0))
    submit(made, "b-small", BATCH, make_step(1))
    assert started(made.tick(0.1, 0.1))[0] == "b-small"


def test_backlog_jobs_that_can_be_in_time_go_before_those_that_are_late():
    made = make_dispatcher(upstreams=1, cores=1)
    submit(made, "a-late", BATCH, make_step(1), age_s=8.0)
    submit(made, "b-in-time", BATCH, make_step(1))
    assert started(made.tick(0.1, 0.1)) == ["b-in-time"]


def test_stream_of_small_batch_work_does_not_starve_a_gang():
    world = World(make_catalog(), make_entry("a"), make_entry("b"))
    world.submit(make_job("filler", make_step(5, estimate_s=3.0)))
    world.run(0.3)
    world.submit(make_job("gang", make_step(8, is_gang=True, estimate_s=3.0)))
    for number in range(8):
        world.submit(make_job(f"s{number}", make_step(4, estimate_s=3.0)))
        world.run(0.3)
    world.run(6.0)
    assert world.state_of("gang") is JobState.COMPLETE


def test_short_checks_pass_through_what_a_gang_reserved():
    made = make_dispatcher(upstreams=1)
    submit(made, "filler", BATCH, make_step(2, estimate_s=3.0))
    made.tick(0.1, 0.1)
    submit(made, "gang", BATCH, make_step(4, is_gang=True, estimate_s=3.0))
    submit(made, "check", URGENT, make_step(1, estimate_s=0.6))
    assert started(made.tick(0.2, 0.2)) == ["check"]


def test_flood_of_slow_advice_leaves_slots_for_quick_advice():
    slow, quick = AdvicePolicy(0.5, 0.007, 2.0), AdvicePolicy(0.007, 0.0001, 2.0)
    made = make_dispatcher(advice_slots=4, quick_advice_slots=2)
    made.advice_slots = 4
    queues = made.catalog.queues
    made.set_catalog(
        Catalog(
            2,
            {
                URGENT: QueuePolicy("u", "h", "/urgent/", "service", 0, advice=quick),
                BATCH: QueuePolicy("b", "h", "/batch/", "service", 1, advice=slow),
            },
        )
    )
    assert queues
    for number in range(10):
        submit(made, f"batch{number}", BATCH, make_step(1))
    assert len(made.tick(0.1, 0.1).advice) == 2
    submit(made, "check", URGENT, make_step(1))
    assert [ask.step.job_id for ask in made.tick(0.2, 0.2).advice] == ["check"]


def test_tickets_are_asked_anew_before_they_run_out_while_a_job_waits():
    made = make_dispatcher(upstreams=1, advice=AdvicePolicy(0.1, 0.0, 2.0))
    submit(made, "filler", BATCH, make_step(4, estimate_s=9.0))
    (ask,) = made.tick(0.1, 0.1).advice
    made.advise(Advice(ask.step, ask.upstream_ids, {"u0": "t"}, 2.0, 0.2))
    assert len(started(made.tick(0.2, 0.2))) == 4
    submit(made, "waits", BATCH, make_step(1))
    (ask,) = made.tick(0.3, 0.3).advice
    made.advise(Advice(ask.step, ask.upstream_ids, {"u0": "t"}, 2.0, 0.4))
    assert not made.tick(1.0, 1.0).advice
    assert [ask.step.job_id for ask in made.tick(2.3, 2.3).advice] == ["waits"]


def test_upstream_that_fails_everything_is_set_aside():
    made = make_dispatcher(upstreams=2)
    bad = made.upstreams["u0"]
    assert not bad.note_failure(1.0)
    assert bad.note_failure(1.1)
    submit(made, "j", BATCH, make_step(2))
    assert {order.upstream_id for order in made.tick(1.2, 1.2).starts} == {"u1"}
    submit(made, "k", BATCH, make_step(4))
    assert "u0" in {order.upstream_id for order in made.tick(9.0, 9.0).starts}


def test_wave_of_cancellations_frees_the_room_it_took():
    world = World(make_catalog(), make_entry("a"))
    for number in range(4):
        world.submit(make_job(f"c{number}", make_step(1, estimate_s=9.0)))
    world.run(0.2, after_s=30.0)
    world.submit(make_job("next", make_step(4)))
    for number in range(4):
        world.cancel(f"c{number}")
    world.run(0.5, after_s=30.0)
    assert {task.job_id for _, task, _ in world.running()} == {"next"}


def test_queue_without_a_service_of_its_own_waits():
    world = World(make_catalog(), make_entry("a"))
    world.submit(make_job("j", queue="other/queue/"))
    world.run(0.3)
    assert not world.running()
    assert world.dispatcher.count_pending("other/queue/") == 1
    assert world.dispatcher.count_pending(QUEUE) == 0


def test_outage_of_the_store_spreads_the_return_of_long_jobs():
    """Pattern: all submissions are refused for six seconds, callers try four times."""
    outage_s = 6.0
    check = QueuePolicy("check", "host", "/check/", "service", 0, 2, 1.5, 0.25)
    board = QueuePolicy("board", "host", "/board/", "service", 1, 2, 2.2, 1.0)
    short = StagedJobSpec("a", check.key, "", (make_step(2, estimate_s=0.64),), 0.0)
    steps = (make_step(8, estimate_s=5.0), make_step(8, estimate_s=5.0, after=(0,)))
    long = StagedJobSpec("b", board.key, "", steps, 0.0)
    assert choose_retry_after(short, check) == 1
    wait_s = choose_retry_after(long, board)
    assert 4 * wait_s > outage_s
    # What is left of its time is enough to run in.
    assert 4 * wait_s + 10.0 <= 2.2 * 10.0 + 1.0


def test_large_fleet_keeps_room_for_more_than_two_gangs():
    """Pattern: several gangs wait while a stream of batch work passes them."""
    made = make_dispatcher(upstreams=24)
    submit(made, "filler", BATCH, make_step(24, max_per_upstream=1, estimate_s=9.0))
    made.tick(0.1, 0.1)
    for number in range(5):
        needs = make_step(2, cpu_millis=4000, is_gang=True, estimate_s=3.0)
        submit(made, f"gang{number}", URGENT, needs)
    submit(made, "stream", BATCH, make_step(24, cpu_millis=3000, estimate_s=3.0))
    # A quarter of the upstreams is kept: two each for three gangs.
    assert started(made.tick(0.2, 0.2)).count("stream") == 18
