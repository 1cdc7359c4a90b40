"""Running one request from admission to its whole answer or its verdict."""

from papayadyke_daemon.serving._history import RequestHistory, RequestRecord
from papayadyke_daemon.serving._ids import IdSource
from papayadyke_daemon.serving._run import (
    MAX_ATTEMPTS,
    Answer,
    Runner,
    RunOrder,
    RunService,
)
from papayadyke_daemon.serving._tasks import TaskRunner

__all__ = [
    "MAX_ATTEMPTS",
    "Answer",
    "IdSource",
    "RequestHistory",
    "RequestRecord",
    "RunOrder",
    "RunService",
    "Runner",
    "TaskRunner",
]
