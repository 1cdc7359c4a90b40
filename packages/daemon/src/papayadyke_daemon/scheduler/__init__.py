"""Thread that owns the scheduler, and the messages that it handles."""

from papayadyke_daemon.scheduler._loop import SchedulerLoop
from papayadyke_daemon.scheduler._messages import (
    AddUpstream,
    Adopt,
    ApplyConfig,
    Cancel,
    DrainUpstream,
    Finish,
    HandOver,
    Placed,
    Query,
    RemoveUpstream,
    Submit,
)

__all__ = [
    "AddUpstream",
    "Adopt",
    "ApplyConfig",
    "Cancel",
    "DrainUpstream",
    "Finish",
    "HandOver",
    "Placed",
    "Query",
    "RemoveUpstream",
    "SchedulerLoop",
    "Submit",
]
