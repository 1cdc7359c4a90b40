"""Counts of refusals, and the recently refused requests."""

from __future__ import annotations

from dataclasses import dataclass

from papayadyke_core.verdicts import Reason, Refusal


@dataclass(frozen=True, slots=True)
class RefusalSettings:
    """Retention of refused requests.

    Parameters
    ----------
    retention_s : float, default=60.0
        Minimum retention time in seconds of a refused request, unless
        `max_retained` are retained. While refusals keep arriving, none is retained
        for more than twice as long.
    max_retained : int, default=200_000
        Maximum number of retained requests.
    """

    retention_s: float = 60.0
    max_retained: int = 200_000


@dataclass(frozen=True, slots=True)
class RefusalCount:
    """Number of requests of a workload that were refused for one reason."""

    workload: str
    reason: Reason
    requests: int


class RefusalLedger:
    """Exact counts of refusals since the start, and the recent refusals themselves.

    Recent refusals are stored in two generations. When the current generation
    reaches its maximum age or size, it replaces the previous one, which is dropped
    as a whole. During a flood, each refusal thus costs one dictionary entry.

    Parameters
    ----------
    settings : RefusalSettings, default=RefusalSettings()
        Retention time and maximum number of the refusals.
    """

    def __init__(self, *, settings: RefusalSettings = RefusalSettings()) -> None:
        self.settings = settings
        self._counts: dict[tuple[str, Reason], int] = {}
        self._current: dict[str, Refusal] = {}
        self._previous: dict[str, Refusal] = {}
        self._current_since_s = 0.0
        self._previous_since_s = 0.0

    def add(self, request_id: str, workload: str, refusal: Refusal, now: float) -> None:
        """Count and store a refusal."""
        key = (workload, refusal.reason)
        self._counts[key] = self._counts.get(key, 0) + 1
        self._rotate(now)
        self._current[request_id] = refusal

    def remove(self, request_id: str) -> None:
        """Remove the stored refusal of a request that was admitted later."""
        self._current.pop(request_id, None)
        self._previous.pop(request_id, None)

    def find(self, request_id: str) -> Refusal | None:
        """Return the refusal of a request, or None if it is not retained."""
        refusal = self._current.get(request_id)
        return self._previous.get(request_id) if refusal is None else refusal

    def complete_since_s(self) -> float:
        """Return the time in seconds since which all refused requests are retained."""
        return self._previous_since_s

    def counts(self) -> tuple[RefusalCount, ...]:
        """Return the exact counts since the start, by workload and reason."""
        return tuple(
            RefusalCount(workload, reason, requests)
            for (workload, reason), requests in sorted(self._counts.items())
        )

    def __len__(self) -> int:
        return len(self._current) + len(self._previous)

    def _rotate(self, now: float) -> None:
        is_full = len(self._current) >= self.settings.max_retained // 2
        if not is_full and now - self._current_since_s < self.settings.retention_s:
            return
        self._previous = self._current
        self._previous_since_s = self._current_since_s
        self._current = {}
        self._current_since_s = now
