"""Workloads, teams, presets and the configuration that contains them."""

from papayadyke_core.workloads._config import Config, effective_rule
from papayadyke_core.workloads._models import (
    ConfigModel,
    PresetModel,
    ShareRuleModel,
    TeamModel,
    WorkloadModel,
)
from papayadyke_core.workloads._preset import Preset, ShareRule
from papayadyke_core.workloads._workload import (
    Kind,
    SloTarget,
    Team,
    Urgency,
    Workload,
)

__all__ = [
    "Config",
    "ConfigModel",
    "Kind",
    "Preset",
    "PresetModel",
    "ShareRule",
    "ShareRuleModel",
    "SloTarget",
    "Team",
    "TeamModel",
    "Urgency",
    "Workload",
    "WorkloadModel",
    "effective_rule",
]
