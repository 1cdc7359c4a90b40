"""The thread that owns the scheduler and decides."""

from papayadyke_daemon.scheduler._loop import SchedulerLoop
from papayadyke_daemon.scheduler._messages import (
    AddUpstream,
    Adopt,
    ApplyConfig,
    Ask,
    Cancel,
    DrainUpstream,
    Finish,
    Placed,
    RemoveUpstream,
    Submit,
)

__all__ = [
    "AddUpstream",
    "Adopt",
    "ApplyConfig",
    "Ask",
    "Cancel",
    "DrainUpstream",
    "Finish",
    "Placed",
    "RemoveUpstream",
    "SchedulerLoop",
    "Submit",
]
