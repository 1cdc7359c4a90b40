"""Account of what each team may have running, and the limits on it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from papayadyke_core.resources import ZERO_RESOURCES, Resources
from papayadyke_core.teams._policy import TeamPolicy

if TYPE_CHECKING:
    from papayadyke_core.dispatch._spec import StagedJobSpec, StepSpec

# Account of the runs whose team is unknown; they count for every team.
UNKNOWN_TEAM = "?"

_Key = TypeVar("_Key")


@dataclass(slots=True)
class _Account:
    """Runs that a team may have, and the resources that they hold."""

    runs: int = 0
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def add(self, step: StepSpec, sign: int) -> None:
        self.runs += sign
        self.cpu_millis += sign * step.cpu_millis
        self.memory_mb += sign * step.memory_mb
        self.accelerators += sign * step.accelerators


class TeamLedger:
    """Incremental account of everything that the runs of each team may hold.

    A run counts from its start order until it is known to have ended. CPU counts also
    for steps that run on CPU that others leave unused.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._services: dict[tuple[str, str], _Account] = {}
        self._unknown: dict[str, Resources] = {}

    def charge(
        self, team: str, step: StepSpec, sign: int, *, service: str = ""
    ) -> None:
        """Add a run of a team, or remove it.

        Parameters
        ----------
        team : str
            Empty for a job without a team, `UNKNOWN_TEAM` for a job that is unknown.
        step : StepSpec
        sign : int
            1 to add the run, -1 to remove it.
        service : str
            Service of the upstream.
        """
        _change(self._accounts, team, step, sign)
        _change(self._services, (team, service), step, sign)

    def set_unknown(self, team: str, use: Resources) -> None:
        """Set the bound of what a team may have running without being known."""
        if use == ZERO_RESOURCES:
            self._unknown.pop(team, None)
        else:
            self._unknown[team] = use

    def clear_unknown(self) -> None:
        """Forget all bounds, once every run is known."""
        self._unknown.clear()

    def get_use(self, team: str) -> Resources:
        """Return what a team may have running, over all upstreams."""
        use = self._unknown.get(team, ZERO_RESOURCES)
        for name in (team, UNKNOWN_TEAM):
            account = self._accounts.get(name)
            if account is not None:
                use += Resources(
                    account.cpu_millis, account.memory_mb, account.accelerators
                )
        return use

    def get_service_use(self, team: str, service: str) -> Resources:
        """Return the resources that the known runs of a team hold at a service."""
        account = self._services.get((team, service))
        if account is None:
            return ZERO_RESOURCES
        return Resources(account.cpu_millis, account.memory_mb, account.accelerators)

    def list_service_use(self) -> list[tuple[str, str, Resources]]:
        """Return team, service and what the known runs of the team hold there."""
        return [
            (team, service, self.get_service_use(team, service))
            for team, service in self._services
        ]

    def count_runs(self, team: str) -> int:
        """Return how many known runs a team has."""
        account = self._accounts.get(team)
        return 0 if account is None else account.runs

    def list_running_cores(self) -> dict[str, float]:
        """Return the cores that the known runs of each team hold."""
        return {
            name: account.cpu_millis / 1000.0
            for name, account in self._accounts.items()
            if name not in ("", UNKNOWN_TEAM)
        }

    def count_allowed(
        self,
        team: str,
        step: StepSpec,
        policy: TeamPolicy | None,
        *,
        overrun: float = 0.0,
    ) -> int:
        """Return how many more tasks of a step the limit of its team allows.

        Of a gang either all tasks are allowed or none. The first task of a team is
        always allowed.

        Parameters
        ----------
        team : str
        step : StepSpec
        policy : TeamPolicy or None
            None if the team has no limit.
        overrun : float
            Fraction by which a gang that runs alone may exceed the limit.
        """
        if policy is None:
            return step.count
        allowed = self._count_within_limit(team, step, policy.limit)
        if allowed >= step.count:
            return step.count
        has_nothing = self._has_nothing(team)
        if not step.is_gang:
            return max(allowed, 1 if has_nothing else 0)
        fits_alone = has_nothing and _fits_overrun(step, policy.limit, overrun)
        return step.count if fits_alone else 0

    def is_within(
        self, team: str, step: StepSpec, policy: TeamPolicy | None, *, overrun: float
    ) -> bool:
        """Return whether a team is within its limit after a start of a step's task."""
        if policy is None or self.count_runs(team) == 1:
            return True
        if self._count_within_limit(team, step, policy.limit) >= 0:
            return True
        return (
            step.is_gang
            and self.count_runs(team) <= step.count
            and _fits_overrun(step, policy.limit, overrun)
        )

    def _count_within_limit(self, team: str, step: StepSpec, limit: Resources) -> int:
        """Return how many tasks of a step fit; -1 if the limit is exceeded."""
        use = self.get_use(team)
        allowed = step.count
        for limited, used, need in (
            (limit.cpu_millis, use.cpu_millis, step.cpu_millis),
            (limit.memory_mb, use.memory_mb, step.memory_mb),
            (limit.accelerators, use.accelerators, step.accelerators),
        ):
            if limited and need:
                allowed = min(allowed, max((limited - used) // need, -1))
        return allowed

    def _has_nothing(self, team: str) -> bool:
        return (
            not self.count_runs(team)
            and not self.count_runs(UNKNOWN_TEAM)
            and team not in self._unknown
        )


def can_ever_run(
    spec: StagedJobSpec, policy: TeamPolicy | None, *, overrun: float
) -> bool:
    """Return whether no gang of a job is too large for the limit of its team.

    Parameters
    ----------
    spec : StagedJobSpec
    policy : TeamPolicy or None
        None if the team has no limit.
    overrun : float
        Fraction by which a gang that runs alone may exceed the limit.
    """
    if policy is None:
        return True
    return all(
        not step.is_gang
        or step.count == 1
        or _fits_overrun(step, policy.limit, overrun)
        for step in spec.steps
    )


def _fits_overrun(step: StepSpec, limit: Resources, overrun: float) -> bool:
    """Return whether a gang may run if its team runs nothing else."""
    return step.count == 1 or all(
        not limited or step.count * need <= limited * (1 + overrun)
        for limited, need in (
            (limit.cpu_millis, step.cpu_millis),
            (limit.memory_mb, step.memory_mb),
            (limit.accelerators, step.accelerators),
        )
    )


def _change(
    accounts: dict[_Key, _Account], key: _Key, step: StepSpec, sign: int
) -> None:
    account = accounts.get(key)
    if account is None:
        account = accounts[key] = _Account()
    account.add(step, sign)
    if account.runs < 0:
        raise AssertionError(f"account of {key} has fewer than no runs")
    if not account.runs:
        del accounts[key]
