"""One task of a job: its attempts and its final outcome."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from papayadyke_core.jobs._types import TaskDone, TaskResult
from papayadyke_core.journal import TaskEnded, TaskState
from papayadyke_core.verdicts import Reason

ATTEMPTS_PER_EPOCH = 1_000_000_000
PERMANENT_REASONS = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.UNKNOWN_WORKLOAD,
        Reason.TOO_LARGE,
        Reason.CAN_NEVER_RUN,
        Reason.FAILS_EVERYWHERE,
        Reason.EXPIRED,
        Reason.TIMED_OUT,
    }
)


class Live(StrEnum):
    """What the latest attempt may be doing.

    `NONE`: it has ended or there is none. `ORDERED`: it waits to be placed.
    `INTENDED`: its intent is being appended. `STARTED`: it may run.
    `UNRESOLVED`: it may run, and nobody waits for its answer.
    """

    NONE = "none"
    ORDERED = "ordered"
    INTENDED = "intended"
    STARTED = "started"
    UNRESOLVED = "unresolved"


@dataclass(slots=True)
class Task:
    """State of a task.

    Parameters
    ----------
    index : int
    attempt : int, default=0
        Number of the latest attempt.
    logged_attempt : int, default=0
        Number of the latest attempt with an intent in the log.
    logged_starts : int, default=0
        Attempts with an intent in the log.
    live : Live
    starts : int, default=0
        Attempts that may have run.
    failures : int, default=0
        Attempts that ran and brought no answer.
    unresolved_since_s : float, default=0.0
        Log time at which an unresolved attempt was lost, or last seen running.
    """

    index: int
    attempt: int = 0
    logged_attempt: int = 0
    logged_starts: int = 0
    live: Live = Live.NONE
    starts: int = 0
    failures: int = 0
    upstream: str | None = None
    unresolved_since_s: float = 0.0
    not_before_s: float = 0.0
    stop_asked: bool = False
    done: TaskDone | None = None
    proposed: TaskEnded | None = None
    outcome: TaskEnded | None = None
    avoid: list[str] = field(default_factory=list)

    @property
    def state(self) -> TaskState:
        """The state as it is told; only an outcome in the log is final."""
        if self.outcome is not None:
            return self.outcome.state
        if self.live in (Live.STARTED, Live.UNRESOLVED) or self.proposed is not None:
            return TaskState.RUNNING
        if self.live is Live.INTENDED:
            return TaskState.STARTING
        return TaskState.QUEUED

    @property
    def is_settled(self) -> bool:
        """Whether an outcome is in the log or on its way there."""
        return self.outcome is not None or self.proposed is not None

    def begin_attempt(self, epoch: int) -> None:
        """Count a new attempt; the earlier one must have ended.

        Parameters
        ----------
        epoch : int
            Of the partition's owner. The numbers of two owners never meet, so a
            late message about an earlier owner's attempt changes nothing.
        """
        check(self.live is Live.NONE, "two attempts that may both run")
        check(not self.is_settled, "an attempt after the outcome")
        self.attempt = max(self.attempt + 1, first_attempt(epoch))
        self.live = Live.ORDERED
        self.stop_asked = False
        self.done = None
        self.upstream = None

    def mark_started(self) -> None:
        """Note that the latest attempt may run from now on."""
        self.live = Live.STARTED
        self.starts += 1

    def end_attempt(self, done: TaskDone, now_s: float) -> None:
        """Take in the end of the latest attempt.

        Parameters
        ----------
        done : TaskDone
        now_s : float
            Log time.
        """
        never_authorized = self.live in (Live.ORDERED, Live.INTENDED)
        ran = done.result is not TaskResult.NOT_STARTED
        check(not (never_authorized and ran), "a start that was not authorized")
        self.upstream = done.upstream or self.upstream
        if done.result in (TaskResult.LOST, TaskResult.RUNNING):
            seen = done.result is TaskResult.RUNNING
            if seen or self.live is not Live.UNRESOLVED:
                self.unresolved_since_s = now_s
            self.live = Live.UNRESOLVED
            return
        if done.result is TaskResult.NOT_STARTED and not never_authorized:
            self.starts -= 1
        if done.result in (TaskResult.FAILED, TaskResult.LAPSED):
            self.failures += 1
            if self.upstream and self.upstream not in self.avoid:
                self.avoid.append(self.upstream)
        self.live = Live.NONE
        self.done = done

    def requeue(self, not_before_s: float) -> None:
        """Let another attempt begin, from a log time on."""
        self.done = None
        self.not_before_s = not_before_s


def first_attempt(epoch: int) -> int:
    """Return the number of the first attempt that an owner may begin."""
    return epoch * ATTEMPTS_PER_EPOCH + 1


def check(condition: bool, what: str) -> None:
    """Stop on a breach of an invariant."""
    if not condition:
        raise AssertionError(f"jobs: {what}")
