"""Tables for people, JSON for scripts."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated, Any

import msgspec
import typer

from papayadyke_clients.operators import encode_json
from papayadyke_core.configuration import ChangeStamp

JsonFlag = Annotated[bool, typer.Option("--json", help="Print JSON.")]


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    typer.echo(msgspec.json.format(encode_json(value), indent=2).decode())


def print_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows as a table with aligned columns."""
    texts = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    for line in texts:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        typer.echo("  ".join(cells).rstrip())


def format_stamp(stamp: ChangeStamp) -> str:
    """Return a text that names the last change of an item and its author."""
    if stamp.revision == 0:
        return "never changed"
    return f"revision {stamp.revision} by {stamp.author}"
