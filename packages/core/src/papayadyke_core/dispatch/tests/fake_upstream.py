"""An upstream of the simulation, and what a caller knows of its present life."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from papayadyke_core.dispatch import (
    EndedRun,
    RunEnd,
    RunningRun,
    StartOrder,
    StartOutcome,
    StopOrder,
    TaskId,
    UpstreamEntry,
    UpstreamReport,
)

MAX_HOLD_S = 10.0  # on the upstream's clock; longer leases are shortened
# A clock of an upstream may be this fraction slow, and is never fast.
MAX_CLOCK_DRIFT = 0.02
# Seconds by which an answer's clock may differ from the expected one. Calls of the
# simulation take no time, and lives are further apart.
CLOCK_TOLERANCE_S = 0.01
TOKENS_PER_TERM = 65536  # fencing tokens, one for each life seen of an upstream
FIRST_CLOCK_S = (
    1000.0  # reading of the clock of a first life when the simulation begins
)


@dataclass
class FakeUpstream:
    """An upstream that follows the rules of the platform.

    Times are those of the simulation, except deadlines, which are times on the clock
    of the upstream. That clock starts anew with each life.
    """

    entry: UpstreamEntry
    clock_origin_s: float = 0.0  # when the clock of the present life was at zero
    clock_rate: float = 1.0
    incarnation: int = 1
    token: int = 0
    lease_until_s: float = 0.0
    running: dict[TaskId, int] = field(default_factory=dict)
    highest_attempts: dict[TaskId, int] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    # Ends that a poll has acknowledged.
    forgotten: list[EndedRun] = field(default_factory=list)
    # Ends that are listed at a time, oldest first.
    max_listed_ends: int = 500
    end_count: int = 0
    is_disconnected: bool = False
    back_s: float | None = None  # when it is back from a crash
    crashed_s: float = 0.0
    # Checkpoint that a task saves when it is stopped, for those that save one.
    checkpoints: dict[TaskId, str] = field(default_factory=dict)

    def read_clock(self, now: float) -> float:
        return (now - self.clock_origin_s) * self.clock_rate

    def start(self, order: StartOrder, token: int, deadline_clock_s: float, now: float):
        if token < self.token:
            return StartOutcome.FENCED
        self.token = token
        if self.read_clock(now) > deadline_clock_s:
            return StartOutcome.STALE
        self._extend_lease(deadline_clock_s, now)
        if order.attempt <= self.highest_attempts.get(order.task, 0):
            is_running = self.running.get(order.task) == order.attempt
            return StartOutcome.STARTED if is_running else StartOutcome.STALE
        self.highest_attempts[order.task] = order.attempt
        self.running[order.task] = order.attempt
        if order.checkpoint:
            assert order.checkpoint == self.checkpoints[order.task], "of another task"
        return StartOutcome.STARTED

    def stop(self, order: StopOrder, token: int) -> bool:
        if token < self.token:
            return False
        self.token = token
        highest = self.highest_attempts.get(order.task, 0)
        self.highest_attempts[order.task] = max(highest, order.attempt)
        if self.running.get(order.task) == order.attempt:
            self.end(order.task, RunEnd.STOPPED)
        return True

    def poll(self, token, acknowledged_end_number, deadline_clock_s, requested_s, now):
        """Return a report, or None if the token is outdated."""
        if token < self.token:
            return None
        self.token = token
        for run in self.ended:
            if run.number <= acknowledged_end_number:
                self.forgotten.append(run)
        self.ended = [run for run in self.ended if run.number > acknowledged_end_number]
        if deadline_clock_s is not None:
            self._extend_lease(deadline_clock_s, now)
        running = [RunningRun(task, attempt) for task, attempt in self.running.items()]
        return UpstreamReport(
            self.incarnation,
            requested_s,
            now,
            running,
            self.ended[: self.max_listed_ends],
            is_complete=len(self.ended) < self.max_listed_ends,
        )

    def end(self, task: TaskId, run_end: RunEnd) -> None:
        attempt = self.running.pop(task)
        self.end_count += 1
        is_stopped = run_end is RunEnd.STOPPED
        checkpoint = self.checkpoints.get(task, "") if is_stopped else ""
        self.ended.append(EndedRun(self.end_count, task, attempt, run_end, checkpoint))

    def expire(self, now: float) -> None:
        if now > self.lease_until_s:
            for task in list(self.running):
                self.end(task, RunEnd.LAPSED)

    def crash(self, now: float) -> None:
        """Begin a new life, in which nothing of the former one is known."""
        self.incarnation += 1
        self.begin_clock(now)
        self.token = self.end_count = 0
        self.lease_until_s = 0.0
        self.running, self.highest_attempts, self.ended = {}, {}, []

    def begin_clock(self, now: float) -> None:
        """Start the clock of the present life."""
        self.clock_origin_s = now

    def _extend_lease(self, deadline_clock_s: float, now: float) -> None:
        """Extend the lease to a time on the present clock, at most by the maximum."""
        asked_s = deadline_clock_s - self.read_clock(now)
        until_s = now + min(asked_s, MAX_HOLD_S) / self.clock_rate
        self.lease_until_s = max(self.lease_until_s, until_s)


@dataclass
class Contact:
    """What the decider of one term knows of an upstream from its answers.

    Attributes
    ----------
    incarnation : int or None
        Life of the last answer.
    lives : int
        Lives that have answered in this term.
    is_sound : bool
        Whether the last call was answered by the life of the answer before it. The
        next poll neither acknowledges ends nor grants a lease otherwise.
    confirmed_end : int
        Last end whose acknowledgement the present life has answered.
    clock_s, read_s : float
        Last reading of the upstream's clock, and when it was read.
    """

    incarnation: int | None = None
    lives: int = 0
    is_sound: bool = False
    confirmed_end: int = 0
    clock_s: float = 0.0
    read_s: float = 0.0

    def get_token(self, term: int) -> int:
        """Return the fencing token of the calls to the present life."""
        return term * TOKENS_PER_TERM + self.lives

    def convert_to_clock(self, at_s: float) -> float:
        """Convert a time to the clock that was read last."""
        return self.clock_s + at_s - self.read_s

    def record_answer(self, incarnation: int, clock_s: float, now: float) -> bool:
        """Record the answer to a poll; return whether its life was known before."""
        is_known = incarnation == self.incarnation
        if not is_known:
            self.incarnation = incarnation
            self.confirmed_end = 0
            self.lives += 1
        self.is_sound = is_known
        self.clock_s, self.read_s = clock_s, now
        return is_known

    def record_failure(self) -> None:
        """Record that a call was not answered, or by another life."""
        self.is_sound = False

    def fits(self, clock_s: float, now: float) -> bool:
        """Return whether a reading can be of the clock that was read last."""
        passed_s = now - self.read_s
        least_s = self.clock_s + passed_s * (1 - MAX_CLOCK_DRIFT) - CLOCK_TOLERANCE_S
        return least_s <= clock_s <= self.clock_s + passed_s + CLOCK_TOLERANCE_S


@dataclass(frozen=True)
class LateCall:
    """A call that is carried out late, in whatever life its upstream then has.

    Parameters
    ----------
    due_s, sent_s : float
    upstream_id : str
        Any other upstream at the address refuses the call.
    carry_out : callable
        Called with the upstream and the time.
    on_failure : callable or None
        Called if the upstream cannot be reached then and the caller still waits.
    """

    due_s: float
    sent_s: float
    upstream_id: str
    carry_out: Callable[[FakeUpstream, float], None]
    on_failure: Callable[[], None] | None = None
