"""Failures by request, to detect requests that fail on every upstream."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True)
class _RequestEvidence:
    evidence: dict[str, float] = field(default_factory=dict)


class RequestFailures:
    """Tracks failures by request, to tell bad requests from bad upstreams.

    Only failures on upstreams in good standing count against a request. The
    standing is checked at the time of the query, so that an upstream set aside
    after the failure no longer counts.

    Parameters
    ----------
    max_tracked_requests : int
        Number of requests tracked; beyond it the oldest one is removed.
    """

    def __init__(self, *, max_tracked_requests: int) -> None:
        self.max_tracked_requests = max_tracked_requests
        self._requests: dict[str, _RequestEvidence] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request_id: str, upstream: str, evidence: float) -> None:
        """Record a failure and the evidence that it added against the upstream."""
        failures = self._requests.get(request_id)
        if failures is None:
            if len(self._requests) >= self.max_tracked_requests:
                del self._requests[next(iter(self._requests))]
            failures = self._requests[request_id] = _RequestEvidence()
        failures.evidence[upstream] = failures.evidence.get(upstream, 0.0) + evidence

    def remove(self, request_id: str) -> None:
        """Remove a request that has ended."""
        self._requests.pop(request_id, None)

    def count_upstreams(self, request_id: str, is_good: Callable[[str], bool]) -> int:
        """Return the number of upstreams in good standing on which a request failed."""
        failures = self._requests.get(request_id)
        if failures is None:
            return 0
        return sum(1 for name in failures.evidence if is_good(name))

    def withdraw_evidence(self, request_id: str) -> dict[str, float]:
        """Return the evidence that a request added by upstream, and reset it."""
        failures = self._requests.get(request_id)
        if failures is None:
            return {}
        withdrawn = dict(failures.evidence)
        for name in failures.evidence:
            failures.evidence[name] = 0.0
        return withdrawn
