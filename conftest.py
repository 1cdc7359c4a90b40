"""Settings that every test run shares."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
    max_examples=50,
)
settings.load_profile("ci")
