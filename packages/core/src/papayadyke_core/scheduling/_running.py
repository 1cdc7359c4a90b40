"""Index of running tasks by id, request and upstream."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from papayadyke_core.resources import Resources
from papayadyke_core.scheduling._types import RunningTask


class SchedulingError(AssertionError):
    """Violation of a scheduling invariant; no task may be started after it."""


@dataclass(slots=True, eq=False)
class TrackedTask:
    """A running task as tracked by the scheduler.

    Parameters
    ----------
    task_id, request_id, workload, upstream : str
    demand : Resources
        Resources reserved for the task.
    started_at_s : float
        Time at which the task was started or adopted.
    gang : bool
        Whether the task is useful only together with the other tasks of its
        request.
    adopted : bool
        Whether the task was already running when it was registered, so that its
        run time is unknown.
    stop_requested_at_s : float or None
        Time at which the task was asked to stop, if it was preempted.
    """

    task_id: str
    request_id: str
    workload: str
    upstream: str
    demand: Resources
    started_at_s: float
    gang: bool = False
    adopted: bool = False
    stop_requested_at_s: float | None = None

    def to_message(self) -> RunningTask:
        """Return the public representation of the task."""
        return RunningTask(
            task_id=self.task_id,
            request_id=self.request_id,
            workload=self.workload,
            upstream=self.upstream,
            demand=self.demand,
        )


class RunningTaskIndex:
    """Running tasks, each with a unique id."""

    def __init__(self) -> None:
        self._by_id: dict[str, TrackedTask] = {}
        self._by_request: dict[str, dict[str, TrackedTask]] = {}
        self._by_upstream: dict[str, dict[str, TrackedTask]] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, task_id: str) -> bool:
        return task_id in self._by_id

    def add(self, task: TrackedTask) -> None:
        """Add a task.

        Raises
        ------
        SchedulingError
            If a task of the same id is already running.
        """
        if task.task_id in self._by_id:
            raise SchedulingError(f"scheduling: task {task.task_id} is already running")
        self._by_id[task.task_id] = task
        self._by_request.setdefault(task.request_id, {})[task.task_id] = task
        self._by_upstream.setdefault(task.upstream, {})[task.task_id] = task

    def pop(self, task_id: str) -> TrackedTask | None:
        """Remove a task and return it, or None if the id is unknown."""
        task = self._by_id.pop(task_id, None)
        if task is not None:
            _remove_from_index(self._by_request, task.request_id, task_id)
            _remove_from_index(self._by_upstream, task.upstream, task_id)
        return task

    def find(self, task_id: str) -> TrackedTask | None:
        """Return a task, or None if the id is unknown."""
        return self._by_id.get(task_id)

    def has_request(self, request_id: str) -> bool:
        """Return whether any task of a request is running."""
        return request_id in self._by_request

    def of_request(self, request_id: str) -> Iterable[TrackedTask]:
        """Return the running tasks of a request."""
        return self._by_request.get(request_id, {}).values()

    def count_on(self, upstream: str) -> int:
        """Return the number of tasks running on an upstream."""
        return len(self._by_upstream.get(upstream, ()))

    def on_upstream(self, upstream: str) -> Iterable[TrackedTask]:
        """Return the tasks running on an upstream."""
        return self._by_upstream.get(upstream, {}).values()


def _remove_from_index(
    index: dict[str, dict[str, TrackedTask]], key: str, task_id: str
) -> None:
    tasks = index[key]
    del tasks[task_id]
    if not tasks:
        del index[key]
