"""The thread that counts, and writes a bucket a minute."""

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
    LATE_MINUTES,
    MINUTE_S,
    LevelArchive,
)
from papayadyke_daemon.levels._usage import UsageMeter

LOG = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class LevelSettings:
    """Settings of a keeper of service levels.

    Parameters
    ----------
    sample_period_s : float, default=1.0
    refused_kept : int, default=50
        Refused requests that a minute's bucket names.
    unwritten_kept : int, default=1440
        Buckets that wait for the store; during a longer outage the oldest are
        lost, which the report then tells as gaps.
    """

    sample_period_s: float = 1.0
    refused_kept: int = 50
    unwritten_kept: int = 1440


class LevelKeeper:
    """Counts the requests of this VM and writes its buckets.

    Parameters
    ----------
    archive : LevelArchive
    vm : str
    incarnation : int
    load : callable
        Returns the `LoadSummary` of the scheduler, or None.
    config : callable
        Returns the configuration in force.
    rolls_up : callable
        Takes an hour and tells whether this VM sums it.
    add_usage : callable, optional
        Returns `VmUsage` counted elsewhere since the last call.
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
        rolls_up: Callable[[int], bool],
        add_usage: Callable[[], VmUsage] = VmUsage,
        settings: LevelSettings | None = None,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.archive = archive
        self.load = load
        self.config = config
        self.rolls_up = rolls_up
        self.add_usage = add_usage
        self.settings = settings or LevelSettings()
        self.clock = clock
        self._recorder = Recorder(
            vm,
            incarnation,
            settings=RecorderSettings(refused_kept=self.settings.refused_kept),
        )
        self._meter = UsageMeter()
        self._inbox: queue.SimpleQueue[Observation] = queue.SimpleQueue()
        self._unwritten: deque[Bucket] = deque(maxlen=self.settings.unwritten_kept)
        self._rolled_hour = int(clock() // HOUR_S) - 2
        self._stopping = threading.Event()

    def start(self) -> None:
        """Count in the background."""
        self._thread = threading.Thread(target=self._run, name="levels", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Write the minute under way and end the thread."""
        self._stopping.set()
        self._thread.join()
        self._take_inbox()
        self._unwritten.extend(self._recorder.cut(self.clock(), is_last=True))
        self._write()

    def observe(self, observation: Observation) -> None:
        """Count one request; any thread may call."""
        self._inbox.put(observation)

    def step(self, at: float) -> None:
        """Take what has come, sample the load, and write what is over."""
        self._take_inbox()
        self._sample(at)
        self._unwritten.extend(self._recorder.cut(at))
        self._write()
        self._roll_up(at)

    def _run(self) -> None:
        while not self._stopping.wait(self.settings.sample_period_s):
            guard_step("levels", lambda: self.step(self.clock()))

    def _take_inbox(self) -> None:
        for _ in range(self._inbox.qsize()):
            self._recorder.observe(self._inbox.get())

    def _sample(self, at: float) -> None:
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
        for item in load.workloads:
            if item.workload not in config.workloads:
                continue
            sample = LoadSample(
                workload=item.workload,
                seconds=self.settings.sample_period_s,
                held_share=item.held.dominant_share(load.capacity),
                floor=effective_rule(config, item.workload).floor or 0.0,
                queued=item.queued,
                target=config.workloads[item.workload].slo,
            )
            self._recorder.sample(sample, at)

    def _write(self) -> None:
        while self._unwritten:
            written = self.archive.write(self._unwritten[0])
            if isinstance(written, Err):
                LOG.debug("levels: a bucket waits: %s", written.err_value.detail)
                return
            self._unwritten.popleft()

    def _roll_up(self, at: float) -> None:
        """Sum the hours that are over, once their last minutes have come in."""
        hour = int((at - LATE_MINUTES * MINUTE_S) // HOUR_S) - 1
        if hour <= self._rolled_hour:
            return
        if self.rolls_up(hour):
            rolled = self.archive.roll_up(hour)
            if isinstance(rolled, Err):
                return
            self.archive.drop_old_hours(hour)
            LOG.info("levels: hour %d summed, %d minutes", hour, rolled.ok_value)
        self._rolled_hour = hour
