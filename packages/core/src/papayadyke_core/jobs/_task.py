"""State of one task of a job: its attempts and its final outcome."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from papayadyke_core.jobs._types import TaskDone, TaskResult
from papayadyke_core.journal import TaskEnded, TaskState
from papayadyke_core.verdicts import Reason

# Keeps the attempt numbers of different owners of a partition distinct.
ATTEMPTS_PER_EPOCH = 1_000_000_000
PERMANENT_REASONS = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.TOO_LARGE,
        Reason.CAN_NEVER_RUN,
        Reason.FAILS_EVERYWHERE,
        Reason.EXPIRED,
        Reason.TIMED_OUT,
    }
)


class AttemptState(StrEnum):
    """State of the latest attempt of a task.

    `NONE`: there is none, or it has ended. `ORDERED`: it waits for placement.
    `INTENDED`: its intent is being appended to the log. `STARTED`: it may run.
    `UNRESOLVED`: it may run, and no request waits for its answer.
    """

    NONE = "none"
    ORDERED = "ordered"
    INTENDED = "intended"
    STARTED = "started"
    UNRESOLVED = "unresolved"


@dataclass(slots=True)
class Task:
    """Mutable state of a task.

    Parameters
    ----------
    index : int
    attempt : int, default=0
        Number of the latest attempt.
    logged_attempt : int, default=0
        Number of the latest attempt whose intent is in the log.
    logged_starts : int, default=0
        Number of attempts whose intent is in the log.
    attempt_state : AttemptState
    starts : int, default=0
        Number of attempts that may have run.
    failures : int, default=0
        Number of attempts that ran and ended without an answer.
    upstream : str or None
        Upstream of the latest attempt, if it is known.
    boot_id : str, default=""
        Boot id of that upstream in the session of the start; empty if it is unknown.
    unresolved_since_s : float, default=0.0
        Log time in seconds at which an unresolved attempt was lost, or last
        reported as running.
    not_before_s : float, default=0.0
        Log time in seconds from which the next attempt may begin.
    stop_requested : bool, default=False
        Whether `Job.tasks_to_stop` has returned the latest attempt.
    attempt_end : TaskDone or None
        Result of the latest attempt, once it has ended.
    pending_outcome : TaskEnded or None
        Final outcome that is being appended to the log.
    outcome : TaskEnded or None
        Final outcome that is in the log.
    avoid : list of str
        Upstreams on which an earlier attempt failed.
    """

    index: int
    attempt: int = 0
    logged_attempt: int = 0
    logged_starts: int = 0
    attempt_state: AttemptState = AttemptState.NONE
    starts: int = 0
    failures: int = 0
    upstream: str | None = None
    boot_id: str = ""
    unresolved_since_s: float = 0.0
    not_before_s: float = 0.0
    stop_requested: bool = False
    attempt_end: TaskDone | None = None
    pending_outcome: TaskEnded | None = None
    outcome: TaskEnded | None = None
    avoid: list[str] = field(default_factory=list)

    @property
    def state(self) -> TaskState:
        """Reported state, which is final only once the outcome is in the log."""
        if self.outcome is not None:
            return self.outcome.state
        if (
            self.attempt_state in (AttemptState.STARTED, AttemptState.UNRESOLVED)
            or self.pending_outcome is not None
        ):
            return TaskState.RUNNING
        if self.attempt_state is AttemptState.INTENDED:
            return TaskState.STARTING
        return TaskState.QUEUED

    @property
    def is_settled(self) -> bool:
        """Whether an outcome is in the log or being appended to it."""
        return self.outcome is not None or self.pending_outcome is not None

    def begin_attempt(self, epoch: int) -> None:
        """Begin a new attempt; the previous one must have ended.

        Parameters
        ----------
        epoch : int
            Epoch of the partition's owner. Attempt numbers of different owners
            never overlap, so a late message about an attempt of an earlier owner
            has no effect.
        """
        check(
            self.attempt_state is AttemptState.NONE,
            "attempt begun while the previous one may still run",
        )
        check(not self.is_settled, "attempt begun after the final outcome")
        self.attempt = max(self.attempt + 1, first_attempt_number(epoch))
        self.attempt_state = AttemptState.ORDERED
        self.stop_requested = False
        self.attempt_end = None
        self.upstream = None
        self.boot_id = ""

    def mark_started(self) -> None:
        """Record that the latest attempt may run from now on."""
        self.attempt_state = AttemptState.STARTED
        self.starts += 1

    def end_attempt(self, attempt_end: TaskDone, now_s: float) -> None:
        """Record the result of the latest attempt.

        Parameters
        ----------
        attempt_end : TaskDone
        now_s : float
            Log time in seconds.
        """
        never_authorized = self.attempt_state in (
            AttemptState.ORDERED,
            AttemptState.INTENDED,
        )
        ran = attempt_end.result is not TaskResult.NOT_STARTED
        check(not (never_authorized and ran), "attempt ran without authorization")
        if attempt_end.upstream not in (None, self.upstream):
            self.upstream = attempt_end.upstream
            self.boot_id = ""
        if attempt_end.result in (TaskResult.LOST, TaskResult.RUNNING):
            is_running = attempt_end.result is TaskResult.RUNNING
            if is_running or self.attempt_state is not AttemptState.UNRESOLVED:
                self.unresolved_since_s = now_s
            self.attempt_state = AttemptState.UNRESOLVED
            return
        if attempt_end.result is TaskResult.NOT_STARTED and not never_authorized:
            self.starts -= 1
        # An attempt without a known upstream may never have been sent.
        is_lapsed = attempt_end.result is TaskResult.LAPSED
        if attempt_end.result is TaskResult.FAILED or (is_lapsed and self.upstream):
            self.failures += 1
            if self.upstream and self.upstream not in self.avoid:
                self.avoid.append(self.upstream)
        self.attempt_state = AttemptState.NONE
        self.attempt_end = attempt_end

    def requeue(self, not_before_s: float) -> None:
        """Allow another attempt from a log time in seconds on."""
        self.attempt_end = None
        self.not_before_s = not_before_s


def first_attempt_number(epoch: int) -> int:
    """Return the lowest attempt number of an owner, given its epoch."""
    return epoch * ATTEMPTS_PER_EPOCH + 1


def check(condition: bool, message: str) -> None:
    """Raise `AssertionError` if an invariant of the job is violated."""
    if not condition:
        raise AssertionError(f"jobs: {message}")
