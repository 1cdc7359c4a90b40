"""Validated models of workloads, teams, presets and the configuration.

JSON from operators and from the store enters the program through these models. The
code behind them works with the data classes that they produce.
"""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, StringConstraints, model_validator

from papayadyke_core.resources import Resources
from papayadyke_core.workloads._config import Config
from papayadyke_core.workloads._preset import Preset, ShareRule
from papayadyke_core.workloads._workload import (
    Kind,
    SloTarget,
    Team,
    Urgency,
    Workload,
)

MAX_NAME_CHARS = 64
MAX_TIMEOUT_S = 7 * 24 * 3600.0
MAX_QUEUED_REQUESTS = 1_000_000
MAX_WEIGHT = 1_000_000.0

Name = Annotated[
    str,
    StringConstraints(
        pattern=r"^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$", max_length=MAX_NAME_CHARS
    ),
]
Fraction = Annotated[float, Field(ge=0.0, le=1.0, allow_inf_nan=False)]
Weight = Annotated[float, Field(gt=0.0, le=MAX_WEIGHT, allow_inf_nan=False)]
UrgencyName = Literal["deferrable", "normal", "urgent"]


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class DemandModel(_StrictModel):
    """Resources that one task requires."""

    cpus: float = Field(gt=0.0, le=4096.0, allow_inf_nan=False)
    memory_mb: int = Field(ge=0, le=64 * 1024 * 1024)
    accelerators: int = Field(default=0, ge=0, le=1024)


class SloModel(_StrictModel):
    """Service level objective of a workload, as submitted in JSON."""

    wait_seconds: float = Field(default=1.0, gt=0.0, le=MAX_TIMEOUT_S)
    answered_share: float = Field(default=0.99, gt=0.0, lt=1.0)


class WorkloadModel(_StrictModel):
    """Workload, as submitted in JSON."""

    name: Name
    kind: Kind
    demand: DemandModel
    team: Name = "default"
    urgency: UrgencyName = "normal"
    idempotent: bool = False
    timeout_seconds: float = Field(default=30.0, gt=0.0, le=MAX_TIMEOUT_S)
    weight: Weight = 1.0
    floor: Fraction = 0.0
    ceiling: Fraction = 1.0
    queue_limit: int = Field(default=1000, ge=0, le=MAX_QUEUED_REQUESTS)
    max_attempts: int = Field(default=3, ge=1, le=100)
    preemptible: bool = False
    slo: SloModel = SloModel()

    @model_validator(mode="after")
    def _check_limits(self) -> WorkloadModel:
        if self.floor > self.ceiling:
            raise ValueError("floor must not be above ceiling")
        return self

    def to_workload(self) -> Workload:
        """Convert the model to the data class."""
        return Workload(
            name=self.name,
            kind=self.kind,
            demand=Resources(
                cpu_millis=round(self.demand.cpus * 1000),
                memory_mb=self.demand.memory_mb,
                accelerators=self.demand.accelerators,
            ),
            team=self.team,
            urgency=Urgency[self.urgency.upper()],
            idempotent=self.idempotent,
            timeout_s=self.timeout_seconds,
            weight=self.weight,
            floor=self.floor,
            ceiling=self.ceiling,
            queue_limit=self.queue_limit,
            max_attempts=self.max_attempts,
            preemptible=self.preemptible,
            slo=SloTarget(self.slo.wait_seconds, self.slo.answered_share),
        )


class TeamModel(_StrictModel):
    """Team, as submitted in JSON."""

    name: Name
    weight: Weight = 1.0
    quota: Fraction = 1.0

    def to_team(self) -> Team:
        """Convert the model to the data class."""
        return Team(name=self.name, weight=self.weight, quota=self.quota)


class ShareRuleModel(_StrictModel):
    """Share and limits of one workload under a preset, as submitted in JSON."""

    admit: bool = True
    weight: Weight | None = None
    floor: Fraction | None = None
    ceiling: Fraction | None = None
    urgency: UrgencyName | None = None
    queue_limit: int | None = Field(default=None, ge=0, le=MAX_QUEUED_REQUESTS)

    def to_rule(self) -> ShareRule:
        """Convert the model to the data class."""
        urgency = None if self.urgency is None else Urgency[self.urgency.upper()]
        return ShareRule(
            admit=self.admit,
            weight=self.weight,
            floor=self.floor,
            ceiling=self.ceiling,
            urgency=urgency,
            queue_limit=self.queue_limit,
        )


_DEFAULT_RULE = ShareRuleModel()


class PresetModel(_StrictModel):
    """Preset, as submitted in JSON."""

    name: Name
    description: str = Field(default="", max_length=1000)
    rules: dict[Name, ShareRuleModel] = Field(default_factory=dict)

    def to_preset(self) -> Preset:
        """Convert the model to the data class."""
        return Preset(
            name=self.name,
            rules={name: rule.to_rule() for name, rule in self.rules.items()},
            description=self.description,
        )


class ConfigModel(_StrictModel):
    """Complete configuration, as submitted in JSON or read from a file."""

    workloads: tuple[WorkloadModel, ...] = ()
    teams: tuple[TeamModel, ...] = ()
    presets: tuple[PresetModel, ...] = (PresetModel(name="ordinary"),)
    in_force: Name = "ordinary"

    @model_validator(mode="after")
    def _check_references(self) -> ConfigModel:
        _check_unique("workloads", [workload.name for workload in self.workloads])
        _check_unique("teams", [team.name for team in self.teams])
        _check_unique("presets", [preset.name for preset in self.presets])
        preset_names = {preset.name for preset in self.presets}
        if self.in_force not in preset_names:
            raise ValueError(f"in_force names no preset: {self.in_force}")
        workload_names = {workload.name for workload in self.workloads}
        team_names = {team.name for team in self.teams} | {"default"}
        for workload in self.workloads:
            if workload.team not in team_names:
                raise ValueError(f"workload {workload.name} names no team")
        for preset in self.presets:
            unknown = sorted(set(preset.rules) - workload_names)
            if unknown:
                raise ValueError(f"preset {preset.name} names no workload: {unknown}")
            _check_floors(self.workloads, preset)
        return self

    def to_config(self, *, revision: int = 0) -> Config:
        """Convert the model to the data class, with the given revision."""
        return Config(
            revision=revision,
            workloads={
                workload.name: workload.to_workload() for workload in self.workloads
            },
            teams={team.name: team.to_team() for team in self.teams},
            presets={preset.name: preset.to_preset() for preset in self.presets},
            in_force=self.in_force,
        )


def _check_unique(collection: str, names: list[str]) -> None:
    if len(set(names)) != len(names):
        raise ValueError(f"{collection} have a name twice")


def _check_floors(workloads: tuple[WorkloadModel, ...], preset: PresetModel) -> None:
    floor_sum = 0.0
    for workload in workloads:
        rule = preset.rules.get(workload.name, _DEFAULT_RULE)
        floor = workload.floor if rule.floor is None else rule.floor
        ceiling = workload.ceiling if rule.ceiling is None else rule.ceiling
        if floor > ceiling:
            raise ValueError(
                f"preset {preset.name} puts the floor of {workload.name} over its "
                "ceiling"
            )
        floor_sum += floor
    # The tolerance absorbs rounding errors of the sum.
    if floor_sum > 1.0 + 1e-9:
        raise ValueError(f"preset {preset.name} guarantees more than the fleet")
