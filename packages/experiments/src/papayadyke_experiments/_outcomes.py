"""What the jobs of a simulation earned, and what delayed those that were late."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

LATE_SHARE = 0.2  # of its value, that a late job earns
MAX_LATE_FACTOR = 3.0  # multiple of the objective up to which a job is late
WINDOW_S = 2.0  # seconds of arrivals that are measured together
WORST_WINDOWS = 2
# Bounds of the bands of size of a kind, as shares of its jobs: the largest tenth, and
# the fifth below it.
LARGE_BANDS = ((0.0, 0.1), (0.1, 0.3))
# Weights of the parts of the score.
WHOLE_WEIGHT, WINDOWS_WEIGHT, KIND_WEIGHT = 0.45, 0.4, 0.15


@dataclass(frozen=True, slots=True)
class JobOutcome:
    """A job after a simulation.

    Parameters
    ----------
    kind : str
    at_s : float
        When it arrived, in seconds.
    value, objective_s : float
    age_s : float or None
        Seconds from its arrival to its end; None if it did not end as complete.
    is_refused : bool
        Whether all attempts to hand it in were refused.
    delays : mapping of str to float
        Seconds by cause.
    work_core_s : float
        Its work, in core-seconds.
    """

    kind: str
    at_s: float
    value: float
    objective_s: float
    age_s: float | None
    is_refused: bool
    delays: Mapping[str, float] = field(default_factory=dict)
    work_core_s: float = 0.0

    @property
    def is_served(self) -> bool:
        """Whether the job ended while its caller still waited."""
        return (
            self.age_s is not None and self.age_s <= MAX_LATE_FACTOR * self.objective_s
        )

    @property
    def is_in_time(self) -> bool:
        """Whether the job ended within its objective."""
        return self.age_s is not None and self.age_s <= self.objective_s

    @property
    def earned(self) -> float:
        """Value that the job earned."""
        if not self.is_served:
            return 0.0
        return self.value if self.is_in_time else LATE_SHARE * self.value

    @property
    def main_cause(self) -> str:
        """The largest delay of a job that is not in time."""
        if self.is_refused:
            return "refused"
        return max(self.delays, key=lambda cause: self.delays[cause], default="unknown")


@dataclass(frozen=True, slots=True)
class Measures:
    """Measures of one simulation; shares are between 0 and 1.

    Parameters
    ----------
    score : float
        Weighted mean of the earned share of the whole, of the worst windows of time
        and of the worst kind.
    whole, worst_windows, worst_kind : float
        Earned share of the value.
    in_time : dict of str to float
        Share of the jobs in time, by kind.
    causes : dict of str to float
        Value that was lost by main cause, as a share of all.
    large_served : float
        Least ratio, over kinds, of the share of their largest jobs that was served to
        that of all their jobs; the largest tenth and the fifth below it count each.
    """

    score: float
    whole: float
    worst_windows: float
    worst_kind: float
    in_time: dict[str, float]
    causes: dict[str, float]
    large_served: float = 1.0


def measure(outcomes: Sequence[JobOutcome]) -> Measures:
    """Return the measures of the jobs of a simulation."""
    whole = _earned_share(outcomes)
    windows: dict[int, list[JobOutcome]] = {}
    kinds: dict[str, list[JobOutcome]] = {}
    for outcome in outcomes:
        windows.setdefault(int(outcome.at_s / WINDOW_S), []).append(outcome)
        kinds.setdefault(outcome.kind, []).append(outcome)
    worst = sorted(_earned_share(rows) for rows in windows.values())[:WORST_WINDOWS]
    worst_windows = sum(worst) / len(worst) if worst else 1.0
    worst_kind = min((_earned_share(rows) for rows in kinds.values()), default=1.0)
    total = sum(outcome.value for outcome in outcomes)
    causes: dict[str, float] = {}
    for outcome in outcomes:
        if not outcome.is_in_time:
            lost = (outcome.value - outcome.earned) / total
            causes[outcome.main_cause] = causes.get(outcome.main_cause, 0.0) + lost
    return Measures(
        score=WHOLE_WEIGHT * whole
        + WINDOWS_WEIGHT * worst_windows
        + KIND_WEIGHT * worst_kind,
        whole=whole,
        worst_windows=worst_windows,
        worst_kind=worst_kind,
        in_time={
            kind: sum(row.is_in_time for row in rows) / len(rows)
            for kind, rows in sorted(kinds.items())
        },
        causes=causes,
        large_served=min(
            (_compare_large(rows) for rows in kinds.values()), default=1.0
        ),
    )


def _earned_share(outcomes: Sequence[JobOutcome]) -> float:
    total = sum(outcome.value for outcome in outcomes)
    return sum(outcome.earned for outcome in outcomes) / total if total else 1.0


def _compare_large(outcomes: Sequence[JobOutcome]) -> float:
    """Return the least ratio of large jobs served to all served, at most 1."""
    by_size = sorted(outcomes, key=lambda outcome: -outcome.work_core_s)
    served = _served_share(by_size)
    ratios = [1.0]
    for begin, end in LARGE_BANDS:
        band = by_size[round(begin * len(by_size)) : round(end * len(by_size))]
        if band and served:
            ratios.append(_served_share(band) / served)
    return min(ratios)


def _served_share(outcomes: Sequence[JobOutcome]) -> float:
    return sum(outcome.is_served for outcome in outcomes) / len(outcomes)
