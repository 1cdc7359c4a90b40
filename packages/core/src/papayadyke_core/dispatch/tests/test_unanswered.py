"""Test the record of starts that got no answer."""

import pytest

from papayadyke_core.dispatch._messages import UpstreamEntry
from papayadyke_core.dispatch._registry_view import RegistryView
from papayadyke_core.dispatch._run import Run, RunPhase
from papayadyke_core.dispatch._settings import DispatchSettings
from papayadyke_core.dispatch._spec import StepId, StepSpec, TaskId
from papayadyke_core.dispatch._unanswered import UnansweredCause, UnansweredStarts
from papayadyke_core.dispatch._upstream import Upstream

SETTINGS = DispatchSettings(lease_s=5.0)
STEP = StepId("j", 0, 0)
TASK = TaskId("j", 0, 0, 3)


@pytest.fixture
def starts():
    """Record with the unanswered first attempt of a task at the upstream a."""
    starts = UnansweredStarts(SETTINGS, RegistryView(SETTINGS))
    starts.add(make_run("a", 1), 0.0)
    return starts


def make_run(upstream_id, attempt, at_s=0.0, *, is_lasting=False):
    phase, step = RunPhase.UNCERTAIN, StepSpec(8, is_long_running=is_lasting)
    return Run(TASK, attempt, upstream_id, step, phase, at_s, at_s)


def make_silent_upstream():
    return Upstream(UpstreamEntry("a", "service", "a:1"))


def test_task_is_bound_to_its_upstream(starts):
    assert starts.find_upstreams(STEP) == {3: "a"}
    assert not starts.find_upstreams(StepId("j", 0, 1))


def test_list_of_another_attempt_settles_nothing(starts):
    """Guards against an earlier start that is carried out beside a listed one."""
    starts.add(make_run("a", 2, at_s=1.0), 1.0)
    starts.settle_run(TASK, 2)
    assert starts.find_upstreams(STEP) == {3: "a"}
    starts.settle_run(TASK, 1)
    assert not starts.find_upstreams(STEP)


def test_complete_list_settles_what_can_no_longer_be_carried_out(starts):
    starts.settle_upstream("b", 13.0)
    starts.settle_upstream("a", 12.0)
    assert starts.find_upstreams(STEP) == {3: "a"}
    starts.settle_upstream("a", 12.1)
    assert not starts.find_upstreams(STEP)


def test_start_of_a_silent_upstream_ends_with_the_longest_lease_of_a_late_call(starts):
    """A task ran twice: it was waited for as if the call could not come late."""
    upstreams = {"a": make_silent_upstream()}
    starts.expire(22.7, upstreams)
    assert starts.find_upstreams(STEP) == {3: None}
    starts.expire(22.95, upstreams)
    assert not starts.find_upstreams(STEP)


def test_later_call_to_a_silent_upstream_is_waited_for_as_well(starts):
    """A poll that is carried out late may extend the lease of a late start."""
    upstream = make_silent_upstream()
    upstream.last_call_s = 3.0
    starts.expire(25.7, {"a": upstream})
    assert starts.find_upstreams(STEP) == {3: None}
    starts.expire(25.95, {"a": upstream})
    assert not starts.find_upstreams(STEP)


def test_start_of_an_upstream_that_nobody_names_ends_once_it_is_not_carried_out(starts):
    starts.expire(11.9, {})
    assert starts.find_upstreams(STEP) == {3: None}
    starts.expire(12.15, {})
    assert not starts.find_upstreams(STEP)


@pytest.mark.parametrize("is_lasting", [False, True])
def test_task_is_not_repeated_at_one_upstream_for_good(is_lasting):
    """Each further start may be carried out as late as the first one."""
    starts = UnansweredStarts(SETTINGS, RegistryView(SETTINGS))
    starts.add(make_run("a", 1, is_lasting=is_lasting), 0.0)
    upstreams = {"a": make_silent_upstream()}
    last_s = 12.0 if is_lasting else 4.0
    starts.expire(last_s - 0.1, upstreams)
    assert starts.find_upstreams(STEP) == {3: "a"}
    starts.expire(last_s + 0.2, upstreams)
    assert starts.find_upstreams(STEP) == {3: None}


def test_complete_list_before_the_last_start_is_over_settles_nothing(starts):
    """A task was started elsewhere while a repeated start could be carried out."""
    starts.add(make_run("a", 2, at_s=3.0), 3.0)
    starts.settle_upstream("a", 14.9)
    assert starts.find_upstreams(STEP) == {3: "a"}
    starts.settle_upstream("a", 15.1)
    assert not starts.find_upstreams(STEP)


def test_task_with_starts_at_two_upstreams_may_start_nowhere(starts):
    starts.add_earlier(TASK, "b", sent_s=2.0)
    assert starts.find_upstreams(STEP) == {3: None}
    starts.settle_upstream("a", 15.0)
    starts.settle_run(TASK, 1)
    assert starts.find_upstreams(STEP) == {3: None}
    starts.expire(25.0, {})
    assert not starts.find_upstreams(STEP)


def test_ends_tell_their_cause_and_how_long_they_have_waited():
    """Without that no log tells why a task was held back, and for how long."""
    starts = UnansweredStarts(SETTINGS, RegistryView(SETTINGS))
    tasks = [TaskId("j", 0, 0, number) for number in range(4)]
    for task, name in zip(tasks, "abcd", strict=True):
        starts.add_earlier(task, name, sent_s=1.0)
    starts.settle_run(tasks[0], 0)
    starts.settle_upstream("b", 14.0)
    upstreams = {"d": make_silent_upstream()}
    starts.expire(13.5, upstreams)
    starts.expire(24.0, upstreams)
    ends = [(e.task, e.upstream_ids, e.cause, e.waited_s) for e in starts.take_ended()]
    assert ends == [
        (tasks[0], ("a",), UnansweredCause.LISTED, None),
        (tasks[1], ("b",), UnansweredCause.REFUTED, 13.0),
        (tasks[2], ("c",), UnansweredCause.GONE, 12.5),
        (tasks[3], ("d",), UnansweredCause.LAPSED, 23.0),
    ]
    assert not starts.take_ended()
