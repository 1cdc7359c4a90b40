"""Run the dispatcher and its threads while this VM is the decider."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable

from result import Err, Ok, Result

from papayadyke_core.dispatch import (
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
    TakeoverEnd,
    UpstreamEntry,
    UpstreamReport,
)
from papayadyke_daemon.edge._advisers import AdvisoryPool
from papayadyke_daemon.edge._agents import AgentCallbacks, UpstreamAgent
from papayadyke_daemon.edge._clock import read_clock
from papayadyke_daemon.edge._committer import Committer
from papayadyke_daemon.edge._decision_log import (
    log_crashes,
    log_ends,
    log_job_end,
    log_left_out,
    log_losses,
    log_starts,
    log_stop,
    log_takeover_end,
    log_unanswered_ends,
)
from papayadyke_daemon.edge._early_cancels import EarlyCancels
from papayadyke_daemon.edge._fence import UpstreamFences
from papayadyke_daemon.edge._gang_reports import GangReporter
from papayadyke_daemon.edge._housekeeping import Housekeeper
from papayadyke_daemon.edge._job_owner import JobStatus
from papayadyke_daemon.edge._job_room import JobRoom
from papayadyke_daemon.edge._keys import (
    CANCEL_PREFIX,
    INTAKE_PREFIX,
    JOB_PREFIX,
    PROGRESS_PREFIX,
)
from papayadyke_daemon.edge._learned import LearnedWriter
from papayadyke_daemon.edge._logs import log_event
from papayadyke_daemon.edge._metrics import METRICS
from papayadyke_daemon.edge._peers import PeerClients
from papayadyke_daemon.edge._ports import (
    EdgePorts,
    EdgeSettings,
    Record,
)
from papayadyke_daemon.edge._registry import Registry
from papayadyke_daemon.edge._reservation_reports import ReservationReporter
from papayadyke_daemon.edge._roster import RosterWriter, Term
from papayadyke_daemon.edge._stored_jobs import decode_job_record, read_stored_jobs
from papayadyke_daemon.edge._takeover_reports import TakeoverReporter
from papayadyke_daemon.edge._team_reports import TeamReporter
from papayadyke_daemon.edge._watch import PrefixWatch, list_prefix
from papayadyke_daemon.mailbox import Mailbox

LOG = logging.getLogger(__name__)

INTAKE_WATCH_INTERVAL_S = 0.5  # seconds between two reads of accepted jobs
# Least time between two steps in seconds; a call to an upstream takes as long.
MIN_STEP_INTERVAL_S = 0.002
MAX_STEP_INTERVAL_S = 0.1  # seconds between two steps without messages
GARBAGE_INTERVAL_S = 5.0  # seconds between two removals of old records
# Seconds, four heartbeats, after which a silent VM gets no more advisory calls.
HEARTBEAT_TIMEOUT_S = 2.0
# Seconds since a job was cancelled or failed after which none of its runs can go on.
# Covers the longest lease and clocks that differ by some seconds.
MAX_STOPPING_S = 30.0
# Seconds after the last heartbeat for which a VM counts as a possible decider: a VM
# that is partitioned from this one may follow another decider for this long.
VM_RETENTION_S = 60.0
LATER_JOBS_SHARE = 0.5  # of the memory for jobs, for those that are due at later times


class Decider:
    """Connect the dispatcher with upstreams, the store and the advisory service.

    Parameters
    ----------
    cfg : EdgeSettings
    ports : EdgePorts
    clients : PeerClients
    term : Term
    may_issue_orders : callable
        Returns whether this VM is still the decider.
    has_valid_lease : callable
        Returns whether its lease has not lapsed; orders may go on for some time after.
    step_down : callable
        Called with a reason when another VM has become the decider.
    """

    def __init__(
        self,
        cfg: EdgeSettings,
        ports: EdgePorts,
        clients: PeerClients,
        *,
        term: Term,
        may_issue_orders: Callable[[], bool],
        has_valid_lease: Callable[[], bool],
        step_down: Callable[[str], None],
    ) -> None:
        self.cfg = cfg
        self.term = term
        self._ports = ports
        self._clients = clients
        self._may_issue_orders = may_issue_orders
        self._has_valid_lease = has_valid_lease
        self._step_down = step_down
        self._stopped = threading.Event()
        self._dispatcher = Dispatcher(
            DispatchSettings(
                lease_s=cfg.lease_s,
                max_hold_s=cfg.max_hold_s,
                late_call_s=cfg.late_call_s,
                lapse_s=cfg.lapse_s,
                status_kept_s=cfg.status_kept_s,
                stop_s=cfg.stop_s,
                quota_overrun=cfg.quota_overrun,
                learns_run_times=cfg.learns_run_times,
                urgent_share=cfg.urgent_share,
                max_record_bytes=cfg.max_value_bytes,
            ),
            term=term.number,
            now=read_clock(),
        )
        self._mailbox = Mailbox("decider", self._tick, clock=read_clock)
        self._agents: dict[str, UpstreamAgent] = {}
        self._registry = Registry(ports.decode_upstream)
        self._fences = UpstreamFences(term.token)
        self._watches: list[PrefixWatch] = []
        self._is_started = False
        self._advisory_pool = AdvisoryPool(ports, clients, self._handle_advice)
        # Jobs that ended before this term, with their end as wall-clock time.
        self._ended_jobs: dict[str, float] = {}
        # Jobs that arrived while the lease was not valid, with their revisions. Another
        # VM may be the decider by then, and starts them without waiting for this one.
        self._deferred_jobs: dict[str, tuple[StagedJobSpec, int]] = {}
        self._early_cancels = EarlyCancels()
        self._last_heartbeat_s: dict[str, float] = {}
        self._job_bytes: dict[str, int] = {}  # memory for jobs, by address of the VM
        self._committer = Committer(
            ports.store,
            token=term.token,
            post=self._mailbox.post,
            on_finished=self._handle_commit_result,
            step_down=step_down,
            on_rejected=lambda commit: self._dispatcher.isolate_commit(
                commit, read_clock()
            ),
        )
        self._next_step_s = 0.0
        self._next_garbage_s = read_clock() + GARBAGE_INTERVAL_S
        self._roster = RosterWriter(
            ports.store,
            term=term,
            max_bytes=cfg.max_value_bytes,
            post=self._mailbox.post,
            on_stored=self._mark_recorded,
        )
        self._team_reporter = TeamReporter()
        self._gang_reporter = GangReporter()
        self._takeover_reporter = TakeoverReporter()
        self._reservation_reporter = ReservationReporter()
        self._learned = LearnedWriter(
            ports.store,
            self._dispatcher,
            token=term.token,
            max_bytes=cfg.max_value_bytes,
            post=self._mailbox.post,
        )
        self._housekeeper = Housekeeper(ports.store, token=term.token)
        self._agent_callbacks = AgentCallbacks(
            may_issue_orders=may_issue_orders,
            on_report=self._post_report,
            on_contact_lost=self._post_contact_lost,
            on_start_outcome=self._post_start_outcome,
            on_stop_acknowledged=self._post_stop_acknowledged,
            before_lease=self._dispatcher.record_lease,
            poll_interval_s=self._poll_interval_s,
            on_fenced=lambda name: step_down(
                f"upstream {name} follows a later decider"
            ),
        )

    # Lifecycle

    def start(self, catalog: Catalog) -> bool:
        """Load the stored state and begin the term; return whether that succeeded."""
        if not self.load(catalog):
            return False
        # Agents that the mailbox's thread adds from here on are started at once.
        self._is_started = True
        for agent in self._agents.values():
            agent.start()
        for watch in self._watches:
            self._start_watch(watch)
        self._committer.start()
        self._advisory_pool.start()
        self._mailbox.start()
        return True

    def load(self, catalog: Catalog) -> bool:
        """Read the stored state, without any thread; return whether that succeeded."""
        self._dispatcher.set_catalog(catalog)
        sent_s = read_clock()
        registry = list_prefix(self._ports.store, self._ports.registry_prefix)
        self._record_registry_read(sent_s, isinstance(registry, Ok))
        # Read progress last: the commit of a job's end removes its intake record and
        # stores its progress, so a job that ends in between is read as ended.
        intake = list_prefix(self._ports.store, INTAKE_PREFIX)
        progress = list_prefix(self._ports.store, PROGRESS_PREFIX)
        if isinstance(registry, Err) or isinstance(intake, Err):
            return False
        if isinstance(progress, Err) or not self._may_issue_orders():
            return False
        if not self._has_valid_lease():
            return False
        self._learned.load()
        for name, (address, service) in self.term.roster.upstreams.items():
            self._dispatcher.add_or_update_upstream(
                UpstreamEntry(name, service, address)
            )
            self._dispatcher.mark_upstream_unlisted(name, read_clock())
        for record in registry.ok_value.records:
            self._apply_registry_record(record)
        for name, upstream in self._dispatcher.upstreams.items():
            if name not in self._agents:
                self._try_to_add_agent(upstream.entry)
        self._load_jobs(intake.ok_value.records, progress.ok_value.records)
        self._watches = [
            self._make_watch(self._ports.registry_prefix, registry.ok_value.revision),
            self._make_watch(INTAKE_PREFIX, intake.ok_value.revision),
        ]
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
        self._advisory_pool.stop()
        self._team_reporter.clear()
        self._learned.clear_metrics()
        self._reservation_reporter.clear_metrics()
        self._registry.clear_metrics()
        self._early_cancels.clear_metrics()
        log_event(LOG, "decider: term ended", token=self.term.token)

    # Called on any thread

    def submit(self, spec: StagedJobSpec, revision: int) -> None:
        """Add a job that was stored at a revision, or 0 if it is unknown."""
        self._mailbox.post(lambda: self._submit(spec, revision))

    def cancel(self, job_id: str) -> None:
        """Cancel a job whose cancellation is stored."""
        self._mailbox.post(lambda: self._cancel(job_id))

    def set_catalog(self, catalog: Catalog) -> None:
        """Apply a configuration if it is newer than the current one."""
        self._mailbox.post(lambda: self._set_catalog(catalog))

    def get_status(self, job_id: str) -> JobStatus | None:
        """Return the state and the team of a job, or None if the job is unknown."""
        job = self._dispatcher.jobs.get(job_id)
        state = self._dispatcher.get_state(job_id)
        if job is None or state is None:
            return None
        return JobStatus(state, job.spec.team)

    def count_pending(self, queue: str) -> int:
        """Return the number of jobs of a queue that have not started."""
        for _ in range(3):
            try:
                return self._dispatcher.count_pending(queue)
            except RuntimeError:
                # The decider's thread changed the jobs during the count.
                continue
        return self._dispatcher.count_pending(queue)

    def record_heartbeat(self, address: str, *, job_bytes: int | None = None) -> None:
        """Record a heartbeat of a VM, which may then call the advisory service.

        Parameters
        ----------
        address : str
        job_bytes : int or None
            Memory that jobs may take on that VM; None for no limit.
        """
        self._last_heartbeat_s[address] = read_clock()
        if job_bytes is None:
            self._job_bytes.pop(address, None)
        else:
            self._job_bytes[address] = job_bytes

    def find_job_room(self) -> JobRoom | None:
        """Return the memory for further jobs on each VM; None for no limit."""
        known = [self._job_bytes.get(address) for address in self.list_vms()]
        bounds = [size for size in (self.cfg.job_bytes, *known) if size is not None]
        if not bounds:
            return None
        bound = min(bounds)
        early_bytes = self._early_cancels.stored_bytes
        return JobRoom(
            bound - self._dispatcher.held_bytes - early_bytes,
            int(LATER_JOBS_SHARE * bound) - self._dispatcher.later_bytes,
        )

    def list_upstreams(self) -> list[str]:
        """Return the ids of the upstreams that this term calls."""
        return sorted(self._agents)

    def list_vms(self) -> list[str]:
        """Return the addresses of VMs with a heartbeat within `VM_RETENTION_S`."""
        now = read_clock()
        return [
            address
            for address, seen_s in self._last_heartbeat_s.copy().items()
            if now - seen_s < VM_RETENTION_S
        ]

    # On the decider's thread

    def _submit(self, spec: StagedJobSpec, revision: int) -> None:
        if spec.job_id in self._ended_jobs:
            return
        if not self._has_valid_lease():
            self._deferred_jobs[spec.job_id] = spec, revision
            return
        age_s = max(0.0, time.time() - spec.accepted_s)
        now = read_clock()
        is_new = revision > self.term.token
        if self._dispatcher.submit(
            spec, now=now, age_s=age_s, may_have_started=not is_new
        ):
            log_event(
                LOG,
                "decider: job added",
                request=spec.job_id,
                queue=spec.queue,
                team=spec.team,
                age_s=age_s,
                tasks=spec.task_count,
                core_s=round(spec.work_core_s, 1),
            )
        if self._early_cancels.covers(spec.job_id, spec.team):
            self._cancel(spec.job_id)

    def _submit_deferred_jobs(self) -> None:
        """Add the jobs that have waited for a valid lease, once there is one."""
        if not self._deferred_jobs or not self._has_valid_lease():
            return
        deferred, self._deferred_jobs = self._deferred_jobs, {}
        log_event(LOG, "decider: deferred jobs added", jobs=len(deferred))
        for spec, revision in deferred.values():
            self._submit(spec, revision)

    def _cancel(self, job_id: str) -> None:
        if job_id in self._ended_jobs:
            return
        if job_id not in self._dispatcher.jobs:
            self._early_cancels.notify(job_id, read_clock())
            return
        self._early_cancels.discard(job_id)
        if self._dispatcher.cancel(job_id, read_clock()):
            log_event(LOG, "decider: job cancelled", request=job_id)

    def _tick(self, now: float) -> float | None:
        if self._stopped.is_set():
            return None
        if now < self._next_step_s:
            # Under load several messages share a step, since a step takes longer
            # the more work is pending.
            return self._next_step_s
        next_step_s = self._step(now)
        self._next_step_s = read_clock() + max(read_clock() - now, MIN_STEP_INTERVAL_S)
        return next_step_s

    def _step(self, now: float) -> float:
        self._update_advisory_vms(now)
        self._submit_deferred_jobs()
        if not self._may_issue_orders():
            # No order may be sent; placing would only reserve capacity.
            return now + MAX_STEP_INTERVAL_S
        orders = self._dispatcher.tick(now, time.time())
        self._handle_takeover_end(self._dispatcher.take_takeover_end())
        log_losses(self._dispatcher.take_lost_runs())
        log_unanswered_ends(self._dispatcher.take_unanswered_ends())
        for request in orders.advice:
            self._advisory_pool.submit(request)
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
        self._roster.update(self._dispatcher.upstreams, now)
        self._team_reporter.update(self._dispatcher, now)
        self._gang_reporter.update(self._dispatcher, now)
        self._takeover_reporter.update(self._dispatcher, now)
        self._reservation_reporter.update(self._dispatcher, now)
        self._learned.update(now)
        self._collect_garbage(now)
        return self._committer.next_commit_s(now + MAX_STEP_INTERVAL_S)

    def _handle_takeover_end(self, end: TakeoverEnd | None) -> None:
        log_takeover_end(end, token=self.term.token)
        if end is not None and end.silent_upstreams:
            # They run nothing, and must not hold up the next takeover.
            self._roster.mark_outdated()

    def _update_advisory_vms(self, now: float) -> None:
        heartbeats = dict(self._last_heartbeat_s)
        alive = {
            address
            for address, seen_s in heartbeats.items()
            if now - seen_s < HEARTBEAT_TIMEOUT_S
        }
        self._advisory_pool.set_vms(alive)
        self._dispatcher.advice_slots = self._advisory_pool.slots

    def _load_jobs(self, intake: list[Record], progress: list[Record]) -> None:
        now, wall_s = read_clock(), time.time()
        stored = read_stored_jobs(intake, progress)
        self._early_cancels.replace(
            record for record in intake if record.key.startswith(CANCEL_PREFIX)
        )
        for job_id, ended in stored.ended.items():
            # Ended jobs need no work; any VM reads their state from the store.
            self._ended_jobs[job_id] = ended.ended_s
            self._dispatcher.record_ended_job(
                job_id,
                team=ended.team,
                may_run=ended.state is not JobState.COMPLETE
                and abs(wall_s - ended.ended_s) < MAX_STOPPING_S,
            )
        for job_id, revision in stored.revisions.items():
            self._committer.record_revision(job_id, revision)
        for job in stored.open_jobs:
            self._dispatcher.restore_job(
                job.spec,
                job.progress,
                is_cancelled=job.is_cancelled,
                age_s=max(0.0, wall_s - job.spec.accepted_s),
                now=now,
            )

    def _apply_intake_record(self, record: Record) -> None:
        if record.key.startswith(CANCEL_PREFIX):
            self._apply_cancel_record(record)
        elif record.key.startswith(JOB_PREFIX) and record.value is not None:
            spec = decode_job_record(record)
            if spec is not None:
                self._submit(spec, record.revision)

    def _apply_cancel_record(self, record: Record) -> None:
        cancel = self._early_cancels.read(record)
        if record.value is None:
            return
        job_id = record.key.removeprefix(CANCEL_PREFIX)
        job = self._dispatcher.jobs.get(job_id)
        # One of an unknown job is kept until it is old or removed.
        if not cancel.early_s or (job is not None and cancel.covers(job.spec.team)):
            self._cancel(job_id)

    def _set_catalog(self, catalog: Catalog) -> None:
        self._dispatcher.set_catalog(catalog)
        for entry in self._registry.take_named(self._dispatcher.catalog.services):
            self._apply_entry(entry)

    def _apply_registry_record(self, record: Record) -> None:
        upstream_id = record.key.removeprefix(self._ports.registry_prefix)
        upstream = self._dispatcher.upstreams.get(upstream_id)
        entry = None
        if record.value is None:
            self._registry.forget(upstream_id)
        else:
            entry = self._registry.read(
                upstream_id,
                record.value,
                services=self._dispatcher.catalog.services,
                is_used=upstream is not None and upstream.may_have_runs,
            )
        if entry is not None:
            self._apply_entry(entry, revision=record.revision)
        elif upstream is not None:
            has_entry = record.value is not None
            if upstream.is_listed:
                log_event(
                    LOG,
                    "decider: upstream unlisted",
                    upstream=upstream_id,
                    has_entry=has_entry,
                )
            self._dispatcher.mark_upstream_unlisted(
                upstream_id, read_clock(), has_entry=has_entry
            )

    def _apply_entry(self, entry: UpstreamEntry, *, revision: int = 0) -> None:
        upstream_id = entry.upstream_id
        known_upstream = self._dispatcher.upstreams.get(upstream_id)
        is_recorded = self._roster.names(entry)
        may_have_runs = known_upstream is not None and known_upstream.may_have_runs
        if may_have_runs and not is_recorded:
            self._roster.mark_outdated()
        self._dispatcher.add_or_update_upstream(
            entry, read_clock(), is_recorded=is_recorded
        )
        if (
            known_upstream is None
            or known_upstream.entry.is_draining != entry.is_draining
        ):
            log_event(
                LOG,
                "decider: upstream listed",
                upstream=upstream_id,
                draining=entry.is_draining,
                revision=revision,
            )
        agent = self._agents.get(upstream_id)
        if agent is not None and agent.address != entry.address:
            agent.stop()
            self._dispatcher.mark_unreachable(upstream_id, read_clock())
            agent = None
        if agent is None:
            self._try_to_add_agent(entry)

    def _try_to_add_agent(self, entry: UpstreamEntry) -> None:
        """Begin to call an upstream; without that it never counts as reachable."""
        self._agents.pop(entry.upstream_id, None)
        try:
            self._add_agent(entry)
        except Exception:
            LOG.exception("decider: upstream %s cannot be called", entry.upstream_id)

    def _add_agent(self, entry: UpstreamEntry) -> None:
        agent = UpstreamAgent(
            entry.upstream_id,
            address=entry.address,
            client=self._ports.connect_upstream(entry),
            fence=self._fences.get_or_create(entry.upstream_id),
            cfg=self.cfg,
            callbacks=self._agent_callbacks,
        )
        self._agents[entry.upstream_id] = agent
        if self._is_started:
            agent.start()

    def _collect_garbage(self, now: float) -> None:
        if now < self._next_garbage_s:
            return
        self._next_garbage_s = now + GARBAGE_INTERVAL_S
        METRICS.set_gauge("papayadyke_job_bytes", self._dispatcher.held_bytes)
        old_cancels = self._early_cancels.expire(now, time.time())
        for name in self._dispatcher.remove_unused_upstreams(now):
            agent = self._agents.pop(name, None)
            if agent is not None:
                agent.stop()
            self._fences.remove(name)
            self._roster.mark_outdated()
        if self._housekeeper.is_busy:
            # The previous removal still waits for the store.
            return
        old = (
            self._dispatcher.remove_expired_jobs(time.time())
            + self._expire_ended_jobs()
        )
        if old or old_cancels:
            self._housekeeper.remove(old, old_cancels)
            self._committer.forget_jobs(old)

    def _mark_recorded(self) -> None:
        """Let upstreams get work that the stored roster names."""
        for name, upstream in self._dispatcher.upstreams.items():
            if self._roster.names(upstream.entry):
                self._dispatcher.mark_upstream_recorded(name)

    def _expire_ended_jobs(self) -> list[str]:
        cutoff_s = time.time() - self.cfg.status_kept_s
        old = [
            job_id for job_id, ended_s in self._ended_jobs.items() if ended_s < cutoff_s
        ]
        for job_id in old:
            del self._ended_jobs[job_id]
        return old

    # Commits

    def _begin_commit(self, now: float) -> None:
        if not self._committer.may_begin(now):
            return
        while True:
            commit = self._dispatcher.begin_commit(now)
            if commit is None:
                return
            log_left_out(commit)
            self._committer.begin(commit)
            # Callers wait for the ends of jobs; progress of open jobs may wait.
            if not (
                self._committer.has_capacity
                and self._dispatcher.has_ended_jobs_to_commit
            ):
                return

    def _handle_commit_result(self, commit: Commit, is_stored: bool) -> None:
        for job_id in self._dispatcher.finish_commit(commit, is_stored=is_stored):
            log_job_end(self._dispatcher.jobs[job_id], now=read_clock())
        if not is_stored:
            return
        for upstream_id, (incarnation, number) in commit.acknowledged_ends.items():
            agent = self._agents.get(upstream_id)
            if agent is not None:
                agent.acknowledge_ends(incarnation, number)

    # Callbacks of the agents and the advisory pool, on any thread

    def _post_report(self, upstream_id: str, report: UpstreamReport) -> None:
        self._mailbox.post(lambda: self._handle_report(upstream_id, report))

    def _handle_report(self, upstream_id: str, report: UpstreamReport) -> None:
        ended = self._dispatcher.process_report(upstream_id, report, read_clock())
        upstream = self._dispatcher.upstreams.get(upstream_id)
        if upstream is not None and not upstream.is_recorded:
            self._roster.mark_outdated()
        if ended:
            log_ends(upstream_id, ended)
        log_losses(self._dispatcher.take_lost_runs())
        log_crashes(self._dispatcher.take_task_crashes())

    def _post_contact_lost(self, upstream_id: str, detail: str) -> None:
        self._mailbox.post(
            lambda: self._dispatcher.mark_unreachable(upstream_id, read_clock())
        )

    def _poll_interval_s(self) -> float:
        fleet_interval_s = len(self._agents) / self.cfg.looks_per_s
        return max(self.cfg.look_gap_s, fleet_interval_s)

    def _post_start_outcome(self, order: StartOrder, outcome: StartOutcome) -> None:
        if outcome is StartOutcome.FENCED:
            self._step_down(f"upstream {order.upstream_id} follows a later decider")
        self._mailbox.post(
            lambda: self._dispatcher.process_start_outcome(order, outcome, read_clock())
        )

    def _post_stop_acknowledged(self, order: StopOrder) -> None:
        self._mailbox.post(
            lambda: self._dispatcher.process_stop_answer(order, read_clock())
        )

    def _handle_advice(
        self, request: AdviceRequest, answer: Result[Advice, str]
    ) -> None:
        if isinstance(answer, Err):
            log_event(
                LOG,
                "decider: advisory call failed",
                request=request.step.job_id,
                step=request.step,
                why=answer.err_value,
            )
            self._mailbox.post(
                lambda: self._dispatcher.process_advice_failure(
                    request.step, read_clock()
                )
            )
            return
        advice = answer.ok_value
        self._mailbox.post(lambda: self._dispatcher.process_advice(advice))

    def _start_watch(self, watch: PrefixWatch) -> None:
        interval_s = INTAKE_WATCH_INTERVAL_S if watch.prefix == INTAKE_PREFIX else 0.0
        threading.Thread(
            target=watch.run,
            args=(self._stopped,),
            kwargs={"interval_s": interval_s},
            name=f"watch-{watch.prefix}",
            daemon=True,
        ).start()

    def _make_watch(self, prefix: str, revision: int) -> PrefixWatch:
        apply_record = (
            self._apply_intake_record
            if prefix == INTAKE_PREFIX
            else self._apply_registry_record
        )
        return PrefixWatch(
            self._ports.store,
            prefix,
            revision=revision,
            on_change=lambda record: self._mailbox.post(lambda: apply_record(record)),
            on_listing=lambda records: self._mailbox.post(
                lambda: self._apply_listing(prefix, records)
            ),
            on_answered=None if prefix == INTAKE_PREFIX else self._post_registry_read,
        )

    def _post_registry_read(self, sent_s: float, is_answered: bool) -> None:
        self._mailbox.post(lambda: self._record_registry_read(sent_s, is_answered))

    def _record_registry_read(self, sent_s: float, is_answered: bool) -> None:
        self._dispatcher.record_registry_read(
            sent_s, read_clock(), is_answered=is_answered
        )

    def _apply_listing(self, prefix: str, records: list[Record]) -> None:
        """Apply all records of a prefix after its history was compacted."""
        if prefix == self._ports.registry_prefix:
            names = {record.key.removeprefix(prefix) for record in records}
            for name in self._dispatcher.upstreams.keys() - names:
                self._dispatcher.mark_upstream_unlisted(name, read_clock())
            for name in self._registry.list_ids() - names:
                self._registry.forget(name)
            for record in records:
                self._apply_registry_record(record)
            return
        self._early_cancels.replace(
            record for record in records if record.key.startswith(CANCEL_PREFIX)
        )
        for record in records:
            self._apply_intake_record(record)
