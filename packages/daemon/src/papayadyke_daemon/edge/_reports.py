"""Track whether other VMs reach the store, for a decider that lost it."""

from __future__ import annotations

from dataclasses import dataclass

REPORT_VALIDITY_S = 1.0  # seconds; a VM that misses two heartbeats counts as silent
SILENT_VM_RETENTION_S = 30.0  # seconds for which a silent VM counts towards the total


@dataclass(frozen=True, slots=True)
class StoreReport:
    """Latest report of a VM on the store.

    Parameters
    ----------
    received_s : float
        Time of arrival in seconds, on the clock of `read_clock`.
    has_lost_store : bool
        The store answered neither a call of the VM nor the probe that followed, and
        the VM is not becoming the decider.
    decider : int
        Fencing token of the decider that the VM follows.
    """

    received_s: float
    has_lost_store: bool
    decider: int


class StoreReports:
    """Latest report of each VM that sent this one a heartbeat."""

    def __init__(self) -> None:
        self._reports: dict[str, StoreReport] = {}

    def record(self, vm: str, report: StoreReport) -> None:
        """Record the report of a VM."""
        self._reports[vm] = report

    def is_store_lost_for_peers(self, now: float, *, token: int, vms: int) -> bool:
        """Return whether no VM can have become the decider through the store.

        More than half of the other VMs must have reported recently that they lost
        the store too. A VM that is partitioned alone or with its availability zone
        receives too few reports, also if there are two zones of one size, and so does
        one whose term has only just begun. A VM that has reported a loss begins no
        candidacy while the report counts; see `Leadership.begin_report`.

        Parameters
        ----------
        now : float
            Current time in seconds, on the clock of the reports.
        token : int
            Fencing token of the decider that asks.
        vms : int
            Number of other VMs that the decider knows of.
        """
        reports = list(self._reports.values())
        remembered = [
            report
            for report in reports
            if now - report.received_s < SILENT_VM_RETENTION_S
        ]
        fresh = [
            report
            for report in remembered
            if now - report.received_s < REPORT_VALIDITY_S
        ]
        if any(not report.has_lost_store or report.decider > token for report in fresh):
            return False
        return 2 * len(fresh) > max(len(remembered), vms)
