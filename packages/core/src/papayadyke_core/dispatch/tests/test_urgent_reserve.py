"""CPU that is kept free for urgent work that is about to arrive."""

import pytest
from test_load_patterns import (
    BATCH,
    URGENT,
    list_started_jobs,
    make_dispatcher,
    make_step,
    submit,
)

from papayadyke_core.dispatch._urgent_reserve import WINDOW_S, UrgentReserve


def test_expected_need_follows_the_arrivals_of_the_last_seconds():
    reserve = UrgentReserve()
    for tick in range(30):
        reserve.add_arrival(2, 1000, 0.6, now=0.1 * tick)
    # 20 tasks a second for 0.6 s each: 12 at a time in the mean, and two deviations.
    assert reserve.estimate_cpu_millis(3.0) == pytest.approx(18_928, rel=0.01)
    assert reserve.estimate_cpu_millis(3.0 + WINDOW_S) == 0.0


def make_busy(**settings):
    """Return a dispatcher with 16 cores and ten checks in the last second."""
    dispatcher = make_dispatcher(upstreams=4, cores=4, **settings)
    for number in range(10):
        now = 0.1 * number
        submit(dispatcher, f"check{number}", URGENT, make_step(estimate_s=0.6), now=now)
    return dispatcher


def test_long_work_leaves_room_for_urgent_work():
    """Pattern: a flood of long work, while quick checks arrive all the time.

    Without free room a check waits until a long task ends.
    """
    dispatcher = make_busy(urgent_share=0.5)
    for number in range(10):
        dispatcher.cancel(f"check{number}", 1.0)
    submit(dispatcher, "flood", BATCH, make_step(40, estimate_s=9.0), now=1.0)
    started = dispatcher.tick(1.0, 1.0).starts
    # Ten tasks of 0.6 s in 3 s: two at a time in the mean, and two deviations.
    assert len(started) == 16 - 5
    submit(dispatcher, "check", URGENT, make_step(4, estimate_s=0.6), now=1.1)
    assert list_started_jobs(dispatcher.tick(1.2, 1.2)) == ["check"] * 4


def test_gang_does_not_wait_for_room_that_is_kept_for_urgent_work():
    """Pattern: a full fleet, a stream of long work and checks, and a gang.

    On a full fleet nothing is ever free outside of what is kept, and the gang starved.
    """
    dispatcher = make_busy(urgent_share=0.5)
    for number in range(10):
        dispatcher.cancel(f"check{number}", 1.0)
    submit(dispatcher, "filler", BATCH, make_step(40, estimate_s=9.0), now=1.0)
    assert len(dispatcher.tick(1.0, 1.0).starts) == 11
    gang = make_step(4, is_gang=True, estimate_s=3.0)
    submit(dispatcher, "gang", BATCH, gang, now=1.1)
    assert list_started_jobs(dispatcher.tick(1.2, 1.2)) == ["gang"] * 4


def test_room_for_urgent_work_is_bounded():
    """Pattern: a flood of urgent work must leave long work its part of the fleet."""
    dispatcher = make_busy(urgent_share=0.125)
    for number in range(10):
        dispatcher.cancel(f"check{number}", 1.0)
    submit(dispatcher, "flood", BATCH, make_step(40, estimate_s=9.0), now=1.0)
    assert len(dispatcher.tick(1.0, 1.0).starts) == 14


def test_no_room_is_kept_unless_the_settings_call_for_it():
    dispatcher = make_busy()
    for number in range(10):
        dispatcher.cancel(f"check{number}", 1.0)
    submit(dispatcher, "flood", BATCH, make_step(40, estimate_s=9.0), now=1.0)
    assert len(dispatcher.tick(1.0, 1.0).starts) == 16


@pytest.mark.parametrize(
    "needs",
    [{"cpu_millis": 5000}, {"label": "gone"}, {"accelerators": 1}],
    ids=["cpu", "label", "accelerators"],
)
def test_no_room_is_kept_for_urgent_work_that_never_fits(needs):
    """Guards against room that idles while urgent jobs come that can never be done."""
    dispatcher = make_dispatcher(upstreams=4, cores=4, urgent_share=0.5)
    for number in range(10):
        step = make_step(estimate_s=0.6, **needs)
        submit(dispatcher, f"check{number}", URGENT, step, now=0.1 * number)
    submit(dispatcher, "flood", BATCH, make_step(40, estimate_s=9.0), now=1.0)
    assert len(dispatcher.tick(1.0, 1.0).starts) == 16


def test_job_that_runs_nothing_is_not_kept_out_for_long_by_urgent_work():
    """Guards against a job that waits for seconds beside room for it twice over."""
    dispatcher = make_busy(urgent_share=0.5)
    for number in range(10):
        dispatcher.cancel(f"check{number}", 1.0)
    submit(dispatcher, "flood", BATCH, make_step(40, estimate_s=9.0), now=1.0)
    assert len(dispatcher.tick(1.0, 1.0).starts) == 11
    started = []
    for tick in range(35):
        now = 1.0 + 0.1 * tick
        name = f"later-check{tick}"
        submit(dispatcher, name, URGENT, make_step(estimate_s=0.6), now=now)
        dispatcher.cancel(name, now)
        if tick == 3:
            submit(dispatcher, "other", BATCH, make_step(4, estimate_s=9.0), now=now)
        orders = dispatcher.tick(now, now)
        started += [(now, job) for job in list_started_jobs(orders) if job == "other"]
    (first,) = started
    assert 1.5 <= first[0] - 1.3 <= 2.0
