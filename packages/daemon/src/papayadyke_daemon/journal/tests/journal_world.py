"""VMs over one stand-in store and one record of what ran, on a clock by hand."""

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
LEASE_RUN_OUT_S = 600.0
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
    """The VM died inside a store call."""


class Interrupted(MemoryStore):
    """A client whose n-th next call is interrupted, before or after its effect."""

    def __init__(self, service, client, late):
        super().__init__(service, client=client)
        self.countdown = 0
        self.after = False
        self.interrupt: Any = None
        self.late = late

    def _write(self, operation, key, act):
        hit = self._hit()
        if hit and not self.after:
            self._fire()
        result = super()._write(operation, key, act)
        if result.is_err() and result.unwrap_err().kind is ErrorKind.UNKNOWN:
            self.late.append(act)
        if hit and self.after:
            self._fire()
        return result

    def _hit(self):
        if self.interrupt is None:
            return False
        self.countdown -= 1
        return self.countdown < 0

    def _fire(self):
        interrupt, self.interrupt = self.interrupt, None
        if interrupt is not None:
            interrupt()


@dataclass
class Upstreams:
    """What ran, where and how often; asserts what must never happen."""

    running: dict[str, tuple[str, float]] = field(default_factory=dict)
    ended: dict[str, tuple[str, Answer | None]] = field(default_factory=dict)
    tombstones: set[tuple[str, str]] = field(default_factory=set)
    starts: Counter[Any] = field(default_factory=Counter)
    ran_nonces: set[int] = field(default_factory=set)
    cut: set[str] = field(default_factory=set)
    attempts: dict[str, set[str]] = field(default_factory=dict)

    def start(self, task_id, upstream, nonce, once, sent_s, now):
        """Start a task; False is certain that it never runs here."""
        if (task_id, upstream) in self.tombstones or now - sent_s > START_LIMIT_S:
            self.tombstones.add((task_id, upstream))
            return False
        assert task_id not in self.running and task_id not in self.ended
        task = task_id.rsplit(".", 1)[0]
        others = self.attempts.setdefault(task, set())
        assert not others & self.running.keys(), "two attempts at once"
        assert not (once and others), "a task that must run once was started again"
        others.add(task_id)
        self.running[task_id] = (upstream, now)
        self.ran_nonces.add(nonce)
        return True

    def end(self, task_id, answer):
        """End a running task."""
        upstream, _ = self.running.pop(task_id)
        self.ended[task_id] = (upstream, answer)

    def lapse(self, now):
        """Kill what has outlived its lease."""
        for task_id, (_, started) in list(self.running.items()):
            if now - started > LEASE_S:
                self.end(task_id, None)

    def resolve(self, task_id, upstream):
        """Say what became of a task, and refuse it from now on if nothing did."""
        places = [upstream] if upstream else list(UPSTREAMS)
        known = self.running.get(task_id) or self.ended.get(task_id)
        if known is not None:
            if known[0] in self.cut or known[0] not in places:
                return TaskDone(task_id, TaskResult.LOST)
            if task_id in self.running:
                return TaskDone(task_id, TaskResult.RUNNING, upstream=known[0])
            answer = self.ended[task_id][1]
            result = TaskResult.STOPPED if answer is None else TaskResult.ANSWERED
            return TaskDone(task_id, result, answer, upstream=known[0])
        if self.cut & set(places):
            return TaskDone(task_id, TaskResult.LOST)
        self.tombstones.update((task_id, place) for place in places)
        return TaskDone(task_id, TaskResult.NOT_STARTED)


class World:
    """The shared parts: clock, store, upstreams, and what callers were told."""

    def __init__(self):
        self.now = 1000.0
        self.late = []
        self.store = StoreService(clock=lambda: self.now, sleep=self.advance)
        self.upstreams = Upstreams()
        self.vms: dict[str, Vm] = {}
        self.incarnations = 0
        self.told_jobs: dict[str, int] = {}
        self.told_final: dict[tuple[str, int], Any] = {}
        self.verdicts: dict[int, list[str]] = {}
        self.holders: dict[str, str] = {}
        self.released: set[str] = set()
        self.told_answers: dict[str, Any] = {}

    def advance(self, seconds):
        """Let time pass for all."""
        self.now += seconds
        self.upstreams.lapse(self.now)

    def truth(self, partition):
        """Return the entries of a partition as the store really holds them."""
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
        while (found := state.read(segment_key(partition, number))) is not None:
            entries += decode_segment(found.value).entries
            number += 1
        return entries

    def owner(self, partition):
        """Return the incarnation that appended the last takeover."""
        taken = [e for e in self.truth(partition) if isinstance(e, Takeover)]
        if taken:
            return taken[-1].incarnation
        entry = self.store.state.read(manifest_key(partition))
        assert entry is not None
        return decode_manifest(entry.value).incarnation

    def boot(self, name):
        """Start a VM; one of the same name is gone."""
        self.incarnations += 1
        self.vms[name] = Vm(self, name, str(self.incarnations))
        return self.vms[name]

    def check_accepted(self, partition, job_id):
        """Assert that a job is in the log at the moment it is told of."""
        entries = self.truth(partition)
        assert any(isinstance(e, JobAccepted) and e.job_id == job_id for e in entries)

    def check_first(self, key, request_id):
        """Assert that a claim is in the log, and that it is the only one.

        Or that a successor has released it after every upstream refuses it: the
        VM that was paused with the answer can't run it any more.
        """
        holder = None
        for entry in self.truth(partition_of(key)):
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
        """Tell whether no upstream will ever start a request."""
        task_id = f"{request_id}.0"
        return all((task_id, u) in self.upstreams.tombstones for u in UPSTREAMS)


class Vm:
    """The real services of a VM, without threads."""

    def __init__(self, world, name, incarnation):
        self.world = world
        self.name = name
        self.incarnation = incarnation
        self.store = Interrupted(world.store, name, world.late)
        settings = JournalSettings(
            vm=name, incarnation=incarnation, compact_segments=4, compact_bytes=4000
        )
        self.journal = JournalWriter(self.store, settings, clock=self.clock)
        self.keys = KeyService(
            self.journal, KeyServiceSettings(), self.resolve_key, clock=self.clock
        )
        self.jobs = JobService(
            self.journal,
            JobSettings(lease_run_out_s=LEASE_RUN_OUT_S),
            JobHooks(
                find_workload=WORKLOADS.get,
                submit_task=self.submit_task,
                stop_task=self.stop_task,
                resolve_task=self.resolve_task,
            ),
            clock=self.clock,
        )
        self.queued = []
        self.sending = []
        self.running = []
        self.requests = []

    def clock(self):
        return self.world.now

    def take_over(self, partition):
        """Take a partition over; True where it is owned afterwards."""
        if partition in self.journal._writer.partitions:
            return True
        taken = self.journal._writer.take_over(partition)
        if taken.is_err():
            return False
        self.jobs.adopt(taken.unwrap())
        self.keys.adopt(taken.unwrap())
        return True

    def pump(self, rounds=1):
        """Let the services work for a while."""
        for _ in range(rounds):
            for mailbox in (self.jobs, self.keys, self.journal):
                mailbox._mailbox.pump()
            self.world.advance(0.15)

    def submit_task(self, order, on_done):
        self.queued += [(task, order.workload, on_done) for task in order.tasks]

    def stop_task(self, task_id):
        kept = []
        for item in self.queued:
            if item[0].task_id == task_id:
                item[2](TaskDone(task_id, TaskResult.NOT_STARTED))
            else:
                kept.append(item)
        self.queued = kept

    def resolve_task(self, task_id, upstream, on_done):
        on_done(self.world.upstreams.resolve(task_id, upstream))

    def resolve_key(self, key, on_done):
        on_done(self.world.upstreams.resolve(key.request_id + ".0", key.upstream))

    def place(self, upstream):
        """Place the first queued task, and ask whether it may start."""
        task, workload, on_done = self.queued.pop(0)
        once = not WORKLOADS[workload].idempotent
        asked_s = self.world.now

        def on_reply(allowed):
            if allowed:
                sent = (task, upstream, once, on_done, asked_s)
                self.sending.append(sent)
            else:
                on_done(TaskDone(task.task_id, TaskResult.NOT_STARTED))

        self.jobs.authorize_start(task.task_id, upstream, on_reply)

    def send(self):
        """Send the first authorized task to its upstream."""
        task, upstream, once, on_done, sent_s = self.sending.pop(0)
        nonce = json.loads(task.payload)
        ups = self.world.upstreams
        if upstream in ups.cut:
            on_done(TaskDone(task.task_id, TaskResult.LOST, upstream=upstream))
        elif ups.start(task.task_id, upstream, nonce, once, sent_s, self.world.now):
            self.running.append((task, upstream, on_done))
        else:
            on_done(TaskDone(task.task_id, TaskResult.NOT_STARTED))

    def finish(self, *, lost, failed):
        """End the first running task, with its answer, a failure or silence."""
        task, upstream, on_done = self.running.pop(0)
        ups = self.world.upstreams
        if task.task_id not in ups.running:
            on_done(TaskDone(task.task_id, TaskResult.LOST, upstream=upstream))
            return
        if lost:
            on_done(TaskDone(task.task_id, TaskResult.LOST, upstream=upstream))
            return
        answer = Answer(500 if failed else 200, "application/json", task.payload)
        ups.end(task.task_id, None if failed else answer)
        result = TaskResult.FAILED if failed else TaskResult.ANSWERED
        on_done(TaskDone(task.task_id, result, answer, upstream=upstream))

    def submit(self, nonce, workload, tasks, gang, key):
        """Submit a job; the reply is checked when it comes."""
        body = {"workload": workload, "tasks": [{"payload": nonce}] * tasks}
        body |= {"gang": gang, "deadline_seconds": 200_000}
        if key:
            body["idempotency_key"] = key
        model = parse_job(json.dumps(body).encode()).unwrap()
        verdicts = self.world.verdicts.setdefault(nonce, [])
        index = len(verdicts)
        verdicts.append("untold")
        self.jobs._mailbox.post(
            lambda: self.jobs._submissions.submit(
                model, lambda r: self._submitted(nonce, index, r)
            )
        )

    def _submitted(self, nonce, index, result):
        world = self.world
        if result.is_err():
            world.verdicts[nonce][index] = result.unwrap_err().verdict
            return
        answer = result.unwrap()
        world.verdicts[nonce][index] = "accepted"
        partition = int(answer.job_id[:4])
        if answer.is_new:
            world.check_accepted(partition, answer.job_id)
        world.told_jobs[answer.job_id] = nonce

    def show(self, job_id):
        """Look at a job; what was told as final must stay."""
        self.jobs._mailbox.post(
            lambda: self.jobs._get(job_id, 0.0, lambda r: self._shown(job_id, r))
        )
        for mailbox in (self.jobs, self.journal, self.jobs):
            mailbox._mailbox.pump()

    def _shown(self, job_id, shown):
        if shown.is_err():
            reason = shown.unwrap_err().reason
            assert reason != "unknown_request", "an accepted job is lost"
            return
        # An owner that has not noticed its successor may show an older state.
        is_current = self.world.owner(int(job_id[:4])) == self.incarnation
        for task in shown.unwrap().view["tasks"]:
            if task["state"] in ("queued", "starting", "running"):
                told = self.world.told_final.get((job_id, task["index"]))
                assert told is None or not is_current, "a told outcome is gone"
                continue
            told = self.world.told_final.setdefault((job_id, task["index"]), task)
            assert told == task, "a told outcome changed"
            self._check_verdict(job_id, task)

    def _check_verdict(self, job_id, task):
        refusal = task.get("refusal")
        if refusal is not None and refusal["verdict"] == "not_run":
            attempts = self.world.upstreams.attempts.get(f"{job_id}.{task['index']}")
            assert not attempts, "told not_run, and it ran"

    def claim(self, key, body, request_id):
        """Claim a key for a request; the reply is checked when it comes."""
        entry = KeyClaimed(key, "order", body, request_id, self.name)
        self.keys._mailbox.post(
            lambda: self.keys._claim(entry, lambda r: self._claimed(entry, r))
        )

    def _claimed(self, entry, result):
        if result.is_err():
            return
        claim = result.unwrap()
        if claim.kind == "first":
            self.world.check_first(entry.key, entry.request_id)
            self.requests.append((entry.key, entry.request_id, self.world.now))
        if claim.kind == "ended":
            told = (claim.answer, claim.refusal)
            assert self.world.told_answers.setdefault(claim.request_id, told) == told

    def run_request(self, upstream, how):
        """Run the first claimed request, or refuse it, and record its end."""
        key, request_id, sent_s = self.requests.pop(0)
        ups = self.world.upstreams
        task_id = request_id + ".0"
        if how == "refused" or not ups.start(
            task_id, upstream, -1, True, sent_s, self.world.now
        ):
            # A refusal is only told where no upstream can start it any more.
            ups.tombstones.update((task_id, place) for place in UPSTREAMS)
            self.world.released.add(request_id)
            self.keys.record(key, request_id, refusal=_refused())
            return
        self.keys.place(key, request_id, upstream)
        if how == "lost":
            return
        answer = Answer(200, "text/plain", request_id.encode())
        ups.end(task_id, answer)
        self.keys.record(key, request_id, answer=answer)


def _refused():
    return Refusal(Verdict.NOT_RUN, Reason.QUEUE_FULL, "full")
