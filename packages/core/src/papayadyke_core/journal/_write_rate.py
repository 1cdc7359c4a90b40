"""Adaptive rate limit of one VM's log writes to the store."""

from __future__ import annotations

from papayadyke_core.journal._layout import PARTITIONS

CELL_WRITES_PER_S = 150.0
MAX_WRITES_PER_S = 10.0
SLOW_CALL_S = 0.5
MAX_INTERVAL_S = 2.0
BACKOFF_FACTOR = 2.0
RECOVERY_FACTOR = 0.7


class WriteRateLimiter:
    """Interval between store calls that adapts to the VM count and the store's load.

    The cell's share of the store's write rate is divided by the number of VMs that
    can own a partition, which is at most the number of partitions. Failed or slow
    calls lengthen the interval; successful, fast calls shorten it again, down to
    the value that this share allows.

    Parameters
    ----------
    vm_count : int, default=1
        Number of VMs that share the store.
    """

    def __init__(self, *, vm_count: int = 1) -> None:
        self._vm_count = max(1, vm_count)
        self._interval_s = self.shortest_interval_s
        self._last_call_s: float | None = None

    @property
    def shortest_interval_s(self) -> float:
        """Seconds between calls while the store answers without errors or delay."""
        writer_count = min(self._vm_count, PARTITIONS)
        return 1.0 / min(MAX_WRITES_PER_S, CELL_WRITES_PER_S / writer_count)

    @property
    def interval_s(self) -> float:
        """Current interval between calls in seconds."""
        return max(self._interval_s, self.shortest_interval_s)

    def set_vm_count(self, vm_count: int) -> None:
        """Set the number of VMs that share the store."""
        self._vm_count = max(1, vm_count)

    def next_call_s(self, now: float) -> float:
        """Return the monotonic time in seconds from which the next call is allowed."""
        if self._last_call_s is None:
            return now
        return self._last_call_s + self.interval_s

    def may_call(self, now: float) -> bool:
        """Return whether a call is allowed now."""
        return now >= self.next_call_s(now)

    def record_call(self, now: float) -> None:
        """Record the time of a call."""
        self._last_call_s = now

    def record_result(self, now: float, *, ok: bool, call_s: float = 0.0) -> None:
        """Adapt the interval to the result of a call.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        ok : bool
            Whether the store answered the call.
        call_s : float, default=0.0
            Duration of the call in seconds.
        """
        if ok and call_s < SLOW_CALL_S:
            self._interval_s = max(
                self._interval_s * RECOVERY_FACTOR, self.shortest_interval_s
            )
        else:
            longest = max(MAX_INTERVAL_S, self.shortest_interval_s)
            self._interval_s = min(self.interval_s * BACKOFF_FACTOR, longest)
