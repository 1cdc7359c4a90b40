"""`papayadyke report`: over all VMs, and from the logs of edge VMs."""

from __future__ import annotations

import time
from collections import Counter
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from papayadyke_cli._causes import list_causes
from papayadyke_cli._exits import ExitCode, fail, fail_on_problem
from papayadyke_cli._html import render_burn_html, render_waits_html
from papayadyke_cli._losses_output import losses
from papayadyke_cli._output import JsonFlag, print_json, print_table
from papayadyke_cli._settings import Session
from papayadyke_cli._values import parse_since
from papayadyke_cli._waits import (
    COMPLETE,
    JobTimes,
    WaitsReport,
    pick_quantile,
    read_waits,
)
from papayadyke_core.slo import BurnReport, BurnWindow, WorkloadBurn

SPAN_HEADER = (
    "from s",
    "accepted",
    "waiting",
    "begun",
    "ended",
    "age p50",
    "age p95",
    "refused",
    "task seconds in vain",
)
QUEUE_HEADER = (
    "queue",
    "accepted",
    "complete",
    "other ends",
    "start p50",
    "start p95",
    "age p50",
    "age p95",
)
TEAM_HEADER = ("team", *QUEUE_HEADER[1:], "refused")
NO_TEAM = "-"  # name in the table for jobs without a team

report_app = typer.Typer(no_args_is_help=True)


report_app.command()(losses)


@report_app.callback()
def _report() -> None:
    """Report over all VMs."""


@report_app.command()
def burn(
    ctx: typer.Context,
    workload: Annotated[str, typer.Option(help="Name; by default all workloads.")] = "",
    window: Annotated[str, typer.Option(help="As in 30m, 24h or 3d.")] = "24h",
    as_json: JsonFlag = False,
    html: Annotated[
        Path | None, typer.Option(help="Write the report as one HTML file.")
    ] = None,
) -> None:
    """Show how fast the error budgets burn, and what burned them."""
    session: Session = ctx.obj
    now = time.time()
    window_s = max(1, round(now - parse_since(window, now=now)))
    result = session.connect().read_burn(window_s)
    if result.is_err():
        fail_on_problem(result.unwrap_err())
    report = _select_workload(result.unwrap(), workload)
    if html is not None:
        html.write_text(render_burn_html(report), encoding="utf-8")
        typer.echo(f"written to {html}")
    elif as_json:
        print_json(report)
    else:
        _print_report(report)


@report_app.command()
def waits(
    logs: Annotated[list[Path], typer.Argument(help="Logs of edge VMs.")],
    step: Annotated[float, typer.Option(min=0.1, help="Seconds per row.")] = 2.0,
    html: Annotated[
        Path | None, typer.Option(help="Write table and plot as one HTML file.")
    ] = None,
) -> None:
    """Show job waits, refusals and wasted task time, read from logs."""
    lines: list[str] = []
    for path in logs:
        try:
            lines += path.read_text(errors="replace").splitlines()
        except OSError as exc:
            fail(ExitCode.USAGE, f"{path}: {exc.strerror}")
    report = read_waits(lines, step_s=step)
    spans = SPAN_HEADER, _list_spans(report)
    queues = QUEUE_HEADER, _list_queues(report)
    teams = TEAM_HEADER, _list_teams(report)
    if html is not None:
        page = render_waits_html(report, spans=spans, queues=queues, teams=teams)
        html.write_text(page, encoding="utf-8")
        typer.echo(f"written to {html}")
        return
    print_table(*spans)
    typer.echo()
    print_table(*queues)
    if teams[1]:
        typer.echo()
        print_table(*teams)
    if report.unreadable:
        typer.echo(f"{report.unreadable} lines could not be read")


def _list_spans(report: WaitsReport) -> list[tuple[object, ...]]:
    first_s = report.spans[0].start_s if report.spans else 0.0
    rows: list[tuple[object, ...]] = [
        (
            f"{span.start_s - first_s:.1f}",
            span.accepted,
            span.waiting,
            span.started,
            span.ended,
            f"{pick_quantile(span.ages_s, 0.5):.2f}",
            f"{pick_quantile(span.ages_s, 0.95):.2f}",
            _format_counts(span.refused, "d"),
            _format_counts(span.in_vain_s, ".1f"),
        )
        for span in report.spans
    ]
    return rows


def _list_queues(report: WaitsReport) -> list[tuple[object, ...]]:
    return [
        (queue, *_summarize([job for job in report.jobs if job.queue == queue]))
        for queue in sorted({job.queue for job in report.jobs})
    ]


def _list_teams(report: WaitsReport) -> list[tuple[object, ...]]:
    """Return a row for each team; there are none if the logs name no team."""
    teams = {job.team for job in report.jobs} | report.team_refusals.keys()
    if teams <= {""}:
        return []
    return [
        (
            team or NO_TEAM,
            *_summarize([job for job in report.jobs if job.team == team]),
            _format_counts(report.team_refusals.get(team, Counter()), "d"),
        )
        for team in sorted(teams)
    ]


def _summarize(jobs: list[JobTimes]) -> tuple[object, ...]:
    """Return the ends, waits and ages of jobs as the columns of a row."""
    start_waits_s = [
        job.first_start_s - job.accepted_s for job in jobs if job.first_start_s
    ]
    ages_s = [job.ended_s - job.accepted_s for job in jobs if job.ended_s]
    states = Counter(job.state for job in jobs)
    return (
        len(jobs),
        states.pop(COMPLETE, 0),
        _format_counts(states, "d"),
        f"{pick_quantile(start_waits_s, 0.5):.2f}",
        f"{pick_quantile(start_waits_s, 0.95):.2f}",
        f"{pick_quantile(ages_s, 0.5):.2f}",
        f"{pick_quantile(ages_s, 0.95):.2f}",
    )


def _format_counts(counts: Counter[str], spec: str) -> str:
    return " ".join(f"{name}:{counts[name]:{spec}}" for name in sorted(counts)) or "-"


def _select_workload(report: BurnReport, workload: str) -> BurnReport:
    if not workload:
        return report
    selected = tuple(
        workload_burn
        for workload_burn in report.workloads
        if workload_burn.workload == workload
    )
    return msgspec.structs.replace(report, workloads=selected)


def _print_report(report: BurnReport) -> None:
    _print_levels(report)
    typer.echo()
    _print_burns(report)
    typer.echo()
    _print_causes(report)
    typer.echo()
    typer.echo(
        f"packing {report.packing:.1%}, control per VM: "
        f"{report.control_cpu_share:.2%} of a core, "
        f"{report.control_memory_mb:.0f} MB at most, "
        f"{report.control_bytes_per_s / 1000:.2f} KB/s to peers; "
        f"store {report.store_calls_per_s:.2f} calls/s"
    )
    for gap in report.gaps:
        effect = "lost with its last minute" if gap.is_end else "not counted"
        typer.echo(f"gap: {gap.vm}, {gap.minutes} minute(s) {effect}", err=True)


def _print_levels(report: BurnReport) -> None:
    print_table(
        (
            "WORKLOAD",
            "TARGET",
            "REQUESTS",
            "GOOD",
            "BUDGET_LEFT",
            "P50_MS",
            "P95_MS",
            "P99_MS",
            "HELD",
            "FLOOR_KEPT",
            "ALERTS",
        ),
        [_level_row(workload_burn) for workload_burn in report.workloads],
    )


def _level_row(workload_burn: WorkloadBurn) -> tuple[object, ...]:
    waits = [
        f"{workload_burn.wait_ms[name]:.1f}" if name in workload_burn.wait_ms else "-"
        for name in ("p50", "p95", "p99")
    ]
    return (
        workload_burn.workload,
        f"{workload_burn.target_share:.3%} in {workload_burn.target_wait_s:g} s",
        workload_burn.total,
        f"{workload_burn.good_share:.3%}",
        f"{workload_burn.budget_left:.1%}",
        *waits,
        f"{workload_burn.held_share:.1%}",
        f"{workload_burn.floor_kept:.1%}",
        "; ".join(workload_burn.alerts) or "-",
    )


def _print_burns(report: BurnReport) -> None:
    """Print the burn rate over each window, ordered by window length."""
    windows = [workload_burn.windows for workload_burn in report.workloads]
    header = (
        [_format_window_length(window.seconds) for window in windows[0]]
        if windows
        else []
    )
    print_table(
        ("BURN_RATE", *header),
        [
            (
                workload_burn.workload,
                *(_format_rate(window) for window in workload_burn.windows),
            )
            for workload_burn in report.workloads
        ],
    )


def _print_causes(report: BurnReport) -> None:
    rows = []
    for cause in list_causes(report):
        burned_by = f"{cause.verdict}: {cause.reason}" if cause.reason else "late"
        rows.append((cause.workload, burned_by, cause.requests))
    print_table(("WORKLOAD", "BURNED_BY", "REQUESTS"), rows)


def _format_rate(window: BurnWindow) -> str:
    return f"{window.burn_rate:.2f}" if window.total else "-"


def _format_window_length(seconds: int) -> str:
    if seconds % 3600 == 0:
        return f"{seconds // 3600}H"
    return f"{seconds // 60}M"
