"""Tasks that run, by id, by request and by upstream."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from papayadyke_core.resources import Resources
from papayadyke_core.scheduling._types import RunningTask


class SchedulingError(AssertionError):
    """An invariant of scheduling does not hold; nothing may be started."""


@dataclass(slots=True, eq=False)
class Running:
    """A task that runs.

    Parameters
    ----------
    task_id, request_id, workload, upstream : str
    demand : Resources
        What is reserved for it.
    started_at_s : float
        Time of the start, or of the adoption.
    gang : bool
        Whether it is of use only together with its request's other tasks.
    adopted : bool
        Whether it was found running, so that its run time is unknown.
    stop_asked_at_s : float or None
        Time at which it was asked to give way.
    """

    task_id: str
    request_id: str
    workload: str
    upstream: str
    demand: Resources
    started_at_s: float
    gang: bool = False
    adopted: bool = False
    stop_asked_at_s: float | None = None

    def to_message(self) -> RunningTask:
        """Return what others are told of the task."""
        return RunningTask(
            task_id=self.task_id,
            request_id=self.request_id,
            workload=self.workload,
            upstream=self.upstream,
            demand=self.demand,
        )


class RunningTasks:
    """All tasks that run; no task is in it twice."""

    def __init__(self) -> None:
        self._by_id: dict[str, Running] = {}
        self._by_request: dict[str, dict[str, Running]] = {}
        self._by_upstream: dict[str, dict[str, Running]] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, task_id: str) -> bool:
        return task_id in self._by_id

    def add(self, task: Running) -> None:
        """Count a task.

        Raises
        ------
        SchedulingError
            If the task runs already.
        """
        if task.task_id in self._by_id:
            raise SchedulingError(f"scheduling: {task.task_id} runs already")
        self._by_id[task.task_id] = task
        self._by_request.setdefault(task.request_id, {})[task.task_id] = task
        self._by_upstream.setdefault(task.upstream, {})[task.task_id] = task

    def pop(self, task_id: str) -> Running | None:
        """Forget a task and return it; None where it is unknown."""
        task = self._by_id.pop(task_id, None)
        if task is not None:
            _drop(self._by_request, task.request_id, task_id)
            _drop(self._by_upstream, task.upstream, task_id)
        return task

    def find(self, task_id: str) -> Running | None:
        """Return a task, or None."""
        return self._by_id.get(task_id)

    def has_request(self, request_id: str) -> bool:
        """Tell whether a task of a request runs."""
        return request_id in self._by_request

    def of_request(self, request_id: str) -> Iterable[Running]:
        """Return the tasks of a request."""
        return self._by_request.get(request_id, {}).values()

    def count_on(self, upstream: str) -> int:
        """Return how many tasks run on an upstream."""
        return len(self._by_upstream.get(upstream, ()))

    def on_upstream(self, upstream: str) -> Iterable[Running]:
        """Return the tasks on an upstream."""
        return self._by_upstream.get(upstream, {}).values()


def _drop(index: dict[str, dict[str, Running]], key: str, task_id: str) -> None:
    tasks = index[key]
    del tasks[task_id]
    if not tasks:
        del index[key]
