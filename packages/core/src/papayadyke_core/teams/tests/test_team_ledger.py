"""Limits of teams: what counts, the first task, and gangs larger than the limit."""

import pytest

from papayadyke_core.dispatch import StagedJobSpec, StepSpec
from papayadyke_core.resources import Resources
from papayadyke_core.teams import UNKNOWN_TEAM, TeamLedger, TeamPolicy, can_ever_run

TASK = StepSpec(10, 1000, 100)
POLICY = TeamPolicy("a", 1.0, Resources(4000))


def make_gang(count):
    return StepSpec(count, 1000, 100, is_gang=True)


def make_ledger(*, running):
    ledger = TeamLedger()
    for _ in range(running):
        ledger.charge("a", TASK, 1)
    return ledger


@pytest.mark.parametrize(("running", "allowed"), [(0, 4), (3, 1), (4, 0), (6, 0)])
def test_tasks_fill_the_limit_and_not_more(running, allowed):
    assert make_ledger(running=running).count_allowed("a", TASK, POLICY) == allowed


def test_each_resource_has_its_own_limit_and_zero_is_none():
    policy = TeamPolicy("a", 1.0, Resources(0, 250, 0))
    assert make_ledger(running=0).count_allowed("a", TASK, policy) == 2
    no_limit = TeamPolicy("a")
    assert make_ledger(running=0).count_allowed("a", TASK, no_limit) == 10


def test_first_task_may_exceed_the_limit():
    large = StepSpec(3, 9000)
    assert make_ledger(running=0).count_allowed("a", large, POLICY) == 1
    assert make_ledger(running=1).count_allowed("a", large, POLICY) == 0


@pytest.mark.parametrize(
    ("members", "running", "allowed"),
    [(4, 0, 4), (3, 1, 3), (4, 1, 0), (5, 0, 0)],
)
def test_gang_starts_whole_or_not_at_all(members, running, allowed):
    ledger = make_ledger(running=running)
    assert ledger.count_allowed("a", make_gang(members), POLICY) == allowed


def test_gang_above_the_limit_starts_alone_and_within_the_overrun():
    policy = TeamPolicy("a", 1.0, Resources(10_000))
    gang, larger = make_gang(11), make_gang(12)
    alone, beside = make_ledger(running=0), make_ledger(running=1)
    assert alone.count_allowed("a", gang, policy, overrun=0.1) == 11
    assert beside.count_allowed("a", gang, policy, overrun=0.1) == 0
    assert alone.count_allowed("a", larger, policy, overrun=0.1) == 0
    assert can_ever_run(StagedJobSpec("j", "q", "", (gang,)), policy, overrun=0.1)
    job = StagedJobSpec("j", "q", "", (TASK, larger))
    assert not can_ever_run(job, policy, overrun=0.1)
    assert can_ever_run(job, None, overrun=0.1)


def test_unknown_use_counts_and_rules_out_a_first_task():
    ledger = make_ledger(running=1)
    ledger.set_unknown("a", Resources(2000))
    assert ledger.count_allowed("a", TASK, POLICY) == 1
    ledger.set_unknown("b", Resources(9000))
    assert ledger.count_allowed("b", TASK, POLICY) == 0
    ledger.clear_unknown()
    assert ledger.count_allowed("b", TASK, POLICY) == 4


def test_runs_of_unknown_jobs_count_for_every_team():
    ledger = make_ledger(running=1)
    ledger.charge(UNKNOWN_TEAM, StepSpec(1, 2000), 1)
    assert ledger.count_allowed("a", TASK, POLICY) == 1
    assert ledger.count_allowed("b", TASK, POLICY) == 2


def test_account_is_dropped_with_its_last_run():
    ledger = make_ledger(running=1)
    ledger.charge("a", TASK, -1)
    assert ledger.list_service_use() == []
    with pytest.raises(AssertionError, match="fewer than no runs"):
        ledger.charge("a", TASK, -1)
