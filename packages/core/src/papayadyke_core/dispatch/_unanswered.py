"""Starts that got no answer and may still be carried out.

A stop prevents such a start in the present incarnation of its upstream. The next one
knows nothing of the stop and may carry the start out, seconds later and also while it
is cut off, with the longest lease. Until then the task may start at that upstream only,
where both runs cannot go on at a time: what an upstream runs ends with its incarnation.

While the upstream answers, this ends when it has listed everything after the last
moment at which the start may be carried out. While it is silent, it ends with the
longest lease that a call carried out at that moment grants. One that is gone from the
registry has no next incarnation: only the start itself is waited for, and not by tasks
that last.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from papayadyke_core.dispatch._registry_view import RegistryView
from papayadyke_core.dispatch._run import Run
from papayadyke_core.dispatch._settings import DispatchSettings
from papayadyke_core.dispatch._spec import StepId, TaskId
from papayadyke_core.dispatch._upstream import Upstream

EXPIRY_INTERVAL_S = 0.2  # seconds between two looks for starts that are over
# Seconds after the first unanswered start for which a task is started at the same
# upstream again. Each further start may be carried out as late as the first one, so
# that an upstream that answers none would hold the task for good.
REPEAT_S = 4.0


@dataclass(slots=True)
class _UnansweredStart:
    """Starts of one task that may still be carried out.

    Parameters
    ----------
    upstream_ids : set of str
        Upstreams that they were sent to. If there are several, the lists of one of them
        settle nothing.
    first_s, sent_s, until_s : float
        When the first and the last one were sent, and after which time none of them is
        carried out.
    is_exhausted : bool
        Whether the task is not to be started there again.
    is_lasting : bool
        Whether the task lasts.
    attempts : set of int
        Attempts that no list has named; 0 stands for one of an earlier decider.
    """

    upstream_ids: set[str]
    first_s: float
    sent_s: float
    until_s: float
    is_exhausted: bool = False
    is_lasting: bool = False
    attempts: set[int] = field(default_factory=set)

    @property
    def allowed_upstream(self) -> str | None:
        """Upstream at which the task may start; None if it may start nowhere."""
        if len(self.upstream_ids) > 1 or self.is_exhausted:
            return None
        return next(iter(self.upstream_ids))


class UnansweredCause(StrEnum):
    """Why an unanswered start holds back its task no longer.

    `LISTED`: its run, or the end of it, is listed. `REFUTED`: its upstream has listed
    everything since it could be carried out. `GONE`: the upstream is gone. `LAPSED`:
    the longest lease of a silent upstream is over.
    """

    LISTED = "listed"
    REFUTED = "refuted"
    GONE = "gone"
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True)
class UnansweredEnd:
    """End of the time for which unanswered starts have held back a task.

    Parameters
    ----------
    task : TaskId
    upstream_ids : tuple of str
        Upstreams that they were sent to.
    cause : UnansweredCause
    waited_s : float or None
        Seconds since the last one was sent; None if its run is listed.
    """

    task: TaskId
    upstream_ids: tuple[str, ...]
    cause: UnansweredCause
    waited_s: float | None


class UnansweredStarts:
    """Tasks whose unanswered start may still be carried out.

    All times are in seconds.

    Parameters
    ----------
    settings : DispatchSettings
    registry_view : RegistryView
        Tells which upstreams are gone.
    """

    def __init__(self, settings: DispatchSettings, registry_view: RegistryView) -> None:
        self._settings = settings
        self._registry_view = registry_view
        self._starts: dict[StepId, dict[int, _UnansweredStart]] = {}
        # Tasks with such a start, by upstream.
        self._tasks: dict[str, set[TaskId]] = {}
        self._next_expiry_s = 0.0
        self._ended: list[UnansweredEnd] = []

    def take_ended(self) -> list[UnansweredEnd]:
        """Remove and return the starts that have ended since the last call."""
        ended, self._ended = self._ended, []
        return ended

    def add(self, run: Run, sent_s: float) -> None:
        """Record that the start of a run, sent at a time, got no answer."""
        start = self._add(run.task, run.upstream_id, sent_s)
        start.is_lasting = run.spec.is_long_running
        start.attempts.add(run.attempt)

    def add_earlier(
        self,
        task: TaskId,
        upstream_id: str,
        *,
        sent_s: float,
        is_lasting: bool = False,
    ) -> None:
        """Record an unanswered start of an earlier decider, whose attempt is unknown.

        Parameters
        ----------
        task : TaskId
        upstream_id : str
        sent_s : float
            Last moment at which it may have been sent.
        is_lasting : bool, default=False
            Whether the task lasts.
        """
        start = self._add(task, upstream_id, sent_s)
        start.is_lasting = is_lasting
        # No attempt has this number, so that no listed run settles it.
        start.attempts.add(0)

    def find_upstreams(self, step_id: StepId) -> Mapping[int, str | None]:
        """Return where the tasks of a step may start that may not start anywhere.

        Returns
        -------
        upstreams : mapping of int to (str or None)
            By the number of the task; None for a task that may start nowhere, as its
            starts were sent to several upstreams, or for too long to one.
        """
        starts = self._starts.get(step_id)
        if not starts:
            return {}
        return {number: start.allowed_upstream for number, start in starts.items()}

    def list_stored(self, step_id: StepId) -> dict[int, str]:
        """Return the upstreams of the unanswered starts, as they are stored.

        Returns
        -------
        upstreams : dict of int to str
            By the number of the task; empty for several upstreams.
        """
        starts = self._starts.get(step_id, {})
        return {
            number: ""
            if len(start.upstream_ids) > 1
            else next(iter(start.upstream_ids))
            for number, start in starts.items()
        }

    def has_starts(self, upstream_id: str) -> bool:
        """Return whether unanswered starts were sent to an upstream."""
        return upstream_id in self._tasks

    def has_start(self, task: TaskId, upstream_id: str) -> bool:
        """Return whether an unanswered start of a task was sent to an upstream."""
        return task in self._tasks.get(upstream_id, ())

    def settle_run(self, task: TaskId, attempt: int) -> None:
        """Record that an upstream lists a run or its end."""
        start = self._find(task)
        if start is not None:
            start.attempts.discard(attempt)
            if not start.attempts:
                self._remove(task, UnansweredCause.LISTED)

    def settle_upstream(self, upstream_id: str, requested_s: float) -> None:
        """Record that an upstream has listed all of its runs and ends.

        Parameters
        ----------
        upstream_id : str
        requested_s : float
            When the lists were requested.
        """
        for task in list(self._tasks.get(upstream_id, ())):
            start = self._find(task)
            is_only = start is not None and len(start.upstream_ids) == 1
            if start is not None and is_only and start.until_s < requested_s:
                self._remove(task, UnansweredCause.REFUTED, requested_s)

    def expire(self, now: float, upstreams: Mapping[str, Upstream]) -> None:
        """Remove starts that can hold no run any more.

        Parameters
        ----------
        now : float
        upstreams : mapping of str to Upstream
            All known upstreams by id.
        """
        if not self._starts or now < self._next_expiry_s:
            return
        self._next_expiry_s = now + EXPIRY_INTERVAL_S
        for step_starts in self._starts.values():
            for start in step_starts.values():
                start.is_exhausted = now > start.first_s + self._find_repeat_s(start)
        over = [
            (TaskId(*step_id, number), start)
            for step_id, starts in self._starts.items()
            for number, start in starts.items()
            if all(
                self._find_end_s(start, upstream_id, upstreams) < now
                for upstream_id in start.upstream_ids
            )
        ]
        for task, start in over:
            is_gone = all(
                self._is_gone(start, upstream_id, upstreams)
                for upstream_id in start.upstream_ids
            )
            cause = UnansweredCause.GONE if is_gone else UnansweredCause.LAPSED
            self._remove(task, cause, now)

    def _find_repeat_s(self, start: _UnansweredStart) -> float:
        """Return for how long a task may be started at the same upstream again.

        A task that lasts must not wait while its upstream answers again.
        """
        return self._settings.late_call_s if start.is_lasting else REPEAT_S

    def _is_gone(
        self,
        start: _UnansweredStart,
        upstream_id: str,
        upstreams: Mapping[str, Upstream],
    ) -> bool:
        # An earlier decider does not name the upstreams if there were several.
        return bool(upstream_id) and self._registry_view.is_gone(
            upstreams.get(upstream_id), is_lasting=start.is_lasting
        )

    def _find_end_s(
        self,
        start: _UnansweredStart,
        upstream_id: str,
        upstreams: Mapping[str, Upstream],
    ) -> float:
        """Return the time after which a start at an upstream holds no run."""
        if self._is_gone(start, upstream_id, upstreams):
            if start.is_lasting:
                return start.sent_s + self._settings.longest_lease_s
            return start.until_s
        upstream = upstreams.get(upstream_id)
        # A later call of the former incarnation may extend the lease as well.
        last_call_s = 0.0 if upstream is None else upstream.last_call_s
        if upstream is not None and upstream.is_reachable:
            last_call_s = 0.0
        return max(start.sent_s, last_call_s) + self._settings.longest_late_hold_s

    def _find(self, task: TaskId) -> _UnansweredStart | None:
        return self._starts.get(StepId(*task[:3]), {}).get(task.number)

    def _add(self, task: TaskId, upstream_id: str, sent_s: float) -> _UnansweredStart:
        until_s = sent_s + self._settings.late_call_s
        starts = self._starts.setdefault(StepId(*task[:3]), {})
        start = starts.get(task.number)
        if start is None:
            start = _UnansweredStart(set(), sent_s, sent_s, until_s)
            starts[task.number] = start
        start.sent_s = max(start.sent_s, sent_s)
        start.until_s = max(start.until_s, until_s)
        start.upstream_ids.add(upstream_id)
        self._tasks.setdefault(upstream_id, set()).add(task)
        return start

    def _remove(
        self, task: TaskId, cause: UnansweredCause, now: float | None = None
    ) -> None:
        step_id = StepId(*task[:3])
        starts = self._starts[step_id]
        start = starts.pop(task.number)
        waited_s = None if now is None else now - start.sent_s
        names = tuple(sorted(start.upstream_ids))
        self._ended.append(UnansweredEnd(task, names, cause, waited_s))
        for upstream_id in start.upstream_ids:
            tasks = self._tasks[upstream_id]
            tasks.discard(task)
            if not tasks:
                del self._tasks[upstream_id]
        if not starts:
            del self._starts[step_id]
