"""One attempt of a task at an upstream."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from papayadyke_core.dispatch._spec import StepSpec, TaskId


class RunPhase(StrEnum):
    """What the dispatcher knows of a run."""

    ORDERED = "ordered"
    RUNNING = "running"
    UNCERTAIN = "uncertain"


@dataclass(slots=True)
class Run:
    """A run that takes room at an upstream until it is known to be gone.

    Parameters
    ----------
    task : TaskId
    attempt : int
    upstream_id : str
    spec : StepSpec
    phase : RunPhase
    phase_since_s : float
        When the phase began.
    started_s : float
        When it was ordered, or first seen.
    percent : float
    is_unwanted : bool
        Its end changes nothing but the room.
    stop_asked_s, stop_confirmed_s : float or None
    """

    task: TaskId
    attempt: int
    upstream_id: str
    spec: StepSpec
    phase: RunPhase
    phase_since_s: float
    started_s: float
    percent: float = 0.0
    is_unwanted: bool = False
    stop_requested_s: float | None = None
    stop_confirmed_s: float | None = None

    @property
    def key(self) -> tuple[TaskId, int]:
        """Task and attempt."""
        return self.task, self.attempt
