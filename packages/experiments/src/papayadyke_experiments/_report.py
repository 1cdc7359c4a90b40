"""Tables and plots of a comparison."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path

import matplotlib
import numpy as np

matplotlib.use("svg")

from matplotlib.figure import Figure

from papayadyke_experiments._outcomes import Measures
from papayadyke_experiments._statistics import compare_paired

# Measures of each variant, in the order of seeds.
Results = Mapping[str, Sequence[Measures]]

MAX_CAUSES = 5
PLOT_WIDTH_IN, ROW_HEIGHT_IN = 8.0, 0.42


def format_comparison(results: Results, *, base: str) -> str:
    """Return a Markdown table of the variants and their difference to the base.

    The column of large jobs has the mean of `Measures.large_served`.

    Parameters
    ----------
    results : mapping of str to sequence of Measures
    base : str
        Variant that the others are compared with.
    """
    kinds = list(results[base][0].in_time)
    header = ["variant", "score", "difference (95%)", "whole", "worst windows"]
    header += [f"{kind} in time" for kind in kinds]
    header += ["large served", "value lost by cause"]
    lines = [_format_row(header), _format_row(["---"] * len(header))]
    for name, measures in results.items():
        scores = [row.score for row in measures]
        cells = [name, f"{np.mean(scores):.3f}", "-"]
        if name != base:
            difference = compare_paired(scores, [row.score for row in results[base]])
            bounds = f"{difference.low:+.3f} to {difference.high:+.3f}"
            cells[2] = f"{difference.mean:+.3f} ({bounds})"
        cells.append(f"{np.mean([row.whole for row in measures]):.3f}")
        cells.append(f"{np.mean([row.worst_windows for row in measures]):.3f}")
        for kind in kinds:
            shares = [row.in_time.get(kind, 1.0) for row in measures]
            cells.append(f"{np.mean(shares):.3f}")
        cells.append(f"{np.mean([row.large_served for row in measures]):.3f}")
        cells.append(_format_causes(measures))
        lines.append(_format_row(cells))
    return "\n".join(lines)


def _format_row(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def _format_causes(measures: Sequence[Measures]) -> str:
    totals: dict[str, float] = {}
    for row in measures:
        for cause, lost in row.causes.items():
            totals[cause] = totals.get(cause, 0.0) + lost / len(measures)
    ordered = sorted(totals.items(), key=lambda item: -item[1])[:MAX_CAUSES]
    return ", ".join(f"{cause} {lost:.3f}" for cause, lost in ordered) or "-"


def write_plot(path: Path, results: Results, *, base: str) -> None:
    """Write an SVG file with the differences to the base and their intervals."""
    names = [name for name in results if name != base]
    height = ROW_HEIGHT_IN * (len(names) + 2)
    figure = Figure(figsize=(PLOT_WIDTH_IN, max(height, 2.0)), layout="constrained")
    axes = figure.subplots()
    base_scores = [row.score for row in results[base]]
    for position, name in enumerate(names):
        scores = [row.score for row in results[name]]
        difference = compare_paired(scores, base_scores)
        axes.plot([difference.low, difference.high], [position] * 2, color="#2f6fab")
        axes.plot([difference.mean], [position], "o", color="#2f6fab")
    axes.axvline(0.0, color="#a3161a", linewidth=1, linestyle=":")
    axes.set_yticks(range(len(names)), names)
    axes.set_xlabel(f"difference of the score to {base}, 95% interval")
    with matplotlib.rc_context({"svg.hashsalt": "experiments"}):
        figure.savefig(path, format="svg", metadata={"Date": None})
