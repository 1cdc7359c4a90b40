"""Weighted max-min fair shares of a divisible capacity."""

from __future__ import annotations

from collections.abc import Mapping


def compute_fair_shares(
    demands: Mapping[str, float], weights: Mapping[str, float], *, total: float = 1.0
) -> dict[str, float]:
    """Return the weighted max-min fair share of each demand.

    No share exceeds its demand; what one does not need goes to the others by weight.

    Parameters
    ----------
    demands : mapping of str to float
        Demand of each name, as a fraction of the capacity.
    weights : mapping of str to float
        Names without a weight, or without a positive one, have a weight of 1.
    total : float
        Capacity to share out.

    Examples
    --------
    >>> compute_fair_shares({"a": 0.2, "b": 2.0, "c": 2.0}, {"c": 3.0})
    {'a': 0.2, 'b': 0.2, 'c': 0.6000000000000001}
    """
    positive = {
        name: weight if (weight := weights.get(name, 1.0)) > 0 else 1.0
        for name in demands
    }
    shares = dict.fromkeys(demands, 0.0)
    left = total
    left_weight = sum(positive.values())
    # The demand that is the smallest for its weight is the first to be met.
    for name in sorted(demands, key=lambda key: demands[key] / positive[key]):
        fair = left * positive[name] / left_weight
        shares[name] = min(demands[name], fair)
        left -= shares[name]
        left_weight -= positive[name]
    return shares
