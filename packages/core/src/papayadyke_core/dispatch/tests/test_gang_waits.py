"""What is told of gangs that wait."""

from dispatch_world import make_entry, make_step

from papayadyke_core.dispatch import (
    Advice,
    AdvicePolicy,
    Catalog,
    Dispatcher,
    DispatchSettings,
    QueuePolicy,
    StagedJobSpec,
    StepId,
    UpstreamReport,
)

QUEUE = "h/gangs/"


def make_dispatcher():
    queue = QueuePolicy(
        "gangs", "h", "/gangs/", "service", 1, 2, 2.0, 1.0, AdvicePolicy(0.6, 0.0, 2.0)
    )
    dispatcher = Dispatcher(DispatchSettings(lease_s=5.0))
    dispatcher.set_catalog(Catalog(1, {QUEUE: queue}))
    for number in range(4):
        dispatcher.add_or_update_upstream(make_entry(f"u{number}", cores=4))
        dispatcher.process_report(f"u{number}", UpstreamReport(1, 0.0, 0.0), 0.0)
    return dispatcher


def submit(dispatcher, name, members, *, now):
    step = make_step(members, is_gang=True, estimate_s=3.0)
    dispatcher.submit(StagedJobSpec(name, QUEUE, "p", (step,)), now=now)


def answer(dispatcher, name, names, *, allowed, now):
    tickets = dict.fromkeys(allowed, "ticket")
    dispatcher.process_advice(Advice(StepId(name, 0, 0), names, tickets, 2.0, now))


def test_expired_tickets_are_told_from_missing_room():
    """Both were one cause, `ticket`, in the account of a late gang."""
    dispatcher = make_dispatcher()
    submit(dispatcher, "wide", 10, now=0.0)
    dispatcher.tick(0.1, 0.1)
    names = ("u0", "u1", "u2")
    answer(dispatcher, "wide", names, allowed=("u0", "u1"), now=0.5)
    (wait,) = dispatcher.list_gang_waits(1.0, min_age_s=0.0, most=9)
    assert (wait.members, wait.age_s) == (10, 1.0)
    assert (wait.queried, wait.allowed, wait.ticketed) == (3, 2, 2)
    assert (wait.allowed_slots, wait.ticketed_slots) == (8, 8)
    (wait,) = dispatcher.list_gang_waits(3.0, min_age_s=0.0, most=9)
    assert (wait.allowed_slots, wait.ticketed, wait.ticketed_slots) == (8, 0, 0)


def test_oldest_gangs_are_told_first_and_young_ones_not_at_all():
    dispatcher = make_dispatcher()
    for number in range(4):
        submit(dispatcher, f"g{number}", 20, now=float(number))
    waits = dispatcher.list_gang_waits(3.5, min_age_s=1.0, most=2)
    assert [wait.step_id.job_id for wait in waits] == ["g0", "g1"]
    assert len(dispatcher.list_gang_waits(3.5, min_age_s=1.0, most=9)) == 3


def test_gang_that_fits_nowhere_is_told_from_one_that_waits_for_room():
    """Both waited for room; only one of them could start once runs had ended."""
    dispatcher = make_dispatcher()
    for name, members in (("fits", 16), ("never", 17)):
        submit(dispatcher, name, members, now=0.0)
    fits, never = dispatcher.list_gang_waits(1.0, min_age_s=0.0, most=9)
    assert (fits.members, fits.possible_slots) == (16, 16)
    assert (never.members, never.possible_slots) == (17, 16)
