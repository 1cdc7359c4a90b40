"""Tracking of the assigned upstreams that this VM cannot reach."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ReachabilitySettings:
    """Times in seconds for detecting and probing unreachable upstreams.

    Parameters
    ----------
    unreachable_after_s : float, default=10.0
        Time without any answer after which an upstream counts as unreachable, so
        that another VM becomes its owner.
    probe_interval_s : float, default=5.0
        Time between two probes of an unreachable upstream.
    """

    unreachable_after_s: float = 10.0
    probe_interval_s: float = 5.0


class ReachabilityTracker:
    """Tracks upstreams that do not answer, until a probe of them succeeds.

    Parameters
    ----------
    settings : ReachabilitySettings
    """

    def __init__(self, *, settings: ReachabilitySettings) -> None:
        self.settings = settings
        self._next_probe_s: dict[str, float] = {}

    def update(self, unanswered_s: Mapping[str, float], now: float) -> None:
        """Mark the upstreams that have not answered for `unreachable_after_s`.

        Parameters
        ----------
        unanswered_s : mapping of str to float
            Seconds for which each upstream has left requests unanswered.
        now : float
            Current time in seconds.
        """
        for upstream, duration_s in unanswered_s.items():
            is_unreachable = duration_s >= self.settings.unreachable_after_s
            if is_unreachable and upstream not in self._next_probe_s:
                self._next_probe_s[upstream] = now + self.settings.probe_interval_s

    def unreached(self) -> frozenset[str]:
        """Return the unreachable upstreams, which this VM reports to its peers."""
        return frozenset(self._next_probe_s)

    def next_due_probe(self, now: float) -> str | None:
        """Return an upstream to probe now and schedule its next probe.

        At most one is returned, because a probe may take long.
        """
        due = (name for name, at_s in self._next_probe_s.items() if now >= at_s)
        upstream = next(due, None)
        if upstream is not None:
            self._next_probe_s[upstream] = now + self.settings.probe_interval_s
        return upstream

    def record_probe_success(self, upstream: str) -> None:
        """Mark an upstream as reachable after a successful probe."""
        self._next_probe_s.pop(upstream, None)
