"""Random faults against the dispatcher; the simulation asserts its invariants.

For a long run: `PAPAYADYKE_STEPS=2000 python -m pytest -k TestDispatcherMachine
--hypothesis-seed=N` from the root; the number of starts is printed with `-s`. The lives
of upstreams have a machine of their own, with `PAPAYADYKE_LIVES_EXAMPLES=400` and
`PAPAYADYKE_LIVES_STEPS`: `python -m pytest -k TestLivesMachine --hypothesis-seed=N`.
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
from hypothesis import HealthCheck, Phase, settings
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
LIVES_STEPS = int(os.environ.get("PAPAYADYKE_LIVES_STEPS", "60"))
LIVES_EXAMPLES = int(os.environ.get("PAPAYADYKE_LIVES_EXAMPLES", "40"))
# Shrinking a failure takes minutes, longer than the time limit of a test allows.
LIVES_PHASES = tuple(
    phase
    for phase in Phase
    if phase is not Phase.shrink or "PAPAYADYKE_LIVES_EXAMPLES" in os.environ
)
# Seconds after which a late call is carried out; the platform names 2 to 12.
LATE_CALLS_S = (2.0, 2.5, 4.0, 8.0, 12.0)
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
        self.job_count, self.most_jobs = 0, 12
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
        if self.job_count >= self.most_jobs:
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
        if upstream.back_s is None:
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
            upstream.is_disconnected = upstream.back_s is not None
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


class LivesMachine(DispatcherMachine):
    """The same, with upstreams that start again while calls to them are on the way.

    Calls are carried out late, in any life and behind a cut. It guards against tasks
    that run twice because a call meant for a former life acts in the present one.
    """

    def __init__(self):
        super().__init__()
        self.world.use_slow_clock("b")
        self.most_jobs = 40

    # A task under which two upstreams crash may be given up, which is judged by other
    # tests. So each unfinished task is in at most one crash.

    @rule(name=st.sampled_from(NAMES))
    def crash(self, name):
        self.restart(name)

    def restart(self, name):
        """Restart an upstream that is up; return whether it did."""
        if self.world.upstreams[name].back_s is not None:
            return False
        if self.world.has_hit_task(name):
            return False
        self.world.crash(name)
        return True

    @rule(
        fault=st.sampled_from(["late", "slow", "crash", "answer"]),
        late_s=st.sampled_from(LATE_CALLS_S),
    )
    def inject_late_start(self, fault, late_s):
        self.world.next_start_fault = fault
        self.world.late_s = late_s

    @rule(
        name=st.sampled_from(NAMES),
        fault=st.sampled_from(["late", "crash", "answer", "lost"]),
        late_s=st.sampled_from(LATE_CALLS_S),
    )
    def inject_poll_fault(self, name, fault, late_s):
        self.world.poll_faults[name] = fault
        self.world.late_s = late_s

    @rule(
        fault=st.sampled_from(["late", "crash", "answer", "lost"]),
        late_s=st.sampled_from(LATE_CALLS_S),
    )
    def inject_stop_fault(self, fault, late_s):
        self.world.next_stop_fault = fault
        self.world.late_s = late_s

    @rule(name=st.sampled_from(NAMES))
    def restart_behind_cut(self, name):
        if self.restart(name):
            self.world.upstreams[name].is_disconnected = True

    @rule(name=st.sampled_from(NAMES), seconds=st.sampled_from([0.3, 0.6, 2.0, 4.0]))
    def restart_later(self, name, seconds):
        if not self.world.has_hit_task(name):
            self.world.crash_for(name, seconds)

    @rule(name=st.sampled_from(NAMES), seconds=st.sampled_from([0.05, 0.3, 2.0]))
    def restart_and_cut_off_soon_after(self, name, seconds):
        """Restart an upstream, and cut it off while it takes the first calls."""
        upstream = self.world.upstreams[name]
        if not self.restart(name):
            return
        upstream.is_disconnected = False
        self.world.step(seconds)
        upstream.is_disconnected = upstream.back_s is None

    @rule(seconds=st.sampled_from([1.0, 4.0, 9.0]))
    def run_on(self, seconds):
        """Let leases lapse and late calls arrive while the tasks go on running."""
        for _ in range(int(seconds / 0.25)):
            self.world.step(0.25)

    @rule(
        late_s=st.sampled_from(LATE_CALLS_S),
        seconds=st.sampled_from([0.3, 0.6, 1.0]),
        is_cut=st.booleans(),
    )
    def lose_start_before_a_restart(self, late_s, seconds, is_cut):
        """Lose the start of a new task, have it settled, and restart its upstream."""
        if self.job_count >= self.most_jobs:
            return
        self.job_count += 1
        self.world.next_start_fault, self.world.late_s = "late", late_s
        known = len(self.world.late_calls)
        self.world.submit(make_job(f"j{self.job_count}"))
        self.world.step()
        names = {call.upstream_id for call in self.world.late_calls[known:]}
        self.world.step(seconds)
        self.world.step(seconds)
        for lost in names:
            if self.restart(lost):
                self.world.upstreams[lost].is_disconnected = is_cut

    @rule(seconds=st.sampled_from([1.0, 3.0]))
    def let_runs_end(self, seconds):
        self.world.run(seconds, after_s=0.5)

    @rule(name=st.sampled_from(NAMES))
    def reconnect(self, name):
        upstream = self.world.upstreams[name]
        upstream.is_disconnected = upstream.back_s is not None


TestDispatcherMachine = DispatcherMachine.TestCase
TestDispatcherMachine.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)

TestLivesMachine = LivesMachine.TestCase
TestLivesMachine.settings = settings(
    max_examples=LIVES_EXAMPLES,
    stateful_step_count=LIVES_STEPS,
    phases=LIVES_PHASES,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
