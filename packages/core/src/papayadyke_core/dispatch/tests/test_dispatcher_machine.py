"""Random faults against the dispatcher; the simulation asserts its invariants.

For a long run: `PAPAYADYKE_STEPS=2000 python -m pytest -k dispatcher_machine
--hypothesis-seed=N` from the root; the number of starts is printed with `-s`.
"""

import os

from dispatch_world import (
    QUEUE,
    URGENT_QUEUE,
    World,
    make_catalog,
    make_entry,
    make_job,
    make_step,
)
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from papayadyke_core.dispatch import (
    FINAL_STATES,
    AdvicePolicy,
    JobState,
    RunEnd,
)

STEPS = int(os.environ.get("PAPAYADYKE_STEPS", "60"))
EXAMPLES = int(os.environ.get("PAPAYADYKE_EXAMPLES", "40"))
NAMES = ("a", "b", "c")
MAX_LISTED_ENDS = 3  # at a time, so that ends are often behind a full list
NO_LIMITS = {"one": 0, "other": 0}
SETTLE_S = 40.0  # seconds; well above the time in which leases expire and all jobs end


class DispatcherMachine(RuleBasedStateMachine):
    """Jobs, ends and faults in any order, then a faultless phase in which all end."""

    def __init__(self):
        super().__init__()
        catalog = make_catalog(
            priority=1,
            max_attempts=2,
            advice=AdvicePolicy(0.01, 0.0, 2.0),
            limits=NO_LIMITS,
        )
        self.world = World(catalog, *(make_entry(name) for name in NAMES))
        self.job_count = 0
        for upstream in self.world.upstreams.values():
            upstream.max_listed_ends = MAX_LISTED_ENDS

    @rule(
        task_count=st.integers(1, 6),
        is_gang=st.booleans(),
        has_second_step=st.booleans(),
        spread=st.integers(0, 2),
        team=st.sampled_from(["", *NO_LIMITS]),
        is_checkpointing=st.booleans(),
        queue=st.sampled_from([QUEUE, URGENT_QUEUE]),
    )
    def submit(
        self,
        task_count,
        is_gang,
        has_second_step,
        spread,
        team,
        is_checkpointing,
        queue,
    ):
        if self.job_count >= 12:
            return
        self.job_count += 1
        first = make_step(
            task_count,
            is_gang=is_gang,
            max_per_upstream=spread * 2,
            is_checkpointing=is_checkpointing,
        )
        steps = [first]
        if has_second_step:
            steps.append(make_step(1, after=(0,)))
        self.world.submit(
            make_job(f"j{self.job_count}", *steps, queue=queue, team=team)
        )

    @rule(seconds=st.sampled_from([0.05, 0.05, 0.3, 2.0]))
    def pass_time(self, seconds):
        self.world.step(seconds)

    @rule(pick=st.integers(0, 1000), run_end=st.sampled_from(list(RunEnd)[:4]))
    def end_run(self, pick, run_end):
        runs = self.world.running()
        if runs:
            name, task, _ = runs[pick % len(runs)]
            self.world.end(self.world.upstreams[name], task, run_end)

    @rule(fault=st.sampled_from(["answer", "lost", "late"]))
    def inject_start_fault(self, fault):
        self.world.next_start_fault = fault

    @rule(name=st.sampled_from(NAMES))
    def toggle_connection(self, name):
        upstream = self.world.upstreams[name]
        upstream.is_disconnected = not upstream.is_disconnected

    @rule(name=st.sampled_from(NAMES))
    def crash(self, name):
        self.world.crash(name)

    @rule()
    def toggle_store(self):
        self.world.is_store_down = not self.world.is_store_down

    @precondition(lambda self: not self.world.is_store_down)
    @rule()
    def take_over(self):
        self.world.take_over()

    @rule(one=st.integers(0, 5), other=st.integers(0, 9))
    def set_limits(self, one, other):
        self.world.set_limits({"one": one, "other": other})

    @rule(number=st.integers(1, 12))
    def cancel(self, number):
        name = f"j{number}"
        if name in self.world.jobs:
            self.world.cancel(name)

    @invariant()
    def world_invariants_hold(self):
        self.world.check_invariants()

    def teardown(self):
        """Assert that every job ends once the faults are over."""
        self.world.is_store_down = False
        self.world.set_limits(NO_LIMITS)
        for upstream in self.world.upstreams.values():
            upstream.is_disconnected = False
        self.world.run(SETTLE_S, after_s=0.5)
        for name in self.world.jobs:
            state = self.world.get_state(name)
            assert state in FINAL_STATES, f"{name} is {state}"
            if name in self.world.cancelled:
                continue
            if state is JobState.FAILED:
                failed = [t for t in self.world.failed if t.job_id == name]
                assert failed, f"{name} failed without a failed run"
        assert not self.world.running()
        if STEPS > 60:
            print("starts:", self.world.starts)


TestDispatcherMachine = DispatcherMachine.TestCase
TestDispatcherMachine.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
