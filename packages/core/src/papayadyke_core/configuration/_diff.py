"""Differences between two presets, and between two configurations."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, fields, replace
from typing import Any

from papayadyke_core.workloads import (
    Config,
    ConfigModel,
    PresetModel,
    ShareRule,
    TeamModel,
    WorkloadModel,
    effective_rule,
)


@dataclass(frozen=True, slots=True)
class Difference:
    """Field of a workload whose effective value differs between two presets.

    Parameters
    ----------
    workload : str
        Name of the workload.
    field : str
        Name of the `ShareRule` field.
    before, after : str
        Values under the two presets, as text.
    """

    workload: str
    field: str
    before: str
    after: str


@dataclass(frozen=True, slots=True)
class EntryDifference:
    """Entry or field that differs between two configurations.

    Parameters
    ----------
    path : str
        As in "workloads.rcd-check.demand.cpus".
    before, after : str
        Values as text; "present" or "absent" for a whole entry, "unset" for a
        field that only one of the entries sets.
    """

    path: str
    before: str
    after: str


def diff_presets(config: Config, before: str, after: str) -> list[Difference]:
    """Return the effective changes for each workload from one preset to another.

    Parameters
    ----------
    config : Config
    before, after : str
        Names of two presets of `config`.

    Returns
    -------
    differences : list of Difference
        Ordered by workload name, then by field. Fields with equal effective
        values are omitted, whether the value comes from a rule or from the
        workload itself.

    Raises
    ------
    KeyError
        If `config` does not contain one of the presets.
    """
    return diff_in_force(_with_preset(config, before), _with_preset(config, after))


def diff_in_force(before: Config, after: Config) -> list[Difference]:
    """Return the effective changes from one configuration to another.

    Parameters
    ----------
    before, after : Config
        Compared under the preset that each has in force.

    Returns
    -------
    differences : list of Difference
        As of `diff_presets`, for the workloads that both contain.
    """
    differences: list[Difference] = []
    for name in sorted(set(before.workloads) & set(after.workloads)):
        old_rule, new_rule = effective_rule(before, name), effective_rule(after, name)
        differences += _diff_rules(name, old_rule, new_rule)
    return differences


def diff_entries(before: ConfigModel, after: ConfigModel) -> list[EntryDifference]:
    """Return the fields that differ between two configurations, as written.

    Parameters
    ----------
    before, after : ConfigModel

    Returns
    -------
    differences : list of EntryDifference
        Ordered by path. An entry that only one of them contains is one difference.
    """
    old_values, new_values = _list_values(before), _list_values(after)
    differences: list[EntryDifference] = []
    for path in sorted(old_values.keys() | new_values.keys()):
        if path not in new_values:
            differences.append(EntryDifference(path, "present", "absent"))
        elif path not in old_values:
            differences.append(EntryDifference(path, "absent", "present"))
        else:
            old_fields = _flatten(path, old_values[path])
            new_fields = _flatten(path, new_values[path])
            for name in sorted(old_fields.keys() | new_fields.keys()):
                old, new = old_fields.get(name, "unset"), new_fields.get(name, "unset")
                if old != new:
                    differences.append(EntryDifference(name, old, new))
    return differences


def _list_values(model: ConfigModel) -> dict[str, Any]:
    collections: dict[str, Sequence[WorkloadModel | TeamModel | PresetModel]] = {
        "workloads": model.workloads,
        "teams": model.teams,
        "presets": model.presets,
    }
    values: dict[str, Any] = {"in_force": model.in_force}
    for collection, items in collections.items():
        for item in items:
            path = f"{collection}.{item.name}"
            values[path] = item.model_dump(mode="json", exclude_none=True)
    return values


def _flatten(path: str, value: Any) -> dict[str, str]:
    if not isinstance(value, dict):
        return {path: str(value)}
    fields_by_path: dict[str, str] = {}
    for name, child in value.items():
        fields_by_path |= _flatten(f"{path}.{name}", child)
    return fields_by_path


def _with_preset(config: Config, name: str) -> Config:
    if name not in config.presets:
        raise KeyError(name)
    return replace(config, in_force=name)


def _diff_rules(
    name: str, old_rule: ShareRule, new_rule: ShareRule
) -> list[Difference]:
    differences: list[Difference] = []
    for rule_field in fields(ShareRule):
        values = getattr(old_rule, rule_field.name), getattr(new_rule, rule_field.name)
        if values[0] != values[1]:
            differences.append(
                Difference(name, rule_field.name, *map(_format_value, values))
            )
    return differences


def _format_value(value: object) -> str:
    return value.name.lower() if hasattr(value, "name") else str(value)
