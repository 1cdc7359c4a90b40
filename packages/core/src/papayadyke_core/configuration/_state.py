"""The configuration at one revision."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from pydantic import BaseModel

from papayadyke_core.configuration._changes import ItemKind
from papayadyke_core.configuration._stamps import NEVER, RecentChange, Stamp
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
    """A workload, team or preset: its model, its data class, its last change."""

    model: M
    value: V
    stamp: Stamp


WorkloadItem = Item[WorkloadModel, Workload]
TeamItem = Item[TeamModel, Team]
PresetItem = Item[PresetModel, Preset]


def make_workload_item(model: WorkloadModel, stamp: Stamp) -> WorkloadItem:
    """Return the item of a workload."""
    return Item(model, model.to_workload(), stamp)


def make_team_item(model: TeamModel, stamp: Stamp) -> TeamItem:
    """Return the item of a team."""
    return Item(model, model.to_team(), stamp)


def make_preset_item(model: PresetModel, stamp: Stamp) -> PresetItem:
    """Return the item of a preset."""
    return Item(model, model.to_preset(), stamp)


def _first_presets() -> dict[str, PresetItem]:
    return {"ordinary": make_preset_item(PresetModel(name="ordinary"), Stamp())}


@dataclass(frozen=True, slots=True)
class ConfigState:
    """Everything that operators declared, with who declared it.

    Parameters
    ----------
    revision : int, default=0
        Grows by one with each accepted change.
    last_id : str, default=""
        Id of the change that made this revision.
    workloads, teams, presets : mapping of str to Item
    in_force : str, default="ordinary"
        Name of the one preset in force.
    in_force_stamp : Stamp
    recent : mapping of str to RecentChange
        The last changes by id, oldest first.
    is_partial : bool, default=False
        Whether a change was passed over that this version does not know. Such
        a state may serve, but nothing is written from it.
    """

    revision: int = 0
    last_id: str = ""
    workloads: Mapping[str, WorkloadItem] = field(default_factory=dict)
    teams: Mapping[str, TeamItem] = field(default_factory=dict)
    presets: Mapping[str, PresetItem] = field(default_factory=_first_presets)
    in_force: str = "ordinary"
    in_force_stamp: Stamp = NEVER
    recent: Mapping[str, RecentChange] = field(default_factory=dict)
    is_partial: bool = False

    def __post_init__(self) -> None:
        if self.in_force not in self.presets:
            raise AssertionError(f"preset in force does not exist: {self.in_force}")

    def to_config(self) -> Config:
        """Return what the scheduler works with."""
        return Config(
            revision=self.revision,
            workloads={name: item.value for name, item in self.workloads.items()},
            teams={name: item.value for name, item in self.teams.items()},
            presets={name: item.value for name, item in self.presets.items()},
            in_force=self.in_force,
        )

    def to_model(self) -> ConfigModel:
        """Return the validated model of the whole.

        Raises
        ------
        pydantic.ValidationError
            Where the parts contradict one another.
        """
        return ConfigModel(
            workloads=tuple(item.model for item in self.workloads.values()),
            teams=tuple(item.model for item in self.teams.values()),
            presets=tuple(item.model for item in self.presets.values()),
            in_force=self.in_force,
        )

    def stamp_of(self, kind: ItemKind, name: str) -> Stamp:
        """Return the last change of an item, its deletion included."""
        if kind is ItemKind.CONFIG:
            last = self.recent.get(self.last_id)
            return last.stamp if last else Stamp(self.revision)
        if kind is ItemKind.IN_FORCE:
            return self.in_force_stamp
        item = self.items_of(kind).get(name)
        return Stamp() if item is None else item.stamp

    def last_change_of(self, kind: ItemKind, name: str) -> Stamp:
        """Return who last changed or deleted an item, as far as remembered."""
        stamp = self.stamp_of(kind, name)
        if stamp.revision:
            return stamp
        about = (
            item.stamp
            for item in reversed(tuple(self.recent.values()))
            if item.kind is ItemKind.CONFIG or (item.kind, item.name) == (kind, name)
        )
        return next(about, stamp)

    def items_of(self, kind: ItemKind) -> Mapping[str, Item]:
        """Return the workloads, teams or presets by name."""
        if kind is ItemKind.WORKLOAD:
            return self.workloads
        return self.teams if kind is ItemKind.TEAM else self.presets
