import sys

from hypothesis import Phase, given, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from papayadyke_core.health import (
    HealthSettings,
    RetryBudget,
    RetryBudgetSettings,
    TaskOutcome,
    UpstreamHealth,
)

NAMES = st.sampled_from([f"u{n}" for n in range(6)])
WORKLOADS = st.sampled_from(["a", "b"])
REQUESTS = st.sampled_from(["", "r1", "r2", "r3"])


class HealthMachine(RuleBasedStateMachine):
    """Applies random outcomes, probes and pauses; the invariants must hold."""

    def __init__(self):
        super().__init__()
        self.health = UpstreamHealth(settings=HealthSettings(max_tracked_requests=2))
        self.now = 0.0
        self.slots = {}
        self.limits = {}

    @rule(name=NAMES, slots=st.integers(0, 8), speed=st.sampled_from([0.3, 1.0]))
    def add_upstream(self, name, slots, speed):
        self.health.add_upstream(name, slots, self.now, speed=speed)
        self.limits.setdefault(name, slots)
        self.slots[name] = slots

    @rule(name=NAMES)
    def remove_upstream(self, name):
        self.health.remove_upstream(name)
        self.slots.pop(name, None)
        self.limits.pop(name, None)

    @rule(
        name=NAMES,
        workload=WORKLOADS,
        outcome=st.sampled_from(TaskOutcome),
        request=REQUESTS,
        run_s=st.floats(0.0, 100.0),
        times=st.integers(1, 6),
    )
    def record(self, name, workload, outcome, request, run_s, times):
        for _ in range(times):
            self.health.record_outcome(
                name, workload, outcome, run_s, self.now, request_id=request
            )

    @rule(name=NAMES, answered=st.booleans())
    def probe(self, name, answered):
        self.health.record_probe(name, answered, self.now)

    @rule(seconds=st.floats(0.0, 30.0))
    def wait(self, seconds):
        self.now += seconds

    @rule()
    def changes_are_reported(self):
        for name in self.health.pop_changed(self.now):
            self.limits[name] = self.health.limit(name, self.now)
        for name in self.slots:
            assert self.health.limit(name, self.now) == self.limits[name]

    @invariant()
    def limits_and_speeds_stay_in_range(self):
        self.health.check_invariants()
        for name, slots in self.slots.items():
            assert 0 <= self.health.limit(name, self.now) <= slots
            assert 0.0 < self.health.speed(name) < float("inf")


TestHealthMachine = HealthMachine.TestCase
TestHealthMachine.settings = settings(max_examples=100, stateful_step_count=40)


@given(
    st.lists(st.booleans(), max_size=300),
    st.floats(0.0, 1.0),
    st.integers(0, 5),
)
def test_retries_never_exceed_the_budget(starts, ratio, burst):
    budget_settings = RetryBudgetSettings(ratio=ratio, burst=float(burst))
    budget = RetryBudget(settings=budget_settings)
    for is_start in starts:
        if is_start:
            budget.record_start()
        else:
            budget.try_spend_retry()
        assert budget.retries <= burst + ratio * budget.starts + 1e-6


def run_many(seed_number, examples):
    """Run the machine with a given seed and number of examples."""
    options = settings(
        max_examples=examples,
        stateful_step_count=60,
        derandomize=False,
        deadline=None,
        database=None,
        phases=(Phase.generate, Phase.shrink),
    )
    run_state_machine_as_test(seed(seed_number)(HealthMachine), settings=options)
    print(f"seed {seed_number}: no violation in {examples} runs of up to 60 steps")


if __name__ == "__main__":
    run_many(int(sys.argv[1]), int(sys.argv[2]))
