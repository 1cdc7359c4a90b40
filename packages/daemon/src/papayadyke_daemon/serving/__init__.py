"""Running one request from admission to its whole answer or its verdict."""

from papayadyke_daemon.serving._history import RequestHistory, RequestRecord
from papayadyke_daemon.serving._ids import IdSource
from papayadyke_daemon.serving._run import Answer, RunOrder, RunService

__all__ = [
    "Answer",
    "IdSource",
    "RequestHistory",
    "RequestRecord",
    "RunOrder",
    "RunService",
]
