"""No task runs at two places, or again, when an upstream is back under its old id.

The upstream crashes and is back at once unless a test says otherwise; the decider
learns that from the next answer to a poll.
"""

import pytest

from papayadyke_core.dispatch import JobState
from papayadyke_soak.tests.lives_world import POLL, START, LivesWorld

JOB, LATER_JOB = "5c0e7a21d94b36f8", "6c0e7a21d94b36f9"
LONG_S = 30.0  # duration of a task that outlasts every lease
SHORT_S = 0.2


@pytest.fixture
def world():
    """World with a decider that knows the upstream a, and b with `open_other`."""
    world = LivesWorld()
    world.add_upstream("a")
    world.take_over()
    world.run(1.0)
    yield world
    world.close()


def open_other(world):
    """Add the upstream b, to which tasks can go from now on."""
    world.add_upstream("b")
    world.run(0.5)


def leave_no_room(world, name):
    """Let an upstream tell that it has no room, so that tasks go to others."""
    world.cores[name] = 0
    world.list_upstream(name)


def run_to_the_end(world):
    """End all faults, and let all jobs end."""
    for server in world.servers.values():
        server.reconnect()
    world.unpolled.clear()
    world.run(90.0)


def check_promises(world):
    """Check that the upstreams have seen no promise broken."""
    broken = [(item.promise, item.detail) for item in world.promises.violations]
    assert broken == [], "; ".join(world.events)


def check(world):
    """Check the promises, and that each job is done once the faults are over."""
    check_promises(world)
    run_to_the_end(world)
    check_promises(world)
    states = {job_id: world.read_state(job_id) for job_id in world.ledger.jobs}
    assert set(states.values()) == {JobState.COMPLETE}, states


def count_starts(world, name):
    return [upstream_id for upstream_id, _ in world.starts].count(name)


# Guards the tests below: without further faults a crash costs one run, and no more.
def test_run_that_was_lost_in_a_crash_is_started_again(world):
    world.submit(JOB, 5.0)
    world.run_until(lambda: world.starts)
    world.restart("a")
    open_other(world)
    check(world)
    assert len(world.starts) == 2


# A task whose upstream had not crashed would wait for more than the lease of 5 s.
def test_task_on_a_cut_off_upstream_starts_elsewhere_after_its_lease(world):
    world.submit(JOB, LONG_S)
    world.run_until(lambda: world.starts)
    open_other(world)
    world.servers["a"].cut()
    world.run(8.0)
    assert count_starts(world, "b") == 1
    check(world)


# An upstream came back, took a start that was meant for its former life, and was cut
# off; the lease of 10 s was taken for one of 5 s, and the task started elsewhere.
def test_start_answered_by_a_life_that_no_poll_has_reached_holds_the_longest_lease(
    world,
):
    world.submit(JOB, LONG_S)
    world.before_call["a", START] = lambda: world.restart("a")
    world.after_call["a", START] = world.servers["a"].cut
    world.run_until(lambda: world.starts)
    open_other(world)
    world.run(20.0)
    check(world)


# The same with a poll in between that the new life carried out without an answer.
def test_run_that_an_unanswered_poll_extended_in_a_new_life_is_held_as_long(world):
    world.submit(JOB, LONG_S)
    world.before_call["a", START] = lambda: world.restart("a")
    world.unpolled.add("a")
    world.run_until(lambda: world.starts)
    open_other(world)
    world.run(2.0)
    world.delays["a", POLL] = [1.0] * 3
    world.unpolled.clear()
    world.run(0.1)
    world.servers["a"].cut()
    world.run(25.0)
    check(world)


# A new decider waited for the lease of a run, 5 s, while an upstream that was back
# shortly before and was cut off held it for 10 s.
def test_successor_waits_for_the_longest_lease_of_a_cut_off_upstream(world):
    world.submit(JOB, LONG_S)
    world.before_call["a", START] = lambda: world.restart("a")
    world.after_call["a", START] = world.servers["a"].cut
    world.run_until(lambda: world.starts)
    world.add_upstream("b")
    world.take_over()
    world.run(20.0)
    check(world)


# As above; the start got no answer and was carried out behind the cut.
def test_successor_waits_for_a_start_that_is_carried_out_behind_a_cut(world):
    world.submit(JOB, LONG_S)
    world.delays["a", START] = [6.0]
    world.run_until(lambda: not world.delays["a", START])
    world.servers["a"].cut()
    world.servers["a"].crash(down_s=0.6)
    world.add_upstream("b")
    world.take_over()
    world.run(25.0)
    check(world)


# A start without an answer was stopped in one life, and its task started elsewhere;
# the next life did not know of the stop and carried the start out.
def test_start_that_was_stopped_in_a_former_life_runs_beside_no_other(world):
    world.submit(JOB, LONG_S)
    world.delays["a", START] = [5.0]
    world.run_until(lambda: not world.delays["a", START])
    open_other(world)
    world.run(1.5)
    world.restart("a")
    world.run(10.0)
    check(world)


# The same, where the upstream is cut off before it is back.
def test_start_that_was_stopped_in_a_former_life_runs_beside_no_other_behind_a_cut(
    world,
):
    world.submit(JOB, LONG_S)
    world.delays["a", START] = [5.0]
    world.run_until(lambda: not world.delays["a", START])
    open_other(world)
    world.run(1.5)
    world.servers["a"].cut()
    world.servers["a"].crash(down_s=0.6)
    world.run(25.0)
    check(world)


# A start without an answer was carried out seconds later behind a cut, in a new life;
# its lease of 10 s was counted from the order.
def test_start_that_is_carried_out_behind_a_cut_is_held_until_its_lease_ends(world):
    world.submit(JOB, LONG_S)
    world.delays["a", START] = [6.0]
    world.run_until(lambda: not world.delays["a", START])
    world.servers["a"].cut()
    world.servers["a"].crash(down_s=0.6)
    open_other(world)
    world.run(25.0)
    check(world)


# A poll for a former life was carried out in the next one and extended its lease
# to 10 s; the upstream was cut off then, and its task started elsewhere too early.
def test_late_poll_of_a_former_life_extends_the_lease_of_the_next(world):
    world.submit(JOB, 3.0)
    world.run_until(lambda: world.starts)
    world.delays["a", POLL] = [6.0]
    world.run_until(lambda: not world.delays["a", POLL])
    world.restart("a")
    world.submit(LATER_JOB, LONG_S)
    world.run(6.0)
    assert world.list_running()
    open_other(world)
    world.servers["a"].cut()
    world.run(25.0)
    check(world)


# The first poll of a new life acknowledged the ends of the former one by their numbers;
# a short task that was done in between was started again.
def test_first_poll_of_a_life_acknowledges_no_end_of_a_former_one(world):
    world.submit(JOB, SHORT_S, count=3)
    world.run(2.0)
    assert world.read_state(JOB) is JobState.COMPLETE
    world.submit(LATER_JOB, SHORT_S)
    world.before_call["a", START] = lambda: world.restart("a")
    world.unpolled.add("a")
    world.run_until(lambda: len(world.starts) == 4)
    world.run(1.0)
    world.unpolled.clear()
    world.run(3.0)
    check(world)


# A poll without an answer was carried out seconds later in the next life, and its
# `last_seen` made the upstream forget an end that nobody had read.
def test_late_poll_of_a_former_life_acknowledges_no_end_of_the_next(world):
    world.submit(JOB, SHORT_S, count=3)
    world.run(2.0)
    assert world.read_state(JOB) is JobState.COMPLETE
    world.delays["a", POLL] = [4.0]
    world.run_until(lambda: not world.delays["a", POLL])
    world.restart("a")
    world.run(2.0)
    world.submit(LATER_JOB, SHORT_S)
    world.run_until(lambda: len(world.starts) == 4)
    world.unpolled.add("a")
    world.run(3.0)
    world.unpolled.clear()
    world.run(3.0)
    check(world)


# A new decider had read every upstream, when one crashed, came back and carried out
# a start of the former decider: it had seen no fencing token of the new one.
def test_late_start_of_a_former_decider_runs_beside_no_other(world):
    world.submit(JOB, LONG_S)
    world.delays["a", START] = [6.0]
    world.run_until(lambda: not world.delays["a", START])
    leave_no_room(world, "a")
    world.add_upstream("b")
    world.take_over()
    world.run(4.0)
    world.unpolled.add("a")
    world.restart("a")
    world.run(10.0)
    check(world)


# The same where the new decider has called the new life, which then refuses the start.
def test_new_life_that_the_successor_has_called_refuses_a_late_start(world):
    world.submit(JOB, LONG_S)
    world.delays["a", START] = [6.0]
    world.run_until(lambda: not world.delays["a", START])
    leave_no_room(world, "a")
    world.add_upstream("b")
    world.take_over()
    world.run(2.0)
    world.restart("a")
    world.run(10.0)
    check(world)


# A start and a poll without answers were both carried out behind a cut, in a life that
# nobody had called; the poll forgot the end of the run, which was started again.
def test_end_in_a_life_that_nobody_has_called_is_not_forgotten(world):
    world.submit(JOB, SHORT_S, count=3)
    world.run(2.0)
    assert world.read_state(JOB) is JobState.COMPLETE
    world.delays["a", POLL] = [5.0]
    world.delays["a", START] = [3.0]
    world.submit(LATER_JOB, SHORT_S)
    world.run_until(lambda: not world.delays["a", START])
    world.servers["a"].cut()
    world.servers["a"].crash(down_s=0.6)
    world.run(6.0)
    check(world)
