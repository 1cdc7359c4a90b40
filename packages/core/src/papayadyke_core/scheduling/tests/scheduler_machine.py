"""State machine test that compares the scheduler with a simple model.

To run it for longer than the test suite does, with a seed of your choice::

    python -m papayadyke_core.scheduling.tests.scheduler_machine --seed 7
"""

from collections import Counter
from dataclasses import dataclass, replace
from typing import Any, ClassVar

import typer
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from papayadyke_core.placement import UpstreamSpec
from papayadyke_core.resources import ZERO_RESOURCES, Resources
from papayadyke_core.scheduling import (
    Outcome,
    Refuse,
    Request,
    RunningTask,
    Scheduler,
    SchedulerSettings,
    Start,
    Stop,
    StopMode,
)
from papayadyke_core.sharing import BlockReason
from papayadyke_core.verdicts import Reason, Verdict
from papayadyke_core.workloads import (
    Config,
    Kind,
    Preset,
    ShareRule,
    Team,
    Urgency,
    Workload,
)

UPSTREAMS = 5
SPECS = tuple(
    UpstreamSpec(f"u{n}", "hobart", f"r{n % 2}", Resources(8000, 8000, n % 2), slots=4)
    for n in range(UPSTREAMS)
)
WORKLOADS = (
    Workload(
        "checks",
        Kind.SERVICE,
        Resources(500, 100),
        team="quotes",
        urgency=Urgency.URGENT,
        floor=0.1,
        queue_limit=30,
        timeout_s=2.0,
    ),
    Workload(
        "orders", Kind.SERVICE, Resources(2000, 500), team="kits", floor=0.3, weight=2.0
    ),
    Workload(
        "tally",
        Kind.BATCH,
        Resources(2000, 3000),
        team="kits",
        urgency=Urgency.DEFERRABLE,
        idempotent=True,
        preemptible=True,
        floor=0.2,
    ),
    Workload(
        "render", Kind.BATCH, Resources(1000, 0, 1), ceiling=0.5, preemptible=True
    ),
    Workload("gang", Kind.GANG, Resources(3000, 1000), team="quotes"),
    Workload("large", Kind.BATCH, Resources(8000, 100), team="quotes"),
    Workload("never", Kind.BATCH, Resources(9000, 1)),
)
WORKLOAD_NAMES = st.sampled_from([workload.name for workload in WORKLOADS])
RULE_SETS: tuple[dict[str, ShareRule], ...] = (
    {},
    {"tally": ShareRule(admit=False), "orders": ShareRule(floor=0.6, queue_limit=5)},
    {"checks": ShareRule(floor=0.0, ceiling=0.3), "gang": ShareRule(ceiling=0.6)},
)
DEADLINES_S = st.sampled_from([0.0, 0.3, 2.0, 60.0, 1000.0])


@dataclass
class ModelEntry:
    """Model of a submitted attempt of a request."""

    workload: str
    deadline_s: float
    tasks: int
    queued_at_s: float
    avoid: tuple = ()
    attempt: int = 1
    started: int = 0
    state: str = "queued"


class SchedulerMachine(RuleBasedStateMachine):
    """Applies floods, faults and configuration changes in any order.

    `event_counts` counts the events that occurred over all examples.
    """

    event_counts: ClassVar[Counter[str]] = Counter()

    def __init__(self):
        super().__init__()
        self.scheduler = Scheduler(settings=SchedulerSettings(decisions_per_check=1))
        self.now = 100.0
        self.config = Config()
        self.specs = {}
        self.draining = set()
        self.entries = {}
        self.running = {}
        self.adopted = set()
        self.last_id = 0

    @initialize()
    def initialize_cluster(self):
        self.apply(WORKLOADS, {}, quota=1.0)
        for spec in SPECS[:3]:
            self.add(spec)

    def apply(self, workloads, rules, quota):
        names = {workload.name for workload in workloads}
        rules = {
            name: share_rule for name, share_rule in rules.items() if name in names
        }
        self.config = Config(
            revision=self.config.revision + 1,
            workloads={workload.name: workload for workload in workloads},
            teams={name: Team(name, quota=quota) for name in ("quotes", "kits")},
            presets={"ordinary": Preset("ordinary", rules)},
        )
        self.scheduler.apply_config(self.config, self.now)
        for entry in self.entries.values():
            if entry.state == "queued" and entry.workload not in names:
                entry.state = "deleted"

    def add(self, spec):
        self.specs[spec.name] = spec
        self.draining.discard(spec.name)
        self.scheduler.add_upstream(spec, self.now)

    def used(self, upstream):
        demands = [task.demand for task in self.running.values()]
        upstreams = [task.upstream for task in self.running.values()]
        matching = [
            demand
            for demand, name in zip(demands, upstreams, strict=True)
            if name == upstream
        ]
        return sum(matching, ZERO_RESOURCES), len(matching)

    @rule(
        name=WORKLOAD_NAMES,
        times=st.sampled_from([1, 3, 40]),
        tasks=st.sampled_from([1, 1, 3, 7]),
        left_s=DEADLINES_S,
        avoid=st.sampled_from([(), (), ("u0",), ("u0", "u1", "u2")]),
    )
    def submit(self, name, times, tasks, left_s, avoid):
        for _ in range(times):
            self.last_id += 1
            entry = ModelEntry(name, self.now + left_s, tasks, self.now, avoid)
            self.submit_attempt(f"q{self.last_id}", entry)

    @rule(chosen=st.integers(0, 10_000))
    def retry(self, chosen):
        retriable = [
            key for key, entry in self.entries.items() if entry.state == "started"
        ]
        if not retriable:
            return
        request_id, attempt = retriable[chosen % len(retriable)]
        if (request_id, attempt + 1) in self.entries:
            return
        old = self.entries[request_id, attempt]
        entry = ModelEntry(
            old.workload, self.now + 5.0, 1, self.now, attempt=attempt + 1
        )
        self.submit_attempt(request_id, entry)

    def submit_attempt(self, request_id, entry):
        req = Request(
            request_id,
            entry.workload,
            entry.deadline_s,
            tasks=entry.tasks,
            attempt=entry.attempt,
            avoid=entry.avoid,
        )
        refusal = self.scheduler.submit(req, self.now)
        self.entries[request_id, entry.attempt] = entry
        if refusal is not None:
            self.refuse(request_id, entry, refusal)
            return
        assert entry.workload in self.config.workloads
        assert entry.deadline_s > self.now
        assert entry.workload != "never" or not self.specs

    def refuse(self, request_id, entry, refusal):
        assert entry.state in ("queued", "deleted")
        assert entry.started == 0
        expected = Verdict.NOT_RUN if entry.attempt == 1 else Verdict.MAY_HAVE_RUN
        assert refusal.verdict is expected
        if refusal.reason is Reason.UNKNOWN_WORKLOAD:
            deleted = entry.workload not in self.config.workloads
            assert deleted or entry.state == "deleted"
        if refusal.reason is Reason.EXPIRED:
            assert entry.deadline_s <= self.now
        if refusal.reason is Reason.CAN_NEVER_RUN:
            assert entry.workload in ("never", "large", "gang", "render")
        assert self.scheduler.refusals.find(request_id) == refusal
        entry.state = "refused"
        self.event_counts[f"refused {refusal.reason}"] += 1

    @rule()
    def decide(self):
        self.event_counts["decisions"] += 1
        for decision in self.scheduler.decide(self.now):
            if isinstance(decision, Start):
                self.start(decision)
            elif isinstance(decision, Refuse):
                key = max(
                    key
                    for key, entry in self.entries.items()
                    if key[0] == decision.request_id
                    and entry.state in ("queued", "deleted")
                )
                self.refuse(key[0], self.entries[key], decision.refusal)
            else:
                self.stop(decision)
        self.check_after_decision()

    @rule(
        turns=st.sampled_from([5, 20]),
        finish_offset=st.integers(0, 20),
        elapsed_s=st.sampled_from([0.05, 0.4, 2.0]),
    )
    def run_tasks(self, turns, finish_offset, elapsed_s):
        for turn in range(turns):
            self.decide()
            self.now += elapsed_s
            self.finish(Outcome.ANSWERED, 6, (finish_offset + turn) % 10, elapsed_s)

    @rule(names=st.sets(WORKLOAD_NAMES, min_size=2), turns=st.sampled_from([2, 8]))
    def flood(self, names, turns):
        for turn in range(turns):
            for name in sorted(names - {"never"}):
                self.submit(name, 3, 1 + turn % 4, 200.0, ())
            self.run_tasks(2, turn, 0.3)

    def start(self, start):
        assert start.task_id not in self.running
        assert start.upstream in self.specs
        assert start.upstream not in self.draining
        request_id, _, attempt = start.task_id.rsplit(".", 2)
        entry = self.entries[request_id, int(attempt)]
        assert entry.state in ("queued", "started")
        assert start.index == entry.started < entry.tasks
        entry.started += 1
        entry.state = "started"
        self.event_counts[f"started {entry.workload}"] += 1
        self.running[start.task_id] = RunningTask(
            start.task_id, request_id, entry.workload, start.upstream, start.demand
        )
        held, tasks = self.used(start.upstream)
        spec = self.specs[start.upstream]
        assert held.fits_in(spec.capacity)
        assert tasks <= spec.slots

    def stop(self, stop):
        assert isinstance(stop, Stop)
        task = self.running[stop.task_id]
        # A deleted workload keeps its last declaration until its tasks have ended.
        workload = next(
            candidate for candidate in WORKLOADS if candidate.name == task.workload
        )
        self.event_counts[f"asked to {stop.mode}"] += 1
        assert workload.preemptible
        assert workload.idempotent or stop.mode is not StopMode.STOP

    def check_after_decision(self):
        waiting: dict[str, Any] = {}
        for (request_id, _), entry in self.entries.items():
            if entry.workload == "gang":
                assert entry.started in (0, entry.tasks), (
                    f"{request_id} is partly started"
                )
            if entry.state == "queued":
                assert entry.deadline_s > self.now, (
                    "the request is queued past its deadline"
                )
                waiting.setdefault(entry.workload, entry)
        cluster = self.scheduler._cluster
        self.event_counts["decisions with a capacity hold"] += cluster.hold is not None
        for name, entry in waiting.items():
            state = cluster.workload_states[name]
            account = state.account
            since_s = state.below_floor_since_s
            blocked_by_reserve = state.blocked_by is BlockReason.RESERVE
            if blocked_by_reserve and since_s is not None and self.now - since_s < 0.5:
                continue
            overdue = self.now - entry.queued_at_s >= 30.0
            overdue &= self.now - cluster.workload_states[name].last_start_s >= 30.0
            if not (overdue or account.is_below_floor):
                continue
            if (
                account.find_block_reason(1, cluster.shares.size)
                or cluster.hold
                or entry.avoid
            ):
                continue
            if name != "gang":
                self.event_counts["placement checks of entitled requests"] += 1
                assert not self.has_room_for(account.demand), (
                    f"{name} is passed over although it fits"
                )

    def has_room_for(self, demand):
        for name, spec in self.specs.items():
            held, tasks = self.used(name)
            limit = min(
                spec.slots, self.scheduler._cluster.health.limit(name, self.now)
            )
            room = tasks < limit and name not in self.draining
            if room and (held + demand).fits_in(spec.capacity):
                return True
        return False

    @rule(
        outcome=st.sampled_from(Outcome),
        count=st.sampled_from([1, 4, 100]),
        first=st.integers(0, 100),
        run_s=st.sampled_from([0.0, 0.1, 1.0, 30.0]),
    )
    def finish(self, outcome, count, first, run_s):
        ids = list(self.running)
        for task_id in ids[first : first + count]:
            del self.running[task_id]
            self.scheduler.finish(task_id, outcome, self.now, run_s=run_s)

    @rule(every=st.sampled_from([1, 2, 7]), offset=st.integers(0, 6))
    def cancel_wave(self, every, offset):
        ids = sorted({key[0] for key in self.entries})[offset::every]
        for request_id in ids:
            keys = [key for key in self.entries if key[0] == request_id]
            queued = [k for k in keys if self.entries[k].state == "queued"]
            ran = any(self.entries[key].started for key in keys if key not in queued)
            result = self.scheduler.cancel(request_id, self.now)
            running_ids = {
                key
                for key, running_task in self.running.items()
                if running_task.request_id == request_id
            }
            assert {task.task_id for task in result.running} == running_ids
            if result.never_ran:
                assert queued and not running_ids
            elif queued and not ran:
                assert running_ids or all(self.is_adopted(key[0]) for key in queued)
            for key in keys:
                entry = self.entries[key]
                is_open = entry.state in ("queued", "started")
                if is_open and entry.started < entry.tasks:
                    entry.state = "cancelled"

    def is_adopted(self, request_id):
        return request_id in self.adopted

    @rule(spec=st.sampled_from(SPECS), smaller=st.booleans())
    def add_upstream(self, spec, smaller):
        if smaller and spec.name in self.specs:
            spec = replace(spec, capacity=Resources(4000, 4000), slots=2)
        self.add(spec)

    @rule(name=st.sampled_from([spec.name for spec in SPECS]))
    def drain_upstream(self, name):
        self.scheduler.drain_upstream(name, self.now)
        if name in self.specs:
            self.draining.add(name)

    @rule(rack_or_name=st.sampled_from(["r0", "r1", "u2", "u3"]))
    def lose_upstreams(self, rack_or_name):
        for name, spec in list(self.specs.items()):
            if rack_or_name in (spec.rack, name):
                lost = self.scheduler.remove_upstream(name, self.now)
                expected = {
                    key for key, task in self.running.items() if task.upstream == name
                }
                assert {task.task_id for task in lost} == expected
                for task_id in expected:
                    del self.running[task_id]
                del self.specs[name]
                self.draining.discard(name)

    @rule(name=st.sampled_from(["checks", "tally", "gang", "unknown"]))
    def adopt(self, name):
        for upstream, spec in self.specs.items():
            held, tasks = self.used(upstream)
            demand = Resources(500, 100)
            if tasks < spec.slots and (held + demand).fits_in(spec.capacity):
                self.last_id += 1
                task = RunningTask(
                    f"a{self.last_id}.1.0", f"a{self.last_id}", name, upstream, demand
                )
                self.adopted.add(task.request_id)
                self.scheduler.adopt(task, self.now)
                self.scheduler.adopt(task, self.now)
                self.running[task.task_id] = task
                return

    @rule(
        dropped=st.sets(WORKLOAD_NAMES, max_size=2),
        rules=st.sampled_from(RULE_SETS),
        quota=st.sampled_from([1.0, 0.4]),
        larger=st.booleans(),
    )
    def switch_config(self, dropped, rules, quota, larger):
        workloads = [workload for workload in WORKLOADS if workload.name not in dropped]
        if larger:
            workloads = [
                replace(workload, demand=workload.demand + Resources(100, 10))
                if workload.name == "tally"
                else workload
                for workload in workloads
            ]
        self.apply(workloads, rules, quota)

    @rule(elapsed_s=st.sampled_from([0.01, 0.3, 1.0, 5.0, 40.0]))
    def advance_time(self, elapsed_s):
        self.now += elapsed_s

    @invariant()
    def counts_agree(self):
        self.scheduler.check_invariants()
        summary = self.scheduler.summary(self.now)
        assert sum(load.running for load in summary.workloads) == len(self.running)
        queued = sum(
            1
            for entry in self.entries.values()
            if entry.state == "queued"
            or (entry.state == "started" and entry.started < entry.tasks)
        )
        assert sum(load.queued for load in summary.workloads) == queued
        deleted = sum(1 for entry in self.entries.values() if entry.state == "deleted")
        refused = sum(1 for entry in self.entries.values() if entry.state == "refused")
        counts = self.scheduler.refusals.counts()
        assert sum(count.requests for count in counts) == refused + deleted


def run(seed_number: int, examples: int, steps: int, phases: tuple) -> None:
    """Run the state machine."""
    options = settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        derandomize=False,
        report_multiple_bugs=False,
        phases=phases,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(seed(seed_number)(SchedulerMachine), settings=options)


def main(
    seed: int = 1, examples: int = 200, steps: int = 200, shrink: bool = False
) -> None:
    """Run the state machine for longer than the tests do and print event counts."""
    print(f"seed {seed}, {examples} examples of up to {steps} steps")
    phases = (Phase.generate, Phase.shrink) if shrink else (Phase.generate,)
    run(seed, examples, steps, phases)
    for event, times in sorted(SchedulerMachine.event_counts.items()):
        print(f"{times:9d} {event}")
    print("no invariant was violated")


if __name__ == "__main__":
    app = typer.Typer(pretty_exceptions_enable=False)
    app.command()(main)
    app()
