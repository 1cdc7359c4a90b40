"""Settings that every test run shares."""

from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"
INTERMITTENT = "intermittent: "  # begins the reason of a test that fails at times

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
    max_examples=50,
)
settings.register_profile("seeded", settings.get_profile("ci"), derandomize=False)
settings.load_profile("ci")


def pytest_configure(config):
    # With `derandomize`, hypothesis ignores the seed.
    if config.getoption("--hypothesis-seed", default=None) is not None:
        settings.load_profile("seeded")


def read_known_red():
    """Return the reason of each test that is listed as known to fail."""
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line.split(" | ", 1) for line in lines if not line.startswith("#")]
    return {name.strip(): reason for name, reason in (e for e in entries if len(e) > 1)}


def pytest_collection_modifyitems(items):
    known = read_known_red()
    for item in items:
        reason = known.pop(item.nodeid, None)
        if reason is not None:
            is_strict = not reason.startswith(INTERMITTENT)
            item.add_marker(pytest.mark.xfail(reason=reason, strict=is_strict))


def pytest_terminal_summary(terminalreporter):
    for name, reason in read_known_red().items():
        terminalreporter.write_line(f"known red: {name}: {reason}")
