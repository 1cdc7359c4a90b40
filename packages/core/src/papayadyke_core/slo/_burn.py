"""The report on service-level burn.

Alert rules with a long and a short window each follow the multi-window,
multi-burn-rate scheme common in site reliability engineering.
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
# Counted under these names is what no workload's operator answers for.
UNOWNED = frozenset({UNKNOWN_WORKLOAD, OTHER_WORKLOAD})
MINUTE_S = 60
HOUR_S = 3600
US_PER_MS = 1000.0
PERCENTILES = (50.0, 95.0, 99.0)


@dataclass(frozen=True, slots=True)
class AlertRule:
    """An alert that rings while both windows burn faster than a threshold.

    Parameters
    ----------
    name : str
        "page" wakes a person, "ticket" can wait.
    long_s, short_s : int
        Lengths of the windows, in seconds.
    threshold : float
        Burn rate; at 1.0 the error budget lasts its period exactly.
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
    """How fast the error budget burned over one window."""

    seconds: int
    total: int
    bad: int
    burn_rate: float


class WorkloadBurn(msgspec.Struct, frozen=True, kw_only=True):
    """The service level of one workload over the window of the report."""

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
    """Minutes of a VM of which nothing is known."""

    vm: str
    incarnation: int
    after_minute: int
    minutes: int
    is_end: bool


class BurnReport(msgspec.Struct, frozen=True, kw_only=True):
    """The report on service-level burn.

    Parameters
    ----------
    made_at : float
        Wall-clock time, in seconds since the epoch.
    window_s : int
    workloads : tuple of WorkloadBurn
    gaps : tuple of Gap
        What the counts can not contain: they are lower bounds where it is not
        empty.
    packing : float
        Mean dominant share in use of the capacity that was held.
    control_cpu_share : float
        Mean processor time of a daemon, as a fraction of a core.
    control_memory_mb : float
        Highest memory of a daemon.
    control_bytes_per_s : float
        Mean bytes a second between a daemon and its peers.
    store_calls_per_s : float
        Store calls a second of all daemons together.
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
        Single minutes; those that a roll-up contains are passed over.
    rollups : iterable of Rollup
        Whole hours.
    at : float
        Wall-clock time, in seconds since the epoch.
    window_s : int
    """
    history = _History(buckets, rollups)
    whole = history.sum(at, window_s)
    names = sorted(whole.workloads)
    return BurnReport(
        made_at=at,
        window_s=window_s,
        workloads=tuple(
            _burn_of(name, whole.workloads[name], history, whole, at) for name in names
        ),
        gaps=tuple(find_gaps(whole.sources, at)),
        packing=_divide(whole.usage.used_share_s, whole.usage.sampled_s),
        control_cpu_share=_divide(whole.usage.cpu_s, whole.usage.sampled_s),
        control_memory_mb=whole.usage.memory_bytes / 2**20,
        control_bytes_per_s=_divide(whole.usage.peer_bytes, whole.usage.sampled_s),
        store_calls_per_s=_divide(whole.usage.store_calls, window_s),
    )


def find_gaps(sources: Iterable[Source], at: float) -> list[Gap]:
    """Return the minutes missing within and after what each VM has reported."""
    by_vm: dict[tuple[str, int], list[Source]] = {}
    for source in sources:
        by_vm.setdefault((source.vm, source.incarnation), []).append(source)
    current = int(at // MINUTE_S)
    gaps: list[Gap] = []
    for (vm, incarnation), found in sorted(by_vm.items()):
        found.sort(key=lambda source: source.minute)
        gaps += _find_inner_gaps(vm, incarnation, found)
        last = found[-1]
        # The minute under way and the one just over may not be written yet.
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


def _find_inner_gaps(vm: str, incarnation: int, found: list[Source]) -> list[Gap]:
    gaps = []
    for one, two in itertools.pairwise(found):
        missing = two.minute - one.minute - 1
        if missing > 0:
            gaps.append(
                Gap(
                    vm=vm,
                    incarnation=incarnation,
                    after_minute=one.minute,
                    minutes=missing,
                    is_end=False,
                )
            )
    return gaps


class _History:
    """Buckets and roll-ups without those that are contained twice."""

    def __init__(self, buckets: Iterable[Bucket], rollups: Iterable[Rollup]) -> None:
        self._rollups = list({rollup.hour: rollup for rollup in rollups}.values())
        contained = {
            (source.vm, source.incarnation, source.minute)
            for rollup in self._rollups
            for source in rollup.sources
        }
        self._buckets = [
            bucket
            for bucket in buckets
            if (bucket.vm, bucket.incarnation, bucket.minute) not in contained
        ]

    def sum(self, at: float, window_s: int) -> Rollup:
        """Return the sum over the minutes of the window; whole hours as one."""
        first_minute = int((at - window_s) // MINUTE_S)
        last_minute = int(at // MINUTE_S)
        chosen = [
            bucket
            for bucket in self._buckets
            if first_minute < bucket.minute <= last_minute
        ]
        whole = roll_up(chosen, hour=last_minute // MINUTES_PER_HOUR)
        for rollup in self._rollups:
            start = rollup.hour * MINUTES_PER_HOUR
            if first_minute < start + MINUTES_PER_HOUR and start <= last_minute:
                whole = _add_rollups(whole, rollup)
        return whole


def _add_rollups(one: Rollup, two: Rollup) -> Rollup:
    parts = [_as_bucket(one, 0), _as_bucket(two, 1)]
    whole = roll_up(parts, hour=one.hour)
    whole.sources = sorted([*one.sources, *two.sources])
    return whole


def _as_bucket(rollup: Rollup, number: int) -> Bucket:
    return Bucket(
        vm="",
        incarnation=0,
        minute=number,
        workloads=rollup.workloads,
        usage=rollup.usage,
    )


def _burn_of(
    name: str, counts: WorkloadCounts, history: _History, whole: Rollup, at: float
) -> WorkloadBurn:
    allowed = 1.0 - counts.target_share
    good_share = _divide(counts.good, counts.total, empty=1.0)
    windows = _measure_windows(name, history, at, allowed)
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
        budget_left=1.0 - _divide(1.0 - good_share, allowed),
        windows=tuple(windows.values()),
        alerts=tuple(_find_alerts(windows)) if name not in UNOWNED else (),
        wait_ms=_read_percentiles(counts.waits),
        held_share=_divide(counts.held_share_s, whole.usage.sampled_s),
        floor_kept=1.0 - _divide(counts.floor_short_s, counts.waiting_s),
    )


def _measure_windows(
    name: str, history: _History, at: float, allowed: float
) -> dict[int, BurnWindow]:
    lengths = {rule.long_s for rule in ALERT_RULES}
    lengths |= {rule.short_s for rule in ALERT_RULES}
    windows = {}
    for seconds in sorted(lengths):
        counts = history.sum(at, seconds).workloads.get(name, WorkloadCounts())
        bad = counts.total - counts.good
        bad_share = _divide(bad, counts.total)
        windows[seconds] = BurnWindow(
            seconds=seconds,
            total=counts.total,
            bad=bad,
            burn_rate=_divide(bad_share, allowed),
        )
    return windows


def _find_alerts(windows: Mapping[int, BurnWindow]) -> list[str]:
    alerts = []
    for rule in ALERT_RULES:
        slowest = min(windows[rule.long_s].burn_rate, windows[rule.short_s].burn_rate)
        if slowest > rule.threshold:
            alerts.append(
                f"{rule.name}: over {rule.threshold:g} in {rule.long_s} s and "
                f"{rule.short_s} s"
            )
    return alerts


def _read_percentiles(waits: bytes) -> dict[str, float]:
    if not waits:
        return {}
    histogram = make_histogram()
    histogram.decode_and_add(waits)
    return {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / US_PER_MS
        for percentile in PERCENTILES
    }


def _divide(value: float, by: float, *, empty: float = 0.0) -> float:
    return value / by if by > 0 else empty
