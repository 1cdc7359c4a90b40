"""The decider: the threads around one dispatcher, for as long as this VM leads."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable

import msgspec
from result import Err, Result

from papayadyke_core.dispatch import (
    FINAL_STATES,
    Advice,
    AdviceRequest,
    Catalog,
    Commit,
    Dispatcher,
    DispatchSettings,
    JobState,
    StagedJobSpec,
    StartOrder,
    StartOutcome,
    StopOrder,
    UpstreamEntry,
    UpstreamReport,
    decode_progress,
)
from papayadyke_daemon.edge._advisers import Advisers
from papayadyke_daemon.edge._agents import AgentCalls, UpstreamAgent
from papayadyke_daemon.edge._clock import read_clock
from papayadyke_daemon.edge._committer import Committer
from papayadyke_daemon.edge._decision_log import log_ends, log_starts, log_stop
from papayadyke_daemon.edge._keys import (
    CANCEL_PREFIX,
    DECIDER_KEY,
    INTAKE_PREFIX,
    JOB_PREFIX,
    PROGRESS_PREFIX,
    ROSTER_KEY,
    RosterRecord,
    decode_job,
    encode_record,
)
from papayadyke_daemon.edge._logs import log_event
from papayadyke_daemon.edge._metrics import METRICS
from papayadyke_daemon.edge._peers import PeerClients
from papayadyke_daemon.edge._ports import (
    EdgePorts,
    EdgeSettings,
    Record,
    Write,
)
from papayadyke_daemon.edge._watch import list_prefix, watch_prefix
from papayadyke_daemon.mailbox import Mailbox

LOG = logging.getLogger(__name__)

INTAKE_INTERVAL_S = 0.5  # seconds between two reads of what was accepted
MIN_STEP_GAP_S = 0.002  # seconds between two steps; a call takes as long
TICK_S = 0.1  # seconds; the longest time between two steps of the dispatcher
GARBAGE_INTERVAL_S = 5.0  # seconds between two removals of old records
GARBAGE_JOBS = 30  # jobs of one removal; with the condition, a transaction holds 32
EARLY_CANCEL_KEPT_S = 60.0  # seconds; the job is read from the store in less
HELLO_LIFETIME_S = 2.0  # seconds; four missed messages mean that a VM is gone
# Seconds after which a silent VM no longer counts among those that could decide;
# one that is cut off from this VM may follow another decider for as long.
VM_KEPT_S = 60.0


class Term(msgspec.Struct, frozen=True):
    """One term as the decider.

    Parameters
    ----------
    token : int
        Fencing token: revision at which this VM became the decider.
    number : int
        Deciders before.
    roster : RosterRecord
        Upstreams that the deciders before knew.
    """

    token: int
    number: int
    roster: RosterRecord


class Decider:
    """Runs a dispatcher against upstreams, store and advisory service.

    Parameters
    ----------
    cfg : EdgeSettings
    ports : EdgePorts
    clients : PeerClients
    term : Term
    may_order : callable
        Tells whether this VM still decides.
    depose : callable
        Called with a reason when the term has ended elsewhere.
    """

    def __init__(
        self,
        cfg: EdgeSettings,
        ports: EdgePorts,
        clients: PeerClients,
        *,
        term: Term,
        may_order: Callable[[], bool],
        depose: Callable[[str], None],
    ) -> None:
        self.cfg = cfg
        self.term = term
        self._ports = ports
        self._clients = clients
        self._may_order = may_order
        self._depose = depose
        self._stopped = threading.Event()
        self._dispatcher = Dispatcher(
            DispatchSettings(
                lease_s=cfg.lease_s,
                status_kept_s=cfg.status_kept_s,
                stop_s=cfg.stop_s,
            ),
            term=term.number,
            now=read_clock(),
        )
        self._mailbox = Mailbox("decider", self._tick, clock=read_clock)
        self._agents: dict[str, UpstreamAgent] = {}
        self._advisers = Advisers(ports, clients, self._advised)
        # Jobs that had ended before this term, with the time of their end.
        self._ended: dict[str, float] = {}
        # Cancellations whose job is not known yet, with the time that they came.
        self._early_cancels: dict[str, float] = {}
        self._vms: dict[str, float] = {}
        self._committer = Committer(
            ports.store,
            token=term.token,
            post=self._mailbox.post,
            finished=self._committed,
            depose=depose,
        )
        self._next_step_s = 0.0
        self._next_garbage_s = read_clock() + GARBAGE_INTERVAL_S
        self._roster_upstreams = dict(term.roster.upstreams)
        self._housekeeping = threading.Event()
        self._calls = AgentCalls(
            may_order=may_order,
            report=self._reported,
            lose_contact=self._lost_contact,
            start_answered=self._start_answered,
            stop_answered=self._stop_answered,
            note_lease=self._dispatcher.note_lease,
            look_gap_s=self._look_gap_s,
            fenced=lambda name: depose(f"upstream {name} follows a later decider"),
        )

    # Life

    def start(self, catalog: Catalog) -> bool:
        """Read what is stored and begin; return whether that could be read."""
        self._dispatcher.set_catalog(catalog)
        listed = list_prefix(self._ports.store, self._ports.registry_prefix)
        # Progress last: a job that ends in between leaves the intake and has it.
        intake = list_prefix(self._ports.store, INTAKE_PREFIX)
        progress = list_prefix(self._ports.store, PROGRESS_PREFIX)
        if isinstance(listed, Err) or isinstance(intake, Err):
            return False
        if isinstance(progress, Err) or not self._may_order():
            return False
        for name, (address, service) in self.term.roster.upstreams.items():
            self._dispatcher.list_upstream(UpstreamEntry(name, service, address))
            self._dispatcher.unlist_upstream(name)
        for record in listed.ok_value.records:
            self._take_registry(record)
        for name, item in self._dispatcher.upstreams.items():
            if name not in self._agents:
                self._add_agent(item.entry)
        self._load(intake.ok_value.records, progress.ok_value.records)
        self._watch(self._ports.registry_prefix, listed.ok_value.revision, 0.0)
        self._watch(INTAKE_PREFIX, intake.ok_value.revision, INTAKE_INTERVAL_S)
        self._committer.start()
        self._mailbox.start()
        log_event(
            LOG,
            "decider: term began",
            token=self.term.token,
            term=self.term.number,
            jobs=len(self._dispatcher.jobs),
            upstreams=len(self._agents),
        )
        return True

    def stop(self) -> None:
        """End the term."""
        self._stopped.set()
        self._committer.stop()
        self._mailbox.stop(1.0)
        for agent in self._agents.values():
            agent.stop()
        self._advisers.stop()
        log_event(LOG, "decider: term ended", token=self.term.token)

    # Called by other threads

    def submit(self, spec: StagedJobSpec, revision: int) -> None:
        """Take in a job that was stored at a revision; 0 where that is not known."""
        self._mailbox.post(lambda: self._submit(spec, revision))

    def cancel(self, job_id: str) -> None:
        """Take in a stored cancellation."""
        self._mailbox.post(lambda: self._cancel(job_id))

    def set_catalog(self, catalog: Catalog) -> None:
        """Take in a configuration."""
        self._mailbox.post(lambda: self._dispatcher.set_catalog(catalog))

    def state_of(self, job_id: str) -> JobState | None:
        """Return the state of a job, None where it is not known."""
        return self._dispatcher.state_of(job_id)

    def count_pending(self, queue: str) -> int:
        """Return the jobs of a queue that have not begun."""
        for _ in range(3):
            try:
                return self._dispatcher.count_pending(queue)
            except RuntimeError:
                # The jobs changed while they were counted.
                continue
        return self._dispatcher.count_pending(queue)

    def greet(self, address: str) -> None:
        """Note a VM that may call the advisory service."""
        self._vms[address] = read_clock()

    def list_vms(self) -> list[str]:
        """Return the addresses of the VMs that greeted in the last minute."""
        now = read_clock()
        return [
            name for name, seen in self._vms.copy().items() if now - seen < VM_KEPT_S
        ]

    # On the decider's thread

    def _submit(self, spec: StagedJobSpec, revision: int) -> None:
        if spec.job_id in self._ended:
            return
        age_s = max(0.0, time.time() - spec.accepted_s)
        now = read_clock()
        is_new = revision > self.term.token
        if self._dispatcher.submit(spec, now=now, age_s=age_s, is_suspect=not is_new):
            log_event(LOG, "decider: job taken in", request=spec.job_id, age_s=age_s)
        if spec.job_id in self._early_cancels:
            self._cancel(spec.job_id)

    def _cancel(self, job_id: str) -> None:
        if job_id in self._ended:
            return
        if job_id not in self._dispatcher.jobs:
            self._early_cancels[job_id] = read_clock()
            return
        self._early_cancels.pop(job_id, None)
        if self._dispatcher.cancel(job_id, read_clock()):
            log_event(LOG, "decider: job cancelled", request=job_id)

    def _tick(self, now: float) -> float | None:
        if self._stopped.is_set():
            return None
        if now < self._next_step_s:
            # Under load several messages share a step, which takes the longer the
            # more work waits.
            return self._next_step_s
        due = self._step(now)
        self._next_step_s = read_clock() + max(read_clock() - now, MIN_STEP_GAP_S)
        return due

    def _step(self, now: float) -> float:
        self._use_vms(now)
        if not self._may_order():
            # Nothing may be sent now; placing would only take room.
            return now + TICK_S
        orders = self._dispatcher.tick(now, time.time())
        for request in orders.advice:
            self._advisers.ask(request)
        log_starts(
            orders.starts,
            self._dispatcher.jobs,
            now=now,
            version=self._dispatcher.catalog.version,
            token=self.term.token,
        )
        for order in orders.starts:
            self._agents[order.upstream_id].send(order)
        for stop in orders.stops:
            log_stop(stop)
            agent = self._agents.get(stop.upstream_id)
            if agent is not None:
                agent.send(stop)
        self._begin_commit(now)
        self._collect_garbage(now)
        return self._committer.due(now + TICK_S)

    def _use_vms(self, now: float) -> None:
        vms = dict(self._vms)
        alive = {name for name, seen in vms.items() if now - seen < HELLO_LIFETIME_S}
        self._advisers.set_vms(alive)
        self._dispatcher.advice_slots = self._advisers.slots

    def _load(self, intake: list[Record], progress: list[Record]) -> None:
        now, wall = read_clock(), time.time()
        stored = {}
        for record in progress:
            job_id = record.key.removeprefix(PROGRESS_PREFIX)
            found = decode_progress(record.value or b"")
            if found.state in FINAL_STATES:
                # Nothing is left to do; any VM tells its state from the store.
                self._ended[job_id] = found.ended_s
            else:
                self._committer.note_revision(job_id, record.revision)
                stored[job_id] = found
        cancelled = {
            record.key.removeprefix(CANCEL_PREFIX)
            for record in intake
            if record.key.startswith(CANCEL_PREFIX)
        }
        for record in intake:
            if not record.key.startswith(JOB_PREFIX):
                continue
            if record.key.removeprefix(JOB_PREFIX) in self._ended:
                continue
            spec = decode_job(record.value or b"")
            self._dispatcher.load(
                spec,
                stored.get(spec.job_id),
                is_cancelled=spec.job_id in cancelled,
                age_s=max(0.0, wall - spec.accepted_s),
                now=now,
            )

    def _take_intake(self, record: Record) -> None:
        if record.value is None:
            return
        if record.key.startswith(JOB_PREFIX):
            self._submit(decode_job(record.value), record.revision)
        elif record.key.startswith(CANCEL_PREFIX):
            self._cancel(record.key.removeprefix(CANCEL_PREFIX))

    def _take_registry(self, record: Record) -> None:
        name = record.key.removeprefix(self._ports.registry_prefix)
        entry = None
        if record.value is not None:
            entry = self._ports.read_upstream(name, record.value)
        if entry is None:
            self._dispatcher.unlist_upstream(name)
            log_event(LOG, "decider: upstream unlisted", upstream=name)
            return
        known = self._dispatcher.upstreams.get(name)
        self._dispatcher.list_upstream(entry, read_clock())
        if known is None or known.entry.is_draining != entry.is_draining:
            log_event(
                LOG,
                "decider: upstream listed",
                upstream=name,
                draining=entry.is_draining,
                revision=record.revision,
            )
        agent = self._agents.get(name)
        if agent is not None and agent.address != entry.address:
            agent.stop()
            agent = None
        if agent is None:
            self._add_agent(entry)

    def _add_agent(self, entry: UpstreamEntry) -> None:
        agent = UpstreamAgent(
            entry.upstream_id,
            address=entry.address,
            client=self._ports.connect_upstream(entry),
            token=self.term.token,
            cfg=self.cfg,
            calls=self._calls,
        )
        self._agents[entry.upstream_id] = agent
        agent.start()

    def _collect_garbage(self, now: float) -> None:
        if now < self._next_garbage_s:
            return
        self._next_garbage_s = now + GARBAGE_INTERVAL_S
        for name, came_s in list(self._early_cancels.items()):
            if now - came_s > EARLY_CANCEL_KEPT_S:
                del self._early_cancels[name]
        for name in self._dispatcher.forget_gone(now):
            agent = self._agents.pop(name, None)
            if agent is not None:
                agent.stop()
        if self._housekeeping.is_set():
            # The last round still waits for the store.
            return
        old = self._dispatcher.forget_old(time.time()) + self._forget_ended()
        upstreams = {
            name: (item.entry.address, item.entry.service)
            for name, item in self._dispatcher.upstreams.items()
        }
        if old or upstreams != self._roster_upstreams:
            self._housekeeping.set()
            threading.Thread(
                target=self._keep_house,
                args=(old, upstreams),
                name="housekeeping",
                daemon=True,
            ).start()

    def _forget_ended(self) -> list[str]:
        kept_s = time.time() - self.cfg.status_kept_s
        old = [name for name, ended_s in self._ended.items() if ended_s < kept_s]
        for name in old:
            del self._ended[name]
        return old

    def _keep_house(
        self, old: list[str], upstreams: dict[str, tuple[str, str]]
    ) -> None:
        """Store the roster where it changed, and remove the records of old jobs."""
        try:
            self._store_roster(upstreams)
            self._remove_jobs(old)
        finally:
            self._housekeeping.clear()

    def _store_roster(self, upstreams: dict[str, tuple[str, str]]) -> None:
        if upstreams == self._roster_upstreams:
            return
        record = RosterRecord(self.term.number + 1, upstreams)
        stored = self._ports.store.write(
            [Write(ROSTER_KEY, encode_record(record))],
            expected=[(DECIDER_KEY, self.term.token)],
        )
        if isinstance(stored, Err):
            log_event(LOG, "decider: roster not stored", why=stored.err_value.detail)
            return
        self._roster_upstreams = upstreams

    def _remove_jobs(self, old: list[str]) -> None:
        for begin in range(0, len(old), GARBAGE_JOBS):
            part = old[begin : begin + GARBAGE_JOBS]
            keys = [PROGRESS_PREFIX + name for name in part]
            removed = self._ports.store.write(
                [], expected=[(DECIDER_KEY, self.term.token)], removed=keys
            )
            if isinstance(removed, Err):
                # A successor loads these jobs and removes them in its time.
                log_event(
                    LOG,
                    "decider: old jobs not removed",
                    jobs=len(part),
                    why=removed.err_value.detail,
                )

    # Commits

    def _begin_commit(self, now: float) -> None:
        if not self._committer.may_begin(now):
            return
        commit = self._dispatcher.take_commit()
        if commit is not None:
            self._committer.begin(commit)

    def _committed(self, commit: Commit, is_stored: bool) -> None:
        for name in self._dispatcher.committed(commit, is_stored=is_stored):
            job = self._dispatcher.jobs[name]
            age_s = read_clock() - job.since_s
            METRICS.observe("papayadyke_job_seconds", age_s, state=job.state)
            log_event(
                LOG,
                "decider: job ended",
                request=name,
                state=job.state,
                age_s=round(age_s, 3),
            )
        if not is_stored:
            return
        for name, (life, number) in commit.noted.items():
            agent = self._agents.get(name)
            if agent is not None:
                agent.note_ends(life, number)

    # From agents

    def _reported(self, name: str, report: UpstreamReport) -> None:
        self._mailbox.post(lambda: self._take_report(name, report))

    def _take_report(self, name: str, report: UpstreamReport) -> None:
        ended = self._dispatcher.report(name, report, read_clock())
        if ended:
            log_ends(name, ended)

    def _lost_contact(self, name: str, detail: str) -> None:
        self._mailbox.post(lambda: self._dispatcher.lose_contact(name))

    def _look_gap_s(self) -> float:
        gap_s = len(self._agents) / self.cfg.looks_per_s
        return max(self.cfg.look_gap_s, gap_s)

    def _start_answered(self, order: StartOrder, outcome: StartOutcome) -> None:
        if outcome is StartOutcome.FENCED:
            self._depose(f"upstream {order.upstream_id} follows a later decider")
        self._mailbox.post(
            lambda: self._dispatcher.start_answered(order, outcome, read_clock())
        )

    def _stop_answered(self, order: StopOrder) -> None:
        self._mailbox.post(lambda: self._dispatcher.stop_answered(order, read_clock()))

    def _advised(self, request: AdviceRequest, answer: Result[Advice, str]) -> None:
        if isinstance(answer, Err):
            log_event(
                LOG,
                "decider: no advice",
                request=request.step.job_id,
                step=request.step,
                why=answer.err_value,
            )
            self._mailbox.post(
                lambda: self._dispatcher.advice_failed(request.step, read_clock())
            )
            return
        advice = answer.ok_value
        self._mailbox.post(lambda: self._dispatcher.advise(advice))

    def _watch(self, prefix: str, revision: int, interval_s: float) -> None:
        take = self._take_intake if prefix == INTAKE_PREFIX else self._take_registry
        threading.Thread(
            target=watch_prefix,
            args=(self._ports.store, prefix),
            kwargs={
                "revision": revision,
                "interval_s": interval_s,
                "stopped": self._stopped,
                "take": lambda record: self._mailbox.post(lambda: take(record)),
                "relist": lambda records: self._mailbox.post(
                    lambda: self._relist(prefix, records)
                ),
            },
            name=f"watch-{prefix}",
            daemon=True,
        ).start()

    def _relist(self, prefix: str, records: list[Record]) -> None:
        """Take in a whole prefix after its history was lost."""
        if prefix == self._ports.registry_prefix:
            names = {record.key.removeprefix(prefix) for record in records}
            for name in self._dispatcher.upstreams.keys() - names:
                self._dispatcher.unlist_upstream(name)
            for record in records:
                self._take_registry(record)
            return
        for record in records:
            self._take_intake(record)
