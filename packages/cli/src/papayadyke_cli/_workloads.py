"""`papayadyke workload` and `papayadyke team`."""

from __future__ import annotations

from papayadyke_cli._changes import Header
from papayadyke_cli._items import ItemCommands, make_item_app
from papayadyke_core.configuration import AnyChange, ItemKind, PutTeam, PutWorkload
from papayadyke_core.workloads import TeamModel, WorkloadModel


def _put_workload(header: Header, model: WorkloadModel) -> AnyChange:
    return PutWorkload(
        id=header.id, author=header.author, expected=header.expected, workload=model
    )


def _put_team(header: Header, model: TeamModel) -> AnyChange:
    return PutTeam(
        id=header.id, author=header.author, expected=header.expected, team=model
    )


def _workload_cells(model: WorkloadModel) -> tuple[object, ...]:
    return (
        model.kind.value,
        model.team,
        model.urgency,
        f"{model.demand.cpus:g}",
        model.demand.memory_mb,
        model.demand.accelerators,
        f"{model.floor:g}",
        "yes" if model.idempotent else "no",
    )


workload_app = make_item_app(
    ItemCommands(
        kind=ItemKind.WORKLOAD,
        model=WorkloadModel,
        make_change=_put_workload,
        columns=(
            "KIND",
            "TEAM",
            "URGENCY",
            "CPUS",
            "MEMORY_MB",
            "ACCELERATORS",
            "FLOOR",
            "IDEMPOTENT",
        ),
        cells=_workload_cells,
    )
)

team_app = make_item_app(
    ItemCommands(
        kind=ItemKind.TEAM,
        model=TeamModel,
        make_change=_put_team,
        columns=("WEIGHT", "QUOTA"),
        cells=lambda model: (f"{model.weight:g}", f"{model.quota:g}"),
    )
)
