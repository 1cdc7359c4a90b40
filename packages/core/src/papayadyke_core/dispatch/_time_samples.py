"""Samples of run times and what is kept of them: by queue, by job and by upstream."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from papayadyke_core.dispatch._distribution import MIN_SPREAD
from papayadyke_core.dispatch._spec import StepId

# Samples that count in an average; older ones are forgotten exponentially.
MAX_COUNT = 200.0
PRIOR_COUNT = 3.0  # samples for which the declared estimates count
# Before any sample: standard deviations of the logarithm of run time to estimate,
# between steps and within one; slope of the regression of a step on others of its job.
PRIOR_BETWEEN, PRIOR_WITHIN, PRIOR_LINK = 0.5, 0.15, 0.5
PRIOR_LINK_SQUARES = 1.0
MAX_LINK = 0.95
MIN_BETWEEN = 0.05
STEP_SAMPLES = 15  # last samples of a step that are kept
# Standard deviation of the logarithm of the speeds: they range from 0.55 to 1.3.
SPEED_SPREAD = 0.25
MIN_SPEED_SPREAD = 0.02  # keeps recent samples from losing all weight
# Steps in a row with unexplained runs after which an upstream counts as changed; four
# runs of the tail in a row have a probability of 1e-6. Several runs of one step do not
# count: they are alike if its estimate is wrong.
MISSES_TO_RELEARN = 4


@dataclass(slots=True)
class QueueTimes:
    """Logarithm of run time to estimate in a queue, at speed 1.

    Parameters
    ----------
    count, mean, variance : float
        Of steps: the samples of one step count less the more alike they are.
    within_count, within_variance : float
        Of samples about the mean of their step.
    link_squares, link : float
        Regression of the first sample of a step on the other steps of its job: sum of
        squares, and slope.
    factor : float
        Mean ratio of run time to estimate.
    """

    count: float = PRIOR_COUNT
    mean: float = 0.0
    variance: float = PRIOR_BETWEEN**2 + PRIOR_WITHIN**2
    within_count: float = PRIOR_COUNT
    within_variance: float = PRIOR_WITHIN**2
    link_squares: float = PRIOR_LINK_SQUARES
    link: float = PRIOR_LINK
    factor: float = 1.0

    @property
    def between_variance(self) -> float:
        """Variance of the means of steps."""
        return max(self.variance - self.within_variance, MIN_BETWEEN**2)

    @property
    def learned_share(self) -> float:
        """Share of the averages that comes from samples."""
        return max(1.0 - PRIOR_COUNT / self.count, 0.0)

    def add(self, sample: float, weight: float) -> None:
        """Add a sample to the mean and variance."""
        self.count = min(self.count + weight, MAX_COUNT)
        deviation = sample - self.mean
        self.mean += weight / self.count * deviation
        square = deviation * (sample - self.mean)
        self.variance += weight / self.count * (square - self.variance)
        self.update_factor()

    def update_factor(self) -> None:
        """Update the mean ratio; without samples it is 1."""
        self.factor = math.exp(self.mean + self.variance * self.learned_share / 2)

    def add_within(self, square: float, weight: float) -> None:
        """Add the squared distance of a sample from the mean of its step."""
        self.within_count = min(self.within_count + weight, MAX_COUNT)
        self.within_variance += (
            weight / self.within_count * (square - self.within_variance)
        )
        self.within_variance = max(self.within_variance, MIN_SPREAD**2)

    def add_link(self, others: float, sample: float) -> None:
        """Add a sample to the regression on the other steps of a job."""
        x, y = others - self.mean, sample - self.mean
        products = self.link * self.link_squares + x * y
        self.link_squares += x * x
        self.link = min(max(products / self.link_squares, 0.0), MAX_LINK)
        self.link_squares = min(self.link_squares, MAX_COUNT * self.variance)


@dataclass(slots=True)
class UpstreamSpeed:
    """Logarithm of the speed of an upstream, its variance and number of samples.

    Speeds are known only up to a common factor; see `RunTimeModel.get_log_speed`.
    """

    log_speed: float = 0.0
    variance: float = SPEED_SPREAD**2
    count: int = 0
    misses: int = 0
    missed_step: StepId | None = None

    @property
    def weight(self) -> float:
        """Weight in the average of the speeds."""
        return min(self.count, MAX_COUNT)

    def is_changed(self, step: StepId) -> bool:
        """Count an unexplained run; return whether the upstream must have changed."""
        if step != self.missed_step:
            self.misses += 1
            self.missed_step = step
        return self.misses >= MISSES_TO_RELEARN

    def update(self, surplus: float, variance: float) -> None:
        """Add a run that took longer than expected by a factor of `exp(surplus)`.

        Parameters
        ----------
        surplus : float
        variance : float
            Variance of the surplus at a known speed.
        """
        self.misses, self.missed_step = 0, None
        self.count += 1
        gain = self.variance / (self.variance + variance)
        self.log_speed -= gain * surplus
        self.variance = max((1 - gain) * self.variance, MIN_SPEED_SPREAD**2)


@dataclass(slots=True)
class JobTimes:
    """Samples of the steps of a job, by step number; occurrences share them."""

    samples: dict[int, list[float]] = field(default_factory=dict)
    counts: dict[int, int] = field(default_factory=dict)
    # Mean of each step with samples, shrunk towards that of the queue.
    means: dict[int, float] = field(default_factory=dict)

    def add(self, number: int, sample: float) -> None:
        """Add a sample; old ones are dropped."""
        kept = self.samples.setdefault(number, [])
        kept.append(sample)
        del kept[:-STEP_SAMPLES]
        self.counts[number] = self.counts.get(number, 0) + 1

    def clear(self) -> None:
        """Drop all samples once the job has ended."""
        self.samples.clear()
        self.counts.clear()
        self.means.clear()
