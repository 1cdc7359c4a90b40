"""The program of an edge VM: it accepts and answers, and one of them decides."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from dataclasses import fields, replace

from result import Ok

from papayadyke_clients.http import HttpAnswer, HttpLimits, HttpRequest, HttpServer
from papayadyke_core.dispatch import Catalog, StepId
from papayadyke_daemon.edge._clock import read_clock
from papayadyke_daemon.edge._decider import Decider, Term
from papayadyke_daemon.edge._intake import Intake, IntakeParts
from papayadyke_daemon.edge._leadership import KnownDecider, Leadership
from papayadyke_daemon.edge._logs import log_event
from papayadyke_daemon.edge._messages import (
    Ack,
    AdviceReply,
    AskAdvice,
    AskPending,
    AskState,
    Cancelled,
    Hello,
    HelloReply,
    Message,
    PendingReply,
    StateReply,
    StoreCancel,
    StoreJob,
    StoreReply,
    Submitted,
)
from papayadyke_daemon.edge._metrics import CONTENT_TYPE, METRICS
from papayadyke_daemon.edge._peers import PeerClients, PeerServer
from papayadyke_daemon.edge._ports import EdgePorts, EdgeSettings, Record
from papayadyke_daemon.edge._reports import StoreReport, StoreReports
from papayadyke_daemon.edge._watch import watch_prefix

LOG = logging.getLogger(__name__)

DEADLINE_HEADER = "x-deadline-ms"
REFUSED_STATUS = 400  # answers from here on are logged with their reason
CALLER_THREADS = 12  # requests at a time; each waits for the store a few milliseconds
STOP_MARGIN_S = 0.7  # seconds before the platform ends the process; for the last lines
# Settings that hold until the process starts again.
FIXED_SETTINGS = frozenset(
    {"vm", "host", "callers_port", "readiness_port", "peers_port", "metrics_port"}
)
HELLO_KEPT_S = 2.0  # seconds for which what another VM said of itself holds


def _run_aside(name: str, run: Callable[[], None]) -> threading.Thread:
    thread = threading.Thread(target=run, name=name, daemon=True)
    thread.start()
    return thread


class EdgeDaemon:
    """Everything that runs on an edge VM.

    Parameters
    ----------
    cfg : EdgeSettings
    ports : EdgePorts
    answer_caller : callable
        Takes the intake and a caller's request, and returns the answer.
    """

    def __init__(
        self,
        cfg: EdgeSettings,
        ports: EdgePorts,
        answer_caller: Callable[[Intake, HttpRequest], HttpAnswer],
    ) -> None:
        self.cfg = cfg
        self._ports = ports
        self._stopped = threading.Event()
        self._is_draining = False
        self._catalog: Catalog | None = None
        self._decider: Decider | None = None
        self._peers: list[str] = []
        self._relay_until_s = 0.0
        self._reports = StoreReports()
        self._clients = PeerClients()
        self._leadership = Leadership(
            cfg,
            ports,
            may_lead=lambda: self._catalog is not None and not self._is_draining,
            begin=self._begin_term,
            end=self._end_term,
            peers_lost_store=self._peers_lost_store,
        )
        self.intake = Intake(
            ports,
            self._clients,
            IntakeParts(
                lambda: self._decider,
                lambda: self._leadership.known,
                lambda: self._leadership.reaches_store,
            ),
        )
        self._peer_server = PeerServer(
            f"{cfg.host}:{cfg.peers_port}", self._answer_peer
        )
        limits = HttpLimits(threads=CALLER_THREADS)
        self._answer_caller = answer_caller
        self._callers = HttpServer(
            self._serve_caller,
            host=cfg.host,
            port=cfg.callers_port,
            limits=limits,
        )
        self._readiness = HttpServer(
            self._answer_readiness,
            host=cfg.host,
            port=cfg.readiness_port,
            limits=HttpLimits(threads=2),
        )

        self._metrics = HttpServer(
            lambda _: HttpAnswer(200, METRICS.render(), CONTENT_TYPE),
            host=cfg.host,
            port=cfg.metrics_port,
            limits=HttpLimits(threads=1),
        )

    def start(self) -> None:
        """Start serving."""
        self._metrics.start()
        self._readiness.start()
        self._peer_server.start()
        self._leadership.start()
        threading.Thread(
            target=self._follow_catalog, name="catalog", daemon=True
        ).start()
        threading.Thread(target=self._greet_on, name="hello", daemon=True).start()
        self._callers.start()
        log_event(LOG, "edge: started", vm=self.cfg.vm, zone=self.cfg.availability_zone)

    def reload(self, cfg: EdgeSettings) -> None:
        """Put other settings in force; where the VM listens needs a restart.

        Leases and intervals of a term hold until the next term.
        """
        changed = [
            item.name
            for item in fields(cfg)
            if getattr(cfg, item.name) != getattr(self.cfg, item.name)
        ]
        kept = [name for name in changed if name in FIXED_SETTINGS]
        old = self.cfg
        self.cfg = replace(cfg, **{name: getattr(old, name) for name in kept})
        self._leadership.cfg = self.cfg
        log_event(LOG, "edge: reload", changed=changed, needs_restart=kept)

    def drain(self) -> None:
        """Hand over, go on serving until callers go elsewhere, then end.

        Returns before the platform would end the process, whatever still waits.
        """
        log_event(LOG, "edge: draining", vm=self.cfg.vm)
        until_s = read_clock() + self.cfg.grace_s - STOP_MARGIN_S
        self._is_draining = True
        # A slow store holds up the handover, which must not hold up the callers.
        handover = _run_aside("handover", self._leadership.stop)
        self._callers.end_keep_alive()
        self._stopped.wait(min(self.cfg.drain_s, self.cfg.grace_s / 2))
        last_answers = _run_aside("last-answers", self._callers.stop)
        for thread in (last_answers, handover):
            thread.join(timeout=max(0.0, until_s - read_clock()))
        self._stopped.set()
        self._peer_server.close()
        log_event(
            LOG,
            "edge: stopped",
            vm=self.cfg.vm,
            answered=not last_answers.is_alive(),
            handed_over=not handover.is_alive(),
        )

    def _serve_caller(self, req: HttpRequest) -> HttpAnswer:
        begun_s = read_clock()
        answer = self._answer_caller(self.intake, req)
        taken_s = read_clock() - begun_s
        METRICS.count(
            "papayadyke_requests", method=req.method, status=str(answer.status)
        )
        METRICS.observe("papayadyke_request_seconds", taken_s, method=req.method)
        if answer.status >= REFUSED_STATUS:
            log_event(
                LOG,
                "callers: refused",
                method=req.method,
                path=req.path,
                status=answer.status,
                why=answer.body.decode(),
                taken_s=round(taken_s, 3),
                deadline_ms=req.headers.get(DEADLINE_HEADER),
                decider=self._leadership.known.token,
                reaches_store=self._leadership.reaches_store,
            )
        return answer

    # Terms

    def _begin_term(self, term: Term) -> bool:
        catalog = self._catalog
        if catalog is None:
            return False
        decider = Decider(
            self.cfg,
            self._ports,
            self._clients,
            term=term,
            may_order=self._leadership.may_order,
            depose=self._leadership.depose,
        )
        if not decider.start(catalog):
            decider.stop()
            return False
        self._decider = decider
        # A configuration that came while the term began was told to nobody.
        decider.set_catalog(self._catalog or catalog)
        return True

    def _end_term(self) -> None:
        decider, self._decider = self._decider, None
        if decider is not None:
            self._peers = decider.list_vms()
            decider.stop()

    def _peers_lost_store(self) -> bool:
        return self._reports.is_lost_for_all(
            read_clock(),
            token=self._leadership.known.token,
            vms=len(self._peers),
        )

    # Configuration

    def _follow_catalog(self) -> None:
        key = self._ports.catalog_key
        watch_prefix(
            self._ports.store,
            key,
            revision=None,
            interval_s=0.0,
            stopped=self._stopped,
            take=self._take_catalog,
            relist=self._take_catalogs,
        )

    def _take_catalogs(self, records: list[Record]) -> None:
        for record in records:
            self._take_catalog(record)

    def _take_catalog(self, record: Record) -> None:
        if record.key != self._ports.catalog_key or record.value is None:
            return
        catalog = self._ports.read_catalog(record.value)
        if catalog is None:
            LOG.warning("edge: the configuration at %d is unreadable", record.revision)
            return
        current = self._catalog
        if current is not None and catalog.version <= current.version:
            return
        self._catalog = self.intake.catalog = catalog
        decider = self._decider
        if decider is not None:
            decider.set_catalog(catalog)
        log_event(
            LOG,
            "edge: configuration",
            version=catalog.version,
            queues=len(catalog.queues),
            revision=record.revision,
        )

    # Readiness

    def _answer_readiness(self, req: HttpRequest) -> HttpAnswer:
        is_ready = (
            not self._is_draining and self._catalog is not None and self._can_store()
        )
        return HttpAnswer(200 if is_ready else 503, b"{}")

    def _can_store(self) -> bool:
        """Tell whether jobs can be stored, by this VM or by the decider's."""
        return self._leadership.reaches_store or read_clock() < self._relay_until_s

    # Peers

    def _greet_on(self) -> None:
        own = f"{self.cfg.host}:{self.cfg.peers_port}"
        while not self._stopped.wait(self.cfg.hello_s):
            known = self._leadership.known
            if self._leadership.is_decider or self._is_draining:
                continue
            reply = self._greet(known.address) if known.token else None
            if reply is not None and reply.is_decider:
                self._peers = [name for name in reply.peers if name != own]
                self._relay_until_s = read_clock() + HELLO_KEPT_S * reply.reaches_store
                continue
            if known.token:
                log_event(LOG, "edge: decider silent", vm=known.vm, token=known.token)
            if not self._leadership.reaches_store:
                self._ask_peers()

    def _ask_peers(self) -> None:
        """Ask other VMs who decides, since the store can not be asked."""
        for address in self._peers:
            reply = self._greet(address)
            if reply is not None and reply.decider > self._leadership.known.token:
                self._leadership.learn(
                    KnownDecider(reply.decider, reply.vm, reply.address)
                )
                return

    def _greet(self, address: str) -> HelloReply | None:
        own = f"{self.cfg.host}:{self.cfg.peers_port}"
        if address == own:
            return None
        hello = Hello(
            self.cfg.vm,
            own,
            self._leadership.has_lost_store,
            self._leadership.known.token,
            self.cfg.strength,
        )
        reply = self._clients.call(address, hello)
        if isinstance(reply, Ok) and isinstance(reply.ok_value, HelloReply):
            return reply.ok_value
        return None

    def _answer_peer(self, message: Message) -> Message:
        decider = self._decider
        decides = decider is not None
        match message:
            case Hello():
                return self._greeted(message, decider)
            case Submitted():
                return Ack(self.intake.take_notice(message.jobs))
            case Cancelled():
                if decider is not None:
                    for job_id in message.job_ids:
                        decider.cancel(job_id)
                return Ack(decides)
            case AskState():
                state = decider.state_of(message.job_id) if decider else None
                return StateReply(decides, state or "")
            case AskPending():
                count = decider.count_pending(message.queue) if decider else 0
                return PendingReply(decides, count)
            case StoreJob():
                return StoreReply(self.intake.accept_bytes(message.job))
            case StoreCancel():
                outcome = self.intake.cancel(message.job_id, may_relay=False)
                return StoreReply(outcome)
            case AskAdvice():
                return self._advise(message)
        return Ack(decides)

    def _greeted(self, hello: Hello, decider: Decider | None) -> Message:
        report = StoreReport(read_clock(), hello.has_lost_store, hello.decider)
        self._reports.note(hello.vm, report)
        peers: list[str] = []
        if decider is not None:
            if hello.decider > decider.term.token:
                self._leadership.depose(f"{hello.vm} follows a later decider")
            decider.greet(hello.address)
            if not hello.has_lost_store:
                self._leadership.consider_handover(hello.vm, hello.strength)
            peers = decider.list_vms()
        known = self._leadership.known
        return HelloReply(
            decider is not None and self._leadership.may_order(),
            self._leadership.reaches_store,
            known.token,
            known.vm,
            known.address,
            peers,
        )

    def _advise(self, message: AskAdvice) -> Message:
        step = StepId(message.job_id, message.occurrence, message.step)
        answer = self._ports.advise(step, message.upstream_ids)
        if isinstance(answer, Ok):
            return AdviceReply(answer.ok_value.tickets, answer.ok_value.valid_s)
        return AdviceReply({}, 0.0, answer.err_value)
