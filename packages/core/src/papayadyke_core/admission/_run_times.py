"""Estimates of the run times of a workload."""

from __future__ import annotations

# Minimum weights of the newest run time in the moving mean and mean deviation.
_MIN_MEAN_GAIN = 0.02
_MIN_DEVIATION_GAIN = 0.05
# Mean deviations between the mean and the upper estimate.
_UPPER_BOUND_DEVIATIONS = 4.0


class RunTimeEstimator:
    """Mean and mean absolute deviation of the run times of finished tasks.

    The declared timeout is the estimate until enough tasks have finished, and an
    upper limit of the estimates after that.

    Parameters
    ----------
    timeout_s : float
        Declared maximum run time in seconds.
    min_finished_tasks : int
        Minimum number of finished tasks for the estimates to replace the declared
        timeout.

    Attributes
    ----------
    mean_s_ : float
        Moving mean of the run times in seconds.
    deviation_s_ : float
        Moving mean of the absolute deviations in seconds.
    """

    def __init__(self, *, timeout_s: float, min_finished_tasks: int) -> None:
        self.timeout_s = timeout_s
        self.min_finished_tasks = min_finished_tasks
        self.mean_s_ = 0.0
        self.deviation_s_ = 0.0
        self._finished_tasks = 0

    def record(self, run_s: float) -> None:
        """Update the estimates with the run time of a finished task."""
        self._finished_tasks += 1
        if self._finished_tasks == 1:
            self.mean_s_ = run_s
            self.deviation_s_ = run_s / 2.0
            return
        gain = max(_MIN_MEAN_GAIN, 1.0 / self._finished_tasks)
        error_s = run_s - self.mean_s_
        self.mean_s_ += gain * error_s
        gain = max(_MIN_DEVIATION_GAIN, 1.0 / self._finished_tasks)
        self.deviation_s_ += gain * (abs(error_s) - self.deviation_s_)

    @property
    def mean_estimate_s(self) -> float:
        """Mean run time in seconds, or the timeout if too few tasks have finished."""
        if self._finished_tasks < self.min_finished_tasks:
            return self.timeout_s
        return min(self.mean_s_, self.timeout_s)

    @property
    def upper_estimate_s(self) -> float:
        """Run time in seconds that few tasks exceed."""
        if self._finished_tasks < self.min_finished_tasks:
            return self.timeout_s
        upper_s = self.mean_s_ + _UPPER_BOUND_DEVIATIONS * self.deviation_s_
        return min(upper_s, self.timeout_s)
