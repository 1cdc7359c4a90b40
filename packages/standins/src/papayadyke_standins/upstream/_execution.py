"""Simulated execution of tasks, with throttling, checkpointing and stopping."""

from __future__ import annotations

import threading
from collections import OrderedDict, deque

from papayadyke_core.resources import ZERO_RESOURCES, Resources
from papayadyke_standins.upstream._tasks import Task, base_task_id

WORK_SLICE_S = 0.25
THROTTLE_FACTOR = 4.0
MAX_CHECKPOINTS = 1000
USAGE_LAG_S = 1.0


class Checkpoints:
    """Remaining work of the tasks checkpointed on this upstream, in seconds."""

    def __init__(self) -> None:
        self._remaining_s: OrderedDict[str, float] = OrderedDict()
        self._lock = threading.Lock()

    def save(self, task: Task, remaining_s: float) -> None:
        """Save the remaining work for the next attempt of the same task."""
        with self._lock:
            self._remaining_s[base_task_id(task.id)] = remaining_s
            if len(self._remaining_s) > MAX_CHECKPOINTS:
                self._remaining_s.popitem(last=False)

    def pop(self, task: Task, total_s: float) -> float:
        """Remove and return the remaining work, or `total_s` without a checkpoint."""
        with self._lock:
            return min(self._remaining_s.pop(base_task_id(task.id), total_s), total_s)


class LaggingUsage:
    """Resource usage of the tasks, reported with a lag.

    Parameters
    ----------
    lag_s : float, default=1.0
    """

    def __init__(self, *, lag_s: float = USAGE_LAG_S) -> None:
        self.lag_s = lag_s
        self._samples: deque[tuple[float, Resources]] = deque()
        self._visible = ZERO_RESOURCES
        self._lock = threading.Lock()

    def sample(self, used: Resources, now: float) -> None:
        """Record the current usage."""
        with self._lock:
            self._samples.append((now, used))

    def read(self, now: float) -> Resources:
        """Return the newest sample that is at least `lag_s` old."""
        with self._lock:
            while self._samples and self._samples[0][0] <= now - self.lag_s:
                self._visible = self._samples.popleft()[1]
            return self._visible


def execute(task: Task, seconds: float) -> float:
    """Simulate the work of a task and return the remaining work, in seconds.

    Once throttled, the remaining work takes `THROTTLE_FACTOR` times as long.
    """
    remaining_s = seconds
    while remaining_s > 0.0:
        slice_s = min(remaining_s, WORK_SLICE_S)
        if task.stop.wait(slice_s * task.throttle):
            return remaining_s
        remaining_s -= slice_s
    return 0.0
