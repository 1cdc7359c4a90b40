"""Distribution of run times: log-normal, with a share of runs that take far longer."""

from __future__ import annotations

import math
from collections.abc import Sequence

# Observed on the users' sites: 3% of the runs take 7 times as long as their like.
TAIL_SHARE = 0.03
TAIL_LOG = math.log(7.0)
# Share of samples that neither kind explains, such as runs whose end was read late.
OUTLIER_SHARE = 1e-4
MIN_SPREAD = 0.02
QUANTILE_STEPS = 16  # bisections; the error is below 0.1%


def weigh_sample(residual: float, variance: float) -> float:
    """Return the probability that a run is neither of the tail nor an outlier.

    Parameters
    ----------
    residual : float
        Logarithm of the ratio of run time to expected run time.
    variance : float
        Variance of the residual of runs that are not of the tail.
    """
    usual = (1 - TAIL_SHARE) * math.exp(-0.5 * residual**2 / variance)
    late = TAIL_SHARE * math.exp(-0.5 * (residual - TAIL_LOG) ** 2 / variance)
    return usual / (usual + late + OUTLIER_SHARE)


def estimate_location(
    samples: Sequence[float], *, prior: float, prior_variance: float, variance: float
) -> tuple[float, float]:
    """Return the mean of samples shrunk towards a prior, and its variance.

    Late runs and outliers get little weight. They are told from the others by the
    distance to the lower median, since nearly all of them are late; a single sample is
    judged by its distance to the prior.

    Parameters
    ----------
    samples : sequence of float
        Logarithms of ratios.
    prior, prior_variance : float
        Mean and variance of such means.
    variance : float
        Variance of the samples about their mean.
    """
    if not samples:
        return prior, prior_variance
    if len(samples) == 1:
        centre, width = prior, prior_variance + variance
    else:
        # The centre is a sample itself, so that differences have twice the variance.
        centre, width = sorted(samples)[(len(samples) - 1) // 2], 2 * variance
        # Samples that agree far from the prior show that the prior does not apply.
        prior_variance = max(prior_variance, ((centre - prior) / 2) ** 2)
    prior_count = variance / prior_variance
    count, total = prior_count, prior_count * prior
    for sample in samples:
        weight = weigh_sample(sample - centre, width)
        count += weight
        total += weight * sample
    return total / count, variance / count


def find_quantile_s(
    log_median_s: float, spread: float, share: float, *, elapsed_s: float = 0.0
) -> float:
    """Return the run time within which a share of the runs end, in seconds.

    Parameters
    ----------
    log_median_s : float
        Logarithm of the median run time of the runs that are not of the tail.
    spread : float
        Standard deviation of the logarithm of the run time.
    share : float
        Between 0 and 1, both excluded.
    elapsed_s : float, default=0.0
        Only runs that take longer than this are considered, in seconds.
    """
    spread = max(spread, MIN_SPREAD)
    low, high = log_median_s - 5 * spread, log_median_s + TAIL_LOG + 5 * spread
    if elapsed_s > 0:
        log_elapsed = math.log(elapsed_s)
        left = _count_longer(log_median_s, spread, log_elapsed)
        if left < 1e-9 or log_elapsed >= high:
            # Not even the tail explains it; then the run may take as long again.
            return 2 * elapsed_s
        low = max(low, log_elapsed)
    else:
        left = 1.0
    for _ in range(QUANTILE_STEPS):
        middle = (low + high) / 2
        if _count_longer(log_median_s, spread, middle) > (1 - share) * left:
            low = middle
        else:
            high = middle
    return math.exp((low + high) / 2)


def find_remaining_s(log_median_s: float, spread: float, elapsed_s: float) -> float:
    """Return the expected remaining time of a run that has not ended yet, in seconds.

    Parameters
    ----------
    log_median_s, spread : float
        See `find_quantile_s`.
    elapsed_s : float
        Time for which the run has run, in seconds.
    """
    spread = max(spread, MIN_SPREAD)
    if elapsed_s <= 0:
        return math.exp(log_median_s + spread**2 / 2) * (
            1 + TAIL_SHARE * (math.exp(TAIL_LOG) - 1)
        )
    running = remaining_s = 0.0
    log_elapsed = math.log(elapsed_s)
    for share, log_s in (
        (1 - TAIL_SHARE, log_median_s),
        (TAIL_SHARE, log_median_s + TAIL_LOG),
    ):
        position = (log_s - log_elapsed) / spread
        running += share * _cdf(position)
        mean_s = math.exp(log_s + spread**2 / 2)
        remaining_s += share * mean_s * _cdf(position + spread)
    if running < 1e-9:
        # Not even the tail explains it; then the run may take as long again.
        return elapsed_s
    return max(remaining_s / running - elapsed_s, 0.0)


def _count_longer(log_median_s: float, spread: float, log_s: float) -> float:
    """Return the share of the runs that take longer than `exp(log_s)`."""
    usual = _cdf((log_median_s - log_s) / spread)
    late = _cdf((log_median_s + TAIL_LOG - log_s) / spread)
    return (1 - TAIL_SHARE) * usual + TAIL_SHARE * late


def _cdf(position: float) -> float:
    return 0.5 * math.erfc(-position / math.sqrt(2.0))
