"""Findings in a configuration file before it is sent."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from pydantic import ValidationError

from papayadyke_core.configuration._changes import (
    MAX_AUTHOR_CHARS,
    MAX_ID_CHARS,
    ReplaceConfig,
)
from papayadyke_core.configuration._draft import (
    Draft,
    Entry,
    find_repeated_names,
    read_draft,
)
from papayadyke_core.configuration._effects import find_effects
from papayadyke_core.configuration._errors import InvalidChange
from papayadyke_core.configuration._rules import check_change
from papayadyke_core.configuration._state import ConfigState
from papayadyke_core.resources import ZERO_RESOURCES, Resources
from papayadyke_core.workloads import ConfigModel, PresetModel, ShareRuleModel

DEFAULT_TEAM = "default"
# The sum of floors is compared as the validation of a configuration does it.
_SUM_TOLERANCE = 1e-9
_NO_RULE = ShareRuleModel()


class Severity(StrEnum):
    """Whether the daemon would reject the configuration because of a finding."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, slots=True)
class Finding:
    """Fault of a configuration file.

    Parameters
    ----------
    severity : Severity
    path : str
        Entry or field, as in "workloads.rcd-check.floor"; empty for the whole file.
    message : str
        One sentence.
    """

    severity: Severity
    path: str
    message: str


@dataclass(frozen=True, slots=True)
class CheckedConfig:
    """Findings in a file, and its model if there is no error among them."""

    findings: tuple[Finding, ...]
    model: ConfigModel | None


def check_config(data: bytes, *, fleet: Resources = ZERO_RESOURCES) -> CheckedConfig:
    """Return all findings in a configuration file.

    Parameters
    ----------
    data : bytes
        JSON as `papayadyke config load` reads it.
    fleet : Resources
        Capacity of all upstreams; dimensions of zero are unknown. Limits that are
        too small for a task are found only in known dimensions, except limits of 0.

    Returns
    -------
    checked : CheckedConfig
        Errors first. There is an error exactly if the daemon would reject the file.
    """
    try:
        model = ConfigModel.model_validate_json(data)
    except ValidationError as exc:
        return CheckedConfig(_find_in_invalid(data, exc, fleet), None)
    # Header fields of the largest size, so that the size limit holds for any author.
    change = ReplaceConfig(
        id="x" * MAX_ID_CHARS, author="x" * MAX_AUTHOR_CHARS, config=model
    )
    result = check_change(ConfigState(), change)
    if result.is_ok():
        return CheckedConfig(tuple(_find_warnings(read_draft(data), fleet)), model)
    error = result.unwrap_err()
    problems = error.problems if isinstance(error, InvalidChange) else ()
    errors = [Finding(Severity.ERROR, p.path, p.message) for p in problems]
    warnings = _find_warnings(read_draft(data), fleet)
    return CheckedConfig((*errors, *warnings), None)


def _find_in_invalid(
    data: bytes, exc: ValidationError, fleet: Resources
) -> tuple[Finding, ...]:
    details = exc.errors(include_input=False, include_url=False)
    if any(detail["type"] == "json_invalid" for detail in details):
        return tuple(_error_of(None, detail) for detail in details)
    try:
        draft = read_draft(data)
    except ValueError:
        # The decoder of the standard library rejects integers of over 4300 digits.
        return tuple(_error_of(None, detail) for detail in details)
    errors = [_error_of(draft, detail) for detail in details if detail["loc"]]
    errors += _find_reference_errors(draft)
    if not errors:
        errors = [_error_of(draft, detail) for detail in details]
    return (*errors, *_find_warnings(draft, fleet))


def _error_of(draft: Draft | None, detail: Any) -> Finding:
    message = detail["msg"].removeprefix("Value error, ")
    path = "" if draft is None else draft.format_path(detail["loc"])
    return Finding(Severity.ERROR, path, message)


def _find_reference_errors(draft: Draft) -> list[Finding]:
    """Return the errors between entries, of which the validation names the first."""
    errors: list[Finding] = []

    def add(path: str, message: str) -> None:
        errors.append(Finding(Severity.ERROR, path, message))

    for kind, entries in (
        ("workload", draft.workloads),
        ("team", draft.teams),
        ("preset", draft.presets),
    ):
        for path, name, first in _find_duplicates(entries):
            add(path, f"{kind} {name} is already defined by {first}")
    preset_names = {entry.name for entry in draft.presets}
    if draft.has_list("presets"):
        in_force = draft.body.get("in_force", "ordinary")
        if isinstance(in_force, str) and in_force not in preset_names:
            add("in_force", f"there is no preset {in_force}")
    team_names = {entry.name for entry in draft.teams} | {DEFAULT_TEAM}
    for workload in draft.workloads:
        if workload.model is None or not draft.has_list("teams"):
            continue
        if workload.model.team not in team_names:
            add(f"{workload.path}.team", f"there is no team {workload.model.team}")
    workload_names = {entry.name for entry in draft.workloads}
    for preset in draft.presets:
        if preset.model is None:
            continue
        unknown = set(preset.model.rules) - workload_names
        for name in sorted(unknown) if draft.has_list("workloads") else ():
            message = f"the rule can never match: there is no workload {name}"
            add(f"{preset.path}.rules.{name}", message)
        for path, message in _find_floor_errors(draft, preset.path, preset.model):
            add(path, message)
    return errors


def _find_duplicates(
    entries: Sequence[Entry[Any]],
) -> Iterator[tuple[str, str, str]]:
    first_paths: dict[str, str] = {}
    for entry in entries:
        if entry.name is None:
            continue
        if entry.name in first_paths:
            yield entry.path, entry.name, first_paths[entry.name]
        first_paths.setdefault(entry.name, entry.path)


def _find_floor_errors(
    draft: Draft, path: str, preset: PresetModel
) -> Iterator[tuple[str, str]]:
    floor_sum = 0.0
    for entry in draft.workloads:
        workload = entry.model
        if workload is None:
            continue
        rule = preset.rules.get(workload.name, _NO_RULE)
        floor = workload.floor if rule.floor is None else rule.floor
        ceiling = workload.ceiling if rule.ceiling is None else rule.ceiling
        if floor > ceiling:
            message = f"the floor {floor:g} is above the ceiling {ceiling:g}"
            yield f"{path}.rules.{workload.name}", message
        floor_sum += floor
    if floor_sum > 1.0 + _SUM_TOLERANCE:
        message = f"the floors of all workloads sum to {floor_sum:.6g}, more than 1"
        yield path, message


def _find_warnings(draft: Draft, fleet: Resources) -> Iterator[Finding]:
    for loc in find_repeated_names(draft.body):
        yield Finding(
            Severity.WARNING,
            draft.format_path(loc),
            "the name occurs more than once in its object; only the last one counts",
        )
    counts = Counter(e.model.team for e in draft.workloads if e.model is not None)
    has_invalid = any(entry.model is None for entry in draft.workloads)
    for entry in draft.teams:
        # A workload that is invalid may be the one of the team.
        if entry.name is not None and not counts[entry.name] and not has_invalid:
            yield Finding(Severity.WARNING, entry.path, "the team has no workload")
    for path, message in find_effects(draft, fleet):
        yield Finding(Severity.WARNING, path, message)
