"""A list of VMs whose changes are seen late."""

from __future__ import annotations

import threading
from collections import deque
from dataclasses import dataclass

from papayadyke_core.membership import ListedVm


@dataclass(frozen=True, slots=True)
class _Change:
    visible_s: float
    vm: str
    entry: ListedVm | None


class LaggingList:
    """Takes changes and shows each of them only after a time.

    Parameters
    ----------
    lag_s : float
    """

    def __init__(self, *, lag_s: float) -> None:
        self.lag_s = lag_s
        self._lock = threading.Lock()
        self._changes: deque[_Change] = deque()
        self._visible: dict[str, ListedVm] = {}

    def put(self, entry: ListedVm, now: float) -> None:
        """Add a VM, or change its entry."""
        self._add(_Change(now + self.lag_s, entry.vm, entry))

    def remove(self, vm: str, now: float) -> None:
        """Remove a VM."""
        self._add(_Change(now + self.lag_s, vm, None))

    def read(self, now: float) -> tuple[ListedVm, ...]:
        """Return what is seen now, in order of the names."""
        with self._lock:
            while self._changes and self._changes[0].visible_s <= now:
                self._show(self._changes.popleft())
            return tuple(self._visible[vm] for vm in sorted(self._visible))

    def _add(self, change: _Change) -> None:
        with self._lock:
            self._changes.append(change)

    def _show(self, change: _Change) -> None:
        if change.entry is None:
            self._visible.pop(change.vm, None)
        else:
            self._visible[change.vm] = change.entry
