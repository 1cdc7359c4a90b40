"""An upstream that keeps a record of what it was told, and checks it."""

from __future__ import annotations

from collections import Counter

from papayadyke_core.ownership import SessionGate, StartRefusal
from papayadyke_standins.ownership_world._clock import DriftingClock

TOKENS_PER_LIFE = 1_000_000


class WorldUpstream:
    """Runs tasks without limit, so that an over-commit shows.

    Parameters
    ----------
    name : str
    capacity : int
        Tasks that its owner may have on it.
    clock : DriftingClock
    """

    def __init__(self, name: str, *, capacity: int, clock: DriftingClock) -> None:
        self.name = name
        self.capacity = capacity
        self.clock = clock
        self.gate = SessionGate()
        self.lives = 0
        self.running: set[str] = set()
        self.started: dict[str, int] = {}
        self.denied: set[str] = set()
        self.owner_of_token: dict[int, str] = {}
        self.accepted_token = 0
        self.refusals: Counter[StartRefusal] = Counter()

    def restart_gate(self) -> None:
        """Forget the session, as after a restart of the process that keeps it."""
        self.lives += 1
        self.gate = SessionGate(first_token=1 + self.lives * TOKENS_PER_LIFE)

    def start(
        self, task: str, *, vm: str, token: int, start_before_s: float, world_s: float
    ) -> StartRefusal | None:
        """Start a task, and check what every upstream relies on."""
        now = self.clock.read(world_s)
        refusal = self.gate.check_start(token, start_before_s, now)
        if refusal is not None:
            self.refusals[refusal] += 1
            return refusal
        self._check_start(task, vm, token)
        self.running.add(task)
        self.started[task] = token
        self.accepted_token = token
        return None

    def _check_start(self, task: str, vm: str, token: int) -> None:
        if token < self.accepted_token:
            raise AssertionError(f"{self.name}: a start by a stale owner")
        if self.owner_of_token.setdefault(token, vm) != vm:
            raise AssertionError(f"{self.name}: two owners with one token")
        if task in self.started:
            raise AssertionError(f"{self.name}: {task} started twice")
        if task in self.denied:
            raise AssertionError(f"{self.name}: {task} was told as not run")
        if len(self.running) >= self.capacity:
            raise AssertionError(f"{self.name}: over-committed")

    def deny(self, task: str) -> bool:
        """Tell whether a task never started; its owner relies on that for ever."""
        if task in self.started:
            return False
        self.denied.add(task)
        return True
