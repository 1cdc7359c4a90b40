"""Settings of a scheduler."""

from __future__ import annotations

from dataclasses import dataclass, field

from papayadyke_core.admission import AdmissionSettings
from papayadyke_core.health import HealthSettings, RetryBudgetSettings
from papayadyke_core.placement import PlacementSettings
from papayadyke_core.refusals import RefusalSettings
from papayadyke_core.sharing import SharingSettings

_RETRY_BURST = 100.0


def _retry_settings() -> RetryBudgetSettings:
    return RetryBudgetSettings(burst=_RETRY_BURST)


@dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Settings of a scheduler and of its parts.

    Parameters
    ----------
    admission : AdmissionSettings
    sharing : SharingSettings
    placement : PlacementSettings
    health : HealthSettings
    retries : RetryBudgetSettings
        Budget of each workload; the tasks of a lost rack fit into its burst.
    refusals : RefusalSettings
    max_starts : int, default=512
        Tasks that one decision starts at most; the rest follow with the next.
    poll_s : float, default=0.05
        Time after which waiting work is looked at again where only the passing
        of time can make room for it.
    check_every : int, default=1024
        Decisions after which all sums are counted anew and compared.
    """

    admission: AdmissionSettings = field(default_factory=AdmissionSettings)
    sharing: SharingSettings = field(default_factory=SharingSettings)
    placement: PlacementSettings = field(default_factory=PlacementSettings)
    health: HealthSettings = field(default_factory=HealthSettings)
    retries: RetryBudgetSettings = field(default_factory=_retry_settings)
    refusals: RefusalSettings = field(default_factory=RefusalSettings)
    max_starts: int = 512
    poll_s: float = 0.05
    check_every: int = 1024


DEFAULT_SETTINGS = SchedulerSettings()
