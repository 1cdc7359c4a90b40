"""Scheduler configuration: workloads, teams, presets and a revision."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from papayadyke_core.workloads._preset import Preset, ShareRule
from papayadyke_core.workloads._workload import Team, Workload

EMPTY_PRESET = Preset(name="ordinary")


@dataclass(frozen=True, slots=True)
class Config:
    """Configuration declared by operators, at one revision.

    Parameters
    ----------
    revision : int, default=0
        Increases by one with each accepted change.
    workloads : mapping of str to Workload
    teams : mapping of str to Team
    presets : mapping of str to Preset
        Contains at least the preset in force.
    in_force : str, default="ordinary"
        Name of the preset in force; exactly one is in force at any time.
    """

    revision: int = 0
    workloads: Mapping[str, Workload] = field(default_factory=dict)
    teams: Mapping[str, Team] = field(default_factory=dict)
    presets: Mapping[str, Preset] = field(
        default_factory=lambda: {EMPTY_PRESET.name: EMPTY_PRESET}
    )
    in_force: str = EMPTY_PRESET.name

    @property
    def preset(self) -> Preset:
        """The preset in force."""
        return self.presets[self.in_force]


def effective_rule(config: Config, name: str) -> ShareRule:
    """Return the share and limits of a workload under the preset in force.

    Parameters
    ----------
    config : Config
    name : str
        Name of a workload of `config`.

    Returns
    -------
    rule : ShareRule
        Rule with all fields set; none is None.

    Raises
    ------
    KeyError
        If `config` does not contain the workload.
    """
    workload = config.workloads[name]
    rule = config.preset.rules.get(name, ShareRule())
    return replace(
        rule,
        weight=workload.weight if rule.weight is None else rule.weight,
        floor=workload.floor if rule.floor is None else rule.floor,
        ceiling=workload.ceiling if rule.ceiling is None else rule.ceiling,
        urgency=workload.urgency if rule.urgency is None else rule.urgency,
        queue_limit=(
            workload.queue_limit if rule.queue_limit is None else rule.queue_limit
        ),
    )
