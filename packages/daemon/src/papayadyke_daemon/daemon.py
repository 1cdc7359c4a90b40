"""The daemon of one entry VM: start and stop of its components."""

from __future__ import annotations

import logging
import os
import threading
import time
from collections.abc import Callable
from contextlib import AbstractContextManager

from result import Err

from papayadyke_clients.http import HttpAnswer, HttpLimits, HttpRequest, HttpServer
from papayadyke_clients.store import HttpStore, NoStore, Store, StoreSettings
from papayadyke_core.configuration import ReplaceConfig
from papayadyke_core.scheduling import LoadSummary, Scheduler
from papayadyke_core.slo import UNKNOWN_WORKLOAD, Observation, VmUsage
from papayadyke_core.workloads import Config, ConfigModel, SloTarget
from papayadyke_daemon._metrics import Metrics
from papayadyke_daemon.backend import DaemonBackend
from papayadyke_daemon.callers import CallersApp, JobOwner, Readiness
from papayadyke_daemon.cell_keys import CellKeys
from papayadyke_daemon.configuration import (
    ConfigRepository,
    ConfigSync,
    ConfigSyncSettings,
    ConfigWriter,
)
from papayadyke_daemon.durable import DurableParts
from papayadyke_daemon.fleet import Fleet, Holder
from papayadyke_daemon.keyed import KeyedRunner, KeyOwner
from papayadyke_daemon.levels import LevelArchive, LevelRecorder
from papayadyke_daemon.operators import OPERATORS_LIMITS, OperatorsApp
from papayadyke_daemon.peering import PeerParts
from papayadyke_daemon.peers import Handler
from papayadyke_daemon.routing import RoutedJobs, RoutedKeys, RoutedRuns
from papayadyke_daemon.scheduler import ApplyConfig, HandOver, SchedulerLoop
from papayadyke_daemon.serving import (
    IdSource,
    RequestHistory,
    RequestRecord,
    Runner,
    RunService,
    refuse_draining,
)
from papayadyke_daemon.settings import Settings

LOG = logging.getLogger(__name__)
DRAIN_POLL_S = 0.05
EXIT_FAULT = 5
NS_PER_MS = 1_000_000


def _end_at_once() -> None:
    logging.shutdown()
    os._exit(EXIT_FAULT)


class Daemon:
    """All components of one daemon.

    Parameters
    ----------
    settings : Settings
    store : Store or None, default=None
        None connects to the address in the settings.
    on_fault : callable, optional
        Called when an invariant is broken. The process ends at once, so that
        others take over what it owned and nothing more is started from it.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        store: Store | None = None,
        on_fault: Callable[[], None] = _end_at_once,
    ) -> None:
        self.settings = settings
        self.on_fault = on_fault
        self.store = store or _connect_store(settings)
        self.config = Config()
        self.incarnation = time.time_ns() // NS_PER_MS
        self.ids = IdSource(settings.vm, self.incarnation)
        self.cell_keys = CellKeys(settings, incarnation=self.incarnation)
        self.metrics = Metrics(settings.statsd)
        self.history = RequestHistory()
        self._config_in_force = threading.Event()
        self._draining = threading.Event()
        self._in_flight = _InFlight()
        self._make_core()
        self._make_config()
        self._make_levels()
        self._make_serving()

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the listener for callers."""
        return self.callers.address

    def start(self) -> None:
        """Start all components; the listener for callers is the last.

        Raises
        ------
        OSError
            If the port of a listener is taken; nothing runs then.
        """
        self._bind()
        self.cell_keys.start()
        self.loop.start()
        self.config_sync.start()
        self.durable.start()
        self.levels.start()
        self.peering.start(self._handlers)
        if self.operators is not None:
            self.operators.start()
        self.callers.start()
        LOG.info("daemon: %s takes callers at %s:%d", self.settings.vm, *self.address)

    def _bind(self) -> None:
        listeners = [self.callers]
        if self.operators is not None:
            listeners.append(self.operators)
        try:
            for listener in listeners:
                listener.bind()
        except OSError:
            for listener in listeners:
                listener.stop()
            raise

    def apply_config(self, config: Config) -> None:
        """Apply a configuration unless a later one is in force."""
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
        """Store a first configuration if the store has none.

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
        """Wait until a configuration is in force; return whether one is."""
        return self._config_in_force.wait(timeout_s)

    def tell_readiness(self) -> Readiness:
        """Return whether this VM accepts requests."""
        if self._draining.is_set():
            return Readiness(False, "draining")
        return Readiness(True)

    def drain(self) -> bool:
        """Accept no new requests and wait for those in flight.

        Returns
        -------
        drained : bool
            Whether all of them ended within the drain timeout.
        """
        LOG.info("daemon: draining")
        self._draining.set()
        self.callers.end_keep_alive()
        self.peering.leave()
        # The balancer takes a while to see that this VM is not ready.
        self._wait_for_requests(self.settings.drain_settle_s, is_least=True)
        self._wait_for_requests(self.settings.drain_timeout_s, is_least=False)
        return not self._in_flight.count

    def _wait_for_requests(self, wait_s: float, *, is_least: bool) -> None:
        """Hand over queued requests; wait until none is in flight, or until a limit."""
        until_s = time.monotonic() + wait_s
        while time.monotonic() < until_s:
            if not is_least and not self._in_flight.count:
                return
            if not self.peering.is_alone:
                self.loop.send(HandOver(refuse_draining()))
            time.sleep(DRAIN_POLL_S)

    def stop(self) -> None:
        """Stop all components; call `drain` first for a graceful stop."""
        self._draining.set()
        self.callers.stop()
        self.durable.stop()
        self.peering.release()
        self.config_sync.stop()
        self.levels.stop()
        if self.operators is not None:
            self.operators.stop()
        self.peering.stop()
        self.cell_keys.stop()
        self.loop.stop()
        LOG.info("daemon: stopped")

    def _make_core(self) -> None:
        settings = self.settings
        self.loop = SchedulerLoop(
            Scheduler(),
            on_stop=lambda stop: self.durable.tasks.give_way(stop),
            on_fault=self.on_fault,
        )
        self.fleet = Fleet(
            holder=Holder(settings.vm, self.incarnation),
            settings=settings.fleet,
            upstreams=settings.upstreams,
            send=self.loop.send,
        )
        self.peering = PeerParts(
            settings,
            incarnation=self.incarnation,
            store=self.store,
            fleet=self.fleet,
            load=self.loop.read_load,
            history=self.history,
            config_sync=lambda: self.config_sync,
            keys=self.cell_keys,
        )

    def _make_config(self) -> None:
        self.config_sync = ConfigSync(
            ConfigRepository(self.store),
            settings=ConfigSyncSettings(vm=self.settings.vm),
            on_config=self.apply_config,
            is_watcher=self.peering.is_watcher,
            forward_offer=self.peering.spread_config,
            send_request=self.peering.ask_for_config,
        )
        self.config_writer = ConfigWriter(
            self.config_sync.repository,
            get_state=lambda: self.config_sync.state,
            on_entries=self.config_sync.add_entries,
        )

    def _make_levels(self) -> None:
        self.archive = LevelArchive(self.store)
        self.levels = LevelRecorder(
            self.archive,
            vm=self.settings.vm,
            incarnation=self.incarnation,
            load=self.loop.read_load,
            config=lambda: self.config,
            should_roll_up=self.peering.should_roll_up,
            add_usage=self._read_usage,
        )

    def _make_serving(self) -> None:
        settings = self.settings
        local = RunService(
            loop=self.loop,
            fleet=self.fleet,
            ids=self.ids,
            config=lambda: self.config,
            task_lease_s=settings.fleet.task_lease_s,
        )
        self.durable = DurableParts(
            store=self.store,
            vm=settings.vm,
            incarnation=self.incarnation,
            loop=self.loop,
            fleet=self.fleet,
            find_workload=lambda name: self.config.workloads.get(name),
            plan=self.peering.plan_partitions,
            covers_cell=self.peering.covers_cell,
            is_holder_lost=self.peering.is_holder_lost,
            count_vms=self.peering.count_vms,
            task_lease_s=settings.fleet.task_lease_s,
        )
        self._route(local)
        self.app = CallersApp(
            runs=self.runs,
            keyed=KeyedRunner(
                runner=self.runs, key_owner=self.keys, holder=self.peering.holder
            ),
            jobs=self.jobs,
            history=self.history,
            ids=self.ids,
            settings=settings.callers,
            readiness=self.tell_readiness,
            is_refusing_runs=lambda: self.peering.is_alone and self._draining.is_set(),
            on_record=self._record,
            find_at_peers=self.peering.find_request,
        )
        self.callers = self._make_listener()
        self.operators = self._make_operators()

    def _route(self, local: RunService) -> None:
        """Serve requests on this VM alone, or on this VM and its peers."""
        self.runs: Runner = local
        self.keys: KeyOwner = self.durable.keys
        self.jobs: JobOwner = self.durable.jobs
        self._handlers: list[Handler] = []
        if self.peering.is_alone:
            return
        endpoint = self.peering.get_endpoint
        runs = RoutedRuns(
            runs=local,
            endpoint=endpoint,
            picker=self.peering.picker,
            load=self.loop.read_load,
            guard=self._in_flight,
            is_draining=self._draining.is_set,
        )
        router = self.peering.router
        keys = RoutedKeys(local=self.durable.keys, router=router, endpoint=endpoint)
        jobs = RoutedJobs(local=self.durable.jobs, router=router, endpoint=endpoint)
        self.runs, self.keys, self.jobs = runs, keys, jobs
        for routed in (runs, keys, jobs):
            self._handlers += routed.make_handlers()

    def _read_load(self) -> LoadSummary:
        return self.loop.ask(lambda scheduler, now: scheduler.summary(now))

    def _read_usage(self) -> VmUsage:
        """Return the cost of calls to peers, and update the gauges."""
        self.metrics.tell_gauges(
            self.loop.read_load(),
            self.peering.read_stats(),
            revision=self.config.revision,
        )
        return self.peering.read_usage()

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

    def _make_operators(self) -> HttpServer | None:
        listener = self.settings.operators
        if listener is None:
            return None
        backend = DaemonBackend(
            vm=self.settings.vm,
            availability_zone=self.settings.availability_zone,
            config=lambda: self.config,
            load=self._read_load,
            fleet=self.fleet,
            snapshot=self.peering.read_snapshot,
            history=self.history,
            ask_peers=self.peering.find_request,
            archive=self.archive,
            is_store_reachable=lambda: self.store.revision().is_ok(),
        )
        app = OperatorsApp(
            authenticator=self.cell_keys.make_authenticator(),
            state=lambda: self.config_sync.state,
            submit=self.config_writer.submit,
            backend=backend,
        )
        return HttpServer(
            app.handle,
            host=listener.address.host,
            port=listener.address.port,
            limits=OPERATORS_LIMITS,
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


class _InFlight(AbstractContextManager[None]):
    """Count of the requests that are being answered."""

    def __init__(self) -> None:
        self.count = 0
        self._lock = threading.Lock()

    def __enter__(self) -> None:
        with self._lock:
            self.count += 1

    def __exit__(self, *exc: object) -> None:
        with self._lock:
            self.count -= 1
