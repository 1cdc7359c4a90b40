"""Paired comparison of variants over seeds."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

RESAMPLES = 4000
CONFIDENCE = 0.95


@dataclass(frozen=True, slots=True)
class PairedDifference:
    """Mean difference of a variant to the base on the same seeds.

    Parameters
    ----------
    mean : float
    low, high : float
        Bounds of its confidence interval, by the bootstrap.
    """

    mean: float
    low: float
    high: float

    @property
    def is_clear(self) -> bool:
        """Whether the interval excludes zero."""
        return self.low > 0.0 or self.high < 0.0


def compare_paired(values: Sequence[float], base: Sequence[float]) -> PairedDifference:
    """Return the difference of two variants whose values are in the order of seeds.

    Raises
    ------
    ValueError
        If there are no values, or not as many of each.
    """
    if not values or len(values) != len(base):
        raise ValueError("paired values are needed for the same seeds")
    differences = np.asarray(values) - np.asarray(base)
    # A fixed generator makes the same results give the same interval.
    rng = np.random.default_rng(0)
    picks = rng.integers(0, len(differences), (RESAMPLES, len(differences)))
    means = differences[picks].mean(axis=1)
    margin = (1.0 - CONFIDENCE) / 2
    low, high = np.quantile(means, (margin, 1.0 - margin))
    return PairedDifference(float(differences.mean()), float(low), float(high))
