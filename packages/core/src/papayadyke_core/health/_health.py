"""The health of an owner's upstreams."""

from __future__ import annotations

import math

from papayadyke_core.health._failure_rates import FailureRates
from papayadyke_core.health._job_failures import JobFailures
from papayadyke_core.health._outcome import TaskOutcome
from papayadyke_core.health._settings import DEFAULT_SETTINGS, HealthSettings
from papayadyke_core.health._speeds import Speeds
from papayadyke_core.health._standing import Standing, UpstreamState

_STARTS = "\0starts"
_RATE_BOUNDS = (0.01, 0.9)
_RATE_AFTER_FAILURE_ELSEWHERE = 0.5


class HealthError(AssertionError):
    """An invariant of the health of upstreams does not hold."""


class UpstreamHealth:
    """Learns limits and speeds, and sets bad upstreams aside.

    Each outcome is weighed as a sequential test (CUSUM): how much likelier is it
    on a bad upstream than on a good one, given how this workload fares on the
    other upstreams. So a workload that fails everywhere is held against no
    upstream, and an upstream that fails everything is set aside after few tasks.

    Parameters
    ----------
    settings : HealthSettings
    """

    def __init__(self, *, settings: HealthSettings = DEFAULT_SETTINGS) -> None:
        self.settings = settings
        self._upstreams: dict[str, UpstreamState] = {}
        self._rates = FailureRates(ordinary=settings.ordinary_failure_rate)
        self._speeds = Speeds(gain=settings.speed_gain)
        self._jobs = JobFailures(max_requests=settings.max_requests)
        self._waiting: dict[str, None] = {}
        self._maybe_changed: dict[str, None] = {}
        self._reported: dict[str, tuple[int, float]] = {}

    def add_upstream(
        self, name: str, slots: int, now: float, *, speed: float = 1.0
    ) -> None:
        """Add an upstream, or update its slots and declared speed."""
        self._speeds.add_upstream(name, speed)
        state = self._upstreams.get(name)
        if state is None:
            interval_s = self.settings.first_probe_s
            state = UpstreamState(slots, float(slots), interval_s)
            self._upstreams[name] = state
            self._reported[name] = (slots, speed)
        elif state.limit >= state.slots:
            state.limit = float(slots)
        state.slots = slots
        state.limit = min(state.limit, float(slots))
        self._maybe_changed[name] = None

    def remove_upstream(self, name: str) -> None:
        """Forget an upstream; unknown names change nothing."""
        if self._upstreams.pop(name, None) is None:
            return
        self._speeds.remove_upstream(name)
        self._rates.remove_upstream(name)
        self._reported.pop(name, None)
        self._waiting.pop(name, None)
        self._maybe_changed.pop(name, None)
        self._release_excess()

    def record_start(self, upstream: str, workload: str, now: float) -> None:
        """Count a start; after a probe's only the outcome lets more follow."""

    def record_outcome(
        self,
        upstream: str,
        workload: str,
        outcome: TaskOutcome,
        run_s: float,
        now: float,
        *,
        request_id: str = "",
    ) -> None:
        """Weigh how a task ended.

        Parameters
        ----------
        upstream, workload : str
        outcome : TaskOutcome
        run_s : float
            Run time in seconds; read only where the task was answered.
        now : float
        request_id : str, default=""
            Lets a request that fails everywhere be told apart.
        """
        state = self._upstreams.get(upstream)
        if state is None:
            return
        if outcome is TaskOutcome.ANSWERED:
            self._succeed(upstream, state, workload, run_s)
            self._jobs.forget(request_id)
        elif outcome is TaskOutcome.FAILED:
            self._fail(upstream, state, workload, request_id, now)
        elif outcome is TaskOutcome.NOT_STARTED:
            self._rates.add(_STARTS, upstream, failed=True)
            self._hold_against(upstream, state, _STARTS, now)
        elif outcome is TaskOutcome.LOST:
            self.record_silent_connection(upstream, now)
        self._maybe_changed[upstream] = None

    def record_silent_connection(self, upstream: str, now: float) -> None:
        """Note a connection that went silent or broke.

        It counts against the upstream only if no new connection works within
        `silence_s`.
        """
        state = self._upstreams.get(upstream)
        if state is None:
            return
        if state.silent_since_s is None:
            state.silent_since_s = now
        state.silent += 1
        self._waiting[upstream] = None

    def record_probe(self, upstream: str, answered: bool, now: float) -> None:
        """Count a probe of the application on a new connection."""
        state = self._upstreams.get(upstream)
        if state is None:
            return
        if answered:
            state.forgive_silence()
        elif state.silent_since_s is not None:
            self._charge_silence(upstream, state, now)
        if state.standing is not Standing.GOOD:
            self._end_probe(upstream, state, answered, now)
        self._maybe_changed[upstream] = None

    def limit(self, upstream: str, now: float) -> int:
        """Return how many tasks may run at once on an upstream."""
        self._advance(now)
        state = self._upstreams.get(upstream)
        return 0 if state is None else state.allowed()

    def speed(self, upstream: str) -> float:
        """Return the learned speed of an upstream."""
        return self._speeds.speed(upstream) if upstream in self._upstreams else 1.0

    def standing(self, upstream: str) -> Standing:
        """Return what an upstream may be given."""
        return self._upstreams[upstream].standing

    def changed(self, now: float) -> tuple[str, ...]:
        """Return whose limit or speed has changed since this was last asked."""
        self._advance(now)
        changed = tuple(name for name in self._maybe_changed if self._report(name))
        self._maybe_changed.clear()
        return changed

    def next_change_s(self) -> float | None:
        """Return when time alone next changes something, if it will."""
        due = [self._due_s(name) for name in self._waiting]
        return min(due, default=None)

    def is_failing_everywhere(self, request_id: str) -> bool:
        """Tell whether a request failed on enough upstreams in good standing."""
        good = sum(1 for name in self._upstreams if self._is_good(name))
        needed = max(2, min(self.settings.failing_upstreams, good))
        return self._jobs.witnesses(request_id, self._is_good) >= needed

    def forget_request(self, request_id: str) -> None:
        """Forget the failures of a request that has ended."""
        self._jobs.forget(request_id)

    def check_invariants(self) -> None:
        """Check the bounds of limits and the share that is set aside.

        Raises
        ------
        HealthError
        """
        aside = 0
        for name, state in self._upstreams.items():
            aside += state.standing is not Standing.GOOD
            if not 0 <= state.allowed() <= state.slots:
                raise HealthError(f"health: limit of {name} is out of bounds")
            if state.standing is not Standing.GOOD and name not in self._waiting:
                raise HealthError(f"health: {name} is never probed")
        if aside > self._max_set_aside():
            raise HealthError("health: too many upstreams are set aside")

    def _succeed(
        self, name: str, state: UpstreamState, workload: str, run_s: float
    ) -> None:
        state.forgive_silence()
        self._rates.add(workload, name, failed=False)
        self._rates.add(_STARTS, name, failed=False)
        residual = self._speeds.add(name, workload, run_s)
        good_rate = self._rate_elsewhere(workload, name)
        weight = math.log((1 - self.settings.bad_failure_rate) / (1 - good_rate))
        state.evidence = max(0.0, state.evidence + weight)
        if state.standing is not Standing.GOOD:
            self._restore(name, state)
            return
        if state.note_residual(residual, slow_factor=self.settings.slow_factor):
            state.shrink(self.settings.limit_decrease)
        else:
            state.grow()

    def _fail(
        self,
        name: str,
        state: UpstreamState,
        workload: str,
        request_id: str,
        now: float,
    ) -> None:
        self._rates.add(workload, name, failed=True)
        self._rates.add(_STARTS, name, failed=False)
        failed_elsewhere = self._jobs.witnesses(
            request_id, lambda other: other != name and self._is_good(other)
        )
        if failed_elsewhere > 0:
            self._take_back(request_id)
        evidence = self._hold_against(
            name, state, workload, now, failed_elsewhere=failed_elsewhere
        )
        if request_id:
            self._jobs.add(request_id, name, evidence)

    def _hold_against(
        self,
        name: str,
        state: UpstreamState,
        workload: str,
        now: float,
        *,
        failed_elsewhere: int = 0,
    ) -> float:
        good_rate = self._rate_elsewhere(workload, name)
        if failed_elsewhere == 1:
            good_rate = max(good_rate, _RATE_AFTER_FAILURE_ELSEWHERE)
        elif failed_elsewhere > 1:
            good_rate = _RATE_BOUNDS[1]
        evidence = math.log(self.settings.bad_failure_rate / good_rate)
        self._add_evidence(name, state, evidence, now)
        return evidence

    def _add_evidence(
        self, name: str, state: UpstreamState, evidence: float, now: float
    ) -> None:
        if state.standing is not Standing.GOOD:
            self._end_probe(name, state, False, now)
            return
        state.evidence += evidence
        if state.evidence >= self.settings.set_aside_evidence / 2.0:
            state.shrink(self.settings.limit_decrease)
        if state.evidence >= self.settings.set_aside_evidence:
            self._set_aside(name, state, now)

    def _set_aside(self, name: str, state: UpstreamState, now: float) -> None:
        state.evidence = self.settings.set_aside_evidence
        state.limit = 1.0
        aside = sum(
            1
            for other in self._upstreams.values()
            if other.standing is not Standing.GOOD
        )
        if aside >= self._max_set_aside():
            return
        state.standing = Standing.SET_ASIDE
        state.probe_at_s = now + state.probe_interval_s
        self._waiting[name] = None
        self.check_invariants()

    def _end_probe(
        self, name: str, state: UpstreamState, answered: bool, now: float
    ) -> None:
        if answered:
            self._restore(name, state)
        elif state.standing is Standing.PROBING:
            doubled_s = state.probe_interval_s * 2.0
            state.probe_interval_s = min(doubled_s, self.settings.last_probe_s)
            state.standing = Standing.SET_ASIDE
            state.probe_at_s = now + state.probe_interval_s

    def _restore(self, name: str, state: UpstreamState) -> None:
        state.standing = Standing.GOOD
        state.limit = 1.0
        state.evidence = self.settings.set_aside_evidence / 2.0
        state.probe_interval_s = max(
            state.probe_interval_s / 2.0, self.settings.first_probe_s
        )
        if state.silent_since_s is None:
            self._waiting.pop(name, None)

    def _release_excess(self) -> None:
        aside = [
            name
            for name, state in self._upstreams.items()
            if state.standing is not Standing.GOOD
        ]
        for name in aside[self._max_set_aside() :]:
            self._restore(name, self._upstreams[name])
            self._maybe_changed[name] = None

    def _take_back(self, request_id: str) -> None:
        for name, evidence in self._jobs.take_back(request_id).items():
            state = self._upstreams.get(name)
            if state is not None:
                state.evidence = max(0.0, state.evidence - evidence)

    def _charge_silence(self, name: str, state: UpstreamState, now: float) -> None:
        evidence = math.log(self.settings.bad_failure_rate / _RATE_BOUNDS[0])
        count = state.silent
        state.forgive_silence()
        if state.standing is Standing.GOOD:
            self._waiting.pop(name, None)
        self._add_evidence(name, state, evidence * count, now)

    def _advance(self, now: float) -> None:
        for name in [name for name in self._waiting if self._due_s(name) <= now]:
            state = self._upstreams[name]
            if state.silent_since_s is not None:
                if state.silent_since_s + self.settings.silence_s <= now:
                    self._charge_silence(name, state, now)
            elif state.standing is Standing.GOOD:
                self._waiting.pop(name)
            if state.standing is Standing.SET_ASIDE and state.probe_at_s <= now:
                state.standing = Standing.PROBING
            self._maybe_changed[name] = None

    def _due_s(self, name: str) -> float:
        state = self._upstreams[name]
        due_s = math.inf
        if state.standing is Standing.SET_ASIDE:
            due_s = state.probe_at_s
        if state.silent_since_s is not None:
            due_s = min(due_s, state.silent_since_s + self.settings.silence_s)
        elif state.standing is Standing.GOOD:
            due_s = -math.inf
        return due_s

    def _rate_elsewhere(self, workload: str, name: str) -> float:
        rate = self._rates.elsewhere(workload, name)
        return max(_RATE_BOUNDS[0], min(rate, _RATE_BOUNDS[1]))

    def _max_set_aside(self) -> int:
        count = len(self._upstreams)
        if count < 2:
            return 0
        return max(1, int(count * self.settings.max_set_aside_share))

    def _is_good(self, name: str) -> bool:
        state = self._upstreams.get(name)
        return state is not None and state.standing is Standing.GOOD

    def _report(self, name: str) -> bool:
        limit, speed = self._reported[name]
        state = self._upstreams[name]
        now_limit, now_speed = state.allowed(), self._speeds.speed(name)
        change = abs(now_speed / speed - 1.0)
        if now_limit == limit and change < self.settings.report_change:
            return False
        self._reported[name] = (now_limit, now_speed)
        return True
