"""The configuration at one revision, and what each change makes of it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Generic, TypeVar

import msgspec
from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from papayadyke_core.configuration._changes import (
    MAX_AUTHOR_CHARS,
    MAX_CHANGE_BYTES,
    MAX_ID_CHARS,
    AnyChange,
    Change,
    DeleteItem,
    ItemKind,
    LogEntry,
    PutPreset,
    PutTeam,
    PutWorkload,
    ReplaceConfig,
    SwitchPreset,
    UnknownChange,
    encode_change,
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

MAX_RECENT = 2000
MAX_WORKLOADS = 5000
MAX_TEAMS = 1000
MAX_PRESETS = 100


class Stamp(msgspec.Struct, frozen=True):
    """Who last changed an item, and when in the log; revision 0 for nobody."""

    revision: int = 0
    author: str = ""
    change_id: str = ""


NEVER = Stamp()


class RecentChange(msgspec.Struct, frozen=True):
    """An accepted change that a late author may still ask about."""

    stamp: Stamp
    kind: ItemKind
    name: str


@dataclass(frozen=True, slots=True)
class Item(Generic[M, V]):
    """A workload, team or preset: its model, its data class, its last change."""

    model: M
    value: V
    stamp: Stamp


WorkloadItem = Item[WorkloadModel, Workload]
TeamItem = Item[TeamModel, Team]
PresetItem = Item[PresetModel, Preset]


@dataclass(frozen=True, slots=True)
class Conflict:
    """Somebody else changed the item first; nothing was changed.

    Parameters
    ----------
    kind : ItemKind
    name : str
    expected : int
        Revision that the author expected the item at.
    winner : Stamp
        The change that stands.
    """

    kind: ItemKind
    name: str
    expected: int
    winner: Stamp

    @property
    def detail(self) -> str:
        """One sentence for the author."""
        what = f"{self.kind.value} {self.name}".strip().replace("_", " ")
        if self.winner.revision == 0:
            return f"{what} is not at revision {self.expected}: nobody has put it"
        return (
            f"{what} was changed first by {self.winner.author or 'nobody'} at "
            f"revision {self.winner.revision} (change {self.winner.change_id}); "
            f"expected revision {self.expected}"
        )


@dataclass(frozen=True, slots=True)
class Problem:
    """One field that is wrong."""

    path: str
    message: str


@dataclass(frozen=True, slots=True)
class Invalid:
    """The configuration would not be valid; nothing was changed."""

    problems: tuple[Problem, ...]

    @property
    def detail(self) -> str:
        """One sentence for the author."""
        return "; ".join(
            f"{item.path}: {item.message}" if item.path else item.message
            for item in self.problems
        )


ChangeError = Conflict | Invalid


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
        item = self._items(kind).get(name)
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

    def _items(self, kind: ItemKind) -> Mapping[str, Item]:
        if kind is ItemKind.WORKLOAD:
            return self.workloads
        return self.teams if kind is ItemKind.TEAM else self.presets


def check_change(state: ConfigState, change: AnyChange) -> Result[None, ChangeError]:
    """Tell whether a change may follow a state, and if not, why.

    Parameters
    ----------
    state : ConfigState
    change : AnyChange

    Returns
    -------
    result : Result of None, ChangeError
        `Conflict` where the item is not as the author saw it, `Invalid` where
        the configuration would contradict itself or pass a limit.
    """
    if state.is_partial:
        text = "a newer version has changed the configuration; use one of its VMs"
        return Err(Invalid((Problem("", text),)))
    problems = _header_problems(change)
    if problems:
        return Err(Invalid(problems))
    conflict = _find_conflict(state, change)
    if conflict is not None:
        return Err(conflict)
    missing = _missing(state, change)
    if missing is not None:
        return Err(Invalid((Problem("", missing),)))
    after = _changed(state, change, _stamp(state.revision + 1, change))
    try:
        after.to_model()
    except ValidationError as exc:
        return Err(Invalid(problems_of(exc)))
    return _check_counts(after)


def apply_entry(state: ConfigState, entry: LogEntry) -> ConfigState:
    """Return the state after the entry that follows it.

    The writer of the entry has checked it against this very state. A change
    that cannot be applied all the same, from a writer of another version, leaves
    the content as it is, so that every VM goes on and counts alike.

    Raises
    ------
    AssertionError
        If the entry does not follow the state.
    """
    if entry.revision != state.revision + 1 or entry.previous_id != state.last_id:
        raise AssertionError(f"entry {entry.revision} after {state.revision}")
    change = entry.change
    stamp = _stamp(entry.revision, change)
    after = state
    if isinstance(change, UnknownChange):
        after = replace(state, is_partial=True)
    elif _missing(state, change) is None:
        after = _changed(state, change, stamp)
    recent = dict(state.recent)
    recent.pop(change.id, None)
    recent[change.id] = RecentChange(stamp, change.kind, change.name)
    while len(recent) > MAX_RECENT:
        recent.pop(next(iter(recent)))
    return replace(after, revision=entry.revision, last_id=change.id, recent=recent)


def problems_of(error: ValidationError) -> tuple[Problem, ...]:
    """Return the wrong fields of a pydantic error, each with its path."""
    return tuple(
        Problem(
            ".".join(str(part) for part in item["loc"]),
            item["msg"].removeprefix("Value error, "),
        )
        for item in error.errors(include_input=False, include_url=False)
    )


def _stamp(revision: int, change: Change) -> Stamp:
    return Stamp(revision, change.author, change.id)


def _header_problems(change: AnyChange) -> tuple[Problem, ...]:
    found: list[Problem] = []
    if not 0 < len(change.id) <= MAX_ID_CHARS or not change.id.isprintable():
        found.append(Problem("id", f"must have 1 to {MAX_ID_CHARS} characters"))
    if not 0 < len(change.author) <= MAX_AUTHOR_CHARS or not (
        change.author.isprintable()
    ):
        found.append(Problem("author", f"must have 1 to {MAX_AUTHOR_CHARS} characters"))
    if len(encode_change(change)) > MAX_CHANGE_BYTES:
        found.append(Problem("", f"must not be over {MAX_CHANGE_BYTES} bytes"))
    return tuple(found)


def _find_conflict(state: ConfigState, change: AnyChange) -> Conflict | None:
    if change.expected is None:
        return None
    if state.stamp_of(change.kind, change.name).revision == change.expected:
        return None
    winner = state.last_change_of(change.kind, change.name)
    return Conflict(change.kind, change.name, change.expected, winner)


def _missing(state: ConfigState, change: AnyChange) -> str | None:
    """Say what a change needs and does not find."""
    match change:
        case SwitchPreset(preset=name) if name not in state.presets:
            return f"there is no preset {name}"
        case DeleteItem(item=ItemKind.IN_FORCE | ItemKind.CONFIG as kind):
            return f"{kind.value} cannot be deleted"
        case DeleteItem(item=kind, item_name=name):
            return _missing_for_delete(state, kind, name)
    return None


def _missing_for_delete(state: ConfigState, kind: ItemKind, name: str) -> str | None:
    if name not in state._items(kind):
        return f"there is no {kind.value} {name}"
    if kind is ItemKind.PRESET and name == state.in_force:
        return f"preset {name} is in force; switch to another one first"
    return None


def _changed(state: ConfigState, change: AnyChange, stamp: Stamp) -> ConfigState:
    match change:
        case PutWorkload(workload=model):
            item = make_workload_item(model, stamp)
            return replace(state, workloads={**state.workloads, model.name: item})
        case PutTeam(team=model):
            team = make_team_item(model, stamp)
            return replace(state, teams={**state.teams, model.name: team})
        case PutPreset(preset=model):
            preset = make_preset_item(model, stamp)
            return replace(state, presets={**state.presets, model.name: preset})
        case SwitchPreset(preset=name):
            return replace(state, in_force=name, in_force_stamp=stamp)
        case DeleteItem(item=kind, item_name=name):
            return _deleted(state, kind, name)
        case ReplaceConfig(config=config):
            return _replaced(state, config, stamp)


def _deleted(state: ConfigState, kind: ItemKind, name: str) -> ConfigState:
    if kind is ItemKind.WORKLOAD:
        return replace(state, workloads=_without(state.workloads, name))
    if kind is ItemKind.TEAM:
        return replace(state, teams=_without(state.teams, name))
    return replace(state, presets=_without(state.presets, name))


def _without(items: Mapping[str, V], name: str) -> dict[str, V]:
    return {key: item for key, item in items.items() if key != name}


def _replaced(state: ConfigState, config: ConfigModel, stamp: Stamp) -> ConfigState:
    return replace(
        state,
        workloads={m.name: make_workload_item(m, stamp) for m in config.workloads},
        teams={m.name: make_team_item(m, stamp) for m in config.teams},
        presets={m.name: make_preset_item(m, stamp) for m in config.presets},
        in_force=config.in_force,
        in_force_stamp=stamp,
    )


def _check_counts(state: ConfigState) -> Result[None, ChangeError]:
    limits = (
        ("workloads", len(state.workloads), MAX_WORKLOADS),
        ("teams", len(state.teams), MAX_TEAMS),
        ("presets", len(state.presets), MAX_PRESETS),
    )
    over = tuple(
        Problem(what, f"there may be at most {limit}")
        for what, count, limit in limits
        if count > limit
    )
    return Err(Invalid(over)) if over else Ok(None)
