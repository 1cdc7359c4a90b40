"""Which upstreams this VM was to own but can't reach."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ReachSettings:
    """Times of the judgement that an upstream can't be reached.

    Parameters
    ----------
    unreached_s : float, default=10.0
        Time without any answer after which another VM is to own the upstream.
    probe_s : float, default=5.0
        Time between two probes of such an upstream.
    """

    unreached_s: float = 10.0
    probe_s: float = 5.0


class Reach:
    """Notes upstreams that don't answer, until a probe of them succeeds.

    Parameters
    ----------
    settings : ReachSettings
    """

    def __init__(self, *, settings: ReachSettings) -> None:
        self.settings = settings
        self._next_probe_s: dict[str, float] = {}

    def update(self, unanswered_s: Mapping[str, float], now: float) -> None:
        """Take for how long each upstream has answered no request."""
        for upstream, silent_s in unanswered_s.items():
            is_silent = silent_s >= self.settings.unreached_s
            if is_silent and upstream not in self._next_probe_s:
                self._next_probe_s[upstream] = now + self.settings.probe_s

    def unreached(self) -> frozenset[str]:
        """Return the upstreams that can't be reached, to be told to peers."""
        return frozenset(self._next_probe_s)

    def take_due_probe(self, now: float) -> str | None:
        """Return an upstream to probe now; one, as a probe may take a while."""
        due = (name for name, at_s in self._next_probe_s.items() if now >= at_s)
        upstream = next(due, None)
        if upstream is not None:
            self._next_probe_s[upstream] = now + self.settings.probe_s
        return upstream

    def apply_probe(self, upstream: str) -> None:
        """Take a probe that was answered."""
        self._next_probe_s.pop(upstream, None)
