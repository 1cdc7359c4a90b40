import random

import pytest

from papayadyke_core.health import (
    HealthSettings,
    Standing,
    TaskOutcome,
    UpstreamHealth,
)

ANSWERED = TaskOutcome.ANSWERED
FAILED = TaskOutcome.FAILED


def make_health(count=8, slots=8):
    health = UpstreamHealth(settings=HealthSettings())
    for number in range(count):
        health.add_upstream(f"u{number}", slots, 0.0)
    return health


def record(health, upstream, outcome, *, workload="w", now=0.0, run_s=1.0, request=""):
    health.record_outcome(upstream, workload, outcome, run_s, now, request_id=request)


def run_successfully(health, *, rounds=10, count=8, workload="w"):
    for _ in range(rounds):
        for number in range(count):
            record(health, f"u{number}", ANSWERED, workload=workload)


def test_upstream_that_fails_every_task_is_set_aside_after_a_few():
    health = make_health()
    run_successfully(health)
    for number in range(4):
        record(health, "u0", FAILED, request=f"r{number}")
    assert health.limit("u0", 0.0) == 0
    assert health.pop_changed(0.0) == ("u0",)
    assert health.limit("u1", 0.0) == 8


def test_many_fast_failures_do_not_raise_the_expected_failure_rate():
    health = make_health()
    run_successfully(health, rounds=1)
    for number in range(3):
        for other in ("u1", "u2"):
            record(health, other, FAILED, request=f"{other}-{number}")
    for number in range(20):
        record(health, "u0", FAILED, request=f"x{number}")
    assert health.limit("u0", 0.0) <= 1


def test_workload_that_fails_everywhere_sets_no_upstream_aside():
    health = make_health()
    run_successfully(health)
    for number in range(400):
        upstream = f"u{number % 8}"
        record(health, upstream, FAILED, workload="bad", request=f"r{number}")
        record(health, upstream, ANSWERED)
    assert all(health.limit(f"u{n}", 0.0) > 1 for n in range(8))


def test_request_that_fails_everywhere_is_detected_and_sets_no_upstream_aside():
    health = make_health()
    run_successfully(health)
    for upstream in ("u0", "u1"):
        record(health, upstream, FAILED, request="poison")
        assert not health.is_failing_everywhere("poison")
    record(health, "u2", FAILED, request="poison")
    assert health.is_failing_everywhere("poison")
    assert health.standing("u0") is Standing.GOOD


def test_upstream_set_aside_does_not_count_against_a_request():
    health = make_health()
    run_successfully(health)
    for upstream in ("u0", "u1", "u2"):
        record(health, upstream, FAILED, request="unlucky")
    for number in range(9):
        record(health, "u0", FAILED, request=f"r{number}")
    assert health.standing("u0") is Standing.SET_ASIDE
    assert not health.is_failing_everywhere("unlucky")


def test_probe_interval_doubles_until_a_probe_succeeds():
    health = make_health()
    for number in range(9):
        record(health, "u0", FAILED, request=f"r{number}")
    now, intervals_s = 0.0, []
    for _ in range(9):
        intervals_s.append(health.next_change_s() - now)
        now = health.next_change_s()
        assert health.limit("u0", now) == 1
        record(health, "u0", FAILED, now=now)
        assert health.limit("u0", now) == 0
    assert intervals_s == [2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 120.0, 120.0, 120.0]
    now = health.next_change_s()
    assert health.limit("u0", now) == 1
    for _ in range(60):
        record(health, "u0", ANSWERED, now=now)
    assert health.limit("u0", now) == 8


@pytest.mark.parametrize(("count", "allowed"), [(1, 0), (2, 1), (8, 2), (24, 8)])
def test_share_set_aside_is_capped(count, allowed):
    health = make_health(count)
    run_successfully(health, count=count)
    for _ in range(200):
        for number in range(count):
            health.record_outcome(f"u{number}", "w", TaskOutcome.LOST, 0.0, 0.0)
    health.pop_changed(6.0)
    set_aside = [
        n for n in range(count) if health.standing(f"u{n}") is not Standing.GOOD
    ]
    assert len(set_aside) == allowed
    health.check_invariants()


def test_lost_connections_do_not_count_if_a_new_one_works():
    health = make_health()
    for _ in range(20):
        record(health, "u0", TaskOutcome.LOST, now=1.0)
    health.record_probe("u0", True, 2.0)
    assert health.limit("u0", 10.0) == 8


def test_lost_connections_count_if_no_new_one_works_in_time():
    health = make_health()
    for _ in range(3):
        record(health, "u0", TaskOutcome.LOST, now=1.0)
    assert health.limit("u0", 5.9) == 8
    assert health.limit("u0", 6.0) == 0


def test_slow_upstream_gets_a_lower_learned_speed_than_the_others():
    health = make_health()
    rng = random.Random(4)
    for _ in range(150):
        for number in range(8):
            run_s = rng.lognormvariate(0.0, 0.5) * (4.0 if number == 0 else 1.0)
            record(health, f"u{number}", ANSWERED, run_s=run_s)
    ratios = [health.speed("u0") / health.speed(f"u{n}") for n in range(1, 8)]
    assert max(ratios) < 0.5
    assert health.limit("u1", 0.0) == 8


def test_overload_shrinks_the_limit_and_recovery_restores_it():
    health = make_health()
    run_successfully(health, rounds=50)
    for _ in range(12):
        record(health, "u0", ANSWERED, run_s=4.0)
    assert 1 <= health.limit("u0", 0.0) < 8
    for _ in range(200):
        record(health, "u0", ANSWERED, run_s=1.0)
    assert health.limit("u0", 0.0) == 8


def test_consecutive_failures_halve_the_limit_before_the_upstream_is_set_aside():
    health = make_health()
    run_successfully(health)
    limits = []
    for number in range(3):
        record(health, "u0", FAILED, request=f"r{number}")
        limits.append(health.limit("u0", 0.0))
    assert limits == [8, 4, 0]


def test_isolated_failures_do_not_reduce_the_limit():
    health = make_health()
    run_successfully(health)
    for number in range(20):
        record(health, "u0", FAILED, request=f"r{number}")
        assert health.limit("u0", 0.0) == 8
        for _ in range(30):
            record(health, "u0", ANSWERED)


def test_evidence_is_withdrawn_once_the_request_fails_on_another_upstream():
    health = make_health()
    run_successfully(health)
    for number in range(2):
        record(health, "u0", FAILED, request=f"poison{number}")
    for number in range(2):
        record(health, "u1", FAILED, request=f"poison{number}")
    record(health, "u0", FAILED, request="other")
    assert health.standing("u0") is Standing.GOOD
