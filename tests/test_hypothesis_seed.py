"""Random tests have the same examples in CI, and others with each seed by hand."""

import importlib.util
from pathlib import Path

import pytest
from hypothesis import settings

CONFTEST = Path(__file__).parents[1] / "conftest.py"


@pytest.fixture
def root_conftest():
    """Conftest of the root; folders of tests have modules of the same name."""
    spec = importlib.util.spec_from_file_location("root_conftest", CONFTEST)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


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
def test_examples_are_fixed_unless_a_seed_is_given(root_conftest, seed, is_fixed):
    settings.load_profile("ci")
    root_conftest.pytest_configure(Config(seed))
    assert settings().derandomize is is_fixed
