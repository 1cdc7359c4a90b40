import sys

from hypothesis import Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from papayadyke_core.placement import Fleet, UpstreamSpec
from papayadyke_core.resources import ZERO_RESOURCES, Resources
from papayadyke_core.workloads import Kind

UPSTREAM_NAMES = st.sampled_from([f"u{n}" for n in range(5)])
AMOUNTS = st.integers(0, 8)
DEMANDS = st.builds(Resources, AMOUNTS, AMOUNTS, st.integers(0, 2))
WORKLOADS = st.sampled_from(["a", "b"])


class FleetMachine(RuleBasedStateMachine):
    """Compares the fleet with a model that sums the demands of all tasks."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet()
        self.specs = {}
        self.limits = {}
        self.draining = set()
        self.tasks = {}
        self.last_id = 0

    def next_task_id(self):
        self.last_id += 1
        return f"t{self.last_id}"

    def usage_of(self, upstream):
        demands = [
            demand for name, _, demand in self.tasks.values() if name == upstream
        ]
        return sum(demands, ZERO_RESOURCES), len(demands)

    def has_room(self, demand, upstream):
        if upstream not in self.specs or upstream in self.draining:
            return False
        used, running = self.usage_of(upstream)
        has_free_slot = running < self.limits[upstream]
        return has_free_slot and (used + demand).fits_in(self.specs[upstream].capacity)

    @rule(
        name=UPSTREAM_NAMES,
        capacity=DEMANDS,
        slots=st.integers(1, 4),
        rack=UPSTREAM_NAMES,
    )
    def add_upstream(self, name, capacity, slots, rack):
        spec = UpstreamSpec(name, "hobart", rack, capacity * 3, slots)
        old_spec = self.specs.get(name)
        self.fleet.add_upstream(spec)
        if old_spec is None or self.limits[name] == old_spec.slots:
            self.limits[name] = slots
        self.limits[name] = min(self.limits[name], slots)
        self.specs[name] = spec

    @rule(name=UPSTREAM_NAMES)
    def remove_upstream(self, name):
        expected = {task_id for task_id, task in self.tasks.items() if task[0] == name}
        assert set(self.fleet.remove_upstream(name)) == expected
        self.tasks = {
            key: value for key, value in self.tasks.items() if key not in expected
        }
        self.specs.pop(name, None)
        self.draining.discard(name)

    @rule(name=UPSTREAM_NAMES, limit=st.integers(-1, 5))
    def set_limit(self, name, limit):
        self.fleet.set_limit(name, limit)
        if name in self.specs:
            self.limits[name] = max(0, min(limit, self.specs[name].slots))

    @rule(name=UPSTREAM_NAMES, draining=st.booleans())
    def set_draining(self, name, draining):
        self.fleet.set_draining(name, draining)
        if name in self.specs:
            (self.draining.add if draining else self.draining.discard)(name)

    @rule(name=UPSTREAM_NAMES, speed=st.sampled_from([0.1, 1.0, 3.0]))
    def set_speed(self, name, speed):
        self.fleet.set_speed(name, speed)

    @rule(workload=WORKLOADS, kind=st.sampled_from(Kind), demand=DEMANDS)
    def reserve(self, workload, kind, demand):
        candidates = {name for name in self.specs if self.has_room(demand, name)}
        task_id = self.next_task_id()
        chosen = self.fleet.reserve(
            task_id, workload=workload, kind=kind, demand=demand
        )
        if chosen is None:
            assert not candidates
        else:
            assert chosen in candidates
            self.tasks[task_id] = (chosen, workload, demand)

    @rule(workload=WORKLOADS, demand=DEMANDS, count=st.integers(1, 6))
    def reserve_gang(self, workload, demand, count):
        free_slots_before = self.fleet.free_slots
        task_ids = [self.next_task_id() for _ in range(count)]
        chosen = self.fleet.reserve_gang(task_ids, workload=workload, demand=demand)
        if chosen is None:
            assert self.fleet.free_slots == free_slots_before
            assert all(self.fleet.upstream_of(task_id) is None for task_id in task_ids)
            return
        for task_id, name in zip(task_ids, chosen, strict=True):
            assert self.has_room(demand, name)
            self.tasks[task_id] = (name, workload, demand)

    @rule(workload=WORKLOADS, demand=DEMANDS, name=UPSTREAM_NAMES)
    def adopt(self, workload, demand, name):
        task_id = self.next_task_id()
        self.fleet.adopt(task_id, workload=workload, demand=demand, upstream=name)
        if name in self.specs:
            self.tasks[task_id] = (name, workload, demand)

    @rule(data=st.data())
    def release(self, data):
        task_ids = [*self.tasks, "unknown"]
        task_id = data.draw(st.sampled_from(task_ids))
        self.fleet.release(task_id)
        self.tasks.pop(task_id, None)

    @invariant()
    def totals_agree(self):
        self.fleet.check_invariants()
        for task_id, (name, _, _) in self.tasks.items():
            assert self.fleet.upstream_of(task_id) == name
        used = sum((demand for _, _, demand in self.tasks.values()), ZERO_RESOURCES)
        assert sum(self.fleet.used_by_workload.values(), ZERO_RESOURCES) == used


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = settings(max_examples=100, stateful_step_count=40)


def run_longer(seed_value, examples):
    """Run the state machine with more examples; used when run as a script."""
    options = settings(
        max_examples=examples,
        stateful_step_count=60,
        derandomize=False,
        deadline=None,
        database=None,
        phases=(Phase.generate, Phase.shrink),
    )
    run_state_machine_as_test(seed(seed_value)(FleetMachine), settings=options)
    print(f"seed {seed_value}: no violation in {examples} runs of up to 60 steps")


if __name__ == "__main__":
    run_longer(int(sys.argv[1]), int(sys.argv[2]))
