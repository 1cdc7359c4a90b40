"""Report on the burn of service-level error budgets.

The alert rules, each with a long and a short window, follow the multi-window,
multi-burn-rate scheme that is common in site reliability engineering.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from papayadyke_core.slo._bucket import Bucket, WorkloadCounts, make_histogram
from papayadyke_core.slo._recorder import OTHER_WORKLOAD
from papayadyke_core.slo._rollup import MINUTES_PER_HOUR, Rollup, Source, roll_up

UNKNOWN_WORKLOAD = "(unknown)"
# No operator is responsible for requests counted under these names, so they raise
# no alerts.
UNOWNED_WORKLOADS = frozenset({UNKNOWN_WORKLOAD, OTHER_WORKLOAD})
MINUTE_S = 60
HOUR_S = 3600
US_PER_MS = 1000.0
PERCENTILES = (50.0, 95.0, 99.0)


@dataclass(frozen=True, slots=True)
class AlertRule:
    """Alert that fires while both windows burn faster than a threshold.

    Parameters
    ----------
    name : str
        Severity: "page" needs immediate action, "ticket" can wait.
    long_s, short_s : int
        Lengths of the windows in seconds.
    threshold : float
        Burn rate above which the alert fires. At 1.0 the error budget lasts exactly
        its period.
    """

    name: str
    long_s: int
    short_s: int
    threshold: float


ALERT_RULES = (
    AlertRule("page", HOUR_S, 5 * MINUTE_S, 14.4),
    AlertRule("page", 6 * HOUR_S, 30 * MINUTE_S, 6.0),
    AlertRule("ticket", 24 * HOUR_S, 2 * HOUR_S, 3.0),
    AlertRule("ticket", 72 * HOUR_S, 6 * HOUR_S, 1.0),
)


class BurnWindow(msgspec.Struct, frozen=True, kw_only=True):
    """Burn rate of the error budget over one window."""

    seconds: int
    total: int
    bad: int
    burn_rate: float


class WorkloadBurn(msgspec.Struct, frozen=True, kw_only=True):
    """Service level of one workload over the window of the report."""

    workload: str
    target_wait_s: float
    target_share: float
    total: int
    good: int
    late: int
    refused: dict[str, int]
    may_have_run: dict[str, int]
    good_share: float
    budget_left: float
    windows: tuple[BurnWindow, ...]
    alerts: tuple[str, ...]
    wait_ms: dict[str, float]
    held_share: float
    floor_kept: float


class Gap(msgspec.Struct, frozen=True, kw_only=True):
    """Minutes for which no counts of a VM were reported.

    Parameters
    ----------
    vm : str
    incarnation : int
    after_minute : int
        Last reported minute before the gap, in minutes since the Unix epoch.
    minutes : int
        Number of missing minutes; 1 if `is_end` is set.
    is_end : bool
        Whether the VM has reported nothing since, without a planned stop.
    """

    vm: str
    incarnation: int
    after_minute: int
    minutes: int
    is_end: bool


class BurnReport(msgspec.Struct, frozen=True, kw_only=True):
    """Report on the burn of service-level error budgets.

    Parameters
    ----------
    made_at : float
        Wall-clock time of the report, in seconds since the Unix epoch.
    window_s : int
        Length of the window in seconds.
    workloads : tuple of WorkloadBurn
    gaps : tuple of Gap
        Minutes missing from the counts; if there are any, all counts are lower
        bounds.
    packing : float
        Mean dominant share in use of the capacity that was held.
    control_cpu_share : float
        Mean CPU time of a daemon, as a fraction of one core.
    control_memory_mb : float
        Highest memory usage of a daemon, in MiB.
    control_bytes_per_s : float
        Mean bytes per second exchanged between a daemon and its peers.
    store_calls_per_s : float
        Store calls per second of all daemons together.
    """

    made_at: float
    window_s: int
    workloads: tuple[WorkloadBurn, ...]
    gaps: tuple[Gap, ...]
    packing: float
    control_cpu_share: float
    control_memory_mb: float
    control_bytes_per_s: float
    store_calls_per_s: float


def make_report(
    buckets: Iterable[Bucket], rollups: Iterable[Rollup], *, at: float, window_s: int
) -> BurnReport:
    """Return the report over the window that ends at `at`.

    Parameters
    ----------
    buckets : iterable of Bucket
        Single minutes; those that a roll-up contains are ignored.
    rollups : iterable of Rollup
        Whole hours.
    at : float
        Wall-clock time, in seconds since the Unix epoch.
    window_s : int
        Length of the window in seconds.
    """
    history = _History(buckets, rollups)
    summed = history.sum(at, window_s)
    names = sorted(summed.workloads)
    return BurnReport(
        made_at=at,
        window_s=window_s,
        workloads=tuple(
            _make_workload_burn(name, summed.workloads[name], history, summed, at)
            for name in names
        ),
        gaps=tuple(find_gaps(summed.sources, at)),
        packing=_divide(summed.usage.used_share_s, summed.usage.sampled_s),
        control_cpu_share=_divide(summed.usage.cpu_s, summed.usage.sampled_s),
        control_memory_mb=summed.usage.memory_bytes / 2**20,
        control_bytes_per_s=_divide(summed.usage.peer_bytes, summed.usage.sampled_s),
        store_calls_per_s=_divide(summed.usage.store_calls, window_s),
    )


def find_gaps(sources: Iterable[Source], at: float) -> list[Gap]:
    """Return the minutes missing between and after the reported minutes of each VM."""
    by_vm: dict[tuple[str, int], list[Source]] = {}
    for source in sources:
        by_vm.setdefault((source.vm, source.incarnation), []).append(source)
    current = int(at // MINUTE_S)
    gaps: list[Gap] = []
    for (vm, incarnation), reported in sorted(by_vm.items()):
        reported.sort(key=lambda source: source.minute)
        gaps += _find_inner_gaps(vm, incarnation, reported)
        last = reported[-1]
        # The current minute and the one before it may not have been written yet.
        missing = current - last.minute - 2
        if not last.is_last and missing > 0:
            gaps.append(
                Gap(
                    vm=vm,
                    incarnation=incarnation,
                    after_minute=last.minute,
                    minutes=1,
                    is_end=True,
                )
            )
    return gaps


def _find_inner_gaps(vm: str, incarnation: int, reported: list[Source]) -> list[Gap]:
    gaps = []
    for previous, following in itertools.pairwise(reported):
        missing = following.minute - previous.minute - 1
        if missing > 0:
            gaps.append(
                Gap(
                    vm=vm,
                    incarnation=incarnation,
                    after_minute=previous.minute,
                    minutes=missing,
                    is_end=False,
                )
            )
    return gaps


class _History:
    """Buckets and roll-ups without duplicates and without rolled-up buckets."""

    def __init__(self, buckets: Iterable[Bucket], rollups: Iterable[Rollup]) -> None:
        self._rollups = list({rollup.hour: rollup for rollup in rollups}.values())
        rolled_up = {
            (source.vm, source.incarnation, source.minute)
            for rollup in self._rollups
            for source in rollup.sources
        }
        self._buckets = [
            bucket
            for bucket in buckets
            if (bucket.vm, bucket.incarnation, bucket.minute) not in rolled_up
        ]

    def sum(self, at: float, window_s: int) -> Rollup:
        """Return the sum over the window; a roll-up counts as a whole hour."""
        first_minute = int((at - window_s) // MINUTE_S)
        last_minute = int(at // MINUTE_S)
        in_window = [
            bucket
            for bucket in self._buckets
            if first_minute < bucket.minute <= last_minute
        ]
        summed = roll_up(in_window, hour=last_minute // MINUTES_PER_HOUR)
        for rollup in self._rollups:
            start = rollup.hour * MINUTES_PER_HOUR
            if first_minute < start + MINUTES_PER_HOUR and start <= last_minute:
                summed = _add_rollups(summed, rollup)
        return summed


def _add_rollups(first: Rollup, second: Rollup) -> Rollup:
    buckets = [_as_bucket(first, 0), _as_bucket(second, 1)]
    merged = roll_up(buckets, hour=first.hour)
    merged.sources = sorted([*first.sources, *second.sources])
    return merged


def _as_bucket(rollup: Rollup, number: int) -> Bucket:
    # The minute only keeps the two buckets of a sum distinct.
    return Bucket(
        vm="",
        incarnation=0,
        minute=number,
        workloads=rollup.workloads,
        usage=rollup.usage,
    )


def _make_workload_burn(
    name: str, counts: WorkloadCounts, history: _History, summed: Rollup, at: float
) -> WorkloadBurn:
    budget_share = 1.0 - counts.target_share
    good_share = _divide(counts.good, counts.total, default=1.0)
    windows = _measure_windows(name, history, at, budget_share)
    return WorkloadBurn(
        workload=name,
        target_wait_s=counts.target_wait_s,
        target_share=counts.target_share,
        total=counts.total,
        good=counts.good,
        late=counts.answered - counts.good,
        refused=dict(counts.refused),
        may_have_run=dict(counts.may_have_run),
        good_share=good_share,
        budget_left=1.0 - _divide(1.0 - good_share, budget_share),
        windows=tuple(windows.values()),
        alerts=tuple(_find_active_alerts(windows))
        if name not in UNOWNED_WORKLOADS
        else (),
        wait_ms=_wait_percentiles_ms(counts.waits),
        held_share=_divide(counts.held_share_s, summed.usage.sampled_s),
        floor_kept=1.0 - _divide(counts.floor_short_s, counts.waiting_s),
    )


def _measure_windows(
    name: str, history: _History, at: float, budget_share: float
) -> dict[int, BurnWindow]:
    window_lengths_s = {rule.long_s for rule in ALERT_RULES}
    window_lengths_s |= {rule.short_s for rule in ALERT_RULES}
    windows = {}
    for seconds in sorted(window_lengths_s):
        counts = history.sum(at, seconds).workloads.get(name, WorkloadCounts())
        bad = counts.total - counts.good
        bad_share = _divide(bad, counts.total)
        windows[seconds] = BurnWindow(
            seconds=seconds,
            total=counts.total,
            bad=bad,
            burn_rate=_divide(bad_share, budget_share),
        )
    return windows


def _find_active_alerts(windows: Mapping[int, BurnWindow]) -> list[str]:
    alerts = []
    for rule in ALERT_RULES:
        lowest_rate = min(
            windows[rule.long_s].burn_rate, windows[rule.short_s].burn_rate
        )
        if lowest_rate > rule.threshold:
            alerts.append(
                f"{rule.name}: over {rule.threshold:g} in {rule.long_s} s and "
                f"{rule.short_s} s"
            )
    return alerts


def _wait_percentiles_ms(waits: bytes) -> dict[str, float]:
    if not waits:
        return {}
    histogram = make_histogram()
    histogram.decode_and_add(waits)
    return {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / US_PER_MS
        for percentile in PERCENTILES
    }


def _divide(dividend: float, divisor: float, *, default: float = 0.0) -> float:
    return dividend / divisor if divisor > 0 else default
