"""Validation of changes and their application to a configuration state."""

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
    InvalidChange,
    ValidationProblem,
    problems_from_error,
)
from papayadyke_core.configuration._stamps import ChangeStamp, RecentChange
from papayadyke_core.configuration._state import (
    ConfigState,
    make_preset_item,
    make_team_item,
    make_workload_item,
)
from papayadyke_core.workloads import ConfigModel

V = TypeVar("V")

MAX_RECENT_CHANGES = 2000
MAX_WORKLOADS = 5000
MAX_TEAMS = 1000
MAX_PRESETS = 100


def check_change(state: ConfigState, change: AnyChange) -> Result[None, ChangeError]:
    """Check whether a change can be applied to a state.

    Parameters
    ----------
    state : ConfigState
    change : AnyChange

    Returns
    -------
    result : Result of None, ChangeError
        `Conflict` if the item is no longer at the revision that the author
        expected, `InvalidChange` if the configuration would be inconsistent or exceed
        a limit.
    """
    if state.is_partial:
        message = "a newer version has changed the configuration; use one of its VMs"
        return Err(InvalidChange((ValidationProblem("", message),)))
    problems = _header_problems(change)
    if problems:
        return Err(InvalidChange(problems))
    conflict = _find_conflict(state, change)
    if conflict is not None:
        return Err(conflict)
    precondition_error = _precondition_error(state, change)
    if precondition_error is not None:
        return Err(InvalidChange((ValidationProblem("", precondition_error),)))
    new_state = _apply_change(state, change, _make_stamp(state.revision + 1, change))
    try:
        new_state.to_model()
    except ValidationError as exc:
        return Err(InvalidChange(problems_from_error(exc)))
    return _check_counts(new_state)


def apply_entry(state: ConfigState, entry: LogEntry) -> ConfigState:
    """Return the state that results from applying the next log entry.

    The writer of the entry has already checked it against this same state. A
    writer of another version may still produce a change that cannot be applied
    here. Such a change increments the revision and leaves the content unchanged,
    so that all VMs continue with the same revision.

    Raises
    ------
    AssertionError
        If the entry is not the next one after the state.
    """
    if entry.revision != state.revision + 1 or entry.previous_id != state.last_id:
        raise AssertionError(
            f"entry of revision {entry.revision} cannot follow {state.revision}"
        )
    change = entry.change
    stamp = _make_stamp(entry.revision, change)
    new_state = state
    if isinstance(change, UnknownChange):
        new_state = replace(state, is_partial=True)
    elif _precondition_error(state, change) is None:
        new_state = _apply_change(state, change, stamp)
    recent = dict(state.recent)
    recent.pop(change.id, None)
    recent[change.id] = RecentChange(stamp, change.kind, change.name)
    while len(recent) > MAX_RECENT_CHANGES:
        recent.pop(next(iter(recent)))
    return replace(new_state, revision=entry.revision, last_id=change.id, recent=recent)


def _make_stamp(revision: int, change: Change) -> ChangeStamp:
    return ChangeStamp(revision, change.author, change.id)


def _header_problems(change: AnyChange) -> tuple[ValidationProblem, ...]:
    problems: list[ValidationProblem] = []
    if not 0 < len(change.id) <= MAX_ID_CHARS or not change.id.isprintable():
        problems.append(
            ValidationProblem("id", f"must have 1 to {MAX_ID_CHARS} characters")
        )
    if not 0 < len(change.author) <= MAX_AUTHOR_CHARS or not (
        change.author.isprintable()
    ):
        problems.append(
            ValidationProblem("author", f"must have 1 to {MAX_AUTHOR_CHARS} characters")
        )
    if len(encode_change(change)) > MAX_CHANGE_BYTES:
        problems.append(
            ValidationProblem("", f"must not be over {MAX_CHANGE_BYTES} bytes")
        )
    return tuple(problems)


def _find_conflict(state: ConfigState, change: AnyChange) -> Conflict | None:
    if change.expected is None:
        return None
    if state.last_stamp(change.kind, change.name).revision == change.expected:
        return None
    winner = state.find_last_change(change.kind, change.name)
    return Conflict(change.kind, change.name, change.expected, winner)


def _precondition_error(state: ConfigState, change: AnyChange) -> str | None:
    """Return why a change cannot be applied to a state, or None."""
    match change:
        case SwitchPreset(preset=name) if name not in state.presets:
            return f"there is no preset {name}"
        case DeleteItem(item=ItemKind.IN_FORCE | ItemKind.CONFIG as kind):
            return f"{kind.value} cannot be deleted"
        case DeleteItem(item=kind, item_name=name):
            return _deletion_error(state, kind, name)
    return None


def _deletion_error(state: ConfigState, kind: ItemKind, name: str) -> str | None:
    if name not in state.items_of(kind):
        return f"there is no {kind.value} {name}"
    if kind is ItemKind.PRESET and name == state.in_force:
        return f"preset {name} is in force; switch to another one first"
    return None


def _apply_change(
    state: ConfigState, change: AnyChange, stamp: ChangeStamp
) -> ConfigState:
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
            return _apply_deletion(state, kind, name)
        case ReplaceConfig(config=config):
            return _apply_replacement(state, config, stamp)


def _apply_deletion(state: ConfigState, kind: ItemKind, name: str) -> ConfigState:
    if kind is ItemKind.WORKLOAD:
        return replace(state, workloads=_without(state.workloads, name))
    if kind is ItemKind.TEAM:
        return replace(state, teams=_without(state.teams, name))
    return replace(state, presets=_without(state.presets, name))


def _without(items: Mapping[str, V], name: str) -> dict[str, V]:
    return {key: item for key, item in items.items() if key != name}


def _apply_replacement(
    state: ConfigState, config: ConfigModel, stamp: ChangeStamp
) -> ConfigState:
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
    problems = tuple(
        ValidationProblem(field_name, f"there may be at most {limit}")
        for field_name, count, limit in limits
        if count > limit
    )
    return Err(InvalidChange(problems)) if problems else Ok(None)
