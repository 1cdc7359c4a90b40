"""Execution of a request or task from its submission to its result."""

from papayadyke_daemon.serving._history import RequestHistory, RequestRecord
from papayadyke_daemon.serving._ids import IdSource
from papayadyke_daemon.serving._refusals import refuse_draining
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
    "refuse_draining",
]
