"""Which change may follow a state, and what it makes of it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from typing import TypeVar

from pydantic import ValidationError
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
from papayadyke_core.configuration._errors import (
    ChangeError,
    Conflict,
    Invalid,
    Problem,
    problems_of,
)
from papayadyke_core.configuration._stamps import RecentChange, Stamp
from papayadyke_core.configuration._state import (
    ConfigState,
    make_preset_item,
    make_team_item,
    make_workload_item,
)
from papayadyke_core.workloads import ConfigModel

V = TypeVar("V")

MAX_RECENT = 2000
MAX_WORKLOADS = 5000
MAX_TEAMS = 1000
MAX_PRESETS = 100


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
    if name not in state.items_of(kind):
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
