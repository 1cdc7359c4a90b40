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
from papayadyke_cli._check_report import make_report, print_report
from papayadyke_cli._exits import ExitCode, fail
from papayadyke_cli._output import JsonFlag, print_json
from papayadyke_cli._settings import Session
from papayadyke_cli._values import read_bytes
from papayadyke_core.configuration import (
    ReplaceConfig,
    check_config,
    problems_from_error,
)
from papayadyke_core.resources import Resources
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
def check(
    ctx: typer.Context,
    file: ConfigFile,
    offline: Annotated[
        bool,
        typer.Option("--offline", help="Don't compare with the version in force."),
    ] = False,
    fleet_cpus: Annotated[
        float, typer.Option(help="Processors of all upstreams; 0 if unknown.", min=0)
    ] = 0.0,
    fleet_memory_mb: Annotated[
        int, typer.Option(help="Memory of all upstreams, MiB; 0 if unknown.", min=0)
    ] = 0,
    fleet_accelerators: Annotated[
        int, typer.Option(help="Accelerators of all upstreams; 0 if unknown.", min=0)
    ] = 0,
    as_json: JsonFlag = False,
) -> None:
    """Report errors, entries without effect and changes; send nothing."""
    session: Session = ctx.obj
    fleet = Resources(round(fleet_cpus * 1000), fleet_memory_mb, fleet_accelerators)
    checked = check_config(read_bytes(file), fleet=fleet)
    report = make_report(session, checked, offline=offline)
    if as_json:
        print_json(report)
    else:
        print_report(report, checked.model)
    if not report.is_valid:
        fail(ExitCode.INVALID, f"{file}: the daemon would reject this configuration")


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
