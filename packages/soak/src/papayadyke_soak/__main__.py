"""Command line of the soak."""

from __future__ import annotations

import logging
import sys
import tempfile
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from papayadyke_soak._faults import ALL_KINDS, FaultKind
from papayadyke_soak._soak import LONG_SHARE, SoakSettings, run_soak

BROKEN = 1  # exit code when a promise was broken


def main(
    seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    seeds: Annotated[int, typer.Option(min=1, help="Runs, seed after seed.")] = 1,
    minutes: Annotated[float, typer.Option(min=0.05, help="Of load and faults.")] = 1.0,
    processes: Annotated[int, typer.Option(min=1, max=200, help="VMs.")] = 5,
    upstreams: Annotated[int, typer.Option(min=1, max=200)] = 6,
    fault: Annotated[
        list[FaultKind] | None,
        typer.Option(help="Kind of fault, may be given several times; else all."),
    ] = None,
    long_share: Annotated[
        float,
        typer.Option(min=0.0, max=1.0, help="Part of the jobs with long tasks."),
    ] = LONG_SHARE,
    keep: Annotated[
        Path | None, typer.Option(help="Folder for logs; a temporary one if not given.")
    ] = None,
    verbose: Annotated[bool, typer.Option(help="Print faults as they come.")] = False,
) -> None:
    """Run the edge VMs' program under random faults and check its promises."""
    logging.basicConfig(level=logging.INFO if verbose else logging.ERROR)
    is_broken = False
    for number in range(seed, seed + seeds):
        cfg = SoakSettings(
            seed=number,
            minutes=minutes,
            processes=processes,
            upstreams=upstreams,
            kinds=tuple(fault) if fault else ALL_KINDS,
            long_share=long_share,
        )
        with tempfile.TemporaryDirectory(prefix="papayadyke-soak-") as temporary:
            directory = Path(temporary) if keep is None else keep / str(number)
            directory.mkdir(parents=True, exist_ok=True)
            report = run_soak(cfg, directory)
        is_broken = is_broken or bool(report.violations)
        typer.echo(msgspec.json.encode(report).decode())
    sys.exit(BROKEN if is_broken else 0)


if __name__ == "__main__":
    typer.run(main)
