"""Random tests have the same examples in CI, and others with each seed by hand."""

import pytest
from conftest import pytest_configure
from hypothesis import settings


@pytest.fixture(autouse=True)
def _restore_profile():
    yield
    settings.load_profile("ci")


class Config:
    """Options of a test run."""

    def __init__(self, seed):
        self.seed = seed

    def getoption(self, name, default=None):
        return self.seed if name == "--hypothesis-seed" else default


# Hypothesis ignored the seed, so hunts with several seeds played the same examples.
@pytest.mark.parametrize(("seed", "is_fixed"), [(None, True), ("7", False)])
def test_examples_are_fixed_unless_a_seed_is_given(seed, is_fixed):
    settings.load_profile("ci")
    pytest_configure(Config(seed))
    assert settings().derandomize is is_fixed
