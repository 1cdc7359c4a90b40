"""A run: one attempt of a task at an upstream."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from papayadyke_core.dispatch._spec import StepSpec, TaskId

# Upstreams that crashed or may have under a task, after which it runs by itself.
PRIME_SUSPECT_LOSSES = 2


class RunPhase(StrEnum):
    """State of a run as known to the dispatcher.

    `UNCERTAIN` is a run whose start order was not answered.
    """

    ORDERED = "ordered"
    RUNNING = "running"
    UNCERTAIN = "uncertain"


@dataclass(slots=True)
class Run:
    """A run, which holds resources of its upstream until it is known to have ended.

    Parameters
    ----------
    task : TaskId
    attempt : int
    upstream_id : str
    spec : StepSpec
    phase : RunPhase
    phase_since_s : float
        When the phase began, in seconds on the dispatcher's clock.
    started_s : float
        When the run was ordered, or first reported if an earlier decider ordered it.
    incarnation : int or None
        Incarnation of the upstream when the run was ordered or first reported; None
        if the upstream had not reported.
    percent : float
        Progress that the upstream reports.
    is_unwanted : bool
        Whether the task no longer needs this run, so that its end only frees
        resources.
    earlier_losses : int
        Upstreams that had crashed, or might have, under earlier runs of the task.
    is_urgent : bool
        Whether the queue of the job has the highest priority.
    stop_requested_s, stop_confirmed_s : float or None
        When a stop was last ordered and first accepted.
    team : str
        Team that the run counts for.
    charged_as : StepSpec or None
        What the run counts against its team, if its own needs are unknown.
    expected_s : float
        Expected time from `started_s` to the end, in seconds.
    is_timed : bool
        Whether the time from `started_s` to the end is that of a whole run: it did not
        resume from a checkpoint, was seen from its start, and its end is read at once.
    """

    task: TaskId
    attempt: int
    upstream_id: str
    spec: StepSpec
    phase: RunPhase
    phase_since_s: float
    started_s: float
    incarnation: int | None = None
    percent: float = 0.0
    is_unwanted: bool = False
    earlier_losses: int = 0
    is_urgent: bool = False
    stop_requested_s: float | None = None
    stop_confirmed_s: float | None = None
    team: str = ""
    charged_as: StepSpec | None = None
    expected_s: float = 0.0
    is_timed: bool = True

    @property
    def is_prime_suspect(self) -> bool:
        """Whether the run has its upstream to itself at first."""
        return self.earlier_losses >= PRIME_SUSPECT_LOSSES

    @property
    def key(self) -> tuple[TaskId, int]:
        """Task and attempt, which identify the run."""
        return self.task, self.attempt
