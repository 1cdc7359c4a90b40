"""Causes that burned the error budgets, as rows of a table."""

from __future__ import annotations

from dataclasses import dataclass

from papayadyke_core.slo import BurnReport


@dataclass(frozen=True, slots=True)
class Cause:
    """Number of requests of a workload that were bad for one reason.

    Parameters
    ----------
    workload : str
    verdict : str
        "late" if the request was answered, otherwise the verdict.
    reason : str
        Empty for late answers.
    requests : int
    """

    workload: str
    verdict: str
    reason: str
    requests: int


def list_causes(report: BurnReport) -> list[Cause]:
    """Return the causes of every workload, in the order of the report."""
    causes = []
    for workload_burn in report.workloads:
        if workload_burn.late:
            causes.append(Cause(workload_burn.workload, "late", "", workload_burn.late))
        for verdict, counts in (
            ("not_run", workload_burn.refused),
            ("may_have_run", workload_burn.may_have_run),
        ):
            causes += [
                Cause(workload_burn.workload, verdict, reason, requests)
                for reason, requests in counts.items()
            ]
    return causes
