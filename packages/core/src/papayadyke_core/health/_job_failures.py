"""Which requests fail wherever they run."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True)
class _Failures:
    evidence: dict[str, float] = field(default_factory=dict)


class JobFailures:
    """Failures by request, for telling bad requests from bad upstreams.

    Only upstreams in good standing bear witness against a request, and that is
    judged when asked: an upstream set aside later no longer counts.

    Parameters
    ----------
    max_requests : int
        The oldest request is forgotten beyond this.
    """

    def __init__(self, *, max_requests: int) -> None:
        self.max_requests = max_requests
        self._requests: dict[str, _Failures] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request_id: str, upstream: str, evidence: float) -> None:
        """Remember a failure and the evidence it added against the upstream."""
        failures = self._requests.get(request_id)
        if failures is None:
            if len(self._requests) >= self.max_requests:
                del self._requests[next(iter(self._requests))]
            failures = self._requests[request_id] = _Failures()
        failures.evidence[upstream] = failures.evidence.get(upstream, 0.0) + evidence

    def forget(self, request_id: str) -> None:
        """Forget a request that has ended."""
        self._requests.pop(request_id, None)

    def witnesses(self, request_id: str, is_good: Callable[[str], bool]) -> int:
        """Return on how many upstreams in good standing a request failed."""
        failures = self._requests.get(request_id)
        if failures is None:
            return 0
        return sum(1 for name in failures.evidence if is_good(name))

    def take_back(self, request_id: str) -> dict[str, float]:
        """Return the evidence a request added against upstreams, and clear it."""
        failures = self._requests.get(request_id)
        if failures is None:
            return {}
        taken = dict(failures.evidence)
        for name in failures.evidence:
            failures.evidence[name] = 0.0
        return taken
