"""Scheduler that starts, places, preempts and refuses requests."""

from papayadyke_core.scheduling._running import SchedulingError
from papayadyke_core.scheduling._scheduler import Scheduler
from papayadyke_core.scheduling._settings import SchedulerSettings
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
    StopMode,
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
    "Scheduler",
    "SchedulerProtocol",
    "SchedulerSettings",
    "SchedulingError",
    "Start",
    "Stop",
    "StopMode",
    "WorkloadLoad",
]
