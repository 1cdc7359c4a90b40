"""Settings of the scheduler."""

from __future__ import annotations

from dataclasses import dataclass, field

from papayadyke_core.admission import AdmissionSettings
from papayadyke_core.health import HealthSettings, RetryBudgetSettings
from papayadyke_core.placement import PlacementSettings
from papayadyke_core.refusals import RefusalSettings
from papayadyke_core.sharing import SharingSettings

_RETRY_BURST_TASKS = 100.0  # covers the tasks of a lost rack


def _retry_settings() -> RetryBudgetSettings:
    return RetryBudgetSettings(burst=_RETRY_BURST_TASKS)


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Settings of a scheduler and of its components.

    Parameters
    ----------
    admission : AdmissionSettings
    sharing : SharingSettings
    placement : PlacementSettings
    health : HealthSettings
    retries : RetryBudgetSettings
        Retry budget of each workload. Its burst covers the tasks of a lost rack.
    refusals : RefusalSettings
    max_starts : int, default=512
        Maximum number of tasks that one call of `decide` starts; the others
        follow with the next call.
    poll_s : float, default=0.05
        Interval, in seconds, at which queued requests are reconsidered, because
        the mere passing of time may allow them to start.
    decisions_per_check : int, default=1024
        Number of calls of `decide` between two checks of all invariants.
    """

    admission: AdmissionSettings = field(default_factory=AdmissionSettings)
    sharing: SharingSettings = field(default_factory=SharingSettings)
    placement: PlacementSettings = field(default_factory=PlacementSettings)
    health: HealthSettings = field(default_factory=HealthSettings)
    retries: RetryBudgetSettings = field(default_factory=_retry_settings)
    refusals: RefusalSettings = field(default_factory=RefusalSettings)
    max_starts: int = 512
    poll_s: float = 0.05
    decisions_per_check: int = 1024


DEFAULT_SETTINGS = SchedulerSettings()
