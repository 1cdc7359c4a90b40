import pytest
from hypothesis import given
from hypothesis import strategies as st

from papayadyke_core.slo import (
    LoadSample,
    Observation,
    Recorder,
    RecorderSettings,
    VmUsage,
    decode_bucket,
    decode_rollup,
    encode_bucket,
    encode_rollup,
    make_report,
    roll_up,
)
from papayadyke_core.verdicts import Reason, Refusal, Verdict
from papayadyke_core.workloads import SloTarget

START = 1_800_000_000.0
TARGET = SloTarget(wait_s=0.5, answered_share=0.9)
QUEUE_FULL = Refusal(Verdict.NOT_RUN, Reason.QUEUE_FULL, "full", holders=("tally",))
UPSTREAM_LOST = Refusal(Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_LOST, "lost")


def observe(recorder, at, *, wait_s=0.1, refusal=None, request_id="r"):
    recorder.observe(
        Observation(
            request_id=request_id,
            workload="order",
            at=at,
            wait_s=wait_s,
            refusal=refusal,
            target=TARGET,
            preset="peak",
            revision=7,
        )
    )


def make_buckets(vm="vm-1", *, good=8, late=1, refused=1, minutes=1, is_last=True):
    recorder = Recorder(vm, 1)
    for minute in range(minutes):
        at = START + 60 * minute
        for _ in range(good):
            observe(recorder, at)
        for _ in range(late):
            observe(recorder, at, wait_s=2.0)
        for _ in range(refused):
            observe(recorder, at, refusal=QUEUE_FULL)
    return recorder.take_closed_buckets(START + 60 * (minutes - 1), is_last=is_last)


def test_report_shows_what_consumed_the_error_budget():
    report = make_report(make_buckets(), [], at=START + 30, window_s=3600)
    burn = report.workloads[0]
    assert (burn.total, burn.good, burn.late) == (10, 8, 1)
    assert burn.refused == {"queue_full": 1}
    assert burn.budget_left == pytest.approx(-1.0)
    rates = [window.burn_rate for window in burn.windows]
    assert rates == pytest.approx([2.0] * len(rates))
    assert report.gaps == ()


def test_alert_fires_only_while_both_windows_exceed_its_threshold():
    buckets = make_buckets(good=0, late=0, refused=10)
    burn_now = make_report(buckets, [], at=START + 30, window_s=3600).workloads[0]
    burn_later = make_report(buckets, [], at=START + 1800, window_s=3600).workloads[0]
    assert any(alert.startswith("page: over 6 ") for alert in burn_now.alerts)
    assert not any("300 s" in alert for alert in burn_later.alerts)


def test_counts_and_wait_histograms_of_vms_are_merged():
    buckets = make_buckets("vm-1") + make_buckets("vm-2", late=0)
    burn = make_report(buckets, [], at=START + 30, window_s=3600).workloads[0]
    assert burn.total == 19
    assert burn.wait_ms["p50"] == pytest.approx(100, rel=0.02)
    assert burn.wait_ms["p99"] == pytest.approx(2000, rel=0.02)


def test_lost_vm_is_reported_as_a_gap_and_a_planned_stop_is_not():
    planned = make_buckets("vm-1", is_last=True)
    assert make_report(planned, [], at=START + 600, window_s=3600).gaps == ()
    recorder = Recorder("vm-2", 5)
    observe(recorder, START)
    observe(recorder, START + 60)
    closed = recorder.take_closed_buckets(START + 60)
    gap = make_report(closed, [], at=START + 600, window_s=3600).gaps[0]
    assert (gap.vm, gap.is_end) == ("vm-2", True)


def test_missing_minute_between_others_is_reported_as_a_gap():
    buckets = make_buckets(minutes=3)
    del buckets[1]
    gaps = make_report(buckets, [], at=START + 180, window_s=3600).gaps
    assert [(gap.minutes, gap.is_end) for gap in gaps] == [(1, False)]


def test_buckets_contained_in_a_rollup_are_counted_once():
    buckets = make_buckets(minutes=3)
    hour = int(START // 3600)
    rollup = decode_rollup(encode_rollup(roll_up(buckets + buckets, hour=hour)))
    burn = make_report(buckets, [rollup], at=START + 180, window_s=7200)
    assert burn.workloads[0].total == 30


def test_requests_that_may_have_run_are_counted_separately():
    recorder = Recorder("vm-1", 1)
    observe(recorder, START, refusal=UPSTREAM_LOST)
    bucket = recorder.take_closed_buckets(START, is_last=True)[0]
    assert bucket.workloads["order"].may_have_run == {"upstream_lost": 1}
    assert bucket.workloads["order"].refused == {}


def test_many_refusals_keep_exact_counts_and_a_bounded_list():
    recorder = Recorder("vm-1", 1, settings=RecorderSettings(max_refused=10))
    for number in range(1000):
        observe(recorder, START, refusal=QUEUE_FULL, request_id=f"r{number}")
    bucket = decode_bucket(
        encode_bucket(recorder.take_closed_buckets(START, is_last=True)[0])
    )
    assert bucket.workloads["order"].refused == {"queue_full": 1000}
    assert [refused.request_id for refused in bucket.refused][-1] == "r999"
    assert len(bucket.refused) == 10
    assert bucket.refused[0].holders == ("tally",)


def test_clock_set_back_does_not_reopen_an_earlier_minute():
    recorder = Recorder("vm-1", 1)
    observe(recorder, START + 120)
    observe(recorder, START)
    bucket = recorder.take_closed_buckets(START + 240)[0]
    assert bucket.workloads["order"].answered == 2


def test_floor_is_missed_only_while_requests_wait_below_it():
    recorder = Recorder("vm-1", 1)
    observe(recorder, START)
    recorder.record_load(LoadSample("order", 2.0, 0.1, 0.2, queued=3), START)
    recorder.record_load(LoadSample("order", 2.0, 0.3, 0.2, queued=3), START)
    recorder.record_load(LoadSample("order", 9.0, 0.1, 0.2, queued=0), START)
    recorder.add_usage(VmUsage(cpu_s=0.13, sampled_s=13.0), START)
    closed = recorder.take_closed_buckets(START, is_last=True)
    report = make_report(closed, [], at=START + 30, window_s=3600)
    assert report.workloads[0].floor_kept == pytest.approx(0.5)
    assert report.control_cpu_share == pytest.approx(0.01)


@given(st.lists(st.integers(min_value=0, max_value=600), max_size=60))
def test_every_observation_is_in_exactly_one_bucket(offsets):
    recorder = Recorder("vm-1", 1)
    buckets = []
    for offset in offsets:
        observe(recorder, START + offset)
        buckets += recorder.take_closed_buckets(START + offset)
    buckets += recorder.take_closed_buckets(START + 600, is_last=True)
    minutes = [bucket.minute for bucket in buckets]
    total = sum(
        counts.answered for bucket in buckets for counts in bucket.workloads.values()
    )
    assert total == len(offsets)
    assert len(set(minutes)) == len(minutes)


def test_idle_workloads_are_not_recorded():
    recorder = Recorder("vm-1", 1)
    recorder.record_load(LoadSample("idle", 1.0, 0.0, 0.2, queued=0), START)
    recorder.record_load(LoadSample("busy", 1.0, 0.1, 0.2, queued=0), START)
    assert set(recorder.take_closed_buckets(START, is_last=True)[0].workloads) == {
        "busy"
    }
