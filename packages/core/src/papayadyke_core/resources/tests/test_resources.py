from hypothesis import given
from hypothesis import strategies as st

from papayadyke_core.resources import NOTHING, Resources

AMOUNT = st.integers(min_value=0, max_value=10**6)
RESOURCES = st.builds(Resources, AMOUNT, AMOUNT, AMOUNT)


@given(RESOURCES, RESOURCES)
def test_add_then_subtract_gives_back_the_first(one, two):
    assert (one + two) - two == one


@given(RESOURCES, RESOURCES)
def test_difference_is_valid_exactly_when_it_fits(one, two):
    assert (two - one).is_valid() == one.fits_in(two)


def test_dominant_share_passes_over_empty_dimensions():
    assert Resources(500, 100, 0).dominant_share(Resources(1000, 1000, 0)) == 0.5
    assert Resources(1, 1, 1).dominant_share(NOTHING) == 0.0
