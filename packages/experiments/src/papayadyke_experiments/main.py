"""`papayadyke-experiments`: compare variants of the dispatcher over many seeds."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from papayadyke_experiments._outcomes import Measures, measure
from papayadyke_experiments._report import Results, format_comparison, write_plot
from papayadyke_experiments._scenario import Scenario, ScenarioError, read_scenario
from papayadyke_experiments._simulation import simulate
from papayadyke_experiments._variants import (
    BASE,
    MECHANISMS,
    WITHOUT,
    Variant,
    VariantError,
    parse_variant,
)

app = typer.Typer(no_args_is_help=True, pretty_exceptions_enable=False)
USAGE_ERROR = 2

ScenarioArgument = Annotated[Path, typer.Argument(help="Scenario file, JSON.")]
SeedsOption = Annotated[int, typer.Option(min=1, help="Number of seeds.")]
JobsOption = Annotated[int, typer.Option(min=1, help="Processes at a time.")]
PlotOption = Annotated[Path | None, typer.Option(help="Write a plot as SVG.")]
JsonOption = Annotated[Path | None, typer.Option("--json", help="Write all measures.")]


@app.command()
def compare(
    scenario: ScenarioArgument,
    variants: Annotated[
        list[str],
        typer.Argument(
            help="base, without:MECHANISM, or settings as in name=value,..."
        ),
    ],
    seeds: SeedsOption = 8,
    jobs: JobsOption = 3,
    plot: PlotOption = None,
    json_file: JsonOption = None,
) -> None:
    """Compare variants; the first one is what the others are compared with."""
    _compare(scenario, variants, seeds, jobs, plot, json_file)


@app.command()
def ablate(
    scenario: ScenarioArgument,
    mechanisms: Annotated[
        list[str] | None, typer.Argument(help="By default all of them.")
    ] = None,
    seeds: SeedsOption = 8,
    jobs: JobsOption = 3,
    plot: PlotOption = None,
    json_file: JsonOption = None,
) -> None:
    """Do without each mechanism, one at a time."""
    names = [f"{WITHOUT}{name}" for name in mechanisms or MECHANISMS]
    _compare(scenario, [BASE, *names], seeds, jobs, plot, json_file)


def _compare(
    path: Path,
    texts: list[str],
    seeds: int,
    jobs: int,
    plot: Path | None,
    json_file: Path | None,
) -> None:
    try:
        scenario = read_scenario(path)
        variants = [parse_variant(text) for text in texts]
    except (ScenarioError, VariantError) as exc:
        typer.echo(f"error: {exc}", err=True)
        raise typer.Exit(USAGE_ERROR) from exc
    results = run_all(scenario, variants, seeds=seeds, jobs=jobs)
    base = variants[0].name
    typer.echo(f"{scenario.name}: seeds 1 to {seeds}")
    typer.echo(format_comparison(results, base=base))
    if plot is not None:
        write_plot(plot, results, base=base)
    if json_file is not None:
        json_file.write_bytes(msgspec.json.encode(results))


def run_all(
    scenario: Scenario, variants: list[Variant], *, seeds: int, jobs: int
) -> Results:
    """Return the measures of each variant, in the order of seeds from 1 on."""
    with ProcessPoolExecutor(max_workers=jobs) as pool:
        futures = {
            variant.name: [
                pool.submit(run_one, scenario, variant, seed)
                for seed in range(1, seeds + 1)
            ]
            for variant in variants
        }
        return {name: [fut.result() for fut in row] for name, row in futures.items()}


def run_one(scenario: Scenario, variant: Variant, seed: int) -> Measures:
    """Return the measures of one variant with one seed."""
    return measure(simulate(scenario, seed=seed, settings=dict(variant.settings)))


if __name__ == "__main__":
    app()
