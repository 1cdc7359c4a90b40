"""Health of upstreams: learned limits and speeds, outlier detection, retry budget."""

from papayadyke_core.health._health import HealthError, UpstreamHealth
from papayadyke_core.health._outcome import TaskOutcome
from papayadyke_core.health._retry_budget import RetryBudget
from papayadyke_core.health._settings import HealthSettings, RetryBudgetSettings
from papayadyke_core.health._standing import Standing

__all__ = [
    "HealthError",
    "HealthSettings",
    "RetryBudget",
    "RetryBudgetSettings",
    "Standing",
    "TaskOutcome",
    "UpstreamHealth",
]
