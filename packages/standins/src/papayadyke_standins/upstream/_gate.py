"""Which session holds an upstream."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Gate:
    """Grants the session of one upstream to one owner at a time."""

    token: int = 0
    vm: str = ""
    incarnation: int = 0
    epoch: int = 0
    ttl_s: float = 0.0
    until_s: float = float("-inf")

    def open(
        self, vm: str, incarnation: int, epoch: int, ttl_s: float, now: float
    ) -> str | None:
        """Grant the session, or return the reason why not."""
        same = vm == self.vm and incarnation >= self.incarnation
        lapsed = now >= self.until_s
        if epoch < self.epoch:
            return "stale_epoch"
        if not (same or lapsed or epoch > self.epoch):
            return "held"
        self.token += 1
        self.vm = vm
        self.incarnation = incarnation
        self.epoch = epoch
        self.ttl_s = ttl_s
        self.until_s = now + ttl_s
        return None

    def renew(self, token: int, now: float) -> bool:
        """Keep the session; tell whether `token` still holds it."""
        if token != self.token or now >= self.until_s:
            return False
        self.until_s = now + self.ttl_s
        return True

    def check_start(self, token: int, start_before: float, now: float) -> str | None:
        """Return the reason why a start is refused, or None."""
        if token != self.token:
            return "stale_token"
        if now >= self.until_s:
            return "session_lapsed"
        if now >= start_before:
            return "start_too_late"
        return None

    def release(self, token: int) -> bool:
        """End the session at once."""
        if token != self.token:
            return False
        self.until_s = float("-inf")
        return True
