"""Run times learned from finished runs, by queue and step, and speeds of upstreams."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from papayadyke_core.dispatch._distribution import (
    MIN_SPREAD,
    estimate_location,
    find_quantile_s,
    find_remaining_s,
    weigh_sample,
)
from papayadyke_core.dispatch._learned_record import (
    LearnedRecord,
    QueueRow,
    SpeedRow,
    hash_name,
)
from papayadyke_core.dispatch._run import Run
from papayadyke_core.dispatch._spec import StepId
from papayadyke_core.dispatch._time_samples import (
    PRIOR_COUNT,
    QueueTimes,
    UpstreamSpeed,
)

if TYPE_CHECKING:
    from papayadyke_core.dispatch._job import StagedJob, StepRun
    from papayadyke_core.dispatch._upstream import Upstream

MAX_LOG_RATIO = 5.0  # a ratio of 150; limits what one absurd estimate does
MIN_TAKEN_S = 0.001
MAX_LOG_SPEED = math.log(4.0)
# Speeds within a factor of 1.16 count as equal: an estimate from 30 runs errs by 5%.
SPEED_CLASS_LOG = 0.15


@dataclass(frozen=True, slots=True)
class StepTime:
    """Predicted run time of a task of a step at speed 1.

    Parameters
    ----------
    log_median_s : float
        Logarithm of the median run time.
    variance : float
        Variance of the logarithm of the run time.
    learned_share : float
        Share of the variance that was learned rather than assumed.
    """

    log_median_s: float
    variance: float
    learned_share: float

    @property
    def median_s(self) -> float:
        """Median run time, in seconds."""
        return math.exp(self.log_median_s)

    @property
    def mean_s(self) -> float:
        """Mean run time without the tail, in seconds; without samples the median."""
        return math.exp(self.log_median_s + self.variance * self.learned_share / 2)

    def find_remaining_s(self, elapsed_s: float) -> float:
        """Return the expected remaining time of a run, in seconds."""
        return find_remaining_s(self.log_median_s, math.sqrt(self.variance), elapsed_s)

    def find_quantile_s(self, share: float, *, elapsed_s: float = 0.0) -> float:
        """Return the time within which a share of the runs end, in seconds.

        Parameters
        ----------
        share : float
        elapsed_s : float, default=0.0
            Only runs that take longer than this are considered, in seconds.
        """
        spread = math.sqrt(self.variance)
        return find_quantile_s(self.log_median_s, spread, share, elapsed_s=elapsed_s)


class RunTimeModel:
    """Run times by queue, step and upstream, learned from finished runs.

    Attributes
    ----------
    now_s : float
        Current time in seconds, on the dispatcher's clock.
    changes : int
        Number of samples so far.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self.changes = 0
        self.queues: dict[str, QueueTimes] = {}
        self.speeds: dict[str, UpstreamSpeed] = {}
        self._stored = LearnedRecord()
        # Sums for the average of the logarithms of the speeds, by runs. A change that
        # all have in common shows nothing of them, so speeds are relative to it.
        self._speed_sum = self._speed_weight = 0.0

    # Predictions

    def get_factor(self, queue: str) -> float:
        """Return the mean ratio of run time to estimate of a queue."""
        return self._get_queue(queue).factor

    def count_samples(self, queue: str) -> float:
        """Return the number of samples that count in the ratio of a queue."""
        return self._get_queue(queue).count - PRIOR_COUNT

    def get_log_speed(self, upstream_id: str) -> float:
        """Return the logarithm of the speed of an upstream; the average has 0."""
        return self._compute_log_speed(self._get_speed(upstream_id))

    def get_speed(self, upstream_id: str) -> float:
        """Return the work that an upstream does per second; the average does 1."""
        return math.exp(self.get_log_speed(upstream_id))

    def count_speed_samples(self, upstream_id: str) -> int:
        """Return the number of runs from which the speed of an upstream was learned."""
        return self._get_speed(upstream_id).count

    def predict(
        self, job: StagedJob, number: int, *, unfinished: Iterable[float] = ()
    ) -> StepTime:
        """Return the predicted run time of the tasks of a step.

        Parameters
        ----------
        job : StagedJob
        number : int
            Position of the step within the job.
        unfinished : iterable of float
            Elapsed times of runs that have taken longer than expected, in seconds at
            speed 1. They count as if the runs ended now.
        """
        queue = self._get_queue(job.spec.queue)
        estimate_s = job.spec.steps[number].estimate_s
        if estimate_s <= 0:
            return StepTime(math.log(MIN_TAKEN_S), MIN_SPREAD**2, 0.0)
        log_estimate = math.log(estimate_s)
        samples = job.times.samples.get(number, [])
        late = [math.log(elapsed_s) - log_estimate for elapsed_s in unfinished]
        mean, variance = self._estimate_step(queue, job, number, [*samples, *late])
        return StepTime(
            log_estimate + mean, variance + queue.within_variance, queue.learned_share
        )

    def find_run_remaining_s(self, step: StepRun, run: Run, now: float) -> float:
        """Return the expected remaining time of a run, in seconds."""
        speed = self.get_speed(run.upstream_id)
        predicted = self.predict(step.job, step.step_id.step)
        return predicted.find_remaining_s((now - run.started_s) * speed) / speed

    # Learning

    def record_done(
        self, upstream: Upstream, run: Run, step: StepRun, now: float
    ) -> None:
        """Learn from a run that is done.

        Parameters
        ----------
        upstream : Upstream
        run : Run
        step : StepRun
        now : float
            Seconds, on the dispatcher's clock.
        """
        upstream.clear_failures()
        if not run.is_timed or step.spec.estimate_s <= 0:
            return
        taken_s = max(now - run.started_s, MIN_TAKEN_S)
        members = {upstream.upstream_id}
        if step.spec.is_gang:
            # All members end with the slowest one.
            members |= {live.upstream_id for live in step.live.values()}
        slowest = min(members, key=self.get_log_speed)
        log_ratio = math.log(taken_s / step.spec.estimate_s)
        log_ratio = min(max(log_ratio, -MAX_LOG_RATIO), MAX_LOG_RATIO)
        self._learn(step, log_ratio, self._get_speed(slowest), len(members) == 1)
        if len(members) == 1:
            self.apply_speed(upstream)

    def _learn(
        self, step: StepRun, log_ratio: float, speed: UpstreamSpeed, is_alone: bool
    ) -> None:
        """Add a sample to the speed of its upstream, to its queue and to its step."""
        job, number = step.job, step.step_id.step
        queue = self._get_queue(job.spec.queue)
        times = job.times
        samples = times.samples.get(number, [])
        seen = times.counts.get(number, 0)
        mean, variance = self._estimate_step(queue, job, number, samples)
        surplus = log_ratio + self._compute_log_speed(speed) - mean
        run_variance = variance + queue.within_variance
        weight = weigh_sample(surplus, run_variance + speed.variance)
        speed_variance = speed.variance
        if is_alone:
            self._update_speed(
                speed, surplus, run_variance, step.step_id, is_usual=weight >= 0.5
            )
        sample = log_ratio + self._compute_log_speed(speed)
        others = _average_other_steps(job, number)
        # The first sample of a step counts fully, later ones only by what they add to
        # the knowledge of the mean of the step.
        prior_count = queue.within_variance / queue.between_variance
        added = (1 + prior_count) * (
            (seen + 1) / (seen + 1 + prior_count) - seen / (seen + prior_count)
        )
        if seen and weight >= 0.5:
            # The rest is the error of the mean of the step and that of the speed.
            share = queue.within_variance / (run_variance + speed_variance)
            queue.add_within(surplus**2 * share, weight * share)
        if not seen and others is not None and weight >= 0.5:
            queue.add_link(others, sample)
        queue.add(sample, weight * added)
        times.add(number, sample)
        times.means[number], _ = estimate_location(
            times.samples[number],
            prior=queue.mean,
            prior_variance=queue.between_variance,
            variance=queue.within_variance,
        )
        self.changes += 1

    def apply_speed(self, upstream: Upstream) -> None:
        """Set the speed of an upstream to what was learned."""
        log_speed = self.get_log_speed(upstream.upstream_id)
        upstream.speed = math.exp(log_speed)
        upstream.speed_class = round(log_speed / SPEED_CLASS_LOG)

    def _estimate_step(
        self, queue: QueueTimes, job: StagedJob, number: int, samples: list[float]
    ) -> tuple[float, float]:
        """Return the mean of a step and its variance, shrunk by job and queue."""
        prior, prior_variance = queue.mean, queue.between_variance
        others = _average_other_steps(job, number)
        if others is not None:
            prior += queue.link * (others - queue.mean)
            prior_variance *= 1 - queue.link**2
        return estimate_location(
            samples,
            prior=prior,
            prior_variance=prior_variance,
            variance=queue.within_variance,
        )

    @property
    def _common_log_speed(self) -> float:
        return self._speed_sum / self._speed_weight if self._speed_weight else 0.0

    def _compute_log_speed(self, speed: UpstreamSpeed) -> float:
        if not speed.count:
            return 0.0
        log_speed = speed.log_speed - self._common_log_speed
        return min(max(log_speed, -MAX_LOG_SPEED), MAX_LOG_SPEED)

    def _update_speed(
        self,
        speed: UpstreamSpeed,
        surplus: float,
        variance: float,
        step: StepId,
        *,
        is_usual: bool,
    ) -> None:
        """Add a run to the speed of its upstream."""
        if not is_usual:
            if not speed.is_changed(step):
                return
            speed.variance = max(speed.variance, surplus**2)
        if not speed.count:
            speed.log_speed = self._common_log_speed
        self._weigh_speed(speed, -1)
        speed.update(surplus, variance)
        self._weigh_speed(speed, 1)

    def _weigh_speed(self, speed: UpstreamSpeed, sign: int) -> None:
        self._speed_sum += sign * speed.weight * speed.log_speed
        self._speed_weight += sign * speed.weight

    def _get_speed(self, upstream_id: str) -> UpstreamSpeed:
        speed = self.speeds.get(upstream_id)
        if speed is None:
            speed = UpstreamSpeed()
            row = self._stored.upstreams.get(hash_name(upstream_id))
            if row is not None:
                log_speed = self._common_log_speed + row.log_speed
                speed = UpstreamSpeed(log_speed, row.spread**2, row.count)
            self.speeds[upstream_id] = speed
        return speed

    def _get_queue(self, name: str) -> QueueTimes:
        times = self.queues.get(name)
        if times is None:
            times = QueueTimes()
            row = self._stored.queues.get(hash_name(name))
            if row is not None:
                times = QueueTimes(
                    max(row.count, PRIOR_COUNT),
                    row.mean,
                    row.spread**2,
                    row.within_count,
                    row.within_spread**2,
                    row.link_squares,
                    row.link,
                )
                times.update_factor()
            self.queues[name] = times
        return times

    # Stored form

    def restore(self, record: LearnedRecord) -> None:
        """Begin with what an earlier decider has learned."""
        self._stored = record
        self.queues.clear()
        self.speeds.clear()
        self._speed_sum = self._speed_weight = 0.0
        for row in record.upstreams.values():
            self._weigh_speed(UpstreamSpeed(row.log_speed, row.spread**2, row.count), 1)

    def make_record(
        self, queues: Iterable[str], upstreams: Mapping[str, object]
    ) -> LearnedRecord:
        """Return what was learned, and forget all other queues and upstreams.

        Parameters
        ----------
        queues : iterable of str
            Keys of the configured queues.
        upstreams : mapping of str to object
            Known upstreams by id.
        """
        self.queues = {name: self._get_queue(name) for name in queues}
        self.speeds = {name: self._get_speed(name) for name in upstreams}
        self._speed_sum = self._speed_weight = 0.0
        for speed in self.speeds.values():
            self._weigh_speed(speed, 1)
        self._stored = LearnedRecord()
        return LearnedRecord(
            queues={
                hash_name(name): QueueRow.make(
                    count=times.count,
                    mean=times.mean,
                    spread=math.sqrt(times.variance),
                    within_count=times.within_count,
                    within_spread=math.sqrt(times.within_variance),
                    link_squares=times.link_squares,
                    link=times.link,
                )
                for name, times in self.queues.items()
                if times.count > PRIOR_COUNT
            },
            upstreams={
                hash_name(name): SpeedRow.make(
                    count=speed.count,
                    log_speed=self._compute_log_speed(speed),
                    spread=math.sqrt(speed.variance),
                )
                for name, speed in self.speeds.items()
                if speed.count
            },
        )


def _average_other_steps(job: StagedJob, number: int) -> float | None:
    """Return the average of the means of the job's other steps with samples."""
    means = [mean for other, mean in job.times.means.items() if other != number]
    return sum(means) / len(means) if means else None
