"""Keys of the soak's teams, which are added and withdrawn in quick succession."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from papayadyke_daemon.edge import read_clock

TEAMS = ("red", "green", "blue")
CHANGE_GAP_S = (0.05, 1.0)  # seconds between two versions
MOST_KEYS = 3  # keys of a team at a time
APPLY_S = 3.0  # seconds in which a VM must know a version; config_apply_ms of the users


@dataclass(frozen=True, slots=True)
class WithdrawnKey:
    """Key that is in no later version, and when the first of these was stored."""

    key: str
    withdrawn_s: float


class KeyRing:
    """Keys of all teams by version, and a thread that stores new versions.

    Parameters
    ----------
    put : callable
        Stores a version: the keys by team.
    seed : int
    """

    def __init__(
        self, put: Callable[[Mapping[str, Sequence[str]]], None], *, seed: int
    ) -> None:
        self._put = put
        self._rng = random.Random(f"{seed} keys")
        self._keys = {team: [self._make_key(team)] for team in TEAMS}
        self._withdrawn: list[WithdrawnKey] = []
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="keys", daemon=True)
        put(self._keys)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread after its current version."""
        self._stopped.set()
        self._thread.join(timeout=30.0)

    def change(self) -> None:
        """Give one team another key, or withdraw its oldest."""
        with self._lock:
            keys = self._keys[self._rng.choice(TEAMS)]
            if len(keys) < MOST_KEYS and (len(keys) == 1 or self._rng.random() < 0.5):
                keys.append(self._make_key("key"))
                self._put(self._keys)
                return
            key = keys.pop(0)
            self._put(self._keys)
            self._withdrawn.append(WithdrawnKey(key, read_clock()))

    def pick(self, team: str, number: int = 0) -> str:
        """Return one of a team's keys; 0 is the oldest."""
        with self._lock:
            keys = self._keys[team]
            return keys[number % len(keys)]

    def list_withdrawn(self) -> list[WithdrawnKey]:
        """Return all withdrawn keys in the order of their withdrawal."""
        with self._lock:
            return list(self._withdrawn)

    def _make_key(self, prefix: str) -> str:
        return f"{prefix}-{self._rng.getrandbits(64):016x}"

    def _run(self) -> None:
        while not self._stopped.wait(self._rng.uniform(*CHANGE_GAP_S)):
            self.change()


def find_team(job_id: str) -> str:
    """Return the team of a job, which follows from its id."""
    return TEAMS[int(job_id, 16) % len(TEAMS)]
