"""The request queue of one workload."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

# Minimum number of discarded requests before the queue is rebuilt.
_MIN_DISCARDED = 64


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request of which all or some tasks wait to be started.

    Parameters
    ----------
    id : str
    workload : str
    deadline_s : float
        Time in seconds by which the first task must have started.
    tasks : int
        Number of tasks.
    attempt : int
        Number of the attempt.
    avoid : tuple of str
        Upstreams to avoid, if others could fit the tasks.
    queued_at_s : float
        Time in seconds at which the request was queued.
    started_tasks : int, default=0
        Number of started tasks.
    is_queued : bool, default=True
        Whether the request is in the queue.
    """

    id: str
    workload: str
    deadline_s: float
    tasks: int
    attempt: int
    avoid: tuple[str, ...]
    queued_at_s: float
    started_tasks: int = 0
    is_queued: bool = True

    @property
    def waiting_tasks(self) -> int:
        """Number of tasks of the request that wait."""
        return self.tasks - self.started_tasks


class WorkloadQueue:
    """The waiting requests of one workload, in first-in, first-out order.

    The cost of a discard does not depend on the position of the request: the
    request is only marked, and removed when it reaches the head or when more than
    half of the entries are marked.
    """

    def __init__(self) -> None:
        self._requests: deque[QueuedRequest] = deque()
        self._queued_count = 0
        self._waiting_tasks = 0

    def __len__(self) -> int:
        return self._queued_count

    def __iter__(self) -> Iterator[QueuedRequest]:
        return (request for request in self._requests if request.is_queued)

    @property
    def tasks(self) -> int:
        """Number of tasks that wait."""
        return self._waiting_tasks

    def append(self, request: QueuedRequest) -> None:
        """Add a request at the end of the queue."""
        self._requests.append(request)
        self._queued_count += 1
        self._waiting_tasks += request.waiting_tasks

    def head(self) -> QueuedRequest | None:
        """Return the next request, or None if the queue is empty."""
        requests = self._requests
        while requests and not requests[0].is_queued:
            requests.popleft()
        return requests[0] if requests else None

    def record_started(self, request: QueuedRequest, tasks: int) -> None:
        """Count started tasks of a request; the last one removes it from the queue."""
        request.started_tasks += tasks
        self._waiting_tasks -= tasks
        if request.waiting_tasks == 0:
            self.discard(request)

    def discard(self, request: QueuedRequest) -> None:
        """Remove a request; has no effect if it has already left the queue."""
        if not request.is_queued:
            return
        request.is_queued = False
        self._queued_count -= 1
        self._waiting_tasks -= request.waiting_tasks
        discarded_count = len(self._requests) - self._queued_count
        if discarded_count > max(_MIN_DISCARDED, self._queued_count):
            self._requests = deque(entry for entry in self._requests if entry.is_queued)
