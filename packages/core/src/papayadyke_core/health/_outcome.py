"""Outcomes of tasks, used as evidence for or against their upstreams."""

from __future__ import annotations

from enum import StrEnum


class TaskOutcome(StrEnum):
    """Outcome of a started task, with the values of `scheduling.Outcome`."""

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_STARTED = "not_started"
    STOPPED = "stopped"
    LOST = "lost"
