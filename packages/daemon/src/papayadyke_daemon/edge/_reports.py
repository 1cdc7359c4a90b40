"""What other VMs say of the store, which a decider without it must know."""

from __future__ import annotations

from dataclasses import dataclass

FRESH_S = 1.0  # seconds; two hellos, after which a VM counts as silent
REMEMBERED_S = 30.0  # seconds for which a VM that fell silent still counts


@dataclass(frozen=True, slots=True)
class StoreReport:
    """One VM's last word.

    Parameters
    ----------
    heard_s : float
    has_lost_store : bool
        The VM tried, and the store did not answer it.
    decider : int
        Fencing token of the decider that it follows.
    """

    heard_s: float
    has_lost_store: bool
    decider: int


class StoreReports:
    """The last word of each VM that greeted this one."""

    def __init__(self) -> None:
        self._reports: dict[str, StoreReport] = {}

    def note(self, vm: str, report: StoreReport) -> None:
        """Take in what a VM says."""
        self._reports[vm] = report

    def is_lost_for_all(self, now: float, *, token: int, vms: int) -> bool:
        """Tell whether nobody can have become the decider through the store.

        At least half of the other VMs must have said lately that the store is
        lost to them too. A VM that is cut off alone, or with its zone, hears too
        few of them, and so does one that has only just begun its term.

        Parameters
        ----------
        now : float
        token : int
            Of the decider that asks.
        vms : int
            Other VMs that the asking one knows of.
        """
        reports = list(self._reports.values())
        known = [item for item in reports if now - item.heard_s < REMEMBERED_S]
        fresh = [item for item in known if now - item.heard_s < FRESH_S]
        if any(not item.has_lost_store or item.decider > token for item in fresh):
            return False
        return bool(fresh) and 2 * len(fresh) >= max(len(known), vms)
