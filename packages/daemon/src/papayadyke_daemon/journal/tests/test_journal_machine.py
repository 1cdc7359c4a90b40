"""Writer, successors and store under every fault, as a state machine."""

from __future__ import annotations

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from papayadyke_daemon.journal.tests.journal_world import (
    KEYS,
    UPSTREAMS,
    WORKLOADS,
    Crash,
    World,
)
from papayadyke_standins.store import Faults

NAMES = ("vm0", "vm1", "vm2")
PARTITIONS = (0, 1)
HEAL_ROUNDS = 2_000
vm_names = st.sampled_from(NAMES)
counts: Counter[str] = Counter()


class JournalMachine(RuleBasedStateMachine):
    """Jobs and keys on three VMs, two partitions and two upstreams."""

    @initialize()
    def begin(self):
        self.world = World()
        self.nonce = 0
        for name in NAMES:
            self.world.boot(name)
        for partition in PARTITIONS:
            self.world.vms["vm0"].take_over(partition)

    def _run(self, name, act):
        counts["steps"] += 1
        vm = self.world.vms[name]
        try:
            act(vm)
        except Crash:
            counts["crashes in a call"] += 1
            self.world.boot(name)

    def _home(self, name, partition):
        """Return the VM itself for `vm2`, and else the owner of the partition."""
        if name == "vm2":
            return name
        owner = self.world.owner(partition)
        return next(
            (n for n, vm in self.world.vms.items() if vm.incarnation == owner), name
        )

    @rule(name=vm_names, rounds=st.integers(1, 8))
    def work(self, name, rounds):
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
        nonce = 10_000 + hash_of(key, workload) if key else self.nonce
        name = self._home(name, PARTITIONS[0] if not key else KEYS.index(key))
        self._run(name, lambda vm: vm.submit(nonce, workload, tasks, gang, key))
        self._run(name, lambda vm: vm.pump(3))

    @rule(name=vm_names, key=st.sampled_from(KEYS), body=st.sampled_from([b"a", b"b"]))
    def claim(self, name, key, body):
        self.nonce += 1
        request_id = f"r{self.nonce}"
        name = self._home(name, KEYS.index(key))
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
        """Do everything that healthy VMs do for a while."""

        def act(vm):
            vm.pump(rounds)
            while vm.queued:
                vm.place("u0")
            vm.pump(rounds)
            while vm.sending:
                vm.send()
            while vm.running:
                vm.finish(lost=lost, failed=False)
            vm.pump(rounds)

        for name in NAMES:
            self._run(name, act)

    @rule(name=vm_names)
    def send(self, name):
        def act(vm):
            while vm.sending:
                vm.send()

        self._run(name, act)

    @rule(name=vm_names, lost=st.booleans(), failed=st.booleans())
    def finish(self, name, lost, failed):
        if self.world.vms[name].running:
            self._run(name, lambda vm: vm.finish(lost=lost, failed=failed))

    @rule(
        name=vm_names,
        upstream=st.sampled_from(UPSTREAMS),
        how=st.sampled_from(["answered", "refused", "lost"]),
    )
    def run_request(self, name, upstream, how):
        if self.world.vms[name].requests:
            self._run(name, lambda vm: vm.run_request(upstream, how))

    @rule(name=vm_names, index=st.integers(0, 50))
    def cancel(self, name, index):
        jobs = list(self.world.told_jobs)
        if jobs:
            job_id = jobs[index % len(jobs)]
            self._run(
                name, lambda vm: vm.jobs._cancel(job_id, 0.0, lambda result: None)
            )

    @rule(name=vm_names)
    def look(self, name):
        for job_id in list(self.world.told_jobs):
            self._run(name, lambda vm, job_id=job_id: vm.show(job_id))

    @rule(name=vm_names, partition=st.sampled_from(PARTITIONS))
    def take_over(self, name, partition):
        counts["takeovers"] += 1
        self._run(name, lambda vm: vm.take_over(partition))

    @rule(name=vm_names, lot=st.integers(0, 3))
    def die(self, name, lot):
        if lot:
            return
        counts["deaths"] += 1
        self.world.boot(name)

    @rule(
        name=vm_names,
        countdown=st.integers(0, 3),
        after=st.booleans(),
        what=st.sampled_from(["crash", "race", "pause", "long pause"]),
        other=vm_names,
        partition=st.sampled_from(PARTITIONS),
    )
    def interrupt(self, name, countdown, after, what, other, partition):
        """Have something happen inside one of the VM's next store writes."""
        vm = self.world.vms[name]
        vm.store.countdown = countdown
        vm.store.after = after
        vm.store.interrupt = lambda: self._interrupt(name, what, other, partition)

    def _interrupt(self, name, what, other, partition):
        counts[f"{what} in a call"] += 1
        if what == "crash":
            raise Crash
        self.world.advance({"race": 0.0, "pause": 700.0, "long pause": 4000.0}[what])
        if other == name:
            return
        successor = self.world.vms[other]
        successor.store.interrupt = None
        if successor.take_over(partition):
            self.nonce += 1
            successor.submit(self.nonce, "order", 1, False, "")
            successor.pump(30 if what != "race" else 3)

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
        self.world.store.set_faults(faults)

    @rule()
    def late_write(self):
        """A write whose answer was lost takes effect only now."""
        if not self.world.late:
            return
        counts["late writes"] += 1
        self.world.late.pop(0)(self.world.now)

    @rule(cut=st.sampled_from([set(), set(), set(), {"u0"}, {"u1"}, {"u0", "u1"}]))
    def cut_upstreams(self, cut):
        counts["upstreams cut off"] += bool(cut)
        self.world.upstreams.cut = cut

    @rule(seconds=st.sampled_from([1.0, 1.0, 20.0, 400.0, 2000.0]))
    def wait(self, seconds):
        self.world.advance(seconds)

    def teardown(self):
        if not hasattr(self, "world"):
            return
        counts["jobs told as accepted"] += len(self.world.told_jobs)
        counts["outcomes told"] += len(self.world.told_final)
        counts["keys claimed first"] += len(self.world.holders)
        counts["tasks started"] += len(self.world.upstreams.attempts)
        self._check_verdicts()
        self._heal()
        self._check_verdicts()

    def _heal(self):
        """Without faults, one VM brings every accepted job to its end."""
        world = self.world
        world.store.set_faults(Faults())
        world.upstreams.cut = set()
        vm = world.boot("vm0")
        for partition in PARTITIONS:
            assert vm.take_over(partition)
        for _ in range(HEAL_ROUNDS):
            vm.pump(1)
            world.advance(2.0)
            while vm.queued:
                vm.place("u0")
            while vm.sending:
                vm.send()
            while vm.running:
                vm.finish(lost=False, failed=False)
            if not any(part.open_ids for part in vm.jobs._book.partitions.values()):
                break
        for job_id in list(world.told_jobs):
            vm.show(job_id)
            view = vm.jobs._show(job_id).unwrap().view
            assert view["state"] in ("finished", "cancelled")

    def _check_verdicts(self):
        for nonce, verdicts in self.world.verdicts.items():
            if set(verdicts) == {"not_run"}:
                ran = self.world.upstreams.ran_nonces
                assert nonce not in ran, "told not_run, and it ran"


def hash_of(key, workload):
    return 2 * KEYS.index(key) + sorted(WORKLOADS).index(workload)


TestJournalMachine = JournalMachine.TestCase
TestJournalMachine.settings = settings(max_examples=40, stateful_step_count=40)
