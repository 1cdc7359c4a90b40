"""Doing the work of a task: throttled, checkpointed or stopped on the way."""

from __future__ import annotations

import threading
from collections import OrderedDict, deque

from papayadyke_core.resources import ZERO_RESOURCES, Resources
from papayadyke_standins.upstream._tasks import Task, name_of

SLICE_S = 0.25
THROTTLE_FACTOR = 4.0
CHECKPOINTS_KEPT = 1000
LAG_S = 1.0


class Checkpoints:
    """Work that is left of tasks that were checkpointed on this upstream."""

    def __init__(self) -> None:
        self._left: OrderedDict[str, float] = OrderedDict()
        self._lock = threading.Lock()

    def save(self, task: Task, left_s: float) -> None:
        """Keep what is left, for the next attempt of the same task."""
        with self._lock:
            self._left[name_of(task.id)] = left_s
            if len(self._left) > CHECKPOINTS_KEPT:
                self._left.popitem(last=False)

    def take(self, task: Task, whole_s: float) -> float:
        """Return what is left of a task; the whole where none was saved."""
        with self._lock:
            return min(self._left.pop(name_of(task.id), whole_s), whole_s)


class LaggingUsage:
    """What the tasks held some time ago."""

    def __init__(self, *, lag_s: float = LAG_S) -> None:
        self.lag_s = lag_s
        self._samples: deque[tuple[float, Resources]] = deque()
        self._seen = ZERO_RESOURCES
        self._lock = threading.Lock()

    def sample(self, used: Resources, now: float) -> None:
        """Note what is held now."""
        with self._lock:
            self._samples.append((now, used))

    def read(self, now: float) -> Resources:
        """Return the newest sample that is older than the lag."""
        with self._lock:
            while self._samples and self._samples[0][0] <= now - self.lag_s:
                self._seen = self._samples.popleft()[1]
            return self._seen


def execute(task: Task, seconds: float) -> float:
    """Do the work of a task and return what is left of it, in seconds.

    A throttled task takes `THROTTLE_FACTOR` times as long from then on.
    """
    left_s = seconds
    while left_s > 0.0:
        part_s = min(left_s, SLICE_S)
        if task.stop.wait(part_s * task.throttle):
            return left_s
        left_s -= part_s
    return 0.0
