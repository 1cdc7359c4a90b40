"""Counting at one VM: observations in, a bucket a minute out."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from papayadyke_core.slo._bucket import (
    Bucket,
    RefusedRequest,
    VmUsage,
    WorkloadCounts,
    make_histogram,
    merge_usage,
    record_wait,
)
from papayadyke_core.verdicts import Refusal, Verdict
from papayadyke_core.workloads import SloTarget

SECONDS_PER_MINUTE = 60
OTHER_WORKLOAD = "(other)"


@dataclass(frozen=True, slots=True)
class RecorderSettings:
    """Bounds of a recorder.

    Parameters
    ----------
    refused_kept : int, default=500
        Refused requests that a minute's bucket holds; older ones go first.
    workloads_kept : int, default=500
        Workloads that a bucket counts apart; others are counted together.
    """

    refused_kept: int = 500
    workloads_kept: int = 500


@dataclass(frozen=True, slots=True)
class Observation:
    """One request that has ended.

    Parameters
    ----------
    request_id, workload : str
    at : float
        Wall-clock time of its end, in seconds since the epoch.
    wait_s : float
    refusal : Refusal or None
        None where it was answered.
    target : SloTarget
    preset : str
    revision : int
    """

    request_id: str
    workload: str
    at: float
    wait_s: float
    refusal: Refusal | None
    target: SloTarget
    preset: str
    revision: int


@dataclass(frozen=True, slots=True)
class LoadSample:
    """Load of one workload over a short time."""

    workload: str
    seconds: float
    held_share: float
    floor: float
    queued: int
    target: SloTarget = field(default_factory=SloTarget)


class Recorder:
    """Counts of one VM, cut by the minute of the wall clock.

    A clock that is set back does not open an earlier minute again: counts go on
    into the current one, so that no bucket is written twice.

    Parameters
    ----------
    vm : str
    incarnation : int
    settings : RecorderSettings, default=RecorderSettings()
    """

    def __init__(
        self, vm: str, incarnation: int, *, settings: RecorderSettings | None = None
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.settings = settings or RecorderSettings()
        self._minute = 0
        self._closed: list[Bucket] = []
        self._open_minute(0)

    def observe(self, observation: Observation) -> None:
        """Count one request."""
        self._advance(observation.at)
        name = self._find_name(observation.workload)
        counts = self._find_counts(name)
        _note_target(counts, observation.target)
        refusal = observation.refusal
        if refusal is None:
            self._count_answer(counts, name, observation)
            return
        by_reason = counts.refused
        if refusal.verdict is Verdict.MAY_HAVE_RUN:
            by_reason = counts.may_have_run
        by_reason[refusal.reason] = by_reason.get(refusal.reason, 0) + 1
        self._refused.append(_keep_refused(observation, refusal))

    def sample(self, sample: LoadSample, at: float) -> None:
        """Count the load of one workload; one without any is passed over."""
        self._advance(at)
        if sample.held_share == 0.0 and sample.queued == 0:
            return
        counts = self._find_counts(self._find_name(sample.workload))
        _note_target(counts, sample.target)
        counts.held_share_s += sample.held_share * sample.seconds
        if sample.queued == 0:
            return
        counts.waiting_s += sample.seconds
        if sample.held_share < sample.floor:
            counts.floor_short_s += sample.seconds

    def add_usage(self, usage: VmUsage, at: float) -> None:
        """Count what control cost since the last call."""
        self._advance(at)
        merge_usage(self._usage, usage)

    def cut(self, at: float, *, is_last: bool = False) -> list[Bucket]:
        """Return the buckets of the minutes that are over.

        Parameters
        ----------
        at : float
            Wall-clock time.
        is_last : bool, default=False
            The VM stops as planned: the minute under way is cut too.
        """
        self._advance(at)
        if is_last:
            self._close_minute()
            self._closed[-1].is_last = True
            self._open_minute(self._minute + 1)
        closed = self._closed
        self._closed = []
        return closed

    def _advance(self, at: float) -> None:
        minute = int(at // SECONDS_PER_MINUTE)
        if minute <= self._minute:
            return
        if self._minute > 0:
            self._close_minute()
        self._open_minute(minute)

    def _open_minute(self, minute: int) -> None:
        self._minute = minute
        self._counts: dict[str, WorkloadCounts] = {}
        self._histograms: dict[str, HdrHistogram] = {}
        self._usage = VmUsage()
        self._refused: deque[RefusedRequest] = deque(maxlen=self.settings.refused_kept)

    def _close_minute(self) -> None:
        for name, histogram in self._histograms.items():
            self._counts[name].waits = bytes(histogram.encode())
        bucket = Bucket(
            vm=self.vm,
            incarnation=self.incarnation,
            minute=self._minute,
            workloads=self._counts,
            refused=list(self._refused),
            usage=self._usage,
        )
        self._closed.append(bucket)

    def _find_name(self, workload: str) -> str:
        if workload in self._counts:
            return workload
        full = len(self._counts) >= self.settings.workloads_kept
        return OTHER_WORKLOAD if full else workload

    def _find_counts(self, name: str) -> WorkloadCounts:
        if name not in self._counts:
            self._counts[name] = WorkloadCounts()
        return self._counts[name]

    def _count_answer(
        self, counts: WorkloadCounts, name: str, observation: Observation
    ) -> None:
        counts.answered += 1
        if observation.wait_s <= observation.target.wait_s:
            counts.good += 1
        if name not in self._histograms:
            self._histograms[name] = make_histogram()
        record_wait(self._histograms[name], observation.wait_s)


def _note_target(counts: WorkloadCounts, target: SloTarget) -> None:
    counts.target_wait_s = target.wait_s
    counts.target_share = target.answered_share


def _keep_refused(observation: Observation, refusal: Refusal) -> RefusedRequest:
    return RefusedRequest(
        request_id=observation.request_id,
        workload=observation.workload,
        at=observation.at,
        verdict=refusal.verdict,
        reason=refusal.reason,
        detail=refusal.detail,
        holders=refusal.holders,
        preset=observation.preset,
        revision=observation.revision,
    )
