"""`papayadyke report losses`: tables, JSON and HTML."""

from __future__ import annotations

import html
from collections import Counter
from collections.abc import Sequence
from enum import StrEnum
from pathlib import Path
from typing import Annotated, Any

import typer
from matplotlib.figure import Figure

from papayadyke_cli._exits import ExitCode, fail
from papayadyke_cli._html import PLOT_WIDTH_IN, render_page, render_svg, render_table
from papayadyke_cli._log_lines import parse_events
from papayadyke_cli._losses import (
    LOSSES,
    LossReport,
    Outcome,
    Request,
    count_causes,
    find_losses,
    group_requests,
    split_by_time,
)
from papayadyke_cli._output import JsonFlag, print_json, print_table

CAUSE_HEADER = ("cause", "lost", "by queue", "seconds")
OUTCOMES = (Outcome.IN_TIME, *LOSSES, Outcome.CANCELLED)
GROUP_HEADER = (*(outcome.replace("_", " ") for outcome in OUTCOMES), "main causes")
MAX_PLOTTED_CAUSES = 8


class Grouping(StrEnum):
    """By what the requests of a report may be grouped."""

    QUEUE = "queue"
    SIZE = "size"
    ZONE = "zone"
    TEAM = "team"
    VM = "vm"


def losses(
    logs: Annotated[list[Path], typer.Argument(help="Logs of edge VMs.")],
    by: Annotated[Grouping, typer.Option(help="Second table.")] = Grouping.QUEUE,
    step: Annotated[float, typer.Option(min=0.1, help="Seconds per row.")] = 2.0,
    as_json: JsonFlag = False,
    html_file: Annotated[
        Path | None, typer.Option("--html", help="Write one HTML file with a plot.")
    ] = None,
) -> None:
    """Show which requests were late, refused or failed, and what took the time."""
    report = read_losses(logs)
    if html_file is not None:
        page = render_losses_html(report, by=by, step_s=step)
        html_file.write_text(page, encoding="utf-8")
        typer.echo(f"written to {html_file}")
        return
    if as_json:
        print_json(_make_json(report))
        return
    print_table(CAUSE_HEADER, list_causes(report.requests))
    typer.echo()
    print_table((by, *GROUP_HEADER), list_groups(report, by))
    typer.echo()
    print_table(("from s", *GROUP_HEADER), list_spans(report, step))
    if report.unreadable:
        typer.echo(f"{report.unreadable} lines could not be read")
    if report.dropped:
        typer.echo(f"{report.dropped} lines were dropped by the VMs")


def read_losses(logs: Sequence[Path]) -> LossReport:
    """Return the report on log files, or end the program if one cannot be read."""
    events: list[dict[str, Any]] = []
    unreadable = 0
    for path in logs:
        try:
            lines = path.read_text(errors="replace").splitlines()
        except OSError as exc:
            fail(ExitCode.USAGE, f"{path}: {exc.strerror}")
        found, skipped = parse_events(lines, vm=path.stem)
        events += found
        unreadable += skipped
    events.sort(key=lambda event: event["ts"])
    return find_losses(events, unreadable=unreadable)


def list_causes(requests: Sequence[Request]) -> list[tuple[object, ...]]:
    """Return a row for each main cause of lost requests, the most frequent first."""
    return [
        (cause, queues.total(), _format_counts(queues), f"{seconds:.1f}")
        for cause, (queues, seconds) in count_causes(requests).items()
    ]


def list_groups(report: LossReport, by: str) -> list[tuple[object, ...]]:
    """Return a row for each queue, zone, team or VM."""
    groups = group_requests(report, by)
    return [(name, *_summarize(requests)) for name, requests in groups.items()]


def list_spans(report: LossReport, step_s: float) -> list[tuple[object, ...]]:
    """Return a row for each span of time."""
    return [
        (f"{offset_s:.1f}", *_summarize(requests))
        for offset_s, requests in split_by_time(report, step_s)
    ]


def render_losses_html(report: LossReport, *, by: str, step_s: float) -> str:
    """Return an HTML document with a plot and the tables of a report.

    Parameters
    ----------
    report : LossReport
    by : str
        `queue`, `size`, `zone`, `team` or `vm`.
    step_s : float
        Seconds per row of the table over time.
    """
    sections = (
        "<h1>Lost requests</h1>",
        _plot_causes(report, step_s),
        "<h2>By cause</h2>",
        render_table(CAUSE_HEADER, list_causes(report.requests)),
        f"<h2>By {html.escape(by)}</h2>",
        render_table((by, *GROUP_HEADER), list_groups(report, by)),
        "<h2>Over time</h2>",
        render_table(("from s", *GROUP_HEADER), list_spans(report, step_s)),
        f"<p>{report.unreadable} lines could not be read, "
        f"{report.dropped} were dropped by the VMs.</p>",
    )
    return render_page("Lost requests", sections)


def _summarize(requests: Sequence[Request]) -> tuple[object, ...]:
    outcomes = Counter(request.outcome for request in requests)
    causes: Counter[str] = Counter()
    for cause, (queues, _) in count_causes(requests).items():
        causes[cause] = queues.total()
    return (*(outcomes[outcome] for outcome in OUTCOMES), _format_counts(causes, 3))


def _format_counts(counts: Counter[str], most: int | None = None) -> str:
    rows = counts.most_common(most)
    return ", ".join(f"{name} {count}" for name, count in rows) or "-"


def _make_json(report: LossReport) -> dict[str, object]:
    return {
        "requests": [
            {
                "request": request.job_id,
                "queue": request.queue,
                "team": request.team,
                "vm": request.vm,
                "zone": report.zones.get(request.vm, ""),
                "first_s": request.first_s,
                "ended_s": request.ended_s,
                "objective_s": request.objective_s,
                "core_s": request.work_core_s,
                "outcome": request.outcome,
                "main_cause": request.main_cause,
                "delays": request.delays,
            }
            for request in report.requests
        ],
        "unreadable": report.unreadable,
        "dropped": report.dropped,
    }


def _plot_causes(report: LossReport, step_s: float) -> str:
    """Return an SVG plot of the lost requests over time, by main cause."""
    spans = split_by_time(report, step_s)
    counts = [
        {cause: rows[0].total() for cause, rows in count_causes(requests).items()}
        for _, requests in spans
    ]
    totals: Counter[str] = Counter()
    for row in counts:
        totals.update(row)
    figure = Figure(figsize=(PLOT_WIDTH_IN, 3.6), layout="constrained")
    axes = figure.subplots()
    offsets_s = [offset_s for offset_s, _ in spans]
    below = [0] * len(spans)
    for cause, _ in totals.most_common(MAX_PLOTTED_CAUSES):
        heights = [row.get(cause, 0) for row in counts]
        axes.bar(
            offsets_s, heights, 0.9 * step_s, below, align="edge", label=cause[:40]
        )
        below = [low + height for low, height in zip(below, heights, strict=True)]
    axes.set_xlabel("seconds from the first request, by first attempt")
    axes.set_ylabel("lost requests")
    if totals:
        axes.legend(frameon=False, fontsize="small")
    return render_svg(figure)
