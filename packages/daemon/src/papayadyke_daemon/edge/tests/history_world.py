"""VMs, upstreams and the store in virtual time, with the rules that must hold.

The leadership, the decider with its dispatcher, agents, committer and watches, and the
intake of each VM are the real ones; their threads are replaced by calls that the world
makes in a random order. The store and the upstreams follow the platform's rules.
`HistoryRules` judges what the upstreams and the callers see.
"""

from __future__ import annotations

import logging
import random
import threading
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

from result import Err, Ok

from papayadyke_core.dispatch import (
    Catalog,
    JobState,
    QueuePolicy,
    RunEnd,
    StagedJobSpec,
    StepSpec,
    UpstreamEntry,
)
from papayadyke_core.resources import Resources
from papayadyke_core.teams import TeamPolicy
from papayadyke_core.verdicts import Verdict
from papayadyke_daemon.edge import (
    EdgePorts,
    EdgeSettings,
    Intake,
    StoreError,
    Write,
    _agents,
    _committer,
    _contact,
    _decider,
    _job_store,
    _leadership,
    _learned,
    _relays,
    _roster,
)
from papayadyke_daemon.edge._contact import StoreContact
from papayadyke_daemon.edge._decider import Decider
from papayadyke_daemon.edge._intake import IntakeDependencies
from papayadyke_daemon.edge._leadership import Leadership
from papayadyke_daemon.edge._messages import (
    Ack,
    Cancelled,
    StoreCancel,
    StoreJob,
    StoreReply,
    Submitted,
)
from papayadyke_daemon.edge._peers import PeerClients
from papayadyke_daemon.edge._relays import RelayGate
from papayadyke_daemon.edge._reports import StoreReport, StoreReports
from papayadyke_daemon.edge.tests.history_rules import HistoryRules
from papayadyke_daemon.edge.tests.virtual_store import (
    CallFault,
    StoreClient,
    VirtualStore,
)
from papayadyke_daemon.edge.tests.virtual_upstream import UpstreamCalls, VirtualUpstream
from papayadyke_daemon.peers._messages import CallError

QUEUE = QueuePolicy("queue", "host", "/queue/", "service", 0, 2, 2.0, 1.0)
TEAMS = ("one", "other")
CATALOG_DELAY_S = 2.0  # longest time until a running VM uses a new configuration
REGISTRY_PREFIX = "upstreams/"
CPU_MILLIS = 4000  # of each upstream; a task needs a quarter
RUN_S = 0.8  # duration of a task's work, in seconds
GANG_TIMEOUT_S = 3.0  # for which a member of a gang waits for the others
DEADLY_S = 0.2  # from the start of a deadly task to the crash of its upstream
DOWN_S = (2.0, 4.0)  # for which a crashed upstream is away, in seconds
RENAMED_SHARE = 0.5  # of the crashed upstreams are back under another id
HEARTBEAT_S = 1.5  # until an upstream tells a change of its capacity
PAUSE_S = 4.0  # of a VM between the check of a permission and the call
SUBSTEP_S = 0.1  # longest time between two turns of the VMs
DISTURBED_TURN = 0.7  # probability that a part of a VM gets its turn in a substep
WALL_ORIGIN_S = 1_700_000_000.0


class VirtualEvent:
    """Event whose waits return at once."""

    def __init__(self):
        self._is_set = False

    def is_set(self):
        return self._is_set

    def set(self):
        self._is_set = True

    def clear(self):
        self._is_set = False

    def wait(self, timeout=None):
        return self._is_set


class InlineThread:
    """Thread that runs to its end when it is started."""

    def __init__(self, target, args=(), kwargs=None, name="", daemon=True):
        self._run = lambda: target(*args, **(kwargs or {}))

    def start(self):
        self._run()

    def join(self, timeout=None):
        pass

    def is_alive(self):
        return False


class VirtualVm:
    """One VM: its leadership, intake and, in a term, its decider."""

    def __init__(self, world, name):
        self.name = name
        self.world = world
        self.is_up = True
        self.is_running = False
        self.paused_until_s = 0.0
        self.decider: Decider | None = None
        self.reports = StoreReports()
        self.store = StoreClient(
            world.store, next_fault=world.take_store_fault, pause=self.pause
        )
        self.contact = StoreContact(self.store)
        self.relay_gate = RelayGate(lambda: self.contact.doubted_s)
        ports = EdgePorts(
            store=self.contact.store,
            connect_upstream=self._connect,
            request_advice=lambda step, names: Err("no advisory service"),
            decode_catalog=lambda data: None,
            decode_upstream=self._decode_upstream,
            catalog_key="config",
            registry_prefix=REGISTRY_PREFIX,
        )
        self.ports = ports
        self.cfg = EdgeSettings(
            vm=name,
            availability_zone="zone",
            host=name,
            callers_port=0,
            readiness_port=0,
            peers_port=0,
            strength=2.0,
        )
        self.leadership = Leadership(
            self.cfg,
            ports,
            contact=self.contact,
            may_lead=lambda: True,
            start_decider=self._start_decider,
            stop_decider=self._stop_decider,
            peers_lost_store=self._peers_lost_store,
        )
        self.intake = Intake(
            ports,
            cast(PeerClients, self),
            IntakeDependencies(
                lambda: self.decider,
                lambda: self.leadership.known_decider,
                self.contact,
                self.relay_gate,
            ),
        )
        self.catalog = self.intake.catalog = world.catalog

    def pause(self):
        """Pause this VM in the middle of a call while the others go on."""
        if self.world.is_nested:
            return
        self.paused_until_s = self.world.now + PAUSE_S
        self.world.run_nested(PAUSE_S)

    def can_run(self):
        return self.is_up and self.world.now >= self.paused_until_s

    def run(self, rng, turn):
        """Give each part of the VM its turn with a probability, in a random order."""
        parts: list[Callable[[], object]] = [
            self._lead_or_follow,
            self._send_heartbeat,
            self.contact.check,
            self.intake.notifier.send_pending,
        ]
        decider = self.decider
        if decider is not None:
            parts += [partial(self._run_agent, a) for a in decider._agents.values()]
            parts += [watch.call_once for watch in decider._watches]
            parts += [partial(self._commit, decider), partial(self._pump, decider)]
        rng.shuffle(parts)
        for part in parts:
            if rng.random() < turn and self.can_run():
                part()

    def call(self, address, message, *, timeout_s=0.0):
        """Call the VM at an address, in place of `PeerClients`."""
        vm = self.world.vms.get(address.partition(":")[0])
        if vm is None or vm is self or not vm.can_run():
            return Err(CallError(Verdict.NOT_RUN, "no answer"))
        if (self.name, vm.name) in self.world.cut_peers:
            return Err(CallError(Verdict.NOT_RUN, "no answer"))
        return Ok(vm.answer(message))

    def answer(self, message):
        match message:
            case Submitted():
                return Ack(self.intake.submit_stored_jobs(message.jobs))
            case Cancelled():
                if self.decider is not None:
                    for job_id in message.job_ids:
                        self.decider.cancel(job_id)
                return Ack(self.decider is not None)
            case StoreJob():
                outcome = self.intake.accept_encoded(
                    message.job, checks_owner=message.checks_owner
                )
                return StoreReply(outcome)
            case StoreCancel():
                outcome = self.intake.cancel(
                    message.job_id, team=message.team, may_relay=False
                )
                return StoreReply(outcome)
        return Ack(False)

    def _lead_or_follow(self):
        if self.leadership.is_decider:
            self.leadership.lead_once()
        else:
            self.leadership.follow_once()

    def _send_heartbeat(self):
        known = self.leadership.known_decider
        vm = self.world.vms.get(known.vm)
        if vm is None or vm is self or not vm.is_up:
            return
        if (self.name, vm.name) in self.world.cut_peers:
            return
        has_lost_store = self.leadership.begin_report()
        # A heartbeat to a paused VM waits in its socket until it resumes.
        self.world.deliver(
            vm,
            lambda: vm.reports.record(
                self.name, StoreReport(vm.world.now, has_lost_store, known.token)
            ),
        )
        self.leadership.end_report(is_sent=True)
        if vm.can_run() and vm.decider is not None:
            is_active = vm.leadership.may_issue_orders()
            if is_active:
                self.relay_gate.record_reply(
                    self.world.now, reaches_store=vm.contact.is_reached
                )

    def _run_agent(self, agent):
        if self.world.rng.random() < 0.5:
            agent.poll_once()
        while agent.has_orders() and self.can_run():
            agent.send_next()

    def _commit(self, decider: Decider) -> None:
        if decider._committer.has_commit():
            decider._committer.write_next()

    def _pump(self, decider: Decider) -> None:
        if self.decider is decider:
            decider._mailbox.pump()

    def _start_decider(self, term):
        decider = Decider(
            self.cfg,
            self.ports,
            cast(PeerClients, self),
            term=term,
            may_issue_orders=self.leadership.may_issue_orders,
            has_valid_lease=self.leadership.has_valid_lease,
            step_down=self.leadership.step_down,
        )
        if not decider.load(self.catalog):
            decider.stop()
            return False
        self.decider = decider
        return True

    def use_catalog(self, catalog):
        """Use a configuration unless a newer one is in force."""
        if catalog.version > self.catalog.version:
            self.catalog = self.intake.catalog = catalog
            if self.decider is not None:
                self.decider.set_catalog(catalog)

    def _stop_decider(self):
        decider, self.decider = self.decider, None
        if decider is not None:
            decider.stop()

    def _peers_lost_store(self):
        return self.reports.is_store_lost_for_peers(
            self.world.now,
            token=self.leadership.known_decider.token,
            vms=len(self.world.vms) - 1,
        )

    def _connect(self, entry):
        return UpstreamCalls(
            self.world.upstreams[entry.upstream_id],
            next_fault=self.world.take_upstream_fault,
            pause=self.pause,
        )

    def _decode_upstream(self, name, data):
        state, _, capacity = data.decode().partition(" ")
        if state not in ("ready", "draining"):
            return Err(f"the state is {state}")
        return Ok(
            UpstreamEntry(
                name,
                "service",
                f"{name.partition('-')[0]}:1",
                "zone",
                int(capacity),
                100_000,
                is_draining=state == "draining",
            )
        )


@dataclass
class FaultQueue:
    """Faults to come, each after a number of calls without a fault."""

    rows: list[list] = field(default_factory=list)

    def add(self, fault, after):
        self.rows.append([after, fault])

    def take(self):
        if not self.rows:
            return None
        self.rows[0][0] -= 1
        return self.rows.pop(0)[1] if self.rows[0][0] < 0 else None


class HistoryWorld:
    """All VMs, upstreams and the store.

    Parameters
    ----------
    vms, upstreams : int
    """

    def __init__(self, *, vms=3, upstreams=3):
        self.now = 1000.0
        self.wall_offset_s = 0.0
        self.rng = random.Random(0)
        self.is_nested = False
        self.cut_peers: set[tuple[str, str]] = set()
        self.mail: list[tuple[VirtualVm, Callable[[], object]]] = []
        self.scheduled: list[tuple[float, Callable[[], object]]] = []
        self.store_faults = FaultQueue()
        self.upstream_faults = FaultQueue()
        self.fail_share = 0.0
        self.deadly_jobs: set[str] = set()
        self.began_s: dict[tuple, float] = {}
        self.catalog = Catalog(1, {QUEUE.key: QUEUE}, teams=make_teams(0, 0))
        # Configurations, and from when on they were in force.
        self.catalogs = [(self.now, self.catalog)]
        self._patches = self._patch()
        self.rules = HistoryRules(self, max_attempts=QUEUE.max_attempts)
        self.store = VirtualStore(self.rules.check_commit, now=self.now)
        self.upstreams = {
            f"u{n}": VirtualUpstream(f"u{n}", CPU_MILLIS, self.rules, now=self.now)
            for n in range(upstreams)
        }
        # The present upstream of each address, under the id that it had at first.
        self.addresses = dict(self.upstreams)
        self.vms: dict[str, VirtualVm] = {}
        for name in self.upstreams:
            self.list_upstream(name)
        for number in range(vms):
            self.boot(f"vm{number}")

    def close(self):
        """Restore what the world has replaced."""
        for patch in self._patches:
            patch.stop()
        logging.disable(logging.NOTSET)

    # Events

    def boot(self, name):
        """Start a new process on a VM."""
        self.vms[name] = VirtualVm(self, name)

    def kill(self, name):
        self.vms[name].is_up = False

    def list_upstream(self, name, state="ready"):
        """Write an upstream's entry in the registry, unless it is gone."""
        if self.upstreams[name].is_gone:
            return
        upstream = self.upstreams[name]
        upstream.is_draining = state == "draining"
        value = f"{state} {upstream.cpu_millis}".encode()
        self.store.write([Write(REGISTRY_PREFIX + name, value)], [], [])

    def resize(self, upstream, cpu_millis):
        """Change the capacity of an upstream, which its next heartbeat tells."""
        upstream.resize(cpu_millis)
        state = "draining" if upstream.is_draining else "ready"
        name = upstream.upstream_id
        self.schedule(HEARTBEAT_S, lambda: self.list_upstream(name, state))

    def set_limits(self, *cores, delay_s=CATALOG_DELAY_S):
        """Store other limits of the teams, which the VMs use after some time."""
        catalog = replace(
            self.catalog, version=self.catalog.version + 1, teams=make_teams(*cores)
        )
        self.catalog = catalog
        self.catalogs.append((self.now, catalog))
        for vm in self.vms.values():
            after_s = self.rng.uniform(0.0, delay_s)
            use = partial(self.deliver, vm, partial(vm.use_catalog, catalog))
            self.schedule(after_s, use)

    def unlist_upstream(self, name):
        self.store.write([], [], [REGISTRY_PREFIX + name])

    def schedule(self, seconds, event):
        """Let an event happen after some seconds."""
        self.scheduled.append((self.now + seconds, event))

    def deliver(self, vm, message):
        """Run a message at a VM at once, or when it resumes."""
        if vm.can_run():
            message()
        else:
            self.mail.append((vm, message))

    def submit(self, vm_name, job_id, steps, team=""):
        """Hand in a job at a VM; return the outcome."""
        vm = self.vms[vm_name]
        if not vm.can_run():
            return None
        payload = f"payload of {job_id}"
        spec = StagedJobSpec(
            job_id, QUEUE.key, payload, steps, self.read_wall(), team=team
        )
        self.rules.sent(spec)
        outcome = vm.intake.accept(spec)
        self.rules.answered(job_id, outcome)
        return outcome

    def cancel(self, vm_name, job_id):
        vm = self.vms[vm_name]
        if vm.can_run():
            self.rules.cancelling(job_id)
            team = self._find_team(job_id)
            outcome = vm.intake.cancel(job_id, team=team)
            self.rules.cancelled(job_id, outcome, team)

    def look_up(self, vm_name, job_id):
        """Read the state of a job at a VM, and judge it."""
        vm = self.vms[vm_name]
        if vm.can_run():
            self.rules.check_state(job_id, self._read_state(vm, job_id))

    # Time

    def read_clock(self):
        return self.now

    def read_wall(self):
        return WALL_ORIGIN_S + self.now + self.wall_offset_s

    def step(self, seconds, *, seed=0, turn=DISTURBED_TURN):
        """Advance the time, with turns of all VMs in between."""
        self.rng = random.Random(seed)
        self._run(seconds, turn)

    def run_nested(self, seconds):
        """Let all others run while a call of a paused VM has not been sent yet."""
        self.is_nested = True
        try:
            self._run(seconds, DISTURBED_TURN)
        finally:
            self.is_nested = False

    def _run(self, seconds, turn):
        end_s = self.now + seconds
        while self.now < end_s - 1e-9:
            self.now = min(end_s, self.now + self.rng.uniform(0.02, SUBSTEP_S))
            self.store.advance(self.now)
            for upstream in self.upstreams.values():
                upstream.advance(self.now)
            self._run_scheduled()
            self._deliver_mail()
            self._finish_runs()
            vms = list(self.vms.values())
            self.rng.shuffle(vms)
            for vm in vms:
                if vm.can_run() and not vm.is_running:
                    vm.is_running = True
                    try:
                        vm.run(self.rng, turn)
                    finally:
                        vm.is_running = False

    def _run_scheduled(self):
        due = [event for due_s, event in self.scheduled if due_s <= self.now]
        self.scheduled = [row for row in self.scheduled if row[0] > self.now]
        for event in due:
            event()

    def _deliver_mail(self):
        mail, self.mail = self.mail, []
        for vm, message in mail:
            self.deliver(vm, message)

    def _finish_runs(self):
        """End the runs whose work is over, and members of gangs that wait in vain."""
        running = [
            (upstream, task, attempt)
            for upstream in self.upstreams.values()
            for task, attempt in upstream.running.items()
        ]
        keys = {(u.upstream_id, u.incarnation, t, a) for u, t, a in running}
        self.began_s = {k: at_s for k, at_s in self.began_s.items() if k in keys}
        for upstream, task, attempt in running:
            if upstream.running.get(task) != attempt:
                continue
            key = (upstream.upstream_id, upstream.incarnation, task, attempt)
            age_s = self.now - self.began_s.setdefault(key, self.now)
            if task.job_id in self.deadly_jobs:
                if age_s > DEADLY_S:
                    self.crash(upstream, self.rng.uniform(*DOWN_S))
                continue
            members = self.rules.list_gang(task)
            present = [r for r in running if r[1] in members and r[2] == attempt]
            if len(present) < len(members):
                if age_s > GANG_TIMEOUT_S:
                    upstream.end(task, RunEnd.ALONE)
            elif age_s > RUN_S:
                fails = self.rng.random() < self.fail_share
                for other, member, _ in [present[0]] if fails else present:
                    if member in other.running:
                        other.end(member, RunEnd.FAILED if fails else RunEnd.DONE)

    def crash(self, upstream, seconds):
        """Crash an upstream; it is back under its id or under another one.

        The other members of its gangs end.
        """
        gangs = [self.rules.list_gang(task) for task in upstream.running]
        upstream.crash_for(seconds)
        members = {task for gang in gangs for task in gang}
        for other in self.upstreams.values():
            for task in [task for task in other.running if task in members]:
                other.end(task, RunEnd.BROKEN)
        if self.rng.random() < RENAMED_SHARE:
            self._replace(upstream, seconds)

    def _replace(self, upstream, seconds):
        """Remove an upstream; after some seconds another one has its address."""
        upstream.is_gone = True
        address = upstream.upstream_id.partition("-")[0]
        name = f"{address}-{len(self.upstreams)}"
        later = VirtualUpstream(name, CPU_MILLIS, self.rules, now=self.now)
        later.back_s = self.now + seconds
        self.upstreams[name] = self.addresses[address] = later
        self.unlist_upstream(upstream.upstream_id)
        self.schedule(seconds, lambda: self.list_upstream(name))

    def take_store_fault(self):
        return self.store_faults.take()

    def take_upstream_fault(self):
        return self.upstream_faults.take()

    # The end of a history

    def heal(self):
        """End all faults."""
        self.scheduled.clear()
        self.set_limits(0, 0, delay_s=0.0)
        self.store_faults.rows.clear()
        self.upstream_faults.rows.clear()
        self.cut_peers.clear()
        self.fail_share = 0.0
        self.store.is_down = False
        for upstream in self.upstreams.values():
            upstream.is_cut = False
            upstream.back_s = None
            upstream.resize(CPU_MILLIS)
            if not upstream.is_gone:
                self.list_upstream(upstream.upstream_id)
        for name, vm in list(self.vms.items()):
            vm.paused_until_s = 0.0
            vm.store.is_cut = False
            if not vm.is_up:
                self.boot(name)

    def settle(self, seconds=60.0):
        """Run without faults until all jobs have ended; judge what is left."""
        self.heal()
        end_s = self.now + seconds
        while self.now < end_s and not self.rules.all_ended(self._read_states()):
            self.step(1.0, seed=int(self.now), turn=1.0)
        # Runs that are no longer needed are stopped, and all ends are acknowledged.
        self.step(6.0, seed=1, turn=1.0)
        self.rules.check_settled(self._read_states())

    def _read_states(self) -> dict[str, JobState | StoreError | None]:
        vm = next(iter(self.vms.values()))
        return {job_id: self._read_state(vm, job_id) for job_id in self.rules.jobs}

    def _read_state(self, vm, job_id):
        return vm.intake.get_state(job_id, self._find_team(job_id))

    def _find_team(self, job_id):
        job = self.rules.jobs.get(job_id)
        return "" if job is None else job.spec.team

    def _patch(self):
        clock = self.read_clock
        threads: Any = SimpleNamespace(
            Thread=InlineThread, Event=VirtualEvent, Lock=threading.Lock
        )
        wall: Any = SimpleNamespace(time=self.read_wall, sleep=lambda seconds: None)
        patches = [
            mock.patch.object(module, "read_clock", clock)
            for module in (
                _agents,
                _committer,
                _contact,
                _decider,
                _job_store,
                _leadership,
                _relays,
                _roster,
            )
        ]
        patches += [
            mock.patch.object(module, "threading", new=threads)
            for module in (
                _agents,
                _contact,
                _decider,
                _leadership,
                _learned,
                _roster,
            )
        ]
        patches += [
            mock.patch.object(module, "time", new=wall)
            for module in (_contact, _decider, _job_store)
        ]
        for patch in patches:
            patch.start()
        logging.disable(logging.CRITICAL)
        return patches


def make_teams(*cores):
    """Return the teams with their limits in cores; 0 is none."""
    return {
        name: TeamPolicy(name, 1.0, Resources(limit * 1000))
        for name, limit in zip(TEAMS, cores, strict=True)
    }


def make_step(count=1, **changes):
    """Return a step whose tasks each need a quarter of an upstream."""
    return StepSpec(
        count, cpu_millis=CPU_MILLIS // 4, memory_mb=100, estimate_s=RUN_S, **changes
    )


__all__ = ["CPU_MILLIS", "TEAMS", "CallFault", "HistoryWorld", "make_step"]
