"""Report of `papayadyke config check`: findings and changes."""

from __future__ import annotations

from dataclasses import dataclass

import typer

from papayadyke_cli._output import print_table
from papayadyke_cli._settings import Session
from papayadyke_core.configuration import (
    CheckedConfig,
    Difference,
    EntryDifference,
    Finding,
    Severity,
    diff_entries,
    diff_in_force,
)
from papayadyke_core.workloads import ConfigModel


@dataclass(frozen=True, slots=True)
class Comparison:
    """Differences between a file and the version in force.

    Parameters
    ----------
    revision : int
        Revision of the version in force.
    entries : list of EntryDifference
        As written.
    shares : list of Difference
        Shares and limits that take effect, under the preset that each has in force.
    """

    revision: int
    entries: list[EntryDifference]
    shares: list[Difference]


@dataclass(frozen=True, slots=True)
class CheckReport:
    """Findings in a file and its comparison with the version in force.

    Parameters
    ----------
    is_valid : bool
        Whether there is no error.
    findings : tuple of Finding
    comparison : Comparison or None
    not_compared : str
        Why there is no comparison.
    """

    is_valid: bool
    findings: tuple[Finding, ...]
    comparison: Comparison | None
    not_compared: str


def make_report(
    session: Session, checked: CheckedConfig, *, offline: bool
) -> CheckReport:
    """Compare a checked file with the version in force, if a daemon can be reached."""
    comparison = None
    reason = ""
    if checked.model is None:
        reason = "the file has errors"
    elif offline:
        reason = "--offline"
    elif session.path is None:
        reason = "no settings file is named"
    else:
        result = session.connect().read_config()
        if result.is_ok():
            view = result.unwrap()
            comparison = _compare(view.to_model(), checked.model, view.revision)
        else:
            reason = result.unwrap_err().detail
    is_valid = all(f.severity is not Severity.ERROR for f in checked.findings)
    return CheckReport(is_valid, checked.findings, comparison, reason)


def print_report(report: CheckReport, model: ConfigModel | None) -> None:
    """Print a report as text."""
    if model is not None:
        typer.echo(
            f"valid: {len(model.workloads)} workloads, {len(model.teams)} teams, "
            f"{len(model.presets)} presets, {model.in_force} in force"
        )
    if report.findings:
        rows = [(f.severity.value, f.path or "-", f.message) for f in report.findings]
        print_table(("SEVERITY", "PATH", "FINDING"), rows)
    if report.comparison is None:
        typer.echo(f"not compared with the version in force: {report.not_compared}")
    else:
        _print_comparison(report.comparison)


def _compare(before: ConfigModel, after: ConfigModel, revision: int) -> Comparison:
    return Comparison(
        revision=revision,
        entries=diff_entries(before, after),
        shares=diff_in_force(before.to_config(), after.to_config()),
    )


def _print_comparison(comparison: Comparison) -> None:
    version = f"the version in force (revision {comparison.revision})"
    if not comparison.entries:
        typer.echo(f"same as {version}")
        return
    typer.echo(f"differences from {version}:")
    rows = [(d.path, d.before, d.after) for d in comparison.entries]
    print_table(("PATH", "IN FORCE", "FILE"), rows)
    if comparison.shares:
        typer.echo("shares and limits that take effect differently:")
        share_rows = [
            (d.workload, d.field, d.before, d.after) for d in comparison.shares
        ]
        print_table(("WORKLOAD", "FIELD", "IN FORCE", "FILE"), share_rows)
