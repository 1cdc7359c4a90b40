"""Configuration state at one revision."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from pydantic import BaseModel

from papayadyke_core.configuration._changes import ItemKind
from papayadyke_core.configuration._stamps import (
    NEVER_CHANGED,
    ChangeStamp,
    RecentChange,
)
from papayadyke_core.workloads import (
    Config,
    ConfigModel,
    Preset,
    PresetModel,
    Team,
    TeamModel,
    Workload,
    WorkloadModel,
)

M = TypeVar("M", bound=BaseModel)
V = TypeVar("V")


@dataclass(frozen=True, slots=True)
class Item(Generic[M, V]):
    """Workload, team or preset with its model, data class and last change."""

    model: M
    value: V
    stamp: ChangeStamp


WorkloadItem = Item[WorkloadModel, Workload]
TeamItem = Item[TeamModel, Team]
PresetItem = Item[PresetModel, Preset]


def make_workload_item(model: WorkloadModel, stamp: ChangeStamp) -> WorkloadItem:
    """Create the configuration item of a workload."""
    return Item(model, model.to_workload(), stamp)


def make_team_item(model: TeamModel, stamp: ChangeStamp) -> TeamItem:
    """Create the configuration item of a team."""
    return Item(model, model.to_team(), stamp)


def make_preset_item(model: PresetModel, stamp: ChangeStamp) -> PresetItem:
    """Create the configuration item of a preset."""
    return Item(model, model.to_preset(), stamp)


def _default_presets() -> dict[str, PresetItem]:
    return {"ordinary": make_preset_item(PresetModel(name="ordinary"), ChangeStamp())}


@dataclass(frozen=True, slots=True)
class ConfigState:
    """Configuration declared by operators, with the last change of each item.

    Parameters
    ----------
    revision : int, default=0
        Increases by one with each accepted change.
    last_id : str, default=""
        Id of the change that produced this revision.
    workloads, teams, presets : mapping of str to Item
    in_force : str, default="ordinary"
        Name of the preset in force.
    in_force_stamp : ChangeStamp
        Change that last selected the preset in force.
    recent : mapping of str to RecentChange
        Most recent changes by id, oldest first.
    is_partial : bool, default=False
        Whether a change was skipped because this version cannot decode it. A
        partial state can be used for scheduling and reads, but must not be the
        basis of a write.
    """

    revision: int = 0
    last_id: str = ""
    workloads: Mapping[str, WorkloadItem] = field(default_factory=dict)
    teams: Mapping[str, TeamItem] = field(default_factory=dict)
    presets: Mapping[str, PresetItem] = field(default_factory=_default_presets)
    in_force: str = "ordinary"
    in_force_stamp: ChangeStamp = NEVER_CHANGED
    recent: Mapping[str, RecentChange] = field(default_factory=dict)
    is_partial: bool = False

    def __post_init__(self) -> None:
        if self.in_force not in self.presets:
            raise AssertionError(f"preset in force does not exist: {self.in_force}")

    def to_config(self) -> Config:
        """Return the configuration as used by the scheduler."""
        return Config(
            revision=self.revision,
            workloads={name: item.value for name, item in self.workloads.items()},
            teams={name: item.value for name, item in self.teams.items()},
            presets={name: item.value for name, item in self.presets.items()},
            in_force=self.in_force,
        )

    def to_model(self) -> ConfigModel:
        """Return the validated model of the whole configuration.

        Raises
        ------
        pydantic.ValidationError
            If items are inconsistent with each other.
        """
        return ConfigModel(
            workloads=tuple(item.model for item in self.workloads.values()),
            teams=tuple(item.model for item in self.teams.values()),
            presets=tuple(item.model for item in self.presets.values()),
            in_force=self.in_force,
        )

    def last_stamp(self, kind: ItemKind, name: str) -> ChangeStamp:
        """Return the last change of an existing item, or an empty stamp."""
        if kind is ItemKind.CONFIG:
            last_change = self.recent.get(self.last_id)
            return last_change.stamp if last_change else ChangeStamp(self.revision)
        if kind is ItemKind.IN_FORCE:
            return self.in_force_stamp
        item = self.items_of(kind).get(name)
        return ChangeStamp() if item is None else item.stamp

    def find_last_change(self, kind: ItemKind, name: str) -> ChangeStamp:
        """Return the last change or deletion of an item among the kept changes."""
        stamp = self.last_stamp(kind, name)
        if stamp.revision:
            return stamp
        matching_stamps = (
            change.stamp
            for change in reversed(tuple(self.recent.values()))
            if change.kind is ItemKind.CONFIG
            or (change.kind, change.name) == (kind, name)
        )
        return next(matching_stamps, stamp)

    def items_of(self, kind: ItemKind) -> Mapping[str, Item]:
        """Return all workloads, teams or presets, by name."""
        if kind is ItemKind.WORKLOAD:
            return self.workloads
        return self.teams if kind is ItemKind.TEAM else self.presets
