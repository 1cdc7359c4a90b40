"""The daemon of one entry VM: its parts, and how they start and stop."""

from __future__ import annotations

import logging
import threading
import time

from result import Err

from papayadyke_core.configuration import ReplaceConfig
from papayadyke_core.journal import PARTITIONS
from papayadyke_core.scheduling import LoadSummary, Scheduler
from papayadyke_core.slo import Observation
from papayadyke_core.workloads import Config, ConfigModel, SloTarget
from papayadyke_daemon._metrics import Metrics
from papayadyke_daemon.callers import CallersApp, Readiness
from papayadyke_daemon.configuration import (
    ConfigRepository,
    ConfigSync,
    ConfigSyncSettings,
    ConfigWriter,
)
from papayadyke_daemon.durable import DurableParts
from papayadyke_daemon.fleet import Fleet, Holder
from papayadyke_daemon.keyed import KeyedRuns
from papayadyke_daemon.levels import LevelArchive, LevelKeeper
from papayadyke_daemon.scheduler import ApplyConfig, SchedulerLoop
from papayadyke_daemon.serving import (
    IdSource,
    RequestHistory,
    RequestRecord,
    RunService,
)
from papayadyke_daemon.settings import Settings
from papayadyke_platform.http import HttpAnswer, HttpLimits, HttpRequest, HttpServer
from papayadyke_platform.store import HttpStore, NoStore, Store, StoreSettings

LOG = logging.getLogger("papayadyke.daemon")
DRAIN_POLL_S = 0.02
NS_PER_MS = 1_000_000
UNKNOWN_WORKLOAD = "(unknown)"
ALL_PARTITIONS = frozenset(range(PARTITIONS))


class Daemon:
    """All parts of one daemon.

    Parameters
    ----------
    settings : Settings
    store : Store or None, default=None
        None connects to the address in the settings.
    """

    def __init__(self, settings: Settings, *, store: Store | None = None) -> None:
        self.settings = settings
        self.config = Config()
        self._config_in_force = threading.Event()
        self._draining = threading.Event()
        self._in_flight = _InFlight()
        incarnation = time.time_ns() // NS_PER_MS
        self.ids = IdSource(settings.vm, incarnation)
        self.store = store or _connect_store(settings)
        self.metrics = Metrics(settings.statsd)
        self.history = RequestHistory()
        self.config_sync = self._make_config_sync()
        self.config_writer = ConfigWriter(
            self.config_sync.repository,
            current=lambda: self.config_sync.state,
            publish=self.config_sync.offer,
        )
        self.levels = LevelKeeper(
            LevelArchive(self.store),
            vm=settings.vm,
            incarnation=incarnation,
            load=self._read_load,
            config=lambda: self.config,
            rolls_up=lambda hour: True,
        )
        self.loop = SchedulerLoop(
            Scheduler(), on_stop=lambda stop: self.durable.tasks.give_way(stop)
        )
        self.fleet = Fleet(
            holder=Holder(settings.vm, incarnation),
            settings=settings.fleet,
            upstreams=settings.upstreams,
            send=self.loop.send,
        )
        self.runs = RunService(
            loop=self.loop,
            fleet=self.fleet,
            ids=self.ids,
            config=lambda: self.config,
            task_lease_s=settings.fleet.task_lease_s,
        )
        self.durable = DurableParts(
            store=self.store,
            vm=settings.vm,
            incarnation=incarnation,
            loop=self.loop,
            fleet=self.fleet,
            find_workload=lambda name: self.config.workloads.get(name),
            plan=lambda: ALL_PARTITIONS,
            covers_cell=lambda: True,
            task_lease_s=settings.fleet.task_lease_s,
        )
        self.app = CallersApp(
            runs=self.runs,
            keyed=KeyedRuns(runs=self.runs, home=self.durable.keys, vm=settings.vm),
            jobs=self.durable.jobs,
            history=self.history,
            ids=self.ids,
            settings=settings.callers,
            readiness=self.tell_readiness,
            on_record=self._record,
        )
        self.callers = self._make_listener()

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the callers' listener."""
        return self.callers.address

    def start(self) -> None:
        """Start every part; the callers' listener comes last."""
        self.loop.start()
        self.config_sync.start()
        self.durable.start()
        self.levels.start()
        self.fleet.own(self.fleet.list_names(), epoch=1)
        self.callers.start()
        LOG.info("daemon: %s takes callers at %s:%d", self.settings.vm, *self.address)

    def apply_config(self, config: Config) -> None:
        """Take a configuration into force unless a later one is."""
        if config.revision < self.config.revision:
            return
        self.config = config
        self.loop.send(ApplyConfig(config))
        self._config_in_force.set()
        LOG.info(
            "daemon: revision %d in force, preset %s",
            config.revision,
            config.in_force,
        )

    def load_first_config(self, model: ConfigModel) -> None:
        """Put a configuration in force if the store has none.

        Parameters
        ----------
        model : ConfigModel
            Without a store in the settings it is in force at once.
        """
        if self.settings.store is None:
            self.apply_config(model.to_config())
            return
        change = ReplaceConfig(
            id=f"first-{self.ids.make()}",
            author=self.settings.vm,
            expected=0,
            config=model,
        )
        submitted = self.config_writer.submit(change)
        if isinstance(submitted, Err):
            LOG.info("daemon: the first configuration is not written: there is one")

    def wait_for_config(self, timeout_s: float) -> bool:
        """Wait until a configuration is in force; tell whether one is."""
        return self._config_in_force.wait(timeout_s)

    def tell_readiness(self) -> Readiness:
        """Tell whether this VM takes requests."""
        if self._draining.is_set():
            return Readiness(False, "draining")
        return Readiness(True)

    def drain(self) -> bool:
        """Take nothing new and wait for the requests in flight.

        Returns
        -------
        drained : bool
            Whether all of them ended within the drain timeout.
        """
        LOG.info("daemon: draining")
        self._draining.set()
        until_s = time.monotonic() + self.settings.drain_timeout_s
        while self._in_flight.count and time.monotonic() < until_s:
            time.sleep(DRAIN_POLL_S)
        return not self._in_flight.count

    def stop(self) -> None:
        """Close every part; call `drain` first for a graceful stop."""
        self._draining.set()
        self.callers.stop()
        self.durable.stop()
        self.config_sync.stop()
        self.fleet.stop()
        self.levels.stop()
        self.loop.stop()
        LOG.info("daemon: stopped")

    def _make_config_sync(self) -> ConfigSync:
        return ConfigSync(
            ConfigRepository(self.store),
            settings=ConfigSyncSettings(vm=self.settings.vm),
            on_config=self.apply_config,
        )

    def _read_load(self) -> LoadSummary:
        return self.loop.ask(lambda scheduler, now: scheduler.summary(now))

    def _record(self, record: RequestRecord) -> None:
        self.metrics.record(record)
        self.levels.observe(_observe(record, self.config))

    def _make_listener(self) -> HttpServer:
        callers = self.settings.callers
        tls = callers.tls
        return HttpServer(
            self._handle,
            host=callers.address.host,
            port=callers.address.port,
            limits=HttpLimits(
                threads=callers.threads,
                max_body_bytes=callers.max_body_bytes,
                max_header_bytes=callers.max_header_bytes,
                receive_timeout_s=callers.receive_timeout_s,
            ),
            tls_files=None if tls is None else (tls.certificate_file, tls.key_file),
        )

    def _handle(self, req: HttpRequest) -> HttpAnswer:
        with self._in_flight:
            return self.app.handle(req)


def _observe(record: RequestRecord, config: Config) -> Observation:
    workload = config.workloads.get(record.workload)
    return Observation(
        request_id=record.request_id,
        workload=record.workload if workload else UNKNOWN_WORKLOAD,
        at=time.time(),
        wait_s=record.wait_s,
        refusal=record.refusal,
        target=workload.slo if workload else SloTarget(),
        preset=config.in_force,
        revision=config.revision,
    )


def _connect_store(settings: Settings) -> Store:
    if settings.store is None:
        return NoStore()
    address = settings.store.address
    return HttpStore(
        StoreSettings(
            address=f"{address.host}:{address.port}",
            client=f"{settings.availability_zone}/{settings.vm}",
            answer_timeout_s=settings.store.timeout_s,
        )
    )


class _InFlight:
    """Counts the requests that are being answered."""

    def __init__(self) -> None:
        self.count = 0
        self._lock = threading.Lock()

    def __enter__(self) -> None:
        with self._lock:
            self.count += 1

    def __exit__(self, *exc: object) -> None:
        with self._lock:
            self.count -= 1
