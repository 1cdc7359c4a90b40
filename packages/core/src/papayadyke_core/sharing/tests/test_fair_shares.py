"""Weighted max-min shares: their defining properties on any demands."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from papayadyke_core.sharing import compute_fair_shares

NAMES = st.sampled_from("abcdef")
DEMANDS = st.dictionaries(NAMES, st.floats(0.0, 2.0))
WEIGHTS = st.dictionaries(NAMES, st.floats(0.1, 8.0))


@given(DEMANDS, WEIGHTS)
def test_shares_are_max_min_fair(demands, weights):
    shares = compute_fair_shares(demands, weights)
    capacity = min(1.0, sum(demands.values()))
    assert sum(shares.values()) == pytest.approx(capacity)
    levels = {name: shares[name] / weights.get(name, 1.0) for name in demands}
    highest = max(levels.values(), default=0.0)
    for name, demand in demands.items():
        assert shares[name] <= demand
        # Whoever gets less than it demands holds no less, by weight, than any other.
        if shares[name] < demand - 1e-9:
            assert levels[name] == pytest.approx(highest, abs=1e-9)


def test_team_without_a_positive_weight_is_not_left_out():
    assert compute_fair_shares({"a": 1.0, "b": 1.0}, {"a": 0.0}) == {"a": 0.5, "b": 0.5}
