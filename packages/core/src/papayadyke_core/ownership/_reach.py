"""Which upstreams this VM was to own but can't reach."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from papayadyke_core.ownership._session import Session


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

    def update(self, sessions: Iterable[Session], now: float) -> None:
        """Look for sessions whose upstream has not answered for long."""
        for session in sessions:
            is_silent = session.unanswered_s(now) >= self.settings.unreached_s
            if is_silent and session.upstream not in self._next_probe_s:
                self._next_probe_s[session.upstream] = now + self.settings.probe_s

    def unreached(self) -> frozenset[str]:
        """Return the upstreams that can't be reached, to be told to peers."""
        return frozenset(self._next_probe_s)

    def take_due_probes(self, now: float) -> tuple[str, ...]:
        """Return the upstreams to probe now."""
        due = [name for name, at_s in self._next_probe_s.items() if now >= at_s]
        for name in due:
            self._next_probe_s[name] = now + self.settings.probe_s
        return tuple(due)

    def apply_probe(self, upstream: str) -> None:
        """Take a probe that was answered."""
        self._next_probe_s.pop(upstream, None)
