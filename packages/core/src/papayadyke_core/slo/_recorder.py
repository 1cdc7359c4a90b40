"""Recorder of the request counts of one VM, with one bucket per minute."""

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
    """Limits of a recorder.

    Parameters
    ----------
    max_refused : int, default=500
        Maximum number of refused requests per bucket; the oldest are dropped.
    max_workloads : int, default=500
        Maximum number of workloads per bucket that are counted separately; all
        others are counted together.
    """

    max_refused: int = 500
    max_workloads: int = 500


@dataclass(frozen=True, slots=True)
class Observation:
    """A request that has ended.

    Parameters
    ----------
    request_id, workload : str
    at : float
        Wall-clock time of its end, in seconds since the Unix epoch.
    wait_s : float
        Waiting time in seconds.
    refusal : Refusal or None
        None if the request was answered.
    target : SloTarget
        Target of the workload at that time.
    preset : str
        Preset in force at that time.
    revision : int
        Configuration revision in force at that time.
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
    """Load of one workload over a sampling period.

    Parameters
    ----------
    workload : str
    seconds : float
        Length of the sampling period.
    held_share : float
        Dominant share of the VM's capacity that the workload held.
    floor : float
        Floor of the workload, as a share of the capacity.
    queued : int
        Number of waiting requests.
    target : SloTarget, default=SloTarget()
    """

    workload: str
    seconds: float
    held_share: float
    floor: float
    queued: int
    target: SloTarget = field(default_factory=SloTarget)


class Recorder:
    """Counter of one VM's requests, with one bucket per wall-clock minute.

    If the clock is set back, counting continues in the current minute. An earlier
    minute is not reopened, so no bucket is written twice.

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
        """Count a request that has ended."""
        self._advance(observation.at)
        name = self._counted_name(observation.workload)
        counts = self._get_counts(name)
        _set_target(counts, observation.target)
        refusal = observation.refusal
        if refusal is None:
            self._count_answer(counts, name, observation)
            return
        by_reason = counts.refused
        if refusal.verdict is Verdict.MAY_HAVE_RUN:
            by_reason = counts.may_have_run
        by_reason[refusal.reason] = by_reason.get(refusal.reason, 0) + 1
        self._refused.append(_make_refused_request(observation, refusal))

    def record_load(self, sample: LoadSample, at: float) -> None:
        """Record the load of one workload; an idle workload is ignored."""
        self._advance(at)
        if sample.held_share == 0.0 and sample.queued == 0:
            return
        counts = self._get_counts(self._counted_name(sample.workload))
        _set_target(counts, sample.target)
        counts.held_share_s += sample.held_share * sample.seconds
        if sample.queued == 0:
            return
        counts.waiting_s += sample.seconds
        if sample.held_share < sample.floor:
            counts.floor_short_s += sample.seconds

    def add_usage(self, usage: VmUsage, at: float) -> None:
        """Add the resource usage since the last call."""
        self._advance(at)
        merge_usage(self._usage, usage)

    def take_closed_buckets(self, at: float, *, is_last: bool = False) -> list[Bucket]:
        """Return the buckets of the completed minutes.

        Parameters
        ----------
        at : float
            Wall-clock time, in seconds since the Unix epoch.
        is_last : bool, default=False
            Whether the VM stops as planned; the current minute is then closed too.
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
        self._refused: deque[RefusedRequest] = deque(maxlen=self.settings.max_refused)

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

    def _counted_name(self, workload: str) -> str:
        if workload in self._counts:
            return workload
        is_full = len(self._counts) >= self.settings.max_workloads
        return OTHER_WORKLOAD if is_full else workload

    def _get_counts(self, name: str) -> WorkloadCounts:
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


def _set_target(counts: WorkloadCounts, target: SloTarget) -> None:
    counts.target_wait_s = target.wait_s
    counts.target_share = target.answered_share


def _make_refused_request(observation: Observation, refusal: Refusal) -> RefusedRequest:
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
