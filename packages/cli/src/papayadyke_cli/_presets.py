"""`papayadyke preset`: the common commands, and diff, switch and in-force."""

from __future__ import annotations

from typing import Annotated

import typer

from papayadyke_cli._changes import (
    ChangeId,
    Expected,
    Header,
    make_header,
    read_config,
    send_change,
)
from papayadyke_cli._exits import ExitCode, fail
from papayadyke_cli._items import ItemCommands, make_item_app
from papayadyke_cli._output import JsonFlag, format_stamp, print_json, print_table
from papayadyke_cli._settings import Session
from papayadyke_core.configuration import (
    AnyChange,
    ItemKind,
    PutPreset,
    SwitchPreset,
    diff_presets,
)
from papayadyke_core.workloads import PresetModel


def _put_preset(header: Header, model: PresetModel) -> AnyChange:
    return PutPreset(
        id=header.id, author=header.author, expected=header.expected, preset=model
    )


preset_app = make_item_app(
    ItemCommands(
        kind=ItemKind.PRESET,
        model=PresetModel,
        make_change=_put_preset,
        columns=("RULES", "DESCRIPTION"),
        cells=lambda model: (len(model.rules), model.description),
    )
)


@preset_app.command()
def switch(
    ctx: typer.Context,
    name: Annotated[str, typer.Argument(help="Preset to put in force.")],
    expected: Expected = None,
    change_id: ChangeId = None,
    as_json: JsonFlag = False,
) -> None:
    """Put a preset in force instead of the current one."""
    session: Session = ctx.obj
    client = session.connect()
    in_force = read_config(client).in_force
    if in_force.preset == name and change_id is None and expected is None:
        _print_in_force_already(name, format_stamp(in_force.stamp), as_json, in_force)
        return
    header = make_header(
        session, in_force.stamp.revision, expected=expected, change_id=change_id
    )
    change = SwitchPreset(
        id=header.id, author=header.author, expected=header.expected, preset=name
    )
    send_change(client, change, f"preset {name} in force", as_json=as_json)


def _print_in_force_already(name, stamp: str, as_json: bool, view) -> None:
    if as_json:
        print_json(view)
    else:
        typer.echo(f"preset {name} is in force already: {stamp}")


@preset_app.command("in-force")
def in_force(ctx: typer.Context, as_json: JsonFlag = False) -> None:
    """Show which preset is in force, and who put it in force."""
    session: Session = ctx.obj
    view = read_config(session.connect()).in_force
    if as_json:
        print_json(view)
        return
    typer.echo(f"{view.preset}: {format_stamp(view.stamp)}")


@preset_app.command()
def diff(
    ctx: typer.Context,
    first: Annotated[str, typer.Argument(help="Preset to compare.")],
    second: Annotated[
        str | None,
        typer.Argument(help="Preset to compare with; by default the one in force."),
    ] = None,
    as_json: JsonFlag = False,
) -> None:
    """Show how each workload's settings differ between two presets."""
    session: Session = ctx.obj
    view = read_config(session.connect())
    config = view.to_model().to_config(revision=view.revision)
    before, after = (view.in_force.preset, first) if second is None else (first, second)
    for name in (before, after):
        if name not in config.presets:
            fail(ExitCode.NOT_FOUND, f"there is no preset {name}")
    differences = diff_presets(config, before, after)
    if as_json:
        print_json(differences)
        return
    if not differences:
        typer.echo(f"{before} and {after} have the same effect")
        return
    rows = [
        (difference.workload, difference.field, difference.before, difference.after)
        for difference in differences
    ]
    print_table(("WORKLOAD", "FIELD", before, after), rows)
