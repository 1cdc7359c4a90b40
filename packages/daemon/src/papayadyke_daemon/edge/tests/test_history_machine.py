"""Random histories of deciders, upstreams and the store; every rule holds in each.

For a long run: `PAPAYADYKE_STEPS=100 PAPAYADYKE_EXAMPLES=5000 python -m pytest -s
-o timeout=0 -k history_machine --hypothesis-seed=N` from the root prints the steps and
starts so far.
"""

import os

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from papayadyke_daemon.edge.tests.history_world import (
    CPU_MILLIS,
    TEAMS,
    CallFault,
    HistoryWorld,
    make_step,
)

STEPS = int(os.environ.get("PAPAYADYKE_STEPS", "40"))
EXAMPLES = int(os.environ.get("PAPAYADYKE_EXAMPLES", "25"))
MAX_JOBS = 20
VMS, UPSTREAMS = ("vm0", "vm1", "vm2"), ("u0", "u1", "u2")
DURATIONS = st.sampled_from([0.6, 2.0, 4.0, 8.0])  # of a fault, in seconds
SEEDS = st.integers(0, 2**32 - 1)
TOTALS = {"steps": 0, "starts": 0}


class HistoryMachine(RuleBasedStateMachine):
    """Jobs and faults in any order, then a phase without faults in which all end."""

    def __init__(self):
        super().__init__()
        self.world = HistoryWorld()
        self.job_count = 0

    @initialize(seed=SEEDS)
    def begin(self, seed):
        self.world.step(1.0, seed=seed)

    # Callers

    @rule(
        vm=st.sampled_from(VMS),
        count=st.integers(1, 5),
        is_gang=st.booleans(),
        has_second_step=st.booleans(),
        team=st.sampled_from(["", *TEAMS]),
    )
    def submit(self, vm, count, is_gang, has_second_step, team=""):
        if self.job_count >= MAX_JOBS:
            return
        self.job_count += 1
        steps = [make_step(count, is_gang=is_gang)]
        if has_second_step:
            steps.append(make_step(1, after=(0,)))
        self.world.submit(vm, f"j{self.job_count}", tuple(steps), team)

    @rule(vm=st.sampled_from(VMS), count=st.integers(1, 3), is_gang=st.booleans())
    def submit_deadly(self, vm, count, is_gang):
        if self.job_count < MAX_JOBS:
            self.world.deadly_jobs.add(f"j{self.job_count + 1}")
        self.submit(vm, count, is_gang, has_second_step=False)

    @rule(vm=st.sampled_from(VMS))
    def submit_wave(self, vm):
        for count in (1, 4):
            self.submit(vm, count, is_gang=count > 1, has_second_step=True)

    @rule(vm=st.sampled_from(VMS), team=st.sampled_from(TEAMS))
    def submit_more_than_the_limit(self, vm, team):
        for is_gang in (False, False, True):
            self.submit(vm, 4, is_gang=is_gang, has_second_step=False, team=team)

    @rule(one=st.integers(0, 5), other=st.integers(0, 9))
    def set_limits(self, one, other):
        self.world.set_limits(one, other)

    @rule(vm=st.sampled_from(VMS), number=st.integers(1, MAX_JOBS))
    def submit_again(self, vm, number):
        job = self.world.rules.jobs.get(f"j{number}")
        if job is not None:
            self.world.submit(vm, job.spec.job_id, job.spec.steps, job.spec.team)

    @rule(vm=st.sampled_from(VMS), number=st.integers(1, MAX_JOBS))
    def cancel(self, vm, number):
        # At times a job that is handed in next; more of these would refuse most jobs.
        self.world.cancel(vm, f"j{1 + number % (self.job_count + 1)}")

    @rule(vm=st.sampled_from(VMS), number=st.integers(1, MAX_JOBS))
    def look_up(self, vm, number):
        self.world.look_up(vm, f"j{number}")

    # Time

    @rule(seconds=st.sampled_from([0.1, 0.3, 0.3, 1.0, 2.5]), seed=SEEDS)
    def pass_time(self, seconds, seed):
        self.world.step(seconds, seed=seed)

    # Hypothesis picks each rule as often as another; time must pass more often.

    @rule(seed=SEEDS)
    def pass_a_moment(self, seed):
        self.world.step(0.3, seed=seed)

    @rule(seed=SEEDS)
    def pass_a_second(self, seed):
        self.world.step(1.0, seed=seed)

    @rule(seconds=st.sampled_from([-5.0, -1.0, 2.0, 5.0]))
    def step_wall_clock(self, seconds):
        self.world.wall_offset_s += seconds

    # Faults of the store

    @rule(expires_leases=st.booleans(), seconds=DURATIONS)
    def take_store_down(self, expires_leases, seconds):
        store = self.world.store
        store.is_down, store.expires_leases = True, expires_leases
        self.world.schedule(seconds, lambda: setattr(store, "is_down", False))

    @rule(vm=st.sampled_from(VMS), seconds=DURATIONS)
    def cut_from_store(self, vm, seconds):
        client = self.world.vms[vm].store
        client.is_cut = True
        self.world.schedule(seconds, lambda: setattr(client, "is_cut", False))

    @rule(fault=st.sampled_from(CallFault), after=st.integers(0, 12))
    def add_store_fault(self, fault, after):
        self.world.store_faults.add(fault, after)

    @rule()
    def compact_history(self):
        self.world.store.state.forget_history()

    # Faults of VMs

    @rule(vm=st.sampled_from(VMS), seconds=DURATIONS)
    def kill(self, vm, seconds):
        if self.world.vms[vm].is_up:
            self.world.kill(vm)
            self.world.schedule(seconds, lambda: self.world.boot(vm))

    @rule(vm=st.sampled_from(VMS), seconds=st.sampled_from([0.8, 2.0, 8.0]))
    def pause(self, vm, seconds):
        self.world.vms[vm].paused_until_s = self.world.now + seconds

    @rule(vm=st.sampled_from(VMS))
    def hand_over(self, vm):
        self.world.vms[vm].leadership.consider_handover("stronger", 100.0)

    @rule(sender=st.sampled_from(VMS), receiver=st.sampled_from(VMS), seconds=DURATIONS)
    def cut_peers(self, sender, receiver, seconds):
        cut, pair = self.world.cut_peers, (sender, receiver)
        cut.add(pair)
        self.world.schedule(seconds, lambda: cut.discard(pair))

    # Faults of upstreams

    @rule(fault=st.sampled_from(CallFault), after=st.integers(0, 12))
    def add_upstream_fault(self, fault, after):
        self.world.upstream_faults.add(fault, after)

    @rule(name=st.sampled_from(UPSTREAMS))
    def crash(self, name):
        self.world.addresses[name].crash()

    @rule(names=st.sets(st.sampled_from(UPSTREAMS), min_size=1), seconds=DURATIONS)
    def lose_power(self, names, seconds):
        for name in sorted(names):
            self.world.crash(self.world.addresses[name], seconds)

    @rule(name=st.sampled_from(UPSTREAMS), seconds=DURATIONS)
    def cut_upstream(self, name, seconds):
        self._cut(self.world.addresses[name], seconds)

    @rule(
        name=st.sampled_from(UPSTREAMS),
        after=st.integers(0, 3),
        down_s=st.sampled_from([0.0, 0.6]),
        cut_after_s=st.sampled_from([0.0, 0.3, 1.0, 2.0]),
        seconds=DURATIONS,
    )
    def crash_and_cut(self, name, after, down_s, cut_after_s, seconds):
        """Delay a call, crash an upstream under its id, and cut it off soon after."""
        self.world.upstream_faults.add(CallFault.LATE, after)
        upstream = self.world.addresses[name]
        self.world.schedule(0.3, lambda: upstream.crash_for(down_s))
        self.world.schedule(0.3 + cut_after_s, lambda: self._cut(upstream, seconds))

    def _cut(self, upstream, seconds):
        upstream.is_cut = True
        self.world.schedule(seconds, lambda: setattr(upstream, "is_cut", False))

    @rule(
        name=st.sampled_from(UPSTREAMS),
        state=st.sampled_from(["draining", "unreadable", "gone"]),
        seconds=DURATIONS,
    )
    def change_entry(self, name, state, seconds):
        name = self.world.addresses[name].upstream_id
        if state == "gone":
            self.world.unlist_upstream(name)
        else:
            self.world.list_upstream(name, state)
        self.world.schedule(seconds, lambda: self.world.list_upstream(name))

    @rule(
        name=st.sampled_from(UPSTREAMS),
        cpu_millis=st.sampled_from([0, 1000, 2000, CPU_MILLIS]),
    )
    def resize(self, name, cpu_millis):
        self.world.resize(self.world.addresses[name], cpu_millis)

    @rule(share=st.sampled_from([0.0, 0.0, 0.5]))
    def set_fail_share(self, share):
        self.world.fail_share = share

    def teardown(self):
        """Judge the state that is left once all faults are over."""
        try:
            self.world.settle()
        finally:
            self.world.close()
            TOTALS["starts"] += self.world.rules.starts
            TOTALS["steps"] += STEPS
            if STEPS > 40:
                print(TOTALS)


TestHistoryMachine = HistoryMachine.TestCase
TestHistoryMachine.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
