"""Health tracking of the upstreams of an owner."""

from __future__ import annotations

import math

from papayadyke_core.health._failure_rates import FailureRates
from papayadyke_core.health._outcome import TaskOutcome
from papayadyke_core.health._request_failures import RequestFailures
from papayadyke_core.health._settings import DEFAULT_HEALTH_SETTINGS, HealthSettings
from papayadyke_core.health._speeds import SpeedEstimator
from papayadyke_core.health._standing import Standing, UpstreamState

# Key under which failures to start a task are counted as a workload of their own.
_STARTS_WORKLOAD = "\0starts"
# Bounds of the failure rate on good upstreams, so that evidence stays finite.
_RATE_BOUNDS = (0.01, 0.9)
# Minimum failure rate assumed for a request that failed on one other good upstream.
_RATE_AFTER_ONE_OTHER_FAILURE = 0.5


class HealthError(AssertionError):
    """Violation of an invariant of upstream health."""


class UpstreamHealth:
    """Learns limits and speeds of upstreams, and sets bad upstreams aside.

    Each outcome updates a sequential test (CUSUM) of its upstream with the
    logarithm of a likelihood ratio: the likelihood of the outcome on a bad upstream
    over that on a good one, given the failure rate of the workload on the other
    upstreams. A workload that fails everywhere therefore counts against no
    upstream, and an upstream that fails every task is set aside after a few tasks.

    Parameters
    ----------
    settings : HealthSettings
    """

    def __init__(self, *, settings: HealthSettings = DEFAULT_HEALTH_SETTINGS) -> None:
        self.settings = settings
        self._upstreams: dict[str, UpstreamState] = {}
        self._rates = FailureRates(prior_rate=settings.prior_failure_rate)
        self._speeds = SpeedEstimator(gain=settings.speed_gain)
        self._requests = RequestFailures(
            max_tracked_requests=settings.max_tracked_requests
        )
        self._pending_timers: dict[str, None] = {}
        self._change_candidates: dict[str, None] = {}
        self._last_reported: dict[str, tuple[int, float]] = {}

    def add_upstream(
        self, name: str, slots: int, now: float, *, speed: float = 1.0
    ) -> None:
        """Add an upstream, or update its slots and its declared speed."""
        self._speeds.add_upstream(name, speed)
        state = self._upstreams.get(name)
        if state is None:
            interval_s = self.settings.min_probe_interval_s
            state = UpstreamState(slots, float(slots), interval_s)
            self._upstreams[name] = state
            self._last_reported[name] = (slots, speed)
        elif state.limit >= state.slots:
            state.limit = float(slots)
        state.slots = slots
        state.limit = min(state.limit, float(slots))
        self._change_candidates[name] = None

    def remove_upstream(self, name: str) -> None:
        """Remove an upstream; unknown names are ignored."""
        if self._upstreams.pop(name, None) is None:
            return
        self._speeds.remove_upstream(name)
        self._rates.remove_upstream(name)
        self._last_reported.pop(name, None)
        self._pending_timers.pop(name, None)
        self._change_candidates.pop(name, None)
        self._restore_excess()

    def record_start(self, upstream: str, workload: str, now: float) -> None:
        """Ignore a start; a probing upstream gets more tasks only after an outcome."""

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
        """Update the health of an upstream from the outcome of a task.

        Parameters
        ----------
        upstream, workload : str
            Names of the upstream and the workload; unknown upstreams are ignored.
        outcome : TaskOutcome
        run_s : float
            Run time in seconds; used only if the task was answered.
        now : float
            Current time in seconds.
        request_id : str, default=""
            Request of the task, to detect requests that fail everywhere; empty if
            its failures are not tracked.
        """
        state = self._upstreams.get(upstream)
        if state is None:
            return
        if outcome is TaskOutcome.ANSWERED:
            self._record_success(upstream, state, workload, run_s)
            self._requests.remove(request_id)
        elif outcome is TaskOutcome.FAILED:
            self._record_failure(upstream, state, workload, request_id, now)
        elif outcome is TaskOutcome.NOT_STARTED:
            self._rates.add(_STARTS_WORKLOAD, upstream, failed=True)
            self._weigh_failure(upstream, state, _STARTS_WORKLOAD, now)
        elif outcome is TaskOutcome.LOST:
            self.record_lost_connection(upstream, now)
        self._change_candidates[upstream] = None

    def record_lost_connection(self, upstream: str, now: float) -> None:
        """Record a connection that broke or stopped answering.

        It counts against the upstream only if no new connection works within
        `reconnect_grace_s`.
        """
        state = self._upstreams.get(upstream)
        if state is None:
            return
        if state.connection_lost_s is None:
            state.connection_lost_s = now
        state.lost_connections += 1
        self._pending_timers[upstream] = None

    def record_probe(self, upstream: str, answered: bool, now: float) -> None:
        """Record the result of an application-level probe over a new connection."""
        state = self._upstreams.get(upstream)
        if state is None:
            return
        if answered:
            state.clear_lost_connections()
        elif state.connection_lost_s is not None:
            self._charge_lost_connections(upstream, state, now)
        if state.standing is not Standing.GOOD:
            self._finish_probe(upstream, state, answered, now)
        self._change_candidates[upstream] = None

    def limit(self, upstream: str, now: float) -> int:
        """Return the number of tasks that may run at once on an upstream."""
        self._run_due_timers(now)
        state = self._upstreams.get(upstream)
        return 0 if state is None else state.effective_limit()

    def speed(self, upstream: str) -> float:
        """Return the learned speed of an upstream, or 1.0 if it is unknown."""
        return self._speeds.speed(upstream) if upstream in self._upstreams else 1.0

    def standing(self, upstream: str) -> Standing:
        """Return the standing of an upstream."""
        return self._upstreams[upstream].standing

    def pop_changed(self, now: float) -> tuple[str, ...]:
        """Return the upstreams whose limit or speed changed since the last call."""
        self._run_due_timers(now)
        changed = tuple(
            name for name in self._change_candidates if self._update_reported(name)
        )
        self._change_candidates.clear()
        return changed

    def next_change_s(self) -> float | None:
        """Return when the next timer expires, or None if no timer is pending."""
        due = [self._timer_due_s(name) for name in self._pending_timers]
        return min(due, default=None)

    def is_failing_everywhere(self, request_id: str) -> bool:
        """Return whether a request failed on enough upstreams in good standing."""
        good_count = sum(1 for name in self._upstreams if self._is_good(name))
        needed = max(2, min(self.settings.min_failing_upstreams, good_count))
        return self._requests.count_upstreams(request_id, self._is_good) >= needed

    def remove_request(self, request_id: str) -> None:
        """Remove the failures of a request that has ended."""
        self._requests.remove(request_id)

    def check_invariants(self) -> None:
        """Check the limits, the probe timers and the share that is set aside.

        Raises
        ------
        HealthError
            If a check fails.
        """
        set_aside_count = 0
        for name, state in self._upstreams.items():
            set_aside_count += state.standing is not Standing.GOOD
            if not 0 <= state.effective_limit() <= state.slots:
                raise HealthError(
                    f"health: limit of {name} is not between 0 and its slots"
                )
            if state.standing is not Standing.GOOD and name not in self._pending_timers:
                raise HealthError(f"health: {name} is set aside but has no probe timer")
        if set_aside_count > self._max_set_aside():
            raise HealthError("health: more upstreams are set aside than allowed")

    def _record_success(
        self, name: str, state: UpstreamState, workload: str, run_s: float
    ) -> None:
        state.clear_lost_connections()
        self._rates.add(workload, name, failed=False)
        self._rates.add(_STARTS_WORKLOAD, name, failed=False)
        residual = self._speeds.add(name, workload, run_s)
        good_rate = self._rate_on_others(workload, name)
        evidence = math.log((1 - self.settings.bad_failure_rate) / (1 - good_rate))
        state.evidence = max(0.0, state.evidence + evidence)
        if state.standing is not Standing.GOOD:
            self._restore(name, state)
            return
        if state.add_residual(residual, slow_factor=self.settings.slow_factor):
            state.shrink(self.settings.limit_decrease_factor)
        else:
            state.grow()

    def _record_failure(
        self,
        name: str,
        state: UpstreamState,
        workload: str,
        request_id: str,
        now: float,
    ) -> None:
        self._rates.add(workload, name, failed=True)
        self._rates.add(_STARTS_WORKLOAD, name, failed=False)
        other_failures = self._requests.count_upstreams(
            request_id, lambda other: other != name and self._is_good(other)
        )
        if other_failures > 0:
            self._withdraw_evidence(request_id)
        evidence = self._weigh_failure(
            name, state, workload, now, other_failures=other_failures
        )
        if request_id:
            self._requests.add(request_id, name, evidence)

    def _weigh_failure(
        self,
        name: str,
        state: UpstreamState,
        workload: str,
        now: float,
        *,
        other_failures: int = 0,
    ) -> float:
        good_rate = self._rate_on_others(workload, name)
        if other_failures == 1:
            good_rate = max(good_rate, _RATE_AFTER_ONE_OTHER_FAILURE)
        elif other_failures > 1:
            good_rate = _RATE_BOUNDS[1]
        evidence = math.log(self.settings.bad_failure_rate / good_rate)
        self._add_evidence(name, state, evidence, now)
        return evidence

    def _add_evidence(
        self, name: str, state: UpstreamState, evidence: float, now: float
    ) -> None:
        if state.standing is not Standing.GOOD:
            self._finish_probe(name, state, False, now)
            return
        state.evidence += evidence
        if state.evidence >= self.settings.set_aside_evidence / 2.0:
            state.shrink(self.settings.limit_decrease_factor)
        if state.evidence >= self.settings.set_aside_evidence:
            self._set_aside(name, state, now)

    def _set_aside(self, name: str, state: UpstreamState, now: float) -> None:
        state.evidence = self.settings.set_aside_evidence
        state.limit = 1.0
        set_aside_count = sum(
            1
            for other in self._upstreams.values()
            if other.standing is not Standing.GOOD
        )
        if set_aside_count >= self._max_set_aside():
            return
        state.standing = Standing.SET_ASIDE
        state.probe_at_s = now + state.probe_interval_s
        self._pending_timers[name] = None
        self.check_invariants()

    def _finish_probe(
        self, name: str, state: UpstreamState, answered: bool, now: float
    ) -> None:
        if answered:
            self._restore(name, state)
        elif state.standing is Standing.PROBING:
            doubled_s = state.probe_interval_s * 2.0
            state.probe_interval_s = min(doubled_s, self.settings.max_probe_interval_s)
            state.standing = Standing.SET_ASIDE
            state.probe_at_s = now + state.probe_interval_s

    def _restore(self, name: str, state: UpstreamState) -> None:
        state.standing = Standing.GOOD
        state.limit = 1.0
        state.evidence = self.settings.set_aside_evidence / 2.0
        state.probe_interval_s = max(
            state.probe_interval_s / 2.0, self.settings.min_probe_interval_s
        )
        if state.connection_lost_s is None:
            self._pending_timers.pop(name, None)

    def _restore_excess(self) -> None:
        set_aside = [
            name
            for name, state in self._upstreams.items()
            if state.standing is not Standing.GOOD
        ]
        for name in set_aside[self._max_set_aside() :]:
            self._restore(name, self._upstreams[name])
            self._change_candidates[name] = None

    def _withdraw_evidence(self, request_id: str) -> None:
        for name, evidence in self._requests.withdraw_evidence(request_id).items():
            state = self._upstreams.get(name)
            if state is not None:
                state.evidence = max(0.0, state.evidence - evidence)

    def _charge_lost_connections(
        self, name: str, state: UpstreamState, now: float
    ) -> None:
        evidence = math.log(self.settings.bad_failure_rate / _RATE_BOUNDS[0])
        count = state.lost_connections
        state.clear_lost_connections()
        if state.standing is Standing.GOOD:
            self._pending_timers.pop(name, None)
        self._add_evidence(name, state, evidence * count, now)

    def _run_due_timers(self, now: float) -> None:
        for name in [
            name for name in self._pending_timers if self._timer_due_s(name) <= now
        ]:
            state = self._upstreams[name]
            if state.connection_lost_s is not None:
                if state.connection_lost_s + self.settings.reconnect_grace_s <= now:
                    self._charge_lost_connections(name, state, now)
            elif state.standing is Standing.GOOD:
                self._pending_timers.pop(name)
            if state.standing is Standing.SET_ASIDE and state.probe_at_s <= now:
                state.standing = Standing.PROBING
            self._change_candidates[name] = None

    def _timer_due_s(self, name: str) -> float:
        state = self._upstreams[name]
        due_s = math.inf
        if state.standing is Standing.SET_ASIDE:
            due_s = state.probe_at_s
        if state.connection_lost_s is not None:
            due_s = min(
                due_s, state.connection_lost_s + self.settings.reconnect_grace_s
            )
        elif state.standing is Standing.GOOD:
            due_s = -math.inf
        return due_s

    def _rate_on_others(self, workload: str, name: str) -> float:
        rate = self._rates.rate_on_others(workload, name)
        return max(_RATE_BOUNDS[0], min(rate, _RATE_BOUNDS[1]))

    def _max_set_aside(self) -> int:
        count = len(self._upstreams)
        if count < 2:
            return 0
        return max(1, int(count * self.settings.max_set_aside_share))

    def _is_good(self, name: str) -> bool:
        state = self._upstreams.get(name)
        return state is not None and state.standing is Standing.GOOD

    def _update_reported(self, name: str) -> bool:
        limit, speed = self._last_reported[name]
        state = self._upstreams[name]
        current_limit, current_speed = state.effective_limit(), self._speeds.speed(name)
        speed_change = abs(current_speed / speed - 1.0)
        if (
            current_limit == limit
            and speed_change < self.settings.min_reported_speed_change
        ):
            return False
        self._last_reported[name] = (current_limit, current_speed)
        return True
