import pytest
from result import Ok

from papayadyke_core.slo import Bucket, Observation, Recorder
from papayadyke_core.verdicts import Reason, Refusal, Verdict
from papayadyke_core.workloads import Config, SloTarget
from papayadyke_daemon.levels import LevelArchive, LevelRecorder
from papayadyke_standins.store import Faults, MemoryStore

START = 1_800_000_000.0
HOUR = int(START // 3600)
QUEUE_FULL_REFUSAL = Refusal(
    Verdict.NOT_RUN, Reason.QUEUE_FULL, "full", holders=("tally",)
)


class WallClock:
    def __init__(self):
        self.now = START

    def __call__(self):
        return self.now


def make_observation(at, *, refusal=None, request_id="r1"):
    return Observation(
        request_id=request_id,
        workload="order",
        at=at,
        wait_s=0.1,
        refusal=refusal,
        target=SloTarget(),
        preset="peak",
        revision=7,
    )


@pytest.fixture
def store():
    return MemoryStore()


@pytest.fixture
def clock():
    return WallClock()


def make_level_recorder(store, clock, *, vm="vm-1", should_roll_up=True):
    return LevelRecorder(
        LevelArchive(store),
        vm=vm,
        incarnation=1,
        load=lambda: None,
        config=Config,
        should_roll_up=lambda hour: should_roll_up,
        clock=clock,
    )


def run_minutes(level_recorder, clock, minutes, *, requests_per_minute=10):
    for _ in range(minutes):
        for _ in range(requests_per_minute):
            level_recorder.observe(make_observation(clock.now))
        level_recorder.step(clock.now)
        clock.now += 60


def read_total(store, at, window_s=7200):
    report = LevelArchive(store).read_report(at, window_s).unwrap()
    return sum(burn.total for burn in report.workloads)


def test_report_sums_buckets_of_two_vms(store, clock):
    level_recorders = [make_level_recorder(store, clock, vm=f"vm-{n}") for n in (1, 2)]
    for level_recorder in level_recorders:
        level_recorder.observe(make_observation(START))
        level_recorder.step(START)
        level_recorder.step(START + 60)
    assert read_total(store, START + 90) == 2


def test_store_outage_delays_buckets_without_loss(store, clock):
    level_recorder = make_level_recorder(store, clock)
    run_minutes(level_recorder, clock, 2)
    store.service.set_faults(Faults(down=True))
    run_minutes(level_recorder, clock, 5)
    store.service.set_faults(Faults())
    run_minutes(level_recorder, clock, 1)
    level_recorder.step(clock.now)
    assert read_total(store, clock.now) == 80


def test_hour_is_rolled_up_and_its_minute_buckets_deleted(store, clock):
    level_recorder = make_level_recorder(store, clock)
    run_minutes(level_recorder, clock, 70)
    before = read_total(store, clock.now, 24 * 3600)
    remaining = store.read_prefix("slo/minute/").unwrap()
    minutes = {int(entry.key.split("/")[2]) for entry in remaining}
    assert min(minutes) >= (HOUR + 1) * 60
    assert before == 69 * 10


def test_racing_roll_ups_sum_hour_once(store, clock):
    recorder = Recorder("vm-1", 1)
    recorder.observe(make_observation(START))
    archive = LevelArchive(store)
    for bucket in recorder.take_closed_buckets(START, is_last=True):
        assert archive.write(bucket) == Ok(None)
        assert archive.write(bucket) == Ok(None)
    assert archive.roll_up(HOUR) == Ok(1)
    late = Bucket(vm="vm-2", incarnation=1, minute=HOUR * 60)
    archive.write(late)
    assert archive.roll_up(HOUR) == Ok(0)
    assert read_total(store, START + 90) == 1


def test_refused_request_is_readable_without_its_vm(store, clock):
    level_recorder = make_level_recorder(store, clock)
    level_recorder.observe(
        make_observation(START, refusal=QUEUE_FULL_REFUSAL, request_id="r9")
    )
    level_recorder.step(START)
    level_recorder.step(START + 60)
    archive = LevelArchive(store)
    refused = archive.read_refused(START - 60, workload="order").unwrap()
    assert [(request.request_id, request.holders) for request in refused] == [
        ("r9", ("tally",))
    ]
    assert (refused[0].preset, refused[0].revision) == ("peak", 7)
    assert archive.read_refused(START + 30).unwrap() == []
    assert archive.read_refused(START - 60, workload="other").unwrap() == []
