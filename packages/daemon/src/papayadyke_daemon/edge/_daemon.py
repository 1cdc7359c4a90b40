"""Run an edge VM: every VM serves callers, and one of them is the decider."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from dataclasses import fields, replace

from result import Ok

from papayadyke_clients.http import HttpAnswer, HttpLimits, HttpRequest, HttpServer
from papayadyke_core.dispatch import Catalog, StepId
from papayadyke_core.verdicts import Verdict
from papayadyke_daemon.edge._catalog_state import CatalogSource, CatalogState
from papayadyke_daemon.edge._clock import read_clock
from papayadyke_daemon.edge._contact import StoreContact
from papayadyke_daemon.edge._decider import Decider, Term
from papayadyke_daemon.edge._intake import Intake, IntakeDependencies, IntakeOutcome
from papayadyke_daemon.edge._job_memory import JobMemory
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
from papayadyke_daemon.edge._peers import RELAY_SLOTS, PeerClients, PeerServer
from papayadyke_daemon.edge._ports import EdgePorts, EdgeSettings, Record
from papayadyke_daemon.edge._relays import RelayGate
from papayadyke_daemon.edge._reports import StoreReport, StoreReports
from papayadyke_daemon.edge._watch import PrefixWatch

LOG = logging.getLogger(__name__)

DEADLINE_HEADER = "x-deadline-ms"
MIN_REFUSED_STATUS = 400  # lowest status of an answer that is logged with its reason
# Concurrent requests; each waits for the store a few milliseconds.
CALLER_THREADS = 12
# Seconds before the platform ends the process, for the last log lines.
STOP_MARGIN_S = 0.7
# Settings that take effect only at a restart of the process.
FIXED_SETTINGS = frozenset(
    {"vm", "host", "callers_port", "readiness_port", "peers_port", "metrics_port"}
)
# Seconds between heartbeats while the store is in doubt, also the least time between
# two that are sent because the contact with the store has changed.
DOUBT_HELLO_S = 0.2
MIN_HELLO_S = 0.02
# Other VMs that are asked for the decider with a heartbeat; an unanswered call takes
# 0.3 s, and the next heartbeat to the decider waits for it.
MAX_ASKED_PEERS = 2


def _start_thread(name: str, run: Callable[[], None]) -> threading.Thread:
    thread = threading.Thread(target=run, name=name, daemon=True)
    thread.start()
    return thread


class EdgeDaemon:
    """Run all services of an edge VM.

    Parameters
    ----------
    cfg : EdgeSettings
    ports : EdgePorts
    answer_caller : callable
        Called with the intake and a caller's request; returns the answer.
    """

    def __init__(
        self,
        cfg: EdgeSettings,
        ports: EdgePorts,
        answer_caller: Callable[[Intake, HttpRequest], HttpAnswer],
    ) -> None:
        self.cfg = cfg
        self._heartbeat_due = threading.Event()
        self._contact = StoreContact(ports.store, on_change=self._heartbeat_due.set)
        ports = replace(ports, store=self._contact.store)
        self._ports = ports
        self._stopped = threading.Event()
        self._is_draining = False
        self._catalog_state = CatalogState(self._use_catalog)
        self._decider: Decider | None = None
        self._peers: list[str] = []
        self._next_peer = 0
        self._relay_gate = RelayGate(lambda: self._contact.doubted_s)
        self._relay_slots = threading.BoundedSemaphore(RELAY_SLOTS)
        self._reports = StoreReports()
        self._clients = PeerClients()
        self._job_memory = JobMemory(lambda: self._decider)
        self._leadership = Leadership(
            cfg,
            ports,
            contact=self._contact,
            may_lead=lambda: (
                self._catalog_state.catalog is not None and not self._is_draining
            ),
            start_decider=self._start_decider,
            stop_decider=self._stop_decider,
            peers_lost_store=self._peers_lost_store,
        )
        self.intake = Intake(
            ports,
            self._clients,
            IntakeDependencies(
                lambda: self._decider,
                lambda: self._leadership.known_decider,
                self._contact,
                self._relay_gate,
                self._is_catalog_confirmed,
                self._job_memory,
            ),
            quota_overrun=cfg.quota_overrun,
            max_value_bytes=cfg.max_value_bytes,
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
        """Start all servers and threads."""
        self._metrics.start()
        self._readiness.start()
        self._peer_server.start()
        self._contact.start()
        self._leadership.start()
        self.intake.start()
        threading.Thread(
            target=self._watch_catalog, name="catalog", daemon=True
        ).start()
        threading.Thread(
            target=self._heartbeat_loop, name="heartbeat", daemon=True
        ).start()
        self._callers.start()
        log_event(LOG, "edge: started", vm=self.cfg.vm, zone=self.cfg.availability_zone)

    def reload(self, cfg: EdgeSettings) -> None:
        """Apply new settings; name and addresses of the VM need a restart.

        A running term keeps its leases and intervals until the next term.
        """
        changed = [
            setting.name
            for setting in fields(cfg)
            if getattr(cfg, setting.name) != getattr(self.cfg, setting.name)
        ]
        needs_restart = [name for name in changed if name in FIXED_SETTINGS]
        old = self.cfg
        self.cfg = replace(cfg, **{name: getattr(old, name) for name in needs_restart})
        self._leadership.cfg = self.cfg
        log_event(
            LOG, "edge: settings reloaded", changed=changed, needs_restart=needs_restart
        )

    def drain(self) -> None:
        """Hand over, serve until callers have moved to other VMs, then stop.

        Returns before the platform would end the process, even if threads still wait.
        """
        log_event(LOG, "edge: draining", vm=self.cfg.vm)
        deadline_s = read_clock() + self.cfg.grace_s - STOP_MARGIN_S
        self._is_draining = True
        # A slow store delays the handover, which must not delay the callers.
        handover = _start_thread("handover", self._leadership.stop)
        self._callers.end_keep_alive()
        self._stopped.wait(min(self.cfg.drain_s, self.cfg.grace_s / 2))
        last_answers = _start_thread("last-answers", self._callers.stop)
        for thread in (last_answers, handover):
            thread.join(timeout=max(0.0, deadline_s - read_clock()))
        self._stopped.set()
        self._contact.stop()
        self._peer_server.close()
        log_event(
            LOG,
            "edge: stopped",
            vm=self.cfg.vm,
            answered=not last_answers.is_alive(),
            handed_over=not handover.is_alive(),
        )

    def _serve_caller(self, req: HttpRequest) -> HttpAnswer:
        received_s = read_clock()
        answer = self._answer_caller(self.intake, req)
        elapsed_s = read_clock() - received_s
        METRICS.count(
            "papayadyke_requests", method=req.method, status=str(answer.status)
        )
        METRICS.observe("papayadyke_request_seconds", elapsed_s, method=req.method)
        if answer.status >= MIN_REFUSED_STATUS:
            log_event(
                LOG,
                "callers: refused",
                method=req.method,
                path=req.path,
                status=answer.status,
                why=answer.body.decode(),
                taken_s=round(elapsed_s, 3),
                deadline_ms=req.headers.get(DEADLINE_HEADER),
                decider=self._leadership.known_decider.token,
                reaches_store=self._leadership.reaches_store,
                **answer.log_fields,
            )
        return answer

    # Terms

    def _start_decider(self, term: Term) -> bool:
        catalog = self._catalog_state.catalog
        if catalog is None:
            return False
        decider = Decider(
            self.cfg,
            self._ports,
            self._clients,
            term=term,
            may_issue_orders=self._leadership.may_issue_orders,
            has_valid_lease=self._leadership.has_valid_lease,
            step_down=self._leadership.step_down,
        )
        if not decider.start(catalog):
            decider.stop()
            return False
        self._decider = decider
        # A configuration that arrived while the decider started did not reach it.
        decider.set_catalog(self._catalog_state.catalog or catalog)
        return True

    def _stop_decider(self) -> None:
        decider, self._decider = self._decider, None
        if decider is not None:
            self._peers = decider.list_vms()
            decider.stop()

    def _peers_lost_store(self) -> bool:
        return self._reports.is_store_lost_for_peers(
            read_clock(),
            token=self._leadership.known_decider.token,
            vms=len(self._peers),
        )

    # Configuration

    def _watch_catalog(self) -> None:
        self._make_catalog_watch().run(self._stopped, interval_s=0.0)

    def _make_catalog_watch(self) -> PrefixWatch:
        return PrefixWatch(
            self._ports.store,
            self._ports.catalog_key,
            revision=None,
            on_change=self._apply_catalog_record,
            on_listing=self._apply_catalog_records,
            on_answered=self._record_catalog_call,
        )

    def _apply_catalog_records(self, records: list[Record]) -> None:
        for record in records:
            self._apply_catalog_record(record)

    def _apply_catalog_record(self, record: Record) -> None:
        if record.key != self._ports.catalog_key or record.value is None:
            return
        try:
            catalog = self._ports.decode_catalog(record.value)
        except Exception:
            # No configuration may end the watch that brings the next one.
            LOG.exception("edge: decoding a configuration failed")
            catalog = None
        if catalog is None:
            LOG.warning(
                "edge: configuration at revision %d is unreadable", record.revision
            )
            return
        self._catalog_state.adopt(
            catalog,
            read_clock(),
            source=CatalogSource.STORE,
            revision=record.revision,
        )

    def _use_catalog(self, catalog: Catalog) -> None:
        self.intake.use_catalog(catalog)
        decider = self._decider
        if decider is not None:
            decider.set_catalog(catalog)

    def _record_catalog_call(self, sent_s: float, is_answered: bool) -> None:
        self._catalog_state.record_contact(read_clock())
        if is_answered:
            self._catalog_state.confirm(sent_s)

    def _is_catalog_confirmed(self) -> bool:
        return self._catalog_state.is_confirmed(
            read_clock(), revoke_s=self.cfg.revoke_s
        )

    # Readiness

    def _answer_readiness(self, req: HttpRequest) -> HttpAnswer:
        is_ready = (
            not self._is_draining
            and self._catalog_state.catalog is not None
            and self._can_store()
        )
        return HttpAnswer(200 if is_ready else 503, b"{}")

    def _can_store(self) -> bool:
        """Return whether jobs can be stored, by this VM or through the decider's."""
        return self._contact.is_reached or self._relay_gate.is_open()

    # Peers

    def _heartbeat_loop(self) -> None:
        while not self._stopped.wait(MIN_HELLO_S):
            interval_s = self.cfg.hello_s
            if not self._contact.is_reached:
                interval_s = min(interval_s, DOUBT_HELLO_S)
            self._heartbeat_due.wait(interval_s - MIN_HELLO_S)
            self._heartbeat_due.clear()
            try:
                self._exchange_heartbeat()
            except Exception:
                LOG.exception("edge: a heartbeat failed")

    def _exchange_heartbeat(self) -> None:
        known_decider = self._leadership.known_decider
        if self._leadership.is_decider or self._is_draining:
            return
        reply = None
        if known_decider.token:
            with self._relay_gate.track() as sent_s:
                reply = self._send_heartbeat(known_decider.address)
        if reply is not None and reply.is_decider:
            own_address = f"{self.cfg.host}:{self.cfg.peers_port}"
            self._peers = [address for address in reply.peers if address != own_address]
            self._relay_gate.record_reply(sent_s, reaches_store=reply.reaches_store)
            self._job_memory.record_reply(reply.free_bytes, reply.later_bytes)
            if not reply.reaches_store:
                # The decider goes on only if the other VMs have lost the store too.
                self._contact.request_probe()
            return
        self._relay_gate.record_silence()
        if known_decider.token:
            log_event(
                LOG,
                "edge: no reply from an active decider",
                vm=known_decider.vm,
                token=known_decider.token,
            )
        if not self._leadership.reaches_store:
            self._find_decider_through_peers()

    def _find_decider_through_peers(self) -> None:
        """Ask some other VMs for the decider, since the store is unreachable."""
        peers = self._peers
        for _ in range(min(MAX_ASKED_PEERS, len(peers))):
            self._next_peer = (self._next_peer + 1) % len(peers)
            address = peers[self._next_peer]
            reply = self._send_heartbeat(address)
            if (
                reply is not None
                and reply.decider > self._leadership.known_decider.token
            ):
                self._leadership.update_from_peer(
                    KnownDecider(reply.decider, reply.vm, reply.address)
                )
                return

    def _send_heartbeat(self, address: str) -> HelloReply | None:
        own_address = f"{self.cfg.host}:{self.cfg.peers_port}"
        if address == own_address:
            return None
        hello = Hello(
            self.cfg.vm,
            own_address,
            self._leadership.begin_report(),
            self._leadership.known_decider.token,
            self.cfg.strength,
            self._catalog_state.version,
            self.cfg.job_bytes,
        )
        sent_s = read_clock()
        is_sent = True
        try:
            reply = self._clients.call(address, hello)
            is_sent = isinstance(reply, Ok) or (
                reply.err_value.verdict is not Verdict.NOT_RUN
            )
        finally:
            self._leadership.end_report(is_sent=is_sent)
        if isinstance(reply, Ok) and isinstance(reply.ok_value, HelloReply):
            self._catalog_state.apply_reply(
                reply.ok_value, sent_s=sent_s, now=read_clock()
            )
            return reply.ok_value
        return None

    def _answer_peer(self, message: Message) -> Message:
        decider = self._decider
        is_decider = decider is not None
        match message:
            case Hello():
                return self._handle_heartbeat(message, decider)
            case Submitted():
                return Ack(self.intake.submit_stored_jobs(message.jobs))
            case Cancelled():
                if decider is not None:
                    for job_id in message.job_ids:
                        decider.cancel(job_id)
                return Ack(is_decider)
            case AskState():
                status = decider.get_status(message.job_id) if decider else None
                if status is None:
                    return StateReply(is_decider, team="")
                return StateReply(is_decider, status.state, status.team)
            case AskPending():
                count = decider.count_pending(message.queue) if decider else 0
                return PendingReply(is_decider, count)
            case StoreJob() | StoreCancel():
                return self._answer_relay(message)
            case AskAdvice():
                return self._answer_advice_request(message)
        return Ack(is_decider)

    def _answer_relay(self, message: StoreJob | StoreCancel) -> Message:
        if not self._relay_slots.acquire(blocking=False):
            # The other threads must remain for heartbeats and questions.
            return StoreReply(IntakeOutcome.REFUSED)
        try:
            if isinstance(message, StoreJob):
                outcome = self.intake.accept_encoded(
                    message.job, checks_owner=message.checks_owner
                )
            else:
                outcome = self.intake.cancel(
                    message.job_id, team=message.team, may_relay=False
                )
            return StoreReply(outcome)
        finally:
            self._relay_slots.release()

    def _handle_heartbeat(self, hello: Hello, decider: Decider | None) -> Message:
        report = StoreReport(read_clock(), hello.has_lost_store, hello.decider)
        self._reports.record(hello.vm, report)
        peers: list[str] = []
        if decider is not None:
            if hello.decider > decider.term.token:
                self._leadership.step_down(f"{hello.vm} follows a later decider")
            decider.record_heartbeat(hello.address, job_bytes=hello.job_bytes)
            if not hello.has_lost_store:
                self._leadership.consider_handover(hello.vm, hello.strength)
            peers = decider.list_vms()
        known_decider = self._leadership.known_decider
        reply = HelloReply(
            decider is not None and self._leadership.may_issue_orders(),
            self._contact.is_reached and not self._contact.is_slow(read_clock()),
            known_decider.token,
            known_decider.vm,
            known_decider.address,
            peers,
        )
        room = None if decider is None else decider.find_job_room()
        if room is not None:
            reply.free_bytes, reply.later_bytes = room
        return self._catalog_state.make_reply(hello, reply, read_clock())

    def _answer_advice_request(self, message: AskAdvice) -> Message:
        step = StepId(message.job_id, message.occurrence, message.step)
        answer = self._ports.request_advice(step, message.upstream_ids)
        if isinstance(answer, Ok):
            return AdviceReply(answer.ok_value.tickets, answer.ok_value.valid_s)
        return AdviceReply({}, 0.0, answer.err_value)
