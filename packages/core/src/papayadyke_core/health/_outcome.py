"""How a task ended, as evidence for or against its upstream."""

from __future__ import annotations

from enum import StrEnum


class TaskOutcome(StrEnum):
    """How a started task ended; the values are those of `scheduling.Outcome`."""

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_STARTED = "not_started"
    STOPPED = "stopped"
    LOST = "lost"
