import random

import pytest

from papayadyke_core.admission import (
    AdmissionSettings,
    ArrivalRate,
    DeadlineQueue,
    FloodDetector,
    QueuedRequest,
    RunTimeEstimator,
    ServiceRate,
    WorkloadQueue,
)


def make_request(index, *, deadline_s=10.0, tasks=1):
    return QueuedRequest(f"q{index}", "w", deadline_s, tasks, 1, (), 0.0)


def test_queue_is_first_in_first_out_and_skips_discarded_requests():
    queue = WorkloadQueue()
    requests = [make_request(index) for index in range(5)]
    for request in requests:
        queue.append(request)
    queue.discard(requests[0])
    queue.discard(requests[0])
    queue.discard(requests[2])
    assert len(queue) == queue.tasks == 3
    assert queue.head() is requests[1]
    assert list(queue) == [requests[1], requests[3], requests[4]]


def test_queue_retains_few_discarded_requests():
    queue = WorkloadQueue()
    requests = [make_request(index) for index in range(10_000)]
    for request in requests:
        queue.append(request)
    for request in random.Random(1).sample(requests, 9_900):
        queue.discard(request)
    assert len(queue) == 100
    assert len(queue._requests) <= 200


def test_request_leaves_the_queue_with_its_last_task():
    queue = WorkloadQueue()
    request = make_request(1, tasks=3)
    queue.append(request)
    queue.record_started(request, 2)
    assert (len(queue), queue.tasks) == (1, 1)
    queue.record_started(request, 1)
    assert (len(queue), queue.tasks, request.is_queued) == (0, 0, False)


def test_deadlines_return_only_waiting_requests():
    deadlines = DeadlineQueue()
    requests = [make_request(index, deadline_s=float(index)) for index in range(1, 5)]
    for request in requests:
        deadlines.add(request)
    requests[0].is_queued = False
    requests[1].started_tasks = 1
    assert deadlines.next_deadline_s() == 3.0
    assert deadlines.pop_expired(3.0) == [requests[2]]
    assert deadlines.pop_expired(100.0) == [requests[3]]
    assert deadlines.next_deadline_s() is None


def test_deadlines_retain_few_stale_entries():
    deadlines = DeadlineQueue()
    for index in range(10_000):
        request = make_request(index, deadline_s=1e9)
        deadlines.add(request)
        request.is_queued = False
        deadlines.record_stale_entry()
    assert len(deadlines._heap) <= 200


def test_service_rate_is_unknown_until_the_queue_reaches_its_minimum_age():
    rate = ServiceRate(window_s=5.0, min_queue_age_s=1.0)
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
    rate = ServiceRate(window_s=5.0, min_queue_age_s=1.0)
    rate.begin_queue(0.0)
    for step in range(1000):
        rate.record_start(step * 0.01)
    for step in range(20):
        rate.record_start(10.0 + step)
    starts_per_s = rate.rate(30.0)
    assert starts_per_s is not None
    assert starts_per_s < 4.0


def test_run_times_start_at_the_declared_timeout_and_adapt():
    estimates = RunTimeEstimator(timeout_s=30.0, min_finished_tasks=5)
    rng = random.Random(1)
    for _ in range(4):
        estimates.record(1.0)
    assert estimates.mean_estimate_s == estimates.upper_estimate_s == 30.0
    run_times = [rng.uniform(0.5, 1.5) for _ in range(500)]
    for run_s in run_times:
        estimates.record(run_s)
    assert estimates.mean_estimate_s == pytest.approx(1.0, rel=0.1)
    exceeding_count = sum(run_s > estimates.upper_estimate_s for run_s in run_times)
    assert exceeding_count / len(run_times) < 0.01


def test_run_time_estimates_never_exceed_the_timeout():
    estimates = RunTimeEstimator(timeout_s=2.0, min_finished_tasks=1)
    estimates.record(100.0)
    assert estimates.mean_estimate_s == estimates.upper_estimate_s == 2.0


def test_arrival_rate_follows_arrivals_and_decays_to_zero():
    rate = ArrivalRate(window_s=10.0)
    for step in range(1000):
        rate.record(1, step * 0.1)
    assert rate.rate(100.0) == pytest.approx(10.0, rel=0.05)
    assert rate.rate(300.0) == 0.0


def detect_flood_s(arrivals, starts, *, queued=100, until_s=1.0):
    """Return the time in seconds at which a flood is detected, or None.

    `arrivals` and `starts` return the number of events in a millisecond step.
    """
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


def test_flood_is_detected_within_four_intervals():
    detected_s = detect_flood_s(lambda step: 2, lambda step: 1)
    assert detected_s is not None
    assert detected_s <= 0.2


def test_single_burst_is_no_flood():
    assert detect_flood_s(lambda step: 500 if step == 10 else 0, lambda step: 1) is None


def test_arrivals_matched_by_starts_are_no_flood():
    assert detect_flood_s(lambda step: 2, lambda step: 2) is None


def test_outage_without_any_start_is_no_flood():
    assert detect_flood_s(lambda step: 2, lambda step: 0) is None


def test_queue_within_random_variation_is_no_flood():
    assert detect_flood_s(lambda step: 2, lambda step: 1, queued=30) is None


def test_flood_ends_when_arrivals_no_longer_exceed_starts():
    detector = FloodDetector(settings=AdmissionSettings())
    flooded = []
    for step in range(2000):
        now = step / 1000
        for _ in range(3 if step < 1000 else 1):
            detector.record_arrival(now)
        detector.record_start(now)
        flooded.append(detector.is_flooded(queued=100, running=100, now=now))
    assert flooded[999]
    assert not any(flooded[1200:])
