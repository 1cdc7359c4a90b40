"""Simulation of VMs, one store and the upstreams, with a clock set by hand."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from papayadyke_clients.store import ErrorKind
from papayadyke_core.jobs import TaskDone, TaskResult
from papayadyke_core.journal import (
    PARTITIONS,
    Answer,
    JobAccepted,
    KeyClaimed,
    KeyReleased,
    Takeover,
    chunk_key,
    decode_chunk,
    decode_manifest,
    decode_segment,
    manifest_key,
    partition_of,
    segment_key,
)
from papayadyke_core.resources import Resources
from papayadyke_core.verdicts import Reason, Refusal, Verdict
from papayadyke_core.workloads import Kind, Workload
from papayadyke_daemon.idempotency import KeyService, KeyServiceSettings
from papayadyke_daemon.jobs import JobHooks, JobService, JobSettings, parse_job
from papayadyke_daemon.journal import JournalSettings, JournalWriter
from papayadyke_standins.store import MemoryStore, StoreService

START_LIMIT_S = 10.0
LEASE_S = 300.0
LEASE_EXPIRY_S = 600.0
UPSTREAMS = ("u0", "u1")
WORKLOADS = {
    "tally": Workload("tally", Kind.BATCH, Resources(100), idempotent=True),
    "order": Workload("order", Kind.BATCH, Resources(100), idempotent=False),
}
KEYS = [
    next(f"{n}-{m}" for m in range(100 * PARTITIONS) if partition_of(f"{n}-{m}") == n)
    for n in (0, 1)
]


class Crash(BaseException):
    """The VM crashed inside a store call."""


class InterruptedStore(MemoryStore):
    """Store client whose n-th next write is interrupted, before or after its effect."""

    def __init__(self, service, client, late_writes):
        super().__init__(service, client=client)
        self.countdown = 0
        self.after = False
        self.interrupt: Any = None
        self.late_writes = late_writes

    def _write(self, operation, key, act):
        is_due = self._is_interrupt_due()
        if is_due and not self.after:
            self._run_interrupt()
        result = super()._write(operation, key, act)
        if result.is_err() and result.unwrap_err().kind is ErrorKind.UNKNOWN:
            self.late_writes.append(act)
        if is_due and self.after:
            self._run_interrupt()
        return result

    def _is_interrupt_due(self):
        if self.interrupt is None:
            return False
        self.countdown -= 1
        return self.countdown < 0

    def _run_interrupt(self):
        interrupt, self.interrupt = self.interrupt, None
        if interrupt is not None:
            interrupt()


@dataclass
class Upstreams:
    """Record of task runs by upstream; asserts that no task runs when it must not."""

    running: dict[str, tuple[str, float]] = field(default_factory=dict)
    ended: dict[str, tuple[str, Answer | None]] = field(default_factory=dict)
    tombstones: set[tuple[str, str]] = field(default_factory=set)
    starts: Counter[Any] = field(default_factory=Counter)
    started_nonces: set[int] = field(default_factory=set)
    unreachable: set[str] = field(default_factory=set)
    attempts: dict[str, set[str]] = field(default_factory=dict)

    def start(self, task_id, upstream, nonce, run_once, sent_s, now):
        """Start a task; False means that it will never run on this upstream."""
        if (task_id, upstream) in self.tombstones or now - sent_s > START_LIMIT_S:
            self.tombstones.add((task_id, upstream))
            return False
        assert task_id not in self.running and task_id not in self.ended
        task = task_id.rsplit(".", 1)[0]
        others = self.attempts.setdefault(task, set())
        assert not others & self.running.keys(), "two attempts at once"
        assert not (run_once and others), "a task that must run once was started again"
        others.add(task_id)
        self.running[task_id] = (upstream, now)
        self.started_nonces.add(nonce)
        return True

    def end(self, task_id, answer):
        """End a running task."""
        upstream, _ = self.running.pop(task_id)
        self.ended[task_id] = (upstream, answer)

    def expire_leases(self, now):
        """Stop the tasks whose lease has expired."""
        for task_id, (_, started) in list(self.running.items()):
            if now - started > LEASE_S:
                self.end(task_id, None)

    def resolve(self, task_id, upstream):
        """Return the outcome of a task; refuse it from now on if it never started."""
        queried = [upstream] if upstream else list(UPSTREAMS)
        run = self.running.get(task_id) or self.ended.get(task_id)
        if run is not None:
            if run[0] in self.unreachable or run[0] not in queried:
                return TaskDone(task_id, TaskResult.LOST)
            if task_id in self.running:
                return TaskDone(task_id, TaskResult.RUNNING, upstream=run[0])
            answer = self.ended[task_id][1]
            result = TaskResult.STOPPED if answer is None else TaskResult.ANSWERED
            return TaskDone(task_id, result, answer, upstream=run[0])
        if self.unreachable & set(queried):
            return TaskDone(task_id, TaskResult.LOST)
        self.tombstones.update((task_id, name) for name in queried)
        return TaskDone(task_id, TaskResult.NOT_STARTED)


class Simulation:
    """State shared by the VMs: clock, store, upstreams and the replies to callers."""

    def __init__(self):
        self.now = 1000.0
        self.late_writes = []
        self.store = StoreService(clock=lambda: self.now, sleep=self.advance)
        self.upstreams = Upstreams()
        self.vms: dict[str, Vm] = {}
        self.incarnations = 0
        self.acknowledged_jobs: dict[str, int] = {}
        self.reported_outcomes: dict[tuple[str, int], Any] = {}
        self.verdicts: dict[int, list[str]] = {}
        self.holders: dict[str, str] = {}
        self.released: set[str] = set()
        self.reported_answers: dict[str, Any] = {}

    def advance(self, seconds):
        """Advance the clock of every VM and upstream."""
        self.now += seconds
        self.upstreams.expire_leases(self.now)

    def stored_entries(self, partition):
        """Return the entries of a partition that the store holds, without faults."""
        state = self.store.state
        entry = state.read(manifest_key(partition))
        if entry is None:
            return []
        manifest = decode_manifest(entry.value)
        entries = []
        for index in range(manifest.chunks):
            key = chunk_key(partition, manifest.snapshot_id, index)
            chunk = state.read(key)
            assert chunk is not None
            entries += [t.entry for t in decode_chunk(chunk.value)]
        number = manifest.through + 1
        while (stored := state.read(segment_key(partition, number))) is not None:
            entries += decode_segment(stored.value).entries
            number += 1
        return entries

    def owner(self, partition):
        """Return the incarnation that appended the last takeover."""
        takeovers = [
            e for e in self.stored_entries(partition) if isinstance(e, Takeover)
        ]
        if takeovers:
            return takeovers[-1].incarnation
        entry = self.store.state.read(manifest_key(partition))
        assert entry is not None
        return decode_manifest(entry.value).incarnation

    def start_vm(self, name):
        """Start a VM, which replaces an earlier one of the same name."""
        self.incarnations += 1
        self.vms[name] = Vm(self, name, str(self.incarnations))
        return self.vms[name]

    def check_accepted(self, partition, job_id):
        """Assert that a job is in the log when its acceptance is reported."""
        entries = self.stored_entries(partition)
        assert any(isinstance(e, JobAccepted) and e.job_id == job_id for e in entries)

    def check_first_claim(self, key, request_id):
        """Assert that a claim is in the log, and that it is the only one.

        A successor may have released it if every upstream refuses it: then the VM
        that was paused before the reply cannot run the request any more.
        """
        holder = None
        for entry in self.stored_entries(partition_of(key)):
            if isinstance(entry, KeyClaimed) and entry.key == key:
                holder = entry.request_id
            if isinstance(entry, KeyReleased) and entry.key == key:
                holder = None
        if holder != request_id:
            assert self.is_refused(request_id), (
                "an acknowledged claim is not in the log"
            )
            return
        earlier = self.holders.get(key)
        assert (
            earlier is None or earlier in self.released or self.is_refused(earlier)
        ), "claimed first twice"
        self.holders[key] = request_id

    def is_refused(self, request_id):
        """Return whether no upstream will ever start a request."""
        task_id = f"{request_id}.0"
        return all((task_id, u) in self.upstreams.tombstones for u in UPSTREAMS)


class Vm:
    """The production services of a VM, run without threads."""

    def __init__(self, simulation, name, incarnation):
        self.simulation = simulation
        self.name = name
        self.incarnation = incarnation
        self.store = InterruptedStore(simulation.store, name, simulation.late_writes)
        settings = JournalSettings(
            vm=name, incarnation=incarnation, compact_segments=4, compact_bytes=4000
        )
        self.journal = JournalWriter(self.store, settings, clock=self.clock)
        self.keys = KeyService(
            self.journal, KeyServiceSettings(), self.resolve_key, clock=self.clock
        )
        self.jobs = JobService(
            self.journal,
            JobSettings(lease_expiry_s=LEASE_EXPIRY_S),
            JobHooks(
                find_workload=WORKLOADS.get,
                submit_task=self.submit_task,
                stop_task=self.stop_task,
                resolve_task=self.resolve_task,
            ),
            clock=self.clock,
        )
        self.queued = []
        self.authorized = []
        self.running = []
        self.requests = []

    def clock(self):
        return self.simulation.now

    def take_over(self, partition):
        """Take over a partition; return whether it is owned afterwards."""
        if partition in self.journal._writer.partitions:
            return True
        result = self.journal._writer.take_over(partition)
        if result.is_err():
            return False
        self.jobs.adopt(result.unwrap())
        self.keys.adopt(result.unwrap())
        return True

    def pump(self, rounds=1):
        """Process the mailboxes of all services, and advance the clock."""
        for _ in range(rounds):
            for mailbox in (self.jobs, self.keys, self.journal):
                mailbox._mailbox.pump()
            self.simulation.advance(0.15)

    def submit_task(self, order, on_done):
        self.queued += [(task, order.workload, on_done) for task in order.tasks]

    def stop_task(self, task_id):
        remaining = []
        for queued in self.queued:
            if queued[0].task_id == task_id:
                queued[2](TaskDone(task_id, TaskResult.NOT_STARTED))
            else:
                remaining.append(queued)
        self.queued = remaining

    def resolve_task(self, task_id, upstream, boot_id, on_done):
        on_done(self.simulation.upstreams.resolve(task_id, upstream))

    def resolve_key(self, key, on_done):
        on_done(self.simulation.upstreams.resolve(key.request_id + ".0", key.upstream))

    def place(self, upstream):
        """Place the first queued task, and request permission to start it."""
        task, workload, on_done = self.queued.pop(0)
        run_once = not WORKLOADS[workload].idempotent
        requested_s = self.simulation.now

        def on_reply(allowed):
            if allowed:
                start = (task, upstream, run_once, on_done, requested_s)
                self.authorized.append(start)
            else:
                on_done(TaskDone(task.task_id, TaskResult.NOT_STARTED))

        self.jobs.authorize_start(task.task_id, upstream, "b1", on_reply)

    def send(self):
        """Send the first authorized task to its upstream."""
        task, upstream, run_once, on_done, sent_s = self.authorized.pop(0)
        nonce = json.loads(task.payload)
        upstreams = self.simulation.upstreams
        if upstream in upstreams.unreachable:
            on_done(TaskDone(task.task_id, TaskResult.LOST, upstream=upstream))
        elif upstreams.start(
            task.task_id, upstream, nonce, run_once, sent_s, self.simulation.now
        ):
            self.running.append((task, upstream, on_done))
        else:
            on_done(TaskDone(task.task_id, TaskResult.NOT_STARTED))

    def finish(self, *, lost, failed):
        """End the first running task: with its answer, a failure, or no answer."""
        task, upstream, on_done = self.running.pop(0)
        upstreams = self.simulation.upstreams
        if task.task_id not in upstreams.running:
            on_done(TaskDone(task.task_id, TaskResult.LOST, upstream=upstream))
            return
        if lost:
            on_done(TaskDone(task.task_id, TaskResult.LOST, upstream=upstream))
            return
        answer = Answer(500 if failed else 200, "application/json", task.payload)
        upstreams.end(task.task_id, None if failed else answer)
        result = TaskResult.FAILED if failed else TaskResult.ANSWERED
        on_done(TaskDone(task.task_id, result, answer, upstream=upstream))

    def submit(self, nonce, workload, tasks, gang, key):
        """Submit a job; its reply is checked on arrival."""
        body = {"workload": workload, "tasks": [{"payload": nonce}] * tasks}
        body |= {"gang": gang, "deadline_seconds": 200_000}
        if key:
            body["idempotency_key"] = key
        model = parse_job(json.dumps(body).encode()).unwrap()
        verdicts = self.simulation.verdicts.setdefault(nonce, [])
        index = len(verdicts)
        verdicts.append("pending")
        self.jobs._mailbox.post(
            lambda: self.jobs._submissions.submit(
                model, lambda r: self._check_submitted(nonce, index, r)
            )
        )

    def _check_submitted(self, nonce, index, result):
        simulation = self.simulation
        if result.is_err():
            simulation.verdicts[nonce][index] = result.unwrap_err().verdict
            return
        answer = result.unwrap()
        simulation.verdicts[nonce][index] = "accepted"
        partition = int(answer.job_id[:4])
        if answer.is_new:
            simulation.check_accepted(partition, answer.job_id)
        simulation.acknowledged_jobs[answer.job_id] = nonce

    def show(self, job_id):
        """Show a job, and check that the outcomes reported before have not changed."""
        self.jobs._mailbox.post(
            lambda: self.jobs._get(job_id, 0.0, lambda r: self._check_shown(job_id, r))
        )
        for mailbox in (self.jobs, self.journal, self.jobs):
            mailbox._mailbox.pump()

    def _check_shown(self, job_id, shown):
        if shown.is_err():
            reason = shown.unwrap_err().reason
            assert reason != "unknown_request", "an accepted job is lost"
            return
        # An owner that has not noticed its successor may show an older state.
        is_current = self.simulation.owner(int(job_id[:4])) == self.incarnation
        for task in shown.unwrap().view["tasks"]:
            if task["state"] in ("queued", "starting", "running"):
                reported = self.simulation.reported_outcomes.get(
                    (job_id, task["index"])
                )
                assert reported is None or not is_current, "a reported outcome is lost"
                continue
            reported = self.simulation.reported_outcomes.setdefault(
                (job_id, task["index"]), task
            )
            assert reported == task, "a reported outcome changed"
            self._check_verdict(job_id, task)

    def _check_verdict(self, job_id, task):
        refusal = task.get("refusal")
        if refusal is not None and refusal["verdict"] == "not_run":
            attempts = self.simulation.upstreams.attempts.get(
                f"{job_id}.{task['index']}"
            )
            assert not attempts, "a task reported as not_run was run"

    def claim(self, key, body, request_id):
        """Claim a key for a request; its reply is checked on arrival."""
        entry = KeyClaimed(key, "order", body, request_id, self.name)
        self.keys._mailbox.post(
            lambda: self.keys._claim(entry, lambda r: self._check_claimed(entry, r))
        )

    def _check_claimed(self, entry, result):
        if result.is_err():
            return
        claim = result.unwrap()
        if claim.kind == "first":
            self.simulation.check_first_claim(entry.key, entry.request_id)
            self.requests.append((entry.key, entry.request_id, self.simulation.now))
        if claim.kind == "ended":
            outcome = (claim.answer, claim.refusal)
            assert (
                self.simulation.reported_answers.setdefault(claim.request_id, outcome)
                == outcome
            )

    def run_request(self, upstream, outcome):
        """Run or refuse the first claimed request, and record its outcome."""
        key, request_id, sent_s = self.requests.pop(0)
        upstreams = self.simulation.upstreams
        task_id = request_id + ".0"
        if outcome == "refused" or not upstreams.start(
            task_id, upstream, -1, True, sent_s, self.simulation.now
        ):
            # A request is refused only once no upstream can start it any more.
            upstreams.tombstones.update((task_id, name) for name in UPSTREAMS)
            self.simulation.released.add(request_id)
            self.keys.record(key, request_id, refusal=_refusal())
            return
        self.keys.record_placement(key, request_id, upstream)
        if outcome == "lost":
            return
        answer = Answer(200, "text/plain", request_id.encode())
        upstreams.end(task_id, answer)
        self.keys.record(key, request_id, answer=answer)


def _refusal():
    return Refusal(Verdict.NOT_RUN, Reason.QUEUE_FULL, "full")
