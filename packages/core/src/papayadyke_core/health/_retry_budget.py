"""Retry budget, so that retries do not amplify an overload."""

from __future__ import annotations

from papayadyke_core.health._settings import (
    DEFAULT_RETRY_BUDGET_SETTINGS,
    RetryBudgetSettings,
)


class RetryBudget:
    """Allows retries in proportion to first starts.

    `retries <= burst + ratio * starts` holds at any time, and is checked with each
    retry.

    Parameters
    ----------
    settings : RetryBudgetSettings

    Examples
    --------
    >>> budget = RetryBudget(settings=RetryBudgetSettings(ratio=0.5, burst=1.0))
    >>> budget.try_spend_retry(), budget.try_spend_retry()
    (True, False)
    >>> budget.record_start()
    >>> budget.record_start()
    >>> budget.try_spend_retry()
    True
    """

    def __init__(
        self, *, settings: RetryBudgetSettings = DEFAULT_RETRY_BUDGET_SETTINGS
    ) -> None:
        self.settings = settings
        self.starts = 0
        self.retries = 0
        self._tokens = settings.burst

    def record_start(self) -> None:
        """Count the first start of a task."""
        self.starts += 1
        self._tokens = min(self.settings.burst, self._tokens + self.settings.ratio)

    def try_spend_retry(self) -> bool:
        """Spend one retry of the budget; return False if none is left."""
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        self.retries += 1
        allowed = self.settings.burst + self.settings.ratio * self.starts
        if self.retries > allowed + 1e-6:
            raise AssertionError("retries: budget exceeded")
        return True
