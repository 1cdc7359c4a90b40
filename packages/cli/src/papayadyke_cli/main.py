"""Entry point of the command."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from papayadyke_cli._callers import job_app, submit
from papayadyke_cli._config import config_app
from papayadyke_cli._presets import preset_app
from papayadyke_cli._questions import explain, refused, status
from papayadyke_cli._report import report_app
from papayadyke_cli._settings import SETTINGS_VARIABLE, Session
from papayadyke_cli._workloads import team_app, workload_app

app = typer.Typer(
    no_args_is_help=True, add_completion=True, pretty_exceptions_enable=False
)


@app.callback()
def _main(
    ctx: typer.Context,
    settings: Annotated[
        Path | None,
        typer.Option(envvar=SETTINGS_VARIABLE, help="Settings file in JSON."),
    ] = None,
) -> None:
    """Operate papayadyke: workloads, teams, presets, and the outcome of requests."""
    ctx.obj = Session(settings)


app.add_typer(workload_app, name="workload", help="Workloads and what they need.")
app.add_typer(team_app, name="team", help="Teams and their quotas.")
app.add_typer(preset_app, name="preset", help="Presets, and the one in force.")
app.add_typer(config_app, name="config", help="The whole configuration as a file.")
app.add_typer(job_app, name="job", help="Submit, show and cancel jobs.")
app.add_typer(report_app, name="report", help="Reports over all VMs.")
app.command()(submit)
app.command()(status)
app.command()(explain)
app.command()(refused)
