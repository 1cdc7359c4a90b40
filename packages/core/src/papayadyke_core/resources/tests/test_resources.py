from hypothesis import given
from hypothesis import strategies as st

from papayadyke_core.resources import ZERO_RESOURCES, Resources

AMOUNTS = st.integers(min_value=0, max_value=10**6)
RESOURCES = st.builds(Resources, AMOUNTS, AMOUNTS, AMOUNTS)


@given(RESOURCES, RESOURCES)
def test_subtraction_reverses_addition(first, second):
    assert (first + second) - second == first


@given(RESOURCES, RESOURCES)
def test_difference_is_valid_if_and_only_if_the_subtrahend_fits(first, second):
    assert (second - first).is_non_negative() == first.fits_in(second)


def test_dominant_share_skips_dimensions_of_zero():
    assert Resources(500, 100, 0).dominant_share(Resources(1000, 1000, 0)) == 0.5
    assert Resources(1, 1, 1).dominant_share(ZERO_RESOURCES) == 0.0
