"""State of an upstream in the dispatcher: capacity, runs, contact and speed."""

from __future__ import annotations

from papayadyke_core.dispatch._messages import UpstreamEntry
from papayadyke_core.dispatch._run import Run
from papayadyke_core.dispatch._spec import StepId, StepSpec, TaskId
from papayadyke_core.teams import TeamLedger

SPEED_WEIGHT = 0.15  # weight of the newest run in the moving average of the speed
MIN_SPEED, MAX_SPEED = 0.1, 4.0  # one outlier must not rule an upstream out
SPEED_CLASS_WIDTH = 0.1  # speeds that differ by less count as equal
# Failed runs and refused starts in a row; one failed run may be the task's own fault.
FAILURES_TO_SET_ASIDE = 2
SET_ASIDE_S = 4.0  # seconds; doubled each time the upstream is set aside again
MAX_SET_ASIDE_S = 30.0  # seconds
# Seconds for which a prime suspect has its upstream to itself, to show whether it
# crashes it; then other tasks may join.
ALONE_S = 2.0


class Upstream:
    """State of one upstream.

    Parameters
    ----------
    entry : UpstreamEntry
    ledger : TeamLedger or None
        Account in which the runs are charged to their teams.
    """

    def __init__(self, entry: UpstreamEntry, ledger: TeamLedger | None = None) -> None:
        self.entry = entry
        self._ledger = TeamLedger() if ledger is None else ledger
        # An entry may change while runs are charged to the service.
        self._service = entry.service
        self.is_listed = True
        # Since when the registry has no entry of it; None while it has one.
        self.unlisted_since_s: float | None = None
        # Whether a successor would know of the upstream and ask it for its runs.
        self.is_recorded = True
        self.departs_s: float | None = None
        self.incarnation: int | None = None
        self.is_reachable = False
        # Whether a decider of an earlier term may have started runs that this one does
        # not know of.
        self.may_have_earlier_runs = False
        # Whether it has answered, and whether it has listed all of its runs and ends.
        self.has_answered = False
        self.has_reported = False
        self.lease_until_s = 0.0
        # When the last call that grants a lease was sent.
        self.last_call_s = 0.0
        self.last_end_number = 0
        self.acknowledged_end_number = 0
        self.runs: dict[tuple[TaskId, int], Run] = {}
        self.used_cpu_millis = 0
        self.used_memory_mb = 0
        self.used_accelerators = 0
        self.suspect_runs = 0
        self.urgent_cpu_millis = 0
        self.speed = 1.0
        # Upstreams of about the same speed have the same class; a higher one is faster.
        self.speed_class = round(self.speed / SPEED_CLASS_WIDTH)
        self.failures_in_row = 0
        # Gang whose failure was counted last.
        self._failed_gang: StepId | None = None
        self.set_aside_until_s = 0.0
        self.set_aside_s = SET_ASIDE_S

    @property
    def upstream_id(self) -> str:
        """Id of the upstream in the registry."""
        return self.entry.upstream_id

    def may_start(self, now: float) -> bool:
        """Return whether the upstream accepts new runs."""
        return (
            self.is_listed
            and self.is_recorded
            and self.is_reachable
            and self.has_reported
            and not self.entry.is_draining
            and self.has_present_entry
            and now >= self.set_aside_until_s
        )

    def end_takeover(self) -> None:
        """Record that no run of an earlier term can be unknown from now on.

        An upstream that has not answered by then runs nothing, so that a successor need
        not know of it until it has been recorded again.
        """
        self.may_have_earlier_runs = False
        if not self.has_answered:
            self.is_recorded = False

    @property
    def may_have_runs(self) -> bool:
        """Whether a decider may have started runs: it starts none before an answer."""
        return self.has_answered or self.may_have_earlier_runs

    @property
    def has_present_entry(self) -> bool:
        """Whether the entry tells the capacity and labels of the present incarnation.

        The next one may be of another kind, and reports before it writes its entry.
        """
        return self.entry.incarnation in (None, self.incarnation)

    def is_taken_alone(self, now: float) -> bool:
        """Return whether a prime suspect has the upstream to itself."""
        return self.suspect_runs > 0 and any(
            run.is_prime_suspect and now - run.started_s < ALONE_S
            for run in self.runs.values()
        )

    @property
    def free_cpu_millis(self) -> int:
        """Unused CPU, in thousandths of a core."""
        return self.entry.cpu_millis - self.used_cpu_millis

    def free_slots_for(self, step: StepSpec, *, most: int | None = None) -> int:
        """Return how many more tasks of a step fit beside the current runs.

        Parameters
        ----------
        step : StepSpec
        most : int or None
            Number up to which they are counted; None for the tasks of the step.
        """
        entry = self.entry
        cpu_millis = entry.cpu_millis - self.used_cpu_millis
        memory_mb = entry.memory_mb - self.used_memory_mb
        accelerators = entry.accelerators - self.used_accelerators
        if cpu_millis < 0 or memory_mb < 0 or accelerators < 0:
            # The capacity has shrunk below what the runs need.
            return 0
        slots = step.count if most is None else most
        if step.cpu_millis and not step.fills_spare:
            slots = min(slots, cpu_millis // step.cpu_millis)
        if step.memory_mb:
            slots = min(slots, memory_mb // step.memory_mb)
        if step.accelerators:
            slots = min(slots, accelerators // step.accelerators)
        return slots

    def total_slots_for(self, step: StepSpec) -> int:
        """Return how many tasks of a step fit on the idle upstream."""
        entry = self.entry
        slots = step.count
        if step.cpu_millis and not step.fills_spare:
            slots = min(slots, entry.cpu_millis // step.cpu_millis)
        if step.memory_mb:
            slots = min(slots, entry.memory_mb // step.memory_mb)
        if step.accelerators:
            slots = min(slots, entry.accelerators // step.accelerators)
        return slots

    def add(self, run: Run) -> None:
        """Add a run and reserve its resources."""
        self.runs[run.key] = run
        self.suspect_runs += run.earlier_losses > 0
        self._add_usage(run.spec, 1)
        self.urgent_cpu_millis += run.is_urgent * run.spec.cpu_millis
        self._charge_team(run, 1)

    def remove(self, run: Run) -> None:
        """Remove an ended run and free its resources."""
        if self.runs.pop(run.key, None) is not None:
            self.suspect_runs -= run.earlier_losses > 0
            self._add_usage(run.spec, -1)
            self.urgent_cpu_millis -= run.is_urgent * run.spec.cpu_millis
            self._charge_team(run, -1)

    def record_failure(self, now: float, *, gang: StepId | None = None) -> bool:
        """Count a failure; return whether it sets the upstream aside.

        Failures of one gang in a row count once. They are its own as likely as those
        of the upstream, to which it comes back, unlike other tasks.
        """
        if gang is not None and gang == self._failed_gang:
            return False
        self._failed_gang = gang
        self.failures_in_row += 1
        if self.failures_in_row < FAILURES_TO_SET_ASIDE:
            return False
        if now < self.set_aside_until_s:
            return False
        self.set_aside_until_s = now + self.set_aside_s
        self.set_aside_s = min(2 * self.set_aside_s, MAX_SET_ASIDE_S)
        return True

    def clear_failures(self) -> None:
        """Reset the failure count after a run is done."""
        self.failures_in_row = 0
        self._failed_gang = None
        self.set_aside_s = SET_ASIDE_S

    def record_success(self, expected_s: float, taken_s: float) -> None:
        """Reset the failure count after a run is done, and update the speed.

        The speed is a moving average of the ratio of expected to actual run time.

        Parameters
        ----------
        expected_s, taken_s : float
            Expected and actual run time, in seconds.
        """
        self.clear_failures()
        if expected_s > 0 and taken_s > 0:
            sample = min(max(expected_s / taken_s, MIN_SPEED), MAX_SPEED)
            self.speed += SPEED_WEIGHT * (sample - self.speed)
            self.speed_class = round(self.speed / SPEED_CLASS_WIDTH)

    def _charge_team(self, run: Run, sign: int) -> None:
        step = run.charged_as or run.spec
        self._ledger.charge(run.team, step, sign, service=self._service)

    def _add_usage(self, step: StepSpec, sign: int) -> None:
        if not step.fills_spare:
            self.used_cpu_millis += sign * step.cpu_millis
        self.used_memory_mb += sign * step.memory_mb
        self.used_accelerators += sign * step.accelerators
