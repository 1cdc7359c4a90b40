"""Run times and speeds are learned from finished runs.

Estimates are off by a factor of log-normal distribution between jobs, 3% of the runs
take 7 times as long as their like, and upstreams differ in speed.
"""

import math
import random
import statistics

import msgspec
import pytest
from dispatch_world import World, make_catalog, make_entry, make_job, make_step

from papayadyke_core.dispatch import StagedJob, Upstream, decode_learned, encode_learned
from papayadyke_core.dispatch._learned_record import (
    MAX_ROW_BYTES,
    LearnedRecord,
    QueueRow,
    SpeedRow,
    hash_name,
)
from papayadyke_core.dispatch._run import Run, RunPhase
from papayadyke_core.dispatch._run_times import RunTimeModel

QUEUE = "q"


class Trial:
    """Jobs whose tasks end one by one, on upstreams in random order."""

    def __init__(self, *speeds, seed=1):
        self.model = RunTimeModel()
        self.rng = random.Random(seed)
        self.speeds = speeds or (1.0,)
        self.upstreams = [
            Upstream(make_entry(f"u{n}")) for n in range(len(self.speeds))
        ]
        self.jobs = 0
        self.errors: list[float] = []
        self.declared_errors: list[float] = []

    def make_job(self, *steps):
        self.jobs += 1
        return StagedJob(make_job(f"j{self.jobs}", *steps, queue=QUEUE), now=0.0)

    def end_task(self, job, number, usual_s, *, tail=0.03):
        """End one task, which takes `usual_s` at speed 1 unless it is of the tail."""
        step = job.steps[0, number]
        chosen = self.rng.randrange(len(self.speeds))
        taken_s = usual_s / self.speeds[chosen]
        taken_s *= 7.0 if self.rng.random() < tail else 1.0
        upstream = self.upstreams[chosen]
        task = step.task_id(0)
        run = Run(task, 1, upstream.upstream_id, step.spec, RunPhase.RUNNING, 0.0, 0.0)
        self.model.record_done(upstream, run, step, taken_s)

    def play(self, runs, *, spread, within=0.05, tail=0.03):
        """End the tasks of many jobs, and note the errors of tasks after the first."""
        ended = 0
        while ended < runs:
            estimate_s = self.rng.choice((0.5, 2.0, 5.0))
            job = self.make_job(make_step(6, estimate_s=estimate_s))
            typical_s = estimate_s * math.exp(self.rng.gauss(0.0, spread))
            for index in range(6):
                usual_s = typical_s * math.exp(self.rng.gauss(0.0, within))
                if index:
                    error = self.model.predict(job, 0).median_s / usual_s
                    self.errors.append(abs(math.log(error)))
                    self.declared_errors.append(abs(math.log(estimate_s / usual_s)))
                self.end_task(job, 0, usual_s, tail=tail)
            ended += 6


@pytest.mark.parametrize("spread", [0.2, 0.9])
def test_predictions_err_by_half_of_the_estimates_after_200_runs(spread):
    trial = Trial()
    trial.play(200, spread=spread)
    trial.errors, trial.declared_errors = [], []
    trial.play(200, spread=spread)
    assert statistics.median(trial.errors) <= 0.5 * statistics.median(
        trial.declared_errors
    )


def test_reliable_estimates_keep_a_factor_of_one():
    trial = Trial()
    assert trial.model.get_factor(QUEUE) == 1.0
    trial.play(200, spread=0.01, within=0.01)
    assert trial.model.get_factor(QUEUE) == pytest.approx(1.0, abs=0.05)


def test_step_that_takes_five_times_the_estimate_is_recognised():
    trial = Trial()
    trial.play(200, spread=0.2)
    job = trial.make_job(make_step(9))
    for _ in range(3):
        trial.end_task(job, 0, 5.0, tail=0.0)
    assert trial.model.predict(job, 0).median_s == pytest.approx(5.0, rel=0.1)


def test_other_steps_of_a_job_are_predicted_from_the_first():
    trial = Trial()
    for _ in range(60):
        factor = math.exp(trial.rng.gauss(0.0, 0.6))
        job = trial.make_job(make_step(), make_step())
        trial.end_task(job, 0, factor)
        trial.end_task(job, 1, factor)
    job = trial.make_job(make_step(), make_step())
    trial.end_task(job, 0, 2.5, tail=0.0)
    assert trial.model.predict(job, 1).median_s > 1.7


@pytest.mark.parametrize("tail", [0.0, 0.03, 0.1])
def test_tail_runs_do_not_distort_the_typical_time(tail):
    trial = Trial()
    trial.play(300, spread=0.2, tail=tail)
    assert abs(trial.model.queues[QUEUE].mean) < 0.1
    job = trial.make_job(make_step(9))
    for taken_s in (1.0, 7.0, 1.0, 1.05):
        trial.end_task(job, 0, taken_s, tail=0.0)
    assert trial.model.predict(job, 0).median_s == pytest.approx(1.0, rel=0.1)


def test_run_that_exceeds_its_time_raises_the_expectation():
    trial = Trial()
    trial.play(200, spread=0.2)
    job = trial.make_job(make_step(2))
    predicted = trial.model.predict(job, 0)
    expected_s = [e + predicted.find_remaining_s(e) for e in (0.1, 1.0, 1.5, 3.0)]
    assert expected_s == sorted(expected_s)
    # After three times the usual time the run is one of the tail.
    assert expected_s[-1] > 5.0
    job.run_times = trial.model
    step = job.steps[0, 0]
    step.live[0] = Run(step.task_id(0), 1, "u0", step.spec, RunPhase.RUNNING, 0.0, 0.0)
    step.waiting.discard(0)
    paths_s = []
    for trial.model.now_s in (0.5, 3.5):
        paths_s.append(job.remaining_critical_path_s())
    assert paths_s[1] > paths_s[0]


def test_upstreams_of_different_speed_are_told_apart_after_30_runs_each():
    speeds = (0.55, 1.0, 1.2)
    for spread in (0.2, 0.9):
        trial = Trial(*speeds)
        trial.play(90, spread=spread)
        learned = [trial.model.get_speed(f"u{number}") for number in range(3)]
        assert learned[0] / learned[1] == pytest.approx(0.55, rel=0.1)
        assert learned[2] / learned[1] == pytest.approx(1.2, rel=0.1)
        classes = [upstream.speed_class for upstream in trial.upstreams]
        assert classes[0] < classes[1] < classes[2]


def test_upstream_that_becomes_slow_is_relearned():
    trial = Trial(1.0, 1.0, 1.0)
    trial.play(150, spread=0.2)
    trial.speeds = (1.0, 1.0, 0.2)
    trial.play(90, spread=0.2)
    ratio = trial.model.get_speed("u2") / trial.model.get_speed("u0")
    assert ratio == pytest.approx(0.2, rel=0.2)


def test_record_restores_what_was_learned_within_its_size():
    trial = Trial(0.55, 1.2)
    trial.play(120, spread=0.9)
    names = {upstream.upstream_id: upstream for upstream in trial.upstreams}
    data = encode_learned(trial.model.make_record([QUEUE], names))
    # The names of the two parts of the record take 28 bytes.
    assert len(data) <= 28 + 3 * MAX_ROW_BYTES
    successor = RunTimeModel()
    successor.restore(decode_learned(data))
    assert successor.get_factor(QUEUE) == pytest.approx(
        trial.model.get_factor(QUEUE), rel=0.02
    )
    for name in names:
        speed = trial.model.get_speed(name)
        assert successor.get_speed(name) == pytest.approx(speed, rel=0.01)
    assert successor.make_record([], {}) == LearnedRecord()


def test_rows_of_extreme_values_stay_within_their_size():
    name = hash_name("x" * 300)
    extreme = {"count": 1e5 - 1, "mean": -1e9, "spread": 1e9, "within_count": 1e5 - 1}
    extreme |= {"within_spread": 1e9, "link_squares": 1e9, "link": 1.0}
    queue = QueueRow.make(**extreme)
    speed = SpeedRow.make(count=10**9, log_speed=-1e9, spread=1e9)
    for record in (
        LearnedRecord(queues={name: queue}),
        LearnedRecord(upstreams={name: speed}),
    ):
        data = encode_learned(record)
        assert len(data) - len(encode_learned(LearnedRecord())) <= MAX_ROW_BYTES
        assert decode_learned(data) == record


@pytest.mark.parametrize(
    "data", [b"", b"[]", b'{"queues":{"a":[1]}}', b'{"upstreams":{"a":[1,0,-5]}}']
)
def test_malformed_record_is_refused(data):
    with pytest.raises(msgspec.DecodeError):
        decode_learned(data)


def test_only_whole_runs_are_learned_from():
    """Resumed runs, runs of an earlier term and unwanted ones say nothing."""
    world = World(make_catalog(), make_entry("a"))
    world.submit(make_job("j", make_step(2), make_step(1, is_long_running=True)))
    world.step()
    world.take_over()
    world.run(8.0, after_s=2.0)
    assert world.dispatcher.run_times.changes == 0
    world.submit(make_job("k", make_step(2)))
    world.run(5.0, after_s=2.0)
    assert world.dispatcher.run_times.changes == 2
    assert world.dispatcher.get_estimate_factor("host/queue/") > 1.0
