"""`papayadyke config`: the whole configuration from and to a file."""

from __future__ import annotations

from typing import Annotated

import typer
from pydantic import ValidationError

from papayadyke_cli._changes import (
    ChangeId,
    Expected,
    make_header,
    read_config,
    send_change,
)
from papayadyke_cli._exits import ExitCode, fail
from papayadyke_cli._output import JsonFlag, print_json
from papayadyke_cli._settings import Session
from papayadyke_cli._values import read_bytes
from papayadyke_core.configuration import ReplaceConfig, problems_from_error
from papayadyke_core.workloads import ConfigModel

config_app = typer.Typer(no_args_is_help=True)
ConfigFile = Annotated[
    str, typer.Argument(help='JSON file, or "-" for standard input.')
]


@config_app.command()
def load(
    ctx: typer.Context,
    file: ConfigFile,
    expected: Expected = None,
    change_id: ChangeId = None,
    as_json: JsonFlag = False,
) -> None:
    """Replace all workloads, teams, presets and the preset in force from a file."""
    session: Session = ctx.obj
    model = _read_model(file)
    client = session.connect()
    current_revision = read_config(client).revision
    header = make_header(
        session, current_revision, expected=expected, change_id=change_id
    )
    change = ReplaceConfig(
        id=header.id, author=header.author, expected=header.expected, config=model
    )
    send_change(client, change, "configuration", as_json=as_json)


@config_app.command()
def check(file: ConfigFile) -> None:
    """Check that a file holds a valid configuration, without a daemon."""
    model = _read_model(file)
    typer.echo(
        f"valid: {len(model.workloads)} workloads, {len(model.teams)} teams, "
        f"{len(model.presets)} presets, {model.in_force} in force"
    )


@config_app.command()
def show(ctx: typer.Context, as_json: JsonFlag = False) -> None:
    """Print the whole configuration in the form that `load` reads."""
    session: Session = ctx.obj
    view = read_config(session.connect())
    print_json(view if as_json else view.to_model())


def _read_model(file: str) -> ConfigModel:
    try:
        return ConfigModel.model_validate_json(read_bytes(file))
    except ValidationError as exc:
        lines = [
            f"{p.path}: {p.message}".removeprefix(": ")
            for p in problems_from_error(exc)
        ]
        fail(ExitCode.INVALID, f"{file}: " + "; ".join(lines))
