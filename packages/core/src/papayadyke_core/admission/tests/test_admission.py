import random

import pytest

from papayadyke_core.admission import (
    AdmissionSettings,
    ArrivalRate,
    DeadlineQueue,
    FloodDetector,
    QueuedRequest,
    RunTimes,
    ServiceRate,
    WorkloadQueue,
)


def queued(number, *, deadline_s=10.0, tasks=1):
    return QueuedRequest(f"q{number}", "w", deadline_s, tasks, 1, (), 0.0)


def test_queue_is_first_in_first_out_and_skips_what_was_discarded():
    queue = WorkloadQueue()
    requests = [queued(number) for number in range(5)]
    for request in requests:
        queue.append(request)
    queue.discard(requests[0])
    queue.discard(requests[0])
    queue.discard(requests[2])
    assert len(queue) == queue.tasks == 3
    assert queue.head() is requests[1]
    assert list(queue) == [requests[1], requests[3], requests[4]]


def test_queue_keeps_few_discarded_requests():
    queue = WorkloadQueue()
    requests = [queued(number) for number in range(10_000)]
    for request in requests:
        queue.append(request)
    for request in random.Random(1).sample(requests, 9_900):
        queue.discard(request)
    assert len(queue) == 100
    assert len(queue._requests) <= 200


def test_request_leaves_the_queue_with_its_last_task():
    queue = WorkloadQueue()
    request = queued(1, tasks=3)
    queue.append(request)
    queue.record_started(request, 2)
    assert (len(queue), queue.tasks) == (1, 1)
    queue.record_started(request, 1)
    assert (len(queue), queue.tasks, request.live) == (0, 0, False)


def test_deadlines_return_only_what_still_waits():
    deadlines = DeadlineQueue()
    requests = [queued(n, deadline_s=float(n)) for n in range(1, 5)]
    for request in requests:
        deadlines.add(request)
    requests[0].live = False
    requests[1].started = 1
    assert deadlines.next_s() == 3.0
    assert deadlines.pop_expired(3.0) == [requests[2]]
    assert deadlines.pop_expired(100.0) == [requests[3]]
    assert deadlines.next_s() is None


def test_deadlines_keep_few_requests_that_have_left():
    deadlines = DeadlineQueue()
    for number in range(10_000):
        request = queued(number, deadline_s=1e9)
        deadlines.add(request)
        request.live = False
        deadlines.note_left()
    assert len(deadlines._heap) <= 200


def test_service_rate_is_unknown_until_the_queue_has_stood_for_a_while():
    rate = ServiceRate(window_s=5.0, evidence_s=1.0)
    assert rate.wait_s(10, 0.0) is None
    rate.begin_queue(0.0)
    assert rate.wait_s(10, 0.5) is None
    for step in range(100):
        rate.record_start(step * 0.1)
    assert rate.wait_s(50, 10.0) == pytest.approx(5.0, rel=0.1)
    rate.end_queue()
    rate.begin_queue(20.0)
    assert rate.wait_s(50, 20.5) is None


def test_service_rate_follows_a_change_within_a_few_windows():
    rate = ServiceRate(window_s=5.0, evidence_s=1.0)
    rate.begin_queue(0.0)
    for step in range(1000):
        rate.record_start(step * 0.01)
    for step in range(20):
        rate.record_start(10.0 + step)
    learned = rate.rate(30.0)
    assert learned is not None
    assert learned < 4.0


def test_run_times_start_with_the_declared_timeout_and_learn():
    times = RunTimes(timeout_s=30.0, evidence=5)
    rng = random.Random(1)
    for _ in range(4):
        times.record(1.0)
    assert times.typical_s == times.upper_s == 30.0
    runs = [rng.uniform(0.5, 1.5) for _ in range(500)]
    for run_s in runs:
        times.record(run_s)
    assert times.typical_s == pytest.approx(1.0, rel=0.1)
    exceeding = sum(run_s > times.upper_s for run_s in runs)
    assert exceeding / len(runs) < 0.01


def test_run_time_estimates_never_exceed_the_timeout():
    times = RunTimes(timeout_s=2.0, evidence=1)
    times.record(100.0)
    assert times.typical_s == times.upper_s == 2.0


def test_arrival_rate_follows_arrivals_and_forgets_them():
    rate = ArrivalRate(window_s=10.0)
    for step in range(1000):
        rate.record(1, step * 0.1)
    assert rate.rate(100.0) == pytest.approx(10.0, rel=0.05)
    assert rate.rate(300.0) == 0.0


def detect(arrivals, starts, *, queued=100, until_s=1.0):
    """Return when a flood is seen, with so many of each in every millisecond."""
    detector = FloodDetector(settings=AdmissionSettings())
    for step in range(int(until_s * 1000)):
        now = 50.0 + step / 1000
        for _ in range(arrivals(step)):
            detector.record_arrival(now)
        for _ in range(starts(step)):
            detector.record_start(now)
        if detector.is_flooded(queued=queued, running=100, now=now):
            return step / 1000
    return None


def test_flood_is_seen_within_four_intervals():
    seen_s = detect(lambda step: 2, lambda step: 1)
    assert seen_s is not None
    assert seen_s <= 0.2


def test_burst_of_one_moment_is_no_flood():
    assert detect(lambda step: 500 if step == 10 else 0, lambda step: 1) is None


def test_arrivals_that_are_served_are_no_flood():
    assert detect(lambda step: 2, lambda step: 2) is None


def test_arrivals_without_any_start_are_an_outage_and_no_flood():
    assert detect(lambda step: 2, lambda step: 0) is None


def test_queue_that_chance_explains_is_no_flood():
    assert detect(lambda step: 2, lambda step: 1, queued=30) is None


def test_flood_ends_when_arrivals_fall_under_what_starts():
    detector = FloodDetector(settings=AdmissionSettings())
    seen = []
    for step in range(2000):
        now = step / 1000
        for _ in range(3 if step < 1000 else 1):
            detector.record_arrival(now)
        detector.record_start(now)
        seen.append(detector.is_flooded(queued=100, running=100, now=now))
    assert seen[999]
    assert not any(seen[1200:])
