"""Counts of refusals, and the refused requests of the last minutes."""

from __future__ import annotations

from dataclasses import dataclass

from papayadyke_core.verdicts import Reason, Refusal


@dataclass(frozen=True, slots=True)
class RefusalSettings:
    """How long refused requests are remembered.

    Parameters
    ----------
    kept_s : float, default=60.0
        Every refused request is kept at least this long, unless `max_kept` are
        kept already; none is kept for more than twice as long.
    max_kept : int, default=200_000
        Requests that are kept at most.
    """

    kept_s: float = 60.0
    max_kept: int = 200_000


@dataclass(frozen=True, slots=True)
class RefusalCount:
    """How many requests of a workload were refused for one reason."""

    workload: str
    reason: Reason
    requests: int


class RefusalLedger:
    """Exact counts for ever, each request's refusal for a stated time.

    Two generations of requests are kept. The older one is dropped whole when
    the newer one has reached its age or its size, so that a flood of refusals
    costs one entry of a map each.

    Parameters
    ----------
    settings : RefusalSettings, default=RefusalSettings()
    """

    def __init__(self, *, settings: RefusalSettings = RefusalSettings()) -> None:
        self.settings = settings
        self._counts: dict[tuple[str, Reason], int] = {}
        self._newer: dict[str, Refusal] = {}
        self._older: dict[str, Refusal] = {}
        self._newer_since_s = 0.0
        self._older_since_s = 0.0

    def add(self, request_id: str, workload: str, refusal: Refusal, now: float) -> None:
        """Count a refusal and keep it."""
        key = (workload, refusal.reason)
        self._counts[key] = self._counts.get(key, 0) + 1
        self._rotate(now)
        self._newer[request_id] = refusal

    def remove(self, request_id: str) -> None:
        """Forget the refusal of a request that is taken in after all."""
        self._newer.pop(request_id, None)
        self._older.pop(request_id, None)

    def find(self, request_id: str) -> Refusal | None:
        """Return the refusal of a request, if it is still kept."""
        found = self._newer.get(request_id)
        return self._older.get(request_id) if found is None else found

    def complete_since_s(self) -> float:
        """Return the time since which every refused request is kept."""
        return self._older_since_s

    def counts(self) -> tuple[RefusalCount, ...]:
        """Return the exact counts since the start, by workload and reason."""
        return tuple(
            RefusalCount(workload, reason, requests)
            for (workload, reason), requests in sorted(self._counts.items())
        )

    def __len__(self) -> int:
        return len(self._newer) + len(self._older)

    def _rotate(self, now: float) -> None:
        full = len(self._newer) >= self.settings.max_kept // 2
        if not full and now - self._newer_since_s < self.settings.kept_s:
            return
        self._older = self._newer
        self._older_since_s = self._newer_since_s
        self._newer = {}
        self._newer_since_s = now
