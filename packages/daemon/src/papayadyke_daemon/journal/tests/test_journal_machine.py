"""State machine test of the log writer, its successors and the store under faults."""

from __future__ import annotations

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from papayadyke_daemon.journal.tests.journal_simulation import (
    KEYS,
    UPSTREAMS,
    WORKLOADS,
    Crash,
    Simulation,
)
from papayadyke_standins.store import Faults

NAMES = ("vm0", "vm1", "vm2")
PARTITIONS = (0, 1)
RECOVERY_ROUNDS = 2_000
vm_names = st.sampled_from(NAMES)
counts: Counter[str] = Counter()


class JournalMachine(RuleBasedStateMachine):
    """Run jobs and keys on three VMs, two partitions and two upstreams."""

    @initialize()
    def start(self):
        self.simulation = Simulation()
        self.nonce = 0
        for name in NAMES:
            self.simulation.start_vm(name)
        for partition in PARTITIONS:
            self.simulation.vms["vm0"].take_over(partition)

    def _run(self, name, act):
        counts["steps"] += 1
        vm = self.simulation.vms[name]
        try:
            act(vm)
        except Crash:
            counts["crashes in a call"] += 1
            self.simulation.start_vm(name)

    def _choose_vm(self, name, partition):
        """Return `vm2` if it was drawn, and otherwise the owner of the partition."""
        if name == "vm2":
            return name
        owner = self.simulation.owner(partition)
        return next(
            (n for n, vm in self.simulation.vms.items() if vm.incarnation == owner),
            name,
        )

    @rule(name=vm_names, rounds=st.integers(1, 8))
    def pump(self, name, rounds):
        self._run(name, lambda vm: vm.pump(rounds))

    @rule(
        name=vm_names,
        workload=st.sampled_from(sorted(WORKLOADS)),
        tasks=st.integers(1, 2),
        gang=st.booleans(),
        key=st.sampled_from(["", *KEYS]),
    )
    def submit(self, name, workload, tasks, gang, key):
        self.nonce += 1
        nonce = 10_000 + nonce_offset(key, workload) if key else self.nonce
        name = self._choose_vm(name, PARTITIONS[0] if not key else KEYS.index(key))
        self._run(name, lambda vm: vm.submit(nonce, workload, tasks, gang, key))
        self._run(name, lambda vm: vm.pump(3))

    @rule(name=vm_names, key=st.sampled_from(KEYS), body=st.sampled_from([b"a", b"b"]))
    def claim(self, name, key, body):
        self.nonce += 1
        request_id = f"r{self.nonce}"
        name = self._choose_vm(name, KEYS.index(key))
        self._run(name, lambda vm: vm.claim(key, body, request_id))
        self._run(name, lambda vm: vm.pump(3))

    @rule(name=vm_names, upstream=st.sampled_from(UPSTREAMS))
    def place(self, name, upstream):
        def act(vm):
            while vm.queued:
                vm.place(upstream)

        self._run(name, act)

    @rule(rounds=st.integers(3, 12), lost=st.sampled_from([False, False, True]))
    def progress(self, rounds, lost):
        """Let all VMs process, place, send and finish everything that they have."""

        def act(vm):
            vm.pump(rounds)
            while vm.queued:
                vm.place("u0")
            vm.pump(rounds)
            while vm.authorized:
                vm.send()
            while vm.running:
                vm.finish(lost=lost, failed=False)
            vm.pump(rounds)

        for name in NAMES:
            self._run(name, act)

    @rule(name=vm_names)
    def send(self, name):
        def act(vm):
            while vm.authorized:
                vm.send()

        self._run(name, act)

    @rule(name=vm_names, lost=st.booleans(), failed=st.booleans())
    def finish(self, name, lost, failed):
        if self.simulation.vms[name].running:
            self._run(name, lambda vm: vm.finish(lost=lost, failed=failed))

    @rule(
        name=vm_names,
        upstream=st.sampled_from(UPSTREAMS),
        outcome=st.sampled_from(["answered", "refused", "lost"]),
    )
    def run_request(self, name, upstream, outcome):
        if self.simulation.vms[name].requests:
            self._run(name, lambda vm: vm.run_request(upstream, outcome))

    @rule(name=vm_names, index=st.integers(0, 50))
    def cancel(self, name, index):
        jobs = list(self.simulation.acknowledged_jobs)
        if jobs:
            job_id = jobs[index % len(jobs)]
            self._run(
                name, lambda vm: vm.jobs._cancel(job_id, 0.0, lambda result: None)
            )

    @rule(name=vm_names)
    def show_jobs(self, name):
        for job_id in list(self.simulation.acknowledged_jobs):
            self._run(name, lambda vm, job_id=job_id: vm.show(job_id))

    @rule(name=vm_names, partition=st.sampled_from(PARTITIONS))
    def take_over(self, name, partition):
        counts["takeovers"] += 1
        self._run(name, lambda vm: vm.take_over(partition))

    @rule(name=vm_names, skip=st.integers(0, 3))
    def restart(self, name, skip):
        if skip:
            return
        counts["restarts"] += 1
        self.simulation.start_vm(name)

    @rule(
        name=vm_names,
        countdown=st.integers(0, 3),
        after=st.booleans(),
        event=st.sampled_from(["crash", "race", "pause", "long pause"]),
        other=vm_names,
        partition=st.sampled_from(PARTITIONS),
    )
    def interrupt(self, name, countdown, after, event, other, partition):
        """Schedule an event inside one of the next store writes of a VM."""
        vm = self.simulation.vms[name]
        vm.store.countdown = countdown
        vm.store.after = after
        vm.store.interrupt = lambda: self._interrupt(name, event, other, partition)

    def _interrupt(self, name, event, other, partition):
        counts[f"{event} in a call"] += 1
        if event == "crash":
            raise Crash
        self.simulation.advance(
            {"race": 0.0, "pause": 700.0, "long pause": 4000.0}[event]
        )
        if other == name:
            return
        successor = self.simulation.vms[other]
        successor.store.interrupt = None
        if successor.take_over(partition):
            self.nonce += 1
            successor.submit(self.nonce, "order", 1, False, "")
            successor.pump(30 if event != "race" else 3)

    @rule(
        faults=st.sampled_from(
            [
                *[Faults()] * 12,
                Faults(down=True),
                Faults(delay_s=0.7),
                Faults(lose_answers=1),
                Faults(lose_writes=1),
                Faults(lose_answers=2, lose_writes=2, stale_reads=4, stale_changes=3),
                Faults(stale_reads=6, stale_changes=9),
                Faults(cut_clients=("vm0",)),
                Faults(cut_clients=("vm1",), lose_answers=1),
                Faults(writes_per_s=0.5),
            ]
        )
    )
    def change_faults(self, faults):
        counts["store faults"] += faults != Faults()
        self.simulation.store.set_faults(faults)

    @rule()
    def late_write(self):
        """Apply a delayed write whose answer was lost."""
        if not self.simulation.late_writes:
            return
        counts["late writes"] += 1
        self.simulation.late_writes.pop(0)(self.simulation.now)

    @rule(
        unreachable=st.sampled_from([set(), set(), set(), {"u0"}, {"u1"}, {"u0", "u1"}])
    )
    def disconnect_upstreams(self, unreachable):
        counts["upstreams disconnected"] += bool(unreachable)
        self.simulation.upstreams.unreachable = unreachable

    @rule(seconds=st.sampled_from([1.0, 1.0, 20.0, 400.0, 2000.0]))
    def wait(self, seconds):
        self.simulation.advance(seconds)

    def teardown(self):
        if not hasattr(self, "simulation"):
            return
        counts["jobs acknowledged"] += len(self.simulation.acknowledged_jobs)
        counts["outcomes reported"] += len(self.simulation.reported_outcomes)
        counts["keys claimed first"] += len(self.simulation.holders)
        counts["tasks started"] += len(self.simulation.upstreams.attempts)
        self._check_verdicts()
        self._recover()
        self._check_verdicts()

    def _recover(self):
        """Check that one VM without faults runs every accepted job to its end."""
        simulation = self.simulation
        simulation.store.set_faults(Faults())
        simulation.upstreams.unreachable = set()
        vm = simulation.start_vm("vm0")
        for partition in PARTITIONS:
            assert vm.take_over(partition)
        for _ in range(RECOVERY_ROUNDS):
            vm.pump(1)
            simulation.advance(2.0)
            while vm.queued:
                vm.place("u0")
            while vm.authorized:
                vm.send()
            while vm.running:
                vm.finish(lost=False, failed=False)
            if not any(
                partition_jobs.open_ids
                for partition_jobs in vm.jobs._table.partitions.values()
            ):
                break
        for job_id in list(simulation.acknowledged_jobs):
            vm.show(job_id)
            view = vm.jobs._show(job_id).unwrap().view
            assert view["state"] in ("finished", "cancelled")

    def _check_verdicts(self):
        for nonce, verdicts in self.simulation.verdicts.items():
            if set(verdicts) == {"not_run"}:
                started = self.simulation.upstreams.started_nonces
                assert nonce not in started, "a job refused as not_run was run"


def nonce_offset(key, workload):
    return 2 * KEYS.index(key) + sorted(WORKLOADS).index(workload)


TestJournalMachine = JournalMachine.TestCase
TestJournalMachine.settings = settings(max_examples=40, stateful_step_count=40)
