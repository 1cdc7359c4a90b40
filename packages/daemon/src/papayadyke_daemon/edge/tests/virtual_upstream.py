"""Upstream in virtual time that follows the rules of the platform."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from result import Err, Ok

from papayadyke_core.dispatch import (
    EndedRun,
    RunEnd,
    RunningRun,
    StartOrder,
    StartOutcome,
    StopOrder,
    TaskId,
    UpstreamReport,
)
from papayadyke_daemon.edge import FencedError
from papayadyke_daemon.edge.tests.virtual_store import CallFault

MAX_LISTED_ENDS = 10  # at a time; the platform lists 500
MAX_LEASE_S = 10.0  # longer leases are shortened
# Seconds in which a change of the capacity has to be known: contact_ms and a heartbeat.
CAPACITY_KNOWN_S = 4.5
LATE_CALL_S = 3.0  # delay of a call that is carried out late


class Observer(Protocol):
    """Receiver of the events of upstreams."""

    def started(self, upstream: VirtualUpstream, order: StartOrder) -> None: ...

    def ended(self, upstream: VirtualUpstream, ended: EndedRun) -> None: ...

    def acknowledged(self, upstream: VirtualUpstream, ended: EndedRun) -> None: ...

    def crashed(self, upstream: VirtualUpstream) -> None: ...


@dataclass(eq=False)
class VirtualUpstream:
    """An upstream without admission control: it starts every valid order.

    Parameters
    ----------
    upstream_id : str
    cpu_millis : int
    observer : Observer
    """

    upstream_id: str
    cpu_millis: int
    observer: Observer
    now: float = 0.0
    incarnation: int = 1
    # When its clock showed 0; each life has a clock of its own.
    clock_origin_s: float = 0.0
    token: int = 0
    lease_until_s: float = 0.0
    lapsed_s: float = 0.0
    running: dict[TaskId, int] = field(default_factory=dict)
    highest_attempts: dict[TaskId, int] = field(default_factory=dict)
    ended: list[EndedRun] = field(default_factory=list)
    end_count: int = 0
    is_cut: bool = False
    back_s: float | None = None  # when it is back from a crash
    is_draining: bool = False
    is_gone: bool = False
    # Capacity before the last change, and when that was.
    earlier_cpu_millis: int = 0
    resized_s: float = 0.0
    # Calls that were not answered, and when they are due.
    late_calls: list[tuple[float, Callable[[], object]]] = field(default_factory=list)

    def advance(self, now):
        """Carry out late calls that are due, and end the runs of a lapsed lease.

        They are carried out in any life, also while the upstream is cut off.
        """
        self.now = now
        if self.back_s is not None and now >= self.back_s:
            self.back_s = None
            self.clock_origin_s = now
        if self.back_s is None and not self.is_gone:
            self._carry_out_late_calls()
        if now > self.lease_until_s:
            self.lapsed_s = now
            for task in list(self.running):
                self.end(task, RunEnd.LAPSED)

    def read_clock_s(self):
        """Return the time on the clock of the present life."""
        return self.now - self.clock_origin_s

    def poll(self, token, acknowledged_end, deadline_s):
        self._check_token(token)
        if deadline_s is not None:
            self._extend(deadline_s)
        for ended in self.ended:
            if ended.number <= acknowledged_end:
                self.observer.acknowledged(self, ended)
        self.ended = [e for e in self.ended if e.number > acknowledged_end]
        running = [RunningRun(task, attempt) for task, attempt in self.running.items()]
        return UpstreamReport(
            self.incarnation,
            self.now,
            self.now,
            running,
            self.ended[:MAX_LISTED_ENDS],
            is_complete=len(self.ended) < MAX_LISTED_ENDS,
        )

    def start(self, order: StartOrder, token, deadline_s):
        if token < self.token:
            return StartOutcome.FENCED
        self.token = token
        if deadline_s < self.read_clock_s():
            return StartOutcome.STALE
        self._extend(deadline_s)
        task, attempt = order.task, order.attempt
        if attempt <= self.highest_attempts.get(task, 0):
            is_running = self.running.get(task) == attempt
            return StartOutcome.STARTED if is_running else StartOutcome.STALE
        self.highest_attempts[task] = attempt
        self.running[task] = attempt
        self.observer.started(self, order)
        return StartOutcome.STARTED

    def stop(self, order: StopOrder, token):
        if token < self.token:
            return False
        self.token = token
        highest = self.highest_attempts.get(order.task, 0)
        self.highest_attempts[order.task] = max(highest, order.attempt)
        if self.running.get(order.task) == order.attempt:
            self.end(order.task, RunEnd.STOPPED)
        return True

    def end(self, task, run_end):
        """End a run and list its end."""
        attempt = self.running.pop(task)
        self.end_count += 1
        ended = EndedRun(self.end_count, task, attempt, run_end)
        self.ended.append(ended)
        self.observer.ended(self, ended)

    def crash(self):
        """Lose everything, and start again under the same id."""
        self.observer.crashed(self)
        self.incarnation += 1
        self.clock_origin_s = self.now
        self.token = self.end_count = 0
        self.lease_until_s = 0.0
        self.running, self.highest_attempts, self.ended = {}, {}, []

    def crash_for(self, seconds):
        """Crash, and answer nobody for some seconds."""
        self.crash()
        self.back_s = self.now + seconds

    def resize(self, cpu_millis):
        self.earlier_cpu_millis, self.resized_s = self.cpu_millis, self.now
        self.cpu_millis = cpu_millis

    def read_capacity(self, now):
        """Return the most that may run here; a room that has shrunk counts a while."""
        if now - self.resized_s <= CAPACITY_KNOWN_S:
            return max(self.cpu_millis, self.earlier_cpu_millis)
        return self.cpu_millis

    def _check_token(self, token):
        if token < self.token:
            raise FencedError
        self.token = token

    def _carry_out_late_calls(self):
        due = [row for row in self.late_calls if row[0] <= self.now]
        self.late_calls = [row for row in self.late_calls if row[0] > self.now]
        for _, call in due:
            # Nobody waits for the answer.
            with contextlib.suppress(FencedError):
                call()

    def _extend(self, deadline_s):
        """Extend the lease to a time on the clock of the present life."""
        lease_until_s = min(self.clock_origin_s + deadline_s, self.now + MAX_LEASE_S)
        self.lease_until_s = max(self.lease_until_s, lease_until_s)


class UpstreamCalls:
    """An upstream as the decider of one VM calls it.

    Parameters
    ----------
    upstream : VirtualUpstream
    next_fault : callable
        Returns the fault of the next call, or None.
    pause : callable
        Pauses the VM of this client.
    """

    def __init__(self, upstream, *, next_fault, pause):
        self._upstream = upstream
        self._next_fault = next_fault
        self._pause = pause
        # Incarnation that has answered on the connection for polls.
        self._answered_by = None
        # When the clock of the upstream showed 0, by the last answer to a poll, and
        # whose clock that is.
        self._known_origin_s = 0.0
        self._clock_of = None

    def is_connected(self):
        return self._answered_by == self._upstream.incarnation

    def poll(self, *, token, acknowledged_end, lease_until_s, wait_s):
        deadline_s = None
        if lease_until_s is not None:
            deadline_s = lease_until_s - self._known_origin_s
        fault = self._begin()
        is_lost = lease_until_s is not None and not self.is_connected()
        if fault is CallFault.NOT_DONE or is_lost:
            self._answered_by = None
            return Err("not sent")
        call = lambda: self._upstream.poll(token, acknowledged_end, deadline_s)  # noqa: E731
        if fault is CallFault.LATE:
            self._delay(call)
        report = None if fault is CallFault.LATE else call()
        if report is None or fault is CallFault.LOST:
            self._answered_by = None
            return Err("no answer")
        self._answered_by = self._clock_of = self._upstream.incarnation
        self._known_origin_s = self._upstream.clock_origin_s
        return Ok(report)

    def start(self, order, *, token, lease_until_s):
        if self._clock_of != order.incarnation:
            return StartOutcome.EXPIRED
        deadline_s = lease_until_s - self._known_origin_s
        fault = self._begin()
        if fault is CallFault.NOT_DONE:
            return StartOutcome.NOT_SENT
        call = lambda: self._upstream.start(order, token, deadline_s)  # noqa: E731
        if fault is CallFault.LATE:
            self._delay(call)
            return StartOutcome.UNKNOWN
        is_same_clock = self._clock_of == self._upstream.incarnation
        outcome = call()
        if fault is CallFault.LOST:
            return StartOutcome.UNKNOWN
        if outcome is StartOutcome.STARTED and not is_same_clock:
            return StartOutcome.UNKNOWN
        return outcome

    def stop(self, order, *, token):
        fault = self._begin()
        if fault is CallFault.NOT_DONE:
            return False
        if fault is CallFault.LATE:
            self._delay(lambda: self._upstream.stop(order, token))
            return False
        return self._upstream.stop(order, token) and fault is not CallFault.LOST

    def close(self):
        pass

    def _begin(self):
        fault = self._next_fault()
        if fault is CallFault.PAUSED:
            self._pause()
        if fault is CallFault.RESTARTED:
            self._upstream.crash()
        upstream = self._upstream
        if upstream.is_cut or upstream.is_gone or upstream.back_s is not None:
            return CallFault.NOT_DONE
        return fault

    def _delay(self, call):
        self._upstream.late_calls.append((self._upstream.now + LATE_CALL_S, call))
