"""The queue of one workload."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

_MIN_DISCARDED = 64


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request that waits, or of which some tasks still wait.

    Parameters
    ----------
    id : str
    workload : str
    deadline_s : float
        Time by which the first task has to have started.
    tasks : int
    attempt : int
    avoid : tuple of str
    queued_at_s : float
    started : int, default=0
        Tasks that have been started.
    live : bool, default=True
        False once it has left the queue.
    """

    id: str
    workload: str
    deadline_s: float
    tasks: int
    attempt: int
    avoid: tuple[str, ...]
    queued_at_s: float
    started: int = 0
    live: bool = True

    @property
    def tasks_left(self) -> int:
        """The tasks that wait."""
        return self.tasks - self.started


class WorkloadQueue:
    """The waiting requests of one workload, first in first out.

    Discarding costs the same wherever the request stands: it is marked, and
    dropped when it reaches the head or when most of the queue is marked.
    """

    def __init__(self) -> None:
        self._requests: deque[QueuedRequest] = deque()
        self._live = 0
        self._tasks = 0

    def __len__(self) -> int:
        return self._live

    def __iter__(self) -> Iterator[QueuedRequest]:
        return (request for request in self._requests if request.live)

    @property
    def tasks(self) -> int:
        """The tasks that wait."""
        return self._tasks

    def append(self, request: QueuedRequest) -> None:
        """Queue a request behind the others."""
        self._requests.append(request)
        self._live += 1
        self._tasks += request.tasks_left

    def head(self) -> QueuedRequest | None:
        """Return the request that is next, or None."""
        requests = self._requests
        while requests and not requests[0].live:
            requests.popleft()
        return requests[0] if requests else None

    def record_started(self, request: QueuedRequest, tasks: int) -> None:
        """Count tasks of a request that no longer wait; it leaves with the last."""
        request.started += tasks
        self._tasks -= tasks
        if request.tasks_left == 0:
            self.discard(request)

    def discard(self, request: QueuedRequest) -> None:
        """Drop a request; one that has left already changes nothing."""
        if not request.live:
            return
        request.live = False
        self._live -= 1
        self._tasks -= request.tasks_left
        discarded = len(self._requests) - self._live
        if discarded > max(_MIN_DISCARDED, self._live):
            self._requests = deque(item for item in self._requests if item.live)
