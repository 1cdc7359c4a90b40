"""Entry point of the command."""

import typer

app = typer.Typer(no_args_is_help=True, add_completion=True)


@app.callback()
def _main() -> None:
    """Run one of the commands."""
