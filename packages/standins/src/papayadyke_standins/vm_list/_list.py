"""List of VMs whose changes become visible after a lag."""

from __future__ import annotations

import threading
from collections import deque
from dataclasses import dataclass

from papayadyke_core.membership import ListedVm


@dataclass(frozen=True, slots=True)
class _Change:
    visible_at_s: float
    vm: str
    entry: ListedVm | None


class LaggingList:
    """List of VMs that applies each change after a lag.

    Parameters
    ----------
    lag_s : float
        Time in seconds until a change becomes visible.
    """

    def __init__(self, *, lag_s: float) -> None:
        self.lag_s = lag_s
        self._lock = threading.Lock()
        self._pending_changes: deque[_Change] = deque()
        self._visible_vms: dict[str, ListedVm] = {}

    def put(self, entry: ListedVm, now: float) -> None:
        """Add a VM or replace its entry, visible after the lag."""
        self._enqueue(_Change(now + self.lag_s, entry.vm, entry))

    def remove(self, vm: str, now: float) -> None:
        """Remove a VM, visible after the lag."""
        self._enqueue(_Change(now + self.lag_s, vm, None))

    def read(self, now: float) -> tuple[ListedVm, ...]:
        """Return the visible entries, sorted by VM name."""
        with self._lock:
            while (
                self._pending_changes and self._pending_changes[0].visible_at_s <= now
            ):
                self._apply(self._pending_changes.popleft())
            return tuple(self._visible_vms[vm] for vm in sorted(self._visible_vms))

    def _enqueue(self, change: _Change) -> None:
        with self._lock:
            self._pending_changes.append(change)

    def _apply(self, change: _Change) -> None:
        if change.entry is None:
            self._visible_vms.pop(change.vm, None)
        else:
            self._visible_vms[change.vm] = change.entry
