"""Which request runs next, where, and which is refused."""

from papayadyke_core.scheduling._types import (
    CancelResult,
    Decision,
    LoadSummary,
    Outcome,
    Refuse,
    Request,
    RunningTask,
    SchedulerProtocol,
    Start,
    Stop,
    StopWay,
    WorkloadLoad,
)

__all__ = [
    "CancelResult",
    "Decision",
    "LoadSummary",
    "Outcome",
    "Refuse",
    "Request",
    "RunningTask",
    "SchedulerProtocol",
    "Start",
    "Stop",
    "StopWay",
    "WorkloadLoad",
]
