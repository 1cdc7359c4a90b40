"""Thread that records service levels and writes one bucket per minute."""

from __future__ import annotations

import logging
import queue
import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from result import Err

from papayadyke_core.scheduling import LoadSummary
from papayadyke_core.slo import (
    Bucket,
    LoadSample,
    Observation,
    Recorder,
    RecorderSettings,
    VmUsage,
)
from papayadyke_core.workloads import Config, effective_rule
from papayadyke_daemon.guard import guard_step
from papayadyke_daemon.levels._archive import (
    HOUR_S,
    MINUTE_S,
    ROLL_UP_DELAY_MINUTES,
    LevelArchive,
)
from papayadyke_daemon.levels._usage import UsageMeter

LOG = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class LevelSettings:
    """Settings of a `LevelRecorder`.

    Parameters
    ----------
    sample_period_s : float, default=1.0
        Time between samples of the load, in seconds.
    max_refused : int, default=50
        Maximum number of refused requests listed in a minute bucket.
    max_unwritten : int, default=1440
        Maximum number of buckets that wait for the store. A longer outage drops
        the oldest ones, and the report then shows gaps.
    """

    sample_period_s: float = 1.0
    max_refused: int = 50
    max_unwritten: int = 1440


class LevelRecorder:
    """Record the requests and the load of this VM, and write its buckets.

    Parameters
    ----------
    archive : LevelArchive
    vm : str
    incarnation : int
    load : callable
        Returns the latest `LoadSummary` of the scheduler, or None.
    config : callable
        Returns the configuration in force.
    should_roll_up : callable
        Takes an hour and returns whether this VM rolls it up.
    add_usage : callable, optional
        Returns the `VmUsage` measured by other components since the last call.
    settings : LevelSettings, default=LevelSettings()
    clock : callable, default=time.time
        Wall clock, in seconds since the epoch.
    """

    def __init__(
        self,
        archive: LevelArchive,
        *,
        vm: str,
        incarnation: int,
        load: Callable[[], LoadSummary | None],
        config: Callable[[], Config],
        should_roll_up: Callable[[int], bool],
        add_usage: Callable[[], VmUsage] = VmUsage,
        settings: LevelSettings | None = None,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.archive = archive
        self.load = load
        self.config = config
        self.should_roll_up = should_roll_up
        self.add_usage = add_usage
        self.settings = settings or LevelSettings()
        self.clock = clock
        self._recorder = Recorder(
            vm,
            incarnation,
            settings=RecorderSettings(max_refused=self.settings.max_refused),
        )
        self._meter = UsageMeter()
        self._observations: queue.SimpleQueue[Observation] = queue.SimpleQueue()
        self._unwritten: deque[Bucket] = deque(maxlen=self.settings.max_unwritten)
        self._last_handled_hour = int(clock() // HOUR_S) - 2
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the background thread."""
        self._thread = threading.Thread(target=self._run, name="levels", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and write the bucket of the current minute."""
        self._stopping.set()
        self._thread.join()
        self._record_observations()
        self._unwritten.extend(
            self._recorder.take_closed_buckets(self.clock(), is_last=True)
        )
        self._write()

    def observe(self, observation: Observation) -> None:
        """Queue the observation of one request; safe to call from any thread."""
        self._observations.put(observation)

    def step(self, at: float) -> None:
        """Record queued observations, sample the load and write finished buckets."""
        self._record_observations()
        self._sample_usage(at)
        self._unwritten.extend(self._recorder.take_closed_buckets(at))
        self._write()
        self._roll_up(at)

    def _run(self) -> None:
        while not self._stopping.wait(self.settings.sample_period_s):
            guard_step("levels", lambda: self.step(self.clock()))

    def _record_observations(self) -> None:
        for _ in range(self._observations.qsize()):
            self._recorder.observe(self._observations.get())

    def _sample_usage(self, at: float) -> None:
        seconds = self.settings.sample_period_s
        usage = self._meter.read()
        usage.sampled_s = seconds
        load = self.load()
        if load is not None:
            used = load.capacity - load.free
            usage.used_share_s = used.dominant_share(load.capacity) * seconds
            self._sample_workloads(load, at)
        self._recorder.add_usage(usage, at)
        self._recorder.add_usage(self.add_usage(), at)

    def _sample_workloads(self, load: LoadSummary, at: float) -> None:
        config = self.config()
        for summary in load.workloads:
            if summary.workload not in config.workloads:
                continue
            sample = LoadSample(
                workload=summary.workload,
                seconds=self.settings.sample_period_s,
                held_share=summary.held.dominant_share(load.capacity),
                floor=effective_rule(config, summary.workload).floor or 0.0,
                queued=summary.queued,
                target=config.workloads[summary.workload].slo,
            )
            self._recorder.record_load(sample, at)

    def _write(self) -> None:
        while self._unwritten:
            written = self.archive.write(self._unwritten[0])
            if isinstance(written, Err):
                LOG.debug(
                    "levels: bucket not written, will retry: %s",
                    written.err_value.detail,
                )
                return
            self._unwritten.popleft()

    def _roll_up(self, at: float) -> None:
        """Roll up the last complete hour, once its delayed buckets are written."""
        hour = int((at - ROLL_UP_DELAY_MINUTES * MINUTE_S) // HOUR_S) - 1
        if hour <= self._last_handled_hour:
            return
        if self.should_roll_up(hour):
            rolled = self.archive.roll_up(hour)
            if isinstance(rolled, Err):
                return
            self.archive.delete_old_rollups(hour)
            LOG.info(
                "levels: hour %d rolled up, %d minute buckets deleted",
                hour,
                rolled.ok_value,
            )
        self._last_handled_hour = hour
