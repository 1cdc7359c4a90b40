"""What another preset would change."""

from __future__ import annotations

from dataclasses import dataclass, fields, replace

from papayadyke_core.workloads import Config, ShareRule, effective_rule


@dataclass(frozen=True, slots=True)
class Difference:
    """One field of a workload that two presets set differently.

    Parameters
    ----------
    workload : str
    field : str
    before, after : str
        The values, as text.
    """

    workload: str
    field: str
    before: str
    after: str


def diff_presets(config: Config, before: str, after: str) -> list[Difference]:
    """Return what changes for each workload from one preset to another.

    Parameters
    ----------
    config : Config
    before, after : str
        Names of presets of `config`.

    Returns
    -------
    differences : list of Difference
        In order of workloads and fields; fields with the same effect are left
        out, whether a rule or the workload itself sets them.

    Raises
    ------
    KeyError
        If there is no such preset.
    """
    first = _with_preset(config, before)
    second = _with_preset(config, after)
    found: list[Difference] = []
    for name in sorted(config.workloads):
        old, new = effective_rule(first, name), effective_rule(second, name)
        found += _rule_differences(name, old, new)
    return found


def _with_preset(config: Config, name: str) -> Config:
    if name not in config.presets:
        raise KeyError(name)
    return replace(config, in_force=name)


def _rule_differences(name: str, old: ShareRule, new: ShareRule) -> list[Difference]:
    found: list[Difference] = []
    for item in fields(ShareRule):
        values = getattr(old, item.name), getattr(new, item.name)
        if values[0] != values[1]:
            found.append(Difference(name, item.name, *map(_text, values)))
    return found


def _text(value: object) -> str:
    return value.name.lower() if hasattr(value, "name") else str(value)
