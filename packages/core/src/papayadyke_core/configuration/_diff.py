"""Differences between two presets."""

from __future__ import annotations

from dataclasses import dataclass, fields, replace

from papayadyke_core.workloads import Config, ShareRule, effective_rule


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
    config_before = _with_preset(config, before)
    config_after = _with_preset(config, after)
    differences: list[Difference] = []
    for name in sorted(config.workloads):
        old_rule, new_rule = (
            effective_rule(config_before, name),
            effective_rule(config_after, name),
        )
        differences += _diff_rules(name, old_rule, new_rule)
    return differences


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
