"""Run times by moving averages, for deployments that do not learn more of them."""

from __future__ import annotations

from papayadyke_core.dispatch._job import StepRun
from papayadyke_core.dispatch._run import Run
from papayadyke_core.dispatch._upstream import Upstream

# Weight of the newest run in the moving average of the ratio of run time to estimate.
ESTIMATE_WEIGHT = 0.05
MAX_ESTIMATE_FACTOR = 5.0  # a few stuck runs must not distort the estimate


class MovingAverages:
    """Moving average of the ratio of run time to estimate, by queue."""

    def __init__(self) -> None:
        self.factors: dict[str, float] = {}

    def get_factor(self, queue: str) -> float:
        """Return the learned ratio of run time to estimate of a queue."""
        return self.factors.get(queue, 1.0)

    def record_done(
        self, upstream: Upstream, run: Run, step: StepRun, now: float
    ) -> None:
        """Learn from a run that is done.

        Parameters
        ----------
        upstream : Upstream
        run : Run
        step : StepRun
        now : float
            Seconds, on the dispatcher's clock.
        """
        if step.checkpoints.get(run.task.number):
            return
        taken_s = now - run.started_s
        estimate_s = step.spec.estimate_s
        queue = step.job.spec.queue
        factor = self.get_factor(queue)
        upstream.record_success(estimate_s * factor, taken_s)
        if estimate_s > 0:
            ratio = min(taken_s / estimate_s, MAX_ESTIMATE_FACTOR)
            self.factors[queue] = factor + ESTIMATE_WEIGHT * (ratio - factor)
