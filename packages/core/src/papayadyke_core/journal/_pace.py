"""How often one VM may call the store for its logs."""

from __future__ import annotations

from papayadyke_core.journal._layout import PARTITIONS

CELL_WRITES_PER_S = 150.0
MAX_WRITES_PER_S = 10.0
SLOW_CALL_S = 0.5
MAX_INTERVAL_S = 2.0
BACKOFF_FACTOR = 2.0
RECOVERY_FACTOR = 0.7


class Pace:
    """An interval between calls that adapts to the cell and to the store.

    The cell's share of the store's write rate is divided by the number of VMs that
    can own a partition, which is never more than there are partitions. Calls that
    fail or are slow lengthen the interval; good ones shorten it again down to that
    share.

    Parameters
    ----------
    vms : int, default=1
        VMs that share the store.
    """

    def __init__(self, *, vms: int = 1) -> None:
        self._vms = max(1, vms)
        self._interval_s = self.shortest_interval_s
        self._last_call_s: float | None = None

    @property
    def shortest_interval_s(self) -> float:
        """Seconds between calls while the store answers well."""
        writers = min(self._vms, PARTITIONS)
        return 1.0 / min(MAX_WRITES_PER_S, CELL_WRITES_PER_S / writers)

    @property
    def interval_s(self) -> float:
        """Seconds between calls now."""
        return max(self._interval_s, self.shortest_interval_s)

    def set_vms(self, vms: int) -> None:
        """Take in the number of VMs that share the store."""
        self._vms = max(1, vms)

    def next_call_s(self, now: float) -> float:
        """Return the time of the next call."""
        if self._last_call_s is None:
            return now
        return self._last_call_s + self.interval_s

    def may_call(self, now: float) -> bool:
        """Tell whether a call may be made."""
        return now >= self.next_call_s(now)

    def called(self, now: float) -> None:
        """Count a call."""
        self._last_call_s = now

    def answered(self, now: float, *, ok: bool, call_s: float = 0.0) -> None:
        """Adapt to the result of a call.

        Parameters
        ----------
        now : float
        ok : bool
            Whether the store answered at all.
        call_s : float, default=0.0
            Seconds that the call took.
        """
        if ok and call_s < SLOW_CALL_S:
            self._interval_s = max(
                self._interval_s * RECOVERY_FACTOR, self.shortest_interval_s
            )
        else:
            longest = max(MAX_INTERVAL_S, self.shortest_interval_s)
            self._interval_s = min(self.interval_s * BACKOFF_FACTOR, longest)
