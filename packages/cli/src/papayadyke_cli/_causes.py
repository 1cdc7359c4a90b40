"""What burned the error budgets, as rows of a table."""

from __future__ import annotations

from dataclasses import dataclass

from papayadyke_core.slo import BurnReport


@dataclass(frozen=True, slots=True)
class Cause:
    """How many requests of a workload were bad for one reason.

    Parameters
    ----------
    workload : str
    verdict : str
        "late" where it was answered, otherwise the verdict.
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
    for item in report.workloads:
        if item.late:
            causes.append(Cause(item.workload, "late", "", item.late))
        for verdict, counts in (
            ("not_run", item.refused),
            ("may_have_run", item.may_have_run),
        ):
            causes += [Cause(item.workload, verdict, r, n) for r, n in counts.items()]
    return causes
