"""Simulated upstream that records the starts it receives and checks them."""

from __future__ import annotations

from collections import Counter

from papayadyke_core.ownership import SessionGate, StartRefusal
from papayadyke_standins.ownership_world._clock import DriftingClock

TOKENS_PER_RESTART = 1_000_000


class WorldUpstream:
    """Upstream that does not refuse excess tasks, so that over-commitment is detected.

    Parameters
    ----------
    name : str
    capacity : int
        Number of tasks that its owner may run on it.
    clock : DriftingClock
    """

    def __init__(self, name: str, *, capacity: int, clock: DriftingClock) -> None:
        self.name = name
        self.capacity = capacity
        self.clock = clock
        self.gate = SessionGate()
        self.restarts = 0
        self.running: set[str] = set()
        self.started: dict[str, int] = {}
        self.confirmed_not_started: set[str] = set()
        self.owner_of_token: dict[int, str] = {}
        self.highest_token = 0
        self.refusals: Counter[StartRefusal] = Counter()

    def restart_gate(self) -> None:
        """Discard the session, as a restart of the upstream process does."""
        self.restarts += 1
        self.gate = SessionGate(first_token=1 + self.restarts * TOKENS_PER_RESTART)

    def start(
        self, task: str, *, vm: str, token: int, start_before_s: float, world_s: float
    ) -> StartRefusal | None:
        """Start a task, and check the invariants of ownership."""
        now = self.clock.read(world_s)
        refusal = self.gate.check_start(token, start_before_s, now)
        if refusal is not None:
            self.refusals[refusal] += 1
            return refusal
        self._check_start(task, vm, token)
        self.running.add(task)
        self.started[task] = token
        self.highest_token = token
        return None

    def _check_start(self, task: str, vm: str, token: int) -> None:
        if token < self.highest_token:
            raise AssertionError(f"{self.name}: accepted a start by a stale owner")
        if self.owner_of_token.setdefault(token, vm) != vm:
            raise AssertionError(f"{self.name}: two owners share a token")
        if task in self.started:
            raise AssertionError(f"{self.name}: {task} started twice")
        if task in self.confirmed_not_started:
            raise AssertionError(
                f"{self.name}: {task} started after it was reported as not started"
            )
        if len(self.running) >= self.capacity:
            raise AssertionError(f"{self.name}: over-committed")

    def confirm_not_started(self, task: str) -> bool:
        """Return whether a task has not started; it must not start later."""
        if task in self.started:
            return False
        self.confirmed_not_started.add(task)
        return True
