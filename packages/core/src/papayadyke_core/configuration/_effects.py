"""Valid entries of a configuration that cannot have the effect that they state."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from papayadyke_core.configuration._draft import Draft, Entry
from papayadyke_core.resources import Resources
from papayadyke_core.workloads import (
    Kind,
    PresetModel,
    ShareRuleModel,
    TeamModel,
    WorkloadModel,
)

# Sums of fractions such as 0.1 + 0.2 exceed their exact value by rounding errors.
_TOLERANCE = 1e-9
_NO_RULE = ShareRuleModel()
_RULE_FIELDS = ("weight", "floor", "ceiling", "urgency", "queue_limit")

Message = tuple[str, str]


@dataclass(frozen=True, slots=True)
class _Share:
    """Workload with the rule of one preset."""

    workload: WorkloadModel
    workload_path: str
    rule: ShareRuleModel
    preset_path: str

    def value(self, field: str) -> Any:
        """Return the effective value of a field."""
        own = getattr(self.workload, field)
        return own if getattr(self.rule, field) is None else getattr(self.rule, field)

    def path(self, field: str) -> str:
        """Return the path of the entry that sets a field."""
        is_own = getattr(self.rule, field) is None
        rule_path = f"{self.preset_path}.rules.{self.workload.name}"
        return f"{self.workload_path if is_own else rule_path}.{field}"

    @property
    def is_admitted(self) -> bool:
        """Whether any request can be accepted; a queue limit of 0 rejects all."""
        return self.rule.admit and self.value("queue_limit") > 0


def find_effects(draft: Draft, fleet: Resources) -> list[Message]:
    """Return path and sentence of entries without the effect that they state.

    Parameters
    ----------
    draft : Draft
        Invalid entries are skipped.
    fleet : Resources
        Capacity of all upstreams; dimensions of zero are unknown.
    """
    workloads = [(e, e.model) for e in draft.workloads if e.model is not None]
    presets = [(e, e.model) for e in draft.presets if e.model is not None]
    teams = {e.model.name: e for e in draft.teams if e.model is not None}
    # Under several presets the same value gives the same message once.
    messages: dict[Message, None] = {}
    admitted_by_preset: dict[str, list[_Share]] = {e.path: [] for e, _ in presets}
    for entry, workload in workloads:
        shares = _list_shares(entry, workload, presets)
        admitted = [share for share in shares if share.is_admitted]
        if presets and not admitted:
            text = "no caller can reach the workload: each preset rejects its requests"
            messages[entry.path, text] = None
            continue
        messages.update(dict.fromkeys(_find_overridden(entry, workload, shares)))
        for share in admitted:
            admitted_by_preset[share.preset_path].append(share)
            team = teams.get(workload.team)
            messages.update(dict.fromkeys(_find_limits(share, team, fleet)))
    for path, admitted in admitted_by_preset.items():
        messages.update(dict.fromkeys(_find_team_floors(path, admitted, teams)))
    return list(messages)


def _list_shares(
    entry: Entry[WorkloadModel],
    workload: WorkloadModel,
    presets: Sequence[tuple[Entry[PresetModel], PresetModel]],
) -> list[_Share]:
    return [
        _Share(
            workload=workload,
            workload_path=entry.path,
            rule=preset.rules.get(workload.name, _NO_RULE),
            preset_path=preset_entry.path,
        )
        for preset_entry, preset in presets
    ]


def _find_overridden(
    entry: Entry[WorkloadModel], workload: WorkloadModel, shares: Sequence[_Share]
) -> Iterator[Message]:
    for field in _RULE_FIELDS:
        default = WorkloadModel.model_fields[field].default
        is_overridden = all(getattr(share.rule, field) is not None for share in shares)
        if shares and is_overridden and getattr(workload, field) != default:
            yield f"{entry.path}.{field}", "each preset sets another value in its place"


def _find_limits(
    share: _Share, team: Entry[TeamModel] | None, fleet: Resources
) -> Iterator[Message]:
    workload = share.workload
    floor, ceiling = share.value("floor"), share.value("ceiling")
    if _is_too_small(ceiling, workload, fleet):
        yield share.path("ceiling"), _describe_limit("ceiling", ceiling, workload)
    if team is None or team.model is None:
        return
    quota = team.model.quota
    if floor > quota + _TOLERANCE:
        message = (
            f"the floor {floor:g} is above the quota {quota:g} of team {team.name}"
        )
        yield share.path("floor"), message
    if _is_too_small(quota, workload, fleet):
        yield f"{team.path}.quota", _describe_limit("quota", quota, workload)


def _is_too_small(limit: float, workload: WorkloadModel, fleet: Resources) -> bool:
    if limit >= 1.0:
        return False
    demand = workload.to_workload().demand * _min_tasks(workload)
    needed = demand.dominant_share(fleet)
    return limit == 0.0 or needed > limit + _TOLERANCE


def _min_tasks(workload: WorkloadModel) -> int:
    # A single task may always start, so that only two tasks at once are a gang that
    # a limit can exclude.
    return 2 if workload.kind is Kind.GANG else 1


def _describe_limit(limit_name: str, limit: float, workload: WorkloadModel) -> str:
    if workload.kind is Kind.GANG:
        return (
            f"the {limit_name} {limit:g} is below two tasks of {workload.name}, so "
            "that each gang of more than one task is rejected"
        )
    return (
        f"the {limit_name} {limit:g} is below one task of {workload.name}, so that it "
        "runs only while nothing else counts towards the limit"
    )


def _find_team_floors(
    preset_path: str, shares: Sequence[_Share], teams: dict[str, Entry[TeamModel]]
) -> Iterator[Message]:
    floors: dict[str, list[float]] = {}
    for share in shares:
        floors.setdefault(share.workload.team, []).append(share.value("floor"))
    for name, values in floors.items():
        team = teams[name].model if name in teams else None
        # A single floor above the quota is reported at the floor.
        if team is None or max(values) > team.quota + _TOLERANCE:
            continue
        if sum(values) > team.quota + _TOLERANCE:
            message = (
                f"the floors of team {name} sum to {sum(values):.6g}, more than its "
                f"quota {team.quota:g}"
            )
            yield preset_path, message
