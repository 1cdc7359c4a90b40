"""Counters for calls between daemons."""

from __future__ import annotations

import threading
from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class PeerStats:
    """Hold the totals since the start; bytes exclude TCP and IP headers."""

    sent_bytes: int = 0
    received_bytes: int = 0
    calls: int = 0
    calls_not_run: int = 0
    calls_may_have_run: int = 0
    served: int = 0
    busy: int = 0
    forged: int = 0
    replayed: int = 0
    malformed: int = 0
    dropped: int = 0
    replaced: int = 0


class Counters:
    """Count calls and bytes; the methods may be called from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._stats = PeerStats()

    def add(self, **amounts: int) -> None:
        """Increase counters, given by their `PeerStats` field names."""
        with self._lock:
            totals = {
                name: getattr(self._stats, name) + amount
                for name, amount in amounts.items()
            }
            self._stats = replace(self._stats, **totals)

    def read(self) -> PeerStats:
        """Return the current totals."""
        return self._stats
