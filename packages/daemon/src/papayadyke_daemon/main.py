"""The daemon's command line."""

from __future__ import annotations

import signal
import tempfile
import threading
from pathlib import Path
from typing import Annotated, NoReturn

import typer
from result import Err

from papayadyke_core.workloads import ConfigModel
from papayadyke_daemon._logs import set_up_logs
from papayadyke_daemon.daemon import Daemon
from papayadyke_daemon.embedded import Embedded
from papayadyke_daemon.peering import KeysError
from papayadyke_daemon.settings import LogSettings, load_settings

EXIT_BAD_SETTINGS = 2
EXIT_NOT_DRAINED = 3
EXIT_NO_ADDRESS = 4
DEFAULT_PORT = 8080

app = typer.Typer(
    no_args_is_help=True, add_completion=True, pretty_exceptions_enable=False
)


@app.callback()
def _main() -> None:
    """Run the papayadyke daemon of one entry VM."""


@app.command()
def serve(
    settings: Annotated[Path, typer.Option(help="Settings file in JSON.")],
    config: Annotated[
        Path | None, typer.Option(help="Configuration to start with, in JSON.")
    ] = None,
    port_file: Annotated[
        Path | None, typer.Option(help="File that gets the callers' port.")
    ] = None,
) -> None:
    """Run the daemon until SIGTERM or Ctrl-C, then drain."""
    loaded = load_settings(settings)
    if isinstance(loaded, Err):
        _tell_faults(loaded.err_value.lines)
    ending = _catch_signals()
    set_up_logs(loaded.unwrap().log)
    try:
        daemon = Daemon(loaded.unwrap())
    except KeysError as exc:
        _tell_faults((f"keys_file: {exc}",))
    try:
        daemon.start()
    except OSError as exc:
        typer.echo(f"a listener can not be opened: {exc}", err=True)
        raise typer.Exit(EXIT_NO_ADDRESS) from None
    if config is not None:
        model = ConfigModel.model_validate_json(config.read_bytes())
        daemon.load_first_config(model)
    host, port = daemon.address
    if port_file is not None:
        port_file.write_text(str(port))
    typer.echo(f"papayadyked takes callers at http://{host}:{port}")
    ending.wait()
    drained = daemon.drain()
    daemon.stop()
    raise typer.Exit(0 if drained else EXIT_NOT_DRAINED)


@app.command()
def check(path: Annotated[Path, typer.Argument(help="Settings file.")]) -> None:
    """Validate a settings file and name each bad field."""
    loaded = load_settings(path)
    if isinstance(loaded, Err):
        _tell_faults(loaded.err_value.lines)
    typer.echo(f"{path}: good")


@app.command()
def embedded(
    port: Annotated[int, typer.Option(help="Port; 0 lets the system choose.")] = (
        DEFAULT_PORT
    ),
    log_format: Annotated[str, typer.Option(help="plain or json.")] = "plain",
) -> None:
    """Run a daemon with stand-ins of the platform in this one process."""
    ending = _catch_signals()
    set_up_logs(LogSettings(format=log_format))
    with tempfile.TemporaryDirectory(prefix="papayadyke-") as directory:
        whole = Embedded(Path(directory), port=port)
        try:
            whole.start()
        except OSError as exc:
            typer.echo(f"a listener can not be opened: {exc}", err=True)
            raise typer.Exit(EXIT_NO_ADDRESS) from None
        host, chosen = whole.daemon.address
        typer.echo(f"papayadyked takes callers at http://{host}:{chosen}")
        typer.echo(f"operate it with: papayadyke --settings {whole.operator_settings}")
        ending.wait()
        drained = whole.stop()
    raise typer.Exit(0 if drained else EXIT_NOT_DRAINED)


def _catch_signals() -> threading.Event:
    ending = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: ending.set())
    return ending


def _tell_faults(lines: tuple[str, ...]) -> NoReturn:
    for line in lines:
        typer.echo(line, err=True)
    raise typer.Exit(EXIT_BAD_SETTINGS)


if __name__ == "__main__":
    app()
