"""Reports as self-contained HTML files."""

from __future__ import annotations

import html
import io
from collections.abc import Iterable
from datetime import UTC, datetime

import matplotlib

matplotlib.use("svg")

from matplotlib.figure import Figure

from papayadyke_cli._causes import list_causes
from papayadyke_cli._waits import WaitsReport
from papayadyke_core.slo import ALERT_RULES, BurnReport, WorkloadBurn

# Column headers and rows.
Table = tuple[tuple[str, ...], list[tuple[object, ...]]]

PLOT_WIDTH_IN = 9.0
ROW_HEIGHT_IN = 0.45
MIN_HEIGHT_IN = 2.2
PERCENTILES = ("p50", "p95", "p99")

_STYLE = """
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 62rem;
       color: #1d2733; padding: 0 1rem; }
h1 { font-size: 1.5rem; } h2 { font-size: 1.15rem; margin-top: 2rem; }
table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
th, td { text-align: right; padding: .3rem .6rem; border-bottom: 1px solid #d8dee6; }
th:first-child, td:first-child { text-align: left; }
.alert { color: #a3161a; font-weight: 600; } .good { color: #1c6b3c; }
.gap { background: #fff4d6; padding: .5rem .8rem; border-left: 4px solid #d39b00; }
svg { max-width: 100%; height: auto; }
"""


def render_burn_html(report: BurnReport) -> str:
    """Return the report as a self-contained HTML document.

    Parameters
    ----------
    report : BurnReport

    Returns
    -------
    document : str
    """
    made_at = datetime.fromtimestamp(report.made_at, UTC).isoformat(" ", "seconds")
    sections = [
        f"<h1>Service-level burn</h1><p>Made {made_at}, over "
        f"{report.window_s / 3600:g} hours.</p>",
        _render_gaps(report),
        "<h2>Levels</h2>",
        _render_levels(report),
        "<h2>Burn rate by window</h2>",
        _plot_burn(report),
        "<h2>Waiting time</h2>",
        _plot_waits(report),
        "<h2>What burned the budget</h2>",
        _render_causes(report),
        "<h2>Packing and the cost of control</h2>",
        _render_costs(report),
    ]
    return render_page(f"Service-level burn {made_at}", sections)


def render_page(title: str, sections: Iterable[str]) -> str:
    """Return an HTML document of sections that are HTML already."""
    body = "\n".join(sections)
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        f"<title>{title}</title><style>{_STYLE}</style></head>"
        f"<body>{body}</body></html>"
    )


def _render_gaps(report: BurnReport) -> str:
    lines = []
    for gap in report.gaps:
        effect = "was lost with its last minute" if gap.is_end else "has a gap"
        lines.append(
            f"{html.escape(gap.vm)} {effect}: {gap.minutes} minute(s) not counted."
        )
    if not lines:
        return ""
    return f'<p class="gap">Counts are lower bounds. {" ".join(lines)}</p>'


def _render_levels(report: BurnReport) -> str:
    header = ("Workload", "Target", "Requests", "Good", "Budget left", "Floor kept")
    rows = [
        (
            workload_burn.workload,
            f"{workload_burn.target_share:.3%} in {workload_burn.target_wait_s:g} s",
            workload_burn.total,
            f"{workload_burn.good_share:.3%}",
            f"{workload_burn.budget_left:.1%}",
            f"{workload_burn.floor_kept:.1%}",
        )
        for workload_burn in report.workloads
    ]
    return render_table(header, rows) + _render_alerts(report)


def _render_alerts(report: BurnReport) -> str:
    alerts = [
        f'<li class="alert">{html.escape(workload_burn.workload)}: '
        f"{html.escape(alert)}</li>"
        for workload_burn in report.workloads
        for alert in workload_burn.alerts
    ]
    if not alerts:
        return '<p class="good">No alert fires.</p>'
    return f"<ul>{''.join(alerts)}</ul>"


def _render_causes(report: BurnReport) -> str:
    rows: list[tuple[object, ...]] = []
    for cause in list_causes(report):
        verdict = cause.verdict.replace("_", " ")
        description = f"{verdict}: {cause.reason}" if cause.reason else "answered late"
        rows.append((cause.workload, description, cause.requests))
    if not rows:
        return '<p class="good">Nothing.</p>'
    return render_table(("Workload", "Cause", "Requests"), rows)


def _render_costs(report: BurnReport) -> str:
    rows = [
        ("Packing of the capacity held", f"{report.packing:.1%}"),
        ("CPU time per VM", f"{report.control_cpu_share:.2%} of a core"),
        ("Highest memory of a VM", f"{report.control_memory_mb:.0f} MB"),
        ("To and from peers", f"{report.control_bytes_per_s / 1000:.2f} KB/s per VM"),
        ("Store, all VMs together", f"{report.store_calls_per_s:.2f} calls/s"),
    ]
    return render_table(("Measure", "Value"), rows)


def render_table(header: tuple[str, ...], rows: list[tuple[object, ...]] | list) -> str:
    """Return an HTML table of cells that are text."""
    head = "".join(f"<th>{html.escape(name)}</th>" for name in header)
    body = "".join(
        "<tr>" + "".join(f"<td>{html.escape(str(cell))}</td>" for cell in row) + "</tr>"
        for row in rows
    )
    return f"<table><tr>{head}</tr>{body}</table>"


def _plot_burn(report: BurnReport) -> str:
    """Return an SVG plot of burn rates over window lengths."""
    figure = Figure(figsize=(PLOT_WIDTH_IN, 3.6), layout="constrained")
    axes = figure.subplots()
    for workload_burn in report.workloads:
        measured = [window for window in workload_burn.windows if window.total]
        axes.plot(
            [window.seconds / 3600 for window in measured],
            [window.burn_rate for window in measured],
            marker="o",
            label=workload_burn.workload,
        )
    for rule in ALERT_RULES:
        axes.plot(
            [rule.short_s / 3600, rule.long_s / 3600],
            [rule.threshold] * 2,
            color="#a3161a",
            linestyle=":",
            linewidth=1,
        )
    axes.set_xscale("log")
    axes.set_yscale("symlog", linthresh=1.0)
    axes.set_ylim(bottom=0)
    axes.set_xlabel("window in hours; dotted: thresholds of the alerts")
    axes.set_ylabel("burn rate")
    if report.workloads:
        axes.legend(frameon=False, fontsize="small")
    return render_svg(figure)


def _plot_waits(report: BurnReport) -> str:
    """Return an SVG plot of waiting time percentiles and targets."""
    measured = [
        workload_burn for workload_burn in report.workloads if workload_burn.wait_ms
    ]
    height = max(MIN_HEIGHT_IN, ROW_HEIGHT_IN * (len(measured) + 2))
    figure = Figure(figsize=(PLOT_WIDTH_IN, height), layout="constrained")
    axes = figure.subplots()
    for row, workload_burn in enumerate(measured):
        _plot_wait_row(axes, row, workload_burn)
    axes.set_yticks(
        range(len(measured)), [workload_burn.workload for workload_burn in measured]
    )
    axes.set_ylim(-0.6, max(len(measured) - 0.4, 0.6))
    axes.set_xscale("log")
    axes.set_xlabel("waiting time in ms: p50, p95, p99; bar: the target")
    return render_svg(figure)


def _plot_wait_row(axes, row: int, workload_burn: WorkloadBurn) -> None:
    values = [max(workload_burn.wait_ms[name], 0.01) for name in PERCENTILES]
    axes.plot(values, [row] * len(values), color="#2f6fab", marker="o")
    axes.plot(
        [workload_burn.target_wait_s * 1000], [row], "|", color="#a3161a", markersize=18
    )


def render_svg(figure: Figure) -> str:
    """Return a figure as an SVG element."""
    output = io.StringIO()
    # A fixed salt and no date make the same report give the same file.
    with matplotlib.rc_context({"svg.hashsalt": "burn", "svg.fonttype": "none"}):
        figure.savefig(output, format="svg", metadata={"Date": None})
    document = output.getvalue()
    return document[document.index("<svg") :]


def render_waits_html(
    report: WaitsReport, *, spans: Table, queues: Table, teams: Table
) -> str:
    """Return an HTML document with a plot and the tables of a waits report.

    Parameters
    ----------
    report : WaitsReport
    spans, queues, teams : Table
        Column headers and rows. A table of teams without rows is left out.
    """
    sections = (
        "<h1>Waits</h1>",
        _plot_spans(report),
        "<h2>Over time</h2>",
        render_table(*spans),
        "<h2>By queue</h2>",
        render_table(*queues),
        *(("<h2>By team</h2>", render_table(*teams)) if teams[1] else ()),
        f"<p>{report.unreadable} lines could not be read.</p>",
    )
    return render_page("Waits", sections)


def _plot_spans(report: WaitsReport) -> str:
    """Return an SVG plot of accepted, ended, waiting and refused counts over time."""
    figure = Figure(figsize=(PLOT_WIDTH_IN, 3.6), layout="constrained")
    axes = figure.subplots()
    first_s = report.spans[0].start_s if report.spans else 0.0
    offsets_s = [span.start_s - first_s for span in report.spans]
    axes.plot(offsets_s, [span.accepted for span in report.spans], label="accepted")
    axes.plot(offsets_s, [span.ended for span in report.spans], label="ended")
    axes.plot(offsets_s, [span.waiting for span in report.spans], label="waiting")
    refused = [sum(span.refused.values()) for span in report.spans]
    axes.plot(offsets_s, refused, label="refused", color="#a3161a", linestyle=":")
    axes.set_xlabel("seconds from the first line")
    axes.set_ylabel("per span")
    axes.legend(frameon=False, fontsize="small")
    return render_svg(figure)
