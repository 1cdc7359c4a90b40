"""What is learned of the run times of a workload."""

from __future__ import annotations

_GAIN_MEAN = 0.02
_GAIN_DEVIATION = 0.05
_DEVIATIONS = 4.0


class RunTimes:
    """Mean and deviation of the run times of a workload's finished tasks.

    The declared timeout is the estimate until enough tasks have finished, and
    never exceeded after that.

    Parameters
    ----------
    timeout_s : float
        Declared longest run time.
    evidence : int
        Finished tasks before the declaration stops being the estimate.

    Attributes
    ----------
    mean_s_ : float
    deviation_s_ : float
    """

    def __init__(self, *, timeout_s: float, evidence: int) -> None:
        self.timeout_s = timeout_s
        self.evidence = evidence
        self.mean_s_ = 0.0
        self.deviation_s_ = 0.0
        self._finished = 0

    def record(self, run_s: float) -> None:
        """Count a finished task."""
        self._finished += 1
        if self._finished == 1:
            self.mean_s_ = run_s
            self.deviation_s_ = run_s / 2.0
            return
        gain = max(_GAIN_MEAN, 1.0 / self._finished)
        error_s = run_s - self.mean_s_
        self.mean_s_ += gain * error_s
        gain = max(_GAIN_DEVIATION, 1.0 / self._finished)
        self.deviation_s_ += gain * (abs(error_s) - self.deviation_s_)

    @property
    def typical_s(self) -> float:
        """The mean run time, or the timeout without enough evidence."""
        if self._finished < self.evidence:
            return self.timeout_s
        return min(self.mean_s_, self.timeout_s)

    @property
    def upper_s(self) -> float:
        """A run time that few tasks exceed."""
        if self._finished < self.evidence:
            return self.timeout_s
        upper_s = self.mean_s_ + _DEVIATIONS * self.deviation_s_
        return min(upper_s, self.timeout_s)
