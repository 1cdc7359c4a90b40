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
from papayadyke_core.resources import NOTHING, Resources
from papayadyke_core.workloads import Kind

NAMES = st.sampled_from([f"u{n}" for n in range(5)])
AMOUNT = st.integers(0, 8)
DEMANDS = st.builds(Resources, AMOUNT, AMOUNT, st.integers(0, 2))
WORKLOADS = st.sampled_from(["a", "b"])


class FleetMachine(RuleBasedStateMachine):
    """Compares the fleet with tasks counted one by one."""

    def __init__(self):
        super().__init__()
        self.fleet = Fleet()
        self.specs = {}
        self.limits = {}
        self.draining = set()
        self.tasks = {}
        self.last_id = 0

    def next_id(self):
        self.last_id += 1
        return f"t{self.last_id}"

    def held(self, upstream):
        demands = [held for name, _, held in self.tasks.values() if name == upstream]
        return sum(demands, NOTHING), len(demands)

    def room_for(self, demand, upstream):
        if upstream not in self.specs or upstream in self.draining:
            return False
        used, running = self.held(upstream)
        room = running < self.limits[upstream]
        return room and (used + demand).fits_in(self.specs[upstream].capacity)

    @rule(name=NAMES, capacity=DEMANDS, slots=st.integers(1, 4), rack=NAMES)
    def add_upstream(self, name, capacity, slots, rack):
        spec = UpstreamSpec(name, "hobart", rack, capacity * 3, slots)
        old = self.specs.get(name)
        self.fleet.add_upstream(spec)
        if old is None or self.limits[name] == old.slots:
            self.limits[name] = slots
        self.limits[name] = min(self.limits[name], slots)
        self.specs[name] = spec

    @rule(name=NAMES)
    def remove_upstream(self, name):
        expected = {task for task, held in self.tasks.items() if held[0] == name}
        assert set(self.fleet.remove_upstream(name)) == expected
        self.tasks = {k: v for k, v in self.tasks.items() if k not in expected}
        self.specs.pop(name, None)
        self.draining.discard(name)

    @rule(name=NAMES, limit=st.integers(-1, 5))
    def set_limit(self, name, limit):
        self.fleet.set_limit(name, limit)
        if name in self.specs:
            self.limits[name] = max(0, min(limit, self.specs[name].slots))

    @rule(name=NAMES, draining=st.booleans())
    def set_draining(self, name, draining):
        self.fleet.set_draining(name, draining)
        if name in self.specs:
            (self.draining.add if draining else self.draining.discard)(name)

    @rule(name=NAMES, speed=st.sampled_from([0.1, 1.0, 3.0]))
    def set_speed(self, name, speed):
        self.fleet.set_speed(name, speed)

    @rule(workload=WORKLOADS, kind=st.sampled_from(Kind), demand=DEMANDS)
    def reserve(self, workload, kind, demand):
        fitting = {name for name in self.specs if self.room_for(demand, name)}
        task_id = self.next_id()
        taken = self.fleet.reserve(task_id, workload=workload, kind=kind, demand=demand)
        if taken is None:
            assert not fitting
        else:
            assert taken in fitting
            self.tasks[task_id] = (taken, workload, demand)

    @rule(workload=WORKLOADS, demand=DEMANDS, count=st.integers(1, 6))
    def reserve_gang(self, workload, demand, count):
        before = self.fleet.free_slots
        ids = [self.next_id() for _ in range(count)]
        taken = self.fleet.reserve_gang(ids, workload=workload, demand=demand)
        if taken is None:
            assert self.fleet.free_slots == before
            assert all(self.fleet.upstream_of(task_id) is None for task_id in ids)
            return
        for task_id, name in zip(ids, taken, strict=True):
            assert self.room_for(demand, name)
            self.tasks[task_id] = (name, workload, demand)

    @rule(workload=WORKLOADS, demand=DEMANDS, name=NAMES)
    def adopt(self, workload, demand, name):
        task_id = self.next_id()
        self.fleet.adopt(task_id, workload=workload, demand=demand, upstream=name)
        if name in self.specs:
            self.tasks[task_id] = (name, workload, demand)

    @rule(data=st.data())
    def release(self, data):
        known = [*self.tasks, "unknown"]
        task_id = data.draw(st.sampled_from(known))
        self.fleet.release(task_id)
        self.tasks.pop(task_id, None)

    @invariant()
    def sums_agree(self):
        self.fleet.check_invariants()
        for task_id, (name, _, _) in self.tasks.items():
            assert self.fleet.upstream_of(task_id) == name
        used = sum((held for _, _, held in self.tasks.values()), NOTHING)
        assert sum(self.fleet.used_by_workload.values(), NOTHING) == used


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = settings(max_examples=100, stateful_step_count=40)


def run_longer(number, examples):
    """Run the machine for longer, as a script with a seed and a number of runs."""
    options = settings(
        max_examples=examples,
        stateful_step_count=60,
        derandomize=False,
        deadline=None,
        database=None,
        phases=(Phase.generate, Phase.shrink),
    )
    run_state_machine_as_test(seed(number)(FleetMachine), settings=options)
    print(f"seed {number}: {examples} runs of up to 60 steps, all hold")


if __name__ == "__main__":
    run_longer(int(sys.argv[1]), int(sys.argv[2]))
