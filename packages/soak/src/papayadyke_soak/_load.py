"""Callers that submit jobs, query and cancel them, and retry."""

from __future__ import annotations

import random
import threading
import time
from dataclasses import replace

import msgspec

from papayadyke_adapter_standins import CallerClient, CallerReply
from papayadyke_core.dispatch import StagedJobSpec, StepSpec
from papayadyke_daemon.edge import read_clock
from papayadyke_soak._faults import LENGTH_S
from papayadyke_soak._keys import APPLY_S, KeyRing, find_team
from papayadyke_soak._ledger import JobRecord, Ledger
from papayadyke_soak._promises import Needs, Promises
from papayadyke_soak._vms import VmProcess

PAUSE_S = (0.05, 0.6)  # seconds between two calls of a caller
MOST_TRIES = 5  # submissions of a job
CANCEL_SHARE = 0.08  # of the jobs
FAIL_SHARE = 0.05  # of the jobs, which can never succeed
DEADLY_SHARE = 0.02  # of the jobs, which crash each upstream that starts them
CRASH_AFTER_S = (0.05, 0.5)  # seconds from the start of such a task to the crash
GANG_SHARE = 0.25  # of the jobs
LONG_CPU_MILLIS = 1000  # that a long task needs, in thousandths of a core
LONG_RUN_S = (4.0, 12.0)  # seconds that a task lasts which outlasts its lease
REPEAT_SHARE = 0.1  # of the accepted submissions are sent again
FORGED_SHARE = 0.03  # of the jobs are sent with a key that no configuration has held
PROBE_SHARE = 0.2  # of the turns of a caller begin with a call with a withdrawn key
# Seconds before a VM's exit at which a request that was sent counts as read.
READ_MARGIN_S = 0.5
# Seconds after a disturbance in which a cut request is no fault of a planned stop.
DISTURBED_S = 5.0


def draw_job(rng: random.Random, queue: str, *, long_share: float = 0.0) -> JobRecord:
    """Return a job of one to three steps, or a gang.

    Parameters
    ----------
    rng : Random
    queue : str
    long_share : float
        Part of the jobs that have one step of long tasks instead, which succeed.
    """
    succeeds = rng.random() >= FAIL_SHARE
    is_gang = rng.random() < GANG_SHARE
    cpu = rng.choice((1000, 2000, 4000, 8000))
    duration_s = rng.uniform(0.1, 1.5)
    count = rng.randint(2, 6) if is_gang else rng.randint(1, 4)
    crash_after_s = None
    if rng.random() < DEADLY_SHARE:
        crash_after_s = rng.uniform(*CRASH_AFTER_S)
    needs = Needs(duration_s, cpu, count if is_gang else 0, succeeds, crash_after_s)
    step = StepSpec(
        count, cpu_millis=cpu, memory_mb=100, estimate_s=duration_s, is_gang=is_gang
    )
    steps = [step]
    if not is_gang:
        for number in range(1, rng.randint(1, 3)):
            steps.append(replace(step, after=(number - 1,)))
    job_id = f"{rng.getrandbits(64):016x}"
    # Drawn apart, so that the other jobs of a seed do not depend on the long ones.
    long_rng = random.Random(job_id)
    if long_rng.random() < long_share:
        duration_s = long_rng.uniform(*LONG_RUN_S)
        succeeds, crash_after_s = True, None
        needs = Needs(duration_s, LONG_CPU_MILLIS)
        steps = [
            StepSpec(
                long_rng.randint(1, 3),
                cpu_millis=LONG_CPU_MILLIS,
                memory_mb=100,
                estimate_s=duration_s,
            )
        ]
    payload = msgspec.json.encode(needs).decode()
    spec = StagedJobSpec(
        job_id, queue, payload, tuple(steps), time.time(), team=find_team(job_id)
    )
    return JobRecord(spec, succeeds and crash_after_s is None)


class Caller:
    """Thread of one caller.

    Parameters
    ----------
    number, seed : int
    vms : list of VmProcess
    clients : list of CallerClient
        One a VM, in the same order.
    ledger : Ledger
    promises : Promises
    keys : KeyRing
    queue : str
    long_share : float
        Part of the jobs that have long tasks.
    """

    def __init__(
        self,
        number: int,
        *,
        seed: int,
        vms: list[VmProcess],
        clients: list[CallerClient],
        ledger: Ledger,
        promises: Promises,
        keys: KeyRing,
        queue: str,
        long_share: float,
    ) -> None:
        self._rng = random.Random(seed * 1000 + number)
        # Separate, so that the jobs of a seed do not depend on the keys.
        self._keys_rng = random.Random(f"{seed} {number} keys")
        self._keys = keys
        self._vms = vms
        self._clients = clients
        self._ledger = ledger
        self._promises = promises
        self._queue = queue
        self._long_share = long_share
        self._open: list[JobRecord] = []
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"caller-{number}", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread after its current call."""
        self._stopped.set()
        self._thread.join(timeout=30.0)

    def _run(self) -> None:
        while not self._stopped.wait(self._rng.uniform(*PAUSE_S)):
            if self._keys_rng.random() < PROBE_SHARE:
                self._probe()
            if self._rng.random() < 0.5 or not self._open:
                record = draw_job(self._rng, self._queue, long_share=self._long_share)
                self._submit(record)
            else:
                self._ask(self._rng.choice(self._open))

    def _probe(self) -> None:
        """Send a withdrawn key to a VM that must know that it is withdrawn."""
        withdrawn = self._keys.list_withdrawn()
        number = self._keys_rng.randrange(len(self._vms))
        vm = self._vms[number]
        settled_s = vm.disturbed_s + LENGTH_S[1]
        sent_s = read_clock()
        due = [
            row.key
            for row in withdrawn
            if sent_s > max(row.withdrawn_s, settled_s) + APPLY_S
        ]
        if due:
            reply = self._clients[number].ask("0" * 16, key=due[-1])
            # A disturbance during the call may have hidden the version again.
            if vm.disturbed_s < sent_s:
                self._promises.answered_withdrawn_key(vm.plan.name, reply.status)

    def _submit(self, record: JobRecord) -> None:
        record.is_forged = self._keys_rng.random() < FORGED_SHARE
        self._ledger.add(record)
        for _ in range(MOST_TRIES):
            if self._stopped.is_set():
                return
            record.tries += 1
            reply = self._call("submit", record)
            if reply.is_done:
                record.accepted_s = read_clock()
                self._open.append(record)
                if self._rng.random() < REPEAT_SHARE:
                    self._call("submit", record)
                return
            if reply.is_refused:
                record.refusals += 1
            pause_s = reply.retry_after_s or 0.2
            self._stopped.wait(pause_s * self._rng.uniform(0.5, 1.5))

    def _ask(self, record: JobRecord) -> None:
        wants_end = self._rng.random() < CANCEL_SHARE and not record.state
        if wants_end:
            record.cancel_sent_s = read_clock()
            if self._call("cancel", record).is_done:
                record.cancelled_s = read_clock()
            return
        reply = self._call("ask", record)
        ask_state(self._promises, record, reply)
        if record.is_ended:
            self._open.remove(record)

    def _call(self, what: str, record: JobRecord) -> CallerReply:
        number = self._rng.randrange(len(self._vms))
        vm, client = self._vms[number], self._clients[number]
        if record.is_forged:
            key = f"forged-{self._keys_rng.getrandbits(64):016x}"
        else:
            key = self._keys.pick(record.spec.team, self._keys_rng.randrange(4))
        sent_s = read_clock()
        if what == "submit":
            reply = client.submit(record.spec, key=key)
        elif what == "cancel":
            reply = client.cancel(record.spec.job_id, key=key)
        else:
            reply = client.ask(record.spec.job_id, key=key)
        if record.is_forged:
            self._promises.answered_forged_key(vm.plan.name, reply.status)
        if reply.is_cut:
            self._judge_cut(vm, sent_s, what)
        return reply

    def _judge_cut(self, vm: VmProcess, sent_s: float, what: str) -> None:
        """Report a request that only a planned stop has cut."""
        stop_s = vm.stop_sent_s
        cut_s = read_clock()
        if stop_s is None or sent_s < stop_s - DISTURBED_S:
            return
        is_read = cut_s - sent_s > READ_MARGIN_S
        is_planned = vm.exit_code in (None, 0)
        if is_read and is_planned and cut_s - vm.disturbed_s > DISTURBED_S:
            self._promises.cut_by_stop(vm.plan.name, what)


def ask_state(promises: Promises, record: JobRecord, reply: CallerReply) -> None:
    """Record the answer to a query for a state."""
    if reply.state is not None:
        promises.told(record, reply.state)
    elif reply.is_unknown_job:
        promises.told_unknown(record)
